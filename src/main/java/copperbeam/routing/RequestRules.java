package copperbeam.routing;

import copperbeam.Api.Effect;
import copperbeam.Api.Outcome;
import copperbeam.Api.RequestClass;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

/**
 * The one place that decides what the protocol's rules let happen to a request: whether an attempt may begin, a refusal
 * be told or a final answer be given. It reckons by itself what has run, from attempts and outcomes alone, so that the
 * decision module's choices are checked against a second count at run time. Without I/O or clock.
 */
final class RequestRules {
    /** A rule that an action would break. */
    enum Rule {
        /** An attempt for a request that has its final answer, or whose stream has begun. */
        ATTEMPT_AFTER_END,
        /** An attempt while another one is out. */
        ATTEMPT_BESIDE_ANOTHER,
        /** More attempts than the settings allow. */
        TOO_MANY_ATTEMPTS,
        /** A second run of what may have run and may not be repeated, or not any more. */
        REPEATED_RUN,
        /** A refusal, which promises that a retry is harmless, of what may have run and may not be repeated. */
        REFUSED_AFTER_RUN,
        /** A final answer later than its grace. */
        LATE_ANSWER
    }

    /** Outcomes of a writer's attempt that prove that nothing ran. */
    private static final Set<Outcome> NOTHING_RAN =
            EnumSet.of(Outcome.READ, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT);

    /** After a request's deadline: so late an answer is still in time. */
    static final Duration ANSWER_GRACE = Duration.ofMillis(100);

    private final RequestClass requestClass; // null where the settings have none of this name
    private final int mostAttempts;
    private final Instant deadline;
    private int attempts;
    private boolean out;
    private boolean writing; // the attempt that is out is at a writer
    private Instant written; // when the last attempt at a writer began
    private Instant ranSince; // when the first that may have run began, null where nothing ran
    private final boolean resumed;
    private boolean ended;

    /** {@code resumed}: the rest of a stream that has run elsewhere is asked for. */
    RequestRules(RequestClass requestClass, int mostAttempts, Instant deadline, boolean resumed) {
        this.requestClass = requestClass;
        this.mostAttempts = mostAttempts;
        this.deadline = deadline;
        this.resumed = resumed;
    }

    /** The rule against an attempt that would begin now, if there is one; {@code write}: at a writer. */
    Optional<Rule> againstAttempt(boolean write, Instant now) {
        if (ended) {
            return Optional.of(Rule.ATTEMPT_AFTER_END);
        }
        if (out) {
            return Optional.of(Rule.ATTEMPT_BESIDE_ANOTHER);
        }
        if (attempts >= mostAttempts) {
            return Optional.of(Rule.TOO_MANY_ATTEMPTS);
        }
        return write && ranSince != null && !repeatable(now) ? Optional.of(Rule.REPEATED_RUN) : Optional.empty();
    }

    /** The rule against a refusal now, if there is one. */
    Optional<Rule> againstRefusal() {
        boolean proven = !resumed && ranSince == null && !(out && writing);
        return proven || dropsRepeats() ? Optional.empty() : Optional.of(Rule.REFUSED_AFTER_RUN);
    }

    /** The rule against a final answer now, if there is one; it is given all the same. */
    Optional<Rule> againstAnswer(Instant now) {
        return now.isAfter(deadline.plus(ANSWER_GRACE)) ? Optional.of(Rule.LATE_ANSWER) : Optional.empty();
    }

    /** An attempt begins. */
    void begun(boolean write, Instant now) {
        attempts++;
        out = true;
        writing = write;
        written = write ? now : written;
    }

    /** The attempt that was out has ended; {@code reached}: it had a connection. */
    void outcome(Outcome outcome, boolean reached) {
        boolean ran = writing && reached && !NOTHING_RAN.contains(outcome);
        ranSince = ran && ranSince == null ? written : ranSince;
        out = false;
    }

    /** The request has its final answer, or its stream has begun. */
    void ended() {
        ended = true;
    }

    /** Whether a repeat anywhere does no harm. */
    private boolean dropsRepeats() {
        return requestClass != null && requestClass.dropsRepeats();
    }

    private boolean repeatable(Instant now) {
        if (requestClass == null || requestClass.effect() == Effect.UNSAFE) {
            return false;
        }
        return requestClass.effect() == Effect.SAFE
                || now.isBefore(ranSince.plus(ModuleTime.span(requestClass.windowS())));
    }
}

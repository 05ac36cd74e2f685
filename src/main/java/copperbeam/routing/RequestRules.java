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
 * Checks at run time what the protocol's rules allow for one request: whether an attempt may begin, and whether a refusal or
 * another final answer may be given. Derives what has run from attempts and outcomes alone, independently of the decision module, so
 * that the module's choices are checked against a second record. Does no I/O and reads no clock.
 */
final class RequestRules {
    /** A rule that an action would break. */
    enum Rule {
        /** An attempt for a request that has its final answer, or whose stream has begun. */
        ATTEMPT_AFTER_END,
        /** An attempt while another one is in flight. */
        ATTEMPT_BESIDE_ANOTHER,
        /** More attempts than the settings allow. */
        TOO_MANY_ATTEMPTS,
        /** Another attempt at a writer, of a request that may have run and may not, or may no longer, be repeated. */
        REPEATED_RUN,
        /** A refusal, which promises that a retry is harmless, of a request that may have run and may not be repeated. */
        REFUSED_AFTER_RUN,
        /** A final answer later than {@link RequestRules#ANSWER_GRACE} after the deadline. */
        LATE_ANSWER
    }

    /** Outcomes of an attempt at a writer that prove that nothing ran. */
    private static final Set<Outcome> NOTHING_RAN =
            EnumSet.of(Outcome.READ, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT);

    /** Final answers up to this long after a request's deadline still count as in time. */
    static final Duration ANSWER_GRACE = Duration.ofMillis(100);

    private final RequestClass requestClass; // null if the settings have no class of this name
    private final int mostAttempts;
    private final Instant deadline;
    private int attempts;
    private boolean out;
    private boolean writing; // the attempt in flight, or else the last one, is at a writer
    private Instant written; // start of the last attempt at a writer
    private Instant ranSince; // start of the first attempt that may have run; null if nothing ran
    private final boolean resumed;
    private boolean ended;

    /** {@code resumed}: the client asks for the rest of a stream that has run elsewhere. */
    RequestRules(RequestClass requestClass, int mostAttempts, Instant deadline, boolean resumed) {
        this.requestClass = requestClass;
        this.mostAttempts = mostAttempts;
        this.deadline = deadline;
        this.resumed = resumed;
    }

    /** Returns the rule that an attempt would break if it began now, if any; {@code isWrite}: whether it is at a writer. */
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

    /** Returns the rule that a refusal would break now, if any. */
    Optional<Rule> againstRefusal() {
        boolean proven = !resumed && ranSince == null && !(out && writing);
        return proven || dropsRepeats() ? Optional.empty() : Optional.of(Rule.REFUSED_AFTER_RUN);
    }

    /** Returns the rule that a final answer would break now, if any; the answer is still given. */
    Optional<Rule> againstAnswer(Instant now) {
        return now.isAfter(deadline.plus(ANSWER_GRACE)) ? Optional.of(Rule.LATE_ANSWER) : Optional.empty();
    }

    /** Records that an attempt begins. */
    void begun(boolean write, Instant now) {
        attempts++;
        out = true;
        writing = write;
        written = write ? now : written;
    }

    /** Records the end of the attempt in flight; {@code connected}: it had a connection. */
    void outcome(Outcome outcome, boolean reached) {
        boolean ran = writing && reached && !NOTHING_RAN.contains(outcome);
        ranSince = ran && ranSince == null ? written : ranSince;
        out = false;
    }

    /** Records that the request has its final answer or that its stream has begun. */
    void ended() {
        ended = true;
    }

    /** Whether repeating the request at any server is harmless. */
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

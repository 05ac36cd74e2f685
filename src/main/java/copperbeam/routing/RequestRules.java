package copperbeam.routing;

import copperbeam.Api.Outcome;
import copperbeam.Api.Repeats;
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
    private final int maxAttempts;
    private final Instant deadline;
    private int attempts;
    private boolean inFlight;
    private boolean atWriter; // the attempt in flight, or else the last one, is at a writer
    private Instant lastWriteStart; // start of the last attempt at a writer
    private Instant firstRunStart; // start of the first attempt that may have run; null if nothing ran
    private final boolean resumed;
    private boolean ended;

    /** {@code resumed}: the client asks for the rest of a stream that has run elsewhere. */
    RequestRules(RequestClass requestClass, int maxAttempts, Instant deadline, boolean resumed) {
        this.requestClass = requestClass;
        this.maxAttempts = maxAttempts;
        this.deadline = deadline;
        this.resumed = resumed;
    }

    /** Returns the rule that an attempt would break if it began now, if any; {@code isWrite}: whether it is at a writer. */
    Optional<Rule> checkAttempt(boolean isWrite, Instant now) {
        if (ended) {
            return Optional.of(Rule.ATTEMPT_AFTER_END);
        }
        if (inFlight) {
            return Optional.of(Rule.ATTEMPT_BESIDE_ANOTHER);
        }
        if (attempts >= maxAttempts) {
            return Optional.of(Rule.TOO_MANY_ATTEMPTS);
        }
        return isWrite && firstRunStart != null && !mayRepeat(now) ? Optional.of(Rule.REPEATED_RUN) : Optional.empty();
    }

    /** Returns the rule that a refusal would break now, if any. */
    Optional<Rule> checkRefusal() {
        boolean provenNotRun = !resumed && firstRunStart == null && !(inFlight && atWriter);
        return provenNotRun || isRepeatHarmless() ? Optional.empty() : Optional.of(Rule.REFUSED_AFTER_RUN);
    }

    /** Returns the rule that a final answer would break now, if any; the answer is still given. */
    Optional<Rule> checkFinalAnswer(Instant now) {
        return now.isAfter(deadline.plus(ANSWER_GRACE)) ? Optional.of(Rule.LATE_ANSWER) : Optional.empty();
    }

    /**
     * Until when the request may run again, after the last attempt has ended: {@link Instant#MAX} without a limit, as nothing has run
     * or repeats do no harm, {@link Instant#MIN} if it never may.
     */
    Instant repeatableUntil() {
        if (firstRunStart == null || requestClass == null || requestClass.repeats() == Repeats.SAFE) {
            return Instant.MAX;
        }
        return requestClass.isRepeatable()
                ? firstRunStart.plus(ModuleTime.duration(requestClass.dedupS()))
                : Instant.MIN;
    }

    /** Records that an attempt begins. */
    void attemptBegan(boolean isWrite, Instant now) {
        attempts++;
        inFlight = true;
        atWriter = isWrite;
        lastWriteStart = isWrite ? now : lastWriteStart;
    }

    /** Records the end of the attempt in flight; {@code connected}: it had a connection. */
    void attemptEnded(Outcome outcome, boolean connected) {
        boolean mayHaveRun = atWriter && connected && !NOTHING_RAN.contains(outcome);
        firstRunStart = mayHaveRun && firstRunStart == null ? lastWriteStart : firstRunStart;
        inFlight = false;
    }

    /** Records that the request has its final answer or that its stream has begun. */
    void requestEnded() {
        ended = true;
    }

    /** Whether repeating the request at any server is harmless. */
    private boolean isRepeatHarmless() {
        return requestClass != null && requestClass.isRepeatable();
    }

    private boolean mayRepeat(Instant now) {
        if (requestClass == null || requestClass.repeats() == Repeats.UNSAFE) {
            return false;
        }
        return requestClass.repeats() == Repeats.SAFE
                || now.isBefore(firstRunStart.plus(ModuleTime.duration(requestClass.dedupS())));
    }
}

package copperbeam.lifecycle;

import java.time.Duration;

/**
 * What a conductor does with its clients: at work, drained by hand, or on its way to the end. A drain takes the first
 * steps of a stop and stays there; a stop goes on from where a drain is, and nothing takes it back.
 *
 * <p>In a rolling restart the next conductor is stopped some 3 s after this one, and this one is back about as long
 * after that: what is cut here goes on at the next one if it comes there before its stop, and what the next one cuts
 * goes on here if it comes late enough. So clients are led away from the start, what is open is answered and streams are
 * cut before the next stop; but as late as may be where others have cut streams lately, for then those others are not
 * back yet. Where a new process serves at the same address, clients have somewhere to go from the first moment.
 */
public final class Lifecycle {
    /** In order; only the first three are ever taken back. */
    public enum Step {
        /** At work. */
        WORK,
        /** Not healthy any more; what comes is taken, on new connections too, and each closes after its answer. */
        SERVE,
        /** The same, and connections without a request are closed. */
        LEAD_AWAY,
        /** Nothing is open and nobody should come: no new connection is taken, but what the system has taken is served. */
        CLOSE,
        /** What is open and what still comes gets its final answer; no new connection is taken. */
        ANSWER,
        /** Streams end where they are, if their clients can ask for the rest elsewhere. */
        CUT,
        /** The process may end. */
        END
    }

    private static final Duration NOTICE = Duration.ofMillis(800); // for fronts to learn that we are not healthy
    private static final Duration EARLY = Duration.ofMillis(850); // before the kill, at most: streams are cut
    private static final Duration LATE =
            Duration.ofMillis(350); // the same where others are away; for ends and releases
    private static final Duration ANSWERS = Duration.ofMillis(200); // before that
    private static final Duration TAKES =
            Duration.ofMillis(600); // what comes 0.7 s after SIGTERM must end before the kill
    private static final Duration EXIT = Duration.ofMillis(150); // before the kill, for the process to end by itself
    private static final Duration LEAST = Duration.ofMillis(700); // which the platform gives beside its clients' waits

    private final Duration allowed;
    private final boolean streamsResume;
    private Step step = Step.WORK;
    private Duration drained; // when a drain was asked for, and not taken back
    private Duration stopped;
    private boolean succeeded; // a new process serves at this one's address, and takes what comes

    /**
     * {@code allowed}: after so long a stop the process may be killed; {@code streamsResume}: else a stream that is cut is
     * lost, and only the kill ends it.
     */
    public Lifecycle(Duration allowed, boolean streamsResume) {
        if (allowed.compareTo(LEAST) < 0) {
            throw new IllegalArgumentException("a stop of less than " + LEAST);
        }
        this.allowed = allowed;
        this.streamsResume = streamsResume;
    }

    /** By hand; asked twice it goes on. False where a stop is under way. */
    public boolean drain(Duration now) {
        if (stopped == null && drained == null) {
            drained = now;
        }
        return stopped == null;
    }

    /** Back to work, also from work. False where a stop is under way: the process ends in any case. */
    public boolean rejoin() {
        if (stopped == null) {
            drained = null;
            step = Step.WORK;
        }
        return stopped == null;
    }

    public void stop(Duration now) {
        stopped = stopped == null ? now : stopped;
    }

    /**
     * A new process serves at the same address: clients are led there, and there is all the time until the stop to end what
     * is open. Or it serves no more, and this one is back at work, or takes what comes for as long as its stop lasts.
     */
    public void succeeded(boolean by) {
        if (stopped == null && succeeded && !by) {
            step = Step.WORK;
        }
        succeeded = by;
    }

    public boolean stopping() {
        return stopped != null;
    }

    /** Whether whoever asks for our health should be told yes; a successor answers at the same address. */
    public boolean healthy() {
        return drained == null && (stopped == null || succeeded); // whoever asks meets the successor as well
    }

    /** Whether new connections are taken here. */
    public boolean listens() {
        return step.compareTo(Step.CLOSE) < 0 && !succeeded;
    }

    /** Whether what comes may be begun: in a stop not for long where streams can't be cut, as one may outlast it. */
    public boolean takes(Duration now) {
        return stopped == null || streamsResume || now.minus(stopped).compareTo(TAKES) < 0;
    }

    /** Whether a process that owes no answer has to end now, whatever servers have not let go of yet. */
    public boolean mustExit(Duration now) {
        return stopped != null && step == Step.END && now.minus(stopped).compareTo(allowed.minus(EXIT)) >= 0;
    }

    /**
     * The step that holds now. The last one comes only where the address was given up before it was asked for: what clients
     * have sent to a listener that ends with its process is lost.
     *
     * @param open clients are connected, or may be on their way in from an address that is given up
     * @param othersAway other conductors have cut streams lately
     */
    public Step at(Duration now, boolean open, boolean othersAway) {
        if (stopped != null) {
            boolean closed = !listens();
            Step due = stop(now.minus(stopped), noticed(now), open, othersAway || succeeded);
            step = due.compareTo(step) > 0 ? due : step;
            if (closed && !open) {
                step = Step.END;
            }
        } else if (drained != null || succeeded) {
            step = noticed(now) ? Step.LEAD_AWAY : Step.SERVE;
        }
        return step;
    }

    /** Whether fronts have had time to learn that nobody should come here any more. */
    private boolean noticed(Duration now) {
        Duration since = drained != null ? drained : stopped;
        return succeeded || now.minus(since).compareTo(NOTICE) >= 0;
    }

    private Step stop(Duration since, boolean noticed, boolean open, boolean late) {
        // where the kill comes soon, the time that fronts take to learn of the stop goes before the next one's stop
        Duration early = allowed.minus(NOTICE).minus(ANSWERS);
        early = early.compareTo(EARLY) < 0 ? early.compareTo(LATE) < 0 ? LATE : early : EARLY;
        Duration cut = allowed.minus(late ? LATE : early);
        return since.compareTo(cut) >= 0 && streamsResume
                ? Step.CUT
                : since.compareTo(cut.minus(ANSWERS)) >= 0
                        ? Step.ANSWER
                        : !noticed ? Step.SERVE : open ? Step.LEAD_AWAY : Step.CLOSE;
    }
}

package copperbeam.lifecycle;

import java.time.Duration;

/**
 * The steps of a stop, from the wish for it to the end. In a rolling restart the next conductor is stopped some 3 s
 * after this one, and this one is back about as long after that: what is cut here goes on at the next one if it comes
 * there before its stop, and what the next one cuts goes on here if it comes late enough. So clients are led away from
 * the start, what is open is answered and streams are cut before the next stop; but as late as may be where others
 * have cut streams lately, for then those others are not back yet.
 */
public final class StopPlan {
    /** In order; a stop never goes back. */
    public enum Step {
        /** Not healthy any more; what comes is taken, on new connections too, and each closes after its answer. */
        SERVE,
        /** The same, and connections without a request are closed. */
        LEAD_AWAY,
        /** What is open and what still comes gets its final answer; no new connection is taken. */
        ANSWER,
        /** Streams end where they are, if their clients can ask for the rest elsewhere. */
        CUT,
        /** The process may end. */
        END
    }

    private static final Duration NOTICE = Duration.ofMillis(800); // for fronts to learn that we are not healthy
    private static final Duration EARLY = Duration.ofMillis(850);  // before the kill: streams are cut
    private static final Duration LATE = Duration.ofMillis(350);   // the same where others are away; for ends and releases
    private static final Duration ANSWERS = Duration.ofMillis(200); // before that

    private final Duration allowed;
    private final boolean streamsResume;
    private Step step = Step.SERVE;

    /**
     * {@code allowed}: after so long the process may be killed, 2 s at least; {@code streamsResume}: else a stream
     * that is cut is lost, and only the kill ends it.
     */
    public StopPlan(Duration allowed, boolean streamsResume) {
        if (allowed.compareTo(Duration.ofSeconds(2)) < 0) {
            throw new IllegalArgumentException("a stop of less than 2 s");
        }
        this.allowed = allowed;
        this.streamsResume = streamsResume;
    }

    /**
     * The step that holds now.
     *
     * @param since since the stop was asked for
     * @param open requests are open, streams included, or something is left to let go
     * @param othersAway other conductors have cut streams lately
     */
    public Step at(Duration since, boolean open, boolean othersAway) {
        Duration cut = allowed.minus(othersAway ? LATE : EARLY);
        Step due = since.compareTo(cut) >= 0 && streamsResume ? Step.CUT
                : since.compareTo(cut.minus(ANSWERS)) >= 0 ? Step.ANSWER
                : since.compareTo(NOTICE) < 0 ? Step.SERVE : open ? Step.LEAD_AWAY : Step.END;
        if (due.compareTo(step) > 0) {
            step = due;
        }
        if (step.compareTo(Step.ANSWER) >= 0 && !open) {
            step = Step.END;
        }
        return step;
    }
}

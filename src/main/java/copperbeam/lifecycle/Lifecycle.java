package copperbeam.lifecycle;

import java.time.Duration;

/**
 * State machine of a conductor towards its clients: working, drained by an operator, or stopping. A drain takes the first
 * steps of a stop and stays there; a stop continues from the step that a drain has reached, and can't be undone.
 *
 * <p>In a rolling restart the next conductor is stopped about 3 s after this one, and this one is back about 3 s after
 * that. A stream that is cut here can be resumed at the next conductor until that conductor's own stop; a stream that
 * is cut there can be resumed here once this conductor is back. So from the start of a stop clients are sent away, and
 * open requests are answered and streams cut before the next conductor's stop. But if other conductors have cut streams
 * lately, they aren't back yet, and streams are cut as late as possible. If a new process serves at the same address,
 * clients can go there at once.
 */
public final class Lifecycle {
    /** The steps, in order; only the first three can be undone. */
    public enum Step {
        /** Normal operation. */
        WORK,
        /** Reports unhealthy. Requests are still taken, also on new connections; each connection closes after its answer. */
        SERVE,
        /** As {@link #SERVE}, and idle connections are closed. */
        LEAD_AWAY,
        /** No client is connected: listening ends; connections that the operating system has accepted are served. */
        CLOSE,
        /** Open requests and those that still arrive get a final answer; no new connection is taken. */
        ANSWER,
        /** Streams are cut where they are, if their clients can resume them elsewhere. */
        CUT,
        /** The process may end. */
        END
    }

    /** Time for load balancers to notice that this conductor is unhealthy. */
    private static final Duration UNHEALTHY_NOTICE = Duration.ofMillis(800);
    /** Streams are cut at most this long before the kill. */
    private static final Duration EARLY_CUT_LEAD = Duration.ofMillis(850);
    /** The same if other conductors are away; leaves time to finish streams and to release read states. */
    private static final Duration LATE_CUT_LEAD = Duration.ofMillis(350);
    /** Final answers are given this long before streams are cut. */
    private static final Duration ANSWER_LEAD = Duration.ofMillis(200);
    /**
     * How long in a stop new requests are accepted if streams can't be cut. One that comes 0.7 s after SIGTERM or later
     * would have to end before the kill.
     */
    private static final Duration ACCEPT_WINDOW = Duration.ofMillis(600);
    /** A process that waits for releases only exits this long before the kill; on a busy machine an exit takes most of it. */
    private static final Duration EXIT_LEAD = Duration.ofMillis(300);
    /** The same for a process that owed answers until then: its last releases need time too. */
    private static final Duration LATE_EXIT_LEAD = Duration.ofMillis(150);
    /** Shortest stop timeout: the platform gives at least this, in addition to the time its clients wait. */
    private static final Duration MIN_STOP_TIMEOUT = Duration.ofMillis(700);

    private final Duration stopTimeout;
    private final boolean streamsResumable;
    private Step step = Step.WORK;
    private Duration drainedAt; // when the drain in force was requested; null: none
    private Duration stoppedAt; // when the stop was requested; null: not stopping
    private Duration endReachedAt; // when step END was reached; null: not reached
    private boolean hasSuccessor; // a newer process serves at the same address and takes new connections

    /**
     * @param stopTimeout time from the request to stop until the process may be killed
     * @param streamsResumable whether clients can resume a cut stream elsewhere; if not, streams are never cut, and only
     *     the kill ends them
     */
    public Lifecycle(Duration stopTimeout, boolean streamsResumable) {
        if (stopTimeout.compareTo(MIN_STOP_TIMEOUT) < 0) {
            throw new IllegalArgumentException("stop timeout below " + MIN_STOP_TIMEOUT);
        }
        this.stopTimeout = stopTimeout;
        this.streamsResumable = streamsResumable;
    }

    /** Starts a drain on behalf of an operator; no effect if one is in force. Returns false if a stop is under way. */
    public boolean drain(Duration now) {
        if (stoppedAt == null && drainedAt == null) {
            drainedAt = now;
        }
        return stoppedAt == null;
    }

    /** Ends a drain, if any. Returns false if a stop is under way, as the process then ends in any case. */
    public boolean rejoin() {
        if (stoppedAt == null) {
            drainedAt = null;
            step = Step.WORK;
        }
        return stoppedAt == null;
    }

    public void stop(Duration now) {
        stoppedAt = stoppedAt == null ? now : stoppedAt;
    }

    /**
     * Tells whether a newer process is serving at the same address. If it is, clients are sent there, and open requests
     * may take until the stop to finish. If it no longer is, this process resumes normal operation or, while stopping,
     * takes requests again until its stop ends.
     */
    public void setSuccessor(boolean serving) {
        if (stoppedAt == null && hasSuccessor && !serving) {
            step = Step.WORK;
        }
        hasSuccessor = serving;
    }

    public boolean isStopping() {
        return stoppedAt != null;
    }

    /** Whether health checks should pass: not in a drain, and in a stop only if a successor serves at this address. */
    public boolean isHealthy() {
        // health checks may reach the successor instead of this process
        return drainedAt == null && (stoppedAt == null || hasSuccessor);
    }

    /** Whether new connections are accepted by this process. */
    public boolean isListening() {
        return step.compareTo(Step.CLOSE) < 0 && !hasSuccessor;
    }

    /**
     * Whether new requests may be started. If streams can't be cut, only early in a stop, as a later stream might outlast
     * it.
     */
    public boolean acceptsRequests(Duration now) {
        return stoppedAt == null || streamsResumable || now.minus(stoppedAt).compareTo(ACCEPT_WINDOW) < 0;
    }

    /** Whether a process that owes no answer must exit now, even if servers haven't confirmed all releases yet. */
    public boolean mustExit(Duration now) {
        if (endReachedAt == null) {
            return false;
        }
        Duration killAt = stoppedAt.plus(stopTimeout);
        boolean endReachedLate = endReachedAt.compareTo(killAt.minus(EXIT_LEAD)) > 0;
        Duration exitLead = endReachedLate ? LATE_EXIT_LEAD : EXIT_LEAD;
        return now.compareTo(killAt.minus(exitLead)) >= 0;
    }

    /**
     * Advances to the step that is due now and returns it. {@link Step#END} is reached only if the process had already
     * stopped listening before this call: requests sent to a listener that ends with its process would be lost.
     *
     * @param connectionsOpen clients are connected, or connections may still be pending at an address that is given up
     * @param othersAway other conductors have cut streams lately
     */
    public Step advanceTo(Duration now, boolean connectionsOpen, boolean othersAway) {
        if (stoppedAt != null) {
            boolean wasClosed = !isListening();
            Step dueStep =
                    dueStopStep(now.minus(stoppedAt), noticePassed(now), connectionsOpen, othersAway || hasSuccessor);
            step = dueStep.compareTo(step) > 0 ? dueStep : step;
            if (wasClosed && !connectionsOpen && step != Step.END) {
                step = Step.END;
                endReachedAt = now;
            }
        } else if (drainedAt != null || hasSuccessor) {
            step = noticePassed(now) ? Step.LEAD_AWAY : Step.SERVE;
        }
        return step;
    }

    /** Whether load balancers have had time to notice that this conductor is unhealthy. */
    private boolean noticePassed(Duration now) {
        Duration unhealthySince = drainedAt != null ? drainedAt : stoppedAt;
        return hasSuccessor || now.minus(unhealthySince).compareTo(UNHEALTHY_NOTICE) >= 0;
    }

    private Step dueStopStep(Duration sinceStop, boolean noticeIsOver, boolean connectionsOpen, boolean lateCut) {
        // with a short stop timeout, time for load balancers to notice takes precedence over cutting before the next
        // conductor's stop
        Duration earlyLead = stopTimeout.minus(UNHEALTHY_NOTICE).minus(ANSWER_LEAD);
        earlyLead = earlyLead.compareTo(EARLY_CUT_LEAD) < 0
                ? earlyLead.compareTo(LATE_CUT_LEAD) < 0 ? LATE_CUT_LEAD : earlyLead
                : EARLY_CUT_LEAD;
        Duration cutAt = stopTimeout.minus(lateCut ? LATE_CUT_LEAD : earlyLead);
        return sinceStop.compareTo(cutAt) >= 0 && streamsResumable
                ? Step.CUT
                : sinceStop.compareTo(cutAt.minus(ANSWER_LEAD)) >= 0
                        ? Step.ANSWER
                        : !noticeIsOver ? Step.SERVE : connectionsOpen ? Step.LEAD_AWAY : Step.CLOSE;
    }
}

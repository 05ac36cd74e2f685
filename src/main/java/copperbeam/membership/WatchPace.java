package copperbeam.membership;

import java.time.Duration;

/**
 * How long the calls of a {@link WatchPlan} wait.
 *
 * @param pollWait how long the list service may wait for a change before it answers
 * @param silenceTimeout how long after that wait a call may stay unanswered before another one is made
 */
public record WatchPace(Duration pollWait, Duration silenceTimeout) {
    // Parts of the drain grace. A call may be lost in an outage that is over at once, and what the agent has then
    // counts as
    // known to us: the wait, the silence and the next answer have to fit into the grace, with a half of it for local
    // delays.
    private static final double POLL_WAIT_SHARE = 0.3;
    private static final double SILENCE_SHARE = 0.2;

    /** For a service that all processes ask: few calls, and {@link WatchPlan#INFORMED_AFTER} to learn of a change. */
    public static WatchPace ofService() {
        return new WatchPace(WatchPlan.MAX_POLL_WAIT, WatchPlan.SILENCE_TIMEOUT);
    }

    /**
     * For an agent on this machine, whose calls cost nothing.
     *
     * @param drainGrace time from the moment the agent has a drain until the server must get nothing new
     */
    public static WatchPace ofAgent(Duration drainGrace) {
        return new WatchPace(
                shareOf(drainGrace, POLL_WAIT_SHARE, WatchPlan.MAX_POLL_WAIT),
                shareOf(drainGrace, SILENCE_SHARE, WatchPlan.SILENCE_TIMEOUT));
    }

    private static Duration shareOf(Duration drainGrace, double share, Duration longest) {
        Duration part = Duration.ofMillis((long) (drainGrace.toMillis() * share));
        Duration notTooLong = part.compareTo(longest) < 0 ? part : longest;
        return notTooLong.compareTo(WatchPlan.MIN_CALL_INTERVAL) < 0 ? WatchPlan.MIN_CALL_INTERVAL : notTooLong;
    }
}

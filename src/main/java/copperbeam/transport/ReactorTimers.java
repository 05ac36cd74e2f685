package copperbeam.transport;

/**
 * Detects that HttpCore's timers stand still. They use the wall clock: after it was set back, no timeout fires until it has
 * caught up, perhaps an hour later.
 */
final class ReactorTimers {
    private long latestMs = System.currentTimeMillis(); // latest wall-clock time seen, in ms

    /** Whether the wall clock is behind an earlier time. To be called regularly, as it compares with earlier calls only. */
    boolean isStalled() {
        long nowMs = System.currentTimeMillis();
        latestMs = Math.max(latestMs, nowMs);
        return nowMs < latestMs;
    }
}

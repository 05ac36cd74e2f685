package copperbeam.transport;

/**
 * Whether HttpCore's timers stand still. They go by the wall clock: once it has stepped back, no time-out comes before it is
 * again where it was, an hour later perhaps.
 */
final class ReactorTimers {
    private long latest = System.currentTimeMillis(); // of the wall clock, in ms

    /** To be asked now and then, as a step shows only against what was seen before it. */
    boolean stalled() {
        long now = System.currentTimeMillis();
        latest = Math.max(latest, now);
        return now < latest;
    }
}

package copperbeam.soak;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** How late the threads of the stand-ins get the processor: what they note is late by as much. */
final class Lateness {
    private static final long INTERVAL_MS = 5;
    private static final long NANOS_PER_MS = 1_000_000;

    private final AtomicLong worstNanos = new AtomicLong();

    /** Sleeps for short spans until the run is over, and notes by how much each was too long. */
    void measure(AtomicBoolean over) throws InterruptedException {
        while (!over.get()) {
            long due = System.nanoTime() + INTERVAL_MS * NANOS_PER_MS;
            Thread.sleep(INTERVAL_MS);
            long late = System.nanoTime() - due;
            worstNanos.accumulateAndGet(late, Math::max);
        }
    }

    /** So far, in whole milliseconds. */
    long worstMs() {
        return worstNanos.get() / NANOS_PER_MS;
    }
}

package copperbeam.transport;

import copperbeam.routing.FailureLog;
import java.time.Duration;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The threads of one reactor. HttpCore ends a reactor for good if an Error leaves one of its threads, as when the heap is full or
 * no file descriptor is free; the first thread to end unexpectedly starts a replacement.
 */
final class ReactorThreads {
    private static final Logger LOG = Logger.getLogger(ReactorThreads.class.getName());
    private static final Duration RETRY_DELAY = Duration.ofMillis(20); // between attempts to start a replacement

    private final BooleanSupplier closing;
    private final Runnable startReplacement;
    private final AtomicBoolean replaced = new AtomicBoolean();

    /** {@code closing}: whether the threads may end; {@code startReplacement}: tried until it doesn't throw. */
    ReactorThreads(BooleanSupplier closing, Runnable startReplacement) {
        this.closing = closing;
        this.startReplacement = startReplacement;
    }

    ThreadFactory named(String name) {
        return task -> new Thread(() -> run(task, name), name);
    }

    private void run(Runnable task, String name) {
        try {
            task.run();
        } finally { // also after an Error, such as a stack overflow
            if (!closing.getAsBoolean() && replaced.compareAndSet(false, true)) {
                replace(name);
            }
        }
    }

    private void replace(String name) {
        FailureLog.log(
                LOG, Level.WARNING, () -> "reactor " + name + " ended unexpectedly; starting a replacement", null);
        while (!closing.getAsBoolean()) {
            try {
                startReplacement.run();
                return;
            } catch (RuntimeException | Error e) { // still no memory, thread or file descriptor
                FailureLog.log(LOG, Level.FINE, () -> "the replacement of " + name + " could not start", e);
            }
            try {
                Thread.sleep(RETRY_DELAY.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}

package copperbeam.program;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/** A task that is repeated whatever it throws: the executor alone would never run it again after a failure. */
final class RegularTask implements Runnable {
    private static final Logger LOG = Logger.getLogger(RegularTask.class.getName());

    private final String name;
    private final Runnable task;
    private boolean failed; // the last time, which the log has

    private RegularTask(String name, Runnable task) {
        this.name = name;
        this.task = task;
    }

    /** Runs the task after each such span, counted from the end of its last run. */
    static void start(ScheduledExecutorService executor, Duration interval, String name, Runnable task) {
        long nanos = interval.toNanos();
        executor.scheduleWithFixedDelay(new RegularTask(name, task), nanos, nanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void run() {
        try {
            task.run();
            failed = false;
        } catch (RuntimeException | Error e) { // Errors too: a JVM without descriptors throws them
            if (!failed) {
                LOG.log(Level.WARNING, name + " goes on after a failure", e);
            }
            failed = true;
        }
    }
}

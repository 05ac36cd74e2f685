package copperbeam.program;

import copperbeam.routing.FailureLog;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/** A periodic task that continues after exceptions; the executor alone would never run it again after one. */
final class RegularTask implements Runnable {
    private static final Logger LOG = Logger.getLogger(RegularTask.class.getName());

    private final String name;
    private final Runnable task;
    private boolean lastRunFailed; // whether the last run failed, which has been logged

    private RegularTask(String name, Runnable task) {
        this.name = name;
        this.task = task;
    }

    /**
     * Runs the task again and again.
     *
     * @param interval from the end of a run to the start of the next
     * @param name of the task, for the log
     */
    static void start(ScheduledExecutorService executor, Duration interval, String name, Runnable task) {
        long intervalNanos = interval.toNanos();
        executor.scheduleWithFixedDelay(
                new RegularTask(name, task), intervalNanos, intervalNanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void run() {
        try {
            task.run();
            lastRunFailed = false;
        } catch (RuntimeException | Error e) { // Errors too: the JVM throws some when file descriptors run out
            if (!lastRunFailed) {
                FailureLog.log(LOG, Level.WARNING, () -> name + " failed; it will be run again", e);
            }
            lastRunFailed = true;
        }
    }
}

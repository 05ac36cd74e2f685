package copperbeam.model;

import java.lang.reflect.Proxy;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.PriorityQueue;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Virtual clock and event queue of one world, in nanoseconds since the world's start. */
final class VirtualTime extends Clock {
    /** Far from the epoch, as a launch time of 0 in a server list means long ago. */
    private static final Instant START = Instant.ofEpochSecond(1_000_000);

    static final long NANOS_PER_MS = 1_000_000;
    static final long NANOS_PER_S = 1_000 * NANOS_PER_MS;

    /** A scheduled task; tasks that are due at the same time run in the order in which they were scheduled. */
    static final class ScheduledTask extends FutureTask<Void> implements ScheduledFuture<Void> {
        private final long dueAt;
        private final long sequence;

        private ScheduledTask(long dueAt, long sequence, Runnable task) {
            super(task, null);
            this.dueAt = dueAt;
            this.sequence = sequence;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            throw new UnsupportedOperationException();
        }

        @Override
        public int compareTo(Delayed other) {
            ScheduledTask otherTask = (ScheduledTask) other;
            return dueAt != otherTask.dueAt
                    ? Long.compare(dueAt, otherTask.dueAt)
                    : Long.compare(sequence, otherTask.sequence);
        }
    }

    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
    private long now;
    private long nextSequence;

    long now() {
        return now;
    }

    double epochSeconds() {
        return START.getEpochSecond() + now / 1e9;
    }

    ScheduledTask runAt(long time, Runnable task) {
        ScheduledTask newTask = new ScheduledTask(Math.max(now, time), nextSequence++, task);
        queue.add(newTask);
        return newTask;
    }

    ScheduledTask runAfter(long nanos, Runnable task) {
        return runAt(now + nanos, task);
    }

    /** Runs all tasks that are due by {@code until}, in order; throws an ExecutionException if a task fails. */
    void advanceTo(long until) throws Exception {
        while (!queue.isEmpty() && queue.peek().dueAt <= until) {
            ScheduledTask next = queue.poll();
            now = next.dueAt;
            if (!next.isCancelled()) {
                next.run();
                next.get();
            }
        }
        now = until;
    }

    /** An executor on a simulated thread; it supports only {@code execute} and {@code schedule} with a delay in nanoseconds. */
    ScheduledExecutorService executor(SimulatedThread thread) {
        return (ScheduledExecutorService) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {ScheduledExecutorService.class}, (proxy, method, args) -> {
                    long delay = method.getName().equals("schedule") ? (Long) args[1] : 0;
                    return thread.submit(this, delay, (Runnable) args[0]);
                });
    }

    /**
     * The simulated thread of one process. It runs tasks one after another, each of which takes some virtual time; it can be
     * paused, and it runs nothing any more once its process has ended.
     */
    static final class SimulatedThread {
        private final LongSupplier taskDuration; // draws the duration of the next task in nanoseconds
        private final Deque<Runnable> ready = new ArrayDeque<>();
        private long busyUntil;
        private boolean wakeUpScheduled;
        private boolean ended;

        SimulatedThread(LongSupplier taskDuration) {
            this.taskDuration = taskDuration;
        }

        void pauseUntil(long until) {
            busyUntil = Math.max(busyUntil, until);
        }

        void stop() {
            ended = true;
        }

        private ScheduledTask submit(VirtualTime time, long delay, Runnable task) {
            ScheduledTask[] handle = new ScheduledTask[1];
            handle[0] = time.runAfter(delay, () -> {
                ready.add(() -> {
                    if (!handle[0].isCancelled()) {
                        task.run();
                    }
                });
                scheduleNext(time);
            });
            return handle[0];
        }

        private void scheduleNext(VirtualTime time) {
            if (!wakeUpScheduled && !ready.isEmpty() && !ended) {
                wakeUpScheduled = true;
                time.runAt(busyUntil, () -> runNext(time));
            }
        }

        private void runNext(VirtualTime time) {
            wakeUpScheduled = false;
            if (!ended && time.now >= busyUntil) {
                Runnable next = ready.poll();
                busyUntil = time.now + taskDuration.getAsLong();
                next.run();
            }
            scheduleNext(time);
        }
    }

    @Override
    public Instant instant() {
        return START.plusNanos(now);
    }

    Instant instant(long nanos) {
        return START.plusNanos(nanos);
    }

    long toNanos(Instant instant) {
        return Duration.between(START, instant).toNanos();
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }
}

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

    static final long MILLI = 1_000_000;
    static final long SECOND = 1_000 * MILLI;

    /** A scheduled task; tasks that are due at the same time run in the order in which they were scheduled. */
    static final class Due extends FutureTask<Void> implements ScheduledFuture<Void> {
        private final long at;
        private final long order;

        private Due(long at, long order, Runnable task) {
            super(task, null);
            this.at = at;
            this.order = order;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            throw new UnsupportedOperationException();
        }

        @Override
        public int compareTo(Delayed other) {
            Due o = (Due) other;
            return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final PriorityQueue<Due> queue = new PriorityQueue<>();
    private long now;
    private long scheduled;

    long now() {
        return now;
    }

    double seconds() {
        return START.getEpochSecond() + now / 1e9;
    }

    Due at(long time, Runnable task) {
        Due due = new Due(Math.max(now, time), scheduled++, task);
        queue.add(due);
        return due;
    }

    Due after(long nanos, Runnable task) {
        return at(now + nanos, task);
    }

    /** Runs all tasks that are due by {@code until}, in order; throws an ExecutionException if a task fails. */
    void run(long until) throws Exception {
        while (!queue.isEmpty() && queue.peek().at <= until) {
            Due due = queue.poll();
            now = due.at;
            if (!due.isCancelled()) {
                due.run();
                due.get();
            }
        }
        now = until;
    }

    /** An executor on a simulated thread; it supports only {@code execute} and {@code schedule} with a delay in nanoseconds. */
    ScheduledExecutorService executor(Thread thread) {
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
    static final class Thread {
        private final LongSupplier cost; // draws the duration of the next task in nanoseconds
        private final Deque<Runnable> ready = new ArrayDeque<>();
        private long busyUntil;
        private boolean awake;
        private boolean ended;

        Thread(LongSupplier cost) {
            this.cost = cost;
        }

        void block(long until) {
            busyUntil = Math.max(busyUntil, until);
        }

        void end() {
            ended = true;
        }

        private Due submit(VirtualTime time, long delay, Runnable task) {
            Due[] due = new Due[1];
            due[0] = time.after(delay, () -> {
                ready.add(() -> {
                    if (!due[0].isCancelled()) {
                        task.run();
                    }
                });
                wake(time);
            });
            return due[0];
        }

        private void wake(VirtualTime time) {
            if (!awake && !ready.isEmpty() && !ended) {
                awake = true;
                time.at(busyUntil, () -> run(time));
            }
        }

        private void run(VirtualTime time) {
            awake = false;
            if (!ended && time.now >= busyUntil) {
                Runnable next = ready.poll();
                busyUntil = time.now + cost.getAsLong();
                next.run();
            }
            wake(time);
        }
    }

    @Override
    public Instant instant() {
        return START.plusNanos(now);
    }

    Instant instant(long nanos) {
        return START.plusNanos(nanos);
    }

    long nanos(Instant instant) {
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

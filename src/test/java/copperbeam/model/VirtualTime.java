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

/** The clock of one world and everything that is due on it, in nanoseconds since the world's start. */
final class VirtualTime extends Clock {
    /** Far from the epoch, as a start at 0 means long ago in a server list. */
    private static final Instant START = Instant.ofEpochSecond(1_000_000);

    static final long MILLI = 1_000_000;
    static final long SECOND = 1_000 * MILLI;

    /** A task and the time at which it is due; tasks of one time run in the order in which they were scheduled. */
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

    /** Runs everything that is due until then; an exception of a task ends it. */
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

    /** One thread that executes tasks in their order, and timers. */
    ScheduledExecutorService executor(Thread thread) {
        return (ScheduledExecutorService) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {ScheduledExecutorService.class}, (proxy, method, args) -> {
                    long delay = method.getName().equals("schedule") ? (Long) args[1] : 0;
                    return thread.submit(this, delay, (Runnable) args[0]);
                });
    }

    /**
     * A thread of one process. It runs one task after another, each of which takes some time of its core, and it may be held
     * up; with its process it ends.
     */
    static final class Thread {
        private final LongSupplier cost; // of the next task
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

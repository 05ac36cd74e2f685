package copperbeam.membership;

import java.time.Instant;
import java.util.PriorityQueue;

/** A virtual clock, in milliseconds since the epoch, with the tasks that are due at each time, in the order of their scheduling. */
final class VirtualTimeline {
    private record Task(int time, int order, Runnable task) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            return time != other.time ? Integer.compare(time, other.time) : Integer.compare(order, other.order);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private int now;
    private int lastOrder;

    int now() {
        return now;
    }

    Instant instant() {
        return Instant.EPOCH.plusMillis(now);
    }

    void runAt(int time, Runnable task) {
        tasks.add(new Task(time, ++lastOrder, task));
    }

    void runAfter(int delayMs, Runnable task) {
        runAt(now + delayMs, task);
    }

    /** Runs the next task and returns true, or returns false if none is due by {@code until}. */
    boolean runNext(int until) {
        if (tasks.isEmpty() || tasks.peek().time() > until) {
            return false;
        }
        Task next = tasks.poll();
        now = next.time();
        next.task().run();
        return true;
    }
}

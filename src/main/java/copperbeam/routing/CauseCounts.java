package copperbeam.routing;

import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/** Counts events by kind and cause, for the log. Thread-safe. */
public final class CauseCounts {
    /** Kind of a counted event. */
    public enum Kind {
        REFUSED,
        FAILED,
        CANCELLED,
        /** A further attempt of a request; the cause is the outcome of the one before. */
        RETRIED,
        STATE_RELEASED,
        /** An attempt failed that a released read state may have been kept for; the cause is its outcome. */
        STATE_KEPT,
        ATTEMPT_ENDED,
        CONNECTION_CLOSED,
        RULE_BROKEN
    }

    private final ConcurrentMap<String, LongAdder> counts = new ConcurrentHashMap<>();

    /** Adds one event. */
    public void add(Kind kind, Enum<?> cause) {
        counts.computeIfAbsent(kind + "." + cause.name(), name -> new LongAdder())
                .increment();
    }

    /** Number of events so far. */
    public long count(Kind kind, Enum<?> cause) {
        LongAdder count = counts.get(kind + "." + cause.name());
        return count == null ? 0 : count.sum();
    }

    /** {@code KIND.CAUSE=count} of all events that have occurred, sorted by name. */
    @Override
    public String toString() {
        SortedMap<String, LongAdder> sorted = new TreeMap<>(counts);
        return sorted.entrySet().stream()
                .map(e -> e.getKey() + "=" + e.getValue().sum())
                .collect(Collectors.joining(" "));
    }
}

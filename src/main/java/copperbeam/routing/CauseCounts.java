package copperbeam.routing;

import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/** How often what happened, by its cause: for the log, and read from any thread. */
public final class CauseCounts {
    /** What is counted. */
    public enum Kind {
        REFUSED,
        FAILED,
        CANCELLED,
        /** An attempt after another one; the cause is how that one ended. */
        RETRIED,
        STATE_RELEASED,
        ATTEMPT_ENDED,
        CONNECTION_CLOSED,
        RULE_BROKEN
    }

    private final ConcurrentMap<String, LongAdder> counts = new ConcurrentHashMap<>();

    /** Once more, for this cause. */
    public void add(Kind kind, Enum<?> cause) {
        counts.computeIfAbsent(kind + "." + cause.name(), name -> new LongAdder())
                .increment();
    }

    /** How often so far. */
    public long count(Kind kind, Enum<?> cause) {
        LongAdder count = counts.get(kind + "." + cause.name());
        return count == null ? 0 : count.sum();
    }

    /** {@code KIND.CAUSE=count}, in the order of names, without what has not happened. */
    @Override
    public String toString() {
        SortedMap<String, LongAdder> sorted = new TreeMap<>(counts);
        return sorted.entrySet().stream()
                .map(e -> e.getKey() + "=" + e.getValue().sum())
                .collect(Collectors.joining(" "));
    }
}

package copperbeam.routing;

import java.time.Duration;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/**
 * Time that requests of each class spent in each stage, and counts of the final answers given in each stage, by cause. For the
 * log; thread-safe.
 */
public final class StageTimes {
    /** Stage of a request before the first event of its stream. */
    public enum Stage {
        WAITS_FOR_READER,
        READING,
        WAITS_FOR_WRITER,
        WRITING
    }

    private record Key(String requestClass, Stage stage) implements Comparable<Key> {
        @Override
        public int compareTo(Key other) {
            int byClass = requestClass.compareTo(other.requestClass);
            return byClass != 0 ? byClass : stage.compareTo(other.stage);
        }

        @Override
        public String toString() {
            return requestClass + "." + stage;
        }
    }

    /** Counts of one class in one stage. */
    private static final class Counts {
        private final LongAdder stays = new LongAdder();
        private final LongAdder millis = new LongAdder();
        private final Map<String, LongAdder> endsByCause = new ConcurrentHashMap<>();

        @Override
        public String toString() {
            SortedMap<String, LongAdder> sorted = new TreeMap<>(endsByCause);
            return stays + " in " + millis + " ms" + (sorted.isEmpty() ? "" : " " + sorted);
        }
    }

    private final Map<Key, Counts> counts = new ConcurrentHashMap<>();

    /** Adds the time that a request spent in this stage. */
    public void addStay(String requestClass, Stage stage, Duration duration) {
        Counts stageCounts = counts(requestClass, stage);
        stageCounts.stays.increment();
        stageCounts.millis.add(duration.toMillis());
    }

    /** Counts a request that was refused or failed in this stage. */
    public void addEnd(String requestClass, Stage stage, Enum<?> cause) {
        counts(requestClass, stage)
                .endsByCause
                .computeIfAbsent(cause.name(), name -> new LongAdder())
                .increment();
    }

    /** Number of requests that ended in this stage for this cause. */
    public long endCount(String requestClass, Stage stage, Enum<?> cause) {
        LongAdder count = counts(requestClass, stage).endsByCause.get(cause.name());
        return count == null ? 0 : count.sum();
    }

    private Counts counts(String requestClass, Stage stage) {
        return counts.computeIfAbsent(new Key(requestClass, stage), key -> new Counts());
    }

    /** {@code CLASS.STAGE=N in M ms {CAUSE=N}}, sorted by class and stage; N stays took M ms in all. */
    @Override
    public String toString() {
        return new TreeMap<>(counts)
                .entrySet().stream().map(e -> e.getKey() + "=" + e.getValue()).collect(Collectors.joining("; "));
    }
}

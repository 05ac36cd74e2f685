package copperbeam.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What this process has done since its start, counted where it happens and read from any thread. A figure is never
 * derived from another's: who counts an end has seen it.
 */
public final class Metrics {
    /** How a request ended; where the client had gone, it counts nowhere. */
    public enum End {
        ANSWERED,
        DEFERRED,
        ERRORED,
        LEFT
    }

    /** One class's counts. */
    private static final class Counts {
        final AtomicLong[] ends = {new AtomicLong(), new AtomicLong(), new AtomicLong(), new AtomicLong()};
        final AtomicLong sends = new AtomicLong();
    }

    /** Of servers: those in the list, and those of them that the conductor now avoids, by hand or by choice. */
    public record Cluster(int size, int avoided) {}

    private final Map<String, Counts> classes = new LinkedHashMap<>();
    private final AtomicLong current = new AtomicLong();
    private final CauseCounts causes = new CauseCounts();
    private final StageTimes stages = new StageTimes();
    private volatile Cluster cluster = new Cluster(0, 0);

    /** {@code names}: the classes that are counted; what is of another counts as current alone. */
    public Metrics(Collection<String> names) {
        names.forEach(n -> classes.put(n, new Counts()));
    }

    /** A request was taken. */
    public void taken() {
        current.incrementAndGet();
    }

    /** A request that was taken has ended. */
    public void ended(String requestClass, End end) {
        current.decrementAndGet();
        count(requestClass, end);
    }

    /** A request got its final answer before it was taken. */
    public void turnedAway(String requestClass, End end) {
        count(requestClass, end);
    }

    private void count(String requestClass, End end) {
        Counts c = requestClass == null ? null : classes.get(requestClass);
        if (c != null) {
            c.ends[end.ordinal()].incrementAndGet();
        }
    }

    /** An attempt was written whole to a server. */
    public void sent(String requestClass) {
        Counts c = classes.get(requestClass);
        if (c != null) {
            c.sends.incrementAndGet();
        }
    }

    /** Why what happened, for the log. */
    public CauseCounts causes() {
        return causes;
    }

    /** Where requests of each class spent their time, for the log. */
    public StageTimes stages() {
        return stages;
    }

    void cluster(Cluster now) {
        cluster = now;
    }

    public Cluster cluster() {
        return cluster;
    }

    /** Requests taken and not yet ended. */
    public long current() {
        return current.get();
    }

    public long count(End end, String requestClass) {
        return classes.get(requestClass).ends[end.ordinal()].get();
    }

    public long sends(String requestClass) {
        return classes.get(requestClass).sends.get();
    }

    public Collection<String> classes() {
        return classes.keySet();
    }
}

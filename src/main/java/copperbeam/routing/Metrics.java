package copperbeam.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counters of this process since its start, incremented where the events happen. No counter is derived from another one.
 * Thread-safe.
 */
public final class Metrics {
    /** How a request ended. {@code LEFT}: its client had gone away before; this count is not published. */
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

    /** Number of listed servers, and of those that the conductor avoids now, on an operator's order or by its own decision. */
    public record Cluster(int size, int avoided) {}

    private final Map<String, Counts> countsByClass = new LinkedHashMap<>();
    private final AtomicLong openRequests = new AtomicLong();
    private final CauseCounts causes = new CauseCounts();
    private final StageTimes stages = new StageTimes();
    private volatile Cluster cluster = new Cluster(0, 0);

    /** {@code names}: the classes counted; a request of another class counts only among the open requests. */
    public Metrics(Collection<String> names) {
        names.forEach(n -> countsByClass.put(n, new Counts()));
    }

    /** Counts a request that was accepted. */
    public void requestAccepted() {
        openRequests.incrementAndGet();
    }

    /** Counts the end of an accepted request. */
    public void requestEnded(String requestClass, End end) {
        openRequests.decrementAndGet();
        count(requestClass, end);
    }

    /** Counts a request that got its final answer without being accepted. */
    public void requestRejected(String requestClass, End end) {
        count(requestClass, end);
    }

    private void count(String requestClass, End end) {
        Counts counts = requestClass == null ? null : countsByClass.get(requestClass);
        if (counts != null) {
            counts.ends[end.ordinal()].incrementAndGet();
        }
    }

    /** Counts an attempt that was completely written to a server. */
    public void attemptSent(String requestClass) {
        Counts counts = countsByClass.get(requestClass);
        if (counts != null) {
            counts.sends.incrementAndGet();
        }
    }

    /** Counts of events by cause, for the log. */
    public CauseCounts causes() {
        return causes;
    }

    /** Time that requests of each class spent in each stage, for the log. */
    public StageTimes stages() {
        return stages;
    }

    void cluster(Cluster newCluster) {
        cluster = newCluster;
    }

    public Cluster cluster() {
        return cluster;
    }

    /** Number of requests accepted and not yet ended. */
    public long openRequests() {
        return openRequests.get();
    }

    public long count(End end, String requestClass) {
        return countsByClass.get(requestClass).ends[end.ordinal()].get();
    }

    public long sends(String requestClass) {
        return countsByClass.get(requestClass).sends.get();
    }

    public Collection<String> classes() {
        return countsByClass.keySet();
    }
}

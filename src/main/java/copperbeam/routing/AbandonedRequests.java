package copperbeam.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests that may have run when their clients left, and that must not run again: a client may send such a request
 * once more under the same id. Keeps hashes of the ids for a limited time, and a limited number of them. Not thread-safe.
 */
final class AbandonedRequests {
    private static final Duration RETENTION = Duration.ofSeconds(60);
    private static final int MAX_REQUESTS = 4096;

    /** {@code repeatableUntil}: until then servers drop a repeat, so that it does no harm. */
    private record Abandoned(Instant repeatableUntil, Instant forgetAt) {}

    private final Map<Long, Abandoned> byId = new LinkedHashMap<>(); // the oldest first

    /** Records a request; {@code repeatableUntil}: see {@link RequestRules#repeatableUntil}. */
    void add(String id, Instant repeatableUntil, Instant now) {
        long key = TextHash.fnv1a(id);
        byId.remove(key);
        byId.put(key, new Abandoned(repeatableUntil, now.plus(RETENTION)));
        removeOldest(now);
    }

    /** Whether a request with this id must not run now. */
    boolean forbids(String id, Instant now) {
        removeOldest(now);
        Abandoned abandoned = byId.get(TextHash.fnv1a(id));
        return abandoned != null && now.isAfter(abandoned.repeatableUntil());
    }

    private void removeOldest(Instant now) {
        var oldest = byId.values().iterator();
        while (oldest.hasNext() && (oldest.next().forgetAt().isBefore(now) || byId.size() > MAX_REQUESTS)) {
            oldest.remove();
        }
    }
}

package copperbeam.soak;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/** The server list that discovery announces; each change increments its version. Thread-safe. */
final class Fleet {
    /** One server's entry, without its address, which differs between conductors as each reaches it through its own proxy. */
    record Entry(String id, Role role, String state, long startedMs, long version) {
        /** As the list service writes it. */
        String toJson(String address) {
            return String.format(
                    "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"a\",\"kind\":\"%s\",\"cell\":0,\"state\":\"%s\","
                            + "\"weight\":1.0,\"started_ms\":%d}",
                    id, address, role == Role.READER ? "prefill" : "decode", state, startedMs);
        }
    }

    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private long version = 1;

    synchronized void put(String id, Role role, String state, long startedMs) {
        version++;
        entries.put(id, new Entry(id, role, state, startedMs, version));
        notifyAll();
    }

    synchronized Entry get(String id) {
        return entries.get(id);
    }

    synchronized long version() {
        return version;
    }

    /** The entries changed after version {@code after}, by id; waits up to {@code waitMs} for the first such change. */
    synchronized Map<String, Entry> changesSince(long after, long waitMs) throws InterruptedException {
        long deadlineNs = System.nanoTime() + waitMs * 1_000_000;
        for (long remainingMs = waitMs;
                version <= after && remainingMs > 0;
                remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000) {
            wait(remainingMs);
        }
        return entries.values().stream()
                .filter(e -> e.version() > after)
                .collect(Collectors.toMap(Entry::id, e -> e, (a, b) -> b, LinkedHashMap::new));
    }
}

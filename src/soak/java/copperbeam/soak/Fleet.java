package copperbeam.soak;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/** The list of servers as discovery has it, with a version for each change; from any thread. */
final class Fleet {
    /** One server's entry but for its address, which each conductor has its own of. */
    record Entry(String id, Role role, String state, long startedMs, long version) {}

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

    /** What is newer than {@code from}, after waiting for it for so long at most. */
    synchronized Map<String, Entry> since(long from, long waitMs) throws InterruptedException {
        long until = System.nanoTime() + waitMs * 1_000_000;
        for (long left = waitMs; version <= from && left > 0; left = (until - System.nanoTime()) / 1_000_000) {
            wait(left);
        }
        return entries.values().stream()
                .filter(e -> e.version() > from)
                .collect(Collectors.toMap(Entry::id, e -> e, (a, b) -> b, LinkedHashMap::new));
    }
}

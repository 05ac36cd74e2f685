package copperbeam.soak;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The read states that the servers of a run hold, and the attempts that wait for them. A release frees a state only while no
 * attempt waits for it, as the protocol says.
 */
final class ReadStates {
    private final History history;
    private final Map<String, String> holders = new ConcurrentHashMap<>(); // by request: the id of the reader
    private final Map<String, Set<ProxiedConnection>> waiting = new ConcurrentHashMap<>(); // by request

    ReadStates(History history) {
        this.history = history;
    }

    void hold(String request, String reader, long at) {
        holders.put(request, reader);
        history.add(new Observation.StateHeld(at, request, reader));
    }

    boolean isHeld(String request) {
        return holders.containsKey(request);
    }

    /** The attempt on this connection begins to wait for the state. */
    void startWaiting(String request, ProxiedConnection link) {
        waiting.computeIfAbsent(request, id -> ConcurrentHashMap.newKeySet()).add(link);
    }

    /** The attempt on this connection no longer waits: it takes the state or has failed. */
    void stopWaiting(String request, ProxiedConnection link) {
        waiting.get(request).remove(link);
    }

    /** A writer takes the state; returns whether there was one. */
    boolean take(String request) {
        boolean held = holders.remove(request) != null;
        if (held) {
            history.add(new Observation.StateFreed(System.nanoTime(), request));
        }
        return held;
    }

    /** Frees the state, unless an attempt waits for it whose end has not been noticed yet. */
    void release(String request) {
        boolean awaited =
                waiting.getOrDefault(request, Set.of()).stream().anyMatch(link -> link.endedAt() == Long.MAX_VALUE);
        if (!awaited) {
            take(request);
        }
    }

    /** Drops all states of a server, as a restart does. */
    void forgetAll(String server) {
        holders.forEach((request, holder) -> {
            if (holder.equals(server)) {
                take(request);
            }
        });
    }
}

package copperbeam.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A read state is fetched or released within {@code release_s} plus 0.3 s after the last attempt of its request has ended, or
 * after a server began to hold the state if that is later. Attempts that have not arrived at a running server do not count.
 */
final class HeldRule implements Rule {
    private static final long MORE = 300 * VirtualTime.MILLI;
    /** Share of the listed servers; a process that reaches fewer may find no server to ask for a release. */
    private static final double REACHABLE = 0.2;

    private static final long LOOK = 50 * VirtualTime.MILLI;

    private final World world;
    private final Map<String, Long> heldSince = new HashMap<>();
    private final Map<ModelProcess, Long> unreachableAt = new HashMap<>();
    private long lookedAt;

    HeldRule(World world) {
        this.world = world;
    }

    @Override
    public void held(String requestId) {
        heldSince.put(requestId, world.time.now());
    }

    @Override
    public void letGo(String requestId) {
        heldSince.remove(requestId);
    }

    private void look(long now) {
        List<ModelServer> listed = world.listed();
        for (ModelProcess p : world.processes) {
            int heard = 0;
            for (ModelServer s : listed) {
                heard += s.reachable(p) && !s.hung() ? 1 : 0;
            }
            if (heard < REACHABLE * listed.size() || heard == 0) {
                unreachableAt.put(p, now);
            }
        }
    }

    @Override
    public void check() {
        long now = world.time.now();
        if (now - lookedAt >= LOOK) {
            lookedAt = now;
            look(now);
        }
        long within = (long) (world.settings.settings().rules().releaseS() * 1e9) + MORE + world.heldUp;
        heldSince.keySet().removeIf(id -> !world.stateOwners.containsKey(id)); // the server that held it has stopped
        heldSince.forEach((id, since) -> {
            ClientRequest request = world.requests.get(id);
            boolean out = request.attempts.stream().anyMatch(Attempt::arrivedAndOut);
            long lastEnd = request.attempts.stream()
                    .filter(a -> a.arrivedAt >= 0)
                    .mapToLong(a -> a.overAt)
                    .max()
                    .orElse(0);
            long from = Math.max(since, lastEnd);
            boolean cutOff = unreachableAt.getOrDefault(request.process, -1L) >= from;
            if (!out && now - from > within && !request.process.killed && !cutOff) {
                world.broken("read state held since " + World.time(from), request, world.stateOwners.get(id));
            }
        });
    }
}

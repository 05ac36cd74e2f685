package copperbeam.model;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A read state is fetched or released within {@code release_s} plus 0.3 s after the last attempt of its request has ended, or
 * after a server began to hold the state if that is later. Attempts that have not arrived at a running server do not count.
 */
final class HeldRule implements Rule {
    private static final long RELEASE_SLACK_NS = 300 * VirtualTime.NANOS_PER_MS;
    /** Share of the listed servers; a process that reaches fewer may find no server to ask for a release. */
    private static final double MIN_REACHABLE_SHARE = 0.2;

    private static final long REACHABILITY_CHECK_INTERVAL_NS = 50 * VirtualTime.NANOS_PER_MS;

    private final World world;
    private final Map<String, Long> heldSince = new HashMap<>();
    private final Map<ModelProcess, Long> lastCutOffAt = new HashMap<>();
    private long lastReachabilityCheckAt;

    HeldRule(World world) {
        this.world = world;
    }

    @Override
    public void stateHeld(String requestId) {
        heldSince.put(requestId, world.time.now());
    }

    @Override
    public void stateReleased(String requestId) {
        heldSince.remove(requestId);
    }

    private void checkReachability(long now) {
        List<ModelServer> listed = world.listedServers();
        for (ModelProcess process : world.processes) {
            int reachableCount = 0;
            for (ModelServer server : listed) {
                reachableCount += server.isReachableFrom(process) && !server.isHung() ? 1 : 0;
            }
            if (reachableCount < MIN_REACHABLE_SHARE * listed.size() || reachableCount == 0) {
                lastCutOffAt.put(process, now);
            }
        }
    }

    @Override
    public void check() {
        long now = world.time.now();
        if (now - lastReachabilityCheckAt >= REACHABILITY_CHECK_INTERVAL_NS) {
            lastReachabilityCheckAt = now;
            checkReachability(now);
        }
        long maxHeld = (long) (world.settings.moduleSettings().rules().stateLeaseS() * 1e9)
                + RELEASE_SLACK_NS
                + world.maxPause;
        heldSince
                .keySet()
                .removeIf(id -> !world.readStateHolders.containsKey(id)); // the server that held it has stopped
        heldSince.forEach((id, heldFrom) -> {
            ClientRequest request = world.requests.get(id);
            boolean inFlight = request.attempts.stream().anyMatch(Attempt::isInFlightAtServer);
            long lastEnd = request.attempts.stream()
                    .filter(a -> a.arrivedAt >= 0)
                    .mapToLong(a -> a.endedAt)
                    .max()
                    .orElse(0);
            long countedFrom = Math.max(heldFrom, lastEnd);
            boolean wasCutOff = lastCutOffAt.getOrDefault(request.process, -1L) >= countedFrom;
            if (!inFlight && now - countedFrom > maxHeld && !request.process.killed && !wasCutOff) {
                world.reportViolation(
                        "read state held since " + World.formatTime(countedFrom),
                        request,
                        world.readStateHolders.get(id));
            }
        });
    }
}

package copperbeam.model;

import copperbeam.Api;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * A process starts no attempt at a server later than {@code drain_grace_s} seconds after it was told that the server is
 * draining or gone.
 */
final class DrainRule implements Rule {
    private static final long TIME_LIMIT_SLACK = 50 * VirtualTime.MILLI;

    private final World world;
    private final Map<ModelProcess, Map<ModelServer, Long>> drainsSince = new HashMap<>();

    DrainRule(World world) {
        this.world = world;
    }

    @Override
    public void told(ModelProcess process, ModelServer server, Api.ServerState state, double launchedAt) {
        Map<ModelServer, Long> drains = drainsSince.computeIfAbsent(process, p -> new HashMap<>());
        if (state == Api.ServerState.READY) {
            drains.remove(server);
        } else {
            drains.putIfAbsent(server, world.time.now());
        }
    }

    @Override
    public void headLeft(Attempt attempt, Duration told) {
        Long since = drainsSince.getOrDefault(attempt.process, Map.of()).get(attempt.server);
        long grace = world.settings.drainGrace().toNanos() + TIME_LIMIT_SLACK + world.heldUp;
        if (since != null && world.time.now() - since > grace) {
            world.broken("sent to a draining server after the grace period", attempt.request, attempt.server);
        }
    }
}

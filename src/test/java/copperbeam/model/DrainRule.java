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
    private static final long GRACE_SLACK_NS = 50 * VirtualTime.NANOS_PER_MS;

    private final World world;
    private final Map<ModelProcess, Map<ModelServer, Long>> drainingSince = new HashMap<>();

    DrainRule(World world) {
        this.world = world;
    }

    @Override
    public void serverListed(ModelProcess process, ModelServer server, Api.ServerState state, double launchedAt) {
        Map<ModelServer, Long> draining = drainingSince.computeIfAbsent(process, p -> new HashMap<>());
        if (state == Api.ServerState.READY) {
            draining.remove(server);
        } else {
            draining.putIfAbsent(server, world.time.now());
        }
    }

    @Override
    public void headSent(Attempt attempt, Duration announcedTimeout) {
        Long since = drainingSince.getOrDefault(attempt.process, Map.of()).get(attempt.server);
        long grace = world.settings.drainGrace().toNanos() + GRACE_SLACK_NS + world.maxPause;
        if (since != null && world.time.now() - since > grace) {
            world.reportViolation("sent to a draining server after the grace period", attempt.request, attempt.server);
        }
    }
}

package copperbeam.model;

import copperbeam.Api;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * All processes together send no more work to a server in slow start than the settings allow in any window of
 * {@code fall_s} seconds, with some tolerance for random fluctuation. Work is counted in calls of mean prompt length.
 */
final class ColdRule implements Rule {
    private static final double SMALL_LIMIT_CALLS =
            30; // calls; a smaller nominal limit gets a larger relative tolerance
    /** The limit applies if more than this share of the work comes from processes that know of the launch. */
    private static final double MIN_INFORMED_SHARE = 2 / 3.0;

    private record Call(long arrivedAt, double weight, boolean informed) {}

    private static final class Window {
        final Deque<Call> calls = new ArrayDeque<>();
        double launchedAt;
    }

    private final World world;
    private final Map<ModelServer, Window> windows = new HashMap<>();
    private final Map<ModelProcess, Map<ModelServer, Double>> knownLaunches = new HashMap<>();
    double maxBoundRatio; // largest ratio of the work to its bound
    double maxNominalRatio; // largest ratio of the work to the nominal limit, without tolerance

    ColdRule(World world) {
        this.world = world;
    }

    @Override
    public void serverListed(ModelProcess process, ModelServer server, Api.ServerState state, double launchedAt) {
        knownLaunches.computeIfAbsent(process, p -> new HashMap<>()).put(server, launchedAt);
    }

    @Override
    public void lastByteArrived(Attempt attempt) {
        ModelServer server = attempt.server;
        Api.Rules rules = world.settings.moduleSettings().rules();
        long now = world.time.now();
        if (server.startedAt < 0 || now - server.startedAt > rules.warmUpS() * 1e9) {
            return;
        }
        Window window = windows.computeIfAbsent(server, s -> new Window());
        if (window.launchedAt != server.launchedAt) {
            window.launchedAt = server.launchedAt;
            window.calls.clear();
        }
        Double knownLaunch =
                knownLaunches.getOrDefault(attempt.process, Map.of()).get(server);
        window.calls.add(new Call(
                now,
                attempt.request.spec.promptTokens() / world.meanPromptTokens(),
                knownLaunch != null && knownLaunch == server.launchedAt));
        while (now - window.calls.peek().arrivedAt > rules.overloadWindowS() * 1e9) {
            window.calls.poll();
        }
        double sum = window.calls.stream().mapToDouble(c -> c.weight).sum();
        double informed = window.calls.stream()
                .filter(c -> c.informed)
                .mapToDouble(c -> c.weight)
                .sum();
        double nominalLimit =
                rules.overloadMultiple() * server.capacityShare() * server.capacity() * rules.overloadWindowS();
        double bound = nominalLimit
                + (nominalLimit < SMALL_LIMIT_CALLS
                        ? 3 * Math.sqrt(nominalLimit) + 3
                        : 2 * Math.sqrt(nominalLimit) + 2);
        maxBoundRatio = Math.max(maxBoundRatio, sum / bound);
        maxNominalRatio = Math.max(maxNominalRatio, sum / nominalLimit);
        if (sum > bound && informed > MIN_INFORMED_SHARE * sum) {
            world.reportViolation(
                    String.format(
                            "%.1f calls of mean work to a cold server within %.2f s, bound %.1f, nominal limit %.1f",
                            sum, rules.overloadWindowS(), bound, nominalLimit),
                    null,
                    server);
        }
    }
}

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
    private static final double FEW = 30; // calls; a smaller nominal limit gets a larger relative tolerance
    /** The limit applies if more than this share of the work comes from processes that know of the launch. */
    private static final double INFORMED = 2 / 3.0;

    private record Call(long at, double weight, boolean informed) {}

    private static final class Window {
        final Deque<Call> calls = new ArrayDeque<>();
        double launchedAt;
    }

    private final World world;
    private final Map<ModelServer, Window> windows = new HashMap<>();
    private final Map<ModelProcess, Map<ModelServer, Double>> known = new HashMap<>();
    double worst; // largest ratio of the work to its bound
    double worstOfN; // largest ratio of the work to the nominal limit, without tolerance

    ColdRule(World world) {
        this.world = world;
    }

    @Override
    public void told(ModelProcess process, ModelServer server, Api.ServerState state, double launchedAt) {
        known.computeIfAbsent(process, p -> new HashMap<>()).put(server, launchedAt);
    }

    @Override
    public void lastByteArrived(Attempt attempt) {
        ModelServer server = attempt.server;
        Api.Rules rules = world.settings.settings().rules();
        long now = world.time.now();
        if (server.startedAt < 0 || now - server.startedAt > rules.warmWithinS() * 1e9) {
            return;
        }
        Window w = windows.computeIfAbsent(server, s -> new Window());
        if (w.launchedAt != server.launchedAt) {
            w.launchedAt = server.launchedAt;
            w.calls.clear();
        }
        Double told = known.getOrDefault(attempt.process, Map.of()).get(server);
        w.calls.add(new Call(
                now,
                attempt.request.ask.promptTokens() / world.meanTokens(),
                told != null && told == server.launchedAt));
        while (now - w.calls.peek().at > rules.fallS() * 1e9) {
            w.calls.poll();
        }
        double sum = w.calls.stream().mapToDouble(c -> c.weight).sum();
        double informed = w.calls.stream()
                .filter(c -> c.informed)
                .mapToDouble(c -> c.weight)
                .sum();
        double n = rules.fallMultiple() * server.warmth() * server.capacity() * rules.fallS();
        double bound = n + (n < FEW ? 3 * Math.sqrt(n) + 3 : 2 * Math.sqrt(n) + 2);
        worst = Math.max(worst, sum / bound);
        worstOfN = Math.max(worstOfN, sum / n);
        if (sum > bound && informed > INFORMED * sum) {
            world.broken(
                    String.format(
                            "%.1f calls of mean work to a cold server within %.2f s, bound %.1f, nominal limit %.1f",
                            sum, rules.fallS(), bound, n),
                    null,
                    server);
        }
    }
}

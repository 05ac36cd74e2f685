package copperbeam.program;

import copperbeam.Api;
import copperbeam.Brain;
import copperbeam.protocol.HttpClient;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs the hot path before the first client arrives: some requests through a separate instance of the decision module, and
 * calls to this process's own front that are answered before they reach the module. Without it, answers would be late in the
 * first second, while one core loads classes and compiles code.
 */
final class WarmUp {
    private static final int REQUESTS = 10;
    private static final int MAX_ATTEMPTS = 8; // per request
    private static final int CALLS = 3;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_ANSWER_BYTES =
            64 * 1024; // limit for the body of an answer; those of this process are much shorter

    private WarmUp() {}

    /**
     * Starts the warm-up; {@code onDone} runs at its end, whatever the calls' results.
     *
     * @param ownAddress address of this process's front; null: no calls are made
     */
    static void start(Api.Settings settings, HttpClient client, InetSocketAddress ownAddress, Runnable onDone) {
        runModule(settings);
        if (ownAddress == null) {
            onDone.run();
        } else {
            call(client, ownAddress, new AtomicInteger(), onDone);
        }
    }

    private static void call(
            HttpClient client, InetSocketAddress ownAddress, AtomicInteger callsMade, Runnable onDone) {
        int number = callsMade.getAndIncrement();
        if (number >= CALLS) {
            onDone.run();
            return;
        }
        // as the request has no id, the front answers it with status 400, and no attempt is made
        byte[] body = number % 2 == 0 ? null : "{\"stream\":true}".getBytes(StandardCharsets.UTF_8);
        client.fetch(
                ownAddress,
                body == null ? "GET" : "POST",
                body == null ? "/healthz" : "/v1/chat/completions",
                body,
                new HttpClient.Timeouts(CALL_TIMEOUT, CALL_TIMEOUT),
                MAX_ANSWER_BYTES,
                answer -> call(client, ownAddress, callsMade, onDone));
    }

    private static void runModule(Api.Settings settings) {
        Brain brain = new Brain(settings, 1);
        List<Api.Member> members = new ArrayList<>();
        for (Api.ServerKind kind : settings.kinds()) {
            for (int i = 0; i < 6; i++) {
                members.add(new Api.Member(kind.name() + i, "zone", kind.name(), i % 2, Api.ServerState.READY, 1, 0));
            }
        }
        double now = 1;
        brain.onEvent(now, new Api.ServerListUpdate(Api.ListKind.FULL, members));
        for (int i = 0; i < REQUESTS; i++, now += 0.05) {
            String requestClass =
                    settings.classes().get(i % settings.classes().size()).name();
            List<Api.Action> actions = brain.onEvent(
                    now, new Api.Arrival(i, requestClass, null, "s" + i % 40, "p" + i % 7, 2000, 1000, 200, now + 5));
            // bounded, as the settings may allow any number of attempts, and the start must not take so long
            for (int attempt = 0;
                    attempt < Math.min(settings.limits().maxAttempts(), MAX_ATTEMPTS) && !actions.isEmpty();
                    attempt++) {
                actions = applyActions(brain, now, i, attempt, actions);
            }
        }
    }

    /** Feeds the module the results of its actions (probes, short timers, a read, then a complete stream); returns new ones. */
    private static List<Api.Action> applyActions(
            Brain brain, double now, long request, int attempt, List<Api.Action> actions) {
        List<Api.Action> nextActions = new ArrayList<>();
        for (Api.Action action : actions) {
            if (action instanceof Api.Probe probe) {
                nextActions.addAll(brain.onEvent(
                        now + 0.002,
                        new Api.ProbeEnded(
                                probe.server(),
                                Api.Outcome.OK,
                                0.002,
                                new Api.Report(Double.NaN, Double.NaN, 3, 0.2, Double.NaN))));
            } else if (action instanceof Api.Timer timer && timer.delayS() < 0.1) {
                nextActions.addAll(brain.onEvent(now + timer.delayS(), new Api.TimerFired(timer.tag())));
            } else if (action instanceof Api.Attempt attemptAction) {
                boolean isRead = attempt % 2 == 0;
                if (!isRead) {
                    brain.onEvent(now + 0.03, new Api.StreamStarted(request, attempt, attemptAction.server(), 0.03));
                }
                nextActions.addAll(brain.onEvent(
                        now + 0.04,
                        new Api.AttemptEnded(
                                request,
                                attempt,
                                attemptAction.server(),
                                isRead ? Api.Outcome.READ : Api.Outcome.OK,
                                0.04,
                                !isRead,
                                false,
                                null)));
            }
        }
        return nextActions;
    }
}

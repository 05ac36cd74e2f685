package copperbeam.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import copperbeam.Api;
import copperbeam.Brain;
import copperbeam.model.GeneratedSettings;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Random configurations: valid ones are accepted and their classes served; for invalid ones, the key at fault is named. */
public class GeneratedSettingsTest {
    private static final int SEEDS = Integer.getInteger("settings.seeds", 1500);
    private static final int MAX_REPORTED_FAILURES = 12; // bounds the output, as one cause fails for many seeds

    private static Config read(Path file, GeneratedSettings drawn) throws Exception {
        Files.writeString(file, drawn.json());
        return Config.read(Map.of("GW_CONFIG", file.toString()), null);
    }

    @Test
    public void validSettingsAreAcceptedAndServed() throws Exception {
        Path file = Files.createTempFile("config", ".json");
        Map<String, String> failures = new TreeMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            GeneratedSettings drawn = GeneratedSettings.draw(seed);
            try {
                Config config = read(file, drawn);
                assertEquals(
                        new ArrayList<>(config.classNames().stream().sorted().toList()),
                        drawn.classNames().stream().sorted().toList());
                for (int i = 0; i < config.settings().classes().size(); i++) {
                    String failureLog = RequestSimulation.failureLog(config.settings(), i, drawn.roleByKind());
                    assertTrue(failureLog == null, "class " + i + " is not served: " + failureLog);
                }
            } catch (Config.Invalid | RuntimeException | AssertionError | StackOverflowError e) {
                failures.putIfAbsent(String.valueOf(e).replaceAll("[0-9.]+", "#"), e + "\n" + drawn);
            }
        }
        assertNone(failures);
    }

    @Test
    public void invalidSettingsAreRejectedByKey() throws Exception {
        Path file = Files.createTempFile("config", ".json");
        Map<String, String> failures = new TreeMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            GeneratedSettings drawn = GeneratedSettings.drawInvalid(seed);
            String result;
            try {
                read(file, drawn);
                result = "taken";
            } catch (Config.Invalid e) {
                result = e.getMessage().contains(drawn.invalidKey()) ? null : "not named: " + e.getMessage();
            } catch (RuntimeException | StackOverflowError e) {
                result = "thrown: " + e;
            }
            if (result != null) {
                failures.putIfAbsent(drawn.invalidKey() + " " + result, drawn.toString());
            }
        }
        assertNone(failures);
    }

    private static void assertNone(Map<String, String> failures) {
        if (!failures.isEmpty()) {
            StringBuilder text = new StringBuilder(failures.size() + " kinds of failure");
            failures.entrySet().stream()
                    .limit(MAX_REPORTED_FAILURES)
                    .forEach(e -> text.append("\n")
                            .append(e.getKey())
                            .append("\n    ")
                            .append(e.getValue()));
            fail(text.toString());
        }
    }

    /** Simulates one request, with one idle server of each kind that answers at once. */
    private static final class RequestSimulation {
        private record ScheduledEvent(double atS, Api.Event event) {}

        private static final double DEADLINE_S = 20;

        private final Api.Settings settings;
        private final Map<String, String> roles;
        private final Brain brain;
        private final List<ScheduledEvent> scheduledEvents = new ArrayList<>();
        private int attempts;
        private Boolean served;

        private RequestSimulation(Api.Settings settings, Map<String, String> roles) {
            this.settings = settings;
            this.roles = roles;
            brain = new Brain(settings, 7);
        }

        /** Null if the request is served, else the end of the log of the module's actions. */
        static String failureLog(Api.Settings settings, int requestClass, Map<String, String> roles) {
            return new RequestSimulation(settings, roles)
                    .run(settings.classes().get(requestClass).name());
        }

        private String run(String requestClass) {
            List<Api.Member> members = new ArrayList<>();
            roles.keySet().forEach(k -> members.add(new Api.Member(k, "a", k, 0, Api.ServerState.READY, 1, 0)));
            feed(1, new Api.ServerListUpdate(Api.ListKind.FULL, members));
            StringBuilder log = new StringBuilder();
            scheduledEvents.add(new ScheduledEvent(
                    3, new Api.Arrival(1, requestClass, "t", "s", "p", 1000, 500, 10, 3 + DEADLINE_S)));
            while (!scheduledEvents.isEmpty() && served == null) {
                ScheduledEvent next = scheduledEvents.stream()
                        .min(java.util.Comparator.comparingDouble(ScheduledEvent::atS))
                        .orElseThrow();
                scheduledEvents.remove(next);
                if (next.atS() > 3 + DEADLINE_S) {
                    break;
                }
                feed(next.atS(), next.event()).forEach(a -> log.append(' ').append(a));
            }
            return Boolean.TRUE.equals(served) ? null : log.substring(Math.max(0, log.length() - 1500));
        }

        private List<Api.Action> feed(double now, Api.Event event) {
            List<Api.Action> actions = brain.onEvent(now, event);
            for (Api.Action action : actions) {
                if (action instanceof Api.Timer t) {
                    scheduledEvents.add(
                            new ScheduledEvent(now + Math.max(t.delayS(), 0.001), new Api.TimerFired(t.tag())));
                } else if (action instanceof Api.Probe p) {
                    scheduledEvents.add(new ScheduledEvent(
                            now + 0.002, new Api.ProbeEnded(p.server(), Api.Outcome.OK, 0.002, null)));
                } else if (action instanceof Api.Attempt a) {
                    onAttempt(now + 0.01, a);
                } else if (action instanceof Api.Refuse || action instanceof Api.Fail) {
                    served = false;
                }
            }
            return actions;
        }

        private void onAttempt(double endS, Api.Attempt attempt) {
            boolean reads = roles.get(attempt.server()).equals("read");
            int number = attempts++;
            if (!reads) {
                served = attempts <= settings.limits().maxAttempts();
                return;
            }
            scheduledEvents.add(new ScheduledEvent(
                    endS,
                    new Api.AttemptEnded(1, number, attempt.server(), Api.Outcome.READ, 0.01, false, false, null, 0)));
        }
    }
}

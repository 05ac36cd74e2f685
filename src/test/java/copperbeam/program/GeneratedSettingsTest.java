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
    private static final int MOST_TOLD = 12; // bounds the output, as one cause fails for many seeds

    private static Config read(Path file, GeneratedSettings drawn) throws Exception {
        Files.writeString(file, drawn.json());
        return Config.read(Map.of("GW_CONFIG", file.toString()), null);
    }

    @Test
    public void whatIsDrawnWithinThePagesIsTakenAndServed() throws Exception {
        Path file = Files.createTempFile("config", ".json");
        Map<String, String> failures = new TreeMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            GeneratedSettings drawn = GeneratedSettings.draw(seed);
            try {
                Config taken = read(file, drawn);
                assertEquals(
                        new ArrayList<>(taken.classNames().stream().sorted().toList()),
                        drawn.classes().stream().sorted().toList());
                for (int i = 0; i < taken.settings().classes().size(); i++) {
                    String unserved = OneRequest.unserved(taken.settings(), i, drawn.roles());
                    assertTrue(unserved == null, "class " + i + " is not served: " + unserved);
                }
            } catch (Config.Invalid | RuntimeException | AssertionError | StackOverflowError e) {
                failures.putIfAbsent(String.valueOf(e).replaceAll("[0-9.]+", "#"), e + "\n" + drawn);
            }
        }
        assertNone(failures);
    }

    @Test
    public void whatCannotBeMeantIsRefusedByItsKey() throws Exception {
        Path file = Files.createTempFile("config", ".json");
        Map<String, String> failures = new TreeMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            GeneratedSettings drawn = GeneratedSettings.spoilt(seed);
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
                    .limit(MOST_TOLD)
                    .forEach(e -> text.append("\n")
                            .append(e.getKey())
                            .append("\n    ")
                            .append(e.getValue()));
            fail(text.toString());
        }
    }

    /** Simulates one request, with one idle server of each kind that answers at once. */
    private static final class OneRequest {
        private record Due(double at, Api.Event event) {}

        private static final double BOUND_S = 20;

        private final Api.Settings settings;
        private final Map<String, String> roles;
        private final Brain brain;
        private final List<Due> due = new ArrayList<>();
        private int attempts;
        private Boolean served;

        private OneRequest(Api.Settings settings, Map<String, String> roles) {
            this.settings = settings;
            this.roles = roles;
            brain = new Brain(settings, 7);
        }

        /** Null if the request is served, else the end of the log of the module's actions. */
        static String unserved(Api.Settings settings, int requestClass, Map<String, String> roles) {
            return new OneRequest(settings, roles)
                    .run(settings.classes().get(requestClass).name());
        }

        private String run(String requestClass) {
            List<Api.Member> members = new ArrayList<>();
            roles.keySet().forEach(k -> members.add(new Api.Member(k, "a", k, 0, Api.ServerState.READY, 1, 0)));
            take(1, new Api.Members(Api.ListKind.FULL, members));
            StringBuilder log = new StringBuilder();
            due.add(new Due(3, new Api.Arrival(1, requestClass, "t", "s", "p", 1000, 500, 10, 3 + BOUND_S)));
            while (!due.isEmpty() && served == null) {
                Due next = due.stream()
                        .min(java.util.Comparator.comparingDouble(Due::at))
                        .orElseThrow();
                due.remove(next);
                if (next.at() > 3 + BOUND_S) {
                    break;
                }
                take(next.at(), next.event()).forEach(a -> log.append(' ').append(a));
            }
            return Boolean.TRUE.equals(served) ? null : log.substring(Math.max(0, log.length() - 1500));
        }

        private List<Api.Action> take(double now, Api.Event event) {
            List<Api.Action> actions = brain.on(now, event);
            for (Api.Action action : actions) {
                if (action instanceof Api.Timer t) {
                    due.add(new Due(now + Math.max(t.afterS(), 0.001), new Api.TimerFired(t.tag())));
                } else if (action instanceof Api.Probe p) {
                    due.add(new Due(now + 0.002, new Api.Probed(p.server(), Api.Outcome.OK, 0.002, null)));
                } else if (action instanceof Api.Attempt a) {
                    attempted(now + 0.01, a);
                } else if (action instanceof Api.Refuse || action instanceof Api.Fail) {
                    served = false;
                }
            }
            return actions;
        }

        private void attempted(double at, Api.Attempt a) {
            boolean reads = roles.get(a.server()).equals("read");
            int number = attempts++;
            if (!reads) {
                served = attempts <= settings.limits().maxAttempts();
                return;
            }
            due.add(new Due(
                    at, new Api.AttemptEnded(1, number, a.server(), Api.Outcome.READ, 0.01, false, false, null, 0)));
        }
    }
}

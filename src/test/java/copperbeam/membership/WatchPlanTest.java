package copperbeam.membership;

import static copperbeam.membership.MemberBookTest.entries;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import copperbeam.Api.ServerState;
import copperbeam.membership.WatchPlan.Ask;
import copperbeam.membership.WatchPlan.Drop;
import copperbeam.membership.WatchPlan.Listing;
import copperbeam.membership.WatchPlan.Step;
import copperbeam.membership.WatchPlan.Tell;
import copperbeam.membership.WatchPlan.Wake;
import copperbeam.routing.MembershipSource.Entry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The watch against agents (addresses of the list service) that learn of changes at different times. All orders of the
 * steps of a small script are explored, not a sample.
 */
public class WatchPlanTest {
    private static final InetSocketAddress[] AT = {
        new InetSocketAddress("127.0.0.1", 1),
        new InetSocketAddress("127.0.0.1", 2),
        new InetSocketAddress("127.0.0.1", 3)
    };
    private static final Duration SHORT_MOST = Duration.ofMillis(100);
    private static final Backoff SHORT = new Backoff(SHORT_MOST, SHORT_MOST, new SplittableRandom(1));
    /** Versions of the registry, from which the agents learn: a drains and is launched again; b stays. */
    private static final String[] LISTS = {"a+0 b+0", "a-0 b+0", "a+9 b+0"};

    /** State of one run of the script. */
    private static final class World {
        final WatchPlan plan;
        final Map<Integer, Ask> out = new LinkedHashMap<>();
        final List<Wake> wakes = new ArrayList<>();
        final TreeMap<String, Entry> user = new TreeMap<>();
        final int[] heard = new int[AT.length];
        final boolean[] broken = new boolean[AT.length];
        int registry;
        int moves;
        int silences;
        boolean told; // an answer has reported the drain of a's first launch
        final int versions;
        final int mostSilences;

        World(int versions, int mostSilences) {
            this(versions, mostSilences, SHORT);
        }

        World(int versions, int mostSilences, Backoff backoff) {
            this(versions, mostSilences, backoff, false);
        }

        World(int versions, int mostSilences, Backoff backoff, boolean servers) {
            plan = new WatchPlan(backoff, servers);
            this.versions = versions;
            this.mostSilences = mostSilences;
            take(plan.move(AT[0]));
        }

        void take(List<Step> steps) {
            for (Step s : steps) {
                if (s instanceof Ask a) {
                    out.put(a.call(), a);
                } else if (s instanceof Drop d) {
                    out.remove(d.call());
                } else if (s instanceof Wake w) {
                    wakes.add(w);
                } else if (s instanceof Tell t) {
                    MemberBookTest.use(user, t.change());
                }
            }
            Entry a = user.get("a");
            assertFalse(
                    told
                            && a != null
                            && a.member().state() == ServerState.READY
                            && a.member().launchedAt() == 0,
                    "a is used again although its drain was reported");
            for (InetSocketAddress at : AT) {
                assertTrue(out.values().stream().filter(o -> o.at().equals(at)).count() <= WatchPlan.MOST_CALLS);
            }
        }

        Ask open(int agent) {
            return out.values().stream()
                    .filter(a -> a.at().equals(AT[agent]) && (a.from() < 0 || a.from() < 10 + heard[agent]))
                    .findFirst()
                    .orElse(null);
        }

        /** The steps that can come next. */
        List<String> enabled() {
            List<String> all = new ArrayList<>();
            if (registry + 1 < versions) {
                all.add("registry");
            }
            for (int i = 0; i < 2; i++) {
                if (heard[i] < registry) {
                    all.add("hears" + i);
                }
                if (!broken[i] && open(i) != null) {
                    all.add("answers" + i);
                }
            }
            if (moves == 0 && plan.listed()) {
                all.add("moves");
            }
            if (moves > 0 && !broken[0]) {
                all.add("breaks0"); // the old address refuses calls from then on
            }
            if (moves > 0 && silences < mostSilences) {
                all.add("silent");
            }
            return all;
        }

        void step(String step) {
            int agent = step.charAt(step.length() - 1) - '0';
            if (step.equals("registry")) {
                registry++;
            } else if (step.startsWith("hears")) {
                heard[agent]++;
            } else if (step.startsWith("answers")) {
                answer(open(agent), agent);
            } else if (step.equals("moves")) {
                moves++;
                take(plan.move(AT[1]));
            } else if (step.startsWith("breaks")) {
                broken[agent] = true;
                for (Ask a : List.copyOf(out.values())) {
                    if (a.at().equals(AT[agent])) {
                        out.remove(a.call());
                        take(plan.failed(a.call(), false));
                    }
                }
            } else {
                silences++;
                wakes.stream().map(Wake::token).toList().forEach(t -> take(plan.woken(t, Instant.EPOCH)));
            }
        }

        void answer(Ask ask, int agent) {
            out.remove(ask.call());
            told |= heard[agent] == 1;
            take(plan.answered(ask.call(), listing(ask, heard[agent]), Instant.EPOCH));
        }
    }

    private static Listing listing(Ask ask, int version) {
        boolean full = ask.from() < 0;
        return new Listing(
                10 + version,
                full,
                full
                        ? entries(LISTS[version])
                        : entries(LISTS[version]).stream()
                                .filter(e -> e.member().server().equals("a"))
                                .toList());
    }

    /** How many versions the registry has, how often all timers of open calls run out, and the least number of runs. */
    @DataProvider
    public Object[][] scripts() {
        return new Object[][] {{3, 0, 10_000}, {2, 2, 1000}};
    }

    /** Explores every order; a run without further steps must have the registry's latest version. */
    @Test(dataProvider = "scripts")
    public void noDrainIsMissedInAnyOrder(int versions, int silences, int least) {
        int[] runs = new int[1];
        explore(versions, silences, new ArrayList<>(), runs);
        assertTrue(runs[0] > least, runs[0] + " runs");
    }

    private static void explore(int versions, int silences, List<String> script, int[] runs) {
        World world = new World(versions, silences);
        try {
            script.forEach(world::step);
        } catch (AssertionError e) {
            throw new AssertionError(script + ": " + e.getMessage(), e);
        }
        List<String> enabled = world.enabled();
        if (enabled.isEmpty()) {
            runs[0]++;
            Entry last = entries(LISTS[versions - 1]).get(0);
            assertEquals(world.user.get("a").member(), last.member(), script.toString());
        }
        for (String next : enabled) {
            script.add(next);
            explore(versions, silences, script, runs);
            script.remove(script.size() - 1);
        }
    }

    /** A drain reported by the old address before the new one has answered is published, and kept afterwards. */
    @Test
    public void theOldAddressIsHeardUntilTheNewOneHasAnswered() {
        World w = listed();
        Ask old = w.open(0);
        w.take(w.plan.move(AT[1]));
        w.heard[0] = 1;
        w.answer(w.out.get(old == null ? first(w, 0).call() : old.call()), 0);
        assertEquals(w.user.get("a").member().state(), ServerState.DRAINING);
        w.answer(first(w, 1), 1); // lags
        assertEquals(w.user.get("a").member().state(), ServerState.DRAINING);
    }

    @Test
    public void twoMovesCloseTogetherLoseNeitherDrainNorCalls() {
        World w = listed();
        w.take(w.plan.move(AT[1]));
        w.take(w.plan.move(AT[2]));
        assertTrue(w.out.values().stream().noneMatch(a -> a.at().equals(AT[1])), "the address in between is abandoned");
        w.heard[0] = 1;
        w.answer(first(w, 0), 0);
        w.answer(first(w, 2), 2);
        assertEquals(w.user.get("a").member().state(), ServerState.DRAINING);
        // the old address is abandoned some time after the new one has given its list
        w.wakes.stream()
                .filter(x -> x.after().equals(WatchPlan.OVERLAP))
                .toList()
                .forEach(x -> w.take(w.plan.woken(x.token(), Instant.EPOCH)));
        assertTrue(w.out.values().stream().allMatch(a -> a.at().equals(AT[2])));
    }

    /** Each refusal is followed by one call 50 to 100 ms later, never by two; a silent call gets others beside it. */
    @Test
    public void refusalsAndSilenceAreBoundedInCalls() {
        World w = new World(3, 0);
        for (int i = 0; i < 50; i++) {
            Ask a = w.out.remove(first(w, 0).call());
            w.wakes.clear();
            w.take(w.plan.failed(a.call(), false));
            assertTrue(w.out.isEmpty());
            assertTrue(w.wakes.stream().allMatch(x -> between(x.after(), SHORT_MOST)), "" + w.wakes);
            assertEquals(w.wakes.size(), 1);
            List.copyOf(w.wakes).forEach(x -> w.take(w.plan.woken(x.token(), Instant.EPOCH)));
            assertEquals(w.out.size(), 1);
        }
        Ask first = first(w, 0);
        for (int i = 0; i < 20; i++) {
            Wake last = w.wakes.get(w.wakes.size() - 1);
            w.take(w.plan.woken(last.token(), Instant.EPOCH));
        }
        assertEquals(w.out.size(), WatchPlan.MOST_CALLS);
        assertTrue(w.out.containsKey(first.call()), "the call to a slow address is kept");
        w.answer(first, 0);
        assertEquals(w.out.values().stream().map(Ask::from).toList(), List.of(10L));
    }

    /** The delay before a retry grows until the service answers, whether it is overloaded or silent. */
    @Test
    public void backoffGrowsWithFailuresAndSilenceWithinTheClock() {
        long most = WatchPlan.PAUSE.toMillis();
        assertEquals(WatchPlan.PAUSE.plus(WatchPlan.CONNECT).plus(WatchPlan.SILENCE), Duration.ofSeconds(5), "of the 6 s allowed");
        World w = new World(3, 0, new Backoff(Duration.ofMillis(500), Duration.ofSeconds(10), new SplittableRandom(7)));
        for (long ms : new long[] {500, 1000, 2000, most, most, most, most}) {
            w.wakes.clear();
            w.take(w.plan.failed(w.out.remove(first(w, 0).call()).call(), false));
            assertTrue(between(w.wakes.get(0).after(), Duration.ofMillis(ms)), ms + " ms: " + w.wakes);
            List.copyOf(w.wakes).forEach(x -> w.take(w.plan.woken(x.token(), Instant.EPOCH)));
        }
        Wake silent = w.wakes.get(w.wakes.size() - 1);
        assertTrue(
                between(silent.after().minus(WatchPlan.SILENCE), WatchPlan.PAUSE),
                "a silent call is retried no sooner than a failed one");
        w.answer(first(w, 0), 0);
        assertEquals(
                w.wakes.get(w.wakes.size() - 1).after(), WatchPlan.HOLD.plus(WatchPlan.SILENCE), "an answer resets the backoff");
        w.wakes.clear();
        w.take(w.plan.failed(w.out.remove(first(w, 0).call()).call(), false));
        assertTrue(between(w.wakes.get(0).after(), Duration.ofMillis(500)));
    }

    /** At a start with a known list, the full list is requested only if the service no longer has the known version. */
    @Test
    public void aStartAsksOnlyForWhatTheKnownListLacks() {
        WatchPlan plan = new WatchPlan(SHORT);
        List<Step> steps = plan.begin(AT[0], new Listing(10, true, entries(LISTS[0])), Instant.EPOCH);
        Ask ask = (Ask) steps.get(0);
        assertEquals(List.of(ask.from(), ask.hold()), List.of(10L, WatchPlan.HOLD));
        List<Step> more = plan.answered(ask.call(), new Listing(11, false, entries("a-0")), Instant.EPOCH);
        assertEquals(
                ((Tell) more.stream().filter(Tell.class::isInstance).findFirst().orElseThrow())
                        .change()
                        .entries(),
                entries("a-0"));
        Ask next = (Ask) more.stream().filter(Ask.class::isInstance).findFirst().orElseThrow();
        assertEquals(next.from(), 11);
        Wake wake = (Wake) plan.failed(next.call(), true).get(0);
        assertTrue(((Ask) plan.woken(wake.token(), Instant.EPOCH).get(0)).from() < 0, "asks for the full list");
    }

    /**
     * Fourteen clients start together, each with a call that takes the service 0.5 s. With exponential backoff all are
     * served; with a constant delay only the first few are.
     */
    @Test
    public void aServiceOverrunByAFleetRecovers() {
        assertEquals(served(new Backoff(Duration.ofMillis(500), WatchPlan.PAUSE, new SplittableRandom(3))), 14);
        assertEquals(served(SHORT), 5, "only those whose first call waited for less than 2 s");
    }

    /** Simulates a FIFO queue whose calls time out after 2 s but are still processed; returns how many succeed in 60 s. */
    private static int served(Backoff backoff) {
        TreeMap<Double, Integer> asks = new TreeMap<>();
        int[] failures = new int[14];
        int served = 0;
        double busyUntil = 0;
        for (int i = 0; i < 14; i++) {
            asks.put(i * 0.01, i);
        }
        while (!asks.isEmpty() && asks.firstKey() < 60) {
            double now = asks.firstKey();
            int who = asks.remove(now);
            double waits = Math.max(0, busyUntil - now);
            busyUntil = Math.max(busyUntil, now) + 0.5;
            if (waits < 2) {
                served++;
            } else {
                asks.put(now + 2 + backoff.after(++failures[who]).toNanos() / 1e9, who);
            }
        }
        return served;
    }

    private static boolean between(Duration after, Duration most) {
        return after.compareTo(most.dividedBy(2)) >= 0 && after.compareTo(most) <= 0;
    }

    /** Versions that go back, in a full list or in changes. */
    @Test
    public void anAddressThatForgetsIsAsOneThatLags() {
        World w = listed();
        w.heard[0] = 1;
        w.answer(first(w, 0), 0);
        Ask a = w.out.remove(first(w, 0).call());
        w.take(w.plan.answered(a.call(), new Listing(3, false, entries("a+0")), Instant.EPOCH));
        assertEquals(
                w.user.get("a").member().state(), ServerState.DRAINING, "changes that refer to another list are ignored");
        Ask whole = w.out.remove(first(w, 0).call());
        assertTrue(whole.from() < 0);
        w.take(w.plan.answered(whole.call(), new Listing(3, true, entries("a+0 b+0")), Instant.EPOCH));
        assertEquals(w.user.get("a").member().state(), ServerState.DRAINING);
        w.told = false; // after MAX_SOURCE_LAG the address counts as up to date
        List.copyOf(w.wakes).forEach(x -> w.take(w.plan.woken(x.token(), Instant.EPOCH.plus(WatchPlan.CARE))));
        assertEquals(w.user.get("a").member().state(), ServerState.READY, "its list is accepted after MAX_SOURCE_LAG");
    }

    /** An address that always answers at once with nothing new gets one call per {@code MIN_CALL_INTERVAL}. */
    @Test
    public void anAddressThatAnswersAtOnceIsNeitherSpunAtNorLeft() {
        for (Listing nothing : List.of(
                new Listing(10, false, List.of()),
                new Listing(10, true, entries("a+0 b+0")),
                new Listing(11, false, List.of()),
                new Listing(3, true, entries("a+0 b+0")))) {
            World w = listed();
            for (int i = 0; i < 50; i++) {
                Ask a = w.out.remove(first(w, 0).call());
                w.take(w.plan.answered(a.call(), nothing, Instant.EPOCH));
                assertTrue(w.out.isEmpty(), nothing + ": called again at once");
                Wake space = w.wakes.stream()
                        .filter(x -> x.after().equals(WatchPlan.SPACE))
                        .reduce((x, y) -> y)
                        .orElseThrow();
                w.take(w.plan.woken(space.token(), Instant.EPOCH));
                assertEquals(w.out.size(), 1);
            }
            Ask held = w.out.remove(first(w, 0).call());
            w.wakes.stream().filter(x -> x.after().equals(WatchPlan.SPACE)).reduce((x, y) -> y).stream()
                    .toList()
                    .forEach(x -> w.take(w.plan.woken(x.token(), Instant.EPOCH)));
            w.take(w.plan.answered(held.call(), nothing, Instant.EPOCH));
            assertEquals(w.out.size(), 1, "a call that has waited is followed at once");
        }
        World w = listed();
        Ask a = w.out.remove(first(w, 0).call());
        w.take(w.plan.answered(a.call(), new Listing(11, false, entries("a-0")), Instant.EPOCH));
        assertEquals(w.out.size(), 1, "an answer with changes is followed at once");
    }

    /** After an empty first list, at a move or at a start that expects servers, the full list is requested again. */
    @Test
    public void anAddressThatHasHeardOfNobodyIsAskedForItsWholeListAgain() {
        for (boolean start : new boolean[] {false, true}) {
            World w = start ? new World(3, 0, SHORT, true) : listed();
            int at = start ? 0 : 1;
            if (!start) {
                w.take(w.plan.move(AT[1]));
            }
            Ask first = w.out.remove(first(w, at).call());
            w.take(w.plan.answered(first.call(), new Listing(1, true, List.of()), Instant.EPOCH));
            assertEquals(w.user.size(), start ? 0 : 2, "nothing is published");
            assertEquals(w.plan.listed(), false);
            List.copyOf(w.wakes).forEach(x -> w.take(w.plan.woken(x.token(), Instant.EPOCH)));
            Ask again = w.out.remove(first(w, at).call());
            assertTrue(again.from() < 0, "changes would omit servers already gone");
            w.take(w.plan.answered(again.call(), new Listing(2, true, entries("a+0")), Instant.EPOCH));
            assertEquals(w.user.keySet(), java.util.Set.of("a"));
        }
        World w = new World(3, 0, SHORT, true);
        for (Instant now : List.of(Instant.EPOCH, Instant.EPOCH.plus(WatchPlan.CARE))) {
            assertFalse(w.plan.listed());
            w.take(w.plan.answered(w.out.remove(first(w, 0).call()).call(), new Listing(1, true, List.of()), now));
            List.copyOf(w.wakes).forEach(x -> w.take(w.plan.woken(x.token(), now)));
        }
        assertTrue(w.plan.listed(), "an empty list is accepted after MAX_SOURCE_LAG");
    }

    private static World listed() {
        World w = new World(3, 0);
        w.answer(first(w, 0), 0);
        return w;
    }

    private static Ask first(World w, int agent) {
        return w.out.values().stream()
                .filter(a -> a.at().equals(AT[agent]))
                .findFirst()
                .orElseThrow();
    }
}

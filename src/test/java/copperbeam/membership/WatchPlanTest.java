package copperbeam.membership;

import static copperbeam.membership.MergedMembersTest.entries;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import copperbeam.Api.ServerState;
import copperbeam.membership.WatchPlan.Action;
import copperbeam.membership.WatchPlan.CancelCall;
import copperbeam.membership.WatchPlan.Listing;
import copperbeam.membership.WatchPlan.Publish;
import copperbeam.membership.WatchPlan.StartCall;
import copperbeam.membership.WatchPlan.StartTimer;
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
    private static final InetSocketAddress[] ADDRESSES = {
        new InetSocketAddress("127.0.0.1", 1),
        new InetSocketAddress("127.0.0.1", 2),
        new InetSocketAddress("127.0.0.1", 3)
    };
    private static final Duration CONSTANT_DELAY = Duration.ofMillis(100);
    private static final Backoff CONSTANT_BACKOFF =
            new Backoff(CONSTANT_DELAY, CONSTANT_DELAY, new SplittableRandom(1));
    /** Versions of the registry, from which the agents learn: a drains and is launched again; b stays. */
    private static final String[] LISTS = {"a+0 b+0", "a-0 b+0", "a+9 b+0"};

    /** State of one run of the script. */
    private static final class ScriptRun {
        final WatchPlan plan;
        final Map<Integer, StartCall> openCalls = new LinkedHashMap<>();
        final List<StartTimer> timers = new ArrayList<>();
        final TreeMap<String, Entry> published = new TreeMap<>();
        final int[] agentVersions = new int[ADDRESSES.length];
        final boolean[] broken = new boolean[ADDRESSES.length];
        int registryVersion;
        int moves;
        int silences;
        boolean drainReported; // an answer has reported the drain of a's first launch
        final int versions;
        final int maxSilences;

        ScriptRun(int versions, int maxSilences) {
            this(versions, maxSilences, CONSTANT_BACKOFF);
        }

        ScriptRun(int versions, int maxSilences, Backoff backoff) {
            this(versions, maxSilences, backoff, false);
        }

        ScriptRun(int versions, int maxSilences, Backoff backoff, boolean serversExpected) {
            plan = new WatchPlan(backoff, WatchPace.ofService(), serversExpected);
            this.versions = versions;
            this.maxSilences = maxSilences;
            carryOut(plan.moveTo(ADDRESSES[0]));
        }

        void carryOut(List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof StartCall a) {
                    openCalls.put(a.callId(), a);
                } else if (action instanceof CancelCall cancelCall) {
                    openCalls.remove(cancelCall.callId());
                } else if (action instanceof StartTimer startTimer) {
                    timers.add(startTimer);
                } else if (action instanceof Publish publish) {
                    MergedMembersTest.applyTo(published, publish.change());
                }
            }
            Entry a = published.get("a");
            assertFalse(
                    drainReported
                            && a != null
                            && a.member().state() == ServerState.READY
                            && a.member().launchedAt() == 0,
                    "a is used again although its drain was reported");
            for (InetSocketAddress address : ADDRESSES) {
                assertTrue(openCalls.values().stream()
                                .filter(o -> o.address().equals(address))
                                .count()
                        <= WatchPlan.MAX_CALLS_PER_ADDRESS);
            }
        }

        StartCall answerableCall(int agent) {
            return openCalls.values().stream()
                    .filter(a -> a.address().equals(ADDRESSES[agent])
                            && (a.sinceVersion() < 0 || a.sinceVersion() < 10 + agentVersions[agent]))
                    .findFirst()
                    .orElse(null);
        }

        /** The steps that can come next. */
        List<String> possibleSteps() {
            List<String> steps = new ArrayList<>();
            if (registryVersion + 1 < versions) {
                steps.add("registry");
            }
            for (int i = 0; i < 2; i++) {
                if (agentVersions[i] < registryVersion) {
                    steps.add("hears" + i);
                }
                if (!broken[i] && answerableCall(i) != null) {
                    steps.add("answers" + i);
                }
            }
            if (moves == 0 && plan.hasList()) {
                steps.add("moves");
            }
            if (moves > 0 && !broken[0]) {
                steps.add("breaks0"); // the old address refuses calls from then on
            }
            if (moves > 0 && silences < maxSilences) {
                steps.add("silent");
            }
            return steps;
        }

        void step(String step) {
            int agent = step.charAt(step.length() - 1) - '0';
            if (step.equals("registry")) {
                registryVersion++;
            } else if (step.startsWith("hears")) {
                agentVersions[agent]++;
            } else if (step.startsWith("answers")) {
                answer(answerableCall(agent), agent);
            } else if (step.equals("moves")) {
                moves++;
                carryOut(plan.moveTo(ADDRESSES[1]));
            } else if (step.startsWith("breaks")) {
                broken[agent] = true;
                for (StartCall a : List.copyOf(openCalls.values())) {
                    if (a.address().equals(ADDRESSES[agent])) {
                        openCalls.remove(a.callId());
                        carryOut(plan.onFailure(a.callId(), false));
                    }
                }
            } else {
                silences++;
                timers.stream().map(StartTimer::token).toList().forEach(t -> carryOut(plan.onTimer(t, Instant.EPOCH)));
            }
        }

        void answer(StartCall call, int agent) {
            openCalls.remove(call.callId());
            drainReported |= agentVersions[agent] == 1;
            carryOut(plan.onAnswer(call.callId(), listing(call, agentVersions[agent]), Instant.EPOCH));
        }
    }

    private static Listing listing(StartCall call, int version) {
        boolean full = call.sinceVersion() < 0;
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
    public void noDrainIsMissedInAnyOrder(int versions, int silences, int minRuns) {
        int[] runs = new int[1];
        explore(versions, silences, new ArrayList<>(), runs);
        assertTrue(runs[0] > minRuns, runs[0] + " runs");
    }

    private static void explore(int versions, int silences, List<String> script, int[] runs) {
        ScriptRun run = new ScriptRun(versions, silences);
        try {
            script.forEach(run::step);
        } catch (AssertionError e) {
            throw new AssertionError(script + ": " + e.getMessage(), e);
        }
        List<String> possibleSteps = run.possibleSteps();
        if (possibleSteps.isEmpty()) {
            runs[0]++;
            Entry last = entries(LISTS[versions - 1]).get(0);
            assertEquals(run.published.get("a").member(), last.member(), script.toString());
        }
        for (String next : possibleSteps) {
            script.add(next);
            explore(versions, silences, script, runs);
            script.remove(script.size() - 1);
        }
    }

    /** A drain reported by the old address before the new one has answered is published, and kept afterwards. */
    @Test
    public void theOldAddressIsHeardUntilTheNewOneHasAnswered() {
        ScriptRun run = runWithList();
        StartCall old = run.answerableCall(0);
        run.carryOut(run.plan.moveTo(ADDRESSES[1]));
        run.agentVersions[0] = 1;
        run.answer(run.openCalls.get(old == null ? firstCall(run, 0).callId() : old.callId()), 0);
        assertEquals(run.published.get("a").member().state(), ServerState.DRAINING);
        run.answer(firstCall(run, 1), 1); // lags
        assertEquals(run.published.get("a").member().state(), ServerState.DRAINING);
    }

    @Test
    public void twoMovesCloseTogetherLoseNeitherDrainNorCalls() {
        ScriptRun run = runWithList();
        run.carryOut(run.plan.moveTo(ADDRESSES[1]));
        run.carryOut(run.plan.moveTo(ADDRESSES[2]));
        assertTrue(
                run.openCalls.values().stream().noneMatch(a -> a.address().equals(ADDRESSES[1])),
                "the address in between is abandoned");
        run.agentVersions[0] = 1;
        run.answer(firstCall(run, 0), 0);
        run.answer(firstCall(run, 2), 2);
        assertEquals(run.published.get("a").member().state(), ServerState.DRAINING);
        // the old address is abandoned some time after the new one has given its list
        run.timers.stream()
                .filter(x -> x.delay().equals(WatchPlan.MOVE_OVERLAP))
                .toList()
                .forEach(x -> run.carryOut(run.plan.onTimer(x.token(), Instant.EPOCH)));
        assertTrue(run.openCalls.values().stream().allMatch(a -> a.address().equals(ADDRESSES[2])));
    }

    /** Each refusal is followed by one call 50 to 100 ms later, never by two; a silent call gets others beside it. */
    @Test
    public void refusalsAndSilenceAreBoundedInCalls() {
        ScriptRun run = new ScriptRun(3, 0);
        for (int i = 0; i < 50; i++) {
            StartCall call = run.openCalls.remove(firstCall(run, 0).callId());
            run.timers.clear();
            run.carryOut(run.plan.onFailure(call.callId(), false));
            assertTrue(run.openCalls.isEmpty());
            assertTrue(run.timers.stream().allMatch(x -> isWithinJitter(x.delay(), CONSTANT_DELAY)), "" + run.timers);
            assertEquals(run.timers.size(), 1);
            List.copyOf(run.timers).forEach(x -> run.carryOut(run.plan.onTimer(x.token(), Instant.EPOCH)));
            assertEquals(run.openCalls.size(), 1);
        }
        StartCall first = firstCall(run, 0);
        for (int i = 0; i < 20; i++) {
            StartTimer last = run.timers.get(run.timers.size() - 1);
            run.carryOut(run.plan.onTimer(last.token(), Instant.EPOCH));
        }
        assertEquals(run.openCalls.size(), WatchPlan.MAX_CALLS_PER_ADDRESS);
        assertTrue(run.openCalls.containsKey(first.callId()), "the call to a slow address is kept");
        run.answer(first, 0);
        assertEquals(
                run.openCalls.values().stream().map(StartCall::sinceVersion).toList(),
                List.of(-1L, -1L, 10L),
                "later calls may bring more, and one waits for changes");
        run.answer(run.openCalls.values().iterator().next(), 0);
        run.answer(run.openCalls.values().iterator().next(), 0);
        assertEquals(
                run.openCalls.values().stream().map(StartCall::sinceVersion).toList(),
                List.of(10L),
                "no further call is made beside the one that waits");
    }

    /** The delay before a retry grows until the service answers, whether it is overloaded or silent. */
    @Test
    public void backoffGrowsWithFailuresAndSilenceWithinTheClock() {
        long maxDelayMs = WatchPlan.MAX_RETRY_DELAY.toMillis();
        assertEquals(
                WatchPlan.MAX_RETRY_DELAY.plus(WatchPlan.CONNECT_TIMEOUT).plus(WatchPlan.SILENCE_TIMEOUT),
                Duration.ofSeconds(5),
                "of the 6 s allowed");
        ScriptRun run = new ScriptRun(
                3, 0, new Backoff(Duration.ofMillis(500), Duration.ofSeconds(10), new SplittableRandom(7)));
        for (long ms : new long[] {500, 1000, 2000, maxDelayMs, maxDelayMs, maxDelayMs, maxDelayMs}) {
            run.timers.clear();
            run.carryOut(run.plan.onFailure(
                    run.openCalls.remove(firstCall(run, 0).callId()).callId(), false));
            assertTrue(isWithinJitter(run.timers.get(0).delay(), Duration.ofMillis(ms)), ms + " ms: " + run.timers);
            List.copyOf(run.timers).forEach(x -> run.carryOut(run.plan.onTimer(x.token(), Instant.EPOCH)));
        }
        StartTimer silent = run.timers.get(run.timers.size() - 1);
        assertTrue(
                isWithinJitter(silent.delay().minus(WatchPlan.SILENCE_TIMEOUT), WatchPlan.MAX_RETRY_DELAY),
                "a silent call is retried no sooner than a failed one");
        run.answer(firstCall(run, 0), 0);
        assertEquals(
                run.timers.get(run.timers.size() - 1).delay(),
                WatchPlan.MAX_POLL_WAIT.plus(WatchPlan.SILENCE_TIMEOUT),
                "an answer resets the backoff");
        run.timers.clear();
        run.carryOut(run.plan.onFailure(
                run.openCalls.remove(firstCall(run, 0).callId()).callId(), false));
        assertTrue(isWithinJitter(run.timers.get(0).delay(), Duration.ofMillis(500)));
    }

    /** At a start with a known list, the full list is requested only if the service no longer has the known version. */
    @Test
    public void aStartAsksOnlyForWhatTheKnownListLacks() {
        WatchPlan plan = new WatchPlan(CONSTANT_BACKOFF);
        List<Action> steps = plan.startFrom(ADDRESSES[0], new Listing(10, true, entries(LISTS[0])), Instant.EPOCH);
        StartCall call = (StartCall) steps.get(0);
        assertEquals(List.of(call.sinceVersion(), call.maxWait()), List.of(10L, WatchPlan.MAX_POLL_WAIT));
        List<Action> more = plan.onAnswer(call.callId(), new Listing(11, false, entries("a-0")), Instant.EPOCH);
        assertEquals(
                ((Publish) more.stream()
                                .filter(Publish.class::isInstance)
                                .findFirst()
                                .orElseThrow())
                        .change()
                        .entries(),
                entries("a-0"));
        StartCall next = (StartCall)
                more.stream().filter(StartCall.class::isInstance).findFirst().orElseThrow();
        assertEquals(next.sinceVersion(), 11);
        StartTimer retryTimer = (StartTimer) plan.onFailure(next.callId(), true).get(0);
        assertTrue(
                ((StartCall) plan.onTimer(retryTimer.token(), Instant.EPOCH).get(0)).sinceVersion() < 0,
                "asks for the full list");
    }

    /**
     * Fourteen clients start together, each with a call that takes the service 0.5 s. With exponential backoff all are
     * served; with a constant delay only the first few are.
     */
    @Test
    public void aServiceOverloadedByManyClientsRecovers() {
        assertEquals(
                servedClients(new Backoff(Duration.ofMillis(500), WatchPlan.MAX_RETRY_DELAY, new SplittableRandom(3))),
                14);
        assertEquals(servedClients(CONSTANT_BACKOFF), 5, "only those whose first call waited for less than 2 s");
    }

    /** Simulates a FIFO queue whose calls time out after 2 s but are still processed; returns how many succeed in 60 s. */
    private static int servedClients(Backoff backoff) {
        TreeMap<Double, Integer> calls = new TreeMap<>();
        int[] failures = new int[14];
        int served = 0;
        double busyUntil = 0;
        for (int i = 0; i < 14; i++) {
            calls.put(i * 0.01, i);
        }
        while (!calls.isEmpty() && calls.firstKey() < 60) {
            double now = calls.firstKey();
            int client = calls.remove(now);
            double waitS = Math.max(0, busyUntil - now);
            busyUntil = Math.max(busyUntil, now) + 0.5;
            if (waitS < 2) {
                served++;
            } else {
                calls.put(now + 2 + backoff.delayAfter(++failures[client]).toNanos() / 1e9, client);
            }
        }
        return served;
    }

    private static boolean isWithinJitter(Duration delay, Duration max) {
        return delay.compareTo(max.dividedBy(2)) >= 0 && delay.compareTo(max) <= 0;
    }

    /** Versions that go back, in a full list or in changes. */
    @Test
    public void anAddressWhoseVersionsGoBackCountsAsLagging() {
        ScriptRun run = runWithList();
        run.agentVersions[0] = 1;
        run.answer(firstCall(run, 0), 0);
        StartCall call = run.openCalls.remove(firstCall(run, 0).callId());
        run.carryOut(run.plan.onAnswer(call.callId(), new Listing(3, false, entries("a+0")), Instant.EPOCH));
        assertEquals(
                run.published.get("a").member().state(),
                ServerState.DRAINING,
                "changes that refer to another list are ignored");
        StartCall whole = run.openCalls.remove(firstCall(run, 0).callId());
        assertTrue(whole.sinceVersion() < 0);
        run.carryOut(run.plan.onAnswer(whole.callId(), new Listing(3, true, entries("a+0 b+0")), Instant.EPOCH));
        assertEquals(run.published.get("a").member().state(), ServerState.DRAINING);
        run.drainReported = false; // after MAX_SOURCE_LAG the address counts as up to date
        List.copyOf(run.timers)
                .forEach(x -> run.carryOut(run.plan.onTimer(x.token(), Instant.EPOCH.plus(WatchPlan.MAX_SOURCE_LAG))));
        assertEquals(
                run.published.get("a").member().state(),
                ServerState.READY,
                "its list is accepted after MAX_SOURCE_LAG");
    }

    /** An address that always answers at once with nothing new gets one call per {@code MIN_CALL_INTERVAL}. */
    @Test
    public void anAddressThatAnswersAtOnceIsCalledAtTheMinimumInterval() {
        for (Listing nothing : List.of(
                new Listing(10, false, List.of()),
                new Listing(10, true, entries("a+0 b+0")),
                new Listing(11, false, List.of()),
                new Listing(3, true, entries("a+0 b+0")))) {
            ScriptRun run = runWithList();
            for (int i = 0; i < 50; i++) {
                StartCall call = run.openCalls.remove(firstCall(run, 0).callId());
                run.carryOut(run.plan.onAnswer(call.callId(), nothing, Instant.EPOCH));
                assertTrue(run.openCalls.isEmpty(), nothing + ": called again at once");
                StartTimer intervalTimer = run.timers.stream()
                        .filter(x -> x.delay().equals(WatchPlan.MIN_CALL_INTERVAL))
                        .reduce((x, y) -> y)
                        .orElseThrow();
                run.carryOut(run.plan.onTimer(intervalTimer.token(), Instant.EPOCH));
                assertEquals(run.openCalls.size(), 1);
            }
            StartCall held = run.openCalls.remove(firstCall(run, 0).callId());
            run.timers.stream().filter(x -> x.delay().equals(WatchPlan.MIN_CALL_INTERVAL)).reduce((x, y) -> y).stream()
                    .toList()
                    .forEach(x -> run.carryOut(run.plan.onTimer(x.token(), Instant.EPOCH)));
            run.carryOut(run.plan.onAnswer(held.callId(), nothing, Instant.EPOCH));
            assertEquals(run.openCalls.size(), 1, "a call that has waited is followed at once");
        }
        ScriptRun run = runWithList();
        StartCall call = run.openCalls.remove(firstCall(run, 0).callId());
        run.carryOut(run.plan.onAnswer(call.callId(), new Listing(11, false, entries("a-0")), Instant.EPOCH));
        assertEquals(run.openCalls.size(), 1, "an answer with changes is followed at once");
    }

    /** After an empty first list, at a move or at a start that expects servers, the full list is requested again. */
    @Test
    public void anEmptyFirstListIsRequestedAgain() {
        for (boolean start : new boolean[] {false, true}) {
            ScriptRun run = start ? new ScriptRun(3, 0, CONSTANT_BACKOFF, true) : runWithList();
            int at = start ? 0 : 1;
            if (!start) {
                run.carryOut(run.plan.moveTo(ADDRESSES[1]));
            }
            StartCall first = run.openCalls.remove(firstCall(run, at).callId());
            run.carryOut(run.plan.onAnswer(first.callId(), new Listing(1, true, List.of()), Instant.EPOCH));
            assertEquals(run.published.size(), start ? 0 : 2, "nothing is published");
            assertEquals(run.plan.hasList(), false);
            List.copyOf(run.timers).forEach(x -> run.carryOut(run.plan.onTimer(x.token(), Instant.EPOCH)));
            StartCall again = run.openCalls.remove(firstCall(run, at).callId());
            assertTrue(again.sinceVersion() < 0, "changes would omit servers already gone");
            run.carryOut(run.plan.onAnswer(again.callId(), new Listing(2, true, entries("a+0")), Instant.EPOCH));
            assertEquals(run.published.keySet(), java.util.Set.of("a"));
        }
        ScriptRun run = new ScriptRun(3, 0, CONSTANT_BACKOFF, true);
        for (Instant now : List.of(Instant.EPOCH, Instant.EPOCH.plus(WatchPlan.MAX_SOURCE_LAG))) {
            assertFalse(run.plan.hasList());
            run.carryOut(run.plan.onAnswer(
                    run.openCalls.remove(firstCall(run, 0).callId()).callId(), new Listing(1, true, List.of()), now));
            List.copyOf(run.timers).forEach(x -> run.carryOut(run.plan.onTimer(x.token(), now)));
        }
        assertTrue(run.plan.hasList(), "an empty list is accepted after MAX_SOURCE_LAG");
    }

    private static ScriptRun runWithList() {
        ScriptRun run = new ScriptRun(3, 0);
        run.answer(firstCall(run, 0), 0);
        return run;
    }

    private static StartCall firstCall(ScriptRun run, int agent) {
        return run.openCalls.values().stream()
                .filter(a -> a.address().equals(ADDRESSES[agent]))
                .findFirst()
                .orElseThrow();
    }
}

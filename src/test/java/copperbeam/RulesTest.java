package copperbeam;

import static copperbeam.ModuleFixture.*;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import copperbeam.Api.*;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks the module's five rules over its events and actions, driven by scripts and by seeded random outcomes.
 *
 * <ol>
 *   <li>Each request gets exactly one answer, by its deadline; no attempt starts after the answer or outlasts the
 *       deadline.
 *   <li>A request has one attempt in flight at a time, and isn't run twice where that could do harm.
 *   <li>Attempts go to ready servers only.
 *   <li>A cold server gets no more than its budget.
 *   <li>A read state that no attempt needs is released in time.
 * </ol>
 */
class RulesTest {

    /**
     * Follows the events that the module was given and the actions it returned; throws when a rule is broken. Rule 4,
     * the budget of a cold server, has tests of its own.
     */
    static final class Checker {
        static final class RequestTrace {
            RequestClass requestClass;
            double deadline;
            boolean finished;
            boolean streaming;
            String inFlightServer;
            boolean inFlightMayExecute;
            int attempts;
            Member lastServer; // the server of the last attempt, as listed when it was sent
            Member mayHaveRunOn;
            double mayHaveRunSince;
            boolean stateHeld;
            double stateHeldSince;
        }

        final Settings settings;
        final Map<Long, RequestTrace> requests = new HashMap<>();
        final Map<String, Member> members = new HashMap<>();
        final Set<String> knownServers = new HashSet<>(); // never shrinks: removed servers with attempts may be probed
        final Map<String, List<Double>> attemptsAtColdServers = new HashMap<>();

        Checker(Settings settings) {
            this.settings = settings;
        }

        private Role roleOf(String server) {
            String kind = members.get(server).kind();
            return settings.kinds().stream()
                    .filter(k -> k.name().equals(kind))
                    .findFirst()
                    .orElseThrow()
                    .role();
        }

        void onEvent(double now, Event event) {
            if (event instanceof ServerListUpdate m) {
                if (m.kind() == ListKind.FULL) {
                    members.clear();
                }
                m.members().forEach(e -> members.put(e.server(), e));
                m.members().forEach(e -> knownServers.add(e.server()));
            } else if (event instanceof Arrival a) {
                RequestTrace trace = new RequestTrace();
                trace.requestClass = settings.classes().stream()
                        .filter(c -> c.name().equals(a.requestClass()))
                        .findFirst()
                        .orElseThrow();
                trace.deadline = a.deadline();
                requests.put(a.request(), trace);
            } else if (event instanceof StreamStarted e) {
                requests.get(e.request()).streaming = true;
                requests.get(e.request()).stateHeld = false;
            } else if (event instanceof ClientLeft e) {
                requests.get(e.request()).finished = true;
            } else if (event instanceof AttemptEnded e) {
                onAttemptEnded(now, requests.get(e.request()), e);
            }
        }

        private void onAttemptEnded(double now, RequestTrace trace, AttemptEnded event) {
            boolean provesNotRun = List.of(Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.READ)
                    .contains(event.outcome());
            if (trace.inFlightMayExecute && !provesNotRun && trace.mayHaveRunOn == null) {
                trace.mayHaveRunOn = trace.lastServer;
            }
            trace.inFlightServer = null;
            trace.finished |= event.requestOver();
            trace.stateHeld = event.outcome() == Outcome.READ
                    || trace.stateHeld && !event.stateMissing() && event.outcome() != Outcome.OK;
            trace.stateHeldSince = now;
        }

        void onActions(double now, List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof Attempt a) {
                    onAttempt(now, a);
                } else if (action instanceof Refuse a) {
                    RequestTrace trace = onAnswer(now, a.request());
                    boolean mayHaveRun = trace.mayHaveRunOn != null || trace.inFlightServer != null;
                    boolean repeatable = trace.requestClass.repeats() == Repeats.SAFE
                            || trace.requestClass.repeats() == Repeats.KEYED
                                    && trace.requestClass.dedupScope() == DedupScope.ALL;
                    assertTrue(!mayHaveRun || repeatable, "rule 2: refused after a possible run");
                } else if (action instanceof Fail a) {
                    onAnswer(now, a.request());
                } else if (action instanceof Release a) {
                    if (requests.containsKey(a.request())) {
                        requests.get(a.request()).stateHeld = false;
                    }
                } else if (action instanceof Cancel a) {
                    assertTrue(settings.limits().cancel(), "cancel is not allowed");
                    assertTrue(
                            a.attempt() < requests.get(a.request()).attempts,
                            "cancelled an attempt that was never sent");
                } else if (action instanceof Probe a) {
                    assertTrue(
                            settings.limits().probes() && knownServers.contains(a.server()),
                            "a probe that is not allowed");
                } else if (action instanceof Transfer) {
                    assertTrue(settings.streamsResumable(), "streams can't be resumed elsewhere");
                } else if (action instanceof SubscribeToList) {
                    assertTrue(settings.mustSubscribe(), "followed a list that is pushed");
                }
            }
        }

        private RequestTrace onAnswer(double now, long id) {
            RequestTrace trace = requests.get(id);
            assertFalse(trace.finished, "rule 1: a second answer");
            assertTrue(now <= trace.deadline, "rule 1: answered late");
            trace.finished = true;
            return trace;
        }

        private void onAttempt(double now, Attempt attempt) {
            RequestTrace trace = requests.get(attempt.request());
            Member server = members.get(attempt.server());
            assertFalse(trace.finished, "rule 1: sent after the end");
            assertTrue(attempt.timeoutAt() <= trace.deadline, "rule 1: the attempt may outlast the deadline");
            assertNull(trace.inFlightServer, "rule 2: two attempts at once");
            assertTrue(++trace.attempts <= settings.limits().maxAttempts(), "too many attempts");
            assertTrue(
                    server != null && server.state() == ServerState.READY,
                    "rule 3: sent to a server that is not ready");
            if (trace.mayHaveRunOn != null && trace.requestClass.repeats() != Repeats.SAFE) {
                assertEquals(Repeats.KEYED, trace.requestClass.repeats(), "rule 2: an unsafe request sent again");
                Member firstServer = trace.mayHaveRunOn;
                boolean inGroup = switch (trace.requestClass.dedupScope()) {
                    case ALL -> true;
                    case ZONE -> firstServer.zone().equals(server.zone());
                    case CELL -> firstServer.cell() == server.cell();
                };
                assertTrue(inGroup, "rule 2: a keyed request sent outside its group");
                assertTrue(
                        now <= trace.mayHaveRunSince + trace.requestClass.dedupS(),
                        "rule 2: a keyed request sent too late");
                assertEquals(
                        trace.mayHaveRunSince + trace.requestClass.dedupS(),
                        attempt.latestSendAt(),
                        1e-9,
                        "rule 2: may be sent too late");
            }
            trace.inFlightServer = attempt.server();
            trace.lastServer = server;
            trace.inFlightMayExecute = roleOf(attempt.server()) != Role.READER;
            if (trace.inFlightMayExecute && trace.mayHaveRunOn == null) {
                trace.mayHaveRunSince = now;
            }
            if (server.launchedAt() > 0
                    && now < server.launchedAt() + settings.rules().warmUpS()) {
                attemptsAtColdServers
                        .computeIfAbsent(attempt.server(), s -> new ArrayList<>())
                        .add(now);
            }
        }

        void checkDeadlines(double now) {
            for (Map.Entry<Long, RequestTrace> entry : requests.entrySet()) {
                RequestTrace trace = entry.getValue();
                assertTrue(
                        trace.finished || trace.streaming || now <= trace.deadline,
                        "rule 1: unanswered " + entry.getKey() + " at " + now);
                assertTrue(
                        !trace.stateHeld
                                || trace.inFlightServer != null
                                || now
                                        <= trace.stateHeldSince
                                                + settings.rules().stateLeaseS(),
                        "rule 5: read state not released in time: " + entry.getKey() + " at " + now);
            }
        }
    }

    /** Runs the module on a queue of events. Outcomes of attempts are drawn at random, not simulated. */
    private static final class Driver {
        record ScheduledEvent(double time, long order, Event event) {}

        final Settings settings;
        final SplittableRandom random;
        final Brain brain;
        final Checker checker;
        final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>(
                (a, b) -> a.time != b.time ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
        final Map<Long, Integer> attemptCounts = new HashMap<>();
        final Map<Long, ScheduledEvent> pending = new HashMap<>();
        final double failureChance;
        long nextOrder;

        Driver(Settings settings, long seed, double failureChance) {
            this.settings = settings;
            this.failureChance = failureChance;
            random = new SplittableRandom(seed);
            brain = new Brain(settings, seed);
            checker = new Checker(settings);
        }

        ScheduledEvent schedule(double time, Event event) {
            ScheduledEvent scheduled = new ScheduledEvent(time, nextOrder++, event);
            queue.add(scheduled);
            return scheduled;
        }

        void run(double until) {
            while (!queue.isEmpty() && queue.peek().time <= until) {
                ScheduledEvent scheduled = queue.poll();
                checker.checkDeadlines(scheduled.time);
                checker.onEvent(scheduled.time, scheduled.event);
                List<Action> actions = brain.onEvent(scheduled.time, scheduled.event);
                checker.onActions(scheduled.time, actions);
                for (Action a : actions) {
                    perform(scheduled.time, a);
                }
            }
        }

        private void perform(double now, Action action) {
            if (action instanceof Timer t) {
                schedule(now + t.delayS(), new TimerFired(t.tag()));
            } else if (action instanceof Cancel c) {
                ScheduledEvent scheduled = pending.get(c.request());
                if (scheduled != null && queue.remove(scheduled)) {
                    AttemptEnded e = (AttemptEnded) scheduled.event;
                    schedule(
                            now + 0.01,
                            new AttemptEnded(
                                    e.request(),
                                    e.attempt(),
                                    e.server(),
                                    Outcome.CANCELLED,
                                    0.1,
                                    checker.requests.get(c.request()).finished,
                                    false,
                                    null));
                }
            } else if (action instanceof Attempt a) {
                scheduleOutcome(now, a, attemptCounts.merge(a.request(), 1, Integer::sum) - 1);
            }
        }

        private void scheduleOutcome(double now, Attempt attempt, int number) {
            boolean isReader = checker.roleOf(attempt.server()) == Role.READER;
            double endsAt = now + random.nextDouble() * 3;
            Report report = new Report(random.nextDouble(), random.nextInt(9), 9, random.nextDouble(), Double.NaN);
            Outcome outcome = isReader ? Outcome.READ : Outcome.OK;
            boolean stateMissing = false;
            if (random.nextDouble() < failureChance) {
                outcome = List.of(Outcome.ERROR, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMED_OUT)
                        .get(random.nextInt(5));
                stateMissing = outcome == Outcome.FULL && random.nextBoolean();
            }
            if (outcome == Outcome.TIMED_OUT || endsAt > attempt.timeoutAt()) {
                outcome = Outcome.TIMED_OUT;
                endsAt = attempt.timeoutAt();
            }
            pending.put(
                    attempt.request(),
                    schedule(
                            endsAt,
                            new AttemptEnded(
                                    attempt.request(),
                                    number,
                                    attempt.server(),
                                    outcome,
                                    endsAt - now,
                                    outcome == Outcome.OK,
                                    stateMissing,
                                    report)));
        }
    }

    private static void runRandomOutcomes(Settings settings, long seed, double failureChance) {
        Driver driver = new Driver(settings, seed, failureChance);
        List<Member> fleet = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            fleet.add(member("r" + i, "r", i % 2));
            fleet.add(member("w" + i, "w", i % 2));
            fleet.add(member("m" + i, "m", i % 2));
        }
        driver.schedule(100, new ServerListUpdate(ListKind.CACHED, fleet));
        SplittableRandom random = new SplittableRandom(seed + 1);
        for (int i = 0; i < 400; i++) {
            double arrivalAt = 100 + i * 0.05;
            RequestClass requestClass =
                    settings.classes().get(random.nextInt(settings.classes().size()));
            driver.schedule(
                    arrivalAt,
                    new Arrival(
                            i,
                            requestClass.name(),
                            null,
                            "s" + i % 50,
                            i % 3 == 0 ? null : "p" + i % 5,
                            500 + random.nextInt(4000),
                            300,
                            100,
                            arrivalAt + 4 + random.nextDouble() * 6));
            if (i % 40 == 7) {
                driver.schedule(arrivalAt + random.nextDouble(), new ClientLeft(i - 1));
            }
            if (i % 25 == 3) {
                Member member = fleet.get(random.nextInt(fleet.size()));
                ServerState state = ServerState.values()[random.nextInt(3)];
                driver.schedule(
                        arrivalAt,
                        new ServerListUpdate(
                                ListKind.DELTA,
                                List.of(member(
                                        member.server(),
                                        member.kind(),
                                        (int) member.cell(),
                                        state,
                                        random.nextBoolean() ? arrivalAt : member.launchedAt()))));
            }
        }
        driver.run(140);
        driver.checker.checkDeadlines(140);
        assertTrue(driver.checker.requests.values().stream().allMatch(l -> l.finished), "all answered");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomOutcomesBreakNoRule(long seed) {
        RequestClass celled = new RequestClass("celled", 2, 0, 2, Repeats.KEYED, DedupScope.CELL, 1);
        RequestClass anywhere = new RequestClass("anywhere", 2, 0, 2, Repeats.KEYED, DedupScope.ALL, 2);
        runRandomOutcomes(defaultSettings(LOW, TOP, ONCE, ZONED, celled, anywhere), seed, 0.3);
        runRandomOutcomes(defaultSettings(LOW, TOP, ONCE, ZONED, celled, anywhere), seed, 0.9);
        runRandomOutcomes(settings(new Limits(1, false, false, 0), ReportTiming.NEVER, true, ONCE, ZONED), seed, 0.3);
        runRandomOutcomes(settings(new Limits(4, false, true, 0), ReportTiming.WITH_PROBES, true, LOW, TOP), seed, 0.5);
    }

    @Test
    void aDrainingServerGetsNothingNew() {
        Settings settings = defaultSettings(LOW, TOP);
        ModuleFixture fixture = new ModuleFixture(settings, 5);
        Checker checker = new Checker(settings);
        ServerListUpdate drained = fullList(member("r1", "r", 0), member("r2", "r", 0, ServerState.DRAINING, 0));
        checker.onEvent(100, drained);
        fixture.onEvent(100, drained);
        for (int i = 0; i < 30; i++) {
            checker.onEvent(100, new Arrival(i, "top", null, "s", "p" + i, 9, 0, 9, 108));
            checker.onActions(100, fixture.onArrival(100, i, TOP, 1000));
        }
        assertEquals(30, actionsOf(Attempt.class, fixture.allActions).size());
    }

    @Test
    void aStateWithoutAWriterIsReleasedInTime() {
        ModuleFixture fixture = new ModuleFixture(defaultSettings(LOW, TOP), 5);
        fixture.onEvent(100, fullList(member("r1", "r", 0), member("w1", "w", 0)));
        fixture.onArrival(100, 1, TOP, 1000);
        fixture.onEvent(100.05, fullList(member("r1", "r", 0)));
        List<Action> actions = new ArrayList<>(fixture.onAttemptEnded(100.1, 1, 0, "r1", Outcome.READ));
        double now = 100.1;
        while (actionsOf(Release.class, actions).isEmpty() && now < 101) {
            Timer timer = actionsOf(Timer.class, actions)
                    .get(actionsOf(Timer.class, actions).size() - 1);
            now += timer.delayS();
            actions.addAll(fixture.onEvent(now, new TimerFired(timer.tag())));
        }
        assertFalse(actionsOf(Release.class, actions).isEmpty());
        assertTrue(now <= 100.1 + RULES.stateLeaseS(), "released at " + now);
    }

    /** With many requests at once for one cold and three warm servers, the cold one gets no more than its budget. */
    @Test
    void aColdServerGetsItsBudgetOnly() {
        Settings settings = defaultSettings(LOW, TOP);
        ModuleFixture fixture = new ModuleFixture(settings, 5);
        fixture.onEvent(
                100, fullList(member("r1", "r", 0), member("r2", "r", 0), member("r3", "r", 0), member("r4", "r", 0)));
        for (int i = 0; i < 500; i++) {
            String server =
                    onlyAttempt(fixture.onArrival(100 + i * 0.02, i, TOP, 1000)).server();
            fixture.onAttemptEnded(100.01 + i * 0.02, i, 0, server, Outcome.READ);
            fixture.onEvent(100.01 + i * 0.02, new ClientLeft(i));
        }
        fixture.onEvent(
                110,
                fullList(
                        member("r9", "r", 0, ServerState.READY, 109),
                        member("r2", "r", 0),
                        member("r3", "r", 0),
                        member("r4", "r", 0)));
        int attemptsAtColdServer = 0;
        for (int i = 1000; i < 1100; i++) {
            String server =
                    onlyAttempt(fixture.onArrival(110 + i * 1e-4, i, TOP, 1000)).server();
            attemptsAtColdServer += server.equals("r9") ? 1 : 0;
        }
        // this node is one of two and sends 50 requests a second to four servers: 25 in two seconds to a warm one
        assertTrue(
                attemptsAtColdServer > 0
                        && attemptsAtColdServer <= 25 * RULES.overloadMultiple() * RULES.coldCapacityShare(),
                "sent to the cold server: " + attemptsAtColdServer);
    }

    /** Regression test: each of 150 nodes let one request pass, which together made five times the budget. */
    @Test
    void manyNodesTogetherKeepTheColdBudget() {
        int attemptsAtColdServer = 0;
        for (int node = 0; node < 100; node++) {
            ModuleFixture fixture = new ModuleFixture(defaultSettings(LOW, TOP), node);
            fixture.onEvent(
                    100,
                    fullList(member("r1", "r", 0), member("r2", "r", 0), member("r3", "r", 0), member("r4", "r", 0)));
            for (int i = 0; i < 20; i++) {
                String server =
                        onlyAttempt(fixture.onArrival(100 + i, i, TOP, 1000)).server();
                fixture.onAttemptEnded(100.1 + i, i, 0, server, Outcome.READ);
                fixture.onEvent(100.2 + i, new ClientLeft(i));
            }
            fixture.onEvent(
                    120,
                    fullList(
                            member("r9", "r", 0, ServerState.READY, 120),
                            member("r2", "r", 0),
                            member("r3", "r", 0),
                            member("r4", "r", 0)));
            for (int i = 100; i < 104; i++) {
                List<Attempt> attempts =
                        actionsOf(Attempt.class, fixture.onArrival(120 + (i - 100) * 0.5, i, TOP, 1000));
                attemptsAtColdServer +=
                        attempts.stream().anyMatch(a -> a.server().equals("r9")) ? 1 : 0;
            }
        }
        // 100 requests a second over four servers: a warm server gets 50 in the rule's window of two seconds
        assertTrue(
                attemptsAtColdServer > 0
                        && attemptsAtColdServer <= 50 * RULES.overloadMultiple() * RULES.coldCapacityShare(),
                "sent: " + attemptsAtColdServer);
    }

    /**
     * Regression test: during a rollout, without admission control, the few remaining servers carried the whole load,
     * which raised the budget of a cold one.
     */
    @Test
    void aRolloutDoesNotRaiseTheColdBudget() {
        int[] attemptsAtColdServer = new int[2];
        for (int run = 0; run < 2; run++) {
            ModuleFixture fixture = new ModuleFixture(defaultSettings(LOW, TOP), 5);
            fixture.onEvent(
                    100,
                    fullList(member("r1", "r", 0), member("r2", "r", 0), member("r3", "r", 0), member("r4", "r", 0)));
            for (int i = 0; i < 500; i++) {
                String server = onlyAttempt(fixture.onArrival(100 + i * 0.02, i, TOP, 1000))
                        .server();
                fixture.onAttemptEnded(100.01 + i * 0.02, i, 0, server, Outcome.READ);
                fixture.onEvent(100.01 + i * 0.02, new ClientLeft(i));
            }
            Member coldServer = member("r9", "r", 0, ServerState.READY, 109);
            fixture.onEvent(
                    110,
                    run == 0
                            ? fullList(coldServer, member("r2", "r", 0), member("r3", "r", 0), member("r4", "r", 0))
                            : fullList(coldServer, member("r2", "r", 0)));
            for (int i = 1000; i < 1060; i++) {
                List<Attempt> attempts = actionsOf(Attempt.class, fixture.onArrival(110 + i * 1e-4, i, TOP, 1000));
                attemptsAtColdServer[run] +=
                        attempts.stream().anyMatch(a -> a.server().equals("r9")) ? 1 : 0;
            }
        }
        // A warm server, one of four, gets 25 requests in two seconds; permits are given out for two thirds of the
        // budget, 2/3 x 3 x 0.3 x 25 = 15. Counting only the two remaining servers would double that.
        assertTrue(attemptsAtColdServer[1] > 0 && attemptsAtColdServer[1] <= 18, "sent: " + attemptsAtColdServer[1]);
    }

    @Test
    void noSecondAttemptWhileOneIsInFlight() {
        Settings settings = defaultSettings(LOW, TOP);
        ModuleFixture fixture = new ModuleFixture(settings, 5);
        fixture.onEvent(100, smallFleet());
        fixture.onArrival(100, 1, TOP, 1000);
        for (String tag : List.of("h1.0", "s1.0", "h1.0", "s1.0")) {
            assertTrue(actionsOf(Attempt.class, fixture.onEvent(104, new TimerFired(tag)))
                    .isEmpty());
        }
    }
}

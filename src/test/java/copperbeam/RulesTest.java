package copperbeam;

import static copperbeam.Bench.*;
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
        static final class Life {
            RequestClass kind;
            double deadline;
            boolean over;
            boolean streaming;
            String out;
            boolean outMayRun;
            int sends;
            Member to; // the server of the last attempt, as listed when it was sent
            Member ranAt;
            double ranSince;
            boolean held;
            double heldSince;
        }

        final Settings settings;
        final Map<Long, Life> lives = new HashMap<>();
        final Map<String, Member> members = new HashMap<>();
        final Set<String> told = new HashSet<>(); // never shrinks: removed servers with attempts may be probed
        final Map<String, List<Double>> coldSends = new HashMap<>();

        Checker(Settings settings) {
            this.settings = settings;
        }

        private Role role(String server) {
            String kind = members.get(server).kind();
            return settings.kinds().stream()
                    .filter(k -> k.name().equals(kind))
                    .findFirst()
                    .orElseThrow()
                    .role();
        }

        void told(double now, Event event) {
            if (event instanceof Members m) {
                if (m.kind() == ListKind.FULL) {
                    members.clear();
                }
                m.members().forEach(e -> members.put(e.server(), e));
                m.members().forEach(e -> told.add(e.server()));
            } else if (event instanceof Arrival a) {
                Life life = new Life();
                life.kind = settings.classes().stream()
                        .filter(c -> c.name().equals(a.requestClass()))
                        .findFirst()
                        .orElseThrow();
                life.deadline = a.deadline();
                lives.put(a.request(), life);
            } else if (event instanceof StreamStarted e) {
                lives.get(e.request()).streaming = true;
                lives.get(e.request()).held = false;
            } else if (event instanceof ClientLeft e) {
                lives.get(e.request()).over = true;
            } else if (event instanceof AttemptEnded e) {
                ended(now, lives.get(e.request()), e);
            }
        }

        private void ended(double now, Life life, AttemptEnded e) {
            boolean proof = List.of(Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.READ)
                    .contains(e.outcome());
            if (life.outMayRun && !proof && life.ranAt == null) {
                life.ranAt = life.to;
            }
            life.out = null;
            life.over |= e.requestOver();
            life.held = e.outcome() == Outcome.READ || life.held && !e.stateMissing() && e.outcome() != Outcome.OK;
            life.heldSince = now;
        }

        void did(double now, List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof Attempt a) {
                    send(now, a);
                } else if (action instanceof Refuse a) {
                    Life life = answer(now, a.request());
                    boolean ran = life.ranAt != null || life.out != null;
                    boolean harmless = life.kind.effect() == Effect.SAFE
                            || life.kind.effect() == Effect.KEYED && life.kind.group() == Group.ALL;
                    assertTrue(!ran || harmless, "rule 2: refused after a possible run");
                } else if (action instanceof Fail a) {
                    answer(now, a.request());
                } else if (action instanceof Release a) {
                    if (lives.containsKey(a.request())) {
                        lives.get(a.request()).held = false;
                    }
                } else if (action instanceof Cancel a) {
                    assertTrue(settings.limits().cancel(), "cancel is not allowed");
                    assertTrue(a.attempt() < lives.get(a.request()).sends, "cancelled an attempt that was never sent");
                } else if (action instanceof Probe a) {
                    assertTrue(settings.limits().probes() && told.contains(a.server()), "a probe that is not allowed");
                } else if (action instanceof Transfer) {
                    assertTrue(settings.streamsResume(), "streams can't be resumed elsewhere");
                } else if (action instanceof FollowList) {
                    assertTrue(settings.listMustBeAsked(), "followed a list that is pushed");
                }
            }
        }

        private Life answer(double now, long id) {
            Life life = lives.get(id);
            assertFalse(life.over, "rule 1: a second answer");
            assertTrue(now <= life.deadline, "rule 1: answered late");
            life.over = true;
            return life;
        }

        private void send(double now, Attempt a) {
            Life life = lives.get(a.request());
            Member to = members.get(a.server());
            assertFalse(life.over, "rule 1: sent after the end");
            assertTrue(a.until() <= life.deadline, "rule 1: the attempt may outlast the deadline");
            assertNull(life.out, "rule 2: two attempts at once");
            assertTrue(++life.sends <= settings.limits().maxAttempts(), "too many attempts");
            assertTrue(to != null && to.state() == ServerState.READY, "rule 3: sent to a server that is not ready");
            if (life.ranAt != null && life.kind.effect() != Effect.SAFE) {
                assertEquals(Effect.KEYED, life.kind.effect(), "rule 2: an unsafe request sent again");
                Member first = life.ranAt;
                boolean same = switch (life.kind.group()) {
                    case ALL -> true;
                    case ZONE -> first.zone().equals(to.zone());
                    case CELL -> first.cell() == to.cell();
                };
                assertTrue(same, "rule 2: a keyed request sent outside its group");
                assertTrue(now <= life.ranSince + life.kind.windowS(), "rule 2: a keyed request sent too late");
                assertEquals(life.ranSince + life.kind.windowS(), a.latest(), 1e-9, "rule 2: may be sent too late");
            }
            life.out = a.server();
            life.to = to;
            life.outMayRun = role(a.server()) != Role.READER;
            if (life.outMayRun && life.ranAt == null) {
                life.ranSince = now;
            }
            if (to.launchedAt() > 0 && now < to.launchedAt() + settings.rules().warmWithinS()) {
                coldSends.computeIfAbsent(a.server(), s -> new ArrayList<>()).add(now);
            }
        }

        void check(double now) {
            for (Map.Entry<Long, Life> e : lives.entrySet()) {
                Life life = e.getValue();
                assertTrue(
                        life.over || life.streaming || now <= life.deadline,
                        "rule 1: unanswered " + e.getKey() + " at " + now);
                assertTrue(
                        !life.held
                                || life.out != null
                                || now <= life.heldSince + settings.rules().releaseS(),
                        "rule 5: read state not released in time: " + e.getKey() + " at " + now);
            }
        }
    }

    /** Runs the module on a queue of events. Outcomes of attempts are drawn at random, not simulated. */
    private static final class Driver {
        record Due(double time, long order, Event event) {}

        final Settings settings;
        final SplittableRandom random;
        final Brain brain;
        final Checker checker;
        final PriorityQueue<Due> queue = new PriorityQueue<>(
                (a, b) -> a.time != b.time ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
        final Map<Long, Integer> sends = new HashMap<>();
        final Map<Long, Due> pending = new HashMap<>();
        final double trouble;
        long order;

        Driver(Settings settings, long seed, double trouble) {
            this.settings = settings;
            this.trouble = trouble;
            random = new SplittableRandom(seed);
            brain = new Brain(settings, seed);
            checker = new Checker(settings);
        }

        Due add(double time, Event event) {
            Due due = new Due(time, order++, event);
            queue.add(due);
            return due;
        }

        void run(double until) {
            while (!queue.isEmpty() && queue.peek().time <= until) {
                Due due = queue.poll();
                checker.check(due.time);
                checker.told(due.time, due.event);
                List<Action> actions = brain.on(due.time, due.event);
                checker.did(due.time, actions);
                for (Action a : actions) {
                    react(due.time, a);
                }
            }
        }

        private void react(double now, Action action) {
            if (action instanceof Timer t) {
                add(now + t.afterS(), new TimerFired(t.tag()));
            } else if (action instanceof Cancel c) {
                Due due = pending.get(c.request());
                if (due != null && queue.remove(due)) {
                    AttemptEnded e = (AttemptEnded) due.event;
                    add(
                            now + 0.01,
                            new AttemptEnded(
                                    e.request(),
                                    e.attempt(),
                                    e.server(),
                                    Outcome.CANCELLED,
                                    0.1,
                                    checker.lives.get(c.request()).over,
                                    false,
                                    null));
                }
            } else if (action instanceof Attempt a) {
                outcome(now, a, sends.merge(a.request(), 1, Integer::sum) - 1);
            }
        }

        private void outcome(double now, Attempt a, int number) {
            boolean reader = checker.role(a.server()) == Role.READER;
            double late = now + random.nextDouble() * 3;
            Report report = new Report(random.nextDouble(), random.nextInt(9), 9, random.nextDouble(), Double.NaN);
            Outcome outcome = reader ? Outcome.READ : Outcome.OK;
            boolean missing = false;
            if (random.nextDouble() < trouble) {
                outcome = List.of(Outcome.ERROR, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.TIMED_OUT)
                        .get(random.nextInt(5));
                missing = outcome == Outcome.FULL && random.nextBoolean();
            }
            if (outcome == Outcome.TIMED_OUT || late > a.until()) {
                outcome = Outcome.TIMED_OUT;
                late = a.until();
            }
            pending.put(
                    a.request(),
                    add(
                            late,
                            new AttemptEnded(
                                    a.request(),
                                    number,
                                    a.server(),
                                    outcome,
                                    late - now,
                                    outcome == Outcome.OK,
                                    missing,
                                    report)));
        }
    }

    private static void storm(Settings settings, long seed, double trouble) {
        Driver d = new Driver(settings, seed, trouble);
        List<Member> fleet = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            fleet.add(server("r" + i, "r", i % 2));
            fleet.add(server("w" + i, "w", i % 2));
            fleet.add(server("m" + i, "m", i % 2));
        }
        d.add(100, new Members(ListKind.CACHED, fleet));
        SplittableRandom random = new SplittableRandom(seed + 1);
        for (int i = 0; i < 400; i++) {
            double t = 100 + i * 0.05;
            RequestClass c =
                    settings.classes().get(random.nextInt(settings.classes().size()));
            d.add(
                    t,
                    new Arrival(
                            i,
                            c.name(),
                            null,
                            "s" + i % 50,
                            i % 3 == 0 ? null : "p" + i % 5,
                            500 + random.nextInt(4000),
                            300,
                            100,
                            t + 4 + random.nextDouble() * 6));
            if (i % 40 == 7) {
                d.add(t + random.nextDouble(), new ClientLeft(i - 1));
            }
            if (i % 25 == 3) {
                Member m = fleet.get(random.nextInt(fleet.size()));
                ServerState state = ServerState.values()[random.nextInt(3)];
                d.add(
                        t,
                        new Members(
                                ListKind.DELTA,
                                List.of(server(
                                        m.server(),
                                        m.kind(),
                                        (int) m.cell(),
                                        state,
                                        random.nextBoolean() ? t : m.launchedAt()))));
            }
        }
        d.run(140);
        d.checker.check(140);
        assertTrue(d.checker.lives.values().stream().allMatch(l -> l.over), "all answered");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomOutcomesBreakNoRule(long seed) {
        RequestClass celled = new RequestClass("celled", 2, 0, 2, Effect.KEYED, Group.CELL, 1);
        RequestClass anywhere = new RequestClass("anywhere", 2, 0, 2, Effect.KEYED, Group.ALL, 2);
        storm(usual(LOW, TOP, ONCE, ZONED, celled, anywhere), seed, 0.3);
        storm(usual(LOW, TOP, ONCE, ZONED, celled, anywhere), seed, 0.9);
        storm(settings(new Limits(1, false, false, 0), Reports.NEVER, true, ONCE, ZONED), seed, 0.3);
        storm(settings(new Limits(4, false, true, 0), Reports.WITH_PROBES, true, LOW, TOP), seed, 0.5);
    }

    @Test
    void aDrainingServerGetsNothingNew() {
        Settings s = usual(LOW, TOP);
        Bench b = new Bench(s, 5);
        Checker checker = new Checker(s);
        Members drained = full(server("r1", "r", 0), server("r2", "r", 0, ServerState.DRAINING, 0));
        checker.told(100, drained);
        b.at(100, drained);
        for (int i = 0; i < 30; i++) {
            checker.told(100, new Arrival(i, "top", null, "s", "p" + i, 9, 0, 9, 108));
            checker.did(100, b.arrive(100, i, TOP, 1000));
        }
        assertEquals(30, of(Attempt.class, b.all).size());
    }

    @Test
    void aStateWithoutAWriterIsLetGoInTime() {
        Bench b = new Bench(usual(LOW, TOP), 5);
        b.at(100, full(server("r1", "r", 0), server("w1", "w", 0)));
        b.arrive(100, 1, TOP, 1000);
        b.at(100.05, full(server("r1", "r", 0)));
        List<Action> actions = new ArrayList<>(b.end(100.1, 1, 0, "r1", Outcome.READ));
        double t = 100.1;
        while (of(Release.class, actions).isEmpty() && t < 101) {
            Timer look = of(Timer.class, actions).get(of(Timer.class, actions).size() - 1);
            t += look.afterS();
            actions.addAll(b.at(t, new TimerFired(look.tag())));
        }
        assertFalse(of(Release.class, actions).isEmpty());
        assertTrue(t <= 100.1 + RULES.releaseS(), "released at " + t);
    }

    /** With many requests at once for one cold and three warm servers, the cold one gets no more than its budget. */
    @Test
    void aColdServerGetsItsPartOnly() {
        Settings s = usual(LOW, TOP);
        Bench b = new Bench(s, 5);
        b.at(100, full(server("r1", "r", 0), server("r2", "r", 0), server("r3", "r", 0), server("r4", "r", 0)));
        for (int i = 0; i < 500; i++) {
            String to = sent(b.arrive(100 + i * 0.02, i, TOP, 1000)).server();
            b.end(100.01 + i * 0.02, i, 0, to, Outcome.READ);
            b.at(100.01 + i * 0.02, new ClientLeft(i));
        }
        b.at(
                110,
                full(
                        server("r9", "r", 0, ServerState.READY, 109),
                        server("r2", "r", 0),
                        server("r3", "r", 0),
                        server("r4", "r", 0)));
        int cold = 0;
        for (int i = 1000; i < 1100; i++) {
            String to = sent(b.arrive(110 + i * 1e-4, i, TOP, 1000)).server();
            cold += to.equals("r9") ? 1 : 0;
        }
        // this node is one of two and sends 50 requests a second to four servers: 25 in two seconds to a warm one
        assertTrue(
                cold > 0 && cold <= 25 * RULES.fallMultiple() * RULES.coldFrom(), "sent to the cold server: " + cold);
    }

    /** Regression test: each of 150 nodes let one request pass, which together made five times the budget. */
    @Test
    void manyNodesTogetherKeepTheColdBudget() {
        int cold = 0;
        for (int node = 0; node < 100; node++) {
            Bench b = new Bench(usual(LOW, TOP), node);
            b.at(100, full(server("r1", "r", 0), server("r2", "r", 0), server("r3", "r", 0), server("r4", "r", 0)));
            for (int i = 0; i < 20; i++) {
                String to = sent(b.arrive(100 + i, i, TOP, 1000)).server();
                b.end(100.1 + i, i, 0, to, Outcome.READ);
                b.at(100.2 + i, new ClientLeft(i));
            }
            b.at(
                    120,
                    full(
                            server("r9", "r", 0, ServerState.READY, 120),
                            server("r2", "r", 0),
                            server("r3", "r", 0),
                            server("r4", "r", 0)));
            for (int i = 100; i < 104; i++) {
                List<Attempt> sends = of(Attempt.class, b.arrive(120 + (i - 100) * 0.5, i, TOP, 1000));
                cold += sends.stream().anyMatch(a -> a.server().equals("r9")) ? 1 : 0;
            }
        }
        // 100 requests a second over four servers: a warm server gets 50 in the rule's window of two seconds
        assertTrue(cold > 0 && cold <= 50 * RULES.fallMultiple() * RULES.coldFrom(), "sent: " + cold);
    }

    /**
     * Regression test: during a rollout, without admission control, the few remaining servers carried the whole load,
     * which raised the budget of a cold one.
     */
    @Test
    void aReleaseDoesNotWidenTheColdBudget() {
        int[] cold = new int[2];
        for (int run = 0; run < 2; run++) {
            Bench b = new Bench(usual(LOW, TOP), 5);
            b.at(100, full(server("r1", "r", 0), server("r2", "r", 0), server("r3", "r", 0), server("r4", "r", 0)));
            for (int i = 0; i < 500; i++) {
                String to = sent(b.arrive(100 + i * 0.02, i, TOP, 1000)).server();
                b.end(100.01 + i * 0.02, i, 0, to, Outcome.READ);
                b.at(100.01 + i * 0.02, new ClientLeft(i));
            }
            Member fresh = server("r9", "r", 0, ServerState.READY, 109);
            b.at(
                    110,
                    run == 0
                            ? full(fresh, server("r2", "r", 0), server("r3", "r", 0), server("r4", "r", 0))
                            : full(fresh, server("r2", "r", 0)));
            for (int i = 1000; i < 1060; i++) {
                List<Attempt> sends = of(Attempt.class, b.arrive(110 + i * 1e-4, i, TOP, 1000));
                cold[run] += sends.stream().anyMatch(a -> a.server().equals("r9")) ? 1 : 0;
            }
        }
        // A warm server, one of four, gets 25 requests in two seconds; permits are given out for two thirds of the
        // budget, 2/3 x 3 x 0.3 x 25 = 15. Counting only the two remaining servers would double that.
        assertTrue(cold[1] > 0 && cold[1] <= 18, "sent: " + cold[1]);
    }

    @Test
    void noSecondAttemptWhileOneIsOut() {
        Settings s = usual(LOW, TOP);
        Bench b = new Bench(s, 5);
        b.at(100, fleet());
        b.arrive(100, 1, TOP, 1000);
        for (String tag : List.of("h1.0", "s1.0", "h1.0", "s1.0")) {
            assertTrue(of(Attempt.class, b.at(104, new TimerFired(tag))).isEmpty());
        }
    }
}

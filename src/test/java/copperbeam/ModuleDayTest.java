package copperbeam;

import static copperbeam.Bench.*;
import static org.junit.jupiter.api.Assertions.assertTrue;

import copperbeam.Api.*;
import copperbeam.ModuleDay.Fate;
import copperbeam.ModuleDay.Machine;
import copperbeam.ModuleDay.Node;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs decision modules in virtual time: no client is refused permanently, and the module's rules hold. */
class ModuleDayTest {
    private static final int SEEDS = Integer.getInteger("day.seeds", 60);

    private static void site(ModuleDay day, int each, double launched) {
        for (int i = 0; i < each; i++) {
            day.machine(server("r" + i, "r", i % 2, ServerState.READY, launched));
            day.machine(server("w" + i, "w", i % 2, ServerState.READY, launched));
        }
    }

    /**
     * Regression test: a process that starts while all servers are cold has measured no demand yet; it refused all
     * requests until the servers were warm.
     */
    @ParameterizedTest
    @CsvSource({"1", "3", "10"})
    void aStartAmongColdServersAloneSendsSoon(int each) {
        ModuleDay day = new ModuleDay(usual(LOW, TOP), 1);
        site(day, each, 100);
        Node n = day.node(100.5);
        for (int i = 0; i < 160; i++) {
            day.ask(101 + i * 0.12, n, i % 2 == 0 ? TOP : LOW, "s" + i % 40, "p" + i % 7, 1000, 500, 6);
        }
        day.run(130);
        assertTrue(n.mostTurned < 15, "refused in a row: " + n.mostTurned);
        assertTrue(n.firstAttempt < 103, "first attempt at " + n.firstAttempt);
        assertTrue(day.count(f -> f.answered) >= 140, "answered " + day.count(f -> f.answered));
    }

    /** Under low load with one slow, failing or hanging reader, no group of sessions has all its requests refused. */
    @ParameterizedTest
    @CsvSource({"slow,true", "slow,false", "fails,true", "fails,false", "hangs,true", "hangs,false"})
    void noSetOfSessionsIsRefusedThroughout(String trouble, boolean probes) {
        double worst = 0;
        double worstLarge = 1;
        for (int seed = 0; seed < 5; seed++) {
            ModuleDay day = new ModuleDay(
                    settings(
                            new Limits(4, true, probes, 0.5),
                            probes ? Reports.WITH_PROBES : Reports.NEVER,
                            false,
                            LOW,
                            TOP),
                    seed);
            site(day, 6, 0);
            Machine bad = day.machines.get("r3");
            bad.tokensPerS = trouble.equals("slow") ? 1500 : bad.tokensPerS;
            bad.fault = trouble.equals("fails") ? Outcome.ERROR : null;
            bad.hungFrom = trouble.equals("hangs") ? 110 : bad.hungFrom;
            bad.hungUntil = 120;
            List<Node> nodes = List.of(day.node(100), day.node(100), day.node(100));
            Map<String, List<Fate>> sessions = new HashMap<>();
            for (int i = 0; i < 300; i++) {
                String session = "s" + i;
                double at = 100 + day.random.nextDouble() * 25;
                int turns = 1 + day.random.nextInt(5);
                for (int turn = 0; turn < turns; turn++, at += 1 + day.random.nextDouble() * 3) {
                    Fate f = day.ask(
                            at,
                            nodes.get(day.random.nextInt(3)),
                            i % 3 == 0 ? LOW : TOP,
                            session,
                            i % 2 == 0 ? null : "p" + i % 8,
                            600 * Math.exp(1.2 * gauss(day.random)),
                            300,
                            6);
                    sessions.computeIfAbsent(session, n -> new ArrayList<>()).add(f);
                }
            }
            day.run(160);
            double refused = day.count(f -> !f.answered) / (double) day.fates.size();
            double all = 0;
            double chance = 0;
            for (List<Fate> its : sessions.values()) {
                all += its.stream().noneMatch(f -> f.answered) ? 1 : 0;
                chance += Math.pow(refused, its.size());
            }
            worst = Math.max(worst, (all - chance) / sessions.size());
            worstLarge = Math.min(worstLarge, largest(day) / (1 - refused));
        }
        assertTrue(worst <= 0.12, "share of sessions with every request refused, beyond chance: " + worst);
        assertTrue(worstLarge >= 2 / 3.0, "the largest tenth is answered at " + worstLarge + " of the mean rate");
    }

    private static double gauss(SplittableRandom random) {
        double sum = -6;
        for (int i = 0; i < 12; i++) {
            sum += random.nextDouble();
        }
        return sum;
    }

    private static double largest(ModuleDay day) {
        List<Fate> all = new ArrayList<>(day.fates.values());
        all.sort(Comparator.comparingDouble(f -> -f.asked.promptTokens()));
        return all.subList(0, all.size() / 10).stream().filter(f -> f.answered).count() / (all.size() / 10.0);
    }

    /** Draws settings, traffic and faults at random and checks all rules of the module's actions. */
    @ParameterizedTest
    @CsvSource({"0", "1", "2", "3"})
    void noSettingsBreakARule(int row) {
        for (int seed = row; seed < SEEDS; seed += 4) {
            SplittableRandom random = new SplittableRandom(seed);
            Settings s = draw(random);
            try {
                drawnDay(s, seed, random);
            } catch (Throwable e) {
                throw new AssertionError("seed " + seed + ", " + s, e);
            }
        }
    }

    @SafeVarargs
    private static <T> T pick(SplittableRandom random, T... of) {
        return of[random.nextInt(of.length)];
    }

    private static Settings draw(SplittableRandom random) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = random.nextInt(4); i >= 0; i--) {
            classes.add(new RequestClass(
                    "c" + i,
                    pick(random, 0.0, 0.3, 1.0, 4.0),
                    pick(random, 0.0, 0.04),
                    pick(random, 0.0, 1.0, 3.0),
                    pick(random, Effect.values()),
                    pick(random, Group.values()),
                    pick(random, 0.0, 0.2, 0.7, 2.0, 6.0)));
        }
        List<Customer> customers = pick(random, List.of(), List.of(new Customer("a", 0), new Customer("b", 0.5)));
        List<Kind> kinds =
                List.of(new Kind("r", Role.READER, 1e5), new Kind("w", Role.WRITER, 0), new Kind("m", Role.MIXED, 5e3));
        return new Settings(
                1 + random.nextInt(3),
                random.nextInt(2) - 1,
                classes,
                customers,
                kinds,
                new Limits(1 + random.nextInt(4), random.nextInt(4) > 0, random.nextBoolean(), pick(random, 0.0, 2.0)),
                new Rules(
                        pick(random, 0.1, 0.3, 1.0),
                        pick(random, 0.0, 2.0, 13.0),
                        pick(random, 1.0, 3.0),
                        pick(random, 0.5, 2.0),
                        pick(random, 0.3, 1.0),
                        pick(random, 0.0, 10.0)),
                pick(random, Reports.values()),
                random.nextBoolean(),
                pick(random, 0.0, 0.003),
                random.nextBoolean(),
                random.nextBoolean());
    }

    private static void drawnDay(Settings s, long seed, SplittableRandom random) {
        ModuleDay day = new ModuleDay(s, seed);
        String layout = pick(random, "rw", "rwm", "m", "rm", "w");
        for (char kind : layout.toCharArray()) {
            int zones = 1 + random.nextInt(3);
            for (int i = random.nextInt(4); i >= 0; i--) {
                day.machine(new Member(
                        "" + kind + i,
                        zones == 1 ? null : "z" + i % zones,
                        "" + kind,
                        i % 3,
                        ServerState.READY,
                        1,
                        random.nextInt(3) == 0 ? 99 : 0));
            }
        }
        for (int i = 0; i < s.nodes(); i++) {
            day.node(100);
        }
        double within = pick(random, 0.03, 0.5, 2.0, 6.0);
        double perS = pick(random, 1.0, 8.0, 40.0);
        for (double t = 100.1; t < 112; t -= Math.log(1 - random.nextDouble()) / perS) {
            Node n = day.nodes.get(random.nextInt(s.nodes()));
            Fate f = day.ask(
                    t,
                    n,
                    pick(random, s.classes().toArray(new RequestClass[0])),
                    "s" + random.nextInt(20),
                    pick(random, null, "p1", "p2"),
                    pick(random, 1.0, 300.0, 2000.0, 30_000.0),
                    1,
                    within);
            if (random.nextInt(20) == 0) {
                day.tell(t + random.nextDouble() * within, n, new ClientLeft(f.asked.request()));
            }
        }
        List<Machine> all = new ArrayList<>(day.machines.values());
        for (Machine m : all) {
            m.fault = pick(
                    random,
                    null,
                    null,
                    Outcome.ERROR,
                    Outcome.FULL,
                    Outcome.RESET,
                    Outcome.STALE,
                    Outcome.CONNECT_FAILED);
            m.faultChance = pick(random, 0.1, 0.5, 1.0);
            m.hungFrom = 100 + random.nextDouble() * 60;
            m.hungUntil = m.hungFrom + 3;
        }
        for (double t = 101 + random.nextDouble(); t < 112; t += 2 * random.nextDouble()) {
            day.run(t);
            Machine m = pick(random, all.toArray(new Machine[0]));
            Member e = m.entry;
            m.entry = new Member(
                    e.server(),
                    e.zone(),
                    e.kind(),
                    e.cell(),
                    pick(random, ServerState.values()),
                    1,
                    random.nextBoolean() ? t : e.launchedAt());
            for (Node n : day.nodes) {
                day.tell(
                        t,
                        n,
                        random.nextInt(8) == 0
                                ? new Members(ListKind.FULL, List.of()) // usually followed by a complete list
                                : s.listMustBeAsked() && random.nextInt(4) == 0
                                        ? new Members(ListKind.FAILED, List.of())
                                        : day.list(ListKind.FULL));
            }
        }
        day.run(125);
        day.nodes.forEach(n ->
                assertTrue(n.checker.lives.values().stream().allMatch(l -> l.over || l.streaming), "all answered"));
    }
}

package copperbeam;

import static copperbeam.ModuleFixture.*;
import static org.junit.jupiter.api.Assertions.assertTrue;

import copperbeam.Api.*;
import copperbeam.ModuleDay.Node;
import copperbeam.ModuleDay.RequestRecord;
import copperbeam.ModuleDay.SimulatedServer;
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

    private static void addServers(ModuleDay simulation, int countPerRole, double launchedAt) {
        for (int i = 0; i < countPerRole; i++) {
            simulation.putServer(member("r" + i, "r", i % 2, ServerState.READY, launchedAt));
            simulation.putServer(member("w" + i, "w", i % 2, ServerState.READY, launchedAt));
        }
    }

    /**
     * Regression test: a process that starts while all servers are cold has measured no demand yet; it refused all
     * requests until the servers were warm.
     */
    @ParameterizedTest
    @CsvSource({"1", "3", "10"})
    void aProcessStartedAmongColdServersSendsSoon(int serversPerRole) {
        ModuleDay simulation = new ModuleDay(defaultSettings(LOW, TOP), 1);
        addServers(simulation, serversPerRole, 100);
        Node node = simulation.addNode(100.5);
        for (int i = 0; i < 160; i++) {
            simulation.submit(101 + i * 0.12, node, i % 2 == 0 ? TOP : LOW, "s" + i % 40, "p" + i % 7, 1000, 500, 6);
        }
        simulation.run(130);
        assertTrue(node.maxConsecutiveRefusals < 15, "refused in a row: " + node.maxConsecutiveRefusals);
        assertTrue(node.firstAttemptAt < 103, "first attempt at " + node.firstAttemptAt);
        assertTrue(simulation.count(f -> f.answered) >= 140, "answered " + simulation.count(f -> f.answered));
    }

    /** Under low load with one slow, failing or hanging reader, no group of sessions has all its requests refused. */
    @ParameterizedTest
    @CsvSource({"slow,true", "slow,false", "fails,true", "fails,false", "hangs,true", "hangs,false"})
    void noGroupOfSessionsIsRefusedThroughout(String fault, boolean probes) {
        double worstExcess = 0;
        double worstLargestRatio = 1;
        for (int seed = 0; seed < 5; seed++) {
            ModuleDay simulation = new ModuleDay(
                    settings(
                            new Limits(4, true, probes, 0.5),
                            probes ? ReportTiming.WITH_PROBES : ReportTiming.NEVER,
                            false,
                            LOW,
                            TOP),
                    seed);
            addServers(simulation, 6, 0);
            SimulatedServer faultyServer = simulation.servers.get("r3");
            faultyServer.tokensPerS = fault.equals("slow") ? 1500 : faultyServer.tokensPerS;
            faultyServer.injectedOutcome = fault.equals("fails") ? Outcome.ERROR : null;
            faultyServer.hungFrom = fault.equals("hangs") ? 110 : faultyServer.hungFrom;
            faultyServer.hungUntil = 120;
            List<Node> nodes = List.of(simulation.addNode(100), simulation.addNode(100), simulation.addNode(100));
            Map<String, List<RequestRecord>> sessions = new HashMap<>();
            for (int i = 0; i < 300; i++) {
                String session = "s" + i;
                double arrivalAt = 100 + simulation.random.nextDouble() * 25;
                int turns = 1 + simulation.random.nextInt(5);
                for (int turn = 0; turn < turns; turn++, arrivalAt += 1 + simulation.random.nextDouble() * 3) {
                    RequestRecord request = simulation.submit(
                            arrivalAt,
                            nodes.get(simulation.random.nextInt(3)),
                            i % 3 == 0 ? LOW : TOP,
                            session,
                            i % 2 == 0 ? null : "p" + i % 8,
                            600 * Math.exp(1.2 * gaussian(simulation.random)),
                            300,
                            6);
                    sessions.computeIfAbsent(session, n -> new ArrayList<>()).add(request);
                }
            }
            simulation.run(160);
            double refusedShare = simulation.count(request -> !request.answered) / (double) simulation.requests.size();
            double fullyRefused = 0;
            double expectedByChance = 0;
            for (List<RequestRecord> requests : sessions.values()) {
                fullyRefused += requests.stream().noneMatch(request -> request.answered) ? 1 : 0;
                expectedByChance += Math.pow(refusedShare, requests.size());
            }
            worstExcess = Math.max(worstExcess, (fullyRefused - expectedByChance) / sessions.size());
            worstLargestRatio = Math.min(worstLargestRatio, answeredShareOfLargest(simulation) / (1 - refusedShare));
        }
        assertTrue(worstExcess <= 0.12, "share of sessions with every request refused, beyond chance: " + worstExcess);
        assertTrue(
                worstLargestRatio >= 2 / 3.0,
                "the largest tenth is answered at " + worstLargestRatio + " of the mean rate");
    }

    private static double gaussian(SplittableRandom random) {
        double sum = -6;
        for (int i = 0; i < 12; i++) {
            sum += random.nextDouble();
        }
        return sum;
    }

    private static double answeredShareOfLargest(ModuleDay simulation) {
        List<RequestRecord> requests = new ArrayList<>(simulation.requests.values());
        requests.sort(Comparator.comparingDouble(f -> -f.arrival.promptTokens()));
        return requests.subList(0, requests.size() / 10).stream()
                        .filter(f -> f.answered)
                        .count()
                / (requests.size() / 10.0);
    }

    /** Draws settings, traffic and faults at random and checks all rules of the module's actions. */
    @ParameterizedTest
    @CsvSource({"0", "1", "2", "3"})
    void noSettingsBreakARule(int seedOffset) {
        for (int seed = seedOffset; seed < SEEDS; seed += 4) {
            SplittableRandom random = new SplittableRandom(seed);
            Settings settings = drawSettings(random);
            try {
                simulate(settings, seed, random);
            } catch (Throwable e) {
                throw new AssertionError("seed " + seed + ", " + settings, e);
            }
        }
    }

    @SafeVarargs
    private static <T> T pick(SplittableRandom random, T... options) {
        return options[random.nextInt(options.length)];
    }

    private static Settings drawSettings(SplittableRandom random) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = random.nextInt(4); i >= 0; i--) {
            classes.add(new RequestClass(
                    "c" + i,
                    pick(random, 0.0, 0.3, 1.0, 4.0),
                    pick(random, 0.0, 0.04),
                    pick(random, 0.0, 1.0, 3.0),
                    pick(random, Repeats.values()),
                    pick(random, DedupScope.values()),
                    pick(random, 0.0, 0.2, 0.7, 2.0, 6.0)));
        }
        List<Customer> customers = pick(random, List.of(), List.of(new Customer("a", 0), new Customer("b", 0.5)));
        List<ServerKind> kinds = List.of(
                new ServerKind("r", Role.READER, 1e5),
                new ServerKind("w", Role.WRITER, 0),
                new ServerKind("m", Role.MIXED, 5e3));
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
                pick(random, ReportTiming.values()),
                random.nextBoolean(),
                pick(random, 0.0, 0.003),
                random.nextBoolean(),
                random.nextBoolean());
    }

    private static void simulate(Settings settings, long seed, SplittableRandom random) {
        ModuleDay simulation = new ModuleDay(settings, seed);
        String layout = pick(random, "rw", "rwm", "m", "rm", "w");
        for (char kind : layout.toCharArray()) {
            int zones = 1 + random.nextInt(3);
            for (int i = random.nextInt(4); i >= 0; i--) {
                simulation.putServer(new Member(
                        "" + kind + i,
                        zones == 1 ? null : "z" + i % zones,
                        "" + kind,
                        i % 3,
                        ServerState.READY,
                        1,
                        random.nextInt(3) == 0 ? 99 : 0));
            }
        }
        for (int i = 0; i < settings.nodes(); i++) {
            simulation.addNode(100);
        }
        double timeoutS = pick(random, 0.03, 0.5, 2.0, 6.0);
        double arrivalsPerS = pick(random, 1.0, 8.0, 40.0);
        for (double time = 100.1; time < 112; time -= Math.log(1 - random.nextDouble()) / arrivalsPerS) {
            Node node = simulation.nodes.get(random.nextInt(settings.nodes()));
            RequestRecord request = simulation.submit(
                    time,
                    node,
                    pick(random, settings.classes().toArray(new RequestClass[0])),
                    "s" + random.nextInt(20),
                    pick(random, null, "p1", "p2"),
                    pick(random, 1.0, 300.0, 2000.0, 30_000.0),
                    1,
                    timeoutS);
            if (random.nextInt(20) == 0) {
                simulation.scheduleEvent(
                        time + random.nextDouble() * timeoutS, node, new ClientLeft(request.arrival.request()));
            }
        }
        List<SimulatedServer> servers = new ArrayList<>(simulation.servers.values());
        for (SimulatedServer server : servers) {
            server.injectedOutcome = pick(
                    random,
                    null,
                    null,
                    Outcome.ERROR,
                    Outcome.FULL,
                    Outcome.RESET,
                    Outcome.STALE,
                    Outcome.CONNECT_FAILED);
            server.faultChance = pick(random, 0.1, 0.5, 1.0);
            server.hungFrom = 100 + random.nextDouble() * 60;
            server.hungUntil = server.hungFrom + 3;
        }
        for (double time = 101 + random.nextDouble(); time < 112; time += 2 * random.nextDouble()) {
            simulation.run(time);
            SimulatedServer server = pick(random, servers.toArray(new SimulatedServer[0]));
            Member member = server.member;
            server.member = new Member(
                    member.server(),
                    member.zone(),
                    member.kind(),
                    member.cell(),
                    pick(random, ServerState.values()),
                    1,
                    random.nextBoolean() ? time : member.launchedAt());
            for (Node node : simulation.nodes) {
                simulation.scheduleEvent(
                        time,
                        node,
                        random.nextInt(8) == 0
                                ? new ServerListUpdate(ListKind.FULL, List.of()) // usually followed by a complete list
                                : settings.mustSubscribe() && random.nextInt(4) == 0
                                        ? new ServerListUpdate(ListKind.FAILED, List.of())
                                        : simulation.memberList(ListKind.FULL));
            }
        }
        simulation.run(125);
        simulation.nodes.forEach(node -> assertTrue(
                node.checker.requests.values().stream().allMatch(l -> l.finished || l.streaming), "all answered"));
    }
}

package copperbeam;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import copperbeam.Api.*;
import copperbeam.LoadedDay.Site;
import copperbeam.ModuleDay.Node;
import copperbeam.ModuleDay.RequestRecord;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that every class, and the tenth of it with the longest prompts, is answered in time at least half as often as
 * by a reference policy that knows the true state of the servers. Groups of which the reference itself answers no more
 * than 30 % are left out.
 */
class ServiceDayTest {
    private static final int SEEDS = Integer.getInteger("service.seeds", 40);
    private static final int FIRST_SEED = Integer.getInteger("service.first", 0);
    private static final int MIN_GROUP_REQUESTS = 15; // smaller groups of requests are too small to compare
    private static final double START_S = 100;
    private static final double MIN_ARRIVALS_DURATION_S = 20;

    /**
     * A randomly drawn site with its load.
     *
     * @param speedSpread relative spread of the servers' speeds around their mean
     * @param utilization arrival rate as a share of the rate that both readers and writers can sustain; arrivals are
     *     limited to 150 per second
     * @param classShare relative frequency of each class
     * @param meanTokens mean prompt length of each class
     * @param tokensCv coefficient of variation of each class's prompt length
     * @param deadlineS seconds from a request's arrival to its deadline, for each class
     * @param answerTokens tokens of each answer
     * @param prefixShare share of each prompt that is a shared prefix
     * @param arrivalsPerS arrivals per second
     */
    record World(
            Settings settings,
            Site site,
            int readers,
            int writers,
            int mixed,
            int zones,
            double speedSpread,
            double utilization,
            double[] classShare,
            double[] meanTokens,
            double[] tokensCv,
            double[] deadlineS,
            double answerTokens,
            double prefixShare,
            double arrivalsPerS) {}

    @SafeVarargs
    private static <T> T pick(SplittableRandom random, T... options) {
        return options[random.nextInt(options.length)];
    }

    private static double logUniform(SplittableRandom random, double min, double max) {
        return min * Math.pow(max / min, random.nextDouble());
    }

    static World drawWorld(SplittableRandom random) {
        int classes = pick(random, 1, 1, 2, 2, 3, 5, 10);
        boolean equalWorth = random.nextInt(3) == 0;
        double baseTokens = logUniform(random, 50, 20_000);
        double baseDeadlineS = logUniform(random, 0.3, 30);
        double aimPerThousandS = pick(random, 0.0, 0.0, 0.04, 0.5);
        List<RequestClass> requestClasses = new ArrayList<>();
        double[] meanTokens = new double[classes];
        double[] deadlineS = new double[classes];
        double[] classShare = new double[classes];
        double[] tokensCv = new double[classes];
        for (int i = 0; i < classes; i++) {
            meanTokens[i] = Math.min(30_000, baseTokens * pick(random, 1.0, 1.0, 3.0, 10.0, 50.0));
            deadlineS[i] = Math.min(60, baseDeadlineS * pick(random, 1.0, 1.0, 2.0));
            classShare[i] = pick(random, 1.0, 1.0, 0.3);
            tokensCv[i] = pick(random, 0.2, 0.6, 1.0);
            requestClasses.add(new RequestClass(
                    "c" + i,
                    deadlineS[i] * pick(random, 0.01, 0.1, 0.3, 0.5, 1.0),
                    aimPerThousandS,
                    equalWorth ? 1 : pick(random, 1.0, 2.0, 3.0),
                    pick(random, Repeats.values()),
                    pick(random, DedupScope.values()),
                    pick(random, 0.0, 0.2, 1.0, 5.0)));
        }
        int nodes = pick(random, 1, 1, 5, 5, 30, 100);
        int readers = pick(random, 1, 2, 5, 8);
        int writers = pick(random, 1, 2, 5, 8);
        int mixed = 0;
        if (random.nextInt(5) == 0) {
            mixed = pick(random, 1, 2, 6);
            boolean mixedOnly = random.nextBoolean();
            readers = mixedOnly ? 0 : readers;
            writers = mixedOnly ? 0 : writers;
        }
        double overallMeanTokens = 0;
        double shareSum = 0;
        double maxMeanTokens = 0;
        for (int i = 0; i < classes; i++) {
            overallMeanTokens += classShare[i] * meanTokens[i];
            shareSum += classShare[i];
            maxMeanTokens = Math.max(maxMeanTokens, meanTokens[i]);
        }
        overallMeanTokens /= shareSum;
        // an idle reader reads the longest class's mean prompt in this share of the base deadline
        double readPerS = maxMeanTokens / (baseDeadlineS * logUniform(random, 0.02, 0.4));
        double answerTokens = pick(random, 30.0, 100.0, 300.0);
        double tokenS = logUniform(random, 0.002, 0.05);
        double prefixShare = pick(random, 0.0, 0.5);
        int slots = pick(random, 8, 32, 100);
        double memoryTokens = pick(random, 0.0, 1.0, 1.0, 1.0)
                * Math.max(4 * maxMeanTokens, slots * overallMeanTokens * logUniform(random, 0.5, 4));
        double readsPerS = (readers + mixed * 0.4) * readPerS / overallMeanTokens;
        double usableSlots =
                memoryTokens > 0 ? Math.min(slots, memoryTokens / (overallMeanTokens + answerTokens)) : slots;
        double writesPerS = (writers + mixed * 0.6) * usableSlots / (answerTokens * tokenS + 0.1);
        double utilization = pick(random, 0.3, 0.45, 0.6);
        double arrivalsPerS = Math.min(150, utilization * Math.min(readsPerS, writesPerS));
        Set<String> fields = new HashSet<>();
        for (String f : List.of("cpu", "waiting", "active", "x0", "x1")) {
            if (random.nextBoolean()) {
                fields.add(f);
            }
        }
        boolean probes = random.nextBoolean();
        ReportTiming reportTiming = pick(random, ReportTiming.values());
        Settings settings = new Settings(
                nodes,
                -1,
                requestClasses,
                List.of(),
                List.of(
                        new ServerKind("r", Role.READER, memoryTokens),
                        new ServerKind("w", Role.WRITER, memoryTokens),
                        new ServerKind("m", Role.MIXED, memoryTokens)),
                new Limits(pick(random, 2, 3, 3, 4, 8), random.nextBoolean(), probes, pick(random, 0.0, 2.0)),
                new Rules(0.3, 10, 3, 2, logUniform(random, 0.05, 30), 10),
                reportTiming,
                false,
                pick(random, 0.0, 0.003, 0.02),
                random.nextBoolean(),
                random.nextBoolean());
        Site site = new Site(
                readPerS,
                readPerS * pick(random, 5.0, 20.0),
                slots,
                tokenS,
                logUniform(random, 0.0005, 0.01),
                logUniform(random, 0.0005, 0.1),
                logUniform(random, 0.1, 0.6),
                fields);
        return new World(
                settings,
                site,
                readers,
                writers,
                mixed,
                pick(random, 1, 2, 3),
                pick(random, 0.0, 0.2, 0.5),
                utilization,
                classShare,
                meanTokens,
                tokensCv,
                deadlineS,
                answerTokens,
                prefixShare,
                arrivalsPerS);
    }

    static LoadedDay simulate(World world, long seed, boolean reference) {
        LoadedDay simulation = new LoadedDay(world.settings, world.site, seed);
        int[] countByKind = {world.readers, world.writers, world.mixed};
        for (int k = 0; k < 3; k++) {
            String kind = "rwm".substring(k, k + 1);
            for (int i = 0; i < countByKind[k]; i++) {
                simulation.putServer(
                        new Member(kind + i, "z" + i % world.zones, kind, i % world.zones, ServerState.READY, 1, 0));
            }
        }
        simulation.rulesAreChecked = !reference;
        simulation.startServers(START_S, world.speedSpread);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < world.settings.nodes(); i++) {
            nodes.add(
                    reference
                            ? simulation.addNode(START_S, simulation.referencePolicy())
                            : simulation.addNode(START_S));
        }
        SplittableRandom random = new SplittableRandom(seed ^ 77);
        double shareSum = 0;
        for (double s : world.classShare) {
            shareSum += s;
        }
        double maxDeadlineS = 0;
        for (double d : world.deadlineS) {
            maxDeadlineS = Math.max(maxDeadlineS, d);
        }
        int requestCount =
                Math.min(3000, (int) (world.arrivalsPerS * Math.max(MIN_ARRIVALS_DURATION_S, 2 * maxDeadlineS)) + 1);
        double arrivalAt = START_S + 0.1;
        for (int i = 0; i < requestCount; i++) {
            arrivalAt -= Math.log(1 - random.nextDouble()) / world.arrivalsPerS;
            double remainder = random.nextDouble() * shareSum;
            int classIndex = 0;
            while (classIndex < world.classShare.length - 1 && remainder >= world.classShare[classIndex]) {
                remainder -= world.classShare[classIndex++];
            }
            double logStdDev = Math.sqrt(Math.log(1 + world.tokensCv[classIndex] * world.tokensCv[classIndex]));
            double tokens = Math.min(
                    60_000,
                    Math.max(
                            20,
                            world.meanTokens[classIndex]
                                    * Math.exp(logStdDev * gaussian(random) - logStdDev * logStdDev / 2)));
            int prefixIndex = random.nextInt(20);
            simulation.submit(
                    arrivalAt,
                    nodes.get(random.nextInt(nodes.size())),
                    world.settings.classes().get(classIndex),
                    "s" + random.nextInt(200),
                    world.prefixShare > 0 ? "p" + prefixIndex : null,
                    tokens,
                    tokens * world.prefixShare,
                    world.deadlineS[classIndex],
                    world.answerTokens);
        }
        simulation.run(arrivalAt + maxDeadlineS + 1 + 2 * world.answerTokens * world.site.tokenS());
        return simulation;
    }

    private static double gaussian(SplittableRandom random) {
        double sum = -6;
        for (int i = 0; i < 12; i++) {
            sum += random.nextDouble();
        }
        return sum;
    }

    private static double answeredShare(LoadedDay simulation, List<RequestRecord> requests) {
        return requests.stream()
                        .filter(f -> simulation.firstTokenAt.getOrDefault(f.arrival.request(), Double.MAX_VALUE)
                                <= f.arrival.deadline())
                        .count()
                / (double) Math.max(1, requests.size());
    }

    private static List<RequestRecord> requestsOf(LoadedDay simulation, RequestClass requestClass, boolean longest) {
        List<RequestRecord> requests = new ArrayList<>(simulation.requests.values().stream()
                .filter(f -> f.arrival.requestClass().equals(requestClass.name()))
                .toList());
        if (longest) {
            requests.sort(Comparator.comparingDouble(f -> -f.arrival.promptTokens()));
            requests = requests.subList(0, requests.size() / 10);
        }
        return requests;
    }

    /** Random settings; {@code -Dservice.seeds} gives the number of seeds, {@code -Dservice.first} the first one. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void everyClassIsServedUnderLowLoad(int seedOffset) {
        List<String> failures = new ArrayList<>();
        for (int seed = FIRST_SEED + seedOffset; seed < FIRST_SEED + SEEDS; seed += 4) {
            failures.addAll(findUnderservedClasses(seed));
        }
        assertTrue(failures.isEmpty(), String.join("\n", failures));
    }

    /**
     * Regression test: with target times that leave little or nothing beside the work itself, all requests were refused
     * as too slow although no queue was ahead of them.
     */
    @ParameterizedTest
    @ValueSource(ints = {107, 1018, 1072, 1273, 1284, 1479, 1530})
    void anAimOutOfReachIsNoReasonToRefuse(int seed) {
        assertEquals(List.of(), findUnderservedClasses(seed));
    }

    /**
     * Regression test: a few waiting prompts of 10,000 tokens and more were taken for overload, because the node
     * counted its own latest attempts twice.
     */
    @ParameterizedTest
    @ValueSource(ints = {1058, 1201, 5475})
    void longPromptsAloneAreNoOverload(int seed) {
        assertEquals(List.of(), findUnderservedClasses(seed));
    }

    /**
     * Regression test: reads that take many seconds timed out before the module had learned their duration, and no
     * attempts were left to repeat the read and then write.
     */
    @ParameterizedTest
    @ValueSource(ints = {5158, 5654})
    void slowReadsAreNotCutShort(int seed) {
        assertEquals(List.of(), findUnderservedClasses(seed));
    }

    private static List<String> findUnderservedClasses(int seed) {
        World world = drawWorld(new SplittableRandom(seed));
        LoadedDay simulation = simulate(world, seed, false);
        LoadedDay reference = simulate(world, seed, true);
        List<String> failures = new ArrayList<>();
        for (RequestClass requestClass : world.settings.classes()) {
            for (boolean longest : new boolean[] {false, true}) {
                List<RequestRecord> requests = requestsOf(simulation, requestClass, longest);
                double answered = answeredShare(simulation, requests);
                double answeredByReference = answeredShare(reference, requestsOf(reference, requestClass, longest));
                if (requests.size() >= MIN_GROUP_REQUESTS
                        && answeredByReference > 0.3
                        && answered < answeredByReference / 2) {
                    failures.add(String.format(
                            "seed %d, %s%s: answered %.2f, by the reference %.2f, of %d: %s in %s",
                            seed,
                            requestClass.name(),
                            longest ? " longest" : "",
                            answered,
                            answeredByReference,
                            requests.size(),
                            countEndReasons(simulation, requests),
                            world));
                }
            }
        }
        return failures;
    }

    /** Counts requests by end reason and number of attempts. */
    private static Map<String, Integer> countEndReasons(LoadedDay simulation, List<RequestRecord> requests) {
        Map<String, Integer> counts = new TreeMap<>();
        requests.forEach(f -> counts.merge(
                simulation.endReasons.getOrDefault(f.arrival.request(), "answered") + "/" + f.attempts,
                1,
                Integer::sum));
        return counts;
    }
}

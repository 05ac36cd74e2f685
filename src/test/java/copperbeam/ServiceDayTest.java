package copperbeam;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import copperbeam.Api.*;
import copperbeam.LoadedDay.Site;
import copperbeam.ModuleDay.Fate;
import copperbeam.ModuleDay.Node;
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
    private static final int FIRST = Integer.getInteger("service.first", 0);
    private static final int FEWEST = 15; // smaller groups of requests are too small to compare
    private static final double FROM = 100;
    private static final double LENGTH = 20;

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
            double load,
            double[] share,
            double[] tokens,
            double[] cv,
            double[] deadline,
            double answer,
            double prefixPart,
            double perS) {}

    @SafeVarargs
    private static <T> T pick(SplittableRandom random, T... of) {
        return of[random.nextInt(of.length)];
    }

    private static double log(SplittableRandom random, double from, double to) {
        return from * Math.pow(to / from, random.nextDouble());
    }

    static World draw(SplittableRandom random) {
        int classes = pick(random, 1, 1, 2, 2, 3, 5, 10);
        boolean equal = random.nextInt(3) == 0;
        double base = log(random, 50, 20_000);
        double deadlineBase = log(random, 0.3, 30);
        double perThousand = pick(random, 0.0, 0.0, 0.04, 0.5);
        List<RequestClass> list = new ArrayList<>();
        double[] tokens = new double[classes];
        double[] deadline = new double[classes];
        double[] share = new double[classes];
        double[] cv = new double[classes];
        for (int i = 0; i < classes; i++) {
            tokens[i] = Math.min(30_000, base * pick(random, 1.0, 1.0, 3.0, 10.0, 50.0));
            deadline[i] = Math.min(60, deadlineBase * pick(random, 1.0, 1.0, 2.0));
            share[i] = pick(random, 1.0, 1.0, 0.3);
            cv[i] = pick(random, 0.2, 0.6, 1.0);
            list.add(new RequestClass(
                    "c" + i,
                    deadline[i] * pick(random, 0.01, 0.1, 0.3, 0.5, 1.0),
                    perThousand,
                    equal ? 1 : pick(random, 1.0, 2.0, 3.0),
                    pick(random, Effect.values()),
                    pick(random, Group.values()),
                    pick(random, 0.0, 0.2, 1.0, 5.0)));
        }
        int nodes = pick(random, 1, 1, 5, 5, 30, 100);
        int readers = pick(random, 1, 2, 5, 8);
        int writers = pick(random, 1, 2, 5, 8);
        int mixed = 0;
        if (random.nextInt(5) == 0) {
            mixed = pick(random, 1, 2, 6);
            boolean alone = random.nextBoolean();
            readers = alone ? 0 : readers;
            writers = alone ? 0 : writers;
        }
        double mean = 0;
        double shares = 0;
        double longest = 0;
        for (int i = 0; i < classes; i++) {
            mean += share[i] * tokens[i];
            shares += share[i];
            longest = Math.max(longest, tokens[i]);
        }
        mean /= shares;
        // an idle reader reads the longest class's mean prompt in this share of the base deadline
        double readPerS = longest / (deadlineBase * log(random, 0.02, 0.4));
        double answer = pick(random, 30.0, 100.0, 300.0);
        double tokenS = log(random, 0.002, 0.05);
        double prefixPart = pick(random, 0.0, 0.5);
        int slots = pick(random, 8, 32, 100);
        double memory = pick(random, 0.0, 1.0, 1.0, 1.0) * Math.max(4 * longest, slots * mean * log(random, 0.5, 4));
        double readRate = (readers + mixed * 0.4) * readPerS / mean;
        double slotsHeld = memory > 0 ? Math.min(slots, memory / (mean + answer)) : slots;
        double writeRate = (writers + mixed * 0.6) * slotsHeld / (answer * tokenS + 0.1);
        double load = pick(random, 0.3, 0.45, 0.6);
        double perS = Math.min(150, load * Math.min(readRate, writeRate));
        Set<String> fields = new HashSet<>();
        for (String f : List.of("cpu", "waiting", "active", "x0", "x1")) {
            if (random.nextBoolean()) {
                fields.add(f);
            }
        }
        boolean probes = random.nextBoolean();
        Reports reports = pick(random, Reports.values());
        Settings s = new Settings(
                nodes,
                -1,
                list,
                List.of(),
                List.of(
                        new Kind("r", Role.READER, memory),
                        new Kind("w", Role.WRITER, memory),
                        new Kind("m", Role.MIXED, memory)),
                new Limits(pick(random, 2, 3, 3, 4, 8), random.nextBoolean(), probes, pick(random, 0.0, 2.0)),
                new Rules(0.3, 10, 3, 2, log(random, 0.05, 30), 10),
                reports,
                false,
                pick(random, 0.0, 0.003, 0.02),
                random.nextBoolean(),
                random.nextBoolean());
        Site site = new Site(
                readPerS,
                readPerS * pick(random, 5.0, 20.0),
                slots,
                tokenS,
                log(random, 0.0005, 0.01),
                log(random, 0.0005, 0.1),
                log(random, 0.1, 0.6),
                fields);
        return new World(
                s,
                site,
                readers,
                writers,
                mixed,
                pick(random, 1, 2, 3),
                pick(random, 0.0, 0.2, 0.5),
                load,
                share,
                tokens,
                cv,
                deadline,
                answer,
                prefixPart,
                perS);
    }

    static LoadedDay play(World w, long seed, boolean reference) {
        LoadedDay day = new LoadedDay(w.settings, w.site, seed);
        int[] each = {w.readers, w.writers, w.mixed};
        for (int k = 0; k < 3; k++) {
            String kind = "rwm".substring(k, k + 1);
            for (int i = 0; i < each[k]; i++) {
                day.machine(new Member(kind + i, "z" + i % w.zones, kind, i % w.zones, ServerState.READY, 1, 0));
            }
        }
        day.ruled = !reference;
        day.open(FROM, w.speedSpread);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < w.settings.nodes(); i++) {
            nodes.add(reference ? day.node(FROM, day.reference()) : day.node(FROM));
        }
        SplittableRandom random = new SplittableRandom(seed ^ 77);
        double shares = 0;
        for (double s : w.share) {
            shares += s;
        }
        double longest = 0;
        for (double d : w.deadline) {
            longest = Math.max(longest, d);
        }
        int most = Math.min(3000, (int) (w.perS * Math.max(LENGTH, 2 * longest)) + 1);
        double t = FROM + 0.1;
        for (int i = 0; i < most; i++) {
            t -= Math.log(1 - random.nextDouble()) / w.perS;
            double u = random.nextDouble() * shares;
            int c = 0;
            while (c < w.share.length - 1 && u >= w.share[c]) {
                u -= w.share[c++];
            }
            double spread = Math.sqrt(Math.log(1 + w.cv[c] * w.cv[c]));
            double tokens = Math.min(
                    60_000, Math.max(20, w.tokens[c] * Math.exp(spread * gauss(random) - spread * spread / 2)));
            int prefix = random.nextInt(20);
            day.ask(
                    t,
                    nodes.get(random.nextInt(nodes.size())),
                    w.settings.classes().get(c),
                    "s" + random.nextInt(200),
                    w.prefixPart > 0 ? "p" + prefix : null,
                    tokens,
                    tokens * w.prefixPart,
                    w.deadline[c],
                    w.answer);
        }
        day.run(t + longest + 1 + 2 * w.answer * w.site.tokenS());
        return day;
    }

    private static double gauss(SplittableRandom random) {
        double sum = -6;
        for (int i = 0; i < 12; i++) {
            sum += random.nextDouble();
        }
        return sum;
    }

    private static double share(LoadedDay day, List<Fate> of) {
        return of.stream()
                        .filter(f ->
                                day.firstToken.getOrDefault(f.asked.request(), Double.MAX_VALUE) <= f.asked.deadline())
                        .count()
                / (double) Math.max(1, of.size());
    }

    private static List<Fate> of(LoadedDay day, RequestClass c, boolean longest) {
        List<Fate> its = new ArrayList<>(day.fates.values().stream()
                .filter(f -> f.asked.requestClass().equals(c.name()))
                .toList());
        if (longest) {
            its.sort(Comparator.comparingDouble(f -> -f.asked.promptTokens()));
            its = its.subList(0, its.size() / 10);
        }
        return its;
    }

    /** Random settings; {@code -Dservice.seeds} gives the number of seeds, {@code -Dservice.first} the first one. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void everyClassIsServedOnAQuietDay(int row) {
        List<String> bad = new ArrayList<>();
        for (int seed = FIRST + row; seed < FIRST + SEEDS; seed += 4) {
            bad.addAll(hardlyServed(seed));
        }
        assertTrue(bad.isEmpty(), String.join("\n", bad));
    }

    /**
     * Regression test: with target times that leave little or nothing beside the work itself, all requests were refused
     * as too slow although no queue was ahead of them.
     */
    @ParameterizedTest
    @ValueSource(ints = {107, 1018, 1072, 1273, 1284, 1479, 1530})
    void anAimOutOfReachIsNoReasonToRefuse(int seed) {
        assertEquals(List.of(), hardlyServed(seed));
    }

    /**
     * Regression test: a few waiting prompts of 10,000 tokens and more were taken for overload, because the node
     * counted its own latest attempts twice.
     */
    @ParameterizedTest
    @ValueSource(ints = {1058, 1201, 5475})
    void longPromptsAloneAreNoOverload(int seed) {
        assertEquals(List.of(), hardlyServed(seed));
    }

    /**
     * Regression test: reads that take many seconds timed out before the module had learned their duration, and no
     * attempts were left to repeat the read and then write.
     */
    @ParameterizedTest
    @ValueSource(ints = {5158, 5654})
    void slowReadsEnd(int seed) {
        assertEquals(List.of(), hardlyServed(seed));
    }

    private static List<String> hardlyServed(int seed) {
        World w = draw(new SplittableRandom(seed));
        LoadedDay day = play(w, seed, false);
        LoadedDay reference = play(w, seed, true);
        List<String> bad = new ArrayList<>();
        for (RequestClass c : w.settings.classes()) {
            for (boolean longest : new boolean[] {false, true}) {
                List<Fate> its = of(day, c, longest);
                double got = share(day, its);
                double could = share(reference, of(reference, c, longest));
                if (its.size() >= FEWEST && could > 0.3 && got < could / 2) {
                    bad.add(String.format(
                            "seed %d, %s%s: answered %.2f, by the reference %.2f, of %d: %s in %s",
                            seed, c.name(), longest ? " longest" : "", got, could, its.size(), whys(day, its), w));
                }
            }
        }
        return bad;
    }

    /** Counts requests by end reason and number of attempts. */
    private static Map<String, Integer> whys(LoadedDay day, List<Fate> its) {
        Map<String, Integer> all = new TreeMap<>();
        its.forEach(f ->
                all.merge(day.whys.getOrDefault(f.asked.request(), "answered") + "/" + f.attempts, 1, Integer::sum));
        return all;
    }
}

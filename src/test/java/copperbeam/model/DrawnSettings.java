package copperbeam.model;

import copperbeam.Api;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Draws settings over their usual ranges, including some extreme values. */
final class DrawnSettings implements WorldSettings.Source {
    private static final double[] RELEASE_S = {0.35, 0.5, 1, 2};
    private static final double[] WINDOWS_S = {0.3, 1, 2, 5};

    @Override
    public WorldSettings draw(long seed, int processes) {
        SplittableRandom random = new SplittableRandom(seed ^ 0x5e77);
        List<Api.RequestClass> classes = new ArrayList<>();
        Map<String, Duration> maxClientWait = new LinkedHashMap<>();
        int count = 1 + random.nextInt(4);
        for (int i = 0; i < count; i++) {
            String name = "class" + i;
            double aimS = 0.3 + 2.7 * random.nextDouble();
            classes.add(new Api.RequestClass(
                    name,
                    aimS,
                    random.nextBoolean() ? 0.04 : 0,
                    1 + random.nextInt(4),
                    pick(random, Api.Repeats.values()),
                    pick(random, Api.DedupScope.values()),
                    WINDOWS_S[random.nextInt(WINDOWS_S.length)]));
            maxClientWait.put(name, Duration.ofMillis((long) (1000 * aimS * (1.5 + 2.5 * random.nextDouble()))));
        }
        Api.Settings settings = new Api.Settings(
                processes,
                -1,
                classes,
                List.of(),
                kinds(random),
                new Api.Limits(1 + random.nextInt(4), random.nextInt(5) > 0, random.nextInt(5) > 0, 2),
                new Api.Rules(
                        0.1 + 0.5 * random.nextDouble(),
                        3 + 15 * random.nextDouble(),
                        1.5 + 3 * random.nextDouble(),
                        0.5 + 2.5 * random.nextDouble(),
                        RELEASE_S[random.nextInt(RELEASE_S.length)],
                        0),
                pick(random, Api.ReportTiming.values()),
                false,
                random.nextBoolean() ? 0 : 0.0024,
                random.nextInt(4) == 0,
                random.nextBoolean());
        return new WorldSettings(
                settings,
                Duration.ofMillis(100 + random.nextInt(300)),
                Duration.ofSeconds(1 + random.nextInt(30)),
                64,
                Duration.ofMillis(200 + random.nextInt(1300)),
                Duration.ofMillis(8),
                maxClientWait);
    }

    private static List<Api.ServerKind> kinds(SplittableRandom random) {
        Api.ServerKind mixed = new Api.ServerKind("mixed", Api.Role.MIXED, 200_000);
        if (random.nextInt(6) == 0) {
            return List.of(mixed);
        }
        Api.ServerKind reader = new Api.ServerKind("reader", Api.Role.READER, 200_000);
        Api.ServerKind writer = new Api.ServerKind("writer", Api.Role.WRITER, 150_000);
        return random.nextInt(6) == 0 ? List.of(reader, writer, mixed) : List.of(reader, writer);
    }

    private static <T> T pick(SplittableRandom random, T[] values) {
        return values[random.nextInt(values.length)];
    }
}

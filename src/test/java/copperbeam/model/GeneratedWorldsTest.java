package copperbeam.model;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Checks the rules of {@link ModelTest} under complete drawn configurations, extreme values included. */
public class GeneratedWorldsTest {
    private static final int WORLD_COUNT = Integer.getInteger("model.generated", 40);
    private static final long[] REGRESSION_SEEDS = {
        5225, // the state of an interrupted read stayed held while the connect of the next attempt hung
    };
    private static final long FIRST_SEED = Long.getLong("model.from", 1);

    private static long[] seeds() {
        return LongStream.concat(
                        LongStream.range(FIRST_SEED, FIRST_SEED + WORLD_COUNT), LongStream.of(REGRESSION_SEEDS))
                .toArray();
    }

    @Test
    public void noRuleIsBrokenUnderAnySettings() throws Exception {
        List<String> violations = new ArrayList<>();
        for (long seed : seeds()) {
            String violation = new World(
                            seed, ModelTest.processCount(seed), new GeneratedWorlds(), World.Load.USUAL, false, false)
                    .run();
            if (violation != null && violations.isEmpty()) {
                violations.add(new World(
                                seed,
                                ModelTest.processCount(seed),
                                new GeneratedWorlds(),
                                World.Load.USUAL,
                                true,
                                false)
                        .run());
                violations.add(GeneratedSettings.draw(seed).toString());
            } else if (violation != null) {
                violations.add("and seed " + seed + ": "
                        + violation.lines().findFirst().orElse(""));
            }
        }
        assertTrue(violations.isEmpty(), String.join("\n", violations));
    }
}

package copperbeam.model;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Checks the rules of {@link ModelTest} under complete drawn configurations, extreme values included. */
public class GeneratedWorldsTest {
    private static final int WORLDS = Integer.getInteger("model.generated", 40);
    private static final long[] FOUND = {
        5225, // the state of an interrupted read stayed held while the connect of the next attempt hung
    };
    private static final long FROM = Long.getLong("model.from", 1);

    private static long[] seeds() {
        return LongStream.concat(LongStream.range(FROM, FROM + WORLDS), LongStream.of(FOUND))
                .toArray();
    }

    @Test
    public void noRuleIsBrokenUnderAnySettings() throws Exception {
        List<String> broken = new ArrayList<>();
        for (long seed : seeds()) {
            String rule = new World(
                            seed, ModelTest.processes(seed), new GeneratedWorlds(), World.Load.USUAL, false, false)
                    .play();
            if (rule != null && broken.isEmpty()) {
                broken.add(
                        new World(seed, ModelTest.processes(seed), new GeneratedWorlds(), World.Load.USUAL, true, false)
                                .play());
                broken.add(GeneratedSettings.draw(seed).toString());
            } else if (rule != null) {
                broken.add("and seed " + seed + ": " + rule.lines().findFirst().orElse(""));
            }
        }
        assertTrue(broken.isEmpty(), String.join("\n", broken));
    }
}

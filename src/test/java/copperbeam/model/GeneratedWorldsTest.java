package copperbeam.model;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** The model test's rules under whole drawn configurations, corners included. */
public class GeneratedWorldsTest {
    private static final int WORLDS = Integer.getInteger("model.generated", 40);
    private static final long FROM = Long.getLong("model.from", 1);

    @Test
    public void noRuleIsBrokenUnderAnySettings() throws Exception {
        List<String> broken = new ArrayList<>();
        for (long seed = FROM; seed < FROM + WORLDS; seed++) {
            String rule = new World(seed, ModelTest.processes(seed), new GeneratedWorlds(), false, false).play();
            if (rule != null && broken.isEmpty()) {
                broken.add(new World(seed, ModelTest.processes(seed), new GeneratedWorlds(), true, false).play());
                broken.add(GeneratedSettings.draw(seed).toString());
            } else if (rule != null) {
                broken.add("and seed " + seed + ": " + rule.lines().findFirst().orElse(""));
            }
        }
        assertTrue(broken.isEmpty(), String.join("\n", broken));
    }
}

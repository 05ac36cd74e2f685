package copperbeam.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.soak.SoakRun.Plant;
import copperbeam.soak.Violation.Rule;
import java.nio.file.Files;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Short runs of the fault soak. The oracle must find deliberate defects in what is sent to servers, and must find no broken rule
 * under random troubles or without troubles. docs/fault-soak.md describes the long runs.
 */
public class SoakTest {
    private static final long PLANTED_SEED = 4;
    private static final long LENGTH_MS = 3500;
    private static final long TROUBLED_MS = 11_000;
    private static final int LEAST_SERVED_PART = 5; // with fewer than 1/5 served the run is inconclusive

    @DataProvider
    public Object[][] plants() {
        return new Object[][] {
            {Plant.TELL_TOO_MUCH, Rule.DEADLINE_TOLD},
            {Plant.MISPLACED_RELEASES, Rule.PINNED},
            {Plant.OTHER_IDS, Rule.WRONG_ANSWER},
        };
    }

    @Test(dataProvider = "plants")
    public void aPlantedFaultIsFound(Plant plant, Rule rule) throws Exception {
        SoakRun.Size size = new SoakRun.Size(2, 12, 2, 2, LENGTH_MS, plant);
        try (SoakRun run = new SoakRun(PLANTED_SEED, size, Files.createTempDirectory("soak"))) {
            List<Violation> violations = run.play();
            assertTrue(run.sent() > 50, "load: " + run.sent());
            assertTrue(violations.stream().anyMatch(v -> v.rule() == rule), violations.toString());
        }
    }

    @DataProvider
    public Object[][] seeds() {
        // 41 and 45: a crowd of idle clients; 42: streams resume; 44: a heavy class while all servers are cold
        return new Object[][] {{41}, {42}, {44}, {45}};
    }

    /** A short soak with random troubles; docs/fault-soak.md describes the long runs, which are started by hand. */
    @Test(dataProvider = "seeds")
    public void overlappingTroublesBreakNoRule(int seed) throws Exception {
        SoakRun.Size size = new SoakRun.Size(3, 12, 3, 5, TROUBLED_MS, null);
        try (SoakRun run = new SoakRun(seed, size, Files.createTempDirectory("soak"))) {
            List<Violation> violations = run.play();
            violations.forEach(v -> run.evidence(v).forEach(System.out::println));
            assertEquals(violations.toString(), "[]"); // compared as text, as TestNG prints only the sizes of two lists
            assertTrue(run.served() > run.sent() / LEAST_SERVED_PART, run.served() + " served of " + run.sent());
        }
    }

    @Test
    public void withoutTroublesNoRuleIsBroken() throws Exception {
        SoakRun.Size size = new SoakRun.Size(2, 12, 2, 2, LENGTH_MS, null);
        try (SoakRun run = new SoakRun(PLANTED_SEED, size, Files.createTempDirectory("soak"))) {
            assertEquals(run.play(), List.of());
            assertTrue(run.served() > 50, "load: " + run.served());
        }
    }
}

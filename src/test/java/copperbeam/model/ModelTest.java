package copperbeam.model;

import static org.testng.Assert.assertNull;

import copperbeam.routing.Actor;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Runs the router without its sockets in randomly drawn {@link World}s in virtual time, and checks rules that were
 * written from the specification alone. {@code -Dmodel.worlds=10000} sets the number of worlds,
 * {@code -Dmodel.from=7} the first seed.
 */
public class ModelTest {
    private static final int WORLD_COUNT = Integer.getInteger("model.worlds", 200);
    private static final int LOGGED_WORLDS_PER_RULE = 2; // worlds per violated rule that are run again with a log
    private static final long FIRST_SEED = Long.getLong("model.from", 1);
    private static final Logger ROUTING_LOG = Logger.getLogger("copperbeam.routing");
    private static final Logger ACTOR_LOG = Logger.getLogger(Actor.class.getName());

    private final Handler actorFailureHandler = new Handler() {
        @Override
        public void publish(LogRecord record) {
            if (record.getLevel().intValue() >= Level.SEVERE.intValue()) {
                actorFailure = record.getMessage() + ": " + record.getThrown();
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };
    private String actorFailure; // an exception that an actor logged
    private final Map<String, Integer> outcomeCounts = new TreeMap<>();

    @BeforeClass
    public void installLogHandler() {
        ROUTING_LOG.setLevel(Level.WARNING);
        ACTOR_LOG.addHandler(actorFailureHandler);
    }

    @AfterClass
    public void removeLogHandler() {
        ROUTING_LOG.setLevel(null);
        ACTOR_LOG.removeHandler(actorFailureHandler);
    }

    /** Number of processes in a world: mostly one or five, as small worlds run faster and so cover more event orders. */
    static int processCount(long seed) {
        int draw = (int) Math.floorMod(seed * 31 + 7, 20L);
        return draw < 8 ? 1 : draw < 15 ? 5 : draw < 19 ? 20 + draw % 3 * 5 : 100;
    }

    @Test
    public void noRuleIsBroken() throws Exception {
        run(World.Load.USUAL, WORLD_COUNT);
    }

    @Test
    public void noRuleIsBrokenInBursts() throws Exception {
        run(World.Load.BURSTS, WORLD_COUNT / 2);
    }

    private void run(World.Load load, int worlds) throws Exception {
        outcomeCounts.clear();
        Map<String, List<Long>> violations = new TreeMap<>();
        StringBuilder logs = new StringBuilder();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + worlds; seed++) {
            String violation = run(seed, load, false);
            if (violation != null) {
                String rule = violation.lines().findFirst().orElseThrow().replaceAll("\\(.*|[-0-9.]+", "#");
                List<Long> seeds = violations.computeIfAbsent(rule, k -> new ArrayList<>());
                seeds.add(seed);
                if (seeds.size() <= LOGGED_WORLDS_PER_RULE) {
                    logs.append(run(seed, load, true)).append('\n');
                }
            }
        }
        System.out.println("model: " + worlds + " worlds from seed " + FIRST_SEED + ", " + load
                + ", requests by outcome " + outcomeCounts);
        assertNull(
                violations.isEmpty() ? null : "of " + worlds + " worlds, seeds by rule: " + violations + "\n" + logs);
    }

    private String run(long seed, World.Load load, boolean logs) throws Exception {
        actorFailure = null;
        World world = new World(seed, processCount(seed), new DrawnSettings(), load, logs, false);
        String violations = world.run();
        if (!logs) {
            world.countsByOutcome().forEach((end, count) -> outcomeCounts.merge(end, count, Integer::sum));
        }
        return violations != null ? violations : actorFailure == null ? null : "seed " + seed + ": " + actorFailure;
    }
}

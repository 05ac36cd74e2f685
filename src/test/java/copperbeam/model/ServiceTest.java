package copperbeam.model;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * In each drawn world and for each class, the share of requests that the router serves is at least half the share that
 * {@link ReferencePolicy}, which sees the true state of the servers, serves in the same world. The same holds for the tenth
 * of the class's requests with the longest prompts.
 */
public class ServiceTest {
    private static final int WORLD_COUNT = Integer.getInteger("model.worlds", 60);
    private static final long FIRST_SEED = Long.getLong("model.from", 1);
    private static final double MIN_SHARE_OF_REFERENCE = 0.5; // lower bound, as a fraction of the reference's share
    private static final int MIN_REQUESTS = 100; // fewer requests are too few to compare shares
    private static final int MIN_LONG_REQUESTS = 40; // the same for the tenth with the longest prompts
    private static final Logger ROUTING_LOG = Logger.getLogger("copperbeam.routing");

    private record ServedShare(int requestCount, double servedShare) {
        static ServedShare of(List<ClientRequest> requests) {
            long servedCount = requests.stream()
                    .filter(r -> r.outcome == ClientRequest.Outcome.SERVED)
                    .count();
            return new ServedShare(requests.size(), servedCount / (double) Math.max(1, requests.size()));
        }
    }

    @BeforeClass
    public void silenceLog() {
        ROUTING_LOG.setLevel(Level.WARNING);
    }

    @AfterClass
    public void restoreLog() {
        ROUTING_LOG.setLevel(null);
    }

    @Test
    public void eachClassIsServed() throws Exception {
        List<String> underserved = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + WORLD_COUNT; seed++) {
            World program = run(seed, false);
            World reference = run(seed, true);
            for (var requestClass : program.settings.moduleSettings().classes()) {
                checkShare(
                        seed,
                        requestClass.name(),
                        MIN_REQUESTS,
                        firstTries(program, requestClass.name()),
                        firstTries(reference, requestClass.name()),
                        underserved);
                checkShare(
                        seed,
                        requestClass.name() + ", longest tenth",
                        MIN_LONG_REQUESTS,
                        longestTenth(firstTries(program, requestClass.name())),
                        longestTenth(firstTries(reference, requestClass.name())),
                        underserved);
            }
        }
        assertEquals(underserved.size(), 0, "of " + WORLD_COUNT + " worlds:\n" + String.join("\n", underserved) + "\n");
    }

    private static World run(long seed, boolean usesReferencePolicy) throws Exception {
        World world = new World(
                seed, ModelTest.processCount(seed), new DrawnSettings(), World.Load.USUAL, false, usesReferencePolicy);
        world.run();
        return world;
    }

    /** First tries (no client retries) whose client stayed connected and whose process was not killed. */
    private static List<ClientRequest> firstTries(World world, String requestClass) {
        return world.requests.values().stream()
                .filter(r -> r.spec.requestClass().equals(requestClass) && r.retryCount == 0)
                .filter(r -> r.clientGoneAt < 0 && !r.lostWithProcess)
                .toList();
    }

    private static List<ClientRequest> longestTenth(List<ClientRequest> requests) {
        return requests.stream()
                .sorted(Comparator.comparingDouble((ClientRequest r) -> -r.spec.promptTokens()))
                .limit(requests.size() / 10)
                .toList();
    }

    private static void checkShare(
            long seed,
            String group,
            int minRequests,
            List<ClientRequest> program,
            List<ClientRequest> reference,
            List<String> underserved) {
        ServedShare programShare = ServedShare.of(program);
        ServedShare referenceShare = ServedShare.of(reference);
        if (Math.min(programShare.requestCount, referenceShare.requestCount) >= minRequests
                && programShare.servedShare < MIN_SHARE_OF_REFERENCE * referenceShare.servedShare) {
            underserved.add(String.format(
                    Locale.ROOT,
                    "seed %d, %s: served a share of %.2f of %d requests, the reference %.2f of %d",
                    seed,
                    group,
                    programShare.servedShare,
                    programShare.requestCount,
                    referenceShare.servedShare,
                    referenceShare.requestCount));
        }
    }
}

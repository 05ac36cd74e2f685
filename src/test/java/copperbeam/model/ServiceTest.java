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
    private static final int WORLDS = Integer.getInteger("model.worlds", 60);
    private static final long FROM = Long.getLong("model.from", 1);
    private static final double LEAST = 0.5; // lower bound, as a fraction of the reference's share
    private static final int ENOUGH = 100; // fewer requests are too few to compare shares
    private static final int ENOUGH_LONG = 40; // the same for the tenth with the longest prompts
    private static final Logger ROUTING = Logger.getLogger("copperbeam.routing");

    private record Share(int requests, double served) {
        static Share of(List<ClientRequest> requests) {
            long served = requests.stream()
                    .filter(r -> r.ending == ClientRequest.Final.SERVED)
                    .count();
            return new Share(requests.size(), served / (double) Math.max(1, requests.size()));
        }
    }

    @BeforeClass
    public void quiet() {
        ROUTING.setLevel(Level.WARNING);
    }

    @AfterClass
    public void aloud() {
        ROUTING.setLevel(null);
    }

    @Test
    public void eachClassIsServed() throws Exception {
        List<String> starved = new ArrayList<>();
        for (long seed = FROM; seed < FROM + WORLDS; seed++) {
            World program = play(seed, false);
            World reference = play(seed, true);
            for (var c : program.settings.settings().classes()) {
                compare(seed, c.name(), ENOUGH, first(program, c.name()), first(reference, c.name()), starved);
                compare(
                        seed,
                        c.name() + ", longest tenth",
                        ENOUGH_LONG,
                        longest(first(program, c.name())),
                        longest(first(reference, c.name())),
                        starved);
            }
        }
        assertEquals(starved.size(), 0, "of " + WORLDS + " worlds:\n" + String.join("\n", starved) + "\n");
    }

    private static World play(long seed, boolean reference) throws Exception {
        World world =
                new World(seed, ModelTest.processes(seed), new DrawnSettings(), World.Load.USUAL, false, reference);
        world.play();
        return world;
    }

    /** First tries (no client retries) whose client stayed connected and whose process was not killed. */
    private static List<ClientRequest> first(World world, String requestClass) {
        return world.requests.values().stream()
                .filter(r -> r.ask.requestClass().equals(requestClass) && r.retries == 0)
                .filter(r -> r.leftAt < 0 && !r.excused)
                .toList();
    }

    private static List<ClientRequest> longest(List<ClientRequest> requests) {
        return requests.stream()
                .sorted(Comparator.comparingDouble((ClientRequest r) -> -r.ask.promptTokens()))
                .limit(requests.size() / 10)
                .toList();
    }

    private static void compare(
            long seed,
            String what,
            int enough,
            List<ClientRequest> program,
            List<ClientRequest> reference,
            List<String> starved) {
        Share own = Share.of(program);
        Share other = Share.of(reference);
        if (Math.min(own.requests, other.requests) >= enough && own.served < LEAST * other.served) {
            starved.add(String.format(
                    Locale.ROOT,
                    "seed %d, %s: served a share of %.2f of %d requests, the reference %.2f of %d",
                    seed,
                    what,
                    own.served,
                    own.requests,
                    other.served,
                    other.requests));
        }
    }
}

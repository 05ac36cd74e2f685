package copperbeam;

import static org.junit.jupiter.api.Assertions.assertEquals;

import copperbeam.Api.*;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The embedding example of the README, as a test. */
class EmbeddingTest {
    private static final class Transport {
        final List<String> calls = new ArrayList<>();

        void send(long request, String server, double until) {
            calls.add("send " + request + " " + server);
        }

        void refuse(long request, double retryAfterS) {
            calls.add("refuse " + request);
        }
    }

    @Test
    void aNodeEmbedsTheLibrary() {
        Transport transport = new Transport();
        Settings settings = ModuleFixture.defaultSettings(ModuleFixture.LOW, ModuleFixture.TOP);
        Brain brain = new Brain(settings, 42);
        brain.onEvent(
                1,
                new ServerListUpdate(
                        ListKind.FULL,
                        List.of(
                                new Member("reader:1", "hall", "r", 0, ServerState.READY, 1, 0),
                                new Member("writer:1", "hall", "w", 0, ServerState.READY, 1, 0))));
        List<Action> actions = brain.onEvent(2, new Arrival(7, "top", null, "s", "p", 1800, 1200, 256, 10));
        for (Action action : actions) {
            if (action instanceof Attempt a) {
                transport.send(a.request(), a.server(), a.timeoutAt());
            } else if (action instanceof Refuse r) {
                transport.refuse(r.request(), r.retryAfterS());
            }
        }
        assertEquals(List.of("send 7 reader:1"), transport.calls);
    }
}

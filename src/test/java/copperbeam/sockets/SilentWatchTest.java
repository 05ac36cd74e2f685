package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static org.testng.Assert.assertTrue;

import copperbeam.Api.ServerState;
import copperbeam.membership.Backoff;
import copperbeam.protocol.discovery.DiscoveryWatch;
import copperbeam.routing.MembershipSource.Entry;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.PlainHttpClient;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.testng.annotations.Test;

/** A watch over real sockets, which is repeated after a silence or a failure. */
public class SilentWatchTest {
    private static final String ENTRY = "\n  {\n    \"id\" : \"a\",\r\n\t\"addr\" : \"127.0.0.1:1\",\n\n"
            + "    \"zone\" : \"z\", \"kind\" : \"k\", \"state\" : \"%s\"\n  }\n";

    private static String list(int version, boolean full, String entries) {
        return "{\n  \"version\" : " + version + ",\n\t\"full\" : " + full + ",\r\n  \"servers\" : [" + entries
                + "]\n}\n";
    }

    /**
     * A watch gets half an answer that goes on by a byte now and then, and the next connection is closed without an answer.
     * Guards against treating the trickling call as a working watch, and against lists whose indentation can't be
     * parsed.
     */
    @Test
    public void halfAnAnswerAndARefusalHideNoDrain() throws Exception {
        ScheduledExecutorService turns = Executors.newSingleThreadScheduledExecutor();
        List<Entry> heard = new CopyOnWriteArrayList<>();
        Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofMillis(100), new SplittableRandom(1));
        try (ClientReactor reactor = new ClientReactor();
                StandIn agent = new StandIn(null)) {
            agent.script = (m, line) -> {
                switch (agent.seen.size()) {
                    case 1 -> line.answer(200, list(7, true, String.format(ENTRY, "active")));
                    case 2 -> {
                        line.send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
                                + list(8, false, "").substring(0, 30));
                        while (!line.ended) {
                            line.send(" ");
                            Thread.sleep(300);
                        }
                    }
                    case 3 -> line.close();
                    default -> line.answer(200, list(8, false, String.format(ENTRY, "leaving")));
                }
            };
            DiscoveryWatch watch = new DiscoveryWatch(
                    turns, new PlainHttpClient(reactor), Clock.systemUTC(), agent.address(), null, false, backoff);
            watch.start(change -> heard.addAll(change.entries()));
            await("listed", () -> heard.size() == 1);
            await("the watch is called", () -> agent.seen.size() >= 2);
            long from = System.nanoTime();
            await("the drain", () -> heard.stream().anyMatch(e -> e.member().state() == ServerState.DRAINING));
            assertTrue(System.nanoTime() - from < 5_000_000_000L, "by far sooner than 6 s after the silence began");
            assertTrue(agent.lines.size() >= 3, "each on a connection of its own");
            watch.stop();
        } finally {
            turns.shutdownNow();
        }
    }

    /**
     * An error while a change of the list is applied, such as a class that can't be loaded for lack of file descriptors,
     * ends neither the watch nor the next change.
     */
    @Test
    public void aFailureOnOneChangeEndsNoWatch() throws Exception {
        ScheduledExecutorService turns = Executors.newSingleThreadScheduledExecutor();
        List<Entry> heard = new CopyOnWriteArrayList<>();
        Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofMillis(100), new SplittableRandom(1));
        try (ClientReactor reactor = new ClientReactor();
                StandIn agent = new StandIn(null)) {
            agent.script = (m, line) -> {
                boolean whole = agent.seen.size() == 1;
                line.answer(200, list(agent.seen.size(), whole, String.format(ENTRY, whole ? "active" : "leaving")));
            };
            DiscoveryWatch watch = new DiscoveryWatch(
                    turns, new PlainHttpClient(reactor), Clock.systemUTC(), agent.address(), null, false, backoff);
            watch.start(change -> {
                if (agent.seen.size() == 1) {
                    throw new NoClassDefFoundError("thrown by the test");
                }
                heard.addAll(change.entries());
            });
            await("the drain", 6000, () -> !heard.isEmpty());
            watch.stop();
        } finally {
            turns.shutdownNow();
        }
    }
}

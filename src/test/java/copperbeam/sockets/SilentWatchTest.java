package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static org.testng.Assert.assertTrue;

import copperbeam.Api.ServerState;
import copperbeam.membership.Backoff;
import copperbeam.membership.WatchPace;
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
    private static final String ENTRY_FORMAT = "\n  {\n    \"id\" : \"a\",\r\n\t\"addr\" : \"127.0.0.1:1\",\n\n"
            + "    \"zone\" : \"z\", \"kind\" : \"k\", \"state\" : \"%s\"\n  }\n";

    private static String listJson(int version, boolean full, String entries) {
        return "{\n  \"version\" : " + version + ",\n\t\"full\" : " + full + ",\r\n  \"servers\" : [" + entries
                + "]\n}\n";
    }

    private static DiscoveryWatch watchOf(
            StandIn agent, ScheduledExecutorService scheduler, ClientReactor reactor, Backoff backoff) {
        return new DiscoveryWatch(
                scheduler,
                new PlainHttpClient(reactor),
                Clock.systemUTC(),
                agent.address(),
                null,
                false,
                backoff,
                WatchPace.ofAgent(Duration.ofSeconds(1)));
    }

    /**
     * A watch gets half an answer that goes on by a byte now and then, and the next connection is closed without an answer.
     * Guards against treating the trickling call as a working watch, and against lists whose indentation can't be
     * parsed.
     */
    @Test
    public void halfAnAnswerAndARefusalHideNoDrain() throws Exception {
        ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
        List<Entry> reportedEntries = new CopyOnWriteArrayList<>();
        Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofMillis(100), new SplittableRandom(1));
        try (ClientReactor reactor = new ClientReactor();
                StandIn agent = new StandIn(null)) {
            agent.script = (request, connection) -> {
                switch (agent.requests.size()) {
                    case 1 -> connection.respond(200, listJson(7, true, String.format(ENTRY_FORMAT, "active")));
                    case 2 -> {
                        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
                                + listJson(8, false, "").substring(0, 30));
                        while (!connection.closedByStandIn) {
                            connection.send(" ");
                            Thread.sleep(300);
                        }
                    }
                    case 3 -> connection.close();
                    default -> connection.respond(200, listJson(8, false, String.format(ENTRY_FORMAT, "leaving")));
                }
            };
            DiscoveryWatch watch = watchOf(agent, scheduler, reactor, backoff);
            watch.start(change -> reportedEntries.addAll(change.entries()));
            await("listed", () -> reportedEntries.size() == 1);
            await("the watch is called", () -> agent.requests.size() >= 2);
            long startNs = System.nanoTime();
            await(
                    "the drain",
                    () -> reportedEntries.stream().anyMatch(e -> e.member().state() == ServerState.DRAINING));
            assertTrue(System.nanoTime() - startNs < 5_000_000_000L, "by far sooner than 6 s after the silence began");
            assertTrue(agent.connections.size() >= 3, "each on a connection of its own");
            watch.stop();
        } finally {
            scheduler.shutdownNow();
        }
    }

    /**
     * An error while a change of the list is applied, such as a class that can't be loaded for lack of file descriptors,
     * ends neither the watch nor the next change.
     */
    @Test
    public void aFailureOnOneChangeEndsNoWatch() throws Exception {
        ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
        List<Entry> reportedEntries = new CopyOnWriteArrayList<>();
        Backoff backoff = new Backoff(Duration.ofMillis(100), Duration.ofMillis(100), new SplittableRandom(1));
        try (ClientReactor reactor = new ClientReactor();
                StandIn agent = new StandIn(null)) {
            agent.script = (request, connection) -> {
                boolean isFullList = agent.requests.size() == 1;
                connection.respond(
                        200,
                        listJson(
                                agent.requests.size(),
                                isFullList,
                                String.format(ENTRY_FORMAT, isFullList ? "active" : "leaving")));
            };
            DiscoveryWatch watch = watchOf(agent, scheduler, reactor, backoff);
            watch.start(change -> {
                if (agent.requests.size() == 1) {
                    throw new NoClassDefFoundError("thrown by the test");
                }
                reportedEntries.addAll(change.entries());
            });
            await("the drain", 6000, () -> !reportedEntries.isEmpty());
            watch.stop();
        } finally {
            scheduler.shutdownNow();
        }
    }
}

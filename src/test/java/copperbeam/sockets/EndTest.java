package copperbeam.sockets;

import static copperbeam.sockets.Site.attempts;
import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import copperbeam.program.Config;
import copperbeam.program.Node;
import copperbeam.transport.ClientRoom;
import copperbeam.transport.HttpFrontServer;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** The last moments of a stop, in which an arriving request must not be lost. */
public class EndTest {
    /**
     * Guards against an exit while the client that was answered last sends another request: the head of its answer did not
     * announce the close.
     */
    @Test
    public void aStopIsOverOnceEachConnectionIsClosed() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Site site = new Site(1, 1);
                Line client = site.client();
                Line idle = site.client()) {
            site.writers.get(0).script = attempts((m, line) -> {
                line.beginStream().chunk("data: 1\n\n");
                go.await();
                line.lastChunk();
            });
            client.send(request("ask", 8000)).head();
            Thread stop = site.beginStop();
            assertTrue(idle.awaitClosed());
            go.countDown();
            assertEquals(client.readChunk(), "data: 1\n\n");
            assertNull(client.readChunk());
            stop.join(Line.PATIENCE_MS);
            assertFalse(stop.isAlive());
            assertTrue(client.isClosed());
        }
    }

    /**
     * Guards against a front that never listens again: while the other front cannot listen yet, both are asked repeatedly, and the
     * one that already listens must say yes each time.
     */
    @Test
    public void aFrontThatListensAgainSaysSoEachTime() throws Exception {
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> () -> {},
                Clock.systemUTC(),
                new ClientRoom(10, 1 << 20),
                (requestClass, status) -> {})) {
            server.listen(new InetSocketAddress("127.0.0.1", 0), true);
            server.stopListening();
            await("listening again", server::listenAgain);
            assertTrue(server.listenAgain());
        }
    }

    /** If no class has a deadline above 1.5 s, the platform may kill 2.2 s after SIGTERM; an open stream would then be lost. */
    @Test
    public void aStreamIsCutBeforeAKillThatShortDeadlinesBringSooner() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (StandIn reader = new StandIn(Site::read);
                StandIn writer = new StandIn(attempts((m, line) -> {
                    line.beginStream().chunk("data: 1\n\n");
                    never.await();
                }));
                StandIn discovery = Conductor.discovery(reader, writer)) {
            Path file = Files.writeString(
                    Files.createTempFile("config", ".json"),
                    "{\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                            + discovery.host() + "\",\"settings\":"
                            + String.format(Site.SETTINGS, 30.0)
                                    .replace("\"semantics\"", "\"give_up_s\":1.5,\"semantics\"")
                            + "}");
            try (Node node = new Node(Config.read(Map.of("GW_CONFIG", file.toString()), null));
                    Line client = new Line(node.address())) {
                client.send(request("ask", 1500)).head();
                assertEquals(client.readChunk(), "data: 1\n\n");
                Instant stopped = Instant.now();
                Thread stop = new Thread(() -> {
                    try {
                        node.stop();
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                });
                stop.start();
                assertEquals(client.readChunk(), "", "cut, so that its client resumes elsewhere");
                assertTrue(Duration.between(stopped, Instant.now()).toMillis() < 2200, "before the kill");
                stop.join(Line.PATIENCE_MS);
            }
        }
    }

    /**
     * A stream that cannot be resumed may last until the kill, but the kill must not cut a request that arrives 0.7 s after SIGTERM
     * or later. Such a request is therefore refused instead of sent to a server.
     */
    @Test
    public void nothingIsSentOnLateInAStopWhereStreamsCantResume() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (Site site = new Site(
                        1,
                        1,
                        30,
                        null,
                        List.of(),
                        Config.Limits.USUAL,
                        Site.parsed(String.format(Site.SETTINGS, 30.0).replace("\"resume\":true", "\"resume\":false")),
                        Duration.ofMillis(250));
                Line client = site.client();
                Line idle = site.client()) {
            site.writers.get(0).script = attempts((m, line) -> {
                line.beginStream().chunk("data: 1\n\n");
                go.await();
                line.lastChunk();
            });
            client.send(request("ask", 8000)).head();
            Thread stop = site.beginStop();
            assertTrue(idle.awaitClosed()); // 0.8 s after the stop began
            client.send(request("ask", 8000)); // read at once, answered after the first
            Thread.sleep(200); // ample time for it to reach the reader
            go.countDown();
            assertEquals(client.readChunk(), "data: 1\n\n");
            assertNull(client.readChunk());
            assertEquals(client.read().status(), 429);
            assertEquals(site.attempts(site.readers), 1);
            stop.join(Line.PATIENCE_MS);
        }
    }

    /**
     * Guards against losing a request that arrives as the exit is decided: while reading is paused it stays unread, so that its
     * client may safely send it again.
     */
    @Test
    public void nothingIsReadUnderASeal() throws Exception {
        try (HttpFrontServer server = new HttpFrontServer(
                        (call, reply) -> {
                            reply.whole(200, "text/plain", Map.of(), new byte[0]);
                            return () -> {};
                        },
                        Clock.systemUTC(),
                        new ClientRoom(10, 1 << 20),
                        (requestClass, status) -> {});
                Line client = new Line(server.listen(new InetSocketAddress("127.0.0.1", 0), false))) {
            await("reading is paused", server::seal);
            client.send(request("ask", 8000));
            Thread.sleep(150); // ample time for an answer
            assertFalse(client.ready());
            server.unseal();
            assertEquals(client.read().status(), 200);
        }
    }
}

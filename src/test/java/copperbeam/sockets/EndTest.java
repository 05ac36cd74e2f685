package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.forAttempts;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import copperbeam.program.Config;
import copperbeam.program.Node;
import copperbeam.transport.ClientConnections;
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
        CountDownLatch unblock = new CountDownLatch(1);
        try (Site site = new Site(1, 1);
                RawConnection client = site.client();
                RawConnection idle = site.client()) {
            site.writers.get(0).script = forAttempts((request, connection) -> {
                connection.beginStream().sendChunk("data: 1\n\n");
                unblock.await();
                connection.endStream();
            });
            client.send(request("ask", 8000)).readHead();
            Thread stopThread = site.beginStop();
            assertTrue(idle.awaitClosed());
            unblock.countDown();
            assertEquals(client.readChunk(), "data: 1\n\n");
            assertEquals(client.readChunk(), Site.LAST_EVENT);
            assertNull(client.readChunk());
            stopThread.join(RawConnection.TIMEOUT_MS);
            assertFalse(stopThread.isAlive());
            assertTrue(client.isClosedByPeer());
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
                new ClientConnections(10, 1 << 20),
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
        try (StandIn reader = new StandIn(Site::answerAsReader);
                StandIn writer = new StandIn(forAttempts((request, connection) -> {
                    connection.beginStream().sendChunk("data: 1\n\n");
                    never.await();
                }));
                StandIn discovery = Conductor.discovery(reader, writer)) {
            Path file = Files.writeString(
                    Files.createTempFile("config", ".json"),
                    "{\"listen\":\"127.0.0.1:0\",\"discovery\":\""
                            + discovery.hostAndPort() + "\",\"settings\":"
                            + String.format(Site.SETTINGS_FORMAT, 30.0)
                                    .replace("\"semantics\"", "\"give_up_s\":1.5,\"semantics\"")
                            + "}");
            try (Node node = new Node(Config.read(Map.of("GW_CONFIG", file.toString()), null));
                    RawConnection client = new RawConnection(node.address())) {
                client.send(request("ask", 1500)).readHead();
                assertEquals(client.readChunk(), "data: 1\n\n");
                Instant stoppedAt = Instant.now();
                Thread stopThread = new Thread(() -> {
                    try {
                        node.stop();
                    } catch (InterruptedException e) {
                        throw new AssertionError(e);
                    }
                });
                stopThread.start();
                assertEquals(client.readChunk(), "", "cut, so that its client resumes elsewhere");
                assertTrue(Duration.between(stoppedAt, Instant.now()).toMillis() < 2200, "before the kill");
                stopThread.join(RawConnection.TIMEOUT_MS);
            }
        }
    }

    /**
     * A stream that cannot be resumed may last until the kill, but the kill must not cut a request that arrives 0.7 s after SIGTERM
     * or later. Such a request is therefore refused instead of sent to a server.
     */
    @Test
    public void nothingIsSentOnLateInAStopWhereStreamsCantResume() throws Exception {
        CountDownLatch unblock = new CountDownLatch(1);
        try (Site site = new Site(
                        1,
                        1,
                        30,
                        null,
                        List.of(),
                        Config.Limits.DEFAULT,
                        Site.parseSettings(String.format(Site.SETTINGS_FORMAT, 30.0)
                                .replace("\"resume\":true", "\"resume\":false")),
                        Duration.ofMillis(250));
                RawConnection client = site.client();
                RawConnection idle = site.client()) {
            site.writers.get(0).script = forAttempts((request, connection) -> {
                connection.beginStream().sendChunk("data: 1\n\n");
                unblock.await();
                connection.endStream();
            });
            client.send(request("ask", 8000)).readHead();
            Thread stopThread = site.beginStop();
            assertTrue(idle.awaitClosed()); // 0.8 s after the stop began
            client.send(request("ask", 8000)); // read at once, answered after the first
            Thread.sleep(200); // ample time for it to reach the reader
            unblock.countDown();
            assertEquals(client.readChunk(), "data: 1\n\n");
            assertEquals(client.readChunk(), Site.LAST_EVENT);
            assertNull(client.readChunk());
            assertEquals(client.read().status(), 429);
            assertEquals(site.countAttempts(site.readers), 1);
            stopThread.join(RawConnection.TIMEOUT_MS);
        }
    }

    /**
     * Guards against losing a request that arrives as the exit is decided: while reading is paused it stays unread, so that its
     * client may safely send it again.
     */
    @Test
    public void nothingIsReadWhileReadingIsPaused() throws Exception {
        try (HttpFrontServer server = new HttpFrontServer(
                        (call, reply) -> {
                            reply.respond(200, "text/plain", Map.of(), new byte[0]);
                            return () -> {};
                        },
                        Clock.systemUTC(),
                        new ClientConnections(10, 1 << 20),
                        (requestClass, status) -> {});
                RawConnection client = new RawConnection(server.listen(new InetSocketAddress("127.0.0.1", 0), false))) {
            await("reading is paused", server::pauseReading);
            client.send(request("ask", 8000));
            Thread.sleep(150); // ample time for an answer
            assertFalse(client.hasInput());
            server.resumeReading();
            assertEquals(client.read().status(), 200);
        }
    }
}

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

/** The very end of a stop, at which a request that comes must not be lost. */
public class EndTest {
    /** Guards against an end under a client that was answered last and asks again: its answer's head promised more. */
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

    /** Guards against a front that stays away for good: asked again as the other front could not listen yet, it said no. */
    @Test
    public void aFrontThatListensAgainSaysSoEachTime() throws Exception {
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> () -> {},
                Clock.systemUTC(),
                new ClientRoom(10, 1 << 20),
                (requestClass, status) -> {})) {
            server.listen(new InetSocketAddress("127.0.0.1", 0), true);
            server.stopListening();
            await("again", server::listenAgain);
            assertTrue(server.listenAgain());
        }
    }

    /** Where no class has a deadline above 1.5 s, the platform may kill 2.2 s after SIGTERM, and a stream would be lost. */
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
                assertEquals(client.readChunk(), "", "cut, so that its client goes on elsewhere");
                assertTrue(Duration.between(stopped, Instant.now()).toMillis() < 2200, "before the kill");
                stop.join(Line.PATIENCE_MS);
            }
        }
    }

    /** A stream that can't be cut may outlast the stop; the kill counts what came 0.7 s after SIGTERM or later. */
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
            client.send(request("ask", 8000)); // read at once, and answered behind the first
            Thread.sleep(200); // it would be at the reader by now
            go.countDown();
            assertEquals(client.readChunk(), "data: 1\n\n");
            assertNull(client.readChunk());
            assertEquals(client.read().status(), 429);
            assertEquals(site.attempts(site.readers), 1);
            stop.join(Line.PATIENCE_MS);
        }
    }

    /** Guards against a request on a connection that comes as the end is decided: unread, it is sent once more. */
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
            await("sealed", server::seal);
            client.send(request("ask", 8000));
            Thread.sleep(150); // the answer would be here by now
            assertFalse(client.ready());
            server.unseal();
            assertEquals(client.read().status(), 200);
        }
    }
}

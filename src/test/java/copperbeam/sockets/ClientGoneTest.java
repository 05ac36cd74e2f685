package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.forAttempts;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.program.Config;
import copperbeam.routing.RequestHook;
import copperbeam.routing.RequestSpec;
import copperbeam.transport.ClientConnections;
import copperbeam.transport.HttpFrontServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A request that is waiting when its client leaves is never sent to a server, according to the servers' own records. What
 * it waits for becomes available only after the conductor has noticed that the client left, so that even one attempt is an
 * error.
 *
 * <p>That the conductor has noticed is established by the order of events and not by a delay, so that a busy machine gives the
 * same verdict: requests that reached the reactor and the module after the close have been answered. A turn of either takes
 * less than a tenth of a second.
 */
public class ClientGoneTest {
    private static final long MAX_NOTICE_NS =
            1_000_000_000L; // limit for noticing the close; shorter than every timeout
    // turns of the reactor: HttpCore reads a close in one turn and acts on it in the next, in which another
    // connection's bytes may be handled first
    private static final int REACTOR_TURNS = 2;
    private static final int PIPELINED_COUNT = 300;
    private static final String PIPELINED_REQUEST =
            Site.request("more", "ask", "5000m", "prompt_len=9", "{\"a\":\"gone\"}");
    private static final String HEALTH_REQUEST = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final int READ_BYTES_PER_TURN = 4096; // what a turn of the reactor reads from one connection
    private static final String LARGE_FIELD = "\",\"b\":\"" + "x".repeat(240 * 1024);

    /** What the request waits for when its client leaves. */
    private enum WaitPoint {
        FOR_A_SERVER,
        FOR_A_CONNECTION,
        FOR_ITS_READ,
        FOR_A_PLUGIN,
        FOR_ITS_BODY_TO_LEAVE
    }

    private interface Departure {
        void leave(RawConnection client) throws Exception;
    }

    private static final Departure CLOSE = RawConnection::close;

    private static final Object[][] DEPARTURES = {
        {"closes", CLOSE},
        {"resets", (Departure) RawConnection::reset},
        {"ends its sending", (Departure) RawConnection::halfClose},
        {
            "half a head, then closes",
            (Departure) client -> client.send("POST /v1/ch").close()
        },
        {
            "half a body, then closes",
            (Departure) client -> client.send(
                            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + "Content-Length: 9\r\n\r\n{")
                    .close()
        },
        {
            "no head, then closes",
            (Departure) client -> client.send("nonsense\r\n\r\n").close()
        },
        {
            "too much, then closes",
            (Departure) client -> client.send(
                            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + "Content-Length: 900000\r\n\r\n{")
                    .close()
        },
        {
            "hundreds more, then closes",
            (Departure) client -> {
                StringBuilder requests = new StringBuilder();
                for (int i = 0; i < PIPELINED_COUNT; i++) {
                    requests.append(PIPELINED_REQUEST.replace("more", "more" + i));
                }
                client.send(requests.toString()).close();
            }
        },
    };

    /** A plug-in that blocks each request until the test opens it. */
    private static final class Gate implements RequestHook {
        final AtomicBoolean entered = new AtomicBoolean();
        final CountDownLatch opened = new CountDownLatch(1);

        @Override
        public String name() {
            return "gate";
        }

        @Override
        public Verdict onRequest(RequestSpec spec) throws InterruptedException {
            entered.set(true);
            opened.await();
            return Verdict.PASS;
        }
    }

    @DataProvider
    public Object[][] paths() {
        List<Object[]> rows = new ArrayList<>();
        for (boolean chat : new boolean[] {false, true}) {
            for (WaitPoint waitPoint : WaitPoint.values()) {
                for (boolean cancel : new boolean[] {true, false}) {
                    // bytes in the kernel's send buffer can be discarded only where the settings allow cancels
                    if (cancel || waitPoint != WaitPoint.FOR_ITS_BODY_TO_LEAVE) {
                        // the module doesn't know requests that are at a plug-in; instead the client stays open for
                        // reading and sees that the conductor closes the connection
                        rows.add(new Object[] {
                            chat,
                            waitPoint,
                            cancel,
                            "closes",
                            waitPoint == WaitPoint.FOR_A_PLUGIN ? (Departure) RawConnection::halfClose : CLOSE
                        });
                    }
                }
            }
            for (Object[] departure : DEPARTURES) {
                rows.add(new Object[] {chat, WaitPoint.FOR_A_SERVER, true, departure[0], departure[1]});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    @Test(dataProvider = "paths")
    public void noAttemptStartsAfterTheClientLeft(
            boolean chat, WaitPoint waitPoint, boolean cancel, String departureName, Departure departure)
            throws Exception {
        Gate gate = new Gate();
        boolean listedAtStart = waitPoint != WaitPoint.FOR_A_SERVER;
        String settings = String.format(Site.SETTINGS_FORMAT, "30").replace("\"cancel\":true", "\"cancel\":" + cancel);
        try (Site site = new Site(
                0,
                0,
                30,
                null,
                waitPoint == WaitPoint.FOR_A_PLUGIN ? List.of(gate) : List.of(),
                Config.Limits.DEFAULT,
                Site.parseSettings(settings),
                Duration.ofSeconds(4))) {
            CountDownLatch unblockServers = new CountDownLatch(1);
            CountDownLatch requestReceived = new CountDownLatch(1);
            CountDownLatch headsReceived =
                    new CountDownLatch(2); // received heads: the read's, and after its cancellation the release's
            StandIn.Script blockedRead = forAttempts((request, connection) -> {
                requestReceived.countDown();
                unblockServers.await();
                Site.answerAsReader(request, connection);
            });
            boolean connectsLate = waitPoint == WaitPoint.FOR_A_CONNECTION;
            StandIn reader = new StandIn(
                    waitPoint == WaitPoint.FOR_ITS_READ ? blockedRead : Site::answerAsReader, connectsLate ? 1 : 50);
            StandIn writer = new StandIn(Site::answerAsWriter);
            site.readers.add(reader);
            site.writers.add(writer);
            List<RawConnection> queueFillers = new ArrayList<>();
            for (int i = 0; connectsLate && i < 2; i++) {
                queueFillers.add(new RawConnection(reader.address())); // they fill the listener's accept queue
            }
            if (waitPoint == WaitPoint.FOR_ITS_BODY_TO_LEAVE) {
                reader.onConnect = connection -> {
                    RawConnection.Message head = connection.readHead();
                    requestReceived.countDown();
                    headsReceived.countDown();
                    unblockServers.await();
                    reader.requests.add(connection.readBody(head));
                    throw new IOException("it reads again only on a new connection");
                };
            }
            if (!connectsLate) {
                reader.startAccepting();
            }
            String entries = Site.entry(reader, "prefill", "active") + "," + Site.entry(writer, "decode", "active");
            if (listedAtStart) {
                site.listChanges.add(entries);
                await(
                        "listed",
                        () -> site.discovery.count(request -> request.path().contains("from=2&")) > 0);
            }
            RawConnection client = chat ? site.chatClient() : site.client();
            String marker = "gone" + (waitPoint == WaitPoint.FOR_ITS_BODY_TO_LEAVE ? LARGE_FIELD : "");
            client.send(
                    chat
                            ? Site.chatRequest("m-ask", true, ",\"a\":\"" + marker + "\"")
                            : Site.request("id", "ask", "5000m", "prompt_len=40", "{\"a\":\"" + marker + "\"}"));
            if (waitPoint == WaitPoint.FOR_ITS_READ || waitPoint == WaitPoint.FOR_ITS_BODY_TO_LEAVE) {
                requestReceived.await();
            } else if (waitPoint == WaitPoint.FOR_A_PLUGIN) {
                await("the request is at the plug-in", gate.entered::get);
            } else {
                await("the request is open", () -> openRequestCount(site) > 0);
            }
            long leftAtNs = System.nanoTime();
            departure.leave(client);
            int turns = REACTOR_TURNS
                    + (departureName.startsWith("hundreds")
                            ? PIPELINED_COUNT * (PIPELINED_REQUEST.length() + 3) / READ_BYTES_PER_TURN
                            : 0)
                    + (departureName.startsWith("half a head")
                            ? 1
                            : 0); // HttpCore handles a close after half a head one turn later
            for (int i = 0; i < turns; i++) {
                // through the client's own front: each front has a reactor, and turns of another one prove nothing
                assertEquals(sendForStatus(chat ? site.chatClient() : site.client(), HEALTH_REQUEST), 200);
            }
            if (waitPoint == WaitPoint.FOR_A_PLUGIN) {
                assertTrue(client.isClosedByPeer(), departureName + ": close not noticed");
            } else {
                // expired on arrival; it reaches the module after the notice of the close, whichever front that came
                // from
                assertTrue(sendForStatus(site.client(), Site.request("over", "ask", "1u", "", "{}")) != 200);
            }
            assertEquals(openRequestCount(site), 0, waitPoint + ", " + departureName + ": close not noticed");
            long remainingNs = MAX_NOTICE_NS - (System.nanoTime() - leftAtNs);
            // the module learns of the close before the reader's connection is reset, which other threads do
            assertTrue(
                    remainingNs > 0
                            && (waitPoint != WaitPoint.FOR_ITS_BODY_TO_LEAVE
                                    || headsReceived.await(remainingNs, TimeUnit.NANOSECONDS)),
                    waitPoint + ", " + departureName + ": close noticed late");
            long startedBefore = startedCount(reader, "gone") + startedCount(writer, "gone");
            unblockServers.countDown();
            gate.opened.countDown();
            if (connectsLate) {
                reader.startAccepting();
            }
            if (!listedAtStart) {
                site.listChanges.add(entries);
            }
            reader.onConnect = connection -> {};
            // the same id is accepted again only after its first request was removed and everything before was handled
            await("the id is free", () -> statusOfRepeatedId(site) == 200);
            await("nothing is open", () -> openRequestCount(site) == 0);
            assertEquals(
                    startedCount(reader, "gone") + startedCount(writer, "gone"),
                    startedBefore,
                    waitPoint + ", " + departureName);
            if (startedBefore > 0) {
                await("the read state is released", () -> releaseCount(reader) + releaseCount(writer) > 0);
            }
        }
    }

    /**
     * A request and the close of its connection have both arrived before the reactor reads them: the request is not passed
     * on to the handler.
     */
    @Test
    public void aRequestThatArrivesWithItsCloseIsNotHandled() throws Exception {
        CountDownLatch reactorBlocked = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        List<String> handledPaths = new CopyOnWriteArrayList<>();
        ClientConnections clientConnections = new ClientConnections(100, 1 << 20);
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> {
                    handledPaths.add(call.path());
                    if (call.path().equals("/first")) {
                        reactorBlocked.countDown();
                        try {
                            unblock.await(); // blocks the reactor's thread
                        } catch (InterruptedException e) {
                            throw new AssertionError(e);
                        }
                    }
                    return () -> {};
                },
                Clock.systemUTC(),
                clientConnections,
                (c, status) -> {})) {
            InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            try (RawConnection first = new RawConnection(address);
                    RawConnection halfClosed = new RawConnection(address);
                    RawConnection last = new RawConnection(address)) {
                RawConnection pipelined = new RawConnection(address);
                RawConnection large = new RawConnection(address);
                await("connected", () -> clientConnections.size() == 5);
                first.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
                reactorBlocked.await();
                halfClosed.send("GET /half HTTP/1.1\r\nHost: x\r\n\r\n").halfClose();
                pipelined
                        .send("GET /many HTTP/1.1\r\nHost: x\r\n\r\n".repeat(200))
                        .close();
                large.send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n" + Site.postRequest("x".repeat(9000)))
                        .close();
                last.send("GET /last HTTP/1.1\r\nHost: x\r\n\r\n");
                unblock.countDown();
                await("the last request is handled", () -> handledPaths.contains("/last"));
                await("the other connections are closed", () -> clientConnections.size() == 2);
                assertEquals(handledPaths, List.of("/first", "/last"));
            }
        }
    }

    private static int statusOfRepeatedId(Site site) {
        try {
            return sendForStatus(site.client(), Site.request("id", "ask", "5000m", "prompt_len=40", "{}"));
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private static int sendForStatus(RawConnection connection, String request) throws IOException {
        try (connection) {
            return connection.send(request).read().status();
        }
    }

    private static long openRequestCount(Site site) {
        return OperatorsTest.metrics(site.node.adminAddress()).get("current");
    }

    /** Counts releases, except that of the request that was expired on arrival. */
    private static long releaseCount(StandIn server) {
        return server.count(
                request -> request.method().equals("DELETE") && !request.path().endsWith("/over"));
    }

    private static long startedCount(StandIn server, String marker) {
        return server.count(request -> request.method().equals("POST")
                && request.complete()
                && request.text().contains(marker));
    }
}

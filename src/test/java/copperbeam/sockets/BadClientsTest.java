package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.chatRequest;
import static copperbeam.sockets.Site.forAttempts;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import copperbeam.program.Config;
import copperbeam.protocol.HttpReply;
import copperbeam.transport.ClientConnections;
import copperbeam.transport.HttpFrontServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Clients that send malformed requests, too much, too little or too many. */
public class BadClientsTest {
    private static final String POST_START = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-ID: a\r\n"
            + "X-Priority-Class: ask\r\nX-Timeout: 4000m\r\nX-Attrs: prompt_len=4\r\n";
    private static final String SMUGGLED_REQUEST = "0\r\n\r\n" + request("hidden", "ask", "4000m", "", "{}");

    @DataProvider
    public Object[][] unreadable() {
        Object[][] cases = {
            {POST_START + "Content-Length: -1\r\n\r\n{}", 400},
            {POST_START + "Content-Length: +2\r\n\r\n{}", 400},
            {POST_START + "Content-Length: two\r\n\r\n{}", 400},
            {POST_START + "Content-Length: 99999999999999999999\r\n\r\n{}", 400},
            {POST_START + "Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}", 400},
            {POST_START + "Content-Length : 2\r\n\r\n{}", 400},
            {
                POST_START + "Content-Length: " + SMUGGLED_REQUEST.length() + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + SMUGGLED_REQUEST,
                400
            },
            {POST_START + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 400},
            {POST_START + "Transfer-Encoding: gzip\r\n\r\n{}", 400},
            {POST_START + "Transfer-Encoding: chunked\r\n\r\n-2\r\n{}\r\n0\r\n\r\n", 400},
            {POST_START + "Transfer-Encoding: chunked\r\n\r\nC0000000\r\n{}", 400},
            {POST_START + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nno trailer\r\n\r\n", 400},
            {POST_START + "Content-Length: 62914560\r\n\r\n{", 413},
            {POST_START + "X: y\r\n".repeat(2000), 431},
            {POST_START + "X: " + "y".repeat(20_000), 431},
            {"\u0001\u0002\u0003\r\n\r\n", 400},
            {POST_START.replace("ID: a", "ID: a\u0000b") + "Content-Length: 2\r\n\r\n{}", 400},
            {POST_START + "X-Route-Key: a\rX: b\r\nContent-Length: 2\r\n\r\n{}", 400},
            {POST_START + "X-Route-Key: a\u0000b\r\nContent-Length: 2\r\n\r\n{}", 400},
            {POST_START.replace("completions", "completions?\u0001") + "Content-Length: 2\r\n\r\n{}", 400},
            {POST_START.replace("completions", "completions?\u00e9") + "Content-Length: 2\r\n\r\n{}", 400},
            {POST_START, -1},
            {POST_START + "Content-Length: 20\r\n\r\n{", -1},
            {"", -1},
        };
        List<Object[]> rows = new ArrayList<>();
        for (Object[] row : cases) {
            rows.add(new Object[] {row[0], row[1], false});
            rows.add(new Object[] {row[0], row[1], true});
        }
        return rows.toArray(Object[][]::new);
    }

    /** {@code status} -1: the connection is closed within 3 s, as the rest of the request never comes. No server gets a request. */
    @Test(dataProvider = "unreadable")
    public void aMalformedRequestIsAnErrorAndAClose(String text, int status, boolean chat) throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection client = chat ? site.chatClient() : site.client()) {
            long startNs = System.nanoTime();
            client.send(text);
            if (status > 0) {
                assertEquals(client.read().status(), status);
            }
            assertTrue(client.awaitClosed());
            assertTrue(System.nanoTime() - startNs < (status < 0 ? 3_000_000_000L : 1_500_000_000L));
            assertEquals(site.countAttempts(site.readers), 0);
            assertEquals(site.get("/healthz").status(), 200);
        }
    }

    @DataProvider
    public Object[][] untrue() {
        return new Object[][] {
            {"ID: a", "ID: a\r\nX-Request-ID: b"},
            {"4000m", "4000m\r\nX-Timeout: 1m"},
            {"ID: a", "ID: a?b"},
            {"ID: a", "ID: .."},
            {"ID: a", "ID: %61"},
            {"ID: a", "ID: a#b"},
            {"ID: a", "ID: a\\b"},
            {"ID: a", "ID: ../a"},
            {"X-Request-ID: a\r\n", ""},
            {"4000m", "-1m"},
            {"4000m", "99999999999999999999m"},
            {"=4", "=NaN"},
            {"=4", "=-4"},
        };
    }

    /** Platform headers that are missing, repeated or invalid, such as a request id that alters a release's path. */
    @Test(dataProvider = "untrue")
    public void invalidHeadersAreRejected(String good, String bad) throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection client = site.client()) {
            assertEquals(
                    client.send(POST_START.replace(good, bad) + "Content-Length: 2\r\n\r\n{}")
                            .read()
                            .status(),
                    400);
            assertEquals(site.countAttempts(site.readers), 0);
        }
    }

    /** Guards against a head that arrives byte by byte: no single byte is late, yet the head must be complete in time. */
    @Test
    public void aTrickledHeadIsCutOff() throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection client = site.client()) {
            long startNs = System.nanoTime();
            boolean[] cut = {false};
            await("cut off", () -> {
                try {
                    client.send("X");
                } catch (IOException e) {
                    cut[0] = true;
                }
                return cut[0];
            });
            assertTrue(System.nanoTime() - startNs < 4_000_000_000L);
        }
    }

    /** Servers identify a request by its id alone: a second one with the same id would release the first one's read state. */
    @Test
    public void aDuplicateRequestIdIsRejectedAndLeavesTheOpenRequestAlone() throws Exception {
        CountDownLatch unblock = new CountDownLatch(1);
        try (Site site = new Site(1, 1);
                RawConnection first = site.client();
                RawConnection second = site.client()) {
            site.writers.get(0).script = forAttempts((message, connection) -> {
                unblock.await();
                Site.answerAsWriter(message, connection);
            });
            String text = request("same", "send", "5000m", "", "{}");
            first.send(text);
            await("written", () -> site.countAttempts(site.writers) == 1);
            assertEquals(second.send(text).read().status(), 409);
            unblock.countDown();
            assertEquals(first.read().text(), Site.EVENTS);
            assertEquals(site.releases(), 0);
            assertEquals(second.send(text).read().status(), 200); // the id is free again
        }
    }

    /**
     * Of a hundred pipelined requests eight are handled, one after another, the next gets a 503, and the connection is closed. So one
     * connection has one request at the servers, however many its client sends.
     */
    @Test
    public void aFloodOnOneConnectionIsBounded() throws Exception {
        CountDownLatch unblock = new CountDownLatch(1);
        try (Site site = new Site(1, 1);
                RawConnection flood = site.client();
                RawConnection good = site.client()) {
            site.readers.get(0).script = forAttempts((message, connection) -> {
                if (!message.header("X-Request-ID").equals("good")) {
                    unblock.await();
                }
                Site.answerAsReader(message, connection);
            });
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; i < 100; i++) {
                pipelined.append(request("f" + i, "ask", "5000m", "", "{}"));
            }
            flood.send(pipelined.toString());
            await("the first request is read", () -> site.countAttempts(site.readers) == 1);
            assertEquals(
                    good.send(request("good", "ask", "5000m", "", "{}")).read().status(), 200);
            assertEquals(site.countAttempts(site.readers), 2);
            unblock.countDown();
            for (int i = 0; i < 8; i++) {
                assertEquals(flood.read().status(), 200);
            }
            assertEquals(flood.read().status(), 503);
            assertNull(flood.readHead());
            assertEquals(site.countAttempts(site.readers), 9);
        }
    }

    /** Guards against requests that count as open for good, as their connection was closed as soon as it was read. */
    @Test
    public void aConnectionThatIsClosedAtOnceHoldsNoRequest() throws Exception {
        ClientConnections clientConnections = new ClientConnections(10, 1000);
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> () -> {}, Clock.systemUTC(), clientConnections, (c, status) -> {})) {
            InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            String tooMuch = "GET / HTTP/1.1\r\nHost: x\r\n\r\n".repeat(30_000);
            for (int i = 0; i < 30; i++) {
                try (RawConnection client = new RawConnection(address)) {
                    client.send(tooMuch).awaitClosed();
                } catch (IOException e) {
                    // closed while it was sending
                }
            }
            await("closed", () -> clientConnections.size() == 0);
            assertEquals(clientConnections.busyConnections(), 0);
        }
    }

    /**
     * Half a request has arrived when the connection's last answer goes out, and the rest arrives at the same moment. It must not
     * be handled, as it would get no answer.
     */
    @Test
    public void aRequestBehindTheLastAnswerIsNotHandled() throws Exception {
        List<String> handledPaths = new CopyOnWriteArrayList<>();
        AtomicReference<HttpReply> firstReply = new AtomicReference<>();
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> {
                    handledPaths.add(call.path());
                    if (call.path().equals("/first")) {
                        firstReply.set(reply);
                        return () -> {};
                    }
                    if (call.path().equals("/holds")) {
                        busy.countDown();
                        try {
                            unblock.await(); // the reactor does nothing else meanwhile
                        } catch (InterruptedException e) {
                            throw new AssertionError(e);
                        }
                    }
                    reply.respond(200, "text/plain", Map.of(), new byte[0]);
                    return () -> {};
                },
                Clock.systemUTC(),
                new ClientConnections(10, 1000),
                (c, status) -> {})) {
            InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            server.setDraining(true);
            try (RawConnection client = new RawConnection(address);
                    RawConnection blocking = new RawConnection(address);
                    RawConnection lastClient = new RawConnection(address)) {
                client.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHo");
                await("the first request is handled", () -> firstReply.get() != null);
                blocking.send("GET /holds HTTP/1.1\r\nHost: x\r\n\r\n");
                busy.await();
                firstReply.get().respond(200, "text/plain", Map.of(), new byte[0]);
                client.send("st: x\r\n\r\n");
                unblock.countDown();
                assertEquals(client.read().header("Connection"), "close");
                assertTrue(client.awaitClosed());
                assertEquals(
                        lastClient
                                .send("GET /last HTTP/1.1\r\nHost: x\r\n\r\n")
                                .read()
                                .status(),
                        200);
                assertEquals(handledPaths, List.of("/first", "/holds", "/last"));
            }
        }
    }

    /** Stands still until the test advances it. */
    private static final class ManualClock extends Clock {
        volatile Instant now = Instant.now();

        @Override
        public Instant instant() {
            return now;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }
    }

    private static final int PASSES_TO_READ_ALL = 40; // of the reactor, each of which reads 16 KiB of 256

    private enum CloseCause {
        TIMEOUT,
        BYTE_LIMIT,
        DRAIN,
        CROWDING
    }

    @DataProvider
    public Object[][] turnedAway() {
        return new Object[][] {
            {POST_START + "Content-Length: 62914560\r\n\r\n{", 413, CloseCause.TIMEOUT},
            {POST_START + "Content-Length: 62914560\r\n\r\n{", 413, CloseCause.BYTE_LIMIT},
            {POST_START + "Content-Length: 62914560\r\n\r\n{", 413, CloseCause.DRAIN},
            {POST_START + "Content-Length: 62914560\r\n\r\n{", 413, CloseCause.CROWDING},
            {POST_START + "Content-Length: 90000\r\n\r\n" + "x".repeat(5000), 503, CloseCause.TIMEOUT},
            {POST_START + "X: y\r\n".repeat(2000), 431, CloseCause.TIMEOUT},
            {"nonsense\r\n\r\n", 400, CloseCause.TIMEOUT},
            {"POST / HTTP/1.1\r\nContent-Length: 90000\r\n\r\nx", 400, CloseCause.TIMEOUT}, // no Host
            {"POST / HTTP/1.1\r\nHost: a:b\r\nContent-Length: 90000\r\n\r\nx", 400, CloseCause.TIMEOUT},
            {"POST / HTTP/2.0\r\nHost: x\r\nContent-Length: 90000\r\n\r\nx", 505, CloseCause.TIMEOUT},
            {"GET / HTTP/1.1\r\nHost: x\r\n\r\n".repeat(9), 503, CloseCause.TIMEOUT},
            {"GET / HTTP/1.1\r\nHost: x\r\n\r\n".repeat(8) + "nonsense\r\n\r\n", 400, CloseCause.TIMEOUT},
            {POST_START + "Transfer-Encoding: chunked\r\n\r\n-2\r\n{}", 400, CloseCause.TIMEOUT},
            {
                "GET / HTTP/1.1\r\nHost: x\r\n\r\n" + POST_START + "Transfer-Encoding: chunked\r\n\r\nno size\r\n",
                400,
                CloseCause.TIMEOUT
            },
        };
    }

    /**
     * After a rejection the server reads and discards further input for a while: closing at once would reset the connection, and
     * the client might lose the answer.
     */
    @Test(dataProvider = "turnedAway")
    public void aRejectedClientMayGoOnWriting(String text, int status, CloseCause cause) throws Exception {
        ManualClock clock = new ManualClock();
        ClientConnections clientConnections = new ClientConnections(10, 1000);
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> {
                    reply.respond(200, "text/plain", Map.of(), new byte[0]);
                    return () -> {};
                },
                clock,
                clientConnections,
                (c, s) -> {})) {
            InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            try (RawConnection client = new RawConnection(address);
                    RawConnection other = new RawConnection(address)) {
                client.send(text);
                RawConnection.Message answer = client.read();
                while (answer.status() == 200) {
                    answer = client.read();
                }
                assertEquals(answer.status(), status);
                assertNull(client.readHead()); // the server has closed its sending direction at once
                clock.now = clock.now.plusMillis(300);
                for (int i = 0; i < 4; i++) {
                    client.send("x".repeat(64 * 1024));
                    assertEquals(
                            other.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                                    .read()
                                    .status(),
                            200); // the reactor has completed a pass
                    assertNull(client.readHead());
                }
                for (int i = 0;
                        i < PASSES_TO_READ_ALL;
                        i++) { // the time to close counts from the last input that was read
                    other.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n").read();
                }
                assertEquals(clientConnections.size(), 2);
                await("a stop does not wait for the rejected connection", () -> !server.isBusy());
                if (cause == CloseCause.TIMEOUT) {
                    clock.now = clock.now.plusSeconds(1);
                } else if (cause == CloseCause.DRAIN) {
                    server.setDraining(true);
                } else if (cause == CloseCause.CROWDING) {
                    clientConnections.setMaxBusy(0);
                } else if (cause == CloseCause.BYTE_LIMIT) {
                    assertThrows(IOException.class, () -> client.send("x".repeat(64 << 20)));
                }
                await("closed", () -> clientConnections.size() == 1);
                await("its descriptor is closed by the reactor's next select", () -> isReset(client));
            }
        }
    }

    private static boolean isReset(RawConnection client) {
        try {
            client.send("x");
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** A half request that times out behind an open request must not cost the open one its answer. */
    @Test(dataProvider = "halves")
    public void aHalfRequestBehindAnOpenOneLeavesTheAnswerIntact(String behind) throws Exception {
        ManualClock clock = new ManualClock();
        ClientConnections clientConnections = new ClientConnections(10, 1000);
        AtomicReference<HttpReply> openReply = new AtomicReference<>();
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> {
                    if (call.path().equals("/first")) {
                        openReply.set(reply);
                    } else {
                        reply.respond(200, "text/plain", Map.of(), new byte[0]);
                    }
                    return () -> {};
                },
                clock,
                clientConnections,
                (c, status) -> {})) {
            InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            try (RawConnection client = new RawConnection(address);
                    RawConnection other = new RawConnection(address)) {
                client.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n" + behind);
                await("the first request is handled", () -> openReply.get() != null);
                awaitReactorPass(
                        other); // the reactor starts the timeout of the half request after it has called the handler
                clock.now = clock.now.plusSeconds(3);
                client.send("x"); // makes the reactor check its timeouts
                for (int i = 0; i < 3; i++) {
                    awaitReactorPass(other);
                }
                openReply.get().respond(200, "text/plain", Map.of(), new byte[0]);
                assertEquals(client.read().status(), 200);
                assertTrue(client.awaitClosed());
            }
        }
    }

    /** Awaits a pass of the single reactor thread: what it had begun before is done once it has answered this request. */
    private static void awaitReactorPass(RawConnection other) throws Exception {
        assertEquals(other.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n").read().status(), 200);
    }

    @DataProvider
    public Object[][] halves() {
        return new Object[][] {
            {"GET /second HTTP/1.1\r\nHo"}, {Site.postRequest("x".repeat(99)).replace("x".repeat(50), "")}
        };
    }

    @DataProvider
    public Object[][] unreadableBehind() {
        String get = "GET /second HTTP/1.1\r\n";
        return new Object[][] {
            {"nonsense\r\n\r\n", 400},
            {get + "\r\n", 400},
            {get.replace("1.1", "2.0") + "Host: x\r\n\r\n", 505},
            {POST_START + "Content-Length: 62914560\r\n\r\n{", 413},
            {POST_START + "Transfer-Encoding: chunked\r\n\r\n-2\r\n{}", 400},
            {POST_START + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nno trailer\r\n\r\n", 400},
        };
    }

    /** Answers come in order: first the open request's, then the error for the malformed request behind it. */
    @Test(dataProvider = "unreadableBehind")
    public void aMalformedRequestBehindAnOpenOneLeavesTheAnswerIntact(String behind, int status) throws Exception {
        CountDownLatch unblock = new CountDownLatch(1);
        try (Site site = new Site(1, 1);
                RawConnection client = site.client()) {
            site.writers.get(0).script = forAttempts((message, connection) -> {
                unblock.await();
                Site.answerAsWriter(message, connection);
            });
            client.send(request("send", 5000));
            await("written", () -> site.countAttempts(site.writers) == 1);
            client.send(behind);
            assertEquals(site.get("/healthz").status(), 200); // the reactor has completed a pass
            assertEquals(site.get("/healthz").status(), 200);
            unblock.countDown();
            assertEquals(client.read().text(), Site.EVENTS);
            assertEquals(client.read().status(), status);
            assertTrue(client.awaitClosed());
            assertEquals(site.countAttempts(site.readers), 1);
        }
    }

    /** Some clients end a body with an empty line that the Content-Length does not count. */
    @Test
    public void anEmptyLineBehindABodyIsNoRequest() throws Exception {
        ManualClock clock = new ManualClock();
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> {
                    reply.respond(200, "text/plain", Map.of(), new byte[0]);
                    return () -> {};
                },
                clock,
                new ClientConnections(10, 1000),
                (c, status) -> {})) {
            InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            try (RawConnection client = new RawConnection(address)) {
                for (int i = 0; i < 3; i++) {
                    assertEquals(
                            client.send(Site.postRequest("{}") + "\r\n").read().status(), 200);
                    clock.now = clock.now.plusSeconds(3);
                }
            }
        }
    }

    /** The request arrives while the reactor is busy with another, after which it checks timeouts before it reads input. */
    @Test
    public void aRequestThatArrivesAtItsTimeoutIsServed() throws Exception {
        ManualClock clock = new ManualClock();
        ClientConnections clientConnections = new ClientConnections(10, 1000);
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> {
                    if (call.path().equals("/holds")) {
                        busy.countDown();
                        try {
                            unblock.await(); // the reactor does nothing else meanwhile
                        } catch (InterruptedException e) {
                            throw new AssertionError(e);
                        }
                    }
                    reply.respond(200, "text/plain", Map.of(), new byte[0]);
                    return () -> {};
                },
                clock,
                clientConnections,
                (c, status) -> {})) {
            InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            try (RawConnection blocking = new RawConnection(address);
                    RawConnection silent = new RawConnection(address)) {
                await("both connections are accepted", () -> clientConnections.size() == 2);
                blocking.send("GET /holds HTTP/1.1\r\nHost: x\r\n\r\n");
                busy.await();
                silent.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
                clock.now = clock.now.plusSeconds(3);
                Thread.sleep(500); // the interval between two timeout checks of the reactor
                unblock.countDown();
                assertEquals(silent.read().status(), 200);
            }
        }
    }

    /** A fault in the handler is answered with 500, and other connections are not affected. */
    @Test
    public void aHandlerThatThrowsIsAnsweredWith500() throws Exception {
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> {
                    throw new IllegalStateException("a fault");
                },
                Clock.systemUTC(),
                new ClientConnections(10, 1000),
                (c, status) -> {})) {
            InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            try (RawConnection client = new RawConnection(address)) {
                assertEquals(
                        client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n").read().status(), 500);
                assertTrue(client.awaitClosed());
            }
        }
    }

    /** Guards the memory against many large requests that wait at the same time. */
    @Test
    public void waitingBodiesAreBounded() throws Exception {
        ClientConnections clientConnections = new ClientConnections(10, 1000);
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> {
                    if (call.body().length < 900) {
                        reply.respond(200, "text/plain", Map.of(), new byte[0]);
                    }
                    return () -> {};
                },
                Clock.systemUTC(),
                clientConnections,
                (c, status) -> {})) {
            InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            try (RawConnection second = new RawConnection(address)) {
                try (RawConnection first = new RawConnection(address)) {
                    first.send(Site.postRequest("x".repeat(900)));
                    await("the first body is counted", () -> clientConnections.bodyBytes() == 900);
                    RawConnection.Message refused =
                            second.send(Site.postRequest("x".repeat(200))).read();
                    assertEquals(refused.status(), 503);
                    assertEquals(refused.header("Retry-After"), "1");
                    assertTrue(second.awaitClosed());
                }
                await("its bytes are freed", () -> clientConnections.bodyBytes() == 0);
                try (RawConnection third = new RawConnection(address)) {
                    assertEquals(
                            third.send(Site.postRequest("x".repeat(200))).read().status(), 200);
                }
            }
            await(
                    "all connections have left",
                    () -> clientConnections.size() == 0 && clientConnections.bodyBytes() == 0);
        }
    }

    /** HttpCore reports no end for a connection that was reset. Guards against counting such connections as open forever. */
    @Test
    public void resetClientsTakeNoRoom() throws Exception {
        ClientConnections clientConnections = new ClientConnections(500, 1 << 20);
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> () -> {}, Clock.systemUTC(), clientConnections, (c, status) -> {})) {
            InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            for (int i = 0; i < 1000; i++) {
                RawConnection client = new RawConnection(address);
                client.send(i % 2 == 0 ? "GET / HTTP/1.1\r\nHost: x\r\n\r\n" : "GET / HTT");
                client.reset();
            }
            await("all have left", () -> clientConnections.size() == 0 && !server.isBusy());
        }
    }

    /** Requests are served among many connections that ask once and stay open, and others that never finish a request. */
    @Test
    public void aCrowdLeavesRoomForRequests() throws Exception {
        try (Site site = new Site(1, 1, new copperbeam.program.Config.Limits(192, 256))) {
            List<RawConnection> crowd = new ArrayList<>();
            for (int i = 0; i < 90; i++) {
                RawConnection crowdClient = site.client();
                crowd.add(crowdClient);
                crowdClient.send(
                        i % 3 == 0
                                ? "POST /v1/chat/completions HTTP/1.1\r\nHost"
                                : "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
                if (i % 3 != 0) {
                    crowdClient.read();
                }
                if (i % 3 == 2) {
                    try (RawConnection client = site.client()) {
                        assertEquals(client.send(request("ask", 4000)).read().status(), 200, "after " + i);
                    }
                }
            }
            for (RawConnection connection : crowd) {
                connection.close();
            }
        }
    }

    /** Clients that stay connected or send nothing must not keep others out, at either front. */
    @Test
    public void silentConnectionsMakeRoomForOthers() throws Exception {
        try (Site site = new Site(1, 1, new Config.Limits(64, 256))) {
            List<RawConnection> silent = new ArrayList<>();
            for (int i = 0; i < 200; i++) {
                silent.add(i % 2 == 0 ? site.client() : site.chatClient());
            }
            await("served", () -> {
                try (RawConnection client = site.client();
                        RawConnection other = site.chatClient()) {
                    return client.send(request("ask", 4000)).read().status() == 200
                            && other.send(chatRequest("m-ask", true, "")).read().status() == 200;
                } catch (IOException | NullPointerException e) {
                    return false; // no room yet
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
            });
            for (RawConnection connection : silent) {
                assertTrue(connection.awaitClosed());
            }
        }
    }
}

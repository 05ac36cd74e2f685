package copperbeam.sockets;

import static copperbeam.sockets.Site.EVENTS;
import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.chatRequest;
import static copperbeam.sockets.Site.forAttempts;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import copperbeam.Api;
import copperbeam.program.Config;
import copperbeam.program.Node;
import copperbeam.protocol.openai.ChatModels;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Servers that send a malformed answer, or more bytes than belong to it, and keep the connection open. */
public class SpoiltAnswersTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    private static final String FIRST_EVENT = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"}}]}\n\n";

    private static final int REUSE_DELAY_MS = 30; // for which a kept connection rests before its next call
    private static final int WAIT_FOR_REUSE_MS =
            50; // longer than the 30 ms for which a kept connection rests before its next call

    private static final int MAX_UNREAD_EVENTS =
            128 * 1024; // number of 0.9 KB events; together more than all socket buffers on the way hold

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Each row twice: for the platform's API and for the OpenAI API. */
    private static Object[][] withFronts(Object[]... cases) {
        List<Object[]> rows = new ArrayList<>();
        for (Object[] row : cases) {
            for (boolean chat : new boolean[] {false, true}) {
                rows.add(new Object[] {row[0], row[1], chat});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    private static RawConnection send(Site site, String requestClass, boolean chat) throws Exception {
        RawConnection client = chat ? site.chatClient() : site.client();
        return client.send(chat ? chatRequest("m-" + requestClass, true, "") : request(requestClass, 4000));
    }

    @DataProvider
    public Object[][] openings() {
        return withFronts(new Object[][] {
            {"noise", "\u0001\u0002 what\r\nis this\r\n\r\n"},
            {"a head without end", HEAD + "X-More: "},
            {"a line without end", HEAD + "X: " + "x".repeat(20_000)},
            {"headers without end", HEAD + "X: y\r\n".repeat(200)},
            {"another protocol", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"},
            {"information without end", "HTTP/1.1 102 Processing\r\n\r\n".repeat(20)},
            {"no length", "HTTP/1.1 200 OK\r\n\r\n" + FIRST_EVENT},
            {"noise for a size", HEAD + "\r\nzz\r\n"},
            {"a negative size", HEAD + "\r\n-5\r\n" + FIRST_EVENT},
            {"gigabytes", HEAD + "\r\nC0000000\r\n" + "x".repeat(1000)},
            {"noise for an event", HEAD + "\r\n" + chunk("what\n\n")},
        });
    }

    /**
     * A node that abandons no silent attempt within a test: cancels are forbidden, and attempts time out later than the
     * test's own reads ({@link RawConnection#TIMEOUT_MS}).
     */
    private static Node nodeWithLongTimeouts(StandIn discovery) throws Exception {
        Api.Settings settings = Site.parseSettings(
                String.format(Site.SETTINGS_FORMAT, 30).replace("\"cancel\":true", "\"cancel\":false"));
        Duration timeout = Duration.ofMillis(6 * RawConnection.TIMEOUT_MS);
        ChatModels models = new ChatModels(Map.of(
                "m-ask",
                new ChatModels.Model("ask", timeout, 100),
                "m-send",
                new ChatModels.Model("send", timeout, 100)));
        InetSocketAddress anyPort = new InetSocketAddress("127.0.0.1", 0);
        return new Node(new Config(
                "n0",
                anyPort,
                null,
                null,
                discovery.address(),
                7,
                settings,
                null,
                Duration.ofMillis(250),
                Duration.ofSeconds(30),
                Config.Limits.DEFAULT,
                new Config.OperatorSettings(anyPort, models, null, List.of())));
    }

    /**
     * An answer that is malformed before its first event: the attempt fails because of the bytes sent, without waiting for
     * a timeout. It may have run, so that only the safe class is retried.
     */
    @Test(dataProvider = "openings")
    public void aMalformedOpeningIsAFailedAttempt(String name, String opening, boolean chat) throws Exception {
        AtomicInteger attemptCount = new AtomicInteger();
        List<RawConnection> malformedConnections = new CopyOnWriteArrayList<>();
        StandIn.Script script = forAttempts((request, connection) -> {
            if (attemptCount.getAndIncrement() == 0) {
                malformedConnections.add(connection);
                connection.send(opening);
            } else {
                Site.answerAsWriter(request, connection);
            }
        });
        try (StandIn reader = new StandIn(Site::answerAsReader);
                StandIn firstWriter = new StandIn(script);
                StandIn secondWriter = new StandIn(script);
                StandIn discovery = Conductor.discovery(reader, firstWriter, secondWriter);
                Node node = nodeWithLongTimeouts(discovery)) {
            for (String requestClass : List.of("ask", "send")) {
                attemptCount.set(0);
                malformedConnections.clear();
                try (RawConnection client = new RawConnection(chat ? node.chatAddress() : node.address())) {
                    client.send(
                            chat
                                    ? chatRequest("m-" + requestClass, true, "")
                                    : request(requestClass, 6 * RawConnection.TIMEOUT_MS));
                    assertEquals(client.read().status(), requestClass.equals("ask") ? 200 : 502);
                }
                assertEquals(attemptCount.get(), requestClass.equals("ask") ? 2 : 1);
                await(
                        "the connection of the malformed answer is closed",
                        () -> malformedConnections.get(0).closedByStandIn);
            }
        }
    }

    @DataProvider
    public Object[][] words() {
        List<Object[]> rows = new ArrayList<>();
        for (int status :
                new int[] {200, 201, 202, 203, 204, 206, 301, 302, 304, 307, 308, 400, 404, 409, 410, 429, 500, 503, 504
                }) {
            for (boolean isReader : new boolean[] {true, false}) {
                if (status != (isReader ? 202 : 200)) {
                    rows.add(new Object[] {status, isReader});
                }
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /**
     * A status that servers of this role don't use: the attempt failed and may have run, and nothing of its answer is
     * forwarded.
     */
    @Test(dataProvider = "words")
    public void aStatusOfAnotherRoleIsAFailedAttempt(int status, boolean isReader) throws Exception {
        String badAnswer = status == 204 || status == 304
                ? "HTTP/1.1 " + status + " x\r\n\r\n"
                : "HTTP/1.1 " + status + " x\r\nLocation: /v1/chat/completions\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + chunk("data: bad\n\n") + "0\r\n\r\n";
        try (Site site = new Site(2, 2)) {
            for (String requestClass : List.of("ask", "send")) {
                boolean mayBeRetried = isReader || requestClass.equals("ask"); // a read may be repeated in every class
                AtomicInteger attemptCount = new AtomicInteger();
                List<StandIn> servers = isReader ? site.readers : site.writers;
                StandIn.Script validScript = isReader ? Site::answerAsReader : Site::answerAsWriter;
                servers.forEach(server -> server.script = forAttempts((request, connection) -> {
                    if (attemptCount.getAndIncrement() == 0) {
                        connection.send(badAnswer);
                    } else {
                        validScript.run(request, connection);
                    }
                }));
                try (RawConnection client = site.client()) {
                    RawConnection.Message answer =
                            client.send(request(requestClass, 4000)).read();
                    assertEquals(answer.status(), mayBeRetried ? 200 : 502);
                    assertEquals(answer.text(), mayBeRetried ? EVENTS : "failed\n");
                }
                assertEquals(attemptCount.get(), mayBeRetried ? 2 : 1);
                assertEquals(
                        (long) OperatorsTest.metrics(site.node.adminAddress())
                                .get("transactions." + requestClass + ".errored"),
                        mayBeRetried ? 0 : 1);
            }
        }
    }

    @DataProvider
    public Object[][] middles() {
        return withFronts(new Object[][] {
            {"noise for a size", "zz\r\n"},
            {"a negative size", "-5\r\n" + FIRST_EVENT},
            {"gigabytes", "C0000000\r\ndata: x\n\n"},
            {"a size too small", "3\r\n" + FIRST_EVENT + "\r\n"},
            {"a size too large", "60\r\n" + FIRST_EVENT + "\r\n" + chunk(FIRST_EVENT)},
            {"an event without end", chunk("data: " + "x".repeat(40_000))},
            {"silence", ""},
        });
    }

    /** Counts all attempts; only the first one is answered by the script. */
    private static StandIn.Script spoilFirst(AtomicInteger attemptCount, StandIn.Script spoilt) {
        return forAttempts((request, connection) -> {
            if (attemptCount.getAndIncrement() == 0) {
                spoilt.run(request, connection);
            } else {
                Site.answerAsWriter(request, connection);
            }
        });
    }

    @DataProvider
    public Object[][] refusals() {
        return new Object[][] {{503, true}, {503, false}, {504, true}, {504, false}, {410, true}, {410, false}};
    }

    /** The head of a refusal says that nothing ran: even an unsafe request is sent again, whatever happens to the body. */
    @Test(dataProvider = "refusals")
    public void aRefusalWithoutItsEndHasNotRun(int status, boolean closesConnection) throws Exception {
        AtomicInteger attemptCount = new AtomicInteger();
        try (Site site = new Site(1, 2);
                RawConnection client = site.client()) {
            StandIn.Script script = spoilFirst(attemptCount, (request, connection) -> {
                connection.send("HTTP/1.1 " + status + " x\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\nno");
                if (closesConnection) {
                    connection.close();
                }
            });
            site.writers.forEach(writer -> writer.script = script);
            assertEquals(client.send(request("send", 4000)).read().status(), 200);
            assertEquals(attemptCount.get(), 2);
        }
    }

    @DataProvider
    public Object[][] endlessBodies() {
        return new Object[][] {
            {"503 x\r\nX-Not-Processed: 1", 200, 2},
            {"410 x\r\nX-Not-Processed: 1", 200, 2},
            {"500 x", 502, 1},
        };
    }

    /** Guards against waiting for the end of a body that tells nothing: its head has told the outcome. */
    @Test(dataProvider = "endlessBodies")
    public void aRefusalOrErrorWhoseBodyGoesOnIsOverSoon(String head, int status, int attempts) throws Exception {
        AtomicInteger attemptCount = new AtomicInteger();
        try (Site site = new Site(1, 2);
                RawConnection client = site.client()) {
            StandIn.Script script = spoilFirst(attemptCount, (request, connection) -> {
                connection.send("HTTP/1.1 " + head + "\r\nContent-Length: 9999\r\n\r\n");
                while (true) {
                    connection.send(" ");
                    Thread.sleep(100);
                }
            });
            site.writers.forEach(writer -> writer.script = script);
            long sentNs = System.nanoTime();
            assertEquals(client.send(request("send", 8000)).read().status(), status);
            assertTrue(System.nanoTime() - sentNs < Duration.ofMillis(3000).toNanos());
            assertEquals(attemptCount.get(), attempts);
        }
    }

    /**
     * Guards against waiting for the rest of an error body until the client's deadline. An attempt that was answered with
     * any error but a refusal may have run.
     */
    @Test
    public void anErrorThatDoesNotEndIsAFailedAttempt() throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection client = site.client()) {
            site.writers.get(0).script = forAttempts(
                    (request, connection) -> connection.send("HTTP/1.1 500 x\r\nContent-Length: 9\r\n\r\nno"));
            long sentNs = System.nanoTime();
            assertEquals(
                    client.send(request("send", 6 * RawConnection.TIMEOUT_MS))
                            .read()
                            .status(),
                    502);
            assertTrue(System.nanoTime() - sentNs < Duration.ofMillis(3000).toNanos());
            assertEquals(site.countAttempts(site.writers), 1);
        }
    }

    /**
     * A stream that becomes malformed after its first event: the client's connection ends without the last chunk, and the
     * client gets no data but what the server sent as data.
     */
    @Test(dataProvider = "middles")
    public void aStreamMalformedLaterEndsItsClientsConnection(String name, String middle, boolean chat)
            throws Exception {
        try (Site site = new Site(1, 1)) {
            site.writers.get(0).script =
                    forAttempts((request, connection) -> connection.send(HEAD + "\r\n" + chunk(FIRST_EVENT) + middle));
            try (RawConnection client = send(site, "ask", chat)) {
                RawConnection.Message answer = client.read();
                assertEquals(answer.status(), 200);
                assertFalse(answer.complete());
                assertTrue(answer.text().startsWith("data: "));
                assertFalse(answer.text().contains("\r"));
            }
            await("closed", () -> site.writers.get(0).connections.get(0).closedByStandIn);
            assertEquals(site.countAttempts(site.writers), 1);
        }
    }

    @DataProvider
    public Object[][] good() {
        String stream = chunk(EVENTS.replace("\u00e8", "e")) + "0\r\n\r\n";
        return withFronts(new Object[][] {
            {
                "ahead",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + HEAD + "\r\n" + stream
            },
            {"report", HEAD + "X-Server-Load: inflight=\u0001,=,x0=-7\r\n\r\n" + stream},
            {"behind", HEAD + "\r\n" + stream + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"},
            {"behind, half a line", HEAD + "\r\n" + stream + "HTTP/1.1 4"},
        });
    }

    /**
     * Interim responses, an odd load report and bytes after the end do no harm, and bytes after an answer are not taken
     * for the answer to the next request.
     */
    @Test(dataProvider = "good")
    public void aGoodStreamWithMoreAroundItIsServed(String name, String answer, boolean chat) throws Exception {
        try (Site site = new Site(1, 1)) {
            site.writers.get(0).script = forAttempts((request, connection) -> connection.send(answer));
            for (int i = 0; i < 3; i++) {
                try (RawConnection client = send(site, "ask", chat)) {
                    RawConnection.Message served = client.read();
                    assertEquals(served.status(), 200);
                    assertTrue(served.complete() && served.text().contains("[DONE]"));
                }
                Thread.sleep(WAIT_FOR_REUSE_MS);
            }
            assertEquals(site.writers.get(0).connections.size(), name.startsWith("behind") ? 3 : 1);
            assertEquals(site.countAttempts(site.writers), 3);
        }
    }

    /**
     * The server sends a surplus second answer some milliseconds after the first, before or after the next request
     * arrives: that request gets its own answer.
     */
    @Test
    public void aLateSecondAnswerIsNotForwarded() throws Exception {
        int roundsInTime = 0;
        for (int round = 0; roundsInTime < 10 && round < 40; round++) {
            int delayMs = 2 + round % 10 * 2;
            AtomicInteger attemptCount = new AtomicInteger();
            AtomicLong actualDelayMs = new AtomicLong();
            try (Site site = new Site(1, 1);
                    RawConnection client = site.client()) {
                site.writers.get(0).script = forAttempts((request, connection) -> {
                    int number = attemptCount.incrementAndGet();
                    String answer = HEAD + "\r\n" + chunk("data: " + number + "\n\n" + Site.LAST_EVENT) + "0\r\n\r\n";
                    connection.send(answer);
                    if (number == 1) {
                        long firstSentNs = System.nanoTime();
                        Thread.sleep(delayMs);
                        actualDelayMs.set((System.nanoTime() - firstSentNs) / 1_000_000);
                        connection.send(answer);
                    }
                });
                assertEquals(client.send(request("ask", 4000)).read().text(), "data: 1\n\n" + Site.LAST_EVENT);
                String nextAnswer = client.send(request("ask", 4000)).read().text();
                await("the surplus answer was sent", () -> actualDelayMs.get() > 0);
                if (actualDelayMs.get()
                        < REUSE_DELAY_MS) { // else it was sent too late on a busy machine, and proves nothing
                    assertEquals(nextAnswer, "data: 2\n\n" + Site.LAST_EVENT, delayMs + " ms after the first answer");
                    roundsInTime++;
                }
            }
        }
        assertEquals(roundsInTime, 10);
    }

    /**
     * Half a line arrives on a kept connection before the next request, while that is written or while its last byte is
     * held back: no attempt is used up.
     */
    @Test
    public void halfALineOnAKeptConnectionCostsNoAttempt() throws Exception {
        List<RawConnection> usedConnections =
                new CopyOnWriteArrayList<>(); // connections with an attempt; others may be established late and stay
        // unused
        try (Site site = new Site(1, 1);
                RawConnection client = site.client()) {
            site.readers.get(0).script = forAttempts((request, connection) -> {
                usedConnections.add(connection);
                Site.answerAsReader(request, connection);
            });
            for (int i = 1; i <= 5; i++) {
                assertEquals(client.send(request("ask", 4000)).read().status(), 200);
                assertEquals(usedConnections.size(), i);
                usedConnections.get(i - 1).send("HTTP/1.1 4");
            }
            assertEquals(java.util.Set.copyOf(usedConnections).size(), 5);
        }
    }

    @DataProvider
    public Object[][] halves() {
        String nextEvent = "data: {\"choices\":[{\"index\":0";
        return new Object[][] {
            {"half a size", "2"},
            {"a size alone", "40\r\n"},
            {"half a chunk", "40\r\n" + nextEvent},
            {"half an event", chunk(nextEvent)},
        };
    }

    /** The connection closes within an event: nothing of the event is forwarded, and the client sees a truncated stream. */
    @Test(dataProvider = "halves")
    public void halfAnEventAtACloseIsNotForwarded(String name, String half) throws Exception {
        try (Site site = new Site(1, 1)) {
            site.writers.get(0).script = forAttempts((request, connection) -> {
                connection.send(HEAD + "\r\n" + chunk(FIRST_EVENT) + half);
                connection.close();
            });
            try (RawConnection client = send(site, "send", false)) {
                RawConnection.Message answer = client.read();
                assertFalse(answer.complete());
                assertEquals(answer.text(), FIRST_EVENT);
            }
            assertEquals(site.countAttempts(site.writers), 1);
        }
    }

    /**
     * Guards against the loss of an event that arrives together with the break of its stream: without it, the stream would
     * look as if it had not begun.
     */
    @Test
    public void anEventThatArrivesWithABreakIsForwarded() throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection client = site.client()) {
            site.writers.get(0).script = forAttempts((request, connection) -> {
                connection.send(HEAD + "\r\n" + chunk(FIRST_EVENT));
                connection.close();
            });
            RawConnection.Message answer = client.send(request("send", 4000)).read();
            assertEquals(answer.text(), FIRST_EVENT);
            assertFalse(answer.complete());
        }
    }

    /**
     * Guards against unbounded buffering: if the client reads nothing, flow control stops a server that sends without end,
     * and no event is lost.
     */
    @Test
    public void aFloodThatNobodyReadsIsStoppedByFlowControl() throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection client = site.client()) {
            AtomicInteger sentCount = new AtomicInteger();
            site.writers.get(0).script = forAttempts((request, connection) -> {
                connection.send(HEAD + "\r\n");
                while (true) {
                    connection.send(chunk("data: " + sentCount.get() + "x".repeat(900) + "\n\n"));
                    sentCount.incrementAndGet();
                }
            });
            client.send(request("ask", 4000));
            long[] lastProgress = {0, System.nanoTime()};
            await("the server is stopped by flow control", 3 * RawConnection.TIMEOUT_MS, () -> {
                int now = sentCount.get();
                assertTrue(now < MAX_UNREAD_EVENTS, "not stopped by flow control; events sent: " + now);
                if (now != lastProgress[0]) {
                    lastProgress[0] = now;
                    lastProgress[1] = System.nanoTime();
                }
                return now > 0 && System.nanoTime() - lastProgress[1] > 2_000_000_000L;
            });
            client.readHead();
            for (int i = 0; i < lastProgress[0] + 1000; i++) {
                String event = client.readChunk();
                assertTrue(event.startsWith("data: " + i + "x"), i + ": " + event);
            }
        }
    }
}

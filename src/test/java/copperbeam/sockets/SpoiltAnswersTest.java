package copperbeam.sockets;

import static copperbeam.sockets.Site.EVENTS;
import static copperbeam.sockets.Site.attempts;
import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.chat;
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
    private static final String FIRST = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"}}]}\n\n";

    private static final int SETTLING_MS = 30; // for which a kept connection rests before its next call
    private static final int SETTLED_MS = 50; // longer than the 30 ms for which a kept connection rests before its next call

    private static final int MOST_HELD =
            128 * 1024; // number of 0.9 KB events; together more than all socket buffers on the way hold

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Each row twice: for the platform's API and for the OpenAI API. */
    private static Object[][] withFronts(Object[]... cases) {
        List<Object[]> all = new ArrayList<>();
        for (Object[] one : cases) {
            for (boolean chat : new boolean[] {false, true}) {
                all.add(new Object[] {one[0], one[1], chat});
            }
        }
        return all.toArray(Object[][]::new);
    }

    private static Line send(Site site, String requestClass, boolean chat) throws Exception {
        Line client = chat ? site.chatClient() : site.client();
        return client.send(chat ? chat("m-" + requestClass, true, "") : request(requestClass, 4000));
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
            {"no length", "HTTP/1.1 200 OK\r\n\r\n" + FIRST},
            {"noise for a size", HEAD + "\r\nzz\r\n"},
            {"a negative size", HEAD + "\r\n-5\r\n" + FIRST},
            {"gigabytes", HEAD + "\r\nC0000000\r\n" + "x".repeat(1000)},
            {"noise for an event", HEAD + "\r\n" + chunk("what\n\n")},
        });
    }

    /**
     * A node that abandons no silent attempt within a test: cancels are forbidden, and attempts time out later than the
     * test's own reads ({@link RawConnection#TIMEOUT_MS}).
     */
    private static Node patient(StandIn discovery) throws Exception {
        Api.Settings settings =
                Site.parsed(String.format(Site.SETTINGS, 30).replace("\"cancel\":true", "\"cancel\":false"));
        Duration time = Duration.ofMillis(6 * Line.PATIENCE_MS);
        ChatModels models = new ChatModels(Map.of(
                "m-ask", new ChatModels.Model("ask", time, 100), "m-send", new ChatModels.Model("send", time, 100)));
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        return new Node(new Config(
                "n0",
                any,
                null,
                null,
                discovery.address(),
                7,
                settings,
                null,
                Duration.ofMillis(250),
                Duration.ofSeconds(30),
                Config.Limits.USUAL,
                new Config.Operator(any, models, null, List.of())));
    }

    /**
     * An answer that is malformed before its first event: the attempt fails because of the bytes sent, without waiting for
     * a timeout. It may have run, so that only the safe class is retried.
     */
    @Test(dataProvider = "openings")
    public void aSpoiltOpeningIsAFailedAttempt(String name, String opening, boolean chat) throws Exception {
        AtomicInteger turn = new AtomicInteger();
        List<Line> spoilt = new CopyOnWriteArrayList<>();
        StandIn.Script script = attempts((m, line) -> {
            if (turn.getAndIncrement() == 0) {
                spoilt.add(line);
                line.send(opening);
            } else {
                Site.write(m, line);
            }
        });
        try (StandIn reader = new StandIn(Site::read);
                StandIn one = new StandIn(script);
                StandIn other = new StandIn(script);
                StandIn discovery = Conductor.discovery(reader, one, other);
                Node node = patient(discovery)) {
            for (String requestClass : List.of("ask", "send")) {
                turn.set(0);
                spoilt.clear();
                try (Line client = new Line(chat ? node.chatAddress() : node.address())) {
                    client.send(
                            chat ? chat("m-" + requestClass, true, "") : request(requestClass, 6 * Line.PATIENCE_MS));
                    assertEquals(client.read().status(), requestClass.equals("ask") ? 200 : 502);
                }
                assertEquals(turn.get(), requestClass.equals("ask") ? 2 : 1);
                await("the connection of the malformed answer is closed", () -> spoilt.get(0).ended);
            }
        }
    }

    @DataProvider
    public Object[][] words() {
        List<Object[]> all = new ArrayList<>();
        for (int status :
                new int[] {200, 201, 202, 203, 204, 206, 301, 302, 304, 307, 308, 400, 404, 409, 410, 429, 500, 503, 504
                }) {
            for (boolean reads : new boolean[] {true, false}) {
                if (status != (reads ? 202 : 200)) {
                    all.add(new Object[] {status, reads});
                }
            }
        }
        return all.toArray(Object[][]::new);
    }

    /**
     * A status that servers of this role don't use: the attempt failed and may have run, and nothing of its answer is
     * forwarded.
     */
    @Test(dataProvider = "words")
    public void aWordOfAnotherRoleIsAFailedAttempt(int status, boolean reads) throws Exception {
        String bad = status == 204 || status == 304
                ? "HTTP/1.1 " + status + " x\r\n\r\n"
                : "HTTP/1.1 " + status + " x\r\nLocation: /v1/chat/completions\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + chunk("data: bad\n\n") + "0\r\n\r\n";
        try (Site site = new Site(2, 2)) {
            for (String requestClass : List.of("ask", "send")) {
                boolean harmless = reads || requestClass.equals("ask"); // a read may be repeated in every class
                AtomicInteger turn = new AtomicInteger();
                List<StandIn> all = reads ? site.readers : site.writers;
                StandIn.Script good = reads ? Site::read : Site::write;
                all.forEach(s -> s.script = attempts((m, line) -> {
                    if (turn.getAndIncrement() == 0) {
                        line.send(bad);
                    } else {
                        good.run(m, line);
                    }
                }));
                try (Line client = site.client()) {
                    Line.Message answer =
                            client.send(request(requestClass, 4000)).read();
                    assertEquals(answer.status(), harmless ? 200 : 502);
                    assertEquals(answer.text(), harmless ? EVENTS : "failed\n");
                }
                assertEquals(turn.get(), harmless ? 2 : 1);
                assertEquals(
                        (long) OperatorsTest.metrics(site.node.door()).get("transactions." + requestClass + ".errored"),
                        harmless ? 0 : 1);
            }
        }
    }

    @DataProvider
    public Object[][] middles() {
        return withFronts(new Object[][] {
            {"noise for a size", "zz\r\n"},
            {"a negative size", "-5\r\n" + FIRST},
            {"gigabytes", "C0000000\r\ndata: x\n\n"},
            {"a size too small", "3\r\n" + FIRST + "\r\n"},
            {"a size too large", "60\r\n" + FIRST + "\r\n" + chunk(FIRST)},
            {"an event without end", chunk("data: " + "x".repeat(40_000))},
            {"silence", ""},
        });
    }

    @DataProvider
    public Object[][] refusals() {
        return new Object[][] {{503, true}, {503, false}, {504, true}, {504, false}, {410, true}, {410, false}};
    }

    /** The head of a refusal says that nothing ran: even an unsafe request is sent again, whatever happens to the body. */
    @Test(dataProvider = "refusals")
    public void aRefusalWithoutItsEndHasNotRun(int status, boolean closes) throws Exception {
        AtomicInteger turn = new AtomicInteger();
        try (Site site = new Site(1, 2);
                Line client = site.client()) {
            StandIn.Script script = attempts((m, line) -> {
                if (turn.getAndIncrement() > 0) {
                    Site.write(m, line);
                    return;
                }
                line.send("HTTP/1.1 " + status + " x\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\nno");
                if (closes) {
                    line.close();
                }
            });
            site.writers.forEach(w -> w.script = script);
            assertEquals(client.send(request("send", 4000)).read().status(), 200);
            assertEquals(turn.get(), 2);
        }
    }

    /**
     * Guards against waiting for the rest of an error body until the client's deadline. An attempt that was answered with
     * any error but a refusal may have run.
     */
    @Test
    public void anErrorThatDoesNotEndIsAFailedAttempt() throws Exception {
        try (Site site = new Site(1, 1);
                Line client = site.client()) {
            site.writers.get(0).script =
                    attempts((m, line) -> line.send("HTTP/1.1 500 x\r\nContent-Length: 9\r\n\r\nno"));
            long sent = System.nanoTime();
            assertEquals(
                    client.send(request("send", 6 * Line.PATIENCE_MS)).read().status(), 502);
            assertTrue(System.nanoTime() - sent < Duration.ofMillis(3000).toNanos());
            assertEquals(site.attempts(site.writers), 1);
        }
    }

    /**
     * A stream that becomes malformed after its first event: the client's connection ends without the last chunk, and the
     * client gets no data but what the server sent as data.
     */
    @Test(dataProvider = "middles")
    public void aStreamSpoiltLaterEndsItsClientsConnection(String name, String middle, boolean chat) throws Exception {
        try (Site site = new Site(1, 1)) {
            site.writers.get(0).script = attempts((m, line) -> line.send(HEAD + "\r\n" + chunk(FIRST) + middle));
            try (Line client = send(site, "ask", chat)) {
                Line.Message answer = client.read();
                assertEquals(answer.status(), 200);
                assertFalse(answer.whole());
                assertTrue(answer.text().startsWith("data: "));
                assertFalse(answer.text().contains("\r"));
            }
            await("closed", () -> site.writers.get(0).lines.get(0).ended);
            assertEquals(site.attempts(site.writers), 1);
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
            site.writers.get(0).script = attempts((m, line) -> line.send(answer));
            for (int i = 0; i < 3; i++) {
                try (Line client = send(site, "ask", chat)) {
                    Line.Message served = client.read();
                    assertEquals(served.status(), 200);
                    assertTrue(served.whole() && served.text().contains("[DONE]"));
                }
                Thread.sleep(SETTLED_MS);
            }
            assertEquals(site.writers.get(0).lines.size(), name.startsWith("behind") ? 3 : 1);
            assertEquals(site.attempts(site.writers), 3);
        }
    }

    /**
     * The server sends a surplus second answer some milliseconds after the first, before or after the next request
     * arrives: that request gets its own answer.
     */
    @Test
    public void aLateSecondAnswerIsPassedOnToNobody() throws Exception {
        int inTime = 0;
        for (int round = 0; inTime < 10 && round < 40; round++) {
            int behindMs = 2 + round % 10 * 2;
            AtomicInteger turn = new AtomicInteger();
            AtomicLong tookMs = new AtomicLong();
            try (Site site = new Site(1, 1);
                    Line client = site.client()) {
                site.writers.get(0).script = attempts((m, line) -> {
                    int number = turn.incrementAndGet();
                    String answer = HEAD + "\r\n" + chunk("data: " + number + "\n\n") + "0\r\n\r\n";
                    line.send(answer);
                    if (number == 1) {
                        long first = System.nanoTime();
                        Thread.sleep(behindMs);
                        tookMs.set((System.nanoTime() - first) / 1_000_000);
                        line.send(answer);
                    }
                });
                assertEquals(client.send(request("ask", 4000)).read().text(), "data: 1\n\n");
                String next = client.send(request("ask", 4000)).read().text();
                await("the surplus answer was sent", () -> tookMs.get() > 0);
                if (tookMs.get()
                        < SETTLING_MS) { // else it was sent too late on a busy machine, and proves nothing
                    assertEquals(next, "data: 2\n\n", behindMs + " ms after the first answer");
                    inTime++;
                }
            }
        }
        assertEquals(inTime, 10);
    }

    /**
     * Half a line arrives on a kept connection before the next request, while that is written or while its last byte is
     * held back: no attempt is used up.
     */
    @Test
    public void halfALineOnAKeptConnectionCostsNoAttempt() throws Exception {
        List<Line> carried =
                new CopyOnWriteArrayList<>(); // connections with an attempt; others may be established late and stay unused
        try (Site site = new Site(1, 1);
                Line client = site.client()) {
            site.readers.get(0).script = attempts((m, line) -> {
                carried.add(line);
                Site.read(m, line);
            });
            for (int i = 1; i <= 5; i++) {
                assertEquals(client.send(request("ask", 4000)).read().status(), 200);
                assertEquals(carried.size(), i);
                carried.get(i - 1).send("HTTP/1.1 4");
            }
            assertEquals(java.util.Set.copyOf(carried).size(), 5);
        }
    }

    @DataProvider
    public Object[][] halves() {
        String next = "data: {\"choices\":[{\"index\":0";
        return new Object[][] {
            {"half a size", "2"},
            {"a size alone", "40\r\n"},
            {"half a chunk", "40\r\n" + next},
            {"half an event", chunk(next)},
        };
    }

    /** The connection closes within an event: nothing of the event is forwarded, and the client sees a truncated stream. */
    @Test(dataProvider = "halves")
    public void halfALineAtACloseIsNotPassedOn(String name, String half) throws Exception {
        try (Site site = new Site(1, 1)) {
            site.writers.get(0).script = attempts((m, line) -> {
                line.send(HEAD + "\r\n" + chunk(FIRST) + half);
                line.close();
            });
            try (Line client = send(site, "send", false)) {
                Line.Message answer = client.read();
                assertFalse(answer.whole());
                assertEquals(answer.text(), FIRST);
            }
            assertEquals(site.attempts(site.writers), 1);
        }
    }

    /**
     * Guards against the loss of an event that arrives together with the break of its stream: without it, the stream would
     * look as if it had not begun.
     */
    @Test
    public void anEventBesideABreakIsPassedOn() throws Exception {
        try (Site site = new Site(1, 1);
                Line client = site.client()) {
            site.writers.get(0).script = attempts((m, line) -> {
                line.send(HEAD + "\r\n" + chunk(FIRST));
                line.close();
            });
            Line.Message answer = client.send(request("send", 4000)).read();
            assertEquals(answer.text(), FIRST);
            assertFalse(answer.whole());
        }
    }

    /**
     * Guards against unbounded buffering: if the client reads nothing, flow control stops a server that sends without end,
     * and no event is lost.
     */
    @Test
    public void aFloodThatNobodyTakesIsHeldUp() throws Exception {
        try (Site site = new Site(1, 1);
                Line client = site.client()) {
            AtomicInteger sent = new AtomicInteger();
            site.writers.get(0).script = attempts((m, line) -> {
                line.send(HEAD + "\r\n");
                while (true) {
                    line.send(chunk("data: " + sent.get() + "x".repeat(900) + "\n\n"));
                    sent.incrementAndGet();
                }
            });
            client.send(request("ask", 4000));
            long[] still = {0, System.nanoTime()};
            await("the server is stopped by flow control", 3 * Line.PATIENCE_MS, () -> {
                int now = sent.get();
                assertTrue(now < MOST_HELD, "not stopped by flow control; events sent: " + now);
                if (now != still[0]) {
                    still[0] = now;
                    still[1] = System.nanoTime();
                }
                return now > 0 && System.nanoTime() - still[1] > 2_000_000_000L;
            });
            client.head();
            for (int i = 0; i < still[0] + 1000; i++) {
                String event = client.readChunk();
                assertTrue(event.startsWith("data: " + i + "x"), i + ": " + event);
            }
        }
    }
}

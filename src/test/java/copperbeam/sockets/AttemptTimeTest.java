package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.forAttempts;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.Api.Report;
import copperbeam.program.Config;
import copperbeam.protocol.HttpCall;
import copperbeam.routing.Connector;
import copperbeam.routing.RequestSpec;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.ServerConnector;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The remaining time that an attempt tells its server in X-Timeout, and what may no longer be sent when it is over. */
public class AttemptTimeTest {
    private static final int CLIENT_TIMEOUT_MS = 9000;
    private static final int FRONT_MARGIN_MS =
            20; // the front subtracts it from the client's timeout for the response's way back
    private static final int WAIT_MS = 300;

    private enum WaitReason {
        FOR_A_CONNECTION,
        FOR_A_FAILED_ATTEMPT
    }

    @DataProvider
    public Object[][] waits() {
        return new Object[][] {{WaitReason.FOR_A_CONNECTION}, {WaitReason.FOR_A_FAILED_ATTEMPT}};
    }

    /**
     * The remaining time is taken when the attempt is sent, after a wait. The bound depends only on the order of events, not
     * on the machine's speed: the request arrived before the test noticed it, and the attempt was sent after the test ended
     * the wait.
     */
    @Test(dataProvider = "waits")
    public void theTimeoutSentIsWhatRemainsAfterAWait(WaitReason waitReason) throws Exception {
        boolean connectsLate = waitReason == WaitReason.FOR_A_CONNECTION;
        try (Site site = site("safe", 0)) {
            AtomicLong waitEndedNs = new AtomicLong(); // when the test ended the wait (nanoTime)
            CountDownLatch attemptReceived = new CountDownLatch(1);
            AtomicReference<String> timeoutHeader = new AtomicReference<>();
            AtomicBoolean firstFailed = new AtomicBoolean();
            StandIn reader = new StandIn(
                    forAttempts((request, connection) -> {
                        attemptReceived.countDown();
                        if (!connectsLate && firstFailed.compareAndSet(false, true)) {
                            Thread.sleep(WAIT_MS);
                            waitEndedNs.set(System.nanoTime());
                            connection.respond(500, "");
                        } else {
                            timeoutHeader.set(request.header("X-Timeout"));
                            Site.answerAsReader(request, connection);
                        }
                    }),
                    connectsLate ? 1 : 50);
            StandIn writer = new StandIn(Site::answerAsWriter);
            site.readers.add(reader);
            site.writers.add(writer);
            RawConnection[] queueFillers =
                    new RawConnection[connectsLate ? 2 : 0]; // they fill the listener's accept queue
            for (int i = 0; i < queueFillers.length; i++) {
                queueFillers[i] = new RawConnection(reader.address());
            }
            if (!connectsLate) {
                reader.startAccepting();
            }
            addToList(site, Site.entry(reader, "prefill", "active") + "," + Site.entry(writer, "decode", "active"), 2);
            try (RawConnection client = site.client()) {
                client.send(Site.request("ask", CLIENT_TIMEOUT_MS));
                if (connectsLate) {
                    await(
                            "the request has arrived",
                            () -> OperatorsTest.metrics(site.node.adminAddress())
                                            .get("current")
                                    == 1);
                } else {
                    attemptReceived.await();
                }
                long arrivedNs = System.nanoTime();
                if (connectsLate) {
                    Thread.sleep(WAIT_MS);
                    waitEndedNs.set(System.nanoTime());
                    reader.startAccepting();
                }
                assertEquals(client.read().status(), 200);
                long maxRemainingMs = CLIENT_TIMEOUT_MS - FRONT_MARGIN_MS - (waitEndedNs.get() - arrivedNs) / 1_000_000;
                long timeoutMs = Long.parseLong(timeoutHeader.get().replace("m", ""));
                assertTrue(timeoutMs <= maxRemainingMs, timeoutMs + " of " + maxRemainingMs);
            }
        }
    }

    /** The reactor's thread is blocked between the call and the write: X-Timeout is what remains at the write. */
    @Test
    public void theTimeoutSentIsWhatRemainsAtTheWrite() throws Exception {
        CountDownLatch unblock = new CountDownLatch(1);
        CountDownLatch reactorBlocked = new CountDownLatch(1);
        AtomicReference<Duration> remaining = new AtomicReference<>(Duration.ofSeconds(5));
        try (StandIn server = new StandIn(Site::answerAsReader);
                ClientReactor reactor = new ClientReactor()) {
            ServerConnector connector = new ServerConnector(reactor);
            Connector.Connection first = openConnection(connector, server.address());
            Connector.Connection second = openConnection(connector, server.address());
            sendAttempt(first, remaining, () -> {
                reactorBlocked.countDown();
                awaitLatch(unblock);
            });
            reactorBlocked.await();
            CompletableFuture<Boolean> answered = sendAttempt(second, remaining, () -> {});
            remaining.set(Duration.ofSeconds(1));
            unblock.countDown();
            answered.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertEquals(server.requests.get(1).header("X-Timeout"), "1000m");
        }
    }

    /**
     * The reactor's thread is blocked while an answer ends and its connection is to be closed: what the kernel has buffered
     * of the answer is read before the close.
     */
    @Test
    public void receivedBytesAreReadBeforeAClose() throws Exception {
        CountDownLatch requestReceived = new CountDownLatch(1);
        CountDownLatch allowAnswer = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        CountDownLatch reactorBlocked = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        AtomicReference<Duration> remaining = new AtomicReference<>(Duration.ofSeconds(5));
        try (StandIn server = new StandIn((request, connection) -> {
                    requestReceived.countDown();
                    allowAnswer.await();
                    Site.answerAsReader(request, connection);
                    answered.countDown();
                });
                StandIn other = new StandIn(Site::answerAsReader);
                ClientReactor reactor = new ClientReactor()) {
            ServerConnector connector = new ServerConnector(reactor);
            Connector.Connection closingConnection = openConnection(connector, server.address());
            Connector.Connection blockingConnection = openConnection(connector, other.address());
            CompletableFuture<Boolean> completed = sendAttempt(closingConnection, remaining, () -> {});
            requestReceived.await();
            sendAttempt(blockingConnection, remaining, () -> {
                reactorBlocked.countDown();
                awaitLatch(unblock);
            });
            reactorBlocked.await();
            allowAnswer.countDown();
            answered.await();
            closingConnection.readOut(closingConnection::close);
            unblock.countDown();
            assertTrue(
                    completed.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS),
                    "the end of the answer had arrived");
        }
    }

    /**
     * The last byte is not sent if too much time has passed since the head: the server would take the outdated X-Timeout
     * for the time that remains.
     */
    @Test
    public void anOutdatedHeadIsNotFollowedByTheLastByte() throws Exception {
        for (int passedMs : new int[] {0, 200}) {
            AtomicReference<Duration> remaining = new AtomicReference<>(Duration.ofSeconds(5));
            try (StandIn server = new StandIn(Site::answerAsReader);
                    ClientReactor reactor = new ClientReactor()) {
                Connector.Connection connection = openConnection(new ServerConnector(reactor), server.address());
                CompletableFuture<Boolean> answered =
                        sendAttempt(connection, remaining, Duration.ZERO, true, () -> {}, () -> {
                            remaining.updateAndGet(l -> l.minusMillis(passedMs));
                            connection.sendLastByte();
                        });
                assertEquals(
                        answered.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS), Boolean.valueOf(passedMs == 0));
                await(
                        "its connection is closed",
                        () -> passedMs == 0
                                || !server.connections.isEmpty() && server.connections.get(0).closedByStandIn);
                assertEquals(server.attempts(), passedMs == 0 ? 1 : 0);
            }
        }
    }

    /** A margin covers the time between the head and the last byte. */
    @Test
    public void aHeadWithAMarginIsFollowedByALateLastByte() throws Exception {
        AtomicReference<Duration> remaining = new AtomicReference<>(Duration.ofSeconds(5));
        try (StandIn server = new StandIn(Site::answerAsReader);
                ClientReactor reactor = new ClientReactor()) {
            Connector.Connection connection = openConnection(new ServerConnector(reactor), server.address());
            CompletableFuture<Boolean> answered =
                    sendAttempt(connection, remaining, Duration.ofMillis(300), true, () -> {}, () -> {
                        remaining.updateAndGet(l -> l.minusMillis(350));
                        connection.sendLastByte();
                    });
            assertTrue(answered.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(server.requests.get(0).header("X-Timeout"), "4700m");
        }
    }

    /**
     * A body that is larger than the socket buffers towards a server that reads nothing: the rest must not be sent once the
     * attempt has ended.
     */
    @Test
    public void aBlockedBodyIsNotSentAfterItsAttemptEnded() throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        List<RawConnection.Message> bodiesRead = new CopyOnWriteArrayList<>();
        try (Site site = new Site(1, 1);
                RawConnection client = site.client()) {
            site.readers.get(0).onConnect = connection -> {
                RawConnection.Message head = connection.readHead();
                if (head.method().equals("POST")) {
                    answered.await();
                    bodiesRead.add(connection.readBody(head));
                }
                throw new IOException("it reads again only on a new connection");
            };
            String body = "{\"a\":\"" + "x".repeat(240 * 1024) + "\"}";
            client.send(Site.request("id", "ask", "1000m", "prompt_len=40", body));
            assertTrue(client.read().status() != 200);
            answered.countDown();
            List<RawConnection> connections = site.readers.get(0).connections;
            await("its server has read on", () -> !connections.isEmpty() && connections.get(0).closedByStandIn);
            assertTrue(
                    bodiesRead.stream().noneMatch(RawConnection.Message::complete),
                    "the whole body arrived after the attempt had ended");
        }
    }

    /**
     * In a keyed class, whose servers drop repeated requests only within a time window, a retry is not sent after the window,
     * even if the module started it within the window.
     */
    @SuppressWarnings("try") // two connections only fill the server's accept queue
    @Test
    public void aKeyedRetryIsNotSentAfterItsWindow() throws Exception {
        int windowMs = 1500;
        try (Site site = site("keyed", windowMs / 1000.0)) {
            CountDownLatch attemptReceived = new CountDownLatch(1);
            CountDownLatch allowFailure = new CountDownLatch(1);
            AtomicLong firstAttemptNs = new AtomicLong();
            StandIn reader = new StandIn(Site::answerAsReader);
            StandIn failingWriter = new StandIn(forAttempts((request, connection) -> {
                firstAttemptNs.set(System.nanoTime());
                attemptReceived.countDown();
                allowFailure.await();
                connection.respond(500, "");
            }));
            StandIn lateWriter = new StandIn(Site::answerAsWriter, 1);
            site.readers.add(reader);
            site.writers.addAll(List.of(failingWriter, lateWriter));
            try (RawConnection firstInQueue = new RawConnection(lateWriter.address());
                    RawConnection secondInQueue = new RawConnection(lateWriter.address());
                    RawConnection client = site.client()) {
                addToList(
                        site,
                        Site.entry(reader, "prefill", "active") + "," + Site.entry(failingWriter, "decode", "active"),
                        2);
                client.send(Site.request("ask", CLIENT_TIMEOUT_MS));
                attemptReceived.await();
                addToList(
                        site,
                        Site.entry(lateWriter, "decode", "active") + ","
                                + Site.entry(failingWriter, "decode", "leaving"),
                        3);
                allowFailure.countDown();
                long windowEndNs = firstAttemptNs.get() + (windowMs + 1) * 1_000_000L;
                while (System.nanoTime() < windowEndNs) {
                    Thread.sleep(10); // waits until the window is over
                }
                lateWriter.startAccepting();
                assertEquals(
                        client.read().status(), 502); // the first attempt may have run, and a repeat would now run too
                await("its connection came up", () -> lateWriter.connections.size() == 3);
                assertEquals(lateWriter.attempts(), 0);
            }
        }
    }

    private static Site site(String semantics, double windowS) throws Exception {
        // no attempt is cancelled for its silence, and a read state is held longer than its request waits for a
        // connection
        String settings = String.format(Site.SETTINGS_FORMAT, "30")
                .replace("\"cancel\":true", "\"cancel\":false")
                .replace("\"release_s\":1", "\"release_s\":20")
                .replace(
                        "\"semantics\":\"safe\"",
                        "\"semantics\":\"" + semantics + "\",\"group\":\"all\",\"window_s\":" + windowS);
        return new Site(
                0, 0, 30, null, List.of(), Config.Limits.DEFAULT, Site.parseSettings(settings), Duration.ofSeconds(8));
    }

    private static void addToList(Site site, String entries, int version) throws Exception {
        site.listChanges.add(entries);
        await("listed", () -> site.discovery.count(request -> request.path().contains("from=" + version + "&")) > 0);
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static Connector.Connection openConnection(Connector connector, InetSocketAddress address)
            throws Exception {
        CompletableFuture<Connector.Connection> opened = new CompletableFuture<>();
        connector.connect(address, Duration.ofSeconds(5), new Connector.ConnectionListener() {
            @Override
            public void connected(Connector.Connection connection) {
                opened.complete(connection);
            }

            @Override
            public void connectFailed() {
                opened.cancel(false);
            }

            @Override
            public void closed(Connector.Connection connection) {}
        });
        return opened.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Sends an attempt; {@code onAnswer} runs on the reactor's thread. The result tells whether the answer was complete. */
    private static CompletableFuture<Boolean> sendAttempt(
            Connector.Connection connection, AtomicReference<Duration> remaining, Runnable onAnswer) {
        return sendAttempt(connection, remaining, Duration.ZERO, false, onAnswer, () -> {});
    }

    private static CompletableFuture<Boolean> sendAttempt(
            Connector.Connection connection,
            AtomicReference<Duration> remaining,
            Duration timeoutMargin,
            boolean holdLastByte,
            Runnable onAnswer,
            Runnable onLastByteHeld) {
        CompletableFuture<Boolean> completed = new CompletableFuture<>();
        HttpCall httpCall = new HttpCall(
                "POST", "/v1/chat/completions", Map.of(), "{}".getBytes(StandardCharsets.US_ASCII), Instant.now());
        RequestSpec spec =
                new RequestSpec("id", "ask", "k", null, 40, 0, 9, Instant.now().plusSeconds(8), false, httpCall);
        Connector.Call attempt = new Connector.AttemptCall(
                spec, true, remaining::get, timeoutMargin, holdLastByte, () -> true, () -> true);
        connection.call(attempt, new Connector.CallListener() {
            @Override
            public void sent() {}

            @Override
            public void lastByteHeld() {
                onLastByteHeld.run();
            }

            @Override
            public void answerClassified(Connector.AnswerKind kind, Report report) {
                onAnswer.run();
            }

            @Override
            public void event(byte[] raw) {}

            @Override
            public void end(boolean reusable, double keptTokens) {
                completed.complete(true);
            }

            @Override
            public void broken(boolean lastByteMayHaveLeft) {
                completed.complete(false);
            }
        });
        return completed;
    }
}

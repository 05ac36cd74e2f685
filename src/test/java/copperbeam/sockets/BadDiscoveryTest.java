package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.Api.ServerState;
import copperbeam.membership.Backoff;
import copperbeam.membership.WatchPace;
import copperbeam.protocol.discovery.DiscoveryWatch;
import copperbeam.routing.MembershipSource.Entry;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.PlainHttpClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A server-list watch whose discovery service sends invalid answers, or accepts no connections for a while. */
public class BadDiscoveryTest {
    private static final String SERVER_A =
            "{\"id\":\"a\",\"addr\":\"127.0.0.1:1\",\"zone\":\"z\",\"kind\":\"k\",\"state\":\"%s\"}";
    private static final String SERVER_B =
            "{\"id\":\"b\",\"addr\":\"127.0.0.1:2\",\"zone\":\"z\",\"kind\":\"k\",\"state\":\"active\"}";

    /**
     * Longest time in ms from when discovery answers correctly until the watch applies its list. A pushed list has one
     * second, and one more for a busy machine.
     */
    private static long maxDelayMs(boolean pushed) {
        return pushed ? 2000 : 5000;
    }

    /** A running watch with the entries that it reported and the messages that it logged. */
    private static final class WatchFixture implements AutoCloseable {
        final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
        final ClientReactor reactor = new ClientReactor();
        final List<Entry> reportedEntries = new CopyOnWriteArrayList<>();
        final List<String> logMessages = new CopyOnWriteArrayList<>();
        final Logger logger = Logger.getLogger(DiscoveryWatch.class.getName());
        final Handler handler = new Handler() {
            @Override
            public void publish(LogRecord entry) {
                logMessages.add(entry.getMessage());
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        final DiscoveryWatch watch;

        WatchFixture(InetSocketAddress address, boolean pushed) {
            logger.addHandler(handler);
            Duration initialDelay = Duration.ofMillis(pushed ? 100 : 500);
            watch = new DiscoveryWatch(
                    scheduler,
                    new PlainHttpClient(reactor),
                    Clock.systemUTC(),
                    address,
                    null,
                    false,
                    new Backoff(initialDelay, pushed ? initialDelay : Duration.ofSeconds(10), new SplittableRandom(1)),
                    pushed ? WatchPace.ofAgent(Duration.ofSeconds(1)) : WatchPace.ofService());
            watch.start(change -> reportedEntries.addAll(change.entries()));
        }

        boolean sawDrain() {
            return reportedEntries.stream().anyMatch(e -> e.member().state() == ServerState.DRAINING);
        }

        @Override
        public void close() throws IOException {
            watch.stop();
            logger.removeHandler(handler);
            scheduler.shutdownNow();
            reactor.close();
        }
    }

    private static String listJson(int version, boolean full, String entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + entries + "]}";
    }

    @DataProvider
    public Object[][] modes() {
        return new Object[][] {{true}, {false}};
    }

    /**
     * A series of invalid answers, some with a valid beginning, then a valid one. Guards against applying a part of a list,
     * against a body that uses up the memory, and against a backoff that grows too long to learn of a drain in time.
     */
    @Test(dataProvider = "modes")
    public void invalidAnswersChangeNothingAndDelayNoDrain(boolean pushed) throws Exception {
        String drainEntry = String.format(SERVER_A, "leaving");
        List<StandIn.Script> invalidAnswers = List.of(
                (request, connection) -> {
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
                            + listJson(8, false, drainEntry).substring(0, 30));
                    while (!connection.closedByStandIn) {
                        connection.send(" ");
                        Thread.sleep(300);
                    }
                },
                (request, connection) ->
                        connection.respond(200, listJson(8, false, drainEntry).substring(0, 60)),
                (request, connection) -> connection.respond(200, listJson(8, true, "") + "x"),
                (request, connection) -> connection.respond(200, "{\"full\":true,\"servers\":[]}"),
                (request, connection) -> connection.respond(200, listJson(8, true, SERVER_B + ",{\"id\":\"c\"}")),
                (request, connection) ->
                        connection.respond(200, listJson(8, false, SERVER_B + ",{\"id\":7,\"addr\":\"127.0.0.1:3\"}")),
                (request, connection) -> connection.respond(503, listJson(8, true, SERVER_B)),
                (request, connection) -> connection.send("HTTP/9 what\r\n\r\n"),
                (request, connection) -> {
                    connection
                            .send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                            .sendChunk(listJson(8, true, SERVER_B));
                    while (!connection.closedByStandIn) {
                        connection.sendChunk(" ".repeat(10_000));
                    }
                });
        try (StandIn agent = new StandIn(null)) {
            List<Long> invalidAnswerTimesNs = new CopyOnWriteArrayList<>();
            agent.script = (request, connection) -> {
                int answerIndex = agent.requests.size() - 2;
                if (answerIndex < 0) {
                    connection.respond(200, listJson(7, true, String.format(SERVER_A, "active")));
                } else if (answerIndex < invalidAnswers.size()) {
                    invalidAnswerTimesNs.add(System.nanoTime());
                    invalidAnswers.get(answerIndex).run(request, connection);
                } else {
                    boolean fullList = !request.path().contains("from=");
                    connection.respond(200, listJson(9, fullList, request.path().contains("from=9") ? "" : drainEntry));
                    Thread.sleep(200);
                }
            };
            try (WatchFixture fixture = new WatchFixture(agent.address(), pushed)) {
                long deadlineNs = System.nanoTime() + 40_000_000_000L;
                while (!fixture.sawDrain()) {
                    assertTrue(System.nanoTime() < deadlineNs, "no drain within 40 s; logged: " + fixture.logMessages);
                    Thread.sleep(5);
                }
                long elapsedMs = (System.nanoTime() - invalidAnswerTimesNs.get(invalidAnswers.size() - 1)) / 1_000_000;
                assertTrue(elapsedMs < maxDelayMs(pushed), elapsedMs + " ms after the last invalid answer");
                assertEquals(
                        fixture.reportedEntries.stream()
                                .map(e -> e.member().server() + e.member().state())
                                .toList(),
                        List.of("aREADY", "aDRAINING"));
                for (String reason : List.of(
                        "no JSON",
                        "no version",
                        "server c: no addr",
                        "id is not a text",
                        "status 503",
                        "a body above 262144 bytes",
                        "no whole answer in time")) {
                    assertTrue(
                            fixture.logMessages.stream().anyMatch(l -> l.contains(reason)),
                            reason + " in " + fixture.logMessages);
                }
                assertTrue(fixture.logMessages.size() <= invalidAnswers.size(), "" + fixture.logMessages);
            }
        }
    }

    /**
     * Statuses that are no valid answer, with a list in the body where the status allows one. After a 1xx no final response
     * follows.
     */
    @DataProvider
    public Object[][] statuses() {
        return Stream.of(101, 103, 201, 204, 206, 301, 302, 304, 307, 308)
                .flatMap(s -> Stream.of(new Object[] {s, true}, new Object[] {s, false}))
                .toArray(Object[][]::new);
    }

    /**
     * Any status but 200 is a failed call, and no Location is followed: the failure is logged, the list stays as it is, and
     * the call is repeated.
     */
    @Test(dataProvider = "statuses")
    public void anotherStatusIsAFailedCall(int status, boolean pushed) throws Exception {
        String body = listJson(8, true, SERVER_B);
        List<Long> callTimesNs = new CopyOnWriteArrayList<>();
        try (StandIn agent = new StandIn(null);
                StandIn redirectTarget = new StandIn((request, connection) -> connection.respond(200, body))) {
            agent.script = (request, connection) -> {
                callTimesNs.add(System.nanoTime());
                if (callTimesNs.size() == 1) {
                    connection.respond(200, listJson(7, true, String.format(SERVER_A, "active")));
                } else if (callTimesNs.size() == 2) {
                    boolean hasNoBody = status < 200 || status == 204 || status == 304;
                    connection.send("HTTP/1.1 " + status + " x\r\nLocation: http://" + redirectTarget.hostAndPort()
                            + "/v1/servers\r\n"
                            + (hasNoBody ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body));
                    connection.read();
                } else {
                    connection.respond(
                            200,
                            listJson(
                                    9,
                                    !request.path().contains("from="),
                                    request.path().contains("from=9") ? "" : String.format(SERVER_A, "leaving")));
                    Thread.sleep(200);
                }
            };
            try (WatchFixture fixture = new WatchFixture(agent.address(), pushed)) {
                await("the drain", fixture::sawDrain);
                long elapsedMs = (callTimesNs.get(2) - callTimesNs.get(1)) / 1_000_000;
                assertTrue(elapsedMs < 6000, elapsedMs + " ms");
                assertTrue(
                        fixture.reportedEntries.stream()
                                .allMatch(e -> e.member().server().equals("a")),
                        "" + fixture.reportedEntries);
                assertEquals(redirectTarget.requests.size(), 0);
                String reason =
                        status == 101 ? "in place of an answer" : status < 200 ? "no whole answer" : "status " + status;
                await("the reason", () -> fixture.logMessages.stream().anyMatch(l -> l.contains(reason)));
            }
        }
    }

    /** Faults of a new address until it becomes healthy, by their name. */
    private static final Map<String, StandIn.Script> FAULTS = Map.of(
            "sends garbage",
            (request, connection) -> connection.send("HTTP/9 what\r\n\r\n"),
            "closes",
            (request, connection) -> connection.close(),
            "is silent",
            (request, connection) -> connection.read(),
            "has no such path",
            (request, connection) -> connection.respond(404, "no"),
            "sends half an answer",
            (request, connection) -> connection
                    .send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{\"version\":9")
                    .read(),
            "lists an invalid server",
            (request, connection) -> connection.respond(200, listJson(99, true, SERVER_B + ",{\"id\":\"c\"}")),
            "sends only changes",
            (request, connection) -> connection.respond(200, listJson(99, false, SERVER_B)),
            "lists no servers",
            (request, connection) -> connection.respond(200, listJson(1, true, "")));

    @DataProvider
    public Object[][] moves() {
        return FAULTS.keySet().stream()
                .flatMap(t -> Stream.of(new Object[] {t, true}, new Object[] {t, false}))
                .toArray(Object[][]::new);
    }

    /**
     * The watch moves to a faulty address, back and there again: no server changes, the old address is still watched, and
     * the new one's list is applied as soon as it is valid.
     */
    @Test(dataProvider = "moves")
    public void aFaultyAddressChangesNothing(String fault, boolean pushed) throws Exception {
        AtomicBoolean oldListsDrain = new AtomicBoolean();
        AtomicBoolean newIsHealthy = new AtomicBoolean();
        String drainingServerB = SERVER_B.replace("active", "leaving");
        StandIn.Script oldScript = (request, connection) -> {
            boolean isWatch = request.path().contains("from=");
            for (int i = 0;
                    i < 200
                            && isWatch
                            && !(oldListsDrain.get() && request.path().contains("from=7&"));
                    i++) {
                Thread.sleep(5);
            }
            connection.respond(
                    200,
                    oldListsDrain.get()
                            ? listJson(
                                    8,
                                    !isWatch,
                                    request.path().contains("from=8") ? "" : String.format(SERVER_A, "leaving"))
                            : listJson(7, !isWatch, isWatch ? "" : String.format(SERVER_A, "active") + "," + SERVER_B));
        };
        try (StandIn oldAgent = new StandIn(oldScript);
                StandIn newAgent = new StandIn(null)) {
            newAgent.script = (request, connection) -> {
                if (newIsHealthy.get()) {
                    boolean isWatch = request.path().contains("from=");
                    Thread.sleep(isWatch ? 200 : 0);
                    connection.respond(
                            200,
                            listJson(
                                    2,
                                    !isWatch,
                                    isWatch ? "" : String.format(SERVER_A, "leaving") + "," + drainingServerB));
                } else {
                    FAULTS.get(fault).run(request, connection);
                }
            };
            try (WatchFixture fixture = new WatchFixture(oldAgent.address(), pushed)) {
                await("both servers are listed", () -> fixture.reportedEntries.size() == 2);
                fixture.watch.moveTo(newAgent.address());
                fixture.watch.moveTo(oldAgent.address());
                fixture.watch.moveTo(newAgent.address());
                await("the new address was called twice", () -> newAgent.requests.size() >= 2);
                oldListsDrain.set(true);
                await("the old address's drain", fixture::sawDrain);
                assertTrue(
                        fixture.reportedEntries.stream()
                                .allMatch(e -> e.member().server().equals("a")
                                        || e.member().state() == ServerState.READY),
                        "" + fixture.reportedEntries);
                newIsHealthy.set(true);
                long startNs = System.nanoTime();
                await(
                        "the drain from the new address",
                        () -> fixture.reportedEntries.stream()
                                .anyMatch(e -> e.member().server().equals("b")
                                        && e.member().state() == ServerState.DRAINING));
                long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
                assertTrue(elapsedMs < maxDelayMs(pushed), elapsedMs + " ms");
                assertTrue(
                        fixture.reportedEntries.stream()
                                .noneMatch(e -> e.member().server().equals("c")),
                        "" + fixture.reportedEntries);
            }
        }
    }

    /**
     * Guards against calls in a busy loop, and against watches that each begin anew with a delay: at least half of the calls
     * must follow within 200 ms.
     */
    @Test(dataProvider = "modes")
    public void callsToAnAgentThatAnswersAtOnceAreRateLimited(boolean pushed) throws Exception {
        List<Long> gapsMs = new CopyOnWriteArrayList<>();
        AtomicLong lastAnswerNs = new AtomicLong();
        AtomicBoolean listsDrain = new AtomicBoolean();
        try (StandIn agent = new StandIn((request, connection) -> {
            if (lastAnswerNs.get() > 0) {
                gapsMs.add((System.nanoTime() - lastAnswerNs.get()) / 1_000_000);
            }
            boolean isWatch = request.path().contains("from=");
            connection.respond(
                    200,
                    listsDrain.get()
                            ? listJson(8, !isWatch, String.format(SERVER_A, "leaving"))
                            : listJson(7, !isWatch, isWatch ? "" : String.format(SERVER_A, "active")));
            lastAnswerNs.set(System.nanoTime());
        })) {
            long startNs = System.nanoTime();
            try (WatchFixture fixture = new WatchFixture(agent.address(), pushed)) {
                await("some calls", () -> gapsMs.size() >= 10);
                long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
                assertTrue(gapsMs.size() <= elapsedMs / 100 + 2, gapsMs.size() + " calls in " + elapsedMs + " ms");
                assertTrue(
                        gapsMs.stream().filter(g -> g < 200).count() >= gapsMs.size() / 2,
                        "watches begin anew: " + gapsMs);
                listsDrain.set(true);
                await("the drain", fixture::sawDrain);
            }
        }
    }

    /**
     * Connects that time out don't delay a drain. The kernel answers no SYN while the accept queue of a listener that
     * accepts nothing is full.
     */
    @Test(dataProvider = "modes")
    public void connectsThatTimeOutDelayNoDrain(boolean pushed) throws Exception {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        List<Socket> queuedSockets = new ArrayList<>();
        try (ServerSocket listener = new ServerSocket(0, 8, loopback);
                WatchFixture fixture = watchFullListener(listener, queuedSockets, pushed)) {
            await(
                    "the failed connect is logged",
                    () -> fixture.logMessages.stream().anyMatch(l -> l.contains("no connection")));
            for (Socket socket : queuedSockets) {
                listener.accept().close();
            }
            long startNs = System.nanoTime();
            Thread acceptThread = new Thread(() -> {
                try {
                    while (true) {
                        RawConnection connection = new RawConnection(listener.accept());
                        Thread connectionThread = new Thread(() -> {
                            try (connection) {
                                for (RawConnection.Message request = connection.read();
                                        request != null;
                                        request = connection.read()) {
                                    connection.respond(
                                            200,
                                            listJson(
                                                    9,
                                                    !request.path().contains("from="),
                                                    request.path().contains("from=9")
                                                            ? ""
                                                            : String.format(SERVER_A, "leaving")));
                                    Thread.sleep(200);
                                }
                            } catch (Exception e) {
                                // the client closed the connection
                            }
                        });
                        connectionThread.setDaemon(true);
                        connectionThread.start();
                    }
                } catch (java.io.IOException e) {
                    // the listener was closed
                }
            });
            acceptThread.setDaemon(true);
            acceptThread.start();
            await("the drain", fixture::sawDrain);
            long elapsedMs = (System.nanoTime() - startNs) / 1_000_000;
            assertTrue(elapsedMs < maxDelayMs(pushed), elapsedMs + " ms");
        } finally {
            for (Socket socket : queuedSockets) {
                socket.close();
            }
        }
    }

    private static WatchFixture watchFullListener(ServerSocket listener, List<Socket> queuedSockets, boolean pushed)
            throws Exception {
        InetSocketAddress address = (InetSocketAddress) listener.getLocalSocketAddress();
        boolean queueIsFull = false;
        while (!queueIsFull) {
            Socket socket = new Socket();
            try {
                socket.connect(address, 300);
                queuedSockets.add(socket);
            } catch (java.net.SocketTimeoutException e) {
                socket.close();
                queueIsFull = true;
            }
        }
        return new WatchFixture(address, pushed);
    }
}

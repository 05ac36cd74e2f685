package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.Api.ServerState;
import copperbeam.membership.Backoff;
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
    private static final String A =
            "{\"id\":\"a\",\"addr\":\"127.0.0.1:1\",\"zone\":\"z\",\"kind\":\"k\",\"state\":\"%s\"}";
    private static final String B =
            "{\"id\":\"b\",\"addr\":\"127.0.0.1:2\",\"zone\":\"z\",\"kind\":\"k\",\"state\":\"active\"}";

    /**
     * Longest time in ms from when discovery answers correctly until the watch applies its list. A pushed list has one
     * second, and one more for a busy machine.
     */
    private static long most(boolean pushed) {
        return pushed ? 2000 : 5000;
    }

    /** A running watch with the entries that it reported and the messages that it logged. */
    private static final class Watched implements AutoCloseable {
        final ScheduledExecutorService turns = Executors.newSingleThreadScheduledExecutor();
        final ClientReactor reactor = new ClientReactor();
        final List<Entry> heard = new CopyOnWriteArrayList<>();
        final List<String> log = new CopyOnWriteArrayList<>();
        final Logger logger = Logger.getLogger(DiscoveryWatch.class.getName());
        final Handler handler = new Handler() {
            @Override
            public void publish(LogRecord entry) {
                log.add(entry.getMessage());
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        final DiscoveryWatch watch;

        Watched(InetSocketAddress at, boolean pushed) {
            logger.addHandler(handler);
            Duration first = Duration.ofMillis(pushed ? 100 : 500);
            watch = new DiscoveryWatch(
                    turns,
                    new PlainHttpClient(reactor),
                    Clock.systemUTC(),
                    at,
                    null,
                    false,
                    new Backoff(first, pushed ? first : Duration.ofSeconds(10), new SplittableRandom(1)));
            watch.start(change -> heard.addAll(change.entries()));
        }

        boolean drains() {
            return heard.stream().anyMatch(e -> e.member().state() == ServerState.DRAINING);
        }

        @Override
        public void close() throws IOException {
            watch.stop();
            logger.removeHandler(handler);
            turns.shutdownNow();
            reactor.close();
        }
    }

    private static String list(int version, boolean full, String entries) {
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
    public void spoiltAnswersChangeNothingAndDelayNoDrain(boolean pushed) throws Exception {
        String drain = String.format(A, "leaving");
        List<StandIn.Script> spoilt = List.of(
                (m, line) -> {
                    line.send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
                            + list(8, false, drain).substring(0, 30));
                    while (!line.ended) {
                        line.send(" ");
                        Thread.sleep(300);
                    }
                },
                (m, line) -> line.answer(200, list(8, false, drain).substring(0, 60)),
                (m, line) -> line.answer(200, list(8, true, "") + "x"),
                (m, line) -> line.answer(200, "{\"full\":true,\"servers\":[]}"),
                (m, line) -> line.answer(200, list(8, true, B + ",{\"id\":\"c\"}")),
                (m, line) -> line.answer(200, list(8, false, B + ",{\"id\":7,\"addr\":\"127.0.0.1:3\"}")),
                (m, line) -> line.answer(503, list(8, true, B)),
                (m, line) -> line.send("HTTP/9 what\r\n\r\n"),
                (m, line) -> {
                    line.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                            .chunk(list(8, true, B));
                    while (!line.ended) {
                        line.chunk(" ".repeat(10_000));
                    }
                });
        try (StandIn agent = new StandIn(null)) {
            List<Long> last = new CopyOnWriteArrayList<>();
            agent.script = (m, line) -> {
                int call = agent.seen.size() - 2;
                if (call < 0) {
                    line.answer(200, list(7, true, String.format(A, "active")));
                } else if (call < spoilt.size()) {
                    last.add(System.nanoTime());
                    spoilt.get(call).run(m, line);
                } else {
                    boolean whole = !m.path().contains("from=");
                    line.answer(200, list(9, whole, m.path().contains("from=9") ? "" : drain));
                    Thread.sleep(200);
                }
            };
            try (Watched w = new Watched(agent.address(), pushed)) {
                long until = System.nanoTime() + 40_000_000_000L;
                while (!w.drains()) {
                    assertTrue(System.nanoTime() < until, "no drain within 40 s; logged: " + w.log);
                    Thread.sleep(5);
                }
                long ms = (System.nanoTime() - last.get(spoilt.size() - 1)) / 1_000_000;
                assertTrue(ms < most(pushed), ms + " ms after the last invalid answer");
                assertEquals(
                        w.heard.stream()
                                .map(e -> e.member().server() + e.member().state())
                                .toList(),
                        List.of("aREADY", "aDRAINING"));
                for (String why : List.of(
                        "no JSON",
                        "no version",
                        "server c: no addr",
                        "id is not a text",
                        "status 503",
                        "a body above 262144 bytes",
                        "no whole answer in time")) {
                    assertTrue(w.log.stream().anyMatch(l -> l.contains(why)), why + " in " + w.log);
                }
                assertTrue(w.log.size() <= spoilt.size(), "" + w.log);
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
        String body = list(8, true, B);
        List<Long> calls = new CopyOnWriteArrayList<>();
        try (StandIn agent = new StandIn(null);
                StandIn elsewhere = new StandIn((m, line) -> line.answer(200, body))) {
            agent.script = (m, line) -> {
                calls.add(System.nanoTime());
                if (calls.size() == 1) {
                    line.answer(200, list(7, true, String.format(A, "active")));
                } else if (calls.size() == 2) {
                    boolean none = status < 200 || status == 204 || status == 304;
                    line.send("HTTP/1.1 " + status + " x\r\nLocation: http://" + elsewhere.host() + "/v1/servers\r\n"
                            + (none ? "\r\n" : "Content-Length: " + body.length() + "\r\n\r\n" + body));
                    line.read();
                } else {
                    line.answer(
                            200,
                            list(
                                    9,
                                    !m.path().contains("from="),
                                    m.path().contains("from=9") ? "" : String.format(A, "leaving")));
                    Thread.sleep(200);
                }
            };
            try (Watched w = new Watched(agent.address(), pushed)) {
                await("the drain", w::drains);
                long ms = (calls.get(2) - calls.get(1)) / 1_000_000;
                assertTrue(ms < 6000, ms + " ms");
                assertTrue(w.heard.stream().allMatch(e -> e.member().server().equals("a")), "" + w.heard);
                assertEquals(elsewhere.seen.size(), 0);
                String reason =
                        status == 101 ? "in place of an answer" : status < 200 ? "no whole answer" : "status " + status;
                await("the reason", () -> w.log.stream().anyMatch(l -> l.contains(reason)));
            }
        }
    }

    /** Faults of a new address until it becomes healthy, by their name. */
    private static final Map<String, StandIn.Script> TROUBLES = Map.of(
            "sends garbage",
            (m, line) -> line.send("HTTP/9 what\r\n\r\n"),
            "closes",
            (m, line) -> line.close(),
            "is silent",
            (m, line) -> line.read(),
            "has no such path",
            (m, line) -> line.answer(404, "no"),
            "sends half an answer",
            (m, line) -> line.send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{\"version\":9")
                    .read(),
            "lists an invalid server",
            (m, line) -> line.answer(200, list(99, true, B + ",{\"id\":\"c\"}")),
            "sends only changes",
            (m, line) -> line.answer(200, list(99, false, B)),
            "lists no servers",
            (m, line) -> line.answer(200, list(1, true, "")));

    @DataProvider
    public Object[][] moves() {
        return TROUBLES.keySet().stream()
                .flatMap(t -> Stream.of(new Object[] {t, true}, new Object[] {t, false}))
                .toArray(Object[][]::new);
    }

    /**
     * The watch moves to a faulty address, back and there again: no server changes, the old address is still watched, and
     * the new one's list is applied as soon as it is valid.
     */
    @Test(dataProvider = "moves")
    public void anAddressInTroubleChangesNothing(String trouble, boolean pushed) throws Exception {
        AtomicBoolean drains = new AtomicBoolean();
        AtomicBoolean good = new AtomicBoolean();
        String b = B.replace("active", "leaving");
        StandIn.Script first = (m, line) -> {
            boolean watch = m.path().contains("from=");
            for (int i = 0; i < 200 && watch && !(drains.get() && m.path().contains("from=7&")); i++) {
                Thread.sleep(5);
            }
            line.answer(
                    200,
                    drains.get()
                            ? list(8, !watch, m.path().contains("from=8") ? "" : String.format(A, "leaving"))
                            : list(7, !watch, watch ? "" : String.format(A, "active") + "," + B));
        };
        try (StandIn old = new StandIn(first);
                StandIn next = new StandIn(null)) {
            next.script = (m, line) -> {
                if (good.get()) {
                    boolean watch = m.path().contains("from=");
                    Thread.sleep(watch ? 200 : 0);
                    line.answer(200, list(2, !watch, watch ? "" : String.format(A, "leaving") + "," + b));
                } else {
                    TROUBLES.get(trouble).run(m, line);
                }
            };
            try (Watched w = new Watched(old.address(), pushed)) {
                await("both servers are listed", () -> w.heard.size() == 2);
                w.watch.move(next.address());
                w.watch.move(old.address());
                w.watch.move(next.address());
                await("the new address was called twice", () -> next.seen.size() >= 2);
                drains.set(true);
                await("the old address's drain", w::drains);
                assertTrue(
                        w.heard.stream()
                                .allMatch(e -> e.member().server().equals("a")
                                        || e.member().state() == ServerState.READY),
                        "" + w.heard);
                good.set(true);
                long from = System.nanoTime();
                await(
                        "the drain from the new address",
                        () -> w.heard.stream()
                                .anyMatch(e -> e.member().server().equals("b")
                                        && e.member().state() == ServerState.DRAINING));
                long ms = (System.nanoTime() - from) / 1_000_000;
                assertTrue(ms < most(pushed), ms + " ms");
                assertTrue(w.heard.stream().noneMatch(e -> e.member().server().equals("c")), "" + w.heard);
            }
        }
    }

    /**
     * Guards against calls in a busy loop, and against watches that each begin anew with a delay: at least half of the calls
     * must follow within 200 ms.
     */
    @Test(dataProvider = "modes")
    public void anAgentThatAnswersAtOnceIsAskedAtAPace(boolean pushed) throws Exception {
        List<Long> gaps = new CopyOnWriteArrayList<>();
        AtomicLong answered = new AtomicLong();
        AtomicBoolean drains = new AtomicBoolean();
        try (StandIn agent = new StandIn((m, line) -> {
            if (answered.get() > 0) {
                gaps.add((System.nanoTime() - answered.get()) / 1_000_000);
            }
            boolean watch = m.path().contains("from=");
            line.answer(
                    200,
                    drains.get()
                            ? list(8, !watch, String.format(A, "leaving"))
                            : list(7, !watch, watch ? "" : String.format(A, "active")));
            answered.set(System.nanoTime());
        })) {
            long from = System.nanoTime();
            try (Watched w = new Watched(agent.address(), pushed)) {
                await("some calls", () -> gaps.size() >= 10);
                long ms = (System.nanoTime() - from) / 1_000_000;
                assertTrue(gaps.size() <= ms / 100 + 2, gaps.size() + " calls in " + ms + " ms");
                assertTrue(gaps.stream().filter(g -> g < 200).count() >= gaps.size() / 2, "watches begin anew: " + gaps);
                drains.set(true);
                await("the drain", w::drains);
            }
        }
    }

    /**
     * Connects that time out don't delay a drain. The kernel answers no SYN while the accept queue of a listener that
     * accepts nothing is full.
     */
    @Test(dataProvider = "modes")
    public void connectionsThatDoNotComeUpDelayNoDrain(boolean pushed) throws Exception {
        InetAddress here = InetAddress.getByName("127.0.0.1");
        List<Socket> full = new ArrayList<>();
        try (ServerSocket closed = new ServerSocket(0, 8, here);
                Watched w = hung(closed, full, pushed)) {
            await("the failed connect is logged", () -> w.log.stream().anyMatch(l -> l.contains("no connection")));
            for (Socket s : full) {
                closed.accept().close();
            }
            long from = System.nanoTime();
            Thread accepts = new Thread(() -> {
                try {
                    while (true) {
                        Line line = new Line(closed.accept());
                        Thread one = new Thread(() -> {
                            try (line) {
                                for (Line.Message m = line.read(); m != null; m = line.read()) {
                                    line.answer(
                                            200,
                                            list(
                                                    9,
                                                    !m.path().contains("from="),
                                                    m.path().contains("from=9") ? "" : String.format(A, "leaving")));
                                    Thread.sleep(200);
                                }
                            } catch (Exception e) {
                                // the client closed the connection
                            }
                        });
                        one.setDaemon(true);
                        one.start();
                    }
                } catch (java.io.IOException e) {
                    // the listener was closed
                }
            });
            accepts.setDaemon(true);
            accepts.start();
            await("the drain", w::drains);
            long ms = (System.nanoTime() - from) / 1_000_000;
            assertTrue(ms < most(pushed), ms + " ms");
        } finally {
            for (Socket s : full) {
                s.close();
            }
        }
    }

    private static Watched hung(ServerSocket closed, List<Socket> full, boolean pushed) throws Exception {
        InetSocketAddress at = (InetSocketAddress) closed.getLocalSocketAddress();
        boolean hangs = false;
        while (!hangs) {
            Socket next = new Socket();
            try {
                next.connect(at, 300);
                full.add(next);
            } catch (java.net.SocketTimeoutException e) {
                next.close();
                hangs = true;
            }
        }
        return new Watched(at, pushed);
    }
}

package copperbeam.sockets;

import static copperbeam.sockets.Site.attempts;
import static copperbeam.sockets.Site.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.Api.Report;
import copperbeam.program.Config;
import copperbeam.protocol.HttpCall;
import copperbeam.routing.Ask;
import copperbeam.routing.Connector;
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
    private static final int CLIENT_MS = 9000;
    private static final int MARGIN_MS = 20; // the front subtracts it from the client's timeout for the response's way back
    private static final int LAPSE_MS = 300;

    private enum Waits {
        FOR_A_CONNECTION,
        FOR_A_FAILED_ATTEMPT
    }

    @DataProvider
    public Object[][] waits() {
        return new Object[][] {{Waits.FOR_A_CONNECTION}, {Waits.FOR_A_FAILED_ATTEMPT}};
    }

    /**
     * The remaining time is taken when the attempt is sent, after a wait. The bound depends only on the order of events, not
     * on the machine's speed: the request arrived before the test noticed it, and the attempt was sent after the test ended
     * the wait.
     */
    @Test(dataProvider = "waits")
    public void theTimeToldIsWhatIsLeftThen(Waits waits) throws Exception {
        boolean late = waits == Waits.FOR_A_CONNECTION;
        try (Site site = site("safe", 0)) {
            AtomicLong on = new AtomicLong(); // when the test ended the wait (nanoTime)
            CountDownLatch met = new CountDownLatch(1);
            AtomicReference<String> told = new AtomicReference<>();
            AtomicBoolean failed = new AtomicBoolean();
            StandIn reader = new StandIn(
                    attempts((m, line) -> {
                        met.countDown();
                        if (!late && failed.compareAndSet(false, true)) {
                            Thread.sleep(LAPSE_MS);
                            on.set(System.nanoTime());
                            line.answer(500, "");
                        } else {
                            told.set(m.header("X-Timeout"));
                            Site.read(m, line);
                        }
                    }),
                    late ? 1 : 50);
            StandIn writer = new StandIn(Site::write);
            site.readers.add(reader);
            site.writers.add(writer);
            Line[] others = new Line[late ? 2 : 0]; // they fill the listener's accept queue
            for (int i = 0; i < others.length; i++) {
                others[i] = new Line(reader.address());
            }
            if (!late) {
                reader.open();
            }
            list(site, Site.entry(reader, "prefill", "active") + "," + Site.entry(writer, "decode", "active"), 2);
            try (Line client = site.client()) {
                client.send(Site.request("ask", CLIENT_MS));
                if (late) {
                    await("the request has arrived", () -> OperatorsTest.metrics(site.node.door()).get("current") == 1);
                } else {
                    met.await();
                }
                long taken = System.nanoTime();
                if (late) {
                    Thread.sleep(LAPSE_MS);
                    on.set(System.nanoTime());
                    reader.open();
                }
                assertEquals(client.read().status(), 200);
                long left = CLIENT_MS - MARGIN_MS - (on.get() - taken) / 1_000_000;
                long ms = Long.parseLong(told.get().replace("m", ""));
                assertTrue(ms <= left, ms + " of " + left);
            }
        }
    }

    /** The reactor's thread is blocked between the call and the write: X-Timeout is what remains at the write. */
    @Test
    public void theTimeToldIsThatOfTheWrite() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch held = new CountDownLatch(1);
        AtomicReference<Duration> left = new AtomicReference<>(Duration.ofSeconds(5));
        try (StandIn server = new StandIn(Site::read);
                ClientReactor reactor = new ClientReactor()) {
            ServerConnector connector = new ServerConnector(reactor);
            Connector.Connection first = up(connector, server.address());
            Connector.Connection second = up(connector, server.address());
            call(first, left, () -> {
                held.countDown();
                hold(go);
            });
            held.await();
            CompletableFuture<Boolean> answered = call(second, left, () -> {});
            left.set(Duration.ofSeconds(1));
            go.countDown();
            answered.get(Line.PATIENCE_MS, TimeUnit.MILLISECONDS);
            assertEquals(server.seen.get(1).header("X-Timeout"), "1000m");
        }
    }

    /**
     * The reactor's thread is blocked while an answer ends and its connection is to be closed: what the kernel has buffered
     * of the answer is read before the close.
     */
    @Test
    public void whatHasComeIsReadBeforeACut() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch answer = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(1);
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        AtomicReference<Duration> left = new AtomicReference<>(Duration.ofSeconds(5));
        try (StandIn server = new StandIn((m, line) -> {
                    asked.countDown();
                    answer.await();
                    Site.read(m, line);
                    answered.countDown();
                });
                StandIn other = new StandIn(Site::read);
                ClientReactor reactor = new ClientReactor()) {
            ServerConnector connector = new ServerConnector(reactor);
            Connector.Connection cut = up(connector, server.address());
            Connector.Connection holds = up(connector, other.address());
            CompletableFuture<Boolean> end = call(cut, left, () -> {});
            asked.await();
            call(holds, left, () -> {
                held.countDown();
                hold(go);
            });
            held.await();
            answer.countDown();
            answered.await();
            cut.readOut(cut::close);
            go.countDown();
            assertTrue(end.get(Line.PATIENCE_MS, TimeUnit.MILLISECONDS), "the end of the answer had arrived");
        }
    }

    /**
     * The last byte is not sent if too much time has passed since the head: the server would take the outdated X-Timeout
     * for the time that remains.
     */
    @Test
    public void aHeadThatHasGrownOldIsNotFollowedByItsLastByte() throws Exception {
        for (int passedMs : new int[] {0, 200}) {
            AtomicReference<Duration> left = new AtomicReference<>(Duration.ofSeconds(5));
            try (StandIn server = new StandIn(Site::read);
                    ClientReactor reactor = new ClientReactor()) {
                Connector.Connection connection = up(new ServerConnector(reactor), server.address());
                CompletableFuture<Boolean> answered = call(connection, left, true, () -> {}, () -> {
                    left.updateAndGet(l -> l.minusMillis(passedMs));
                    connection.let();
                });
                assertEquals(answered.get(Line.PATIENCE_MS, TimeUnit.MILLISECONDS), Boolean.valueOf(passedMs == 0));
                await("its connection is closed", () -> passedMs == 0 || !server.lines.isEmpty() && server.lines.get(0).ended);
                assertEquals(server.attempts(), passedMs == 0 ? 1 : 0);
            }
        }
    }

    /**
     * A body that is larger than the socket buffers towards a server that reads nothing: the rest must not be sent once the
     * attempt has ended.
     */
    @Test
    public void aBodyThatWaitsForRoomStaysOnceItsTimeIsOver() throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        List<Line.Message> read = new CopyOnWriteArrayList<>();
        try (Site site = new Site(1, 1);
                Line client = site.client()) {
            site.readers.get(0).opening = line -> {
                Line.Message head = line.head();
                if (head.method().equals("POST")) {
                    answered.await();
                    read.add(line.rest(head));
                }
                throw new IOException("it reads again only on a new connection");
            };
            String body = "{\"a\":\"" + "x".repeat(240 * 1024) + "\"}";
            client.send(Site.request("id", "ask", "1000m", "prompt_len=40", body));
            assertTrue(client.read().status() != 200);
            answered.countDown();
            List<Line> lines = site.readers.get(0).lines;
            await("its server has read on", () -> !lines.isEmpty() && lines.get(0).ended);
            assertTrue(read.stream().noneMatch(Line.Message::whole), "the whole body arrived after the attempt had ended");
        }
    }

    /**
     * In a keyed class, whose servers drop repeated requests only within a time window, a retry is not sent after the window,
     * even if the module started it within the window.
     */
    @SuppressWarnings("try") // two connections only fill the server's accept queue
    @Test
    public void aKeyedRepeatIsNotWrittenAfterItsWindow() throws Exception {
        int windowMs = 1500;
        try (Site site = site("keyed", windowMs / 1000.0)) {
            CountDownLatch met = new CountDownLatch(1);
            CountDownLatch go = new CountDownLatch(1);
            AtomicLong first = new AtomicLong();
            StandIn reader = new StandIn(Site::read);
            StandIn fails = new StandIn(attempts((m, line) -> {
                first.set(System.nanoTime());
                met.countDown();
                go.await();
                line.answer(500, "");
            }));
            StandIn late = new StandIn(Site::write, 1);
            site.readers.add(reader);
            site.writers.addAll(List.of(fails, late));
            try (Line firstInQueue = new Line(late.address());
                    Line secondInQueue = new Line(late.address());
                    Line client = site.client()) {
                list(site, Site.entry(reader, "prefill", "active") + "," + Site.entry(fails, "decode", "active"), 2);
                client.send(Site.request("ask", CLIENT_MS));
                met.await();
                list(site, Site.entry(late, "decode", "active") + "," + Site.entry(fails, "decode", "leaving"), 3);
                go.countDown();
                long over = first.get() + (windowMs + 1) * 1_000_000L;
                while (System.nanoTime() < over) {
                    Thread.sleep(10); // waits until the window is over
                }
                late.open();
                assertEquals(
                        client.read().status(), 502); // the first attempt may have run, and a repeat would now run too
                await("its connection came up", () -> late.lines.size() == 3);
                assertEquals(late.attempts(), 0);
            }
        }
    }

    private static Site site(String effect, double windowS) throws Exception {
        // no attempt is cancelled for its silence, and a read state is held longer than its request waits for a connection
        String settings = String.format(Site.SETTINGS, "30")
                .replace("\"cancel\":true", "\"cancel\":false")
                .replace("\"release_s\":1", "\"release_s\":20")
                .replace(
                        "\"semantics\":\"safe\"",
                        "\"semantics\":\"" + effect + "\",\"group\":\"all\",\"window_s\":" + windowS);
        return new Site(0, 0, 30, null, List.of(), Config.Limits.USUAL, Site.parsed(settings), Duration.ofSeconds(8));
    }

    private static void list(Site site, String change, int version) throws Exception {
        site.changes.add(change);
        await("listed", () -> site.discovery.count(m -> m.path().contains("from=" + version + "&")) > 0);
    }

    private static void hold(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static Connector.Connection up(Connector connector, InetSocketAddress to) throws Exception {
        CompletableFuture<Connector.Connection> up = new CompletableFuture<>();
        connector.connect(to, Duration.ofSeconds(5), new Connector.Watcher() {
            @Override
            public void up(Connector.Connection connection) {
                up.complete(connection);
            }

            @Override
            public void failed() {
                up.cancel(false);
            }

            @Override
            public void closed(Connector.Connection connection) {}
        });
        return up.get(Line.PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    /** Sends an attempt; {@code onAnswer} runs on the reactor's thread. The result tells whether the answer was complete. */
    private static CompletableFuture<Boolean> call(
            Connector.Connection on, AtomicReference<Duration> left, Runnable answered) {
        return call(on, left, false, answered, () -> {});
    }

    private static CompletableFuture<Boolean> call(
            Connector.Connection on,
            AtomicReference<Duration> left,
            boolean hold,
            Runnable answered,
            Runnable toldHeld) {
        CompletableFuture<Boolean> end = new CompletableFuture<>();
        HttpCall call = new HttpCall(
                "POST", "/v1/chat/completions", Map.of(), "{}".getBytes(StandardCharsets.US_ASCII), Instant.now());
        Ask ask = new Ask("id", "ask", "k", null, 40, 0, 9, Instant.now().plusSeconds(8), false, call);
        Connector.Call attempt = new Connector.AttemptCall(ask, true, left::get, hold, () -> true, () -> true);
        on.call(attempt, new Connector.Listener() {
            @Override
            public void sent() {}

            @Override
            public void held() {
                toldHeld.run();
            }

            @Override
            public void word(Connector.Word word, Report report) {
                answered.run();
            }

            @Override
            public void event(byte[] raw) {}

            @Override
            public void end(boolean reusable, double kept) {
                end.complete(true);
            }

            @Override
            public void broken(boolean written) {
                end.complete(false);
            }
        });
        return end;
    }
}

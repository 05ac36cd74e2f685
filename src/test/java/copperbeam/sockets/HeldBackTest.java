package copperbeam.sockets;

import static copperbeam.sockets.Site.EVENTS;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import copperbeam.Api.Report;
import copperbeam.Api.ServerState;
import copperbeam.protocol.HttpCall;
import copperbeam.routing.Answer;
import copperbeam.routing.Ask;
import copperbeam.routing.Connector;
import copperbeam.routing.ListActor;
import copperbeam.routing.MembershipSource;
import copperbeam.routing.Metrics;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.PeerActor;
import copperbeam.routing.Recorder;
import copperbeam.routing.ReleaseActor;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.ServerConnector;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/**
 * What must not run twice, on connections that end before its last byte has left. All between a front and the
 * servers is the program's, but the hold: where a connection is to end first, the byte stays for good here, as within
 * 2 ms a busy machine may give a server no turn.
 */
public class HeldBackTest {
    private enum Meets {
        RESET,
        RESET_AFTER_EVENT,
        SERVED
    }

    /** What a connection to the writer meets, by the number of those before it. */
    private interface Plan {
        Meets of(int connection);
    }

    private static final class Parts implements AutoCloseable {
        final ScheduledThreadPoolExecutor turns = new ScheduledThreadPoolExecutor(1);
        final ClientReactor reactor = new ClientReactor();
        final StandIn reader = new StandIn(Site::read);
        final StandIn writer = new StandIn(Site::write);
        final AtomicInteger met = new AtomicInteger();
        final CountDownLatch passed = new CountDownLatch(1); // an event, to a client
        final ModuleActor module;

        Parts(Plan plan) throws Exception {
            writer.opening = line -> {
                Meets meets = plan.of(met.getAndIncrement());
                if (meets != Meets.SERVED) {
                    line.head();
                    if (meets == Meets.RESET_AFTER_EVENT) {
                        line.beginStream().chunk("data: 1\n\n");
                        assertTrue(passed.await(Line.PATIENCE_MS, TimeUnit.MILLISECONDS));
                    }
                    line.reset();
                }
            };
            Clock clock = Clock.systemUTC();
            Duration patience = Duration.ofSeconds(5);
            ReleaseActor releases = new ReleaseActor(turns, clock, patience);
            Metrics metrics = new Metrics(List.of("ask", "send"));
            module = new ModuleActor(turns, clock, Site.settings(30), 7, releases, Recorder.NONE, metrics);
            PeerActor.Setup setup = new PeerActor.Setup(
                    clock,
                    new Withholding(new ServerConnector(reactor), writer.address(), plan),
                    patience,
                    patience,
                    patience,
                    module,
                    releases,
                    Recorder.NONE,
                    metrics);
            ListActor list =
                    new ListActor(turns, (id, at) -> new PeerActor(turns, id, at, setup), module, releases, 10);
            CountDownLatch listed = new CountDownLatch(1);
            list.tell(new ListActor.Told(
                    new MembershipSource.Change(
                            ListKind.FULL, List.of(entry("r", reader, "prefill"), entry("w", writer, "decode"))),
                    listed::countDown));
            assertTrue(listed.await(Line.PATIENCE_MS, TimeUnit.MILLISECONDS));
        }

        private static MembershipSource.Entry entry(String id, StandIn server, String kind) {
            return new MembershipSource.Entry(new Member(id, "z", kind, 0, ServerState.READY, 1, 0), server.address());
        }

        /** What the client is told, the stream's events or a word. */
        String send(String id) throws Exception {
            HttpCall call = new HttpCall(
                    "POST", "/v1/chat/completions", Map.of(), "{}".getBytes(StandardCharsets.US_ASCII), Instant.now());
            Told told = new Told(passed);
            module.arrive(new Ask(id, "send", "k", null, 40, 0, 9, Instant.now().plusSeconds(8), false, call), told);
            return told.last.get(Line.PATIENCE_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void close() throws IOException {
            turns.shutdownNow();
            reactor.close();
            reader.close();
            writer.close();
        }
    }

    private static final class Told implements Answer {
        final ByteArrayOutputStream events = new ByteArrayOutputStream();
        final CompletableFuture<String> last = new CompletableFuture<>();
        final CountDownLatch passed;

        Told(CountDownLatch passed) {
            this.passed = passed;
        }

        @Override
        public void begin() {}

        @Override
        public boolean event(byte[] raw, Runnable drained) {
            events.writeBytes(raw);
            drained.run();
            passed.countDown();
            return true;
        }

        @Override
        public void end() {
            last.complete(events.toString(StandardCharsets.UTF_8));
        }

        @Override
        public void broken() {
            last.complete(events.toString(StandardCharsets.UTF_8) + "broken");
        }

        @Override
        public void refuse(Duration retryAfter, boolean tried) {
            last.complete("refused");
        }

        @Override
        public void fail(Failure why) {
            last.complete("failed");
        }
    }

    /** Keeps from the program that a call is held, where the connection is not to be served: it lets nothing go. */
    private record Withholding(Connector all, InetSocketAddress writer, Plan plan, AtomicInteger connections)
            implements Connector {
        Withholding(Connector all, InetSocketAddress writer, Plan plan) {
            this(all, writer, plan, new AtomicInteger());
        }

        @Override
        public void connect(InetSocketAddress to, Duration timeout, Watcher watcher) {
            boolean withhold = to.equals(writer) && plan.of(connections.getAndIncrement()) != Meets.SERVED;
            Map<Connection, Connection> own = new ConcurrentHashMap<>();
            all.connect(to, timeout, new Watcher() {
                @Override
                public void up(Connection connection) {
                    own.put(connection, withhold ? new Withheld(connection) : connection);
                    watcher.up(own.get(connection));
                }

                @Override
                public void failed() {
                    watcher.failed();
                }

                @Override
                public void closed(Connection connection) {
                    watcher.closed(own.getOrDefault(connection, connection));
                }
            });
        }
    }

    private record Withheld(Connector.Connection on) implements Connector.Connection {
        @Override
        public boolean isOpen() {
            return on.isOpen();
        }

        @Override
        public void call(Connector.Call call, Connector.Listener listener) {
            on.call(call, new Connector.Listener() {
                @Override
                public void sent() {
                    throw new AssertionError("sent, though nobody has let it go");
                }

                @Override
                public void held() {}

                @Override
                public void word(Connector.Word word, Report report) {
                    listener.word(word, report);
                }

                @Override
                public void event(byte[] raw) {
                    listener.event(raw);
                }

                @Override
                public void end(boolean reusable, double kept) {
                    listener.end(reusable, kept);
                }

                @Override
                public void broken(boolean written) {
                    listener.broken(written);
                }
            });
        }

        @Override
        public void let() {
            throw new AssertionError("let go, though nobody was told that it is held");
        }

        @Override
        public void grant(int bytes) {
            on.grant(bytes);
        }

        @Override
        public boolean heldBack() {
            return on.heldBack();
        }

        @Override
        public void readOut(Runnable read) {
            on.readOut(read);
        }

        @Override
        public void close() {
            on.close();
        }

        @Override
        public void abort() {
            on.abort();
        }
    }

    /** A connection that ends before the last byte left proves that nothing ran, so that another is tried. */
    @Test
    public void aResetBeforeTheLastByteCostsNothing() throws Exception {
        try (Parts parts = new Parts(connection -> connection % 2 == 0 ? Meets.RESET : Meets.SERVED)) {
            for (int i = 0; i < 3; i++) {
                assertEquals(parts.send("id" + i), EVENTS);
            }
            assertEquals(parts.writer.attempts(), 3);
            assertEquals(parts.reader.attempts(), 3, "no attempt was spent");
            assertEquals(parts.met.get(), 6);
        }
    }

    /** Three in a row spend one attempt, which has not run: the module has another made. */
    @Test
    public void threeResetsBeforeTheLastByteSpendOneAttempt() throws Exception {
        try (Parts parts = new Parts(connection -> connection < 3 ? Meets.RESET : Meets.SERVED)) {
            assertEquals(parts.send("id"), EVENTS);
            assertEquals(parts.writer.attempts(), 1);
            assertEquals(parts.met.get(), 4);
        }
    }

    /** Guards against a second run: who answers has begun with something, whatever has left. */
    @Test
    public void anAnswerBeforeTheLastByteMayHaveRun() throws Exception {
        try (Parts parts = new Parts(connection -> connection == 0 ? Meets.RESET_AFTER_EVENT : Meets.SERVED)) {
            assertEquals(parts.send("id"), "data: 1\n\nbroken");
            assertEquals(parts.writer.attempts(), 0);
            assertEquals(parts.met.get(), 1);
        }
    }
}

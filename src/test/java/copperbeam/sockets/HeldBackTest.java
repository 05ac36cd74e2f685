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
 * Requests of an unsafe class on connections that end before the last byte of the request was sent. Everything between a
 * front and the servers is production code, except how long the last byte is held: on a connection that the server is to
 * reset first, the byte is never sent, because on a busy machine the server may not run within the usual 2 ms.
 */
public class HeldBackTest {
    private enum Meets {
        RESET,
        RESET_AFTER_EVENT,
        SERVED
    }

    /** What the writer does with each connection; they are numbered from 0. */
    private interface Plan {
        Meets of(int connection);
    }

    private static final class Parts implements AutoCloseable {
        final ScheduledThreadPoolExecutor turns = new ScheduledThreadPoolExecutor(1);
        final ClientReactor reactor = new ClientReactor();
        final StandIn reader = new StandIn(Site::read);
        final StandIn writer = new StandIn(Site::write);
        final AtomicInteger met = new AtomicInteger();
        final CountDownLatch passed = new CountDownLatch(1); // an event was forwarded to the client
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

        /**
         * Sends a request and returns what the client gets: the stream's events, followed by "broken" if the stream broke, or
         * "refused" or "failed".
         */
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

    /**
     * Doesn't report the hold of the last byte on connections that the writer won't serve, so that the byte is never
     * sent.
     */
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
                    throw new AssertionError("the last byte was sent, though nobody asked for it");
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
            throw new AssertionError("the last byte is to be sent, though its hold was not reported");
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

    /**
     * A connection that ends before the last byte was sent proves that nothing ran: the same attempt goes on with another
     * connection.
     */
    @Test
    public void aResetBeforeTheLastByteCostsNothing() throws Exception {
        try (Parts parts = new Parts(connection -> connection % 2 == 0 ? Meets.RESET : Meets.SERVED)) {
            for (int i = 0; i < 3; i++) {
                assertEquals(parts.send("id" + i), EVENTS);
            }
            assertEquals(parts.writer.attempts(), 3);
            assertEquals(parts.reader.attempts(), 3, "no attempt was used up");
            assertEquals(parts.met.get(), 6);
        }
    }

    /** Three such resets in a row end the attempt, which has certainly not run: the module starts another one. */
    @Test
    public void threeResetsBeforeTheLastByteSpendOneAttempt() throws Exception {
        try (Parts parts = new Parts(connection -> connection < 3 ? Meets.RESET : Meets.SERVED)) {
            assertEquals(parts.send("id"), EVENTS);
            assertEquals(parts.writer.attempts(), 1);
            assertEquals(parts.met.get(), 4);
        }
    }

    /** Guards against a second run: a server that answers has begun to run the request, even without its last byte. */
    @Test
    public void anAnswerBeforeTheLastByteMayHaveRun() throws Exception {
        try (Parts parts = new Parts(connection -> connection == 0 ? Meets.RESET_AFTER_EVENT : Meets.SERVED)) {
            assertEquals(parts.send("id"), "data: 1\n\nbroken");
            assertEquals(parts.writer.attempts(), 0);
            assertEquals(parts.met.get(), 1);
        }
    }
}

package copperbeam.sockets;

import static copperbeam.sockets.Site.EVENTS;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import copperbeam.Api.Report;
import copperbeam.Api.ServerState;
import copperbeam.protocol.HttpCall;
import copperbeam.routing.Connector;
import copperbeam.routing.ListActor;
import copperbeam.routing.MembershipSource;
import copperbeam.routing.Metrics;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.PeerActor;
import copperbeam.routing.Recorder;
import copperbeam.routing.ReleaseActor;
import copperbeam.routing.RequestSpec;
import copperbeam.routing.ResponseSink;
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
    private enum WriterAction {
        RESET,
        RESET_AFTER_EVENT,
        SERVED
    }

    /** What the writer does with each connection; they are numbered from 0. */
    private interface Plan {
        WriterAction actionOn(int connection);
    }

    private static final class RoutingFixture implements AutoCloseable {
        final ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(1);
        final ClientReactor reactor = new ClientReactor();
        final StandIn reader = new StandIn(Site::answerAsReader);
        final StandIn writer = new StandIn(Site::answerAsWriter);
        final AtomicInteger writerConnectionCount = new AtomicInteger();
        final CountDownLatch eventForwarded = new CountDownLatch(1); // an event was forwarded to the client
        final ModuleActor module;

        RoutingFixture(Plan plan) throws Exception {
            writer.onConnect = connection -> {
                WriterAction action = plan.actionOn(writerConnectionCount.getAndIncrement());
                if (action != WriterAction.SERVED) {
                    connection.readHead();
                    if (action == WriterAction.RESET_AFTER_EVENT) {
                        connection.beginStream().sendChunk("data: 1\n\n");
                        assertTrue(eventForwarded.await(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                    }
                    connection.reset();
                }
            };
            Clock clock = Clock.systemUTC();
            Duration timeout = Duration.ofSeconds(5);
            ReleaseActor releases = new ReleaseActor(scheduler, clock, timeout);
            Metrics metrics = new Metrics(List.of("ask", "send"));
            module = new ModuleActor(scheduler, clock, Site.settings(30), 7, releases, Recorder.NONE, metrics);
            PeerActor.Setup setup = new PeerActor.Setup(
                    clock,
                    new WithholdingConnector(new ServerConnector(reactor), writer.address(), plan),
                    timeout,
                    timeout,
                    timeout,
                    module,
                    releases,
                    Recorder.NONE,
                    metrics);
            ListActor listActor = new ListActor(
                    scheduler, (id, address) -> new PeerActor(scheduler, id, address, setup), module, releases, 10);
            CountDownLatch listed = new CountDownLatch(1);
            listActor.tell(new ListActor.ListChanged(
                    new MembershipSource.Change(
                            ListKind.FULL, List.of(entry("r", reader, "prefill"), entry("w", writer, "decode"))),
                    listed::countDown));
            assertTrue(listed.await(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
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
            RecordingSink sink = new RecordingSink(eventForwarded);
            module.submit(
                    new RequestSpec(
                            id, "send", "k", null, 40, 0, 9, Instant.now().plusSeconds(8), false, call),
                    sink);
            return sink.outcome.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void close() throws IOException {
            scheduler.shutdownNow();
            reactor.close();
            reader.close();
            writer.close();
        }
    }

    private static final class RecordingSink implements ResponseSink {
        final ByteArrayOutputStream events = new ByteArrayOutputStream();
        final CompletableFuture<String> outcome = new CompletableFuture<>();
        final CountDownLatch eventForwarded;

        RecordingSink(CountDownLatch eventForwarded) {
            this.eventForwarded = eventForwarded;
        }

        @Override
        public void begin() {}

        @Override
        public boolean event(byte[] raw, Runnable drained) {
            events.writeBytes(raw);
            drained.run();
            eventForwarded.countDown();
            return true;
        }

        @Override
        public void end() {
            outcome.complete(events.toString(StandardCharsets.UTF_8));
        }

        @Override
        public void broken() {
            outcome.complete(events.toString(StandardCharsets.UTF_8) + "broken");
        }

        @Override
        public void refuse(Duration retryAfter, boolean tried) {
            outcome.complete("refused");
        }

        @Override
        public void fail(Failure reason) {
            outcome.complete("failed");
        }
    }

    /**
     * Doesn't report the hold of the last byte on connections that the writer won't serve, so that the byte is never
     * sent.
     */
    private record WithholdingConnector(
            Connector delegate, InetSocketAddress writer, Plan plan, AtomicInteger connectionCount)
            implements Connector {
        WithholdingConnector(Connector delegate, InetSocketAddress writer, Plan plan) {
            this(delegate, writer, plan, new AtomicInteger());
        }

        @Override
        public void connect(InetSocketAddress address, Duration timeout, ConnectionListener listener) {
            boolean withhold =
                    address.equals(writer) && plan.actionOn(connectionCount.getAndIncrement()) != WriterAction.SERVED;
            Map<Connection, Connection> wrappers = new ConcurrentHashMap<>();
            delegate.connect(address, timeout, new ConnectionListener() {
                @Override
                public void connected(Connection connection) {
                    wrappers.put(connection, withhold ? new WithholdingConnection(connection) : connection);
                    listener.connected(wrappers.get(connection));
                }

                @Override
                public void connectFailed() {
                    listener.connectFailed();
                }

                @Override
                public void closed(Connection connection) {
                    listener.closed(wrappers.getOrDefault(connection, connection));
                }
            });
        }
    }

    private record WithholdingConnection(Connector.Connection delegate) implements Connector.Connection {
        @Override
        public boolean isOpen() {
            return delegate.isOpen();
        }

        @Override
        public void call(Connector.Call call, Connector.CallListener listener) {
            delegate.call(call, new Connector.CallListener() {
                @Override
                public void sent() {
                    throw new AssertionError("the last byte was sent, though nobody asked for it");
                }

                @Override
                public void lastByteHeld() {}

                @Override
                public void answerClassified(Connector.AnswerKind kind, Report report) {
                    listener.answerClassified(kind, report);
                }

                @Override
                public void event(byte[] raw) {
                    listener.event(raw);
                }

                @Override
                public void end(boolean reusable, double keptTokens) {
                    listener.end(reusable, keptTokens);
                }

                @Override
                public void broken(boolean lastByteMayHaveLeft) {
                    listener.broken(lastByteMayHaveLeft);
                }
            });
        }

        @Override
        public void sendLastByte() {
            throw new AssertionError("the last byte is to be sent, though its hold was not reported");
        }

        @Override
        public void grant(int bytes) {
            delegate.grant(bytes);
        }

        @Override
        public Duration withoutProgress() {
            return delegate.withoutProgress();
        }

        @Override
        public void readOut(Runnable then) {
            delegate.readOut(then);
        }

        @Override
        public void close() {
            delegate.close();
        }

        @Override
        public void abort() {
            delegate.abort();
        }
    }

    /**
     * A connection that ends before the last byte was sent proves that nothing ran: the same attempt goes on with another
     * connection.
     */
    @Test
    public void aResetBeforeTheLastByteCostsNothing() throws Exception {
        try (RoutingFixture fixture =
                new RoutingFixture(connection -> connection % 2 == 0 ? WriterAction.RESET : WriterAction.SERVED)) {
            for (int i = 0; i < 3; i++) {
                assertEquals(fixture.send("id" + i), EVENTS);
            }
            assertEquals(fixture.writer.attempts(), 3);
            assertEquals(fixture.reader.attempts(), 3, "no attempt was used up");
            assertEquals(fixture.writerConnectionCount.get(), 6);
        }
    }

    /** Three such resets in a row end the attempt, which has certainly not run: the module starts another one. */
    @Test
    public void threeResetsBeforeTheLastByteSpendOneAttempt() throws Exception {
        try (RoutingFixture fixture =
                new RoutingFixture(connection -> connection < 3 ? WriterAction.RESET : WriterAction.SERVED)) {
            assertEquals(fixture.send("id"), EVENTS);
            assertEquals(fixture.writer.attempts(), 1);
            assertEquals(fixture.writerConnectionCount.get(), 4);
        }
    }

    /** Guards against a second run: a server that answers has begun to run the request, even without its last byte. */
    @Test
    public void anAnswerBeforeTheLastByteMayHaveRun() throws Exception {
        try (RoutingFixture fixture = new RoutingFixture(
                connection -> connection == 0 ? WriterAction.RESET_AFTER_EVENT : WriterAction.SERVED)) {
            assertEquals(fixture.send("id"), "data: 1\n\nbroken");
            assertEquals(fixture.writer.attempts(), 0);
            assertEquals(fixture.writerConnectionCount.get(), 1);
        }
    }
}

package copperbeam.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.WritableByteChannel;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.ContentEncoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.nio.SessionOutputBuffer;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * Outgoing HTTP/1.1 connections, one exchange at a time on each. Sends nothing twice: it knows no retry. What
 * comes back is bounded: heads in size and in time, chunks in size.
 */
public final class ClientReactor implements AutoCloseable {
    /** Told of one connection's life; {@code down} comes once, also for one that never came up. */
    interface Life {
        void up(IOSession session);

        void down();
    }

    /** Counts the connection, and keeps what fails in the one who is told from the reactor: an Error would end it. */
    private final class CountedLife implements Life {
        private final Life life;
        private final AtomicBoolean counted = new AtomicBoolean(true);

        CountedLife(Life life) {
            this.life = life;
            connections.incrementAndGet();
        }

        @Override
        public void up(IOSession session) {
            try {
                life.up(session);
            } catch (Error e) {
                Problems.broken(e);
                session.close(CloseMode.IMMEDIATE);
            }
        }

        @Override
        public void down() {
            if (counted.getAndSet(false)) {
                connections.decrementAndGet();
            }
            try {
                life.down();
            } catch (Error e) {
                Problems.broken(e);
            }
        }
    }

    private static final int MOST_CHUNK = 1 << 20;
    private static final int MOST_A_TURN = 64 * 1024; // bytes read from one connection; a window
    private static final int MOST_TURNS_READ_OUT = 16;
    private static final Duration HEAD_TIME = Duration.ofMillis(800); // servers write a head in one piece
    private static final Http1Config CONFIG = Http1Config.custom()
            .setBufferSize(4096)
            .setMaxLineLength(8 * 1024)
            .setMaxHeaderCount(100)
            .build();
    private static final HttpProcessor PROCESSOR = HttpProcessorBuilder.create()
            .addAll(new RequestTargetHost(), new RequestContent(), new RequestConnControl())
            .build();

    // beyond its own time, in which HttpCore ends a connect by itself while the wall clock does not step
    private static final Duration CONNECT_GRACE = Duration.ofMillis(500);

    /** {@code due}: of System.nanoTime. */
    private record Pending(Future<IOSession> connect, long due) {}

    private final DefaultConnectingIOReactor reactor;
    private final Queue<Pending> pending = new ConcurrentLinkedQueue<>();
    private final AtomicInteger connections = new AtomicInteger();
    private volatile boolean quiet;

    public ClientReactor() {
        IOReactorConfig config = IOReactorConfig.custom()
                .setIoThreadCount(1)
                .setTcpNoDelay(true)
                .setSoTimeout(Timeout.DISABLED)
                .setSelectInterval(TimeValue.ofMilliseconds(250))
                .build();
        reactor = new DefaultConnectingIOReactor(
                (session, life) -> handler(session, (Life) life),
                config,
                task -> new Thread(task, "to-servers"),
                null,
                Problems::report,
                null,
                session -> standStillIfQuiet());
        reactor.start();
    }

    static Handler handler(ProtocolIOSession session, Life life) {
        BoundedParser<HttpResponse> parser =
                new BoundedParser<>(new DefaultHttpResponseParserFactory(CONFIG).create(), false);
        return new Handler(new Duplexer(session, parser), parser, session, life);
    }

    private static final class Duplexer extends ClientHttp1StreamDuplexer {
        private final Chunks.Turn turn = new Chunks.Turn(MOST_A_TURN);
        private Chunks.Decoder chunks;
        private SessionOutputBuffer output;

        Duplexer(ProtocolIOSession session, BoundedParser<HttpResponse> parser) {
            super(
                    session,
                    PROCESSOR,
                    CONFIG,
                    BoundedParser.CODING,
                    null,
                    parser,
                    DefaultHttpRequestWriterFactory.INSTANCE.create(),
                    null,
                    null,
                    null);
        }

        @Override
        protected ContentDecoder createContentDecoder(
                long length, ReadableByteChannel channel, SessionInputBuffer buffer, BasicHttpTransportMetrics metrics)
                throws HttpException {
            if (length != ContentLengthStrategy.CHUNKED) {
                return super.createContentDecoder(length, channel, buffer, metrics);
            }
            chunks = Chunks.decoder(channel, buffer, CONFIG, metrics, MOST_CHUNK, turn);
            return chunks;
        }

        @Override
        protected ContentEncoder createContentEncoder(
                long length, WritableByteChannel channel, SessionOutputBuffer buffer, BasicHttpTransportMetrics metrics)
                throws HttpException {
            output = buffer;
            return super.createContentEncoder(length, channel, buffer, metrics);
        }

        /**
         * Small bodies and the ends of large ones go into HttpCore's buffer and from there to the system on a later
         * turn. A write that fails takes nothing out of it, and it is emptied from its front.
         */
        boolean buffered() {
            return output != null && output.hasData();
        }

        IOException late() {
            return chunks == null ? null : chunks.late();
        }
    }

    /** One connection's events; all but {@link #begin} on the reactor's thread. */
    static final class Handler extends ClientHttp1IOEventHandler {
        private final Duplexer duplexer;
        private final BoundedParser<HttpResponse> parser;
        private final ProtocolIOSession session;
        private final Life life;
        private volatile ClientExchange exchange;
        private final AtomicReference<Runnable> readOut = new AtomicReference<>();
        private Long headSince; // of System.nanoTime; null where no head is half here
        private Timeout usual;
        private boolean down;
        private boolean used; // by an earlier call

        Handler(Duplexer duplexer, BoundedParser<HttpResponse> parser, ProtocolIOSession session, Life life) {
            super(duplexer);
            this.duplexer = duplexer;
            this.parser = parser;
            this.session = session;
            this.life = life;
        }

        void begin(ClientExchange next) {
            next.on(duplexer::buffered, used);
            used = true;
            exchange = next;
        }

        /** From any thread. */
        void readOut(Runnable then) {
            readOut.set(then);
            session.setEvent(SelectionKey.OP_WRITE); // whose turn comes after that of what can be read
            if (!session.isOpen()) {
                hasReadOut();
            }
        }

        private void hasReadOut() {
            Runnable then = readOut.getAndSet(null);
            if (then != null) {
                then.run();
            }
        }

        private void readAll(IOSession open) throws IOException {
            long before = -1;
            for (int turn = 0; turn < MOST_TURNS_READ_OUT && open.isOpen() && before != received(); turn++) {
                before = received();
                inputReady(open, null);
            }
        }

        private long received() {
            return duplexer.getEndpointDetails().getReceivedBytesCount();
        }

        @Override
        public void inputReady(IOSession open, ByteBuffer bytes) throws IOException {
            duplexer.turn.begin();
            try {
                super.inputReady(open, bytes);
                if (duplexer.late() != null) {
                    throw duplexer.late();
                }
                ClientExchange current = exchange;
                if (parser.partial() && (current == null || current.ended())) {
                    unasked(open);
                }
                headTime();
            } catch (Error e) {
                throw Problems.broken(e);
            } finally {
                settle();
            }
        }

        @Override
        public void outputReady(IOSession open) throws IOException {
            if (readOut.get() != null) {
                try {
                    readAll(open);
                } finally {
                    hasReadOut();
                }
            }
            ClientExchange current = exchange;
            if (current != null && current.unwanted()) {
                exception(open, new IOException("nobody waits for this call any more"));
                return;
            }
            if (current != null && current.aboutToGo()) {
                // what the server said since the select: on a connection that it has ended the byte must stay here
                inputReady(open, null);
                if (open.isOpen() && parser.partial()) {
                    unasked(open);
                }
                if (!open.isOpen()) {
                    return;
                }
            }
            if (current != null && current.answeredEarly()) {
                open.clearEvent(SelectionKey.OP_WRITE);
                return;
            }
            try {
                super.outputReady(open);
                ClientExchange last = exchange;
                if (last != null) {
                    last.wrote();
                }
            } catch (Error e) {
                throw Problems.broken(e);
            } finally {
                settle();
            }
        }

        @Override
        public void timeout(IOSession open, Timeout timeout) throws IOException {
            if (headSince != null && !headOverdue()) {
                return; // HttpCore reckons by the wall clock, which may have stepped
            }
            try {
                super.timeout(open, timeout);
            } finally {
                settle();
            }
        }

        @Override
        public void exception(IOSession open, Exception cause) {
            super.exception(open, cause);
            settle();
        }

        @Override
        public void disconnected(IOSession closed) {
            super.disconnected(closed);
            settle();
        }

        /** Guards the next answer on a kept connection: it would be read as the rest of this, and its attempt have failed. */
        private void unasked(IOSession open) {
            exception(open, new IOException("half a head that no call has asked for"));
        }

        /** Guards against a head that does not end: its attempt would wait for as long as its client. */
        private void headTime() {
            if (!parser.partial()) {
                if (headSince != null) {
                    headSince = null;
                    session.setSocketTimeout(usual);
                }
            } else if (headSince == null) {
                headSince = System.nanoTime();
                usual = session.getSocketTimeout();
                session.setSocketTimeout(Timeout.of(HEAD_TIME));
            } else if (headOverdue()) {
                exception(session, new IOException("a head that does not end"));
            }
        }

        private boolean headOverdue() {
            return headSince != null && System.nanoTime() - headSince > HEAD_TIME.toNanos();
        }

        /**
         * Tells of what has ended only now that all input at hand is read: more than the answer makes HttpCore
         * close the connection, which must not be used again. A connection closed by a reset is not told of by
         * HttpCore, so that it is looked for here.
         */
        private void settle() {
            boolean open = session.isOpen();
            ClientExchange last = exchange;
            if (last != null && last.ended()) {
                exchange = null;
                if (last.answeredEarly()) {
                    session.close(
                            CloseMode.IMMEDIATE); // here, as the rest of the request would leave with the next turn
                    open = false;
                }
                last.settle(open && !duplexer.turn.spent());
            }
            if (!open && !down) {
                down = true;
                life.down();
                hasReadOut();
            }
        }
    }

    /**
     * For the Host header. HttpHost asks the system for an address's name where it is given none; on a platform
     * without DNS that holds up the reactor, and with it every call out, until the look-up times out.
     */
    static HttpHost host(InetSocketAddress to) {
        return new HttpHost(null, to.getAddress(), to.getHostString(), to.getPort());
    }

    /** Connections that are open or being opened. */
    int connections() {
        return connections.get();
    }

    void connect(InetSocketAddress to, Duration timeout, Life told) {
        NamedEndpoint endpoint = new NamedEndpoint() {
            @Override
            public String getHostName() {
                return to.getHostString();
            }

            @Override
            public int getPort() {
                return to.getPort();
            }
        };
        Life life = new CountedLife(told);
        Future<IOSession> connect =
                reactor.connect(endpoint, to, null, Timeout.of(timeout), life, new FutureCallback<>() {
                    @Override
                    public void completed(IOSession session) {
                        life.up(session);
                    }

                    @Override
                    public void failed(Exception e) {
                        life.down();
                    }

                    @Override
                    public void cancelled() {
                        life.down();
                    }
                });
        pending.add(new Pending(
                connect, System.nanoTime() + timeout.plus(CONNECT_GRACE).toNanos()));
    }

    /**
     * To be called now and then: ends connects whose time is over. Guards the descriptors after a step back of the wall clock, by
     * which HttpCore reckons: each connect to a machine that is gone would hold one until the system gives it up, in minutes.
     */
    public void cancelOverdue() {
        long now = System.nanoTime();
        pending.removeIf(p -> {
            boolean overdue = p.due - now < 0;
            if (overdue) {
                p.connect.cancel(true);
            }
            return overdue || p.connect.isDone();
        });
    }

    static void execute(IOSession session, ClientExchange exchange) {
        ((Handler) session.getHandler()).begin(exchange);
        session.enqueue(new RequestExecutionCommand(exchange, HttpCoreContext.create()), Command.Priority.NORMAL);
    }

    /** Runs {@code then} once what has come on this connection by now was read, or the connection has closed. */
    static void readOut(IOSession session, Runnable then) {
        ((Handler) session.getHandler()).readOut(then);
    }

    /**
     * The last before the process's end, where nobody connects any more: its thread leaves the system's calls, in which the JVM's
     * end would wait for it. What is connected stays so until the system closes it with the process, not by a reset, which
     * would throw away what the system has still to send.
     */
    public void quiesce() {
        quiet = true;
        // first, as nothing else wakes the thread: what is only being connected gives it nothing to stand still at
        pending.forEach(p -> p.connect.cancel(true));
        reactor.initiateShutdown();
    }

    /** Has the reactor's thread wait for the end, at the first connection that HttpCore would have ended. */
    private void standStillIfQuiet() {
        try {
            if (quiet) {
                new CountDownLatch(1).await();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // it is closed, which ends the thread
        }
    }

    @Override
    public void close() throws IOException {
        reactor.close(CloseMode.IMMEDIATE);
    }
}

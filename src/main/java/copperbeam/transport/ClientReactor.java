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
 * Opens outgoing HTTP/1.1 connections and runs one exchange at a time on each. Never sends a request twice, as it doesn't
 * retry. Responses are bounded: heads in size and time, chunks in size.
 */
public final class ClientReactor implements AutoCloseable {
    /** Notified about one connection; {@code closed} is called once, also if the connection was never established. */
    interface Life {
        void up(IOSession session);

        void down();
    }

    /** Counts the connection, and keeps Errors of the wrapped listener from the reactor's thread, which they would end. */
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
    private static final int MOST_A_TURN = 64 * 1024; // per connection; the size of one receive window
    private static final int MOST_TURNS_READ_OUT = 16; // of MAX_READ_BYTES_PER_TURN each, before the task of runAfterReading runs
    private static final Duration HEAD_TIME = Duration.ofMillis(800); // from a head's first byte to its last; servers send it in one piece
    private static final Http1Config CONFIG = Http1Config.custom()
            .setBufferSize(4096)
            .setMaxLineLength(8 * 1024)
            .setMaxHeaderCount(100)
            .build();
    private static final HttpProcessor PROCESSOR = HttpProcessorBuilder.create()
            .addAll(new RequestTargetHost(), new RequestContent(), new RequestConnControl())
            .build();

    // How long after its timeout a connect is cancelled here. HttpCore ends it at its timeout unless the clock steps.
    private static final Duration CONNECT_GRACE = Duration.ofMillis(500);

    /** A connect under way. {@code deadlineNanos}: on the clock of System.nanoTime. */
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
         * Whether HttpCore still buffers output. It buffers small bodies and the ends of large ones, and writes them to the
         * socket on a later turn. The buffer is emptied from its front, and a failed write removes nothing from it.
         */
        boolean buffered() {
            return output != null && output.hasData();
        }

        IOException late() {
            return chunks == null ? null : chunks.late();
        }
    }

    /**
     * Handles one connection's events on the reactor's thread. Only {@link #startExchange} and {@link #runAfterReading} are
     * called from other threads.
     */
    static final class Handler extends ClientHttp1IOEventHandler {
        private final Duplexer duplexer;
        private final BoundedParser<HttpResponse> parser;
        private final ProtocolIOSession session;
        private final Life life;
        private volatile ClientExchange exchange;
        private final AtomicReference<Runnable> readOut = new AtomicReference<>();
        private Long headSince; // System.nanoTime when a partial head was first seen; null if there is none
        private Timeout usual;
        private boolean down;
        private boolean used; // the connection has carried a call before

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

        /** Runs the task as {@link ClientReactor#runAfterReading} says; callable from any thread. */
        void readOut(Runnable then) {
            readOut.set(then);
            session.setEvent(SelectionKey.OP_WRITE); // the reactor handles it after pending input
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
                exception(open, new IOException("the last byte of the request may no longer be sent"));
                return;
            }
            if (current != null && current.aboutToGo()) {
                // Reads what has arrived since the select: if the server has closed the connection, the byte must stay.
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
                return; // HttpCore uses the wall clock, which may have stepped
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

        /**
         * Closes a connection on which a partial head arrived while no response is due. The next response on it would be read
         * as the rest of that head, and its attempt would fail.
         */
        private void unasked(IOSession open) {
            exception(open, new IOException("partial response head without a request"));
        }

        /** Enforces the time limit on a response head. Without it an attempt would wait until its client gives up. */
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
                exception(session, new IOException("response head not complete in time"));
            }
        }

        private boolean headOverdue() {
            return headSince != null && System.nanoTime() - headSince > HEAD_TIME.toNanos();
        }

        /**
         * Reports an exchange or a connection that has ended. Called only after all available input was read, because HttpCore
         * closes the connection if anything follows the response, and such a connection must not be used again. HttpCore
         * doesn't report a connection that was closed by a reset, so this is checked here.
         */
        private void settle() {
            boolean open = session.isOpen();
            ClientExchange last = exchange;
            if (last != null && last.ended()) {
                exchange = null;
                if (last.answeredEarly()) {
                    session.close(
                            CloseMode.IMMEDIATE); // now, as the next turn would send the rest of the request
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
     * Returns the value of the Host header. The host name is passed explicitly because HttpHost would otherwise do a reverse
     * DNS lookup, which on a platform without DNS blocks the reactor, and all outgoing calls, until it times out.
     */
    static HttpHost host(InetSocketAddress to) {
        return new HttpHost(null, to.getAddress(), to.getHostString(), to.getPort());
    }

    /** Number of connections that are open or being opened. */
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
     * Cancels connects that are past their deadline; to be called periodically. HttpCore measures connect timeouts by the wall
     * clock. After that clock has stepped back, each connect to an unreachable machine would hold a file descriptor for
     * minutes, until the operating system gives up.
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

    /** Runs {@code task} once everything received on this connection by now was read, or the connection has closed. */
    static void readOut(IOSession session, Runnable then) {
        ((Handler) session.getHandler()).readOut(then);
    }

    /**
     * Prepares for the exit of the process; no connect may follow. Takes the reactor's thread out of system calls, in which
     * the JVM would wait for it at exit. Connections stay open until the operating system closes them with the process. They
     * aren't reset, because a reset discards data that the kernel has yet to send.
     */
    public void quiesce() {
        quiet = true;
        // First cancels connects: they are no sessions, at whose close the thread would block, and nothing else wakes it.
        pending.forEach(p -> p.connect.cancel(true));
        reactor.initiateShutdown();
    }

    /** Called before HttpCore closes a session on shutdown; when quiescing, blocks the reactor's thread until the exit. */
    private void standStillIfQuiet() {
        try {
            if (quiet) {
                new CountDownLatch(1).await();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // by close(), which ends the thread
        }
    }

    @Override
    public void close() throws IOException {
        reactor.close(CloseMode.IMMEDIATE);
    }
}

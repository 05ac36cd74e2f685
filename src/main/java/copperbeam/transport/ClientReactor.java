package copperbeam.transport;

import copperbeam.protocol.AnswerProgress;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.WritableByteChannel;
import java.time.Duration;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
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
import org.apache.hc.core5.reactor.IOReactorShutdownException;
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
    interface SessionListener {
        void opened(IOSession session);

        void closed();

        /** The limits on responses on this connection. */
        default ResponseLimits limits() {
            return ResponseLimits.OF_SERVERS;
        }
    }

    /** Counts the connection, and keeps Errors of the wrapped listener from the reactor's thread, which they would end. */
    private static final class CountingListener implements SessionListener {
        private final SessionListener listener;
        private final ActiveReactor reactor;
        private final AtomicBoolean counted = new AtomicBoolean(true);
        private volatile IOSession openSession;

        CountingListener(SessionListener listener, ActiveReactor reactor) {
            this.listener = listener;
            this.reactor = reactor;
            reactor.connectionCount.incrementAndGet();
        }

        @Override
        public void opened(IOSession session) {
            openSession = session;
            reactor.openSessions.add(session);
            try {
                listener.opened(session);
            } catch (Error e) {
                ReactorErrors.logAndWrap(e);
                session.close(CloseMode.IMMEDIATE);
            }
        }

        @Override
        public ResponseLimits limits() {
            return listener.limits();
        }

        @Override
        public void closed() {
            if (counted.getAndSet(false)) {
                reactor.connectionCount.decrementAndGet();
            }
            if (openSession != null) {
                reactor.openSessions.remove(openSession);
            }
            try {
                listener.closed();
            } catch (Error e) {
                ReactorErrors.logAndWrap(e);
            }
        }
    }

    private static final int BUFFER_BYTES = 4096;
    private static final int MAX_READ_BYTES_PER_TURN = BUFFER_BYTES; // per connection; exceeds the window at most
    private static final int MAX_TURNS_TO_READ_ALL =
            64; // of MAX_READ_BYTES_PER_TURN each, before the task of runAfterReading runs
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024; // of the kernel, for each connection
    private static final Http1Config CONFIG = Http1Config.custom()
            .setBufferSize(BUFFER_BYTES)
            .setInitialWindowSize(ClientExchange.WINDOW_BYTES)
            .setMaxLineLength(8 * 1024)
            .setMaxHeaderCount(100)
            .build();
    private static final HttpProcessor PROCESSOR = HttpProcessorBuilder.create()
            .addAll(new RequestTargetHost(), new RequestContent(), new RequestConnControl())
            .build();

    // How long after its timeout a connect is cancelled here. HttpCore ends it at its timeout unless the clock steps.
    private static final Duration CONNECT_CANCEL_DELAY = Duration.ofMillis(500);

    private record Endpoint(InetSocketAddress address) implements NamedEndpoint {
        @Override
        public String getHostName() {
            return address.getHostString();
        }

        @Override
        public int getPort() {
            return address.getPort();
        }
    }

    private static final InetSocketAddress UNRESOLVED_ADDRESS = InetSocketAddress.createUnresolved("nowhere", 1);

    /** A connect under way. {@code deadlineNanos}: on the clock of System.nanoTime. */
    private record PendingConnect(Future<IOSession> future, long deadlineNanos) {}

    /**
     * A reactor, the number of its connections and those that are established; what a reactor that has ended did not report as closed
     * is not counted.
     */
    private record ActiveReactor(
            DefaultConnectingIOReactor reactor, AtomicInteger connectionCount, Set<IOSession> openSessions) {}

    private volatile ActiveReactor active;
    private final Queue<PendingConnect> pendingConnects = new ConcurrentLinkedQueue<>();
    private volatile boolean quiescing;
    private volatile boolean closing;

    public ClientReactor() {
        active = startReactor();
    }

    private ActiveReactor startReactor() {
        IOReactorConfig config = IOReactorConfig.custom()
                .setIoThreadCount(1)
                .setTcpNoDelay(true)
                .setRcvBufSize(RECEIVE_BUFFER_BYTES)
                .setSoTimeout(Timeout.DISABLED)
                .setSelectInterval(TimeValue.ofMilliseconds(250))
                .build();
        ReactorThreads threads = new ReactorThreads(() -> closing || quiescing, () -> active = startReactor());
        DefaultConnectingIOReactor reactor = new DefaultConnectingIOReactor(
                (session, listener) -> newHandler(session, (SessionListener) listener),
                config,
                threads.named("to-servers"),
                null,
                ReactorErrors::report,
                null,
                session -> blockIfQuiescing());
        reactor.start();
        return new ActiveReactor(reactor, new AtomicInteger(), ConcurrentHashMap.newKeySet());
    }

    static Handler newHandler(ProtocolIOSession session, SessionListener listener) {
        BoundedParser<HttpResponse> parser =
                new BoundedParser<>(new DefaultHttpResponseParserFactory(CONFIG).create(), false);
        ResponseLimits limits = listener.limits();
        return new Handler(new Duplexer(session, parser, limits), parser, session, listener, limits);
    }

    private static final class Duplexer extends ClientHttp1StreamDuplexer {
        private final Chunks.ReadBudget readBudget = new Chunks.ReadBudget(MAX_READ_BYTES_PER_TURN);
        private final ResponseLimits limits;
        private Chunks.Decoder chunkDecoder;
        private SessionOutputBuffer outputBuffer;
        private volatile ClientExchange exchange; // the current one; null before the first

        Duplexer(ProtocolIOSession session, BoundedParser<HttpResponse> parser, ResponseLimits limits) {
            super(
                    session,
                    PROCESSOR,
                    CONFIG,
                    BoundedParser.HEAD_CODING,
                    null,
                    parser,
                    DefaultHttpRequestWriterFactory.INSTANCE.create(),
                    null,
                    null,
                    null);
            this.limits = limits;
        }

        @Override
        protected ContentDecoder createContentDecoder(
                long length, ReadableByteChannel channel, SessionInputBuffer buffer, BasicHttpTransportMetrics metrics)
                throws HttpException {
            if (length != ContentLengthStrategy.CHUNKED) {
                return super.createContentDecoder(length, channel, buffer, metrics);
            }
            chunkDecoder = Chunks.decoder(
                    channel,
                    buffer,
                    CONFIG,
                    metrics,
                    limits.maxChunkBytes(),
                    Chunks.UNLIMITED_FRAMING,
                    readBudget,
                    this::framingRead);
            return chunkDecoder;
        }

        @Override
        protected ContentEncoder createContentEncoder(
                long length, WritableByteChannel channel, SessionOutputBuffer buffer, BasicHttpTransportMetrics metrics)
                throws HttpException {
            outputBuffer = buffer;
            return super.createContentEncoder(length, channel, buffer, metrics);
        }

        /**
         * Whether HttpCore still buffers output. It buffers small bodies and the ends of large ones, and writes them to the
         * socket on a later turn. The buffer is emptied from its front, and a failed write removes nothing from it.
         */
        boolean hasBufferedOutput() {
            return outputBuffer != null && outputBuffer.hasData();
        }

        private void framingRead(AnswerProgress.Part part) {
            exchange.progress().received(part, System.nanoTime());
        }

        IOException deferredError() {
            return chunkDecoder == null ? null : chunkDecoder.deferredError();
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
        private final SessionListener listener;
        private final Duration headTimeout;
        private volatile ClientExchange exchange;
        private final AtomicReference<Runnable> afterReading = new AtomicReference<>();
        private final Queue<Runnable> outputTasks = new ConcurrentLinkedQueue<>();
        private Long headProgressNanos; // System.nanoTime when a partial head last grew; null if there is none
        private long headProgressBytes; // receivedBytes() at that time
        private Timeout usualTimeout;
        private boolean closeReported;
        private boolean reused; // the connection has carried a call before

        Handler(
                Duplexer duplexer,
                BoundedParser<HttpResponse> parser,
                ProtocolIOSession session,
                SessionListener listener,
                ResponseLimits limits) {
            super(duplexer);
            this.duplexer = duplexer;
            this.parser = parser;
            this.session = session;
            this.listener = listener;
            headTimeout = limits.headTimeout();
        }

        void startExchange(ClientExchange next) {
            next.attach(duplexer::hasBufferedOutput, reused);
            reused = true;
            duplexer.exchange = next;
            exchange = next;
        }

        /** Runs the task as {@link ClientReactor#runAfterReading} says; callable from any thread. */
        void runAfterReading(Runnable task) {
            afterReading.set(task);
            session.setEvent(SelectionKey.OP_WRITE); // the reactor handles it after pending input
            if (!session.isOpen()) {
                runAfterReadingTask();
            }
        }

        /** Runs the task when the connection is next found writable, or has closed; callable from any thread. */
        void runAtOutput(Runnable task) {
            outputTasks.add(task);
            session.setEvent(SelectionKey.OP_WRITE);
            if (!session.isOpen()) {
                runOutputTasks();
            }
        }

        private void runOutputTasks() {
            for (int tasksLeft = outputTasks.size(); tasksLeft > 0; tasksLeft--) {
                Runnable task = outputTasks.poll();
                if (task != null) {
                    task.run();
                }
            }
        }

        private void runAfterReadingTask() {
            Runnable task = afterReading.getAndSet(null);
            if (task != null) {
                task.run();
            }
        }

        private void readAvailable(IOSession ioSession) throws IOException {
            long bytesBefore = -1;
            for (int turn = 0;
                    turn < MAX_TURNS_TO_READ_ALL && ioSession.isOpen() && bytesBefore != receivedBytes();
                    turn++) {
                bytesBefore = receivedBytes();
                inputReady(ioSession, null);
            }
        }

        private long receivedBytes() {
            return duplexer.getEndpointDetails().getReceivedBytesCount();
        }

        @Override
        public void inputReady(IOSession ioSession, ByteBuffer bytes) throws IOException {
            duplexer.readBudget.reset();
            try {
                long bytesBefore = receivedBytes();
                super.inputReady(ioSession, bytes);
                if (duplexer.deferredError() != null) {
                    throw duplexer.deferredError();
                }
                ClientExchange current = exchange;
                if (current != null && receivedBytes() != bytesBefore) {
                    current.bytesRead();
                }
                if (parser.isPartial() && (current == null || current.isEnded())) {
                    failUnsolicitedHead(ioSession);
                }
                checkHeadTimeout();
            } catch (Error e) {
                throw ReactorErrors.logAndWrap(e);
            } finally {
                reportEnded();
            }
        }

        @Override
        public void outputReady(IOSession ioSession) throws IOException {
            try {
                writeOutput(ioSession);
            } finally {
                runOutputTasks(); // last, as HttpCore stops waiting for output once it has none
            }
        }

        private void writeOutput(IOSession ioSession) throws IOException {
            if (afterReading.get() != null) {
                try {
                    readAvailable(ioSession);
                } finally {
                    runAfterReadingTask();
                }
            }
            ClientExchange current = exchange;
            if (current != null && current.mustWithholdLastByte()) {
                exception(ioSession, new IOException("the last byte of the request may no longer be sent"));
                return;
            }
            if (current != null && current.isHeldByteNext()) {
                // Reads what has arrived since the select: if the server has closed the connection, the held byte must
                // not be sent.
                inputReady(ioSession, null);
                if (ioSession.isOpen() && parser.isPartial()) {
                    failUnsolicitedHead(ioSession);
                }
                if (!ioSession.isOpen()) {
                    return;
                }
            }
            if (current != null && current.answeredEarly()) {
                ioSession.clearEvent(SelectionKey.OP_WRITE);
                return;
            }
            try {
                super.outputReady(ioSession);
                ClientExchange last = exchange;
                if (last != null) {
                    last.afterOutput();
                }
            } catch (Error e) {
                throw ReactorErrors.logAndWrap(e);
            } finally {
                reportEnded();
            }
        }

        @Override
        public void timeout(IOSession ioSession, Timeout timeout) throws IOException {
            if (headProgressNanos != null && !isHeadOverdue()) {
                return; // HttpCore uses the wall clock, which may have stepped
            }
            try {
                super.timeout(ioSession, timeout);
            } catch (Error e) {
                throw ReactorErrors.logAndWrap(e);
            } finally {
                reportEnded();
            }
        }

        @Override
        public void exception(IOSession ioSession, Exception cause) {
            ReactorErrors.contain(ioSession, () -> super.exception(ioSession, cause));
            ReactorErrors.contain(ioSession, this::reportEnded);
        }

        @Override
        public void disconnected(IOSession ioSession) {
            ReactorErrors.contain(ioSession, () -> super.disconnected(ioSession));
            ReactorErrors.contain(ioSession, this::reportEnded);
        }

        /**
         * Closes a connection on which a partial head arrived while no response is due. The next response on it would be read
         * as the rest of that head, and its attempt would fail.
         */
        private void failUnsolicitedHead(IOSession ioSession) {
            exception(ioSession, new IOException("partial response head without a request"));
        }

        /**
         * Enforces the time limit on pauses within a response head. Without it an attempt would wait until its client gives up. A head
         * that comes slowly is limited by its attempt's own time.
         */
        private void checkHeadTimeout() {
            if (!parser.isPartial()) {
                if (headProgressNanos != null) {
                    headProgressNanos = null;
                    session.setSocketTimeout(usualTimeout);
                }
            } else if (headProgressNanos == null) {
                noteHeadProgress();
                usualTimeout = session.getSocketTimeout();
                session.setSocketTimeout(Timeout.of(headTimeout));
            } else if (headProgressBytes != receivedBytes()) {
                noteHeadProgress();
            } else if (isHeadOverdue()) {
                exception(session, new IOException("response head not complete in time"));
            }
        }

        private void noteHeadProgress() {
            headProgressNanos = System.nanoTime();
            headProgressBytes = receivedBytes();
        }

        private boolean isHeadOverdue() {
            return headProgressNanos != null && System.nanoTime() - headProgressNanos > headTimeout.toNanos();
        }

        /**
         * Reports an exchange or a connection that has ended. Called only after all available input was read, because HttpCore
         * closes the connection if anything follows the response, and such a connection must not be used again. HttpCore
         * doesn't report a connection that was closed by a reset, so this is checked here.
         */
        private void reportEnded() {
            boolean connectionOpen = session.isOpen();
            ClientExchange last = exchange;
            if (last != null && last.isEnded()) {
                exchange = null;
                if (last.answeredEarly()) {
                    session.close(CloseMode.IMMEDIATE); // now, as the next turn would send the rest of the request
                    connectionOpen = false;
                }
                last.reportCompletion(connectionOpen && !duplexer.readBudget.isSpent());
            }
            if (!connectionOpen && !closeReported) {
                closeReported = true;
                listener.closed();
                runAfterReadingTask();
                runOutputTasks();
            }
        }
    }

    /**
     * Returns the value of the Host header. The host name is passed explicitly because HttpHost would otherwise do a reverse
     * DNS lookup, which on a platform without DNS blocks the reactor, and all outgoing calls, until it times out.
     */
    static HttpHost httpHost(InetSocketAddress address) {
        return new HttpHost(null, address.getAddress(), address.getHostString(), address.getPort());
    }

    /** Number of connections that are open or being opened. */
    int connectionCount() {
        return active.connectionCount.get();
    }

    void connect(InetSocketAddress address, Duration timeout, SessionListener listener) {
        ActiveReactor target = active;
        SessionListener countingListener = new CountingListener(listener, target);
        Future<IOSession> future;
        try {
            future = target.reactor.connect(
                    new Endpoint(address),
                    address,
                    null,
                    Timeout.of(timeout),
                    countingListener,
                    new FutureCallback<>() {
                        @Override
                        public void completed(IOSession session) {
                            countingListener.opened(session);
                        }

                        @Override
                        public void failed(Exception e) {
                            countingListener.closed();
                        }

                        @Override
                        public void cancelled() {
                            countingListener.closed();
                        }
                    });
        } catch (IOReactorShutdownException e) { // until the replacement of a reactor that has ended is there
            countingListener.closed();
            return;
        }
        pendingConnects.add(new PendingConnect(
                future, System.nanoTime() + timeout.plus(CONNECT_CANCEL_DELAY).toNanos()));
    }

    /**
     * Cancels connects that are past their deadline; to be called periodically. HttpCore measures connect timeouts by the wall
     * clock. After that clock has stepped back, each connect to an unreachable machine would hold a file descriptor for
     * minutes, until the operating system gives up.
     */
    public void cancelOverdue() {
        long now = System.nanoTime();
        pendingConnects.removeIf(pendingConnect -> {
            boolean overdue = pendingConnect.deadlineNanos - now < 0;
            if (overdue) {
                pendingConnect.future.cancel(true);
            }
            return overdue || pendingConnect.future.isDone();
        });
    }

    /**
     * Runs the task on the reactor's thread, once the connections that are established by now were passed to their listeners. A
     * connect that is asked for by now begins in the turn under way, and the turn after it passes on what has come of it.
     */
    void afterConnects(Runnable task) {
        Optional<IOSession> writable =
                active.openSessions.stream().filter(ClientReactor::hasNoOutput).findAny();
        if (writable.isPresent()) {
            Handler handler = (Handler) writable.get().getHandler();
            handler.runAtOutput(() -> handler.runAtOutput(() -> atEndOfTurn(task)));
        } else {
            atEndOfTurn(task);
        }
    }

    /** Whether the session becomes writable at once; others may wait for their peers. */
    private static boolean hasNoOutput(IOSession session) {
        try {
            return session.isOpen() && (session.getEventMask() & SelectionKey.OP_WRITE) == 0;
        } catch (CancelledKeyException e) {
            return false; // closed meanwhile
        }
    }

    /** HttpCore takes no tasks, but at the end of a turn it begins connects, and one to an unresolved address fails just then. */
    private void atEndOfTurn(Runnable task) {
        try {
            active.reactor.connect(
                    new Endpoint(UNRESOLVED_ADDRESS),
                    UNRESOLVED_ADDRESS,
                    null,
                    Timeout.DISABLED,
                    null,
                    new FutureCallback<>() {
                        @Override
                        public void completed(IOSession session) {
                            task.run();
                        }

                        @Override
                        public void failed(Exception e) {
                            task.run();
                        }

                        @Override
                        public void cancelled() {
                            task.run();
                        }
                    });
        } catch (IOReactorShutdownException e) {
            task.run();
        }
    }

    static void execute(IOSession session, ClientExchange exchange) {
        ((Handler) session.getHandler()).startExchange(exchange);
        session.enqueue(new RequestExecutionCommand(exchange, HttpCoreContext.create()), Command.Priority.NORMAL);
    }

    /** Runs {@code task} once everything received on this connection by now was read, or the connection has closed. */
    static void runAfterReading(IOSession session, Runnable task) {
        ((Handler) session.getHandler()).runAfterReading(task);
    }

    /**
     * Prepares for the exit of the process; no connect may follow. Takes the reactor's thread out of system calls, in which
     * the JVM would wait for it at exit. Connections stay open until the operating system closes them with the process. They
     * aren't reset, because a reset discards data that the kernel has yet to send.
     */
    public void quiesce() {
        quiescing = true; // also keeps a replacement from being started
        // Connects are cancelled first: blockIfQuiescing() is called for sessions only, and a pending connect would
        // keep the thread in its select, from which nothing else would wake it.
        pendingConnects.forEach(p -> p.future.cancel(true));
        active.reactor.initiateShutdown();
    }

    /** Called before HttpCore closes a session on shutdown; when quiescing, blocks the reactor's thread until the exit. */
    private void blockIfQuiescing() {
        try {
            if (quiescing) {
                new CountDownLatch(1).await();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // by close(), which ends the thread
        }
    }

    @Override
    public void close() throws IOException {
        closing = true;
        active.reactor.close(CloseMode.IMMEDIATE);
    }
}

package copperbeam.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
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
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
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

    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024; // of the kernel, for each connection

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

    static ResponseHandler newHandler(ProtocolIOSession session, SessionListener listener) {
        BoundedParser<HttpResponse> parser =
                new BoundedParser<>(new DefaultHttpResponseParserFactory(ResponseDuplexer.CONFIG).create(), false);
        ResponseLimits limits = listener.limits();
        return new ResponseHandler(new ResponseDuplexer(session, parser, limits), parser, session, listener, limits);
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
            ResponseHandler handler = (ResponseHandler) writable.get().getHandler();
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
        ((ResponseHandler) session.getHandler()).startExchange(exchange);
        session.enqueue(new RequestExecutionCommand(exchange, HttpCoreContext.create()), Command.Priority.NORMAL);
    }

    /** Runs {@code task} once everything received on this connection by now was read, or the connection has closed. */
    static void runAfterReading(IOSession session, Runnable task) {
        ((ResponseHandler) session.getHandler()).runAfterReading(task);
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

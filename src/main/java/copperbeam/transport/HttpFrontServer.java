package copperbeam.transport;

import copperbeam.protocol.Front;
import copperbeam.protocol.HttpCall;
import copperbeam.protocol.HttpReply;
import copperbeam.routing.RequestLog;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Logger;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorStatus;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** Listens on one address and hands each request to a front. */
public final class HttpFrontServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(HttpFrontServer.class.getName());
    private static final Duration REQUEST_READ_TIMEOUT =
            Duration.ofMillis(2400); // from a request's first byte to its last
    private static final Duration FIRST_BYTE_TIMEOUT = Duration.ofMillis(2400); // from accept to a client's first byte
    private static final Duration MIN_IDLE_BEFORE_CLOSE =
            Duration.ofMillis(50); // a client idle for less may have a request on its way
    /** Time without write progress after which a client counts as not reading what is left of its answer. */
    private static final Duration MAX_UNREAD_TIME = Duration.ofMinutes(1);
    /** The same for a stream that was cut, of which nothing more is owed than what was written before. */
    private static final Duration MAX_UNREAD_TIME_AFTER_CUT = Duration.ofSeconds(1);

    private static final Duration LINGER_TIMEOUT =
            Duration.ofSeconds(1); // without input, after the last answer of a connection
    private static final Duration MAX_LINGER_TIME =
            Duration.ofSeconds(10); // for the input that its client still sends, as a close would reset the answer
    private static final Duration MAX_LINGER_TIME_OF_FLOOD = Duration.ofMillis(100);
    /** Interval at which connections without I/O events are checked for timeouts. */
    public static final Duration TICK = Duration.ofMillis(200);

    private static final int MAX_PENDING_CONNECTIONS =
            16; // accepted connections that the reactor has not registered yet
    private static final int BUFFER_BYTES = 4096;
    private static final int MAX_DISCARD_READS_PER_EVENT =
            4; // of discarded input, as other connections wait for the reactor
    private static final int MAX_DISCARDED_BYTES = 4 << 20; // of one connection, after a rejected request
    /** Limit on the bytes read from one connection in one turn of the reactor, as other connections wait for it. */
    static final int MAX_READ_BYTES_PER_TURN = 4 * BUFFER_BYTES;

    private static final int MAX_READS_PER_TURN = 8; // of one connection; each reads a buffer at most, or chunks

    /**
     * Limit on the bytes that a client may send behind a complete request without an answer. Its close can be noticed only behind
     * them, so that they must be read quickly.
     */
    private static final int MAX_BYTES_BEHIND_REQUEST = 64 * 1024;

    static final Http1Config HTTP1_CONFIG = Http1Config.custom()
            .setBufferSize(BUFFER_BYTES)
            .setMaxLineLength(8 * 1024)
            .setMaxHeaderCount(100)
            .build();

    private final ClientConnections allClients;
    private final Front front;
    private final Observer observer;
    private final Clock clock;
    private final AtomicBoolean closing = new AtomicBoolean();
    private volatile ActiveReactor active;
    private volatile boolean draining;
    private volatile boolean closingIdle;
    private volatile boolean readingPaused;
    private final AtomicInteger activeReads =
            new AtomicInteger(); // reactor threads that read from a client, or are about to check whether they may
    private volatile Acceptor acceptor; // null until it listens
    private final ReactorTimers timers = new ReactorTimers();
    private final RequestLog requestLog;

    /** A reactor, and the number of connections handed to it but not registered yet; these are lost if it ends. */
    private record ActiveReactor(DefaultListeningIOReactor reactor, AtomicInteger pendingConnections) {}

    /** Why a client's connection was closed here. */
    public enum CloseReason {
        /** A request was not complete in time. */
        SLOW_REQUEST,
        /** Its last answer was sent. */
        ANSWERED,
        /** The client reads no more of its answer. */
        UNREAD,
        /** The client never sent a byte. */
        SILENT,
        /** It was idle, and its descriptor was needed or the process is about to end. */
        IDLE,
        /** The client closed its sending side while a request was open. */
        CLIENT_ENDED,
        /** The client sent too many bytes after a request that is open or was rejected. */
        TOO_MUCH,
        /** The client reads its answer too slowly: too much of it would wait in memory. */
        SLOW_READER,
        /** The stream from the server broke. */
        BROKEN_STREAM,
        /** The head of an answer could not be written. */
        FAILED_ANSWER
    }

    /** Notified of events that the front does not see. */
    public interface Observer {
        /** A request was rejected before a front saw it. {@code requestClass}: its X-Priority-Class header, or null. */
        void requestRejected(String requestClass, int status);

        /** A client's connection was closed. */
        default void connectionClosed(CloseReason reason) {}
    }

    public HttpFrontServer(Front front, Clock clock, ClientConnections allClients, Observer observer) {
        this.front = front;
        this.observer = observer;
        this.clock = clock;
        this.allClients = allClients;
        requestLog = new RequestLog(clock);
        active = startReactor();
    }

    private ActiveReactor startReactor() {
        IOReactorConfig config = IOReactorConfig.custom()
                .setIoThreadCount(1)
                .setTcpNoDelay(true)
                .setSoTimeout(Timeout.of(TICK))
                .setSelectInterval(TimeValue.of(TICK))
                .build();
        ReactorThreads threads = new ReactorThreads(closing::get, this::replaceReactor);
        AtomicInteger pendingConnections = new AtomicInteger();
        DefaultListeningIOReactor reactor = new DefaultListeningIOReactor(
                (session, attachment) -> newHandler(session, (Instant) attachment, pendingConnections),
                config,
                threads.named("from-clients"),
                threads.named("unused"),
                null,
                ReactorErrors::report,
                null,
                null);
        reactor.start();
        return new ActiveReactor(reactor, pendingConnections);
    }

    /**
     * Starts a replacement for a reactor that has ended, as it may when the process runs out of descriptors for a moment;
     * without a replacement no client would be served again.
     */
    private void replaceReactor() {
        active.reactor().initiateShutdown(); // its open connections continue until they close
        active = startReactor();
    }

    /**
     * Whether the acceptor may accept one more connection. Limits the connections that wait for the reactor to
     * {@code MAX_PENDING_CONNECTIONS}, and all connections of clients as {@link ClientConnections} says. Without an active reactor
     * none may be accepted, as nobody would serve it.
     */
    private boolean canAccept() {
        ActiveReactor target = active;
        int pending = target.pendingConnections().get();
        return target.reactor().getStatus() == IOReactorStatus.ACTIVE
                && pending < MAX_PENDING_CONNECTIONS
                && allClients.mayAccept(pending, clock.instant());
    }

    private void handOver(SocketChannel channel, Instant queuedSince) {
        ActiveReactor target = active;
        target.pendingConnections().incrementAndGet();
        if (!Acceptor.ReactorHandover.handOver(target.reactor(), channel, queuedSince)) {
            target.pendingConnections()
                    .decrementAndGet(); // else MAX_PENDING_CONNECTIONS failures would block accepting for good
        }
    }

    private IOEventHandler newHandler(
            ProtocolIOSession session, Instant queuedSince, AtomicInteger pendingConnections) {
        ClientConnections.Client client = allClients.register(session, clock.instant());
        client.queuedSince = queuedSince;
        pendingConnections.decrementAndGet(); // only after register(): a stop must see it in one of the two counts
        RequestParser parser = new RequestParser(HTTP1_CONFIG);
        return new ConnectionHandler(
                new RequestDuplexer(session, parser, client, (request, context) -> newExchange(client)),
                parser,
                session,
                client);
    }

    private ServerExchange newExchange(ClientConnections.Client client) {
        return new ServerExchange(
                client,
                allClients,
                client.overLimit || !allClients.mayBeginRequest() ? this::refuseOverload : front,
                clock,
                () -> draining,
                observer::requestRejected,
                this::closeClient,
                requestLog);
    }

    private void closeClient(ClientConnections.Client client, CloseReason reason) {
        close(client, client.session, CloseMode.GRACEFUL, reason);
    }

    /** {@code connection}: not always the client's session, whose close has no effect after the client's half-close. */
    private void close(ClientConnections.Client client, IOSession connection, CloseMode mode, CloseReason reason) {
        if (client.closeReason == null) {
            client.closeReason = reason;
            observer.connectionClosed(reason);
            if (connection.isOpen() && !client.isBusy() && !client.isIdle()) {
                requestLog.note(client.lastRequestId, "its connection is closed with its answer unsent: " + reason);
            }
        }
        connection.close(mode);
    }

    /** Handles one connection's I/O events, on the reactor's thread. */
    private final class ConnectionHandler extends ServerHttp1IOEventHandler {
        private final RequestParser parser;
        private final ProtocolIOSession session;
        private final ClientConnections.Client client;
        private final RequestDuplexer duplexer;
        private boolean awaitingCloseOnly; // input is discarded; reads only detect the client's close
        private boolean lingering; // output is shut down, and the rest of a rejected request is discarded
        private CloseReason lingerReason;
        private Instant lingerBeganAt;
        private Instant lastLingerInputAt;
        private int discardedBytes;
        private int ignoredBytes;
        private Instant requestBeganAt; // when the incomplete request began; null: there is none
        private boolean inputExhausted; // the last turn has read all that had arrived
        private long behindSince = -1; // receivedBytes() when a complete request was open first; negative: none is
        private int endedRequestsSeen; // client.endedRequests() at that time
        private long sentBytes; // bytes written to the socket
        private Instant lastProgressAt = Instant.MAX; // when sentBytes was last seen to grow, or no output waited
        private boolean unregistered;
        private boolean rechecking; // within hasNewInput(): reads what came since the reactor's select

        ConnectionHandler(
                RequestDuplexer duplexer,
                RequestParser parser,
                ProtocolIOSession session,
                ClientConnections.Client client) {
            super(duplexer);
            this.duplexer = duplexer;
            this.parser = parser;
            this.session = session;
            this.client = client;
        }

        @Override
        public void inputReady(IOSession ioSession, ByteBuffer bytes) throws IOException {
            activeReads.incrementAndGet();
            try {
                if (lingering) {
                    discardWhileLingering(ioSession);
                    unregisterIfClosed();
                } else if (client.ignoresInput) {
                    // HttpCore would complete a partly buffered request and dispatch it on a connection that is about
                    // to close; left unread, it is retried by its client
                    ioSession.clearEvent(SelectionKey.OP_READ);
                    checkTimeouts();
                    unregisterIfClosed();
                } else if (!readingPaused) {
                    handleInput(ioSession, bytes);
                }
            } catch (Error e) {
                throw ReactorErrors.logAndWrap(e);
            } finally {
                activeReads.decrementAndGet();
            }
        }

        private void handleInput(IOSession ioSession, ByteBuffer bytes) throws IOException {
            try {
                readTurn(ioSession, bytes);
                client.hasReceived |= receivedBytes() > 0;
                // an earlier request on the connection still gets its answer
                if (!client.partialHead.set(parser.partialHeadMemory()) && !client.isBusy()) {
                    close(ioSession, CloseMode.GRACEFUL, CloseReason.TOO_MUCH);
                }
                // HttpCore treats a client's half-close as a request to close after the answer; here it means that the
                // client has gone, and its attempt must not run on with nobody to read the answer
                if (client.isBusy() && parser.isInputEnded() && client.closeAt == null) {
                    close(ioSession, CloseMode.IMMEDIATE, CloseReason.CLIENT_ENDED);
                }
                if (bytesBehindRequest() > MAX_BYTES_BEHIND_REQUEST) {
                    close(ioSession, CloseMode.IMMEDIATE, CloseReason.TOO_MUCH);
                }
                dispatchReady(ioSession);
                checkTimeouts();
            } finally {
                unregisterIfClosed();
            }
        }

        /**
         * Hands complete requests to the front, one at a time, and only once all available input behind them was read: their client
         * may already have left.
         */
        private void dispatchReady(IOSession ioSession) {
            if (!ioSession.isOpen() || client.ignoresInput) {
                client.readyExchanges.clear();
            } else if (inputExhausted) {
                while (!client.readyExchanges.isEmpty() && !client.hasDispatched()) {
                    client.readyExchanges.poll().dispatch();
                }
            } else if (!client.readyExchanges.isEmpty()) {
                client.wake(); // what is left may be in HttpCore's buffer, for which no event comes
            }
        }

        /** Dispatches a request that has waited for the answer before it to end, for all input to be read, or for a pause to end. */
        private void dispatchWaiting(IOSession ioSession) throws IOException {
            if (ioSession.isOpen() && !client.readyExchanges.isEmpty() && !client.hasDispatched()) {
                inputReady(ioSession, null);
            }
        }

        /** The number of bytes received since a complete request is open and the last answer before it has ended. */
        private long bytesBehindRequest() {
            boolean hasComplete = client.openRequests() > (client.receivingBody ? 1 : 0);
            int endedRequests = client.endedRequests();
            if (!hasComplete) {
                behindSince = -1;
            } else if (behindSince < 0 || endedRequests != endedRequestsSeen) {
                behindSince = receivedBytes();
            }
            endedRequestsSeen = endedRequests;
            return hasComplete ? receivedBytes() - behindSince : 0;
        }

        @Override
        public void outputReady(IOSession ioSession) throws IOException {
            try {
                super.outputReady(ioSession);
                dispatchWaiting(ioSession);
                if (client.closeAt != null || closingIdle || client.isAskedToClose() || client.pollCheckDue()) {
                    checkTimeouts();
                }
            } catch (Error e) {
                throw ReactorErrors.logAndWrap(e);
            } finally {
                unregisterIfClosed();
            }
        }

        private boolean isReading(IOSession ioSession) {
            return (ioSession.getEventMask() & SelectionKey.OP_READ) != 0;
        }

        /**
         * Reads what is available, up to {@code MAX_READ_BYTES_PER_TURN}. HttpCore reads once per event, and handles a close only at
         * the next event.
         */
        private void readTurn(IOSession ioSession, ByteBuffer bytes) throws IOException {
            duplexer.readBudget.reset();
            long receivedAtStart = receivedBytes();
            long receivedBefore = receivedAtStart;
            readOnce(ioSession, bytes);
            for (int count = 1;
                    count < MAX_READS_PER_TURN
                            && ioSession.isOpen()
                            && isReading(ioSession)
                            && receivedBytes() - receivedAtStart < MAX_READ_BYTES_PER_TURN
                            && (receivedBefore != receivedBytes() || !duplexer.isOpen());
                    count++) {
                receivedBefore = receivedBytes();
                readOnce(ioSession, null);
            }
            inputExhausted = receivedBefore == receivedBytes() && !duplexer.readBudget.isSpent()
                    || !ioSession.isOpen()
                    || !isReading(ioSession);
        }

        private void readOnce(IOSession ioSession, ByteBuffer bytes) throws IOException {
            if (awaitingCloseOnly) {
                discardWhileAwaitingClose(ioSession);
            } else {
                super.inputReady(ioSession, bytes);
                updateAwaitingClose(ioSession);
            }
        }

        private long receivedBytes() {
            return ignoredBytes + duplexer.getEndpointDetails().getReceivedBytesCount();
        }

        /**
         * Once requests are ignored while earlier ones are open, keeps reading only to detect the client's close, so that no
         * attempt runs on for a client that has gone.
         */
        private void updateAwaitingClose(IOSession ioSession) {
            awaitingCloseOnly = client.ignoresRequests && client.openRequests() > 1;
            if (awaitingCloseOnly) {
                ioSession.setEvent(SelectionKey.OP_READ);
            }
        }

        /** Discards input; closes the connection at its end, or once there is too much of it. */
        private void discardWhileAwaitingClose(IOSession ioSession) throws IOException {
            int count = ioSession.read(ByteBuffer.allocate(BUFFER_BYTES));
            ignoredBytes += Math.max(0, count);
            if (count < 0 || ignoredBytes > MAX_BYTES_BEHIND_REQUEST) {
                close(ioSession, CloseMode.IMMEDIATE, count < 0 ? CloseReason.CLIENT_ENDED : CloseReason.TOO_MUCH);
            }
        }

        /**
         * Shuts down the output only and keeps reading. A close with unread input sends a TCP reset, and a client that is
         * still writing would lose the answer.
         */
        private void beginLinger(Instant now) {
            lingering = true;
            lingerBeganAt = now;
            lastLingerInputAt = now;
            try {
                ((SocketChannel) session.channel()).shutdownOutput();
                session.setEvent(SelectionKey.OP_READ);
            } catch (IOException e) {
                session.close(CloseMode.GRACEFUL);
            }
        }

        /**
         * Discards input, and closes the connection at its end or once there was too much of it. Returns whether any came; the next
         * tick without any checks whether to close.
         */
        private boolean discardWhileLingering(IOSession ioSession) throws IOException {
            int discardedBefore = discardedBytes;
            ByteBuffer bytes = ByteBuffer.allocate(BUFFER_BYTES);
            int count = ioSession.read(bytes);
            for (int reads = 1; count > 0 && reads < MAX_DISCARD_READS_PER_EVENT; reads++) {
                discardedBytes += count;
                count = ioSession.read(bytes.clear());
            }
            discardedBytes += Math.max(0, count);
            Instant now = clock.instant();
            if (count < 0) {
                close(ioSession, CloseMode.GRACEFUL, lingerReason);
            } else if (discardedBytes > MAX_DISCARDED_BYTES
                    || lingerBeganAt.plus(maxLingerTime()).isBefore(now)) {
                close(ioSession, CloseMode.GRACEFUL, CloseReason.TOO_MUCH);
            }
            lastLingerInputAt = discardedBytes > discardedBefore ? now : lastLingerInputAt;
            return discardedBytes > discardedBefore;
        }

        /** Called each {@link #TICK} on a connection without events. */
        @Override
        public void timeout(IOSession ioSession, Timeout timeout) {
            ReactorErrors.contain(ioSession, this::checkTimeouts);
            try {
                dispatchWaiting(ioSession);
            } catch (IOException e) {
                exception(ioSession, e);
            }
            unregisterIfClosed();
        }

        @Override
        public void exception(IOSession ioSession, Exception cause) {
            ReactorErrors.contain(ioSession, () -> super.exception(ioSession, cause));
            unregisterIfClosed();
        }

        @Override
        public void disconnected(IOSession ioSession) {
            ReactorErrors.contain(ioSession, () -> super.disconnected(ioSession));
            unregisterIfClosed();
        }

        /** Closes the connection if it is done or one of its timeouts has passed. */
        private void checkTimeouts() {
            if (!session.isOpen()) {
                return;
            }
            Instant now = clock.instant();
            boolean flushed = isFlushed(now);
            if (lingering) {
                checkLinger(now);
            } else if (!flushed && isUnread(now)) {
                close(session, CloseMode.GRACEFUL, CloseReason.UNREAD);
            } else if (isRequestLate(now) && flushed && !hasMoreInput()) {
                requestLog.note(
                        null,
                        "closing the connection of a request that is not complete in time, " + receivedBytes()
                                + " bytes were read");
                closeOrLinger(now, CloseReason.SLOW_REQUEST);
            } else if (isDoneAnswering(now, flushed)) {
                closeOrLinger(now, CloseReason.ANSWERED);
            } else if (isUnused(now, flushed) && !hasNewInput()) {
                close(session, CloseMode.GRACEFUL, client.hasReceived ? CloseReason.IDLE : CloseReason.SILENT);
            }
        }

        /**
         * Ends a connection without requests. One that has carried an answer lingers first: the system may still hold a part of the
         * answer, which a close would lose if any input came after it.
         */
        private void closeOrLinger(Instant now, CloseReason reason) {
            if (sentBytes == 0) {
                close(session, CloseMode.GRACEFUL, reason);
            } else {
                lingerReason = reason;
                beginLinger(now);
            }
        }

        /** How long input may go on; what can't be read as requests may be a flood, and takes no descriptor that others need. */
        private Duration maxLingerTime() {
            return client.parseError != null && allClients.isCrowded() ? MAX_LINGER_TIME_OF_FLOOD : MAX_LINGER_TIME;
        }

        /**
         * Closes a lingering connection whose client has sent nothing for a while; at once, if its descriptor is needed or the
         * process is about to end.
         */
        private void checkLinger(Instant now) {
            Duration quietTime = draining || allClients.isCrowded() ? Duration.ZERO : LINGER_TIMEOUT;
            if (lastLingerInputAt.plus(quietTime).isAfter(now)) {
                return;
            }
            try {
                if (!discardWhileLingering(session) && session.isOpen()) {
                    close(session, CloseMode.GRACEFUL, lingerReason);
                }
            } catch (IOException e) {
                close(session, CloseMode.GRACEFUL, lingerReason);
            }
        }

        private void close(IOSession connection, CloseMode mode, CloseReason reason) {
            HttpFrontServer.this.close(client, connection, mode, reason);
        }

        /** Whether no output is waiting to be written to the socket; also records write progress. */
        private boolean isFlushed(Instant now) {
            boolean flushed = (session.getEventMask() & SelectionKey.OP_WRITE) == 0;
            long count = duplexer.getEndpointDetails().getSentBytesCount();
            if (flushed || count != sentBytes) {
                sentBytes = count;
                lastProgressAt = now;
            }
            return flushed;
        }

        /** Whether the client has taken nothing of the output that waits for it for too long. */
        private boolean isUnread(Instant now) {
            Duration limit = client.answerCut ? MAX_UNREAD_TIME_AFTER_CUT : MAX_UNREAD_TIME;
            boolean answered = client.closeAt == null
                    ? !client.isBusy()
                    : client.closeAt.plus(limit).isBefore(now);
            return answered && lastProgressAt.isBefore(now.minus(limit));
        }

        /**
         * Whether a request takes too long to arrive while no earlier request is open; also records since when one is
         * incomplete.
         */
        private boolean isRequestLate(Instant now) {
            requestBeganAt = client.ignoresRequests || !parser.isPartial() && !client.receivingBody
                    ? null
                    : requestBeganAt == null ? now : requestBeganAt;
            return requestBeganAt != null
                    && requestBeganAt.plus(REQUEST_READ_TIMEOUT).isBefore(now)
                    && client.openRequests() == (client.receivingBody ? 1 : 0);
        }

        /** Whether the last answer was sent. */
        private boolean isDoneAnswering(Instant now, boolean flushed) {
            return client.closeAt != null && flushed && !client.closeAt.isAfter(now);
        }

        /**
         * Whether the connection may be closed: its client sent no byte in time, or it is idle and either was asked to
         * close or all idle connections are being closed. If a request is open or arriving and no output is waiting,
         * also withdraws the request to close.
         */
        private boolean isUnused(Instant now, boolean flushed) {
            boolean betweenRequests = !client.isBusy() && flushed && !parser.isPartial();
            if (!betweenRequests && flushed) {
                client.keepOpen();
            }
            boolean silent = !client.hasReceived
                    && client.connectedAt.plus(FIRST_BYTE_TIMEOUT).isBefore(now);
            return silent
                    || betweenRequests
                            && (client.isAskedToClose() || closingIdle && client.isQuiet(now, MIN_IDLE_BEFORE_CLOSE));
        }

        /**
         * Reads once more, and returns whether any input came. A request that waits here, as the reactor handles other connections,
         * is not late, however long it waits.
         */
        private boolean hasMoreInput() {
            if (rechecking || !inputExhausted) {
                return true;
            }
            long receivedBefore = receivedBytes();
            rechecking = true;
            try {
                inputReady(session, null);
                return session.isOpen() && receivedBytes() != receivedBefore;
            } catch (IOException e) {
                return false;
            } finally {
                rechecking = false;
            }
        }

        /**
         * Reads once more, and returns whether the connection is in use after all. Without this, a request that arrived
         * while the reactor handled other connections would be lost in the close.
         */
        private boolean hasNewInput() {
            if (rechecking) {
                return true; // called from the read below; the outer call decides
            }
            rechecking = true;
            try {
                inputReady(session, null);
                return session.isOpen() && !isUnused(clock.instant(), isFlushed(clock.instant()));
            } catch (IOException e) {
                return false;
            } finally {
                rechecking = false;
            }
        }

        /**
         * Unregisters a closed connection, and ends its requests. HttpCore does not report all connections that were closed after a
         * reset, after an exception, or here; their requests would count as open for good.
         */
        private void unregisterIfClosed() {
            if (!session.isOpen() && !unregistered) {
                unregistered = true;
                allClients.unregister(client);
                ReactorErrors.contain(session, () -> super.disconnected(session));
            }
        }
    }

    /**
     * Answers a request that exceeds the limits. A request that resumes an earlier one fails (500) instead of being
     * refused (503): after a refusal its client would start again from the beginning.
     */
    private Runnable refuseOverload(HttpCall call, HttpReply reply) {
        if (call.isHealthCheck()) {
            return front.accept(
                    call, reply); // needs no server connection, and a refusal would make this process look unhealthy
        }
        int status = HttpCall.isResumption(call.header("x-retried")) ? 500 : 503;
        observer.requestRejected(call.header("x-priority-class"), status);
        requestLog.note(call.header("x-request-id"), "rejected with " + status + ": too many connections or requests");
        reply.respond(
                status,
                "text/plain",
                Map.of("Retry-After", "1", "Connection", "close"),
                "too many connections or requests\n".getBytes(StandardCharsets.US_ASCII));
        return () -> {};
    }

    /** {@code shared}: another process may listen there too. Returns the bound address, with the port chosen for port 0. */
    public InetSocketAddress listen(InetSocketAddress address, boolean shared) throws IOException {
        try {
            acceptor = new Acceptor(address, shared, clock, this::canAccept, this::handOver);
        } catch (IOException e) {
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
        return acceptor.address();
    }

    /** While set, each answer carries Connection: close. */
    public void setDraining(boolean enabled) {
        draining = enabled;
    }

    /**
     * While set, idle connections are closed. The reading thread does so once all available input was read, and spares new
     * connections and those within a request, so that no request is lost unread.
     */
    public void setClosingIdle(boolean enabled) {
        closingIdle = enabled;
        if (enabled) {
            allClients.wakeQuiet(
                    clock.instant(), MIN_IDLE_BEFORE_CLOSE); // else the reactor checks them up to 0.4 s later
        }
    }

    /** Stops listening, once the connections that are in the kernel's queue by now are accepted. */
    public void stopListening() {
        if (acceptor != null) {
            acceptor.close();
        }
    }

    /**
     * Stops listening at once, although connections may be in the kernel's queue; their clients retry elsewhere. Without
     * this, clients that connect faster than they are accepted would delay a stop until the process is killed.
     */
    public void stopListeningNow() {
        if (acceptor != null) {
            acceptor.abandon();
        }
    }

    /** Listens again at the same address if it has stopped; false if that is not possible now. */
    public boolean listenAgain() {
        Acceptor previous = acceptor;
        if (previous == null || !previous.isClosing()) {
            return true;
        } else if (!previous.isClosed()) {
            return false;
        }
        try {
            listen(previous.address(), true);
            return true;
        } catch (IOException e) {
            LOG.warning(e.getMessage());
            return false;
        }
    }

    /** Whether connections may still be accepted, also after {@link #stopListening} while some are in the kernel's queue. */
    public boolean isListening() {
        return acceptor != null && !acceptor.isClosed();
    }

    /** Whether any connection is open. Counts those not registered yet first, so that one registered meanwhile isn't missed. */
    public boolean hasConnections() {
        return active.pendingConnections().get() > 0 || allClients.size() > 0;
    }

    public boolean isBusy() {
        return allClients.isBusy();
    }

    /** To be called each {@link #TICK}: checks all timeouts while HttpCore's timers stand still (see {@code ReactorTimers}). */
    public void checkTimers() {
        if (timers.isStalled()) {
            allClients.wakeAll();
        }
    }

    /**
     * Stops reading from clients until {@code resumeReading}; true if no request is open then, so that the process may end.
     * A request read while the end is decided would be lost with the process; one left unread is retried by its client.
     * The reading thread first counts itself in {@code activeReads} and then checks {@code readingPaused}, so that one of
     * the two threads always sees the other.
     */
    public boolean pauseReading() {
        readingPaused = true;
        return activeReads.get() == 0 && !isBusy();
    }

    public void resumeReading() {
        readingPaused = false;
    }

    /**
     * The last call before the process ends, when no client is connected: makes the threads leave their system calls, which
     * the JVM's shutdown would wait for.
     */
    public void quiesce() {
        closing.set(true);
        stopListeningNow();
        active.reactor().initiateShutdown();
    }

    @Override
    public void close() {
        closing.set(true);
        stopListeningNow(); // else the acceptor's thread would wait for the reactor for good
        active.reactor().close(CloseMode.GRACEFUL);
    }
}

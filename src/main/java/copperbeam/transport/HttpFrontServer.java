package copperbeam.transport;

import copperbeam.protocol.Front;
import copperbeam.protocol.HttpCall;
import copperbeam.protocol.HttpReply;
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
    private static final Duration REQUEST_TIME = Duration.ofMillis(2400); // from a request's first byte to its last
    private static final Duration SILENCE = Duration.ofMillis(2400); // from accept to a client's first byte
    private static final Duration QUIET =
            Duration.ofMillis(50); // a client idle for less may have a request on its way
    private static final Duration FLUSH_TIME = Duration.ofSeconds(1); // without write progress; then the client counts as not reading
    private static final Duration LINGER = Duration.ofSeconds(1); // for the rest of a rejected request to arrive
    /** Interval at which connections without I/O events are checked for timeouts. */
    public static final Duration TICK = Duration.ofMillis(200);

    private static final Duration AGAIN = Duration.ofMillis(20); // between attempts to start a replacement reactor
    private static final int MOST_HANDED_ON = 16; // accepted connections that the reactor has not registered yet
    private static final int BUFFER = 4096;
    private static final int READS_A_TURN = 16; // of discarded input, as other connections wait for the reactor
    private static final int MOST_THROWN_AWAY = 4 << 20; // of one connection, after a rejected request
    private static final int MOST_BODY_READS = ServerExchange.MOST_BODY / BUFFER;
    static final Http1Config CONFIG = Http1Config.custom()
            .setBufferSize(BUFFER)
            .setMaxLineLength(8 * 1024)
            .setMaxHeaderCount(100)
            .build();

    private final ClientRoom room;
    private final Front front;
    private final Observer observer;
    private final Clock clock;
    private final AtomicBoolean closing = new AtomicBoolean();
    private volatile Inlet inlet;
    private volatile boolean draining;
    private volatile boolean leading;
    private volatile boolean sealed;
    private final AtomicInteger reading =
            new AtomicInteger(); // reactor threads that read from a client, or are about to check whether they may
    private volatile Acceptor acceptor; // null until it listens
    private final ReactorTimers timers = new ReactorTimers();

    /** A reactor, and the number of connections handed to it but not registered yet; these are lost if it ends. */
    private record Inlet(DefaultListeningIOReactor reactor, AtomicInteger handedOn) {}

    /** Why a client's connection was closed here. */
    public enum CloseReason {
        /** A request was not complete in time. */
        SLOW_REQUEST,
        /** Its last answer was sent, or the client no longer reads it. */
        ANSWERED,
        /** The client never sent a byte. */
        SILENT,
        /** It was idle, and its descriptor was needed or the process is about to end. */
        IDLE,
        /** The client closed its sending side while a request was open. */
        CLIENT_ENDED,
        /** The client sent too many bytes after a request that is open or was rejected. */
        TOO_MUCH
    }

    /** Notified of events that the front does not see. */
    public interface Observer {
        /** A request was rejected before a front saw it. {@code requestClass}: its X-Priority-Class header, or null. */
        void turnedAway(String requestClass, int status);

        /** A client's connection was closed. */
        default void closed(CloseReason reason) {}
    }

    public HttpFrontServer(Front front, Clock clock, ClientRoom room, Observer observer) {
        this.front = front;
        this.observer = observer;
        this.clock = clock;
        this.room = room;
        inlet = inlet();
    }

    private Inlet inlet() {
        IOReactorConfig config = IOReactorConfig.custom()
                .setIoThreadCount(1)
                .setTcpNoDelay(true)
                .setSoTimeout(Timeout.of(TICK))
                .setSelectInterval(TimeValue.of(TICK))
                .build();
        AtomicBoolean ended = new AtomicBoolean();
        AtomicInteger handedOn = new AtomicInteger();
        DefaultListeningIOReactor next = new DefaultListeningIOReactor(
                (session, attachment) -> handler(session, (Instant) attachment, handedOn),
                config,
                task -> thread(task, "from-clients", ended),
                task -> thread(task, "unused", ended),
                null,
                Problems::report,
                null,
                null);
        next.start();
        return new Inlet(next, handedOn);
    }

    /** A thread of a reactor; the first one to end unexpectedly starts a replacement reactor. */
    private Thread thread(Runnable task, String name, AtomicBoolean ended) {
        return new Thread(
                () -> {
                    try {
                        task.run();
                    } finally { // also after an Error, such as a stack overflow
                        if (!closing.get() && ended.compareAndSet(false, true)) {
                            takeOver();
                        }
                    }
                },
                name);
    }

    /**
     * Starts a replacement, retrying until it succeeds. A reactor may end when the process runs out of descriptors for a
     * moment; without a replacement no client would be served again.
     */
    private void takeOver() {
        LOG.warning("a reactor ended unexpectedly; starting a replacement");
        inlet.reactor().initiateShutdown(); // its open connections continue until they close
        while (!closing.get()) {
            try {
                inlet = inlet();
                return;
            } catch (IllegalStateException e) {
                LOG.fine(() -> "the replacement reactor could not start: " + e.getMessage());
            }
            try {
                Thread.sleep(AGAIN.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /**
     * Whether the acceptor may accept one more connection. Limits the connections that wait for the reactor to
     * {@code MAX_PENDING_CONNECTIONS}, and all connections of clients as {@link ClientConnections} says. Without an active reactor
     * none may be accepted, as nobody would serve it.
     */
    private boolean takes() {
        Inlet now = inlet;
        int coming = now.handedOn().get();
        return now.reactor().getStatus() == IOReactorStatus.ACTIVE
                && coming < MOST_HANDED_ON
                && room.takes(coming, clock.instant());
    }

    private void take(SocketChannel channel, Instant queuedSince) {
        Inlet now = inlet;
        now.handedOn().incrementAndGet();
        if (!Acceptor.Entrance.enter(now.reactor(), channel, queuedSince)) {
            now.handedOn().decrementAndGet(); // else MAX_PENDING_CONNECTIONS failures would block accepting for good
        }
    }

    private IOEventHandler handler(ProtocolIOSession session, Instant queuedSince, AtomicInteger handedOn) {
        ClientRoom.Client client = room.enter(session, clock.instant());
        client.queuedSince = queuedSince;
        handedOn.decrementAndGet(); // only after register(): a stop must see it in one of the two counts
        RequestParser parser = new RequestParser(CONFIG);
        return new Handler(
                new RequestDuplexer(session, parser, client, (request, context) -> exchange(client)),
                parser,
                session,
                client);
    }

    private ServerExchange exchange(ClientRoom.Client client) {
        return new ServerExchange(
                client,
                room,
                client.beyond || room.full() ? this::refuse : front,
                clock,
                () -> draining,
                observer::turnedAway);
    }

    /** Handles one connection's I/O events, on the reactor's thread. */
    private final class Handler extends ServerHttp1IOEventHandler {
        private final RequestParser parser;
        private final ProtocolIOSession session;
        private final ClientRoom.Client client;
        private final RequestDuplexer duplexer;
        private boolean listening; // input is discarded; reads only detect the client's close
        private boolean lingering; // output is shut down, and the rest of a rejected request is discarded
        private int thrownAway;
        private int passedOver;
        private Instant began; // when the incomplete request began; null: there is none
        private long sent; // bytes written to the socket
        private Instant sentAt = Instant.MIN; // when sentBytes was last seen to grow
        private boolean looking; // within hasNewInput(): reads what came since the reactor's select

        Handler(RequestDuplexer duplexer, RequestParser parser, ProtocolIOSession session, ClientRoom.Client client) {
            super(duplexer);
            this.duplexer = duplexer;
            this.parser = parser;
            this.session = session;
            this.client = client;
        }

        @Override
        public void inputReady(IOSession open, ByteBuffer bytes) throws IOException {
            reading.incrementAndGet();
            try {
                if (lingering) {
                    throwAway(open);
                    times();
                    gone();
                } else if (client.ending) {
                    // HttpCore would complete a partly buffered request and dispatch it on a connection that is about to
                    // close; left unread, it is retried by its client
                    open.clearEvent(SelectionKey.OP_READ);
                    times();
                    gone();
                } else if (!sealed) {
                    take(open, bytes);
                }
            } catch (Error e) {
                throw Problems.broken(e);
            } finally {
                reading.decrementAndGet();
            }
        }

        private void take(IOSession open, ByteBuffer bytes) throws IOException {
            duplexer.turn.begin();
            try {
                read(open, bytes);
                client.heard |= received() > 0;
                readOn(open);
                // HttpCore treats a client's half-close as a request to close after the answer; here it means that the
                // client has gone, and its attempt must not run on with nobody to read the answer
                if (client.busy() && parser.ended() && client.closeAt == null) {
                    close(open, CloseMode.IMMEDIATE, CloseReason.CLIENT_ENDED);
                }
                if (open.isOpen()) {
                    client.whole.stream().filter(e -> !client.ending).forEach(ServerExchange::dispatch);
                }
                client.whole.clear();
                times();
            } finally {
                gone();
            }
        }

        @Override
        public void outputReady(IOSession open) throws IOException {
            try {
                super.outputReady(open);
                if (client.closeAt != null || leading || client.going() || client.due()) {
                    times();
                }
            } catch (Error e) {
                throw Problems.broken(e);
            } finally {
                gone();
            }
        }

        private boolean reads(IOSession open) {
            return (open.getEventMask() & SelectionKey.OP_READ) != 0;
        }

        /**
         * Before a front sees a complete request, reads what follows it, up to the maximum body length: the client may already
         * have closed the connection. HttpCore reads once per event, and handles a close only at the next event.
         */
        private void readOn(IOSession open) throws IOException {
            long before = -1;
            for (int read = 0;
                    read < MOST_BODY_READS
                            && !client.whole.isEmpty()
                            && open.isOpen()
                            && reads(open)
                            && (before != received() || !duplexer.isOpen());
                    read++) {
                before = received();
                read(open, null);
            }
        }

        private void read(IOSession open, ByteBuffer bytes) throws IOException {
            if (listening) {
                passOver(open);
            } else {
                super.inputReady(open, bytes);
                listen(open);
            }
        }

        private long received() {
            return passedOver + duplexer.getEndpointDetails().getReceivedBytesCount();
        }

        /**
         * Once requests are ignored while earlier ones are open, keeps reading only to detect the client's close, so that no
         * attempt runs on for a client that has gone.
         */
        private void listen(IOSession open) {
            listening = client.deaf && client.open() > 1;
            if (listening) {
                open.setEvent(SelectionKey.OP_READ);
            }
        }

        /** Discards input; closes the connection at its end, or once it exceeds the maximum body length. */
        private void passOver(IOSession open) throws IOException {
            ByteBuffer bytes = ByteBuffer.allocate(BUFFER);
            int count = open.read(bytes);
            passedOver += count;
            if (count < 0 || passedOver > ServerExchange.MOST_BODY) {
                close(open, CloseMode.IMMEDIATE, count < 0 ? CloseReason.CLIENT_ENDED : CloseReason.TOO_MUCH);
            }
        }

        /**
         * Shuts down the output only and keeps reading. A close with unread input sends a TCP reset, and a client that is
         * still writing would lose the answer.
         */
        private void linger() {
            lingering = true;
            try {
                ((SocketChannel) session.channel()).shutdownOutput();
                session.setEvent(SelectionKey.OP_READ);
            } catch (IOException e) {
                session.close(CloseMode.GRACEFUL);
            }
        }

        private void throwAway(IOSession open) throws IOException {
            ByteBuffer bytes = ByteBuffer.allocate(BUFFER);
            int count = open.read(bytes);
            for (int reads = 1; count > 0 && reads < READS_A_TURN; reads++) {
                thrownAway += count;
                count = open.read(bytes.clear());
            }
            thrownAway += Math.max(0, count);
            if (count < 0 || thrownAway > MOST_THROWN_AWAY) {
                close(open, CloseMode.GRACEFUL, count < 0 ? CloseReason.ANSWERED : CloseReason.TOO_MUCH);
            }
        }

        /** Called each {@link #TICK} on a connection without events. */
        @Override
        public void timeout(IOSession open, Timeout timeout) {
            times();
            gone();
        }

        @Override
        public void exception(IOSession open, Exception cause) {
            super.exception(open, cause);
            gone();
        }

        @Override
        public void disconnected(IOSession closed) {
            super.disconnected(closed);
            gone();
        }

        /** Closes the connection if it is done or one of its timeouts has passed. */
        private void times() {
            if (!session.isOpen()) {
                return;
            }
            Instant now = clock.instant();
            boolean flushed = flushed(now);
            if (client.lingers && flushed && !lingering) {
                linger();
            }
            boolean left = flushed || stalled(now); // whether earlier answers are sent, or will never be
            if (slow(now) && left) {
                close(session, CloseMode.GRACEFUL, CloseReason.SLOW_REQUEST);
            } else if (answered(now, flushed)) {
                close(session, CloseMode.GRACEFUL, CloseReason.ANSWERED);
            } else if (unused(now, flushed) && !heardSince()) {
                close(session, CloseMode.GRACEFUL, client.heard ? CloseReason.IDLE : CloseReason.SILENT);
            }
        }

        /** {@code connection}: not always the outer session, whose close has no effect after the client's half-close. */
        private void close(IOSession connection, CloseMode mode, CloseReason reason) {
            observer.closed(reason);
            connection.close(mode);
        }

        /** Whether no output is waiting to be written to the socket; also records write progress. */
        private boolean flushed(Instant now) {
            long count = duplexer.getEndpointDetails().getSentBytesCount();
            if (count != sent) {
                sent = count;
                sentAt = now;
            }
            return (session.getEventMask() & SelectionKey.OP_WRITE) == 0;
        }

        /** Whether there was no write progress for {@code FLUSH_TIMEOUT}, as the client does not read. */
        private boolean stalled(Instant now) {
            return sentAt.plus(FLUSH_TIME).isBefore(now);
        }

        /** Whether a request takes too long to arrive while no earlier request is open. */
        private boolean slow(Instant now) {
            began = client.deaf || !parser.partial() && !client.body ? null : began == null ? now : began;
            return began != null && began.plus(REQUEST_TIME).isBefore(now) && client.open() == (client.body ? 1 : 0);
        }

        /** Whether the last answer was sent and the client had time to read it, or the client no longer reads it. */
        private boolean answered(Instant now, boolean flushed) {
            Instant last = client.closeAt;
            if (last == null) {
                return false;
            }
            if (!flushed) {
                return last.plus(FLUSH_TIME).isBefore(now) && stalled(now);
            }
            boolean longer =
                    lingering && !draining && !room.crowded(); // else its descriptor is needed, or the process is about to end
            return last.plus(longer ? LINGER : Duration.ZERO).isBefore(now);
        }

        /**
         * Whether the connection may be closed: its client sent no byte in time, or it is idle and either was asked to close
         * or all idle connections are being closed.
         */
        private boolean unused(Instant now, boolean flushed) {
            boolean between = !client.busy() && flushed && !parser.partial();
            if (!between && flushed) {
                client.stays();
            }
            boolean silent = !client.heard && client.connected.plus(SILENCE).isBefore(now);
            return silent || between && (client.going() || leading && client.quiet(now, QUIET));
        }

        /**
         * Reads once more, and returns whether the connection is in use after all. Without this, a request that arrived
         * while the reactor handled other connections would be lost in the close.
         */
        private boolean heardSince() {
            if (looking) {
                return true; // called from the read below; the outer call decides
            }
            looking = true;
            try {
                inputReady(session, null);
                return session.isOpen() && !unused(clock.instant(), flushed(clock.instant()));
            } catch (IOException e) {
                return false;
            } finally {
                looking = false;
            }
        }

        /** Unregisters a closed connection. HttpCore does not report those it closed after a reset or an exception. */
        private void gone() {
            if (!session.isOpen()) {
                room.leave(client);
            }
        }
    }

    /**
     * Answers a request that exceeds the limits. A request that resumes an earlier one fails (500) instead of being
     * refused (503): after a refusal its client would start again from the beginning.
     */
    private Runnable refuse(HttpCall call, HttpReply reply) {
        if (call.asksForHealth()) {
            return front.accept(call, reply); // needs no server connection, and a refusal would make this process look unhealthy
        }
        int status = HttpCall.resumes(call.header("x-retried")) ? 500 : 503;
        observer.turnedAway(call.header("x-priority-class"), status);
        reply.whole(
                status,
                "text/plain",
                Map.of("Retry-After", "1", "Connection", "close"),
                "too many connections or requests\n".getBytes(StandardCharsets.US_ASCII));
        return () -> {};
    }

    /** {@code shared}: another process may listen there too. Returns the bound address, with the port chosen for port 0. */
    public InetSocketAddress listen(InetSocketAddress address, boolean shared) throws IOException {
        try {
            acceptor = new Acceptor(address, shared, clock, this::takes, this::take);
        } catch (IOException e) {
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
        return acceptor.address();
    }

    /** While set, each answer carries Connection: close. */
    public void drain(boolean now) {
        draining = now;
    }

    /**
     * While set, idle connections are closed. The reading thread does so once all available input was read, and spares new
     * connections and those within a request, so that no request is lost unread.
     */
    public void leadAway(boolean now) {
        leading = now;
        if (now) {
            room.wake(clock.instant(), QUIET); // else the reactor checks them up to 0.4 s later
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
    public void abandonAddress() {
        if (acceptor != null) {
            acceptor.abandon();
        }
    }

    /** Listens again at the same address if it has stopped; false if that is not possible now. */
    public boolean listenAgain() {
        Acceptor old = acceptor;
        if (old == null || !old.closing()) {
            return true;
        } else if (!old.ended()) {
            return false;
        }
        try {
            listen(old.address(), true);
            return true;
        } catch (IOException e) {
            LOG.warning(e.getMessage());
            return false;
        }
    }

    /** Whether connections may still be accepted, also after {@link #stopListening} while some are in the kernel's queue. */
    public boolean listening() {
        return acceptor != null && !acceptor.ended();
    }

    /** Whether any connection is open. Counts those not registered yet first, so that one registered meanwhile isn't missed. */
    public boolean connected() {
        return inlet.handedOn().get() > 0 || room.size() > 0;
    }

    public boolean busy() {
        return room.busy();
    }

    /** To be called each {@link #TICK}: checks all timeouts while HttpCore's timers stand still (see {@code ReactorTimers}). */
    public void tick() {
        if (timers.stalled()) {
            room.lookAtAll();
        }
    }

    /**
     * Stops reading from clients until {@code resumeReading}; true if no request is open then, so that the process may end.
     * A request read while the end is decided would be lost with the process; one left unread is retried by its client.
     * The reading thread first counts itself in {@code activeReads} and then checks {@code readingPaused}, so that one of
     * the two threads always sees the other.
     */
    public boolean seal() {
        sealed = true;
        return reading.get() == 0 && !busy();
    }

    public void unseal() {
        sealed = false;
    }

    /**
     * The last call before the process ends, when no client is connected: makes the threads leave their system calls, which
     * the JVM's shutdown would wait for.
     */
    public void quiesce() {
        closing.set(true);
        abandonAddress();
        inlet.reactor().initiateShutdown();
    }

    @Override
    public void close() {
        closing.set(true);
        abandonAddress(); // else the acceptor's thread would wait for the reactor for good
        inlet.reactor().close(CloseMode.GRACEFUL);
    }
}

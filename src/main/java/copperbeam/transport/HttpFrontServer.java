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
    private static final Duration SILENCE = Duration.ofMillis(2400); // of a connection that has never said a word
    private static final Duration QUIET =
            Duration.ofMillis(50); // for which a client led away may have a request on its way
    private static final Duration FLUSH_TIME = Duration.ofSeconds(1); // of a last answer, without a byte taken
    private static final Duration LINGER = Duration.ofSeconds(1); // for what follows a request that was turned away
    /** From one look at a connection without events to the next. */
    public static final Duration TICK = Duration.ofMillis(200);

    private static final Duration AGAIN = Duration.ofMillis(20); // between tries to begin with another reactor
    private static final int MOST_HANDED_ON = 16; // connections that the reactor has not looked at yet
    private static final int BUFFER = 4096;
    private static final int READS_A_TURN = 16; // of what is thrown away, while others wait for the reactor
    private static final int MOST_THROWN_AWAY = 4 << 20;
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
            new AtomicInteger(); // reactors at a client's bytes, or about to look whether they may
    private volatile Acceptor acceptor; // null until it listens
    private final ReactorTimers timers = new ReactorTimers();

    /** A reactor, and how many connections are on their way to it: they end with it. */
    private record Inlet(DefaultListeningIOReactor reactor, AtomicInteger handedOn) {}

    /** Why a client's connection was closed here. */
    public enum CloseReason {
        /** A request was not whole in time. */
        SLOW_REQUEST,
        /** Its last answer has left, or its client takes nothing more of it. */
        ANSWERED,
        /** It never said a word. */
        SILENT,
        /** It stood idle, and its place was wanted or the process is about to end. */
        IDLE,
        /** Its client ended its sending while a request was open. */
        CLIENT_ENDED,
        /** Its client sent more than it may, behind a request that is open or was turned away. */
        TOO_MUCH
    }

    /** Told of what happens before or beside a front. */
    public interface Observer {
        /** A request was answered before a front saw it; the class is as its header says, or null. */
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

    /** The first of a reactor's threads to end before its time has another reactor take its place. */
    private Thread thread(Runnable task, String name, AtomicBoolean ended) {
        return new Thread(
                () -> {
                    try {
                        task.run();
                    } finally { // an Error ends it too, such as a stack that is used up
                        if (!closing.get() && ended.compareAndSet(false, true)) {
                            takeOver();
                        }
                    }
                },
                name);
    }

    /** Guards against a reactor that ends where no descriptor is left for a moment: nobody would be served again. */
    private void takeOver() {
        LOG.warning("a reactor has ended and another takes its place");
        inlet.reactor().initiateShutdown(); // its connections live on until they close
        while (!closing.get()) {
            try {
                inlet = inlet();
                return;
            } catch (IllegalStateException e) {
                LOG.fine(() -> "no descriptor is left to begin with: " + e.getMessage());
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
     * Guards against more connections between acceptor and reactor, or in the room, than there are descriptors; and against
     * one taken while there is no reactor to serve it.
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
            now.handedOn().decrementAndGet(); // else 16 of them would keep all others out for good
        }
    }

    private IOEventHandler handler(ProtocolIOSession session, Instant queuedSince, AtomicInteger handedOn) {
        ClientRoom.Client client = room.enter(session, clock.instant());
        client.queuedSince = queuedSince;
        handedOn.decrementAndGet(); // after it is in the room: a stop must never see it in neither
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

    /** One connection's events, on the reactor's thread. */
    private final class Handler extends ServerHttp1IOEventHandler {
        private final RequestParser parser;
        private final ProtocolIOSession session;
        private final ClientRoom.Client client;
        private final RequestDuplexer duplexer;
        private boolean listening; // for the client's close only
        private boolean lingering; // our side has ended, and what belongs to a request turned away is thrown away
        private int thrownAway;
        private int passedOver;
        private Instant began; // the request that is not whole yet
        private long sent; // bytes that the system has taken
        private Instant sentAt = Instant.MIN; // when that was seen to grow
        private boolean looking; // for what has come since the reactor's select

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
                    // HttpCore would go on with half a request that it has in its buffer, and it would be sent on for a
                    // connection that is about to close: unread, its client sends it once more
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
                // HttpCore takes a client's end of sending for a wish to close once it is answered; here it is a client
                // that has gone, and its attempt must not run on unread
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
         * Reads what came behind a whole request before a front sees that, up to the largest request's length: the client's
         * close may be there. HttpCore reads once a turn, and looks at a close it has read in the turn after.
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
         * Behind a request that is open came what is no request, and nothing more is heard; but the close is listened for.
         * Guards against attempts for a client that has gone.
         */
        private void listen(IOSession open) {
            listening = client.deaf && client.open() > 1;
            if (listening) {
                open.setEvent(SelectionKey.OP_READ);
            }
        }

        /** Who sends more than the largest request behind one that it waits for has no use for the answer. */
        private void passOver(IOSession open) throws IOException {
            ByteBuffer bytes = ByteBuffer.allocate(BUFFER);
            int count = open.read(bytes);
            passedOver += count;
            if (count < 0 || passedOver > ServerExchange.MOST_BODY) {
                close(open, CloseMode.IMMEDIATE, count < 0 ? CloseReason.CLIENT_ENDED : CloseReason.TOO_MUCH);
            }
        }

        /**
         * Guards against an answer that is lost: a close over unread bytes is a reset, which a client that still writes
         * meets before it has read.
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

        /** Comes each tick on a connection without events. */
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

        /** Guards against clients that say nothing, or stop within a request: they hold a connection for nothing. */
        private void times() {
            if (!session.isOpen()) {
                return;
            }
            Instant now = clock.instant();
            boolean flushed = flushed(now);
            if (client.lingers && flushed && !lingering) {
                linger();
            }
            boolean left = flushed || stalled(now); // what was answered before
            if (slow(now) && left) {
                close(session, CloseMode.GRACEFUL, CloseReason.SLOW_REQUEST);
            } else if (answered(now, flushed)) {
                close(session, CloseMode.GRACEFUL, CloseReason.ANSWERED);
            } else if (unused(now, flushed) && !heardSince()) {
                close(session, CloseMode.GRACEFUL, client.heard ? CloseReason.IDLE : CloseReason.SILENT);
            }
        }

        /** {@code connection}: HttpCore closes its outer session no more once a client has ended its sending. */
        private void close(IOSession connection, CloseMode mode, CloseReason reason) {
            observer.closed(reason);
            connection.close(mode);
        }

        /** Nothing waits here for the system to take it. */
        private boolean flushed(Instant now) {
            long count = duplexer.getEndpointDetails().getSentBytesCount();
            if (count != sent) {
                sent = count;
                sentAt = now;
            }
            return (session.getEventMask() & SelectionKey.OP_WRITE) == 0;
        }

        /** The system takes nothing more, as the client reads nothing. */
        private boolean stalled(Instant now) {
            return sentAt.plus(FLUSH_TIME).isBefore(now);
        }

        /** A request takes too long to come, and no answer to one before it is owed. */
        private boolean slow(Instant now) {
            began = client.deaf || !parser.partial() && !client.body ? null : began == null ? now : began;
            return began != null && began.plus(REQUEST_TIME).isBefore(now) && client.open() == (client.body ? 1 : 0);
        }

        /** The last answer has left, and its client has had the time to read it; or it takes nothing more of it. */
        private boolean answered(Instant now, boolean flushed) {
            Instant last = client.closeAt;
            if (last == null) {
                return false;
            }
            if (!flushed) {
                return last.plus(FLUSH_TIME).isBefore(now) && stalled(now);
            }
            boolean longer =
                    lingering && !draining && !room.crowded(); // else its place is wanted, or the process's end
            return last.plus(longer ? LINGER : Duration.ZERO).isBefore(now);
        }

        /** Without a request, and silent for too long or wanted to go. */
        private boolean unused(Instant now, boolean flushed) {
            boolean between = !client.busy() && flushed && !parser.partial();
            if (!between && flushed) {
                client.stays();
            }
            boolean silent = !client.heard && client.connected.plus(SILENCE).isBefore(now);
            return silent || between && (client.going() || leading && client.quiet(now, QUIET));
        }

        /**
         * Whether a client without a request has said something after all. Guards against a close over a request that came
         * while the reactor was at others.
         */
        private boolean heardSince() {
            if (looking) {
                return true; // the outer look decides
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

        /** HttpCore does not tell of connections that it closed for a reset or another exception of theirs. */
        private void gone() {
            if (!session.isOpen()) {
                room.leave(client);
            }
        }
    }

    /** What has run may fail, but is never refused: its client would ask for it from the beginning. */
    private Runnable refuse(HttpCall call, HttpReply reply) {
        if (call.asksForHealth()) {
            return front.accept(call, reply); // costs no server's descriptor, and who asks would take us for ill
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

    /** {@code shared}: beside another process. Returns the address it has got, of use where port 0 was asked for. */
    public InetSocketAddress listen(InetSocketAddress address, boolean shared) throws IOException {
        try {
            acceptor = new Acceptor(address, shared, clock, this::takes, this::take);
        } catch (IOException e) {
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
        return acceptor.address();
    }

    /** Whether each answer from now on says that its connection closes. */
    public void drain(boolean now) {
        draining = now;
    }

    /**
     * Whether connections without a request are closed: by the thread that reads them, once all at hand was read, and
     * none that says its first words or is within a request. Guards against requests turned back unheard.
     */
    public void leadAway(boolean now) {
        leading = now;
        if (now) {
            room.wake(clock.instant(), QUIET); // else they would be looked at on the reactor's tick, up to 0.4 s late
        }
    }

    /** No new connection is taken. */
    public void stopListening() {
        if (acceptor != null) {
            acceptor.close();
        }
    }

    /**
     * The address is given up whatever still waits there: unread, its clients send it once more elsewhere. Guards against
     * clients that come faster than they are let go, for whom a stop would go on until the kill.
     */
    public void abandonAddress() {
        if (acceptor != null) {
            acceptor.abandon();
        }
    }

    /** At the address given up before, unless it was not; false where that can't be had now. */
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

    /** Whether connections may still come in from the address, given up or not. */
    public boolean listening() {
        return acceptor != null && !acceptor.ended();
    }

    /** Asked in the order of a connection's way in, so that none is passed over as it goes from one place to the next. */
    public boolean connected() {
        return inlet.handedOn().get() > 0 || room.size() > 0;
    }

    public boolean busy() {
        return room.busy();
    }

    /** To be called each {@link #TICK}: looks at all connections where HttpCore does not, as the wall clock has stepped back. */
    public void tick() {
        if (timers.stalled()) {
            room.lookAtAll();
        }
    }

    /**
     * From now on nothing that clients write is read, until it is unsealed: true where nothing is open then, so that the
     * process may end. Guards against a request that is read as the end is decided, and lost with the process; one that
     * was not read its client sends once more. The reader says first that it reads and then looks, so that one of the two
     * sees the other.
     */
    public boolean seal() {
        sealed = true;
        return reading.get() == 0 && !busy();
    }

    public void unseal() {
        sealed = false;
    }

    /**
     * The last before the process's end, where no client is connected: its threads leave the system's calls, in which the JVM's
     * end would wait for them.
     */
    public void quiesce() {
        closing.set(true);
        abandonAddress();
        inlet.reactor().initiateShutdown();
    }

    @Override
    public void close() {
        closing.set(true);
        abandonAddress(); // else its thread would wait for the reactor's place for good
        inlet.reactor().close(CloseMode.GRACEFUL);
    }
}

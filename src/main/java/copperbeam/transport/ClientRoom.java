package copperbeam.transport;

import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.reactor.IOSession;

/**
 * What clients of all fronts together may take: connections, and bytes of requests that wait here. Guards the
 * limits on descriptors and memory against clients that ask once and stay, say nothing, or send much.
 */
public final class ClientRoom {
    private static final Duration STAY = Duration.ofSeconds(2); // for which a connection may stand idle in any case
    private static final Duration SILENT = Duration.ofMillis(500); // after which one that said nothing may go

    private static final Duration CAME_ALONG =
            Duration.ofSeconds(1); // from a connection's accept until a request that came with it is read, in a crowd
    private static final int MOST_BEYOND = 8; // of the program's own descriptors, for connections that are told no

    /** One client's connection. */
    static final class Client {
        final IOSession session;
        private final AtomicInteger all; // of the room: connections with an open request
        final Instant connected;
        private final AtomicInteger open = new AtomicInteger();
        private volatile Instant idleSince;
        final boolean beyond; // the limit: its requests are refused
        Instant queuedSince; // it may have waited from then on to be accepted; null: no more request came with it; the
        // reactor's
        volatile boolean heard; // a byte has come
        volatile boolean body; // of a request whose body is not whole yet
        boolean deaf; // to more requests; the reactor's
        ServerExchange reading; // the request whose head came last; the reactor's
        HttpException unreadable; // what the last head was not read for; the reactor's
        final Queue<ServerExchange> whole = new ArrayDeque<>(); // requests that no front has seen; the reactor's
        volatile boolean ending; // the end of its last answer is on its way; what more comes is not read
        volatile Instant closeAt; // that end is out
        volatile boolean lingers; // the same, and of its request more may come: our side ends first
        private volatile boolean going; // the thread that reads it is to close it
        private final AtomicBoolean due = new AtomicBoolean(); // that thread is to look at its times

        Client(IOSession session, Instant now, boolean beyond, AtomicInteger all) {
            this.all = all;
            this.session = session;
            this.beyond = beyond;
            connected = now;
            idleSince = now;
        }

        void begin() {
            if (open.getAndIncrement() == 0) {
                all.incrementAndGet();
            }
        }

        void end(Instant now) {
            idleSince = now;
            if (open.decrementAndGet() == 0) {
                all.decrementAndGet();
            }
        }

        /**
         * How long a request that is read now may have waited behind its connection, until that was accepted. Guards against
         * servers being told the time that its client had before.
         */
        Duration queued(Instant now) {
            boolean cameAlong =
                    queuedSince != null && !connected.plus(CAME_ALONG).isBefore(now);
            Duration queued = cameAlong ? Duration.between(queuedSince, now) : Duration.ZERO;
            queuedSince = null;
            return queued;
        }

        boolean busy() {
            return open.get() > 0;
        }

        /**
         * Nothing is open and nothing left to write. Guards against an answer cut off in the buffer: HttpCore writes the
         * end of one to the system on a later turn, and by then its request counts as ended.
         */
        boolean idle() {
            try {
                return !busy() && (session.getEventMask() & SelectionKey.OP_WRITE) == 0;
            } catch (CancelledKeyException e) {
                return !busy(); // it is closed
            }
        }

        /** Has the reactor look at it. */
        void wake() {
            try {
                session.setEvent(SelectionKey.OP_WRITE);
            } catch (CancelledKeyException e) {
                // it is closed, which the reactor hears of by itself
            }
        }

        /** Whether its times are to be looked at, once for each {@link ClientRoom#lookAtAll}. */
        boolean due() {
            return due.getAndSet(false);
        }

        /** Idle for so long, or never heard though it has had the time to speak. */
        boolean quiet(Instant now, Duration span) {
            return heard
                    ? idleSince.plus(span).isBefore(now)
                    : connected.plus(SILENT).isBefore(now);
        }

        int open() {
            return open.get();
        }

        /** Asked to go, to make place for another. */
        boolean going() {
            return going;
        }

        /** It is within a request after all. */
        void stays() {
            going = false;
        }
    }

    private volatile int most;
    private final long mostBytes;
    private final DescriptorBudget descriptors;
    private final Set<Client> clients = ConcurrentHashMap.newKeySet();
    private final AtomicInteger busy = new AtomicInteger();
    private final AtomicLong bytes = new AtomicLong();

    /** Bounded by its own counts alone. */
    public ClientRoom(int most, long mostBytes) {
        this(most, mostBytes, DescriptorBudget.unlimited());
    }

    /**
     * {@code most}: connections with an open request, and so many bytes of bodies. Each such connection takes two
     * descriptors, the other one towards a server, and one without a request takes one: {@code 2 * most} together. Guards
     * against a crowd that connects and asks for nothing in the place of those who ask.
     */
    public ClientRoom(int most, long mostBytes, DescriptorBudget descriptors) {
        this.most = most;
        this.mostBytes = mostBytes;
        this.descriptors = descriptors;
    }

    /** A new connection. Where room is short another is asked to go for it; where there is none its requests are refused. */
    Client enter(IOSession session, Instant now) {
        Client client = new Client(session, now, !place(now), busy);
        clients.add(client);
        return client;
    }

    /**
     * Whether {@code coming} more and then one may come in, with those counted that have been asked to go and still have
     * their descriptors. Guards the descriptors of the program itself, of servers' connections and of discovery: those for
     * whom there is no place wait in the kernel's queue, where their requests are not lost.
     */
    boolean takes(int coming, Instant now) {
        if (taken() + coming >= 2 * most + MOST_BEYOND) {
            place(now); // asks one to go: it counts until it has
            return false;
        }
        boolean takes = !crowded() || descriptors.grants(busy.get());
        if (!takes && clients.stream().noneMatch(Client::going)) {
            askOne(now);
        }
        return takes;
    }

    private int taken() {
        return clients.size() + busy.get();
    }

    /** Whether there is place for one more, or one has been found that can go: between two requests, or silent. */
    private boolean place(Instant now) {
        return taken() - clients.stream().filter(Client::going).count() < 2L * most || askOne(now);
    }

    private boolean askOne(Instant now) {
        return ask(c -> c.heard && c.idleSince.plus(STAY).isBefore(now))
                || ask(c -> !c.heard && c.connected.plus(SILENT).isBefore(now));
    }

    /** More than half is taken: whoever is answered had better make place. */
    boolean crowded() {
        return taken() > most;
    }

    /**
     * Whether no more request may be open. Each takes a second descriptor: connections that came in without a word, up to
     * twice as many as may ask, could else all ask at once.
     */
    boolean full() {
        return busy.get() >= most || taken() >= 2 * most + MOST_BEYOND || crowded() && !descriptors.serves(busy.get());
    }

    /** From now on so many connections; those beyond stay. */
    public void most(int connections) {
        most = connections;
    }

    /**
     * Has one be closed by the thread that reads it, which closes none within a request. Guards against a request that is
     * read, or half of it, as another thread closes its connection.
     */
    private boolean ask(Predicate<Client> which) {
        return clients.stream()
                .filter(c -> !c.going && c.idle() && which.test(c))
                .min(Comparator.comparing(c -> c.idleSince))
                .map(c -> {
                    c.going = true;
                    c.wake();
                    return c;
                })
                .isPresent();
    }

    void leave(Client client) {
        clients.remove(client);
    }

    /** False where no more bodies can wait here; then nothing is taken. */
    boolean take(int count) {
        if (bytes.addAndGet(count) > mostBytes) {
            bytes.addAndGet(-count);
            return false;
        }
        return true;
    }

    void free(int count) {
        bytes.addAndGet(-count);
    }

    /** Has the reactor look at those that are idle for so long. */
    void wake(Instant now, Duration quiet) {
        clients.stream().filter(c -> c.idle() && c.quiet(now, quiet)).forEach(Client::wake);
    }

    /** Has the reactor look at the times of each connection. */
    void lookAtAll() {
        clients.forEach(c -> {
            c.due.set(true);
            c.wake();
        });
    }

    /** Whether a request is open, or an answer on its way out. */
    boolean busy() {
        return clients.stream().anyMatch(c -> !c.idle());
    }

    /** Connections that are counted now. */
    public int size() {
        return clients.size();
    }

    public long bytes() {
        return bytes.get();
    }
}

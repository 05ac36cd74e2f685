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
 * The client connections of all fronts, and the limits they share: connections, and bytes of buffered request bodies.
 * Keeps the process within its descriptors and memory when clients stay idle, never send a request, or send much.
 */
public final class ClientRoom {
    private static final Duration STAY = Duration.ofSeconds(2); // a connection idle for less is not closed to make room
    private static final Duration SILENT = Duration.ofMillis(500); // from accept; one without a byte by then may be closed

    private static final Duration CAME_ALONG =
            Duration.ofSeconds(1); // longest time under load from accept to the first read of a request sent before it
    private static final int MOST_BEYOND = 8; // connections accepted just to refuse their requests; take the program's own descriptors

    /** One client's connection. */
    static final class Client {
        final IOSession session;
        private final AtomicInteger all; // all clients' connections with an open request
        final Instant connected;
        private final AtomicInteger open = new AtomicInteger();
        private volatile Instant idleSince;
        final boolean beyond; // accepted over the limit: its requests are refused
        Instant queuedSince; // the earliest time at which it may have entered the listen queue; null: already used; only on
        // the reactor's thread
        volatile boolean heard; // a byte was received
        volatile boolean body; // a request's body is being received
        boolean deaf; // no further request is read from it; only on the reactor's thread
        ServerExchange reading; // the request whose head came last; only on the reactor's thread
        HttpException unreadable; // why the last head could not be parsed, or null; only on the reactor's thread
        final Queue<ServerExchange> whole = new ArrayDeque<>(); // complete, not dispatched; only on the reactor's thread
        volatile boolean ending; // the last answer is being completed or aborted; no more input is read
        volatile Instant closeAt; // earliest time to close after the last answer; null: no close is planned
        volatile boolean lingers; // more of its request may come: the output is shut down before the close
        private volatile boolean going; // its reading thread is asked to close it
        private final AtomicBoolean due = new AtomicBoolean(); // its reading thread is to check its timeouts

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
         * The longest time that a request read now may have waited since its connection entered the listen queue; zero
         * for all but the first request. Servers are told the client's timeout less this time.
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
         * No request is open and nothing is left to write. The second condition matters as HttpCore may write an answer's
         * end later than its request counts as ended; a close in between would truncate it.
         */
        boolean idle() {
            try {
                return !busy() && (session.getEventMask() & SelectionKey.OP_WRITE) == 0;
            } catch (CancelledKeyException e) {
                return !busy(); // the connection is closed
            }
        }

        /** Makes the reactor call this connection's output handler, which checks its timeouts if needed. */
        void wake() {
            try {
                session.setEvent(SelectionKey.OP_WRITE);
            } catch (CancelledKeyException e) {
                // the connection is closed, which the reactor notices by itself
            }
        }

        /** Whether its timeouts are to be checked; true once after each {@code wakeAll}. */
        boolean due() {
            return due.getAndSet(false);
        }

        /** Idle for longer than {@code minIdle}; before the first byte, open for longer than {@code FIRST_BYTE_GRACE}. */
        boolean quiet(Instant now, Duration span) {
            return heard
                    ? idleSince.plus(span).isBefore(now)
                    : connected.plus(SILENT).isBefore(now);
        }

        int open() {
            return open.get();
        }

        /** Whether it was asked to close, to make room for another. */
        boolean going() {
            return going;
        }

        /** Withdraws the request to close, as it is in use after all. */
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

    /** Without a limit on the process's descriptors. */
    public ClientRoom(int most, long mostBytes) {
        this(most, mostBytes, DescriptorBudget.unlimited());
    }

    /**
     * {@code maxBusy}: limit on connections with an open request; {@code maxBodyBytes}: limit on buffered bodies. A
     * connection with an open request counts as two descriptors (the second one towards a server), an idle one as one; all
     * together may use {@code 2 * maxBusy}. So many idle connections can't crowd out those with requests.
     */
    public ClientRoom(int most, long mostBytes, DescriptorBudget descriptors) {
        this.most = most;
        this.mostBytes = mostBytes;
        this.descriptors = descriptors;
    }

    /** Adds a new connection. At the limit, asks an idle one to close; if there is none, the new one's requests are refused. */
    Client enter(IOSession session, Instant now) {
        Client client = new Client(session, now, !place(now), busy);
        clients.add(client);
        return client;
    }

    /**
     * Whether one more connection may be accepted beside {@code pending} accepted ones. Connections asked to close count as
     * long as they hold their descriptors. Keeps descriptors for the program itself, for connections to servers and for
     * discovery; other clients wait in the kernel's listen queue, where their requests are not lost.
     */
    boolean takes(int coming, Instant now) {
        if (taken() + coming >= 2 * most + MOST_BEYOND) {
            place(now); // asks one to close, which counts until it has closed
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

    /** Whether there is room for one more. At the limit, asks an idle or silent one to close for it; false if there is none. */
    private boolean place(Instant now) {
        return taken() - clients.stream().filter(Client::going).count() < 2L * most || askOne(now);
    }

    private boolean askOne(Instant now) {
        return ask(c -> c.heard && c.idleSince.plus(STAY).isBefore(now))
                || ask(c -> !c.heard && c.connected.plus(SILENT).isBefore(now));
    }

    /** Whether more than half of the limit is used; answered connections are then closed to make room. */
    boolean crowded() {
        return taken() > most;
    }

    /**
     * Whether no further request may begin. Each request needs a second descriptor, and up to twice as many idle connections
     * are accepted as may have an open request; they could all send one at once.
     */
    boolean full() {
        return busy.get() >= most || taken() >= 2 * most + MOST_BEYOND || crowded() && !descriptors.serves(busy.get());
    }

    /** Changes the limit; connections over a lower one stay open. */
    public void most(int connections) {
        most = connections;
    }

    /**
     * Asks the longest idle of the eligible connections to close. Its reading thread does so, and only between requests: a
     * close from another thread could hit a request that is just being read.
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

    /** Reserves bytes for a body; false, with nothing reserved, if the limit would be exceeded. */
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

    /** Makes the reactor check the connections that are idle for longer than {@code minIdle}. */
    void wake(Instant now, Duration quiet) {
        clients.stream().filter(c -> c.idle() && c.quiet(now, quiet)).forEach(Client::wake);
    }

    /** Makes the reactor check the timeouts of each connection. */
    void lookAtAll() {
        clients.forEach(c -> {
            c.due.set(true);
            c.wake();
        });
    }

    /** Whether any request is open or any answer is not written yet. */
    boolean busy() {
        return clients.stream().anyMatch(c -> !c.idle());
    }

    /** The number of open connections. */
    public int size() {
        return clients.size();
    }

    public long bytes() {
        return bytes.get();
    }
}

package copperbeam.transport;

import copperbeam.protocol.MemoryBudget;
import copperbeam.protocol.MemoryShare;
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
import java.util.function.Predicate;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.reactor.IOSession;

/**
 * The client connections of all fronts, and the limits they share: connections, and bytes of buffered request bodies.
 * Keeps the process within its descriptors and memory when clients stay idle, never send a request, or send much.
 */
public final class ClientConnections {
    private static final Duration MIN_IDLE_TIME =
            Duration.ofSeconds(2); // a connection idle for less is not closed to make room
    private static final Duration FIRST_BYTE_GRACE =
            Duration.ofMillis(500); // from accept; one without a byte by then may be closed

    private static final Duration MAX_FIRST_READ_DELAY =
            Duration.ofSeconds(1); // from accept, under load, to the first read of a request sent before the accept
    private static final int MAX_OVER_LIMIT =
            8; // connections accepted just to refuse their requests; take the program's own descriptors

    static final int FREE_HEAD_BYTES = 8 * 1024;
    static final int FREE_ANSWER_BYTES = 8 * 1024;
    private static final int FREE_PARTIAL_HEAD_BYTES = 1024;

    /** One client's connection. */
    static final class Client {
        final IOSession session;
        private final AtomicInteger busyConnections; // all clients' connections with an open request
        final Instant connectedAt;
        private final AtomicInteger openRequests = new AtomicInteger();
        private final AtomicInteger dispatchedRequests =
                new AtomicInteger(); // handed to a front, without their answers
        private final AtomicInteger endedRequests = new AtomicInteger();
        private volatile Instant idleSince;
        final boolean overLimit; // accepted over the limit: its requests are refused
        // the earliest time at which the connection may have entered the listen queue; null once its first request was
        // read; only on the reactor's thread
        Instant queuedSince;
        volatile boolean hasReceived; // a byte was received
        final MemoryShare partialHead; // memory of a head of which some is still to come
        volatile boolean receivingBody; // a request's body is being received
        boolean ignoresRequests; // no further request is read from it; only on the reactor's thread
        ServerExchange currentExchange; // the request whose head came last; only on the reactor's thread
        HttpException parseError; // why the last head could not be parsed, or null; only on the reactor's thread
        final Queue<ServerExchange> readyExchanges =
                new ArrayDeque<>(); // complete, to be dispatched one after another; only on the reactor's thread
        volatile boolean ignoresInput; // the last answer is being completed or aborted; no more input is read
        volatile Instant closeAt; // earliest time to close after the last answer; null: no close is planned
        volatile boolean answerCut; // the last answer is a stream that was cut
        volatile HttpFrontServer.CloseReason closeReason; // why it was closed here; null: it was not
        volatile String lastRequestId; // of the request that ended last; null: none has, or it had no id
        private volatile boolean askedToClose; // its reading thread is asked to close it
        private final AtomicBoolean checkDue = new AtomicBoolean(); // its reading thread is to check its timeouts

        Client(IOSession session, Instant now, boolean overLimit, AtomicInteger busyConnections, MemoryBudget heads) {
            partialHead = new MemoryShare(heads, FREE_PARTIAL_HEAD_BYTES);
            this.busyConnections = busyConnections;
            this.session = session;
            this.overLimit = overLimit;
            connectedAt = now;
            idleSince = now;
        }

        void requestBegan() {
            if (openRequests.getAndIncrement() == 0) {
                busyConnections.incrementAndGet();
            }
        }

        /** A front is about to get a request. */
        void requestDispatched() {
            dispatchedRequests.incrementAndGet();
        }

        /** Whether a front has a request that is not answered yet. */
        boolean hasDispatched() {
            return dispatchedRequests.get() > 0;
        }

        /** The number of requests that have ended so far. */
        int endedRequests() {
            return endedRequests.get();
        }

        /** {@code dispatched}: a front had the request. */
        void requestEnded(Instant now, boolean dispatched) {
            idleSince = now;
            endedRequests.incrementAndGet();
            if (dispatched) {
                dispatchedRequests.decrementAndGet();
            }
            if (openRequests.decrementAndGet() == 0) {
                busyConnections.decrementAndGet();
            } else {
                wake(); // the next request may be dispatched
            }
        }

        /**
         * The longest time that a request read now may have waited since its connection entered the listen queue; zero
         * for all but the first request, and for a first one that came long after the accept. Servers are told the
         * client's timeout less this time.
         */
        Duration takeMaxQueueTime(Instant now) {
            boolean sentBeforeAccept = queuedSince != null
                    && !connectedAt.plus(MAX_FIRST_READ_DELAY).isBefore(now);
            Duration maxQueueTime = sentBeforeAccept ? Duration.between(queuedSince, now) : Duration.ZERO;
            queuedSince = null;
            return maxQueueTime;
        }

        boolean isBusy() {
            return openRequests.get() > 0;
        }

        /**
         * No request is open and nothing is left to write. The second condition matters as HttpCore may write an answer's
         * end later than its request counts as ended; a close in between would truncate it.
         */
        boolean isIdle() {
            try {
                return !isBusy() && (session.getEventMask() & SelectionKey.OP_WRITE) == 0;
            } catch (CancelledKeyException e) {
                return !isBusy(); // the connection is closed
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
        boolean pollCheckDue() {
            return checkDue.getAndSet(false);
        }

        /** Idle for longer than {@code minIdle}; before the first byte, open for longer than {@code FIRST_BYTE_GRACE}. */
        boolean isQuiet(Instant now, Duration minIdle) {
            return hasReceived
                    ? idleSince.plus(minIdle).isBefore(now)
                    : connectedAt.plus(FIRST_BYTE_GRACE).isBefore(now);
        }

        int openRequests() {
            return openRequests.get();
        }

        /** Whether it was asked to close, to make room for another. */
        boolean isAskedToClose() {
            return askedToClose;
        }

        /** Withdraws the request to close, as it is in use after all. */
        void keepOpen() {
            askedToClose = false;
        }
    }

    private volatile int maxBusy;
    private final DescriptorBudget descriptors;
    private final Set<Client> clients = ConcurrentHashMap.newKeySet();
    private final AtomicInteger busyConnections = new AtomicInteger();
    final MemoryBudget bodies;
    final MemoryBudget heads;
    final MemoryBudget answers;

    /**
     * Limits on the memory of all clients together, in bytes.
     *
     * @param bodies request bodies, and what fronts need to parse them
     * @param heads request heads, as far as they exceed {@link #FREE_HEAD_BYTES} each
     * @param answers parts of answers that wait for their clients, as far as they exceed {@link #FREE_ANSWER_BYTES} each
     */
    public record MemoryLimits(long bodies, long heads, long answers) {}

    /** Without a limit on the process's descriptors, and with a limit on the bytes of request bodies alone. */
    public ClientConnections(int maxBusy, long maxBodyBytes) {
        this(
                maxBusy,
                new MemoryLimits(maxBodyBytes, Integer.MAX_VALUE, Integer.MAX_VALUE),
                DescriptorBudget.unlimited());
    }

    /**
     * {@code maxBusy}: limit on connections with an open request. A
     * connection with an open request counts as two descriptors (the second one towards a server), an idle one as one; all
     * together may use {@code 2 * maxBusy}. Thus, many idle connections can't crowd out those with requests.
     */
    public ClientConnections(int maxBusy, MemoryLimits memory, DescriptorBudget descriptors) {
        this.maxBusy = maxBusy;
        this.descriptors = descriptors;
        bodies = new MemoryBudget(memory.bodies());
        heads = new MemoryBudget(memory.heads());
        answers = new MemoryBudget(memory.answers());
    }

    /** Adds a new connection. At the limit, asks an idle one to close; if there is none, the new one's requests are refused. */
    Client register(IOSession session, Instant now) {
        Client client = new Client(session, now, !makeRoom(now), busyConnections, heads);
        clients.add(client);
        return client;
    }

    /**
     * Whether one more connection may be accepted beside {@code pending} accepted ones. Connections asked to close count as
     * long as they hold their descriptors. Keeps descriptors for the program itself, for connections to servers and for
     * discovery; other clients wait in the kernel's listen queue, where their requests are not lost.
     */
    boolean mayAccept(int pending, Instant now) {
        if (usedDescriptors() + pending >= 2 * maxBusy + MAX_OVER_LIMIT) {
            makeRoom(now); // asks one to close, which counts until it has closed
            return false;
        }
        boolean accepts = !isCrowded() || descriptors.grantClient(busyConnections.get());
        if (!accepts && clients.stream().noneMatch(Client::isAskedToClose)) {
            askIdleToClose(now);
        }
        return accepts;
    }

    private int usedDescriptors() {
        return clients.size() + busyConnections.get();
    }

    /** Whether there is room for one more. At the limit, asks an idle or silent one to close for it; false if there is none. */
    private boolean makeRoom(Instant now) {
        return usedDescriptors()
                                - clients.stream()
                                        .filter(Client::isAskedToClose)
                                        .count()
                        < 2L * maxBusy
                || askIdleToClose(now);
    }

    private boolean askIdleToClose(Instant now) {
        return askToClose(c -> c.hasReceived && c.idleSince.plus(MIN_IDLE_TIME).isBefore(now))
                || askToClose(c ->
                        !c.hasReceived && c.connectedAt.plus(FIRST_BYTE_GRACE).isBefore(now));
    }

    /** Whether more than half of the limit is used; answered connections are then closed to make room. */
    boolean isCrowded() {
        return usedDescriptors() > maxBusy;
    }

    /**
     * Whether no further request may begin. Each request needs a second descriptor, and up to twice as many idle connections
     * are accepted as may have an open request; they could all send one at once.
     */
    private boolean isFull() {
        return busyConnections.get() >= maxBusy
                || usedDescriptors() >= 2 * maxBusy + MAX_OVER_LIMIT
                || isCrowded() && !descriptors.mayBeginRequest(busyConnections.get());
    }

    /** Whether one more request may begin: there is room for it, and answers that wait for their clients leave memory for its own. */
    boolean mayBeginRequest() {
        return !isFull() && !answers.isExceeded();
    }

    /** Changes the limit; connections over a lower one stay open. */
    public void setMaxBusy(int limit) {
        maxBusy = limit;
    }

    /**
     * Asks the longest idle of the eligible connections to close. Its reading thread does so, and only between requests: a
     * close from another thread could hit a request that is just being read.
     */
    private boolean askToClose(Predicate<Client> eligible) {
        return clients.stream()
                .filter(client -> !client.askedToClose && client.isIdle() && eligible.test(client))
                .min(Comparator.comparing(client -> client.idleSince))
                .map(client -> {
                    client.askedToClose = true;
                    client.wake();
                    return client;
                })
                .isPresent();
    }

    void unregister(Client client) {
        clients.remove(client);
        client.partialHead.close();
    }

    /** Makes the reactor check the connections that are idle for longer than {@code minIdle}. */
    void wakeQuiet(Instant now, Duration minIdle) {
        clients.stream().filter(c -> c.isIdle() && c.isQuiet(now, minIdle)).forEach(Client::wake);
    }

    /** Makes the reactor check the timeouts of each connection. */
    void wakeAll() {
        clients.forEach(client -> {
            client.checkDue.set(true);
            client.wake();
        });
    }

    /** Whether any request is open or any answer is not written yet. */
    boolean isBusy() {
        return clients.stream().anyMatch(c -> !c.isIdle());
    }

    /** The number of open connections. */
    public int size() {
        return clients.size();
    }

    /** The number of connections with an open request. */
    public int busyConnections() {
        return busyConnections.get();
    }

    public long bodyBytes() {
        return bodies.reservedBytes();
    }
}

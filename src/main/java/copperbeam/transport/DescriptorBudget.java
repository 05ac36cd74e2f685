package copperbeam.transport;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Decides whether enough file descriptors are left for clients and for connections to servers, by the system's count of
 * open ones. A count of clients alone does not suffice: a closed connection holds its descriptor until its reactor's next
 * select, and a connection to a server may outlive the request that it was opened for. For any thread.
 */
public final class DescriptorBudget {
    // descriptors that must stay free; each leaves enough for the ones below it, the last for discovery, operators and files
    private static final int KEPT_FROM_CLIENTS = 24; // after accepting a client
    private static final int KEPT_FROM_REQUESTS = 16; // after a connected client's request begins
    private static final int KEPT_FROM_SERVERS = 8; // after a connection for an attempt or a release
    private static final long AMPLE = 2; // from this multiple of the expected number on, no check is needed
    private static final long FRESH_NANOS = Duration.ofMillis(5).toNanos(); // counting 1,000 takes 0.55 ms

    private record Reading(long open, int connections, long at) {}

    private final long limit;
    private final int idle;
    private final IntSupplier connections;
    private final LongSupplier open;
    private final LongSupplier nanoTime;
    private final AtomicInteger grantedSince = new AtomicInteger(); // clients accepted since the last reading
    private volatile Reading reading;

    /**
     * {@code idleConnections}: limit on idle connections to servers; {@code connections}: all connections to servers that are
     * open or being opened; {@code openDescriptors}: open descriptors of the process, as the system counts them.
     */
    DescriptorBudget(long limit, int idle, IntSupplier connections, LongSupplier open, LongSupplier nanoTime) {
        this.limit = limit;
        this.idle = idle;
        this.connections = connections;
        this.open = open;
        this.nanoTime = nanoTime;
    }

    /**
     * For this process, by the system's limit and count. {@code expected}: descriptors it may use by its configuration, with
     * up to {@code idleConnections} idle connections to servers. Unlimited if the system allows far more than expected.
     */
    public static DescriptorBudget ofProcess(int expected, int idle, ClientReactor reactor) {
        int limit = ProcessDescriptors.limit();
        return limit < AMPLE * expected
                ? new DescriptorBudget(limit, idle, reactor::connections, ProcessDescriptors::open, System::nanoTime)
                : unlimited();
    }

    /** Always allows everything. */
    public static DescriptorBudget unlimited() {
        return new DescriptorBudget(Integer.MAX_VALUE, 0, () -> 0, () -> 0, () -> 0);
    }

    /** Whether one more client may connect, given the open requests. Each client granted counts until the next reading. */
    boolean grants(int openRequests) {
        int toCome = Math.max(0, openRequests + idle - connections.getAsInt());
        boolean grants = left() - toCome > KEPT_FROM_CLIENTS;
        if (grants) {
            grantedSince.incrementAndGet();
        }
        return grants;
    }

    /** Whether one more request may begin. Assumes that idle connections can't be reused for the requests still without one. */
    boolean serves(int openRequests) {
        int inUse = Math.max(0, connections.getAsInt() - idle);
        int toCome = Math.max(0, openRequests - inUse);
        return left() - toCome > KEPT_FROM_REQUESTS;
    }

    /** Whether one more connection to a server may be opened. */
    boolean connects() {
        return left() > KEPT_FROM_SERVERS;
    }

    private long left() {
        Reading last = reading();
        int since = Math.max(0, connections.getAsInt() - last.connections);
        return limit - last.open - grantedSince.get() - since;
    }

    private Reading reading() {
        Reading last = reading;
        long now = nanoTime.getAsLong();
        if (last == null || now - last.at > FRESH_NANOS) {
            grantedSince.set(0);
            last = new Reading(open.getAsLong(), connections.getAsInt(), now);
            reading = last;
        }
        return last;
    }
}

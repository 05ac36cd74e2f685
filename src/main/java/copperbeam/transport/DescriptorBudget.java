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
    // descriptors that must stay free; each leaves enough for the ones below it, the last for discovery, operators and
    // files
    private static final int MIN_FREE_AFTER_CLIENT = 24; // after accepting a client
    private static final int MIN_FREE_AFTER_REQUEST = 16; // after a connected client's request begins
    private static final int MIN_FREE_AFTER_SERVER_CONNECTION = 8; // after a connection for an attempt or a release
    private static final long UNLIMITED_FROM_MULTIPLE =
            2; // from this multiple of the expected number on, no check is needed
    private static final long MAX_READING_AGE_NANOS = Duration.ofMillis(5).toNanos(); // counting 1,000 takes 0.55 ms

    private record Reading(long openDescriptors, int connections, long takenAtNanos) {}

    private final long limit;
    private final int maxIdleConnections;
    private final IntSupplier connections;
    private final LongSupplier openDescriptors;
    private final LongSupplier nanoTime;
    private final AtomicInteger grantedSinceReading = new AtomicInteger(); // clients accepted since the last reading
    private volatile Reading reading;

    /**
     * {@code maxIdleConnections}: limit on idle connections to servers; {@code connections}: all connections to servers
     * that are open or being opened; {@code openDescriptors}: open descriptors of the process, as the system counts
     * them.
     */
    DescriptorBudget(
            long limit,
            int maxIdleConnections,
            IntSupplier connections,
            LongSupplier openDescriptors,
            LongSupplier nanoTime) {
        this.limit = limit;
        this.maxIdleConnections = maxIdleConnections;
        this.connections = connections;
        this.openDescriptors = openDescriptors;
        this.nanoTime = nanoTime;
    }

    /**
     * For this process, by the system's limit and count. {@code expected}: descriptors it may use by its configuration,
     * with up to {@code maxIdleConnections} idle connections to servers. Unlimited if the system allows far more than
     * expected.
     */
    public static DescriptorBudget ofProcess(int expected, int maxIdleConnections, ClientReactor reactor) {
        int limit = ProcessDescriptors.limit();
        return limit < UNLIMITED_FROM_MULTIPLE * expected
                ? new DescriptorBudget(
                        limit,
                        maxIdleConnections,
                        reactor::connectionCount,
                        ProcessDescriptors::openCount,
                        System::nanoTime)
                : unlimited();
    }

    /** Always allows everything. */
    public static DescriptorBudget unlimited() {
        return new DescriptorBudget(Integer.MAX_VALUE, 0, () -> 0, () -> 0, () -> 0);
    }

    /** Whether one more client may connect, given the open requests. Each client granted counts until the next reading. */
    boolean grantClient(int openRequests) {
        int pendingConnections = Math.max(0, openRequests + maxIdleConnections - connections.getAsInt());
        boolean granted = remaining() - pendingConnections > MIN_FREE_AFTER_CLIENT;
        if (granted) {
            grantedSinceReading.incrementAndGet();
        }
        return granted;
    }

    /** Whether one more request may begin. Assumes that idle connections can't be reused for the requests still without one. */
    boolean mayBeginRequest(int openRequests) {
        int inUse = Math.max(0, connections.getAsInt() - maxIdleConnections);
        int pendingConnections = Math.max(0, openRequests - inUse);
        return remaining() - pendingConnections > MIN_FREE_AFTER_REQUEST;
    }

    /** Whether one more connection to a server may be opened. */
    boolean mayConnectToServer() {
        return remaining() > MIN_FREE_AFTER_SERVER_CONNECTION;
    }

    private long remaining() {
        Reading last = reading();
        int openedSinceReading = Math.max(0, connections.getAsInt() - last.connections);
        return limit - last.openDescriptors - grantedSinceReading.get() - openedSinceReading;
    }

    private Reading reading() {
        Reading last = reading;
        long now = nanoTime.getAsLong();
        if (last == null || now - last.takenAtNanos > MAX_READING_AGE_NANOS) {
            grantedSinceReading.set(0);
            last = new Reading(openDescriptors.getAsLong(), connections.getAsInt(), now);
            reading = last;
        }
        return last;
    }
}

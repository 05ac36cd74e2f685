package copperbeam.transport;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Whether descriptors are left for clients and for connections to servers, by the system's own count of those that are open. A count
 * of clients alone does not tell: a closed connection holds its descriptor until its reactor's next select, and a connection to a
 * server may outlive the request that it was opened for. For any thread.
 */
public final class DescriptorBudget {
    // each leaves what the ones below it need, and the last what discovery, operators and files opened late do
    private static final int KEPT_FROM_CLIENTS = 24; // who would connect
    private static final int KEPT_FROM_REQUESTS = 16; // of clients that have connected
    private static final int KEPT_FROM_SERVERS = 8; // attempts and releases
    private static final long AMPLE = 2; // times as many as expected
    private static final long FRESH_NANOS = Duration.ofMillis(5).toNanos(); // a count of 1,000 takes 0.55 ms

    private record Reading(long open, int connections, long at) {}

    private final long limit;
    private final int idle;
    private final IntSupplier connections;
    private final LongSupplier open;
    private final LongSupplier nanoTime;
    private final AtomicInteger grantedSince = new AtomicInteger(); // the reading
    private volatile Reading reading;

    /**
     * {@code idle}: connections to servers that may stand idle; {@code connections}: all to servers that are open or being opened;
     * {@code open}: descriptors of the process, as the system counts them.
     */
    DescriptorBudget(long limit, int idle, IntSupplier connections, LongSupplier open, LongSupplier nanoTime) {
        this.limit = limit;
        this.idle = idle;
        this.connections = connections;
        this.open = open;
        this.nanoTime = nanoTime;
    }

    /**
     * By what the system tells of this process; {@code expected}: descriptors that the configuration lets it have, of which
     * {@code idle} may be idle connections to servers. None is ever refused where the system allows far more than is expected.
     */
    public static DescriptorBudget ofProcess(int expected, int idle, ClientReactor reactor) {
        int limit = ProcessDescriptors.limit();
        return limit < AMPLE * expected
                ? new DescriptorBudget(limit, idle, reactor::connections, ProcessDescriptors::open, System::nanoTime)
                : unlimited();
    }

    /** None is ever refused. */
    public static DescriptorBudget unlimited() {
        return new DescriptorBudget(Integer.MAX_VALUE, 0, () -> 0, () -> 0, () -> 0);
    }

    /** Whether one more client may connect beside so many open requests. Each one granted counts until the next reading. */
    boolean grants(int openRequests) {
        int toCome = Math.max(0, openRequests + idle - connections.getAsInt());
        boolean grants = left() - toCome > KEPT_FROM_CLIENTS;
        if (grants) {
            grantedSince.incrementAndGet();
        }
        return grants;
    }

    /** Whether one more request may begin. Each open one may need a connection yet, and those that are idle be of no use to it. */
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

package copperbeam.routing;

import copperbeam.routing.Connector.Connection;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** The connections to one server that carry no call; its {@link PeerActor} alone reads and changes them. */
final class IdleConnections {
    /** {@code since}: when its last call ended. */
    record Idle(Connection connection, Instant since) {}

    // a second answer comes some milliseconds behind the first, and would be taken for that to the next call
    private static final Duration SETTLING = Duration.ofMillis(30);
    private static final Duration SHORTEST_LIFETIME = Duration.ofMillis(100); // shorter is a close after an answer

    private final Clock clock;
    private final Deque<Idle> connections = new ArrayDeque<>();
    private Duration lifetime;
    private int capacity = 1;

    /** {@code lifetime}: so long a connection may stand idle. */
    IdleConnections(Clock clock, Duration lifetime) {
        this.clock = clock;
        this.lifetime = lifetime;
    }

    boolean isEmpty() {
        return connections.isEmpty();
    }

    Duration lifetime() {
        return lifetime;
    }

    void add(Connection connection) {
        connections.add(new Idle(connection, clock.instant()));
        evict();
    }

    void limit(int newCapacity) {
        capacity = newCapacity;
        evict();
    }

    private void evict() {
        while (connections.size() > capacity) {
            connections.pollFirst().connection().close();
        }
    }

    /** The connection used last of those that have settled, or null. */
    Idle take() {
        Instant now = clock.instant();
        for (Iterator<Idle> i = connections.descendingIterator(); i.hasNext(); ) {
            Idle next = i.next();
            // never written on when the server may be closing it: what was written would count as a reset
            if (!next.connection().isOpen() || isStale(next, now)) {
                i.remove();
                next.connection().close();
            } else if (!next.since().isAfter(now.minus(SETTLING))) {
                i.remove();
                return next;
            }
        }
        return null;
    }

    /** Closes what has stood idle for its lifetime, well before the server would. */
    void closeStale() {
        Instant now = clock.instant();
        for (Iterator<Idle> i = connections.iterator(); i.hasNext(); ) {
            Idle next = i.next();
            if (isStale(next, now)) {
                i.remove();
                next.connection().close();
            }
        }
    }

    private boolean isStale(Idle idle, Instant now) {
        return !idle.since().isAfter(now.minus(lifetime));
    }

    /**
     * The server has closed this one, which may be in use. True where the lifetime is shorter now. Guards against servers
     * that close what is idle sooner than they say: kept for half of what they bear.
     */
    boolean closed(Connection connection) {
        for (Iterator<Idle> i = connections.iterator(); i.hasNext(); ) {
            Idle next = i.next();
            if (next.connection() == connection) {
                i.remove();
                return shorten(Duration.between(next.since(), clock.instant()).dividedBy(2));
            }
        }
        return false;
    }

    private boolean shorten(Duration half) {
        if (half.compareTo(SHORTEST_LIFETIME) <= 0 || half.compareTo(lifetime) >= 0) {
            return false;
        }
        lifetime = half;
        return true;
    }

    void closeAll() {
        connections.forEach(i -> i.connection().close());
        connections.clear();
    }
}

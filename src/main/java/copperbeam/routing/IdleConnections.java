package copperbeam.routing;

import copperbeam.routing.Connector.Connection;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** The idle connections to one server, kept for reuse. Confined to its {@link PeerActor}. */
final class IdleConnections {
    /** A kept connection; {@code idleSince} is when its last call ended. */
    record Idle(Connection connection, Instant since) {}

    // a faulty server may send a second answer some milliseconds after the first; on a connection that was reused by then,
    // it would be taken for the answer to the next call
    private static final Duration SETTLING = Duration.ofMillis(30);
    private static final Duration SHORTEST_LIFETIME = Duration.ofMillis(100); // a server that closes sooner closes after each answer

    private final Clock clock;
    private final Deque<Idle> connections = new ArrayDeque<>();
    private Duration lifetime;
    private int capacity = 1;

    /** {@code lifetime}: how long a connection may be kept idle, until servers turn out to close sooner. */
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

    /** Removes and returns the most recently used connection that has been idle long enough for reuse, or null. */
    Idle take() {
        Instant now = clock.instant();
        for (Iterator<Idle> i = connections.descendingIterator(); i.hasNext(); ) {
            Idle next = i.next();
            // a connection that the server may be closing is not reused: a request written on it would count as reset
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

    /** Closes the connections that have reached their idle lifetime, well before the server would. */
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
     * Removes a connection that has closed; it may have been in use instead. If it was idle, the lifetime is cut to half
     * of the time it had been idle, since some servers close idle connections sooner than they announce.
     *
     * @return whether the lifetime was shortened
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

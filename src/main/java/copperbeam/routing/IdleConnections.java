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
    record IdleConnection(Connection connection, Instant idleSince) {}

    // a faulty server may send a second answer some milliseconds after the first; on a connection that was reused by
    // then, it would be taken for the answer to the next call
    private static final Duration MIN_IDLE_BEFORE_REUSE = Duration.ofMillis(30);
    private static final Duration MIN_LIFETIME =
            Duration.ofMillis(100); // a server that closes sooner closes after each answer

    private final Clock clock;
    private final Deque<IdleConnection> connections = new ArrayDeque<>();
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
        connections.add(new IdleConnection(connection, clock.instant()));
        evict();
    }

    void setCapacity(int newCapacity) {
        capacity = newCapacity;
        evict();
    }

    private void evict() {
        while (connections.size() > capacity) {
            connections.pollFirst().connection().close();
        }
    }

    /** Removes and returns the most recently used connection that has been idle long enough for reuse, or null. */
    IdleConnection takeReusable() {
        Instant now = clock.instant();
        for (Iterator<IdleConnection> iterator = connections.descendingIterator(); iterator.hasNext(); ) {
            IdleConnection candidate = iterator.next();
            // a connection that the server may be closing is not reused: a request written on it would count as reset
            if (!candidate.connection().isOpen() || isStale(candidate, now)) {
                iterator.remove();
                candidate.connection().close();
            } else if (!candidate.idleSince().isAfter(now.minus(MIN_IDLE_BEFORE_REUSE))) {
                iterator.remove();
                return candidate;
            }
        }
        return null;
    }

    /** Closes the connections that have reached their idle lifetime, well before the server would. */
    void closeStale() {
        Instant now = clock.instant();
        for (Iterator<IdleConnection> iterator = connections.iterator(); iterator.hasNext(); ) {
            IdleConnection candidate = iterator.next();
            if (isStale(candidate, now)) {
                iterator.remove();
                candidate.connection().close();
            }
        }
    }

    private boolean isStale(IdleConnection idle, Instant now) {
        return !idle.idleSince().isAfter(now.minus(lifetime));
    }

    /**
     * Removes a connection that has closed; it may have been in use instead. If it was idle, the lifetime is cut to half
     * of the time it had been idle, since some servers close idle connections sooner than they announce.
     *
     * @return whether the lifetime was shortened
     */
    boolean removeClosed(Connection connection) {
        for (Iterator<IdleConnection> iterator = connections.iterator(); iterator.hasNext(); ) {
            IdleConnection candidate = iterator.next();
            if (candidate.connection() == connection) {
                iterator.remove();
                return shortenLifetime(
                        Duration.between(candidate.idleSince(), clock.instant()).dividedBy(2));
            }
        }
        return false;
    }

    private boolean shortenLifetime(Duration newLifetime) {
        if (newLifetime.compareTo(MIN_LIFETIME) <= 0 || newLifetime.compareTo(lifetime) >= 0) {
            return false;
        }
        lifetime = newLifetime;
        return true;
    }

    void closeAll() {
        connections.forEach(idle -> idle.connection().close());
        connections.clear();
    }
}

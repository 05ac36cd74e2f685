package copperbeam.routing;

import copperbeam.routing.Connector.Connection;
import java.time.Instant;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Tracks which connections to one server have answered recently, to distinguish a call that the server has not answered yet
 * from one that never arrived: packets on established connections may be dropped without an error while new connections
 * still come up. Confined to its {@link PeerActor}.
 */
final class AnsweredConnections {
    private static final class Life {
        final long order; // of opening, ascending
        Instant answered; // when the newest of its answered calls was dispatched; null: none yet

        Life(long order) {
            this.order = order;
        }
    }

    private final Map<Connection, Life> lives = new IdentityHashMap<>();
    private long opened;
    private Instant answered; // the same over all connections, including those closed since

    void opened(Connection connection) {
        lives.put(connection, new Life(++opened));
    }

    void closed(Connection connection) {
        lives.remove(connection);
    }

    /** Records that the call has received an answer, or the head of one. */
    void answered(ServerCall call) {
        Life life = lives.get(call.connection);
        if (life != null) {
            life.answered = later(life.answered, call.written);
        }
        answered = later(answered, call.written);
    }

    /**
     * Whether it is safe to assume that the call has arrived: a call dispatched later was answered. If this call's connection
     * had carried others before, that answer must have come on an older connection, because a fault that silences
     * established connections would have silenced that one as well.
     */
    boolean proveArrival(ServerCall call) {
        Life own = lives.get(call.connection);
        if (own == null || call.written == null) {
            return false;
        }
        return call.reused
                ? lives.values().stream().anyMatch(life -> life.order < own.order && after(life.answered, call.written))
                : after(answered, call.written);
    }

    private static Instant later(Instant one, Instant other) {
        return after(one, other) ? one : other;
    }

    private static boolean after(Instant one, Instant other) {
        return one != null && one.isAfter(other);
    }
}

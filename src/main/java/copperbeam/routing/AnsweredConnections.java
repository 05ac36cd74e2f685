package copperbeam.routing;

import copperbeam.routing.Connector.Connection;
import java.time.Instant;
import java.util.IdentityHashMap;
import java.util.Map;

/**
 * Which connections to one server have answered lately, so that a call without an answer can be told from one that never arrived: open
 * connections may fall silent with no error, while new ones come up. Its {@link PeerActor} alone reads and changes it.
 */
final class AnsweredConnections {
    private static final class Life {
        final long order; // of opening
        Instant answered; // when the newest call was written that it has answered; null: none yet

        Life(long order) {
            this.order = order;
        }
    }

    private final Map<Connection, Life> lives = new IdentityHashMap<>();
    private long opened;
    private Instant answered; // the same, of all connections, those closed since too

    void opened(Connection connection) {
        lives.put(connection, new Life(++opened));
    }

    void closed(Connection connection) {
        lives.remove(connection);
    }

    /** The call has an answer, or the head of one. */
    void answered(ServerCall call) {
        Life life = lives.get(call.connection);
        if (life != null) {
            life.answered = later(life.answered, call.written);
        }
        answered = later(answered, call.written);
    }

    /**
     * Whether the call can be taken for one that arrived: a call that was written later was answered, on a connection at least
     * as old where this call's has carried others before. What silences connections that are open would have silenced that one as well.
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

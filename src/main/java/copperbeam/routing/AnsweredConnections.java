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
    private static final class ConnectionHistory {
        final long openingOrder; // 1 for the first connection opened to the server, 2 for the next
        Instant newestAnsweredDispatch; // when the newest of its answered calls was dispatched; null: none yet

        ConnectionHistory(long openingOrder) {
            this.openingOrder = openingOrder;
        }
    }

    private final Map<Connection, ConnectionHistory> histories = new IdentityHashMap<>();
    private long openedCount;
    private Instant newestAnsweredDispatch; // the same over all connections, including those closed since

    void connectionOpened(Connection connection) {
        histories.put(connection, new ConnectionHistory(++openedCount));
    }

    void connectionClosed(Connection connection) {
        histories.remove(connection);
    }

    /** Records that the call has received an answer, or the head of one. */
    void callAnswered(ServerCall call) {
        ConnectionHistory history = histories.get(call.connection);
        if (history != null) {
            history.newestAnsweredDispatch = laterOf(history.newestAnsweredDispatch, call.dispatchedAt);
        }
        newestAnsweredDispatch = laterOf(newestAnsweredDispatch, call.dispatchedAt);
    }

    /**
     * Whether it is safe to assume that the call has arrived: a call dispatched later was answered. If this call's connection
     * had carried others before, that answer must have come on an older connection, because a fault that silences
     * established connections would have silenced that one as well.
     */
    boolean isArrivalProven(ServerCall call) {
        ConnectionHistory history = histories.get(call.connection);
        if (history == null || call.dispatchedAt == null) {
            return false;
        }
        return call.connectionReused
                ? histories.values().stream()
                        .anyMatch(other -> other.openingOrder < history.openingOrder
                                && isAfter(other.newestAnsweredDispatch, call.dispatchedAt))
                : isAfter(newestAnsweredDispatch, call.dispatchedAt);
    }

    private static Instant laterOf(Instant first, Instant second) {
        return isAfter(first, second) ? first : second;
    }

    private static boolean isAfter(Instant first, Instant second) {
        return first != null && first.isAfter(second);
    }
}

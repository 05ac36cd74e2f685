package copperbeam.routing;

import copperbeam.Api.Outcome;
import copperbeam.Api.Report;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Future;

/** One call to a server, from its wait for a connection to its end; its {@link PeerActor} alone reads and changes it. */
final class ServerCall {
    final PeerActor.Message order;
    final Instant began;
    Instant until;
    Future<?> expiry;
    Instant written; // when a connection took it, null before
    Instant heard; // when the last event came
    Instant ended; // when its connection's last word came, null where it has none or it was closed here
    Connector.Connection connection;
    boolean reused;
    int connects; // connections asked for
    int unsent; // new connections that ended before the last byte left
    boolean done;
    boolean offered; // the first event went to the module
    boolean proceeding;
    boolean whole; // ended well while the first event was still with the module
    boolean cut; // the same, but broken
    Connector.Word word;
    Report report;
    double kept = Double.NaN; // see Connector.Listener
    final Deque<byte[]> held = new ArrayDeque<>();

    ServerCall(PeerActor.Message order, Instant began) {
        this.order = order;
        this.began = began;
    }

    PeerActor.Send send() {
        return order instanceof PeerActor.Send s ? s : null;
    }

    /** When a connection for it must be up that would have until {@code usual}. */
    Instant upBy(Instant usual) {
        return send() != null && send().upBy().isBefore(usual) ? send().upBy() : usual;
    }

    /** The head of its answer says that nothing ran, whatever becomes of the rest. */
    boolean refused() {
        return word == Connector.Word.TURNED_AWAY || word == Connector.Word.STATE_MISSING;
    }

    /** Of a call whose answer is whole. */
    Outcome answered() {
        return switch (word == null ? Connector.Word.ERROR : word) {
            case STREAM -> proceeding ? Outcome.OK : Outcome.ERROR;
            case READ -> Outcome.READ;
            case HEARD -> Outcome.OK;
            case TURNED_AWAY, STATE_MISSING -> Outcome.FULL;
            case ERROR -> Outcome.ERROR;
        };
    }

    Runnable granting(byte[] raw) {
        Connector.Connection granted = connection;
        // none any more where the stream was whole before its first event was taken
        return granted == null ? () -> {} : () -> granted.grant(raw.length);
    }
}

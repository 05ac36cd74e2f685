package copperbeam.routing;

import copperbeam.Api.Outcome;
import copperbeam.Api.Report;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Future;

/**
 * The state of one call to a server (attempt, probe or release), from its wait for a connection to its end. Confined to its
 * {@link PeerActor}.
 */
final class ServerCall {
    final PeerActor.Message order;
    final Instant began;
    Instant until;
    Future<?> expiry;
    Instant written; // when it was handed to a connection; null before
    Instant heard; // when the last event of the stream arrived
    Instant ended; // when the answer ended or the connection broke or was reset; null before, and after an ordinary close here
    Connector.Connection connection;
    boolean reused;
    int connects; // connects started
    int unsent; // new connections that ended before the last byte was sent
    boolean done;
    boolean offered; // the first event was sent to the ModuleActor
    boolean proceeding; // the ModuleActor has accepted the first event
    boolean whole; // the answer was completed before the ModuleActor accepted the first event
    boolean cut; // the connection broke before the ModuleActor accepted the first event
    Connector.Word word;
    Report report;
    double kept = Double.NaN; // see Connector.CallListener.end
    final Deque<byte[]> held = new ArrayDeque<>(); // events after the first, until the ModuleActor accepts that

    ServerCall(PeerActor.Message order, Instant began) {
        this.order = order;
        this.began = began;
    }

    /** The attempt that this call carries, or null for a probe or a release. */
    PeerActor.Send send() {
        return order instanceof PeerActor.Send s ? s : null;
    }

    /** When a new connection for this call must be up: {@code defaultDeadline}, or earlier if the attempt requires it. */
    Instant upBy(Instant usual) {
        return send() != null && send().upBy().isBefore(usual) ? send().upBy() : usual;
    }

    /** The head of the answer says that the server did not run the request; this holds even if the rest is lost. */
    boolean refused() {
        return word == Connector.Word.TURNED_AWAY || word == Connector.Word.STATE_MISSING;
    }

    /** The outcome of a call whose answer is complete. */
    Outcome answered() {
        return switch (word == null ? Connector.Word.ERROR : word) {
            case STREAM -> proceeding ? Outcome.OK : Outcome.ERROR;
            case READ -> Outcome.READ;
            case HEARD -> Outcome.OK;
            case TURNED_AWAY, STATE_MISSING -> Outcome.FULL;
            case ERROR -> Outcome.ERROR;
        };
    }

    /** Returns a task that extends the receive window by the size of this event. */
    Runnable granting(byte[] raw) {
        Connector.Connection granted = connection;
        // null if the stream was complete before its first event was accepted
        return granted == null ? () -> {} : () -> granted.grant(raw.length);
    }
}

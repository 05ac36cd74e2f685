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
    volatile PeerActor.Message command; // null once the call has ended; also read by the transport
    final Instant startedAt;
    final AnswerDeadline answerDeadline;
    Future<?> answerTimer; // for the next look at answerDeadline
    Future<?> connectTimer; // null before the first connect
    Instant endedAt; // when the answer ended, the connection broke or an attempt was terminated here; null before
    Connector.Connection connection;
    boolean connectionReused;
    int connectCount; // connects started
    int unsentCount; // new connections that ended before the last byte was sent
    boolean done;
    boolean firstEventReported; // the first event was sent to the ModuleActor
    boolean streamAccepted; // the ModuleActor has accepted the first event
    boolean completedBeforeAccepted; // the answer was completed before the ModuleActor accepted the first event
    boolean brokenBeforeAccepted; // the connection broke before the ModuleActor accepted the first event
    Connector.AnswerKind answerKind;
    Report report;
    double cachedTokens = Double.NaN; // see Connector.CallListener.end
    final Deque<byte[]> pendingEvents =
            new ArrayDeque<>(); // events after the first, until the ModuleActor accepts that

    ServerCall(PeerActor.Message command, Instant startedAt, Instant expiresAt) {
        this.command = command;
        this.startedAt = startedAt;
        answerDeadline = new AnswerDeadline(expiresAt);
    }

    /**
     * Ends the call and gives up what it holds of the request: the connection that was opened for it refers to it as long as it
     * stays open.
     */
    void end() {
        done = true;
        pendingEvents.clear();
        answerTimer.cancel(false);
        if (connectTimer != null) {
            connectTimer.cancel(false);
        }
        command = null;
    }

    /** The attempt that this call carries, or null for a probe or a release, and once it has ended. */
    PeerActor.Send sendCommand() {
        return command instanceof PeerActor.Send send ? send : null;
    }

    /** Whether the connect of this number is under way. */
    boolean isConnecting(int connectNumber) {
        return !done && connection == null && connectNumber == connectCount;
    }

    /** When a new connection for this call must be up: {@code defaultDeadline}, or earlier if the attempt requires it. */
    Instant connectDeadline(Instant defaultDeadline) {
        return sendCommand() != null && sendCommand().connectBy().isBefore(defaultDeadline)
                ? sendCommand().connectBy()
                : defaultDeadline;
    }

    /** The head of the answer says that the server did not run the request; this holds even if the rest is lost. */
    boolean refused() {
        return answerKind == Connector.AnswerKind.TURNED_AWAY || answerKind == Connector.AnswerKind.STATE_MISSING;
    }

    /** The outcome of a call whose answer is complete. */
    Outcome outcomeOfCompleteAnswer() {
        return switch (answerKind == null ? Connector.AnswerKind.ERROR : answerKind) {
            case STREAM -> streamAccepted ? Outcome.OK : Outcome.ERROR;
            case READ -> Outcome.READ;
            case HEARD -> Outcome.OK;
            case TURNED_AWAY, STATE_MISSING -> Outcome.FULL;
            case ERROR -> Outcome.ERROR;
        };
    }

    /** Returns a task that extends the receive window by the size of this event. */
    Runnable windowGrant(byte[] eventBytes) {
        Connector.Connection grantedConnection = connection;
        // null if the stream was complete before its first event was accepted
        return grantedConnection == null ? () -> {} : () -> grantedConnection.grant(eventBytes.length);
    }
}

package copperbeam.routing;

import copperbeam.Api.Outcome;
import copperbeam.routing.StageTimes.Stage;
import java.time.Duration;
import java.time.Instant;

/**
 * State of one request from its arrival until its final answer has been given and no attempt is in flight. Confined to
 * {@link ModuleActor}, except for {@link #phase}.
 */
final class OpenRequest {
    /** Progress of a request; phases may be skipped but never go back. */
    enum Phase {
        OPEN,
        STREAMING,
        OVER
    }

    final long key;
    final RequestSpec spec;
    final ResponseSink response;
    final RequestRules rules;
    volatile Phase phase = Phase.OPEN; // also read by the transport just before it sends the last byte of an attempt
    int attempts;
    boolean attemptInFlight;
    Instant attemptDeadline; // when the attempt in flight should have ended, unless it is streaming
    PeerActor peer;
    final StateLease lease;
    Outcome lastOutcome; // of the last attempt that ended; null before the first end
    boolean releaseWanted;
    boolean clientLeft;
    private Stage stage = Stage.WAITS_FOR_READER;
    private Instant stageSince;

    OpenRequest(long key, RequestSpec spec, ResponseSink response, RequestRules rules, StateLease lease, Instant now) {
        this.key = key;
        this.spec = spec;
        this.response = response;
        this.rules = rules;
        this.lease = lease;
        stageSince = now;
    }

    Stage stage() {
        return stage;
    }

    /** Moves to the next stage and records the time spent in the current one. */
    void enterStage(Stage next, Instant now, StageTimes times) {
        times.addStay(spec.requestClass(), stage, Duration.between(stageSince, now));
        stage = next;
        stageSince = now;
    }
}

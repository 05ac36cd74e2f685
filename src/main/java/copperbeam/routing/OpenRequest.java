package copperbeam.routing;

import copperbeam.Api.Outcome;
import copperbeam.routing.StageTimes.Stage;
import java.time.Duration;
import java.time.Instant;

/** One request from its arrival until its final answer is given and no attempt is out; {@link ModuleActor}'s alone. */
final class OpenRequest {
    /** In order; a request never goes back. */
    enum Phase {
        OPEN,
        STREAMING,
        OVER
    }

    final long key;
    final Ask ask;
    final Answer answer;
    final RequestRules rules;
    volatile Phase phase = Phase.OPEN; // read by the transport too, as an attempt's last byte leaves
    int attempts;
    boolean out;
    Instant until; // when the attempt that is out should have ended, unless it is a stream
    PeerActor at;
    final StateLease lease;
    Outcome lastOutcome; // of the last attempt that has ended, null before
    boolean releaseWanted;
    private Stage stage = Stage.WAITS_FOR_READER;
    private Instant stageSince;

    OpenRequest(long key, Ask ask, Answer answer, RequestRules rules, StateLease lease, Instant now) {
        this.key = key;
        this.ask = ask;
        this.answer = answer;
        this.rules = rules;
        this.lease = lease;
        stageSince = now;
    }

    Stage stage() {
        return stage;
    }

    /** It goes on to this stage; counts how long it was in the one before. */
    void enter(Stage next, Instant now, StageTimes times) {
        times.stayed(ask.requestClass(), stage, Duration.between(stageSince, now));
        stage = next;
        stageSince = now;
    }
}

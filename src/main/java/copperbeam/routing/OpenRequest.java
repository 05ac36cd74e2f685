package copperbeam.routing;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

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
    String lastReader;
    boolean reading; // the last attempt is at a reader
    final List<String> cutReaders =
            new ArrayList<>(); // each may hold a state, or come to, that the module was not told of
    Instant lastEnd; // of an attempt that had a connection
    boolean mayHold; // something, since the last release
    boolean releaseWanted;

    OpenRequest(long key, Ask ask, Answer answer, RequestRules rules) {
        this.key = key;
        this.ask = ask;
        this.answer = answer;
        this.rules = rules;
    }
}

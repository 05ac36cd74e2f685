package copperbeam.soak;

/** An event that one party of the run observed; {@code at} is its time by {@link System#nanoTime}. */
sealed interface Observation {
    long at();

    /** A trouble (an injected fault) began or ended. */
    record Troubled(long at, TroublePlan.Trouble trouble, boolean begins) implements Observation {}

    /** A client has sent the last byte of a request. */
    record Sent(long at, String id, RequestKind kind, String conductor, long deadlineMs) implements Observation {}

    /**
     * A client has read an answer to its end, or until it lost patience. {@code complete}: up to its last chunk or its Content-Length;
     * {@code lastByteAt}: when its last byte came.
     */
    record Answered(long at, String id, int status, boolean complete, String body, long lastByteAt)
            implements Observation {
        /** The answer that the client has just read from this connection. */
        static Answered now(String id, HttpConnection.Message answer, HttpConnection connection) {
            return new Answered(
                    System.nanoTime(),
                    id,
                    Integer.parseInt(answer.word(1)),
                    answer.complete(),
                    answer.body(),
                    connection.lastReadAt());
        }
    }

    /** The conductor closed the connection without an answer; {@code wasRead}: no reset shows that the request was left unread. */
    record ClosedUnanswered(long at, String id, boolean wasRead) implements Observation {}

    /** The client gave up: no answer came, long after the deadline. */
    record NeverAnswered(long at, String id) implements Observation {}

    /** The client closed its connection before its answer. */
    record ClientGone(long at, String id) implements Observation {}

    /** The client reads no more of an answer that has begun, until {@link ReadingResumed}. */
    record ReadingPaused(long at, String id, String conductor) implements Observation {}

    /** The client reads the answer again. */
    record ReadingResumed(long at, String id) implements Observation {}

    /** The first byte of a request reached a server. */
    record AttemptOpened(long at, String id, String server, String conductor) implements Observation {}

    /**
     * The last byte of a request reached a server. {@code attempt}: a number that is unique in the run; {@code announcedMs}: the
     * remaining time by the request's header; {@code sentAt}: when the conductor had sent the request's last bytes, at the earliest;
     * {@code readSince}: from when on the proxy has read what the conductor sends on this connection.
     */
    record AttemptArrived(
            long at,
            String id,
            String server,
            Role role,
            String conductor,
            long attempt,
            long announcedMs,
            long sentAt,
            long readSince)
            implements Observation {}

    /** The attempt is over: the server has finished it, the conductor closed the connection, or the network reset it. */
    record AttemptEnded(long at, String id, long attempt, AttemptEnd end) implements Observation {}

    /** A writer begins a stream that it spoils or writes slowly, and that may last longer than a stop. */
    record OddStreamBegun(long at, String id, long attempt) implements Observation {}

    /** When the conductor last got bytes of a sound stream that its writer wrote slowly. */
    record SlowStreamDelivered(long at, String id, long attempt) implements Observation {}

    /** What a writer streamed in an attempt, up to its end or to where it broke off. */
    record Streamed(long at, String id, long attempt, boolean complete, String body) implements Observation {}

    /** A reader holds the read state of a request from now on. */
    record StateHeld(long at, String id, String server) implements Observation {}

    /** The read state is no longer held: a writer took it, a release arrived or the reader restarted. */
    record StateFreed(long at, String id) implements Observation {}

    /** Discovery announced to a conductor that a server drains or has left. */
    record DrainAnnounced(long at, String conductor, String server) implements Observation {}

    /** A server that was draining serves again, or has restarted, under the same id. */
    record DrainEnded(long at, String server) implements Observation {}

    /** A server has restarted and is cold; from now on discovery announces its new start time. */
    record ServerStarted(long at, String server, Role role) implements Observation {}

    /** A conductor can reach no listed server from now on ({@code begins}), or can reach one again. */
    record CutOffFromAll(long at, String conductor, boolean begins) implements Observation {}

    /** A conductor was killed; the oracle doesn't report the requests that are lost by that. */
    record Killed(long at, String conductor) implements Observation {}

    /** A conductor process exited without being killed; {@code requested}: after SIGTERM. */
    record Exited(long at, String conductor, int code, boolean requested, long sinceTermMs) implements Observation {}

    /** A conductor process had not exited by the time the platform kills it; {@code signaledAt}: the time of SIGTERM. */
    record Overstayed(long at, String conductor, long signaledAt) implements Observation {}

    /** A conductor process was not ready in time after its start. */
    record NotReady(long at, String conductor, long afterMs) implements Observation {}
}

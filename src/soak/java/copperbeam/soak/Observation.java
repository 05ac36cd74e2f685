package copperbeam.soak;

/** What one party saw, with its time by {@link System#nanoTime}. */
sealed interface Observation {
    long at();

    /** A trouble began or ended. */
    record Troubled(long at, TroublePlan.Trouble trouble, boolean begins) implements Observation {}

    /** A client has sent the last byte of a request. */
    record Sent(long at, String id, RequestKind kind, String conductor, long deadlineMs) implements Observation {}

    /** A client has read the last byte of an answer. {@code whole}: to its last chunk, or its length. */
    record Answered(long at, String id, int status, boolean whole, String body) implements Observation {}

    /** The conductor closed the connection without an answer; {@code read}: nothing says that the request stayed unread. */
    record ClosedUnanswered(long at, String id, boolean read) implements Observation {}

    /** Nothing came for far longer than the deadline. */
    record NeverAnswered(long at, String id) implements Observation {}

    /** The client closed its connection before its answer. */
    record ClientGone(long at, String id) implements Observation {}

    /** The first byte of a request reached a server. */
    record AttemptOpened(long at, String id, String server, String conductor) implements Observation {}

    /**
     * The last byte of a request reached a server, having left at {@code sentAt}; {@code attempt} is a number of its own. The network
     * has read what the conductor sends on this connection since {@code carriedSince}.
     */
    record AttemptArrived(
            long at,
            String id,
            String server,
            Role role,
            String conductor,
            long attempt,
            long toldMs,
            long sentAt,
            long carriedSince)
            implements Observation {}

    /** The server wrote its last byte, or the conductor's end of the connection was closed. */
    record AttemptEnded(long at, String id, long attempt, AttemptEnd end) implements Observation {}

    /** What a writer's attempt streamed, as far as it got. */
    record Streamed(long at, String id, long attempt, boolean whole, String body) implements Observation {}

    /** A reader holds the state of a request from now on. */
    record StateHeld(long at, String id, String server) implements Observation {}

    /** It is held no more: a writer has taken it or a release was heard. */
    record StateFreed(long at, String id) implements Observation {}

    /** Discovery wrote to a conductor that a server drains. */
    record DrainTold(long at, String conductor, String server) implements Observation {}

    /** A server serves again, or anew, under the same id. */
    record DrainEnded(long at, String server) implements Observation {}

    /** A server has started anew, and is cold; discovery tells it from now on. */
    record ServerStarted(long at, String server, Role role) implements Observation {}

    /** No server can be reached by a conductor from then on, or some can again. */
    record CutOffFromAll(long at, String conductor, boolean begins) implements Observation {}

    /** A conductor was killed: what it had is excused. */
    record Killed(long at, String conductor) implements Observation {}

    /** A conductor process ended by itself; {@code asked}: after SIGTERM. */
    record Exited(long at, String conductor, int code, boolean asked, long sinceTermMs) implements Observation {}

    /** A conductor process did not end by the platform's kill after SIGTERM. */
    record Overstayed(long at, String conductor) implements Observation {}

    /** A conductor process was not ready in time after its start. */
    record NotReady(long at, String conductor, long afterMs) implements Observation {}
}

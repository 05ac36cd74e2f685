package copperbeam.routing;

import java.time.Duration;

/** The client's side of a request. Exactly one of refuse, fail, end and broken is called, and it comes last. */
public interface Answer {
    /** Why a request failed. */
    enum Failure {
        TOO_LATE,
        SERVERS_FAILED,
        STOPPING,
        ID_IN_USE
    }

    /** The first event follows at once. */
    void begin();

    /**
     * One event of the stream, as it came.
     *
     * @param drained run once the client's connection has taken it
     * @return false where the front can't pass it on; the stream is then broken
     */
    boolean event(byte[] raw, Runnable drained);

    /** The stream is whole. */
    void end();

    /** The stream ends before it is whole. */
    void broken();

    /** Trying again is harmless; {@code retryAfter} zero: no advice; {@code tried}: a server was sent to. */
    void refuse(Duration retryAfter, boolean tried);

    void fail(Failure why);

    /**
     * The client has gone away; from any thread, and true before {@link Intake#left} is called. Guards against what is
     * begun for it before that word has had its turn.
     */
    default boolean gone() {
        return false;
    }
}

package copperbeam.routing;

import java.time.Duration;

/**
 * Receives the response to one request and passes it to the client. Exactly one of {@link #refuse}, {@link #fail},
 * {@link #end} and {@link #broken} is called, and it is the last call.
 */
public interface ResponseSink {
    /** Reason why a request failed. */
    enum Failure {
        TOO_LATE,
        SERVERS_FAILED,
        STOPPING,
        ID_IN_USE
    }

    /** Begins a stream; its first event follows at once. */
    void begin();

    /**
     * Passes on one event of the stream, as received from the server.
     *
     * @param onDrained is run once the client's connection has taken the event
     * @return false if the front can't pass it on; the stream is then broken
     */
    boolean event(byte[] eventBytes, Runnable onDrained);

    /** Ends a complete stream. */
    void end();

    /** Ends a stream that is incomplete. */
    void broken();

    /**
     * Refuses the request; the client may safely retry it.
     *
     * @param retryAfter advice how long to wait before a retry; zero for none
     * @param tried whether an attempt was started at any server
     */
    void refuse(Duration retryAfter, boolean tried);

    void fail(Failure reason);

    /**
     * Whether the client has gone away. May be called from any thread, and is true before {@link Intake#clientGone} is called,
     * so that no work begins for the client while that message is still queued.
     */
    default boolean gone() {
        return false;
    }
}

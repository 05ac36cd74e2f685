package copperbeam.protocol;

import java.util.Map;

/** Sends the response to a client's request. The methods may be called from any thread, but not concurrently. */
public interface HttpReply {
    /** Sends a complete response. */
    void respond(int status, String contentType, Map<String, String> headers, byte[] body);

    /** Sends the head of a streamed response. */
    void beginStream(String contentType, Map<String, String> headers);

    /** Sends a part of a streamed response. {@code onDrained} is run once the connection has taken the bytes. */
    void write(byte[] bytes, Runnable onDrained);

    /** Ends the stream with its last chunk. */
    void endStream();

    /** Closes the connection after everything written was sent, without a last chunk, so that the client sees a broken stream. */
    void abort();

    /** Counts bytes that are kept in memory until the response has ended; false if all responses together keep too many. */
    default boolean keep(int bytes) {
        return true;
    }

    /** Whether the client went away before its response was complete. */
    boolean isClientGone();
}

package copperbeam.protocol;

import java.util.Map;

/** The way back to a client; from any thread, one call at a time. */
public interface HttpReply {
    /** A whole answer. */
    void whole(int status, String contentType, Map<String, String> headers, byte[] body);

    /** The head of a stream. */
    void begin(String contentType, Map<String, String> headers);

    /** {@code drained} runs once the connection has taken the bytes. */
    void write(byte[] bytes, Runnable drained);

    /** The stream's last chunk. */
    void end();

    /** Closes the connection once what was written is out, without a last chunk. */
    void abort();

    /** The client has gone away before its answer was whole. */
    boolean gone();
}

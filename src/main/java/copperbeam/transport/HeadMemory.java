package copperbeam.transport;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;

/** Estimates what a request's head takes of the heap. */
final class HeadMemory {
    // HttpCore keeps each line in a buffer of two-byte characters that has grown by doubling; names and values are kept
    // as
    // strings beside that
    private static final int BYTES_PER_CHARACTER = 6;
    private static final int BYTES_PER_LINE = 512;

    private HeadMemory() {}

    /** Upper estimate, in bytes, for a head of so many lines and characters. */
    static long estimate(int lines, int characters) {
        return (long) lines * BYTES_PER_LINE + (long) characters * BYTES_PER_CHARACTER;
    }

    static long estimate(HttpRequest head) {
        int lines = 1;
        int characters = head.getRequestUri().length();
        for (Header header : head.getHeaders()) {
            lines++;
            characters += header.getName().length();
            characters += header.getValue() == null ? 0 : header.getValue().length();
        }
        return estimate(lines, characters);
    }
}

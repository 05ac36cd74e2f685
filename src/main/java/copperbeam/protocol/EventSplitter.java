package copperbeam.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events after each blank line, without changing any byte. Input that isn't in the format of
 * events is rejected, so that chunk sizes or other noise from a server with broken framing never reach a client.
 */
public final class EventSplitter {
    private static final int MOST = 32 * 1024; // bytes of one event; below the initial receive window of 65,535 bytes
    private static final int FIELD = 6; // bytes kept of a line, enough for the longest field name and its colon
    private static final List<byte[]> FIELDS = List.of(ascii("data"), ascii("event"), ascii("id"), ascii("retry"));

    private final ByteArrayOutputStream part = new ByteArrayOutputStream();
    private final byte[] line = new byte[FIELD];
    private int length; // of the current line so far; its line break doesn't count
    private boolean filled; // the current event has a field or a comment
    private boolean carriage; // the last byte of the current line so far is a carriage return

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Takes the next bytes of the stream and passes on each event that is now complete.
     *
     * @return false if the input isn't a stream of events; events that were complete before were passed on
     */
    public boolean take(ByteBuffer bytes, Consumer<byte[]> event) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            part.write(b);
            if (b == '\n') {
                length -= carriage ? 1 : 0;
                if (length > 0 && !field()) {
                    return false;
                } else if (length > 0) {
                    filled = true;
                } else if (filled) {
                    // blank lines alone are no event; they are passed on as part of the next one
                    cut(event);
                }
                length = 0;
                carriage = false;
            } else {
                if (length < FIELD) {
                    line[length] = b;
                }
                length++;
                carriage = b == '\r';
            }
            if (part.size() > MOST) {
                return false;
            }
        }
        return true;
    }

    /** Passes on what is left at the end of the stream. Returns false if that isn't a part of an event. */
    public boolean end(Consumer<byte[]> rest) {
        if (length > 0 && !field()) {
            return false;
        }
        cut(rest);
        return true;
    }

    /** Whether the current line is a comment or a known field, with a colon or without. */
    private boolean field() {
        if (line[0] == ':') {
            return true;
        }
        for (byte[] name : FIELDS) {
            boolean named = length >= name.length;
            for (int i = 0; named && i < name.length; i++) {
                named = line[i] == name[i];
            }
            if (named && (length == name.length || line[name.length] == ':')) {
                return true;
            }
        }
        return false;
    }

    private void cut(Consumer<byte[]> to) {
        if (part.size() > 0) {
            to.accept(part.toByteArray());
            part.reset();
            filled = false;
        }
    }
}

package copperbeam.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/**
 * Cuts a stream of server-sent events after each blank line; every byte stays as it came. What has no event's
 * form ends it: guards against passing on the sizes of chunks, or noise, where a server has lost its count.
 */
public final class EventSplitter {
    private static final int MOST = 32 * 1024; // bytes of one event; below the window that a server may fill unasked
    private static final int FIELD = 6; // bytes of a line's beginning that tell its field
    private static final List<byte[]> FIELDS = List.of(ascii("data"), ascii("event"), ascii("id"), ascii("retry"));

    private final ByteArrayOutputStream part = new ByteArrayOutputStream();
    private final byte[] line = new byte[FIELD];
    private int length; // of the line under way, without its end
    private boolean filled; // a field has come since the last cut
    private boolean carriage; // its last byte so far is a carriage return

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /** False where this is no stream of events; what was whole before that has been handed on. */
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
                    // empty lines alone are no event: they go with the next one, once that has proved to be one
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

    /** What is left at the end of the stream; false where it is no part of one. */
    public boolean end(Consumer<byte[]> rest) {
        if (length > 0 && !field()) {
            return false;
        }
        cut(rest);
        return true;
    }

    /** A comment, or a field that events have, with a colon or by itself. */
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

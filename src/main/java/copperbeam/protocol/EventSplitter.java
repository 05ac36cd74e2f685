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
    private static final int MAX_EVENT_BYTES = 32 * 1024; // bytes of one event
    private static final int MAX_KEPT_BYTES = 1024; // of an event whose buffer is used again for the next one
    private static final int LINE_PREFIX_BYTES =
            6; // bytes kept of a line, enough for the longest field name and its colon
    private static final List<byte[]> FIELD_NAMES = List.of(ascii("data"), ascii("event"), ascii("id"), ascii("retry"));

    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final byte[] linePrefix = new byte[LINE_PREFIX_BYTES];
    private int lineLength; // of the current line so far; its line break doesn't count
    private boolean hasField; // the current event has a field or a comment
    private boolean endsWithCarriageReturn; // the last byte of the current line so far is a carriage return

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Takes the next bytes of the stream and passes on each event that is now complete.
     *
     * @return false if the input isn't a stream of events; events that were complete before were passed on
     */
    public boolean accept(ByteBuffer bytes, Consumer<byte[]> eventSink) {
        while (bytes.hasRemaining()) {
            byte nextByte = bytes.get();
            pending.write(nextByte);
            if (nextByte == '\n') {
                lineLength -= endsWithCarriageReturn ? 1 : 0;
                if (lineLength > 0 && !isFieldOrComment()) {
                    return false;
                } else if (lineLength > 0) {
                    hasField = true;
                } else if (hasField) {
                    // blank lines alone are no event; they are passed on as part of the next one
                    emit(eventSink);
                }
                lineLength = 0;
                endsWithCarriageReturn = false;
            } else {
                if (lineLength < LINE_PREFIX_BYTES) {
                    linePrefix[lineLength] = nextByte;
                }
                lineLength++;
                endsWithCarriageReturn = nextByte == '\r';
            }
            if (pending.size() > MAX_EVENT_BYTES) {
                return false;
            }
        }
        return true;
    }

    /** Passes on what is left at the end of the stream. Returns false if that isn't a part of an event. */
    public boolean finish(Consumer<byte[]> eventSink) {
        if (lineLength > 0 && !isFieldOrComment()) {
            return false;
        }
        emit(eventSink);
        return true;
    }

    /** Whether the current line is a comment or a known field, with a colon or without. */
    private boolean isFieldOrComment() {
        if (linePrefix[0] == ':') {
            return true;
        }
        for (byte[] name : FIELD_NAMES) {
            boolean matches = lineLength >= name.length;
            for (int i = 0; matches && i < name.length; i++) {
                matches = linePrefix[i] == name[i];
            }
            if (matches && (lineLength == name.length || linePrefix[name.length] == ':')) {
                return true;
            }
        }
        return false;
    }

    private void emit(Consumer<byte[]> eventSink) {
        if (pending.size() > 0) {
            byte[] event = pending.toByteArray();
            if (event.length > MAX_KEPT_BYTES) {
                pending = new ByteArrayOutputStream(); // many streams may wait here for slow clients
            } else {
                pending.reset();
            }
            hasField = false;
            eventSink.accept(event);
        }
    }
}

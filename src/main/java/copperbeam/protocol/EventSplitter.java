package copperbeam.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events after each blank line, without changing any byte. Input that isn't in the format of
 * events is rejected, so that chunk sizes or other noise from a server with broken framing never reach a client. Counts the bytes that
 * bring a further event nearer.
 */
public final class EventSplitter {
    private static final int MAX_EVENT_BYTES = 32 * 1024; // bytes of one event
    private static final int MAX_KEPT_BYTES = 1024; // of an event whose buffer is used again for the next one
    private static final int LINE_PREFIX_BYTES =
            6; // bytes kept of a line, enough for the longest field name and its colon
    private static final byte[] DATA_NAME = ascii("data");
    private static final List<byte[]> FIELD_NAMES = List.of(DATA_NAME, ascii("event"), ascii("id"), ascii("retry"));

    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final byte[] linePrefix = new byte[LINE_PREFIX_BYTES];
    private int lineLength; // of the current line so far; its line break doesn't count
    private boolean hasField; // the current event has a field or a comment
    private boolean dataBegun; // the current event has a complete line of data
    private final CompletionData data = new CompletionData();
    private boolean onlyCommentDue; // the last event has come
    private boolean closed; // a line has followed the last event
    private long textBytes;
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
            if (!(nextByte == '\n' ? endLine(eventSink) : continueLine(nextByte)) || pending.size() > MAX_EVENT_BYTES) {
                return false;
            }
        }
        return true;
    }

    private boolean endLine(Consumer<byte[]> eventSink) {
        lineLength -= endsWithCarriageReturn ? 1 : 0;
        if (lineLength > 0 && !isFieldOrComment()) {
            return false;
        }
        if (lineLength > 0) {
            hasField = true;
            textBytes += isProgress(isData() && data.isSound()) ? 1 : 0;
            dataBegun |= isData();
            closed |= onlyCommentDue;
        } else if (hasField) {
            // blank lines alone are no event; they are passed on as part of the next one
            emit(eventSink);
        }
        lineLength = 0;
        endsWithCarriageReturn = false;
        return true;
    }

    private boolean continueLine(byte nextByte) {
        if (lineLength < LINE_PREFIX_BYTES) {
            linePrefix[lineLength] = nextByte;
        }
        lineLength++;
        endsWithCarriageReturn = nextByte == '\r';
        if (!mayBecomeFieldOrComment()) {
            return false;
        }
        textBytes += isProgress(isSoundData(nextByte)) ? 1 : 0;
        return true;
    }

    private boolean isProgress(boolean isSoundData) {
        return isComment() ? !closed : isSoundData && !onlyCommentDue;
    }

    private boolean isComment() {
        return linePrefix[0] == ':';
    }

    private boolean isData() {
        return linePrefix[0] == DATA_NAME[0];
    }

    /** Whether the byte belongs to data that may become a completion's; only the first line of an event's data tells. */
    private boolean isSoundData(byte nextByte) {
        boolean isFirstValue = isData() && !dataBegun && lineLength > DATA_NAME.length + 1;
        return isData() && (isFirstValue ? data.accept(nextByte) : data.isSound());
    }

    /** The last event has come: of what follows it, only one comment counts, which may hold a load report. */
    public void expectOnlyComment() {
        onlyCommentDue = true;
    }

    /** How many bytes so far belong to comments or to data that may be a completion's. */
    public long textBytes() {
        return textBytes;
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
        if (isComment()) {
            return true;
        }
        for (byte[] name : FIELD_NAMES) {
            if (lineLength >= name.length && startsLike(name) && endsName(name)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the current line, which isn't complete, may become a comment or a known field. */
    private boolean mayBecomeFieldOrComment() {
        if (isComment() || lineLength == 1 && endsWithCarriageReturn) {
            return true;
        }
        for (byte[] name : FIELD_NAMES) {
            if (startsLike(name) && (lineLength <= name.length ? !endsWithCarriageReturn : endsName(name))) {
                return true;
            }
        }
        return false;
    }

    private boolean startsLike(byte[] name) {
        int compared = Math.min(lineLength, name.length);
        return Arrays.equals(linePrefix, 0, compared, name, 0, compared);
    }

    /** Whether the line is this name, or goes on with a colon or with what may be its line end. */
    private boolean endsName(byte[] name) {
        return lineLength == name.length
                || linePrefix[name.length] == ':'
                || lineLength == name.length + 1 && endsWithCarriageReturn;
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
            dataBegun = false;
            data.reset();
            eventSink.accept(event);
        }
    }
}

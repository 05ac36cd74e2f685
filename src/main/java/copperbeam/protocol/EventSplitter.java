package copperbeam.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Splits a stream of server-sent events after each blank line, without changing any byte. Input that isn't in the format of
 * events is rejected, so that chunk sizes or other noise from a server with broken framing never reach a client. Counts the bytes that
 * bring a further event nearer.
 */
public final class EventSplitter {
    private static final int MAX_EVENT_BYTES = 32 * 1024; // bytes of one event
    private static final int MAX_KEPT_BYTES = 1024; // of an event whose buffer is used again for the next one

    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final EventLine line = new EventLine(); // the current one
    private boolean hasField; // the current event has a field or a comment
    private boolean blankLineDue; // the current event has a line that counts
    private final CompletionData data = new CompletionData();
    private boolean onlyCommentDue; // the last event has come
    private boolean closed; // a line has followed the last event
    private long textBytes;

    /**
     * Takes the next bytes of the stream and passes on each event that is now complete.
     *
     * @return false if the input isn't a stream of events; events that were complete before were passed on
     */
    public boolean accept(ByteBuffer bytes, Consumer<byte[]> eventSink) {
        byte[] input = new byte[bytes.remaining()];
        bytes.get(input);
        int begin = 0;
        while (begin < input.length) {
            int lineEnd = indexOfLineFeed(input, begin);
            boolean hasLineFeed = lineEnd < input.length;
            int end = hasLineFeed ? lineEnd + 1 : lineEnd;
            pending.write(input, begin, end - begin);
            if (!continueLine(input, begin, lineEnd)
                    || pending.size() > MAX_EVENT_BYTES
                    || hasLineFeed && !endLine(eventSink)) {
                return false;
            }
            begin = end;
        }
        return true;
    }

    private static int indexOfLineFeed(byte[] input, int from) {
        int index = from;
        while (index < input.length && input[index] != '\n') {
            index++;
        }
        return index;
    }

    private boolean continueLine(byte[] input, int from, int to) {
        int index = from;
        while (index < to && line.kind() == EventLine.Kind.UNDECIDED) {
            if (!line.accept(input[index])) {
                return false;
            }
            textBytes += isProgress() ? 1 : 0;
            index++;
        }
        if (index < to && isProgress()) {
            textBytes += line.isData() ? data.accept(input, index, to) : to - index;
        }
        return true;
    }

    private boolean endLine(Consumer<byte[]> eventSink) {
        if (!line.isBlank() && !line.isFieldOrComment()) {
            return false;
        }
        boolean isProgress = isProgress() && (!line.isData() || data.endLine());
        textBytes += isProgress ? 1 : 0;
        if (!line.isBlank()) {
            hasField = true;
            blankLineDue |= isProgress;
            closed |= onlyCommentDue;
        } else if (hasField) {
            // blank lines alone are no event; they are passed on as part of the next one
            emit(eventSink);
        }
        line.reset();
        return true;
    }

    /** Whether the current line so far brings a further event nearer. */
    private boolean isProgress() {
        if (line.isBlank()) {
            return blankLineDue;
        }
        return line.kind() == EventLine.Kind.COMMENT ? !closed : line.isData() && data.isOpen() && !onlyCommentDue;
    }

    /** The last event has come: of what follows it, only one comment counts, which may hold a load report. */
    public void expectOnlyComment() {
        onlyCommentDue = true;
    }

    /** How many bytes so far belong to comments, to data that may be a completion's, or to the blank lines behind them. */
    public long textBytes() {
        return textBytes;
    }

    /** Passes on what is left at the end of the stream. Returns false if that isn't a part of an event. */
    public boolean finish(Consumer<byte[]> eventSink) {
        if (!line.isEmpty() && !line.isFieldOrComment()) {
            return false;
        }
        emit(eventSink);
        return true;
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
            blankLineDue = false;
            data.reset();
            eventSink.accept(event);
        }
    }
}

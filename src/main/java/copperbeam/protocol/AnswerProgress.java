package copperbeam.protocol;

import java.time.Duration;

/**
 * Tells since when a server's answer has made no progress. Only bytes that may belong to its next event count: not each byte, as
 * malformed framing may go on for ever. Without I/O or clock; times are those of {@link System#nanoTime}. The reactor's thread
 * reports what has come, and any thread may ask.
 */
public final class AnswerProgress {
    /** What a byte of an answer belongs to. */
    public enum Part {
        /** A chunk's size without leading zeros, or a line end: a bounded number of bytes between two parts of events. */
        FRAMING,
        /** An extension of a chunk, padding, trailers, or text that can't become an event: no progress. */
        PADDING,
        /** The text of an event or comment that isn't complete yet. */
        EVENT_TEXT,
        /** The end of an event that carries data. */
        EVENT
    }

    /** An event may come slowly, but not for ever: without a complete one for so long, nothing else counts. */
    static final Duration MAX_EVENT_TIME = Duration.ofMinutes(1);

    private final long beganAt;
    private volatile Part lastPart = Part.FRAMING;
    private volatile boolean streaming; // an event was complete
    private volatile long eventAt; // when the last event was complete, or the client took what had filled the window
    private volatile long textAt; // when the last byte of an event's text came
    private volatile long framingAt; // when the last byte of framing came, unless padding followed it
    private volatile long byteAt; // when the last byte of any kind came

    /** An answer that is due from now on. */
    public AnswerProgress(long nowNanos) {
        beganAt = nowNanos;
        eventAt = nowNanos;
        textAt = nowNanos;
        framingAt = nowNanos;
        byteAt = nowNanos;
    }

    /** Bytes of any kind have come, the head's among them. */
    public void bytesRead(long nowNanos) {
        byteAt = nowNanos;
    }

    /** Bytes of this part of the body have come. */
    public void received(Part part, long nowNanos) {
        lastPart = part;
        switch (part) {
            case FRAMING -> framingAt = nowNanos;
            case EVENT_TEXT -> textAt = nowNanos;
            case PADDING -> framingAt = beganAt; // what came before it was no framing of a further event
            default -> { // EVENT
                eventAt = nowNanos;
                streaming = true;
            }
        }
    }

    /** The client has taken what had stopped the server (flow control): the answer may go on only from now. */
    public void windowFreed(long nowNanos) {
        eventAt = nowNanos;
    }

    /** Whether an event was complete, so that a client waits for the next one. */
    public boolean isStreaming() {
        return streaming;
    }

    /** How long no byte has come at all. */
    public Duration silence(long nowNanos) {
        return Duration.ofNanos(nowNanos - byteAt);
    }

    /** How long nothing has come that may belong to a further event. */
    public Duration withoutProgress(long nowNanos) {
        long sinceEvent = nowNanos - eventAt;
        if (sinceEvent > MAX_EVENT_TIME.toNanos()) {
            return Duration.ofNanos(sinceEvent);
        }
        return Duration.ofNanos(Math.min(sinceEvent, nowNanos - latest(textAt, framingAt)));
    }

    private static long latest(long oneNanos, long otherNanos) {
        return oneNanos - otherNanos > 0 ? oneNanos : otherNanos;
    }

    /** For the log: the times since the last event and since the last byte, and what that belonged to. */
    public String describe(long nowNanos) {
        return "last event " + Duration.ofNanos(nowNanos - eventAt).toMillis() + " ms ago, last byte "
                + silence(nowNanos).toMillis() + " ms ago in " + lastPart;
    }
}

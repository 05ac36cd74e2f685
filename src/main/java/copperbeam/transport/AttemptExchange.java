package copperbeam.transport;

import copperbeam.protocol.AnswerProgress.Part;
import copperbeam.protocol.EventSplitter;
import copperbeam.protocol.RequestBody;
import copperbeam.protocol.SseData;
import copperbeam.protocol.platform.PlatformHeaders;
import copperbeam.protocol.platform.PlatformStatus;
import copperbeam.routing.AnswerDeadline;
import copperbeam.routing.Connector.AnswerKind;
import copperbeam.routing.Connector.AttemptCall;
import copperbeam.routing.Connector.CallListener;
import copperbeam.routing.RequestLog;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;

/** One attempt of a client's request at a server. */
final class AttemptExchange extends ClientExchange {
    /**
     * By how much the X-Timeout in a request's head may exceed the time left when its last byte is due to be sent. Beyond
     * this, the last byte is not sent, and the server doesn't run the request.
     */
    private static final Duration MAX_TIMEOUT_EXCESS = Duration.ofMillis(100);

    /** What an event on its way to its client takes of the heap beside its bytes, counted against the receive window. */
    static final int EVENT_OVERHEAD_BYTES = 256;

    private static final int MAX_OPENING_BYTES = 32 * 1024; // of comments before the first event

    private final CallListener listener;
    private final AttemptCall call;
    private final RequestLog requestLog;
    private final EventSplitter events = new EventSplitter();
    private Duration timeoutSent = Duration.ZERO;
    private boolean isStream;
    private AnswerKind answerKind;
    private final ByteArrayOutputStream openingComments = new ByteArrayOutputStream(0);
    private boolean lastEventSeen;
    private int forwardedBytes; // of the events in the part that is being split, with their overhead

    AttemptExchange(
            HttpRequest request, RequestBody body, AttemptCall call, CallListener listener, RequestLog requestLog) {
        super(request, body, call.holdLastByte());
        this.call = call;
        this.requestLog = requestLog;
        this.listener = listener;
    }

    @Override
    boolean maySendHead() {
        return call.maySendHead().getAsBoolean();
    }

    /** Sets X-Timeout as late as possible, since the call may have waited for the reactor's thread. */
    @Override
    void prepareHead(HttpRequest head) {
        timeoutSent = call.timeLeft().get().minus(call.timeoutMargin());
        head.setHeader("X-Timeout", PlatformHeaders.formatTimeout(timeoutSent));
    }

    /** False also if the body is sent so late that the X-Timeout in the head overstates the time left. */
    @Override
    boolean maySendLastByte() {
        Duration elapsed = timeoutSent.minus(call.timeLeft().get());
        return call.maySendLastByte().getAsBoolean() && elapsed.compareTo(MAX_TIMEOUT_EXCESS) <= 0;
    }

    @Override
    void head(HttpResponse response) throws HttpException {
        answerKind = PlatformStatus.classifyAttempt(
                call.atReader(), response.getCode(), "1".equals(headerValue(response, "X-Not-Processed")));
        isStream = answerKind == AnswerKind.STREAM;
        if (isStream && !response.containsHeader("Transfer-Encoding") && !response.containsHeader("Content-Length")) {
            throw new ProtocolException("stream with neither Transfer-Encoding nor Content-Length");
        }
        listener.answerClassified(answerKind, PlatformHeaders.parseReport(headerValue(response, "X-Server-Load")));
    }

    @Override
    void data(ByteBuffer bytes) throws IOException {
        if (!isStream) {
            gather(bytes);
        } else {
            accept(bytes);
        }
    }

    /**
     * Splits a part of a stream into events, each of which is granted once its client's connection has taken it. The part of an
     * event is granted at once, and taken off again when the event is complete: an event may be longer than the window.
     */
    private void accept(ByteBuffer bytes) throws IOException {
        int received = bytes.remaining();
        long textBytesBefore = events.textBytes();
        forwardedBytes = 0;
        if (!events.accept(bytes, this::forward)) {
            throw new IOException("not a stream of server-sent events");
        }
        if (openingComments.size() > MAX_OPENING_BYTES) {
            throw new IOException("too many comments before the first event");
        }
        noteProgress(events.textBytes() > textBytesBefore ? Part.EVENT_TEXT : Part.PADDING);
        grant(received - forwardedBytes);
    }

    private void noteProgress(Part part) {
        progress().received(part, System.nanoTime());
    }

    /** Comments before the first event wait for it: its client's deadline holds until then. */
    private void forward(byte[] eventBytes) {
        boolean hasData = SseData.hasData(eventBytes);
        if (!hasData && !progress().isStreaming()) {
            openingComments.writeBytes(eventBytes);
            return;
        }
        if (hasData && !lastEventSeen) {
            noteProgress(Part.EVENT);
        }
        if (SseData.isLastEvent(eventBytes)) {
            lastEventSeen = true;
            events.expectOnlyComment();
        }
        byte[] forwarded = openingComments.size() == 0 ? eventBytes : withOpeningComments(eventBytes);
        forwardedBytes += forwarded.length + EVENT_OVERHEAD_BYTES;
        listener.event(forwarded);
    }

    private byte[] withOpeningComments(byte[] eventBytes) {
        openingComments.writeBytes(eventBytes);
        byte[] joined = openingComments.toByteArray();
        openingComments.reset();
        return joined;
    }

    @Override
    void checkProgress() throws IOException {
        if (progress().isStreaming() && AnswerDeadline.isStreamStalled(withoutProgress())) {
            throw new IOException("stream without progress");
        }
    }

    /**
     * Whether the stream is whole. The framing alone doesn't tell: a chunk size that was spoilt into 0 or a length that is too
     * short ends a stream early. Of what is left behind the last blank line, nothing is passed on unless the stream is whole.
     */
    private boolean finishStream() {
        List<byte[]> rest = new ArrayList<>();
        if (!events.finish(rest::add) || !lastEventSeen && rest.stream().noneMatch(SseData::isLastEvent)) {
            return false;
        }
        rest.forEach(this::forward);
        return true;
    }

    @Override
    void completed(boolean reusable) {
        if (isStream && !finishStream()) {
            requestLog.note(call.spec().id(), "its stream was ended before its last event");
            listener.broken(true);
        } else {
            listener.end(
                    reusable, answerKind == AnswerKind.READ ? PlatformStatus.cachedTokens(gathered()) : Double.NaN);
        }
    }

    @Override
    void broken(boolean mayHaveRun) {
        if (cause() != null) {
            requestLog.note(call.spec().id(), "the connection of its attempt broke: " + cause());
        }
        if (progress().isStreaming()) {
            requestLog.note(
                    call.spec().id(),
                    "its stream isn't whole: " + progress().describe(System.nanoTime())
                            + (lastEventSeen ? ", the closing event has come" : ""));
        }
        listener.broken(mayHaveRun);
    }

    @Override
    void lastByteHeld() {
        listener.lastByteHeld();
    }

    @Override
    void reportProgress() {
        if (!progress().isStreaming()) {
            listener.answerProgress();
        }
    }

    @Override
    void sent() {
        listener.sent();
    }

    /** The value of the first header of this name, or null. */
    static String headerValue(HttpResponse response, String name) {
        Header header = response.getFirstHeader(name);
        return header == null ? null : header.getValue();
    }
}

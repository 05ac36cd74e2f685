package copperbeam.transport;

import copperbeam.protocol.AnswerProgress;
import copperbeam.protocol.RequestBody;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.RequestNotExecutedException;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Sends one request and receives its response. Runs on the reactor's thread, except for {@link #grant} and
 * {@link #sendLastByte}, which may be called from any thread.
 */
abstract class ClientExchange implements AsyncClientExchangeHandler {
    /** The receive window of a response: bytes that may be received before the receiver of the data has processed them. */
    static final int WINDOW_BYTES = 8 * 1024;

    private static final int MAX_GATHERED_BYTES = 4096;
    private static final Duration PROGRESS_INTERVAL = Duration.ofMillis(100); // between reports of a slow response
    private static final int MAX_INFORMATIONAL_HEADS = 8; // 1xx heads before the response

    private final ByteArrayOutputStream gathered = new ByteArrayOutputStream(0);
    private static final ByteBuffer NO_BYTES = ByteBuffer.allocate(0);

    private final HttpRequest request;
    private final boolean hasBody;
    private final RequestBody content; // null if there is no body
    private volatile ByteBuffer body; // empty once it is no longer needed
    private final AtomicBoolean usesContent = new AtomicBoolean();
    private final boolean holdLastByte;
    private volatile boolean lastByteAllowed;
    private volatile DataStreamChannel outputChannel;
    private boolean holdReported; // lastByteHeld was called
    private final AtomicInteger pendingGrantBytes = new AtomicInteger();
    private volatile CapacityChannel capacityChannel;
    private volatile boolean lastByteWritten; // HttpCore has the last byte, and may still buffer it
    private boolean lastByteSent; // the operating system has taken it
    private BooleanSupplier hasBufferedOutput = () -> false;
    private final AnswerProgress progress = new AnswerProgress(System.nanoTime());
    private boolean progressReported;
    private long progressReportedNanos;
    private int informationalHeads;
    private boolean reusedConnection;
    private boolean answeredEarly; // the response began before the last byte was sent
    private final AtomicInteger ungrantedBytes = new AtomicInteger(); // received, but not granted again yet
    private volatile boolean ended;
    private boolean complete;
    private boolean connectionClosing;
    private Exception cause;

    /** {@code body} may be null. */
    ClientExchange(HttpRequest request, byte[] body) {
        this(request, body == null ? null : RequestBody.uncounted(body), false);
    }

    /**
     * {@code holdLastByte}: hold back the last byte of the body until {@link #sendLastByte}; no effect without a body. The body
     * is in use until the operating system has taken it or the exchange has ended. If it was given up before, nothing is sent.
     */
    ClientExchange(HttpRequest request, RequestBody content, boolean holdLastByte) {
        this.request = request;
        this.holdLastByte = holdLastByte;
        this.content = content;
        hasBody = content != null;
        usesContent.set(hasBody && content.beginUse());
        body = usesContent.get() ? ByteBuffer.wrap(content.bytes()) : NO_BYTES;
    }

    private void endUseOfBody() {
        if (usesContent.compareAndSet(true, false)) {
            body = NO_BYTES;
            content.endUse();
        }
    }

    /** Whether the head may still be sent. */
    boolean maySendHead() {
        return true;
    }

    /** Called just before the head is sent, to set headers that depend on the time. */
    void prepareHead(HttpRequest head) {}

    abstract void head(HttpResponse response) throws HttpException;

    /**
     * Receives a part of the response body. The receiver must {@link #grant} the bytes once it has processed them, or as soon as it
     * waits for more to process them.
     */
    abstract void data(ByteBuffer bytes) throws IOException;

    abstract void completed(boolean reusable);

    /**
     * The exchange ended before the response was complete. {@code mayHaveRun}: the last byte of the request was handed to the
     * operating system, or may have been.
     */
    abstract void broken(boolean mayHaveRun);

    /** Whether the last byte may still be sent. */
    boolean maySendLastByte() {
        return true;
    }

    /** The operating system has taken the last byte of the body. */
    void sent() {}

    /** The operating system has taken all but the last byte, which is held back. */
    void lastByteHeld() {}

    /** Bytes of the response have come, and it isn't complete; called at most once in each {@link #PROGRESS_INTERVAL}. */
    void reportProgress() {}

    /** Called after each turn in which bytes of the response were read that didn't complete it. Throws to end the exchange. */
    void checkProgress() throws IOException {}

    /**
     * Attaches the exchange to a connection. {@code hasBufferedOutput}: whether HttpCore buffers output that the operating
     * system hasn't taken yet. {@code reused}: the connection has carried a call before.
     */
    final void attach(BooleanSupplier hasBufferedOutput, boolean reused) {
        this.hasBufferedOutput = hasBufferedOutput;
        reusedConnection = reused;
    }

    /**
     * Whether the response began before the last byte was sent. That response decides the outcome, so nothing more of the
     * request may be sent.
     */
    final boolean answeredEarly() {
        return answeredEarly;
    }

    /** Whether the last byte, which was held back, is now in HttpCore's buffer and would be sent next. */
    final boolean isHeldByteNext() {
        return holdLastByte && isLastByteBuffered();
    }

    /** Whether the last byte is in HttpCore's buffer but must no longer be sent. */
    final boolean mustWithholdLastByte() {
        return isLastByteBuffered() && !maySendLastByte();
    }

    private boolean isLastByteBuffered() {
        return lastByteWritten && !ended && hasBufferedOutput.getAsBoolean();
    }

    /** Called after each turn in which output may have been written. */
    final void afterOutput() {
        if (hasBody && lastByteWritten && !lastByteSent && !ended && !hasBufferedOutput.getAsBoolean()) {
            lastByteSent = true;
            endUseOfBody();
            sent();
        }
    }

    /** Keeps the first {@link #MAX_GATHERED_BYTES} of a short response body. */
    final void gather(ByteBuffer bytes) {
        grant(bytes.remaining());
        byte[] kept = new byte[Math.min(bytes.remaining(), MAX_GATHERED_BYTES - gathered.size())];
        bytes.get(kept);
        gathered.writeBytes(kept);
        bytes.position(bytes.limit());
    }

    final String gathered() {
        return gathered.toString(StandardCharsets.US_ASCII);
    }

    /** Allows the last byte to be sent; callable from any thread. */
    final void sendLastByte() {
        lastByteAllowed = true;
        DataStreamChannel channel = outputChannel;
        if (channel != null) {
            channel.requestOutput();
        }
    }

    /** Called after each turn in which bytes were read; they may be a part of the response's head only. */
    final void bytesRead() throws IOException {
        long now = System.nanoTime();
        progress.bytesRead(now);
        if (ended) {
            return;
        }
        checkProgress();
        if (!progressReported || now - progressReportedNanos > PROGRESS_INTERVAL.toNanos()) {
            progressReported = true;
            progressReportedNanos = now;
            reportProgress();
        }
    }

    /** What has come of the response; for any thread to ask, for the reactor's to report. */
    final AnswerProgress progress() {
        return progress;
    }

    /** How long no byte of the response has come, since the exchange began at the earliest. */
    final Duration inputSilence() {
        return progress.silence(System.nanoTime());
    }

    /** How long nothing has come that brings the answer nearer to its end; none while the server is stopped by flow control. */
    final Duration withoutProgress() {
        return isWindowUsed() ? Duration.ZERO : progress.withoutProgress(System.nanoTime());
    }

    /** Whether the receive window is about used up, because the receiver of the data is slow. */
    final boolean isWindowUsed() {
        return ungrantedBytes.get() > WINDOW_BYTES / 2;
    }

    /** Extends the receive window by this number of bytes; a negative one is taken off from what is granted later. */
    final void grant(int bytes) {
        ungrantedBytes.addAndGet(-bytes);
        pendingGrantBytes.addAndGet(bytes);
        CapacityChannel channel = capacityChannel;
        int due = channel == null ? 0 : pendingGrantBytes.getAndUpdate(pending -> Math.min(pending, 0));
        if (due > 0) {
            try {
                channel.update(due);
            } catch (IOException e) {
                // the connection is closed, of which the exchange is notified separately
            }
        }
    }

    /** As {@link #grant}, as the client has taken the bytes. */
    final void grantTaken(int bytes) {
        if (isWindowUsed()) {
            progress.windowFreed(System.nanoTime()); // first: once granted, the time without progress counts
        }
        grant(bytes);
    }

    @Override
    public final void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        if (!maySendHead() || hasBody && !usesContent.get()) {
            throw new IOException("the request may no longer be sent"); // closes the connection before anything is sent
        }
        // set before the last byte can be sent: unless it is known to be unsent, the request may have run
        lastByteWritten = !hasBody;
        prepareHead(request);
        channel.sendRequest(request, hasBody ? new BasicEntityDetails(body.remaining(), null) : null, context);
    }

    @Override
    public final int available() {
        return lastByteWritten || ended ? 0 : body.remaining() - heldByteCount();
    }

    @Override
    public final void produce(DataStreamChannel channel) throws IOException {
        if (lastByteWritten || ended) {
            return;
        }
        outputChannel = channel;
        int heldByteCount = heldByteCount();
        if (heldByteCount == 0 && !maySendLastByte()) {
            throw new IOException(
                    "the last byte of the request may no longer be sent"); // closes the connection, the byte unsent
        }
        if (body.remaining() > heldByteCount) {
            ByteBuffer unsent = body;
            unsent.limit(unsent.limit() - heldByteCount);
            try {
                channel.write(unsent);
            } finally {
                unsent.limit(unsent.limit() + heldByteCount);
            }
        }
        if (!body.hasRemaining()) {
            lastByteWritten = true;
            channel.endStream(null);
        } else if (heldByteCount == body.remaining() && !holdReported && !hasBufferedOutput.getAsBoolean()) {
            holdReported =
                    true; // only once HttpCore's buffer is empty: the hold must not include the time to send the rest
            lastByteHeld();
        }
    }

    private int heldByteCount() {
        return holdLastByte && !lastByteAllowed ? Math.min(1, body.remaining()) : 0;
    }

    /** Rejects a switch of protocols and an endless sequence of 1xx heads, after which no response would come. */
    @Override
    public final void consumeInformation(HttpResponse response, HttpContext context) throws HttpException {
        if (response.getCode() == HttpStatus.SC_SWITCHING_PROTOCOLS || ++informationalHeads > MAX_INFORMATIONAL_HEADS) {
            throw new ProtocolException("informational heads in place of an answer");
        }
    }

    @Override
    public final void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context)
            throws HttpException {
        if (hasBody && (!lastByteWritten || hasBufferedOutput.getAsBoolean())) {
            if (reusedConnection) {
                // no server can have started this request, so this belongs to the previous one: a second response to it
                throw new ProtocolException("response to an earlier request on this connection");
            }
            answeredEarly = true;
        }
        Header connection = response.getFirstHeader("Connection");
        connectionClosing = connection != null && connection.getValue().equalsIgnoreCase("close");
        head(response);
        if (entity == null) {
            finish();
        }
    }

    @Override
    public final void updateCapacity(CapacityChannel channel) {
        // Called only when the window is used up. Bytes granted before must be passed on now, or the stream stalls.
        capacityChannel = channel;
        grant(0);
    }

    @Override
    public final void consume(ByteBuffer bytes) throws IOException {
        ungrantedBytes.addAndGet(bytes.remaining());
        data(bytes);
    }

    @Override
    public final void streamEnd(List<? extends Header> trailers) {
        finish();
    }

    private void finish() {
        if (!ended) {
            complete = true;
            ended = true;
            endUseOfBody();
        }
    }

    /** Why the exchange failed, or null if unknown. */
    final Exception cause() {
        return cause;
    }

    final boolean isEnded() {
        return ended;
    }

    /** Reports a complete response, once all available input was read. {@code connectionOpen}: the connection is still open. */
    final void reportCompletion(boolean connectionOpen) {
        if (complete) {
            completed(connectionOpen && !connectionClosing && !answeredEarly);
        }
    }

    @Override
    public final void failed(Exception cause) {
        this.cause = this.cause == null ? cause : this.cause;
        // RequestNotExecutedException may come on the caller's thread, which must not access the buffer of the
        // reactor's thread.
        boolean notExecuted = cause instanceof RequestNotExecutedException;
        // Output that HttpCore still buffers now, which includes the last byte of the request, was never sent.
        fail(() -> lastByteWritten && (notExecuted || !hasBufferedOutput.getAsBoolean()));
    }

    private void fail(BooleanSupplier mayHaveRun) {
        if (!ended) {
            ended = true;
            try {
                broken(mayHaveRun.getAsBoolean());
            } finally {
                endUseOfBody();
            }
        }
    }

    @Override
    public final void cancel() {
        fail(() -> lastByteWritten);
    }

    @Override
    public final void releaseResources() {
        failed(null);
    }
}

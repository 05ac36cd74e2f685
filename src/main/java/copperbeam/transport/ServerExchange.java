package copperbeam.transport;

import copperbeam.protocol.Front;
import copperbeam.protocol.HttpCall;
import copperbeam.protocol.HttpReply;
import copperbeam.protocol.MemoryShare;
import copperbeam.protocol.RequestBody;
import copperbeam.routing.FailureLog;
import copperbeam.routing.RequestLog;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.logging.Logger;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.impl.ServerSupport;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/** One client's request and the answer to it. */
final class ServerExchange implements AsyncServerExchangeHandler, HttpReply {
    private static final Logger LOG = Logger.getLogger(ServerExchange.class.getName());
    static final int MAX_PIPELINED_REQUESTS = 8; // requests open on one connection

    private static final Duration ABORT_FLUSH_TIME =
            Duration.ofSeconds(1); // for sending what was written before an abort

    // bytes of an answer that may wait for a slow client; one chunk from a server may be this long
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    private static final int MAX_WRITE_BYTES_PER_TURN =
            64 * 1024; // bytes written at once, as other connections wait for the reactor

    /** Notified of a request that is rejected here, before a front sees it. */
    interface RejectionListener {
        void rejected(String requestClass, int status);
    }

    /** Closes a client's connection, and counts why. */
    interface Closer {
        void close(ClientConnections.Client client, HttpFrontServer.CloseReason reason);
    }

    /** {@code counted}: its bytes are part of the memory that is counted for answers. */
    private record PendingWrite(ByteBuffer bytes, boolean counted, Runnable onDrained) {}

    private enum EndState {
        NONE,
        COMPLETE,
        ABORTED
    }

    private final ClientConnections.Client client;
    private final ClientConnections allClients;
    private final Front front;
    private final Clock clock;
    private final BooleanSupplier draining;
    private final RejectionListener rejectionListener;
    private final Closer closer;
    private final RequestLog requestLog;
    private final BodyBuffer received;
    private final MemoryShare headMemory;
    private final MemoryShare answerMemory;
    private volatile RequestBody body; // null until the request is dispatched
    private final ConcurrentLinkedQueue<PendingWrite> pendingWrites = new ConcurrentLinkedQueue<>();
    private final AtomicInteger bufferedBytes = new AtomicInteger(); // bytes in pendingWrites
    private final AtomicInteger pendingProduceCalls = new AtomicInteger();
    private final AtomicBoolean finished = new AtomicBoolean();
    private volatile EndState endState = EndState.NONE;
    private volatile boolean closesAfterAnswer; // the connection closes after this answer
    private volatile ResponseChannel responseChannel;
    private volatile DataStreamChannel outputChannel;
    private volatile Runnable onClientGone = () -> {};
    private volatile boolean clientGone;
    private HttpRequest request;
    private HttpContext context;
    private long announcedBytes = -1; // length of the body; negative: not known
    private Instant arrivedAt;
    private Duration maxQueueTime; // upper bound of the request's wait before arrivedAt
    private boolean rejectedOrDispatched;
    private boolean abortSeen; // all output before an abort was handed to HttpCore; its next turn closes

    ServerExchange(
            ClientConnections.Client client,
            ClientConnections allClients,
            Front front,
            Clock clock,
            BooleanSupplier draining,
            RejectionListener rejectionListener,
            Closer closer,
            RequestLog requestLog) {
        this.rejectionListener = rejectionListener;
        this.closer = closer;
        this.requestLog = requestLog;
        this.client = client;
        this.allClients = allClients;
        this.front = front;
        this.clock = clock;
        this.draining = draining;
        received = new BodyBuffer(allClients.bodies);
        headMemory = new MemoryShare(allClients.heads, ClientConnections.FREE_HEAD_BYTES);
        answerMemory = new MemoryShare(allClients.answers, ClientConnections.FREE_ANSWER_BYTES);
        client.requestBegan();
    }

    // ---- the request ---------------------------------------------------------------------------

    @Override
    public void handleRequest(HttpRequest head, EntityDetails entity, ResponseChannel channel, HttpContext ctx)
            throws HttpException, IOException {
        request = head;
        responseChannel = channel;
        context = ctx;
        arrivedAt = clock.instant();
        maxQueueTime = client.takeMaxQueueTime(arrivedAt);
        client.currentExchange = this;
        client.receivingBody = entity != null;
        announcedBytes = entity == null ? -1 : entity.getContentLength();
        if (client.parseError != null) {
            reject(ServerSupport.toStatusCode(client.parseError), ServerSupport.toErrorMessage(client.parseError));
        } else if (client.ignoresRequests) {
            // nothing after this request is parsed as another one: hundreds of pipelined requests would use memory and
            // delay the detection of the client's close
            reject(overloadStatus(), "too many requests on one connection");
        } else if (!headMemory.add(HeadMemory.estimate(head))) {
            reject(overloadStatus(), "too many large requests wait here");
        } else if (entity == null) {
            client.readyExchanges.add(this);
        } else if (entity.getContentLength() > HttpCall.MAX_BODY_BYTES) {
            reject(413, "the body is larger than 256 KiB");
        } else if (head.containsHeader("Expect")) {
            channel.sendInformation(new BasicHttpResponse(100), ctx);
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        // after a final answer nothing more is read: the client may send gigabytes
        if (!rejectedOrDispatched) {
            channel.update(Integer.MAX_VALUE);
        }
    }

    @Override
    public void consume(ByteBuffer bytes) {
        if (rejectedOrDispatched) {
            bytes.position(bytes.limit());
            return;
        }
        if (received.size() + bytes.remaining() > HttpCall.MAX_BODY_BYTES) {
            reject(413, "the body is larger than 256 KiB");
        } else if (!received.add(bytes, announcedBytes)) {
            reject(overloadStatus(), "too many requests wait here");
        }
        bytes.position(bytes.limit());
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        client.receivingBody = false;
        if (!rejectedOrDispatched) {
            client.readyExchanges.add(this);
        }
    }

    /** The body is malformed. */
    void rejectMalformedBody(String reason) {
        if (!rejectedOrDispatched) {
            reject(400, reason);
        }
    }

    /**
     * The status while overloaded: 503, but 500 for a request that resumes an earlier one, as after a refusal its client
     * would start again from the beginning.
     */
    private int overloadStatus() {
        Header retried = request.getFirstHeader("X-Retried");
        return retried != null && HttpCall.isResumption(retried.getValue()) ? 500 : 503;
    }

    /** Answers a request without reading the rest of its body; the connection closes once the answer is sent. */
    private void reject(int status, String reason) {
        rejectedOrDispatched = true;
        received.clear();
        client.receivingBody = false;
        client.ignoresRequests = true;
        // replaced by a real time once the answer is written, which may have to wait for earlier ones
        client.closeAt = clock.instant().plus(Duration.ofDays(1));
        client.session.clearEvent(SelectionKey.OP_READ);
        Header requestClass = request.getFirstHeader("X-Priority-Class");
        rejectionListener.rejected(requestClass == null ? null : requestClass.getValue(), status);
        requestLog.note(requestId(), "rejected with " + status + ": " + reason);
        respond(
                status,
                "text/plain",
                status >= 500 && client.parseError == null
                        ? Map.of("Connection", "close", "Retry-After", "1")
                        : Map.of("Connection", "close"),
                (reason + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Hands the request to the front. Called by the connection's handler once all available input was read; the request is
     * dropped if the client has gone by then.
     */
    void dispatch() {
        if (finished.get()) {
            return;
        }
        rejectedOrDispatched = true;
        client.requestDispatched();
        body = received.take();
        Map<String, String> headers = new HashMap<>();
        for (Header header : request.getHeaders()) {
            // repeated headers are joined, so that two IDs or timeouts are invalid instead of the first one winning
            headers.merge(header.getName().toLowerCase(Locale.ROOT), header.getValue(), (a, b) -> a + ", " + b);
        }
        try {
            onClientGone = front.accept(
                    new HttpCall(
                            request.getMethod(), request.getPath(), Map.copyOf(headers), body, arrivedAt, maxQueueTime),
                    this);
        } catch (RuntimeException | Error e) { // HttpCore would close the connection without an answer
            FailureLog.severe(LOG, () -> "a front failed to accept a request", e);
            respond(500, "text/plain", Map.of("Connection", "close"), "failed\n".getBytes(StandardCharsets.US_ASCII));
        }
        if (finished.get()) {
            onClientGone.run();
        }
    }

    // ---- the answer ----------------------------------------------------------------------------

    @Override
    public void respond(int status, String contentType, Map<String, String> headers, byte[] bytes) {
        pendingWrites.add(new PendingWrite(ByteBuffer.wrap(bytes), false, null));
        endState = EndState.COMPLETE;
        sendHead(status, contentType, headers, bytes.length);
    }

    @Override
    public void beginStream(String contentType, Map<String, String> headers) {
        sendHead(200, contentType, headers, -1);
    }

    private void sendHead(int status, String contentType, Map<String, String> headers, long length) {
        BasicHttpResponse response = new BasicHttpResponse(status);
        boolean announcesClose = draining.getAsBoolean() || allClients.isCrowded();
        closesAfterAnswer = announcesClose || headers.containsKey("Connection");
        headers.forEach(response::setHeader);
        if (announcesClose) {
            response.setHeader("Connection", "close");
        }
        try {
            responseChannel.sendResponse(
                    response, new BasicEntityDetails(length, ContentType.parse(contentType)), context);
        } catch (IOException | HttpException e) {
            closer.close(client, HttpFrontServer.CloseReason.FAILED_ANSWER);
        }
    }

    @Override
    public void write(byte[] bytes, Runnable onDrained) {
        if (clientGone) {
            return;
        }
        // a fast server can exceed its receive window, as HttpCore reads on while data is available; hence this limit
        if (bufferedBytes.addAndGet(bytes.length) > MAX_BUFFERED_BYTES) {
            closer.close(client, HttpFrontServer.CloseReason.SLOW_READER);
            return;
        }
        answerMemory.addBeyondLimit(bytes.length);
        pendingWrites.add(new PendingWrite(ByteBuffer.wrap(bytes), true, onDrained));
        requestOutput();
    }

    @Override
    public void endStream() {
        endState = EndState.COMPLETE;
        requestOutput();
    }

    @Override
    public void abort() {
        endState = EndState.ABORTED;
        client.ignoresInput = true;
        client.answerCut = true;
        client.closeAt = clock.instant().plus(ABORT_FLUSH_TIME);
        requestOutput();
    }

    @Override
    public boolean keep(int bytes) {
        return answerMemory.add(bytes);
    }

    @Override
    public boolean isClientGone() {
        return clientGone;
    }

    private void requestOutput() {
        DataStreamChannel channel = outputChannel;
        if (channel != null) {
            channel.requestOutput();
        }
    }

    @Override
    public int available() {
        return pendingWrites.isEmpty() && endState == EndState.NONE ? 0 : 1;
    }

    /**
     * Called by the reactor and by the thread that sends the head; a concurrent second call returns at once, and the first
     * then writes once more.
     */
    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        outputChannel = channel;
        int calls = 1;
        if (pendingProduceCalls.getAndAdd(1) != 0) {
            return;
        }
        do {
            writePending(channel);
            calls = pendingProduceCalls.addAndGet(-calls);
        } while (calls > 0);
    }

    private void writePending(DataStreamChannel channel) throws IOException {
        EndState endStateBefore = endState;
        PendingWrite next = pendingWrites.peek();
        int written = 0;
        while (next != null) {
            if (written > MAX_WRITE_BYTES_PER_TURN) {
                return; // a fast server and client could keep this thread writing for ever
            }
            int count = next.bytes().hasRemaining() ? channel.write(next.bytes()) : 0;
            if (count == 0 && next.bytes().hasRemaining()) {
                return;
            }
            written += count;
            if (!next.bytes().hasRemaining()) {
                pendingWrites.poll();
                bufferedBytes.addAndGet(-next.bytes().capacity());
                answerMemory.remove(next.counted() ? next.bytes().capacity() : 0);
                if (next.onDrained() != null) {
                    next.onDrained().run();
                }
            }
            next = pendingWrites.peek();
        }
        if (endStateBefore == EndState.COMPLETE && finished.compareAndSet(false, true)) {
            // endStream comes before releaseRequest(), as this may be the actors' thread: in the reverse order, the
            // reactor's thread could in between see a connection with nothing left to write and close it, or a stop
            // could find no open request
            closesAfterAnswer |= RequestDuplexer.closesAfterAnswer(context);
            client.ignoresInput = closesAfterAnswer || client.ignoresInput;
            channel.endStream(null);
            releaseRequest();
            if (closesAfterAnswer) {
                // If the head was sent before a drain began, it announced no close and the next request may be on its
                // way: then its answer announces the close, or the connection is closed once it is idle
                client.closeAt = clock.instant();
                client.wake(); // the reactor may already have written the end
            }
        } else if (endStateBefore == EndState.ABORTED) {
            if (abortSeen) {
                // no last chunk: the client must see that the stream is incomplete
                if (finished.compareAndSet(false, true)) {
                    releaseRequest();
                }
                closer.close(client, HttpFrontServer.CloseReason.BROKEN_STREAM);
            } else {
                abortSeen = true;
                channel.requestOutput();
            }
        }
    }

    @Override
    public void failed(Exception cause) {
        if (finished.compareAndSet(false, true)) {
            clientGone = true;
            noteUnanswered(cause);
            pendingWrites.clear(); // others may refer to this exchange until its attempt has ended
            releaseRequest();
            onClientGone.run();
        }
    }

    private void noteUnanswered(Exception cause) {
        String progress = body != null ? "open" : received.size() + " bytes of its body read";
        requestLog.note(
                requestId(),
                "its connection ended before its answer, " + progress + ": "
                        + (client.closeReason != null ? client.closeReason : cause == null ? "by the client" : cause));
    }

    private String requestId() {
        Header id = request == null ? null : request.getFirstHeader("X-Request-ID");
        return id == null ? null : id.getValue();
    }

    private void releaseRequest() {
        client.lastRequestId = requestId();
        received.clear();
        RequestBody dispatched = body;
        if (dispatched != null) {
            dispatched.release();
        }
        headMemory.close();
        answerMemory.close();
        client.requestEnded(clock.instant(), dispatched != null);
    }

    @Override
    public void releaseResources() {
        failed(null);
    }
}

package copperbeam.transport;

import copperbeam.protocol.Front;
import copperbeam.protocol.HttpCall;
import copperbeam.protocol.HttpReply;
import java.io.ByteArrayOutputStream;
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
import java.util.logging.Level;
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
import org.apache.hc.core5.io.CloseMode;

/** One client's request and the answer to it. */
final class ServerExchange implements AsyncServerExchangeHandler, HttpReply {
    private static final Logger LOG = Logger.getLogger(ServerExchange.class.getName());
    static final int MOST_BODY = 256 * 1024;
    static final int MOST_PIPELINED = 8; // requests open on one connection

    private static final Duration LINGER = Duration.ofMillis(100); // for the client to read the answer before the close
    private static final Duration CUT_TIME = Duration.ofSeconds(1); // for sending what was written before an abort

    // bytes of an answer that may wait for a slow client; one chunk from a server may be this long
    private static final int MOST_WAITING = 1 << 20;

    private static final int MOST_A_TURN = 64 * 1024; // bytes written at once, as other connections wait for the reactor

    /** Notified of a request that is rejected here, before a front sees it. */
    interface TurnedAway {
        void told(String requestClass, int status);
    }

    private record Piece(ByteBuffer bytes, Runnable drained) {}

    private enum Last {
        NONE,
        WHOLE,
        CUT
    }

    private final ClientRoom.Client client;
    private final ClientRoom room;
    private final Front front;
    private final Clock clock;
    private final BooleanSupplier draining;
    private final TurnedAway turnedAway;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final ConcurrentLinkedQueue<Piece> pieces = new ConcurrentLinkedQueue<>();
    private final AtomicInteger waiting = new AtomicInteger(); // bytes in pendingWrites
    private final AtomicInteger producing = new AtomicInteger();
    private final AtomicBoolean over = new AtomicBoolean();
    private volatile Last last = Last.NONE;
    private volatile boolean closing; // the connection closes after this answer
    private volatile ResponseChannel responses;
    private volatile DataStreamChannel output;
    private volatile Runnable toldGone = () -> {};
    private volatile boolean gone;
    private HttpRequest request;
    private HttpContext context;
    private Instant arrived;
    private Duration queued; // upper bound of its wait before arrivedAt
    private boolean answered;
    private boolean unread; // the rest of the request was not read
    private int held; // bytes of the body, reserved in the limit of all clients until the exchange ends
    private boolean cutSeen;

    ServerExchange(
            ClientRoom.Client client,
            ClientRoom room,
            Front front,
            Clock clock,
            BooleanSupplier draining,
            TurnedAway turnedAway) {
        this.turnedAway = turnedAway;
        this.client = client;
        this.room = room;
        this.front = front;
        this.clock = clock;
        this.draining = draining;
        client.begin();
    }

    // ---- the request ---------------------------------------------------------------------------

    @Override
    public void handleRequest(HttpRequest head, EntityDetails entity, ResponseChannel channel, HttpContext ctx)
            throws HttpException, IOException {
        request = head;
        responses = channel;
        context = ctx;
        arrived = clock.instant();
        queued = client.queued(arrived);
        client.reading = this;
        client.body = entity != null;
        if (client.unreadable != null) {
            turnAway(ServerSupport.toStatusCode(client.unreadable), ServerSupport.toErrorMessage(client.unreadable));
        } else if (client.deaf) {
            // nothing after it is parsed as a request: hundreds of pipelined requests would use memory and delay the
            // detection of the client's close
            turnAway(busyStatus(), "too many requests on one connection");
        } else if (entity == null) {
            client.whole.add(this);
        } else if (entity.getContentLength() > MOST_BODY) {
            turnAway(413, "the body is larger than 256 KiB");
        } else if (head.containsHeader("Expect")) {
            channel.sendInformation(new BasicHttpResponse(100), ctx);
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        // after a final answer nothing more is read: the client may send gigabytes
        if (!answered) {
            channel.update(Integer.MAX_VALUE);
        }
    }

    @Override
    public void consume(ByteBuffer bytes) {
        if (answered) {
            bytes.position(bytes.limit());
            return;
        }
        if (body.size() + bytes.remaining() > MOST_BODY) {
            turnAway(413, "the body is larger than 256 KiB");
        } else if (!room.take(bytes.remaining())) {
            turnAway(busyStatus(), "too many requests wait here");
        } else {
            held += bytes.remaining();
            byte[] copy = new byte[bytes.remaining()];
            bytes.get(copy);
            body.writeBytes(copy);
        }
        bytes.position(bytes.limit());
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        client.body = false;
        if (!answered) {
            client.whole.add(this);
        }
    }

    /** The body is malformed. */
    void unreadable(String why) {
        if (!answered) {
            turnAway(400, why);
        }
    }

    /**
     * The status while overloaded: 503, but 500 for a request that resumes an earlier one, as after a refusal its client
     * would start again from the beginning.
     */
    private int busyStatus() {
        Header retried = request.getFirstHeader("X-Retried");
        return retried != null && HttpCall.resumes(retried.getValue()) ? 500 : 503;
    }

    /** Answers a request without reading the rest of its body; the connection closes once the answer is sent. */
    private void turnAway(int status, String why) {
        answered = true;
        body.reset();
        client.body = false;
        unread = true;
        client.deaf = true;
        client.closeAt = clock.instant().plus(Duration.ofDays(1)); // the answer may have to wait for earlier ones
        client.session.clearEvent(SelectionKey.OP_READ);
        Header requestClass = request.getFirstHeader("X-Priority-Class");
        turnedAway.told(requestClass == null ? null : requestClass.getValue(), status);
        whole(
                status,
                "text/plain",
                status >= 500 && client.unreadable == null
                        ? Map.of("Connection", "close", "Retry-After", "1")
                        : Map.of("Connection", "close"),
                (why + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Hands the request to the front. Called by the connection's handler once all available input was read; the request is
     * dropped if the client has gone by then.
     */
    void dispatch() {
        if (over.get()) {
            return;
        }
        answered = true;
        Map<String, String> headers = new HashMap<>();
        for (Header header : request.getHeaders()) {
            // repeated headers are joined, so that two IDs or timeouts are invalid instead of the first one winning
            headers.merge(header.getName().toLowerCase(Locale.ROOT), header.getValue(), (a, b) -> a + ", " + b);
        }
        try {
            toldGone = front.accept(
                    new HttpCall(
                            request.getMethod(),
                            request.getPath(),
                            Map.copyOf(headers),
                            body.toByteArray(),
                            arrived,
                            queued),
                    this);
        } catch (RuntimeException | Error e) { // HttpCore would close the connection without an answer
            LOG.log(Level.SEVERE, "a front failed to accept a request", e);
            whole(500, "text/plain", Map.of("Connection", "close"), "failed\n".getBytes(StandardCharsets.US_ASCII));
        }
        if (over.get()) {
            toldGone.run();
        }
    }

    // ---- the answer ----------------------------------------------------------------------------

    @Override
    public void whole(int status, String contentType, Map<String, String> headers, byte[] bytes) {
        pieces.add(new Piece(ByteBuffer.wrap(bytes), null));
        last = Last.WHOLE;
        send(status, contentType, headers, bytes.length);
    }

    @Override
    public void begin(String contentType, Map<String, String> headers) {
        send(200, contentType, headers, -1);
    }

    private void send(int status, String contentType, Map<String, String> headers, long length) {
        BasicHttpResponse response = new BasicHttpResponse(status);
        boolean closes = draining.getAsBoolean() || room.crowded();
        closing = closes || headers.containsKey("Connection");
        headers.forEach(response::setHeader);
        if (closes) {
            response.setHeader("Connection", "close");
        }
        try {
            responses.sendResponse(response, new BasicEntityDetails(length, ContentType.parse(contentType)), context);
        } catch (IOException | HttpException e) {
            client.session.close(CloseMode.GRACEFUL);
        }
    }

    @Override
    public void write(byte[] bytes, Runnable drained) {
        // a fast server can exceed its receive window, as HttpCore reads on while data is available; hence this limit
        if (waiting.addAndGet(bytes.length) > MOST_WAITING) {
            client.session.close(CloseMode.GRACEFUL);
            return;
        }
        pieces.add(new Piece(ByteBuffer.wrap(bytes), drained));
        flush();
    }

    @Override
    public void end() {
        last = Last.WHOLE;
        flush();
    }

    @Override
    public void abort() {
        last = Last.CUT;
        client.ending = true;
        client.closeAt = clock.instant().plus(CUT_TIME);
        flush();
    }

    @Override
    public boolean gone() {
        return gone;
    }

    private void flush() {
        DataStreamChannel channel = output;
        if (channel != null) {
            channel.requestOutput();
        }
    }

    @Override
    public int available() {
        return pieces.isEmpty() && last == Last.NONE ? 0 : 1;
    }

    /**
     * Called by the reactor and by the thread that sends the head; a concurrent second call returns at once, and the first
     * then writes once more.
     */
    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        output = channel;
        int turns = 1;
        if (producing.getAndAdd(1) != 0) {
            return;
        }
        do {
            drain(channel);
            turns = producing.addAndGet(-turns);
        } while (turns > 0);
    }

    private void drain(DataStreamChannel channel) throws IOException {
        Last state = last;
        Piece piece = pieces.peek();
        int written = 0;
        while (piece != null) {
            if (written > MOST_A_TURN) {
                return; // a fast server and client could keep this thread writing for ever
            }
            int count = piece.bytes().hasRemaining() ? channel.write(piece.bytes()) : 0;
            if (count == 0 && piece.bytes().hasRemaining()) {
                return;
            }
            written += count;
            if (!piece.bytes().hasRemaining()) {
                pieces.poll();
                waiting.addAndGet(-piece.bytes().capacity());
                if (piece.drained() != null) {
                    piece.drained().run();
                }
            }
            piece = pieces.peek();
        }
        if (state == Last.WHOLE && over.compareAndSet(false, true)) {
            // endStream comes before releaseRequest(): this may be the actors' thread, and in between the reactor's thread
            // would see a connection with nothing left to write and close it, or a stop would find no open request
            client.ending = closing || client.ending;
            channel.endStream(null);
            ended();
            if (closing) {
                // HttpCore does not close while more requests are pipelined on this connection. If the head was sent
                // before a drain began, it announced no close and the next request may be on its way: then its answer
                // announces the close, or the connection is closed once it is idle
                client.closeAt = clock.instant().plus(unread ? LINGER : Duration.ZERO);
                client.lingers = unread;
                client.wake(); // the reactor may already have written the end
            }
        } else if (state == Last.CUT) {
            if (cutSeen) {
                // no last chunk: the client must see that the stream is incomplete
                if (over.compareAndSet(false, true)) {
                    ended();
                }
                client.session.close(CloseMode.GRACEFUL);
            } else {
                cutSeen = true;
                channel.requestOutput();
            }
        }
    }

    @Override
    public void failed(Exception cause) {
        if (over.compareAndSet(false, true)) {
            gone = true;
            ended();
            toldGone.run();
        }
    }

    private void ended() {
        room.free(held);
        client.end(clock.instant());
    }

    @Override
    public void releaseResources() {
        failed(null);
    }
}

package copperbeam.transport;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import copperbeam.protocol.Front;
import copperbeam.protocol.HttpCall;
import copperbeam.protocol.HttpReply;

/** One client's request and the answer to it. */
final class ServerExchange implements AsyncServerExchangeHandler, HttpReply {
    static final int MOST_BODY = 256 * 1024;

    private record Piece(ByteBuffer bytes, Runnable drained) {}

    private enum Last { NONE, WHOLE, CUT }

    private final HttpFrontServer.Client client;
    private final Front front;
    private final Clock clock;
    private final BooleanSupplier draining;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final ConcurrentLinkedQueue<Piece> pieces = new ConcurrentLinkedQueue<>();
    private final AtomicInteger producing = new AtomicInteger();
    private final AtomicBoolean over = new AtomicBoolean();
    private volatile Last last = Last.NONE;
    private volatile ResponseChannel responses;
    private volatile DataStreamChannel output;
    private volatile Runnable gone = () -> {};
    private HttpRequest request;
    private HttpContext context;
    private Instant arrived;
    private boolean answered;
    private boolean cutSeen;

    ServerExchange(HttpFrontServer.Client client, Front front, Clock clock, BooleanSupplier draining) {
        this.client = client;
        this.front = front;
        this.clock = clock;
        this.draining = draining;
        client.busy = true;
    }

    // ---- the request ---------------------------------------------------------------------------

    @Override
    public void handleRequest(HttpRequest head, EntityDetails entity, ResponseChannel channel, HttpContext ctx)
            throws HttpException, IOException {
        request = head;
        responses = channel;
        context = ctx;
        arrived = clock.instant();
        if (entity == null) {
            dispatch();
        } else if (entity.getContentLength() > MOST_BODY) {
            tooLarge();
        } else if (head.containsHeader("Expect")) {
            channel.sendInformation(new BasicHttpResponse(100), ctx);
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer bytes) {
        if (answered) {
            bytes.position(bytes.limit());
            return;
        }
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        body.writeBytes(copy);
        if (body.size() > MOST_BODY) {
            tooLarge();
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (!answered) {
            dispatch();
        }
    }

    private void tooLarge() {
        answered = true;
        body.reset();
        whole(413, "text/plain", Map.of("Connection", "close"),
                "the body is larger than 256 KiB\n".getBytes(StandardCharsets.US_ASCII));
    }

    private void dispatch() {
        answered = true;
        Map<String, String> headers = new HashMap<>();
        for (Header header : request.getHeaders()) {
            headers.putIfAbsent(header.getName().toLowerCase(Locale.ROOT), header.getValue());
        }
        gone = front.accept(new HttpCall(request.getMethod(), request.getPath(), Map.copyOf(headers),
                body.toByteArray(), arrived), this);
        if (over.get()) {
            gone.run();
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
        headers.forEach(response::setHeader);
        if (draining.getAsBoolean()) {
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
        flush();
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

    /** By the reactor, and by whoever sends the head; of two at once the second leaves its turn to the first. */
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
        while (piece != null) {
            if (piece.bytes().hasRemaining() && channel.write(piece.bytes()) == 0) {
                return;
            }
            if (!piece.bytes().hasRemaining()) {
                pieces.poll();
                if (piece.drained() != null) {
                    piece.drained().run();
                }
            }
            piece = pieces.peek();
        }
        if (state == Last.WHOLE && over.compareAndSet(false, true)) {
            client.idle(clock.instant());
            channel.endStream(null);
        } else if (state == Last.CUT) {
            if (cutSeen) {
                // no last chunk: the client must see that the stream is not whole
                over.set(true);
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
            client.idle(clock.instant());
            gone.run();
        }
    }

    @Override
    public void releaseResources() {
        failed(null);
    }
}

package copperbeam.transport;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
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

/** One request out and its answer back. Runs on the reactor's thread but for {@link #grant}. */
abstract class ClientExchange implements AsyncClientExchangeHandler {
    private static final int WINDOW = 65_535; // HttpCore's, until more is granted

    private static final int MOST_GATHERED = 4096;
    private static final int MOST_INFORMATIONAL = 8; // heads before an answer

    private final ByteArrayOutputStream gathered = new ByteArrayOutputStream(0);
    private final HttpRequest request;
    private final ByteBuffer body;
    private final boolean hold;
    private volatile boolean let;
    private volatile DataStreamChannel output;
    private boolean told; // that only the last byte is left
    private final AtomicInteger owed = new AtomicInteger();
    private volatile CapacityChannel capacity;
    private volatile boolean written; // the last byte is HttpCore's, that may still have it
    private boolean left; // and the system has it
    private BooleanSupplier buffered = () -> false;
    private int informational;
    private boolean reusedConnection;
    private boolean answeredEarly; // its answer began before its last byte had left
    private final AtomicInteger held = new AtomicInteger(); // taken in and not granted again
    private volatile boolean over;
    private boolean whole;
    private boolean closing;
    private Exception cause;

    /** {@code body} may be null. */
    ClientExchange(HttpRequest request, byte[] body) {
        this(request, body, false);
    }

    /** {@code hold}: the last byte stays here until {@link #let}; a body of none can't be held. */
    ClientExchange(HttpRequest request, byte[] body, boolean hold) {
        this.request = request;
        this.hold = hold;
        this.body = body == null ? null : ByteBuffer.wrap(body);
    }

    /** Whether the head may still be written. */
    boolean mayBegin() {
        return true;
    }

    /** The head is about to be written. */
    void leaves(HttpRequest head) {}

    abstract void head(HttpResponse response) throws HttpException;

    /** The bytes are to be granted again once they are used up. */
    abstract void data(ByteBuffer bytes) throws IOException;

    abstract void whole(boolean reusable);

    /** {@code mayHaveRun}: the system took the last byte, or nobody knows. */
    abstract void broken(boolean mayHaveRun);

    /** Whether the last byte may still leave. */
    boolean wanted() {
        return true;
    }

    /** The system took the last byte of a body. */
    void sent() {}

    /** The system took all but the last byte. */
    void held() {}

    /**
     * {@code buffered}: of what was written on the connection the system has not taken the end. {@code reused}: the
     * connection has carried a call before.
     */
    final void on(BooleanSupplier buffered, boolean reused) {
        this.buffered = buffered;
        reusedConnection = reused;
    }

    /** Nothing more of the request may leave: its outcome is settled by the answer that came before its last byte. */
    final boolean answeredEarly() {
        return answeredEarly;
    }

    /** The byte that was held back is the next to be handed to the system. */
    final boolean aboutToGo() {
        return hold && lastByteHere();
    }

    /** The last byte may leave with the next turn and must not. */
    final boolean unwanted() {
        return lastByteHere() && !wanted();
    }

    private boolean lastByteHere() {
        return written && !over && buffered.getAsBoolean();
    }

    /** After each turn of output. */
    final void wrote() {
        if (body != null && written && !left && !over && !buffered.getAsBoolean()) {
            left = true;
            sent();
        }
    }

    /** Keeps the beginning of a short answer. */
    final void gather(ByteBuffer bytes) {
        grant(bytes.remaining());
        byte[] next = new byte[Math.min(bytes.remaining(), MOST_GATHERED - gathered.size())];
        bytes.get(next);
        gathered.writeBytes(next);
        bytes.position(bytes.limit());
    }

    final String gathered() {
        return gathered.toString(StandardCharsets.US_ASCII);
    }

    /** From any thread: the last byte may go. */
    final void let() {
        let = true;
        DataStreamChannel channel = output;
        if (channel != null) {
            channel.requestOutput();
        }
    }

    /** The other side has sent about all that it may: who should take it is slow. */
    final boolean windowUsed() {
        return held.get() > WINDOW / 2;
    }

    final void grant(int bytes) {
        held.addAndGet(-bytes);
        owed.addAndGet(bytes);
        CapacityChannel channel = capacity;
        if (channel != null) {
            try {
                channel.update(owed.getAndSet(0));
            } catch (IOException e) {
                // the connection is gone, which the exchange hears of by itself
            }
        }
    }

    @Override
    public final void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        if (!mayBegin()) {
            throw new IOException("this call may not begin any more"); // ends the connection, with nothing written
        }
        // set before the last byte can leave: what is not known to have stayed may have run
        written = body == null;
        leaves(request);
        channel.sendRequest(request, body == null ? null : new BasicEntityDetails(body.remaining(), null), context);
    }

    @Override
    public final int available() {
        return body == null || written ? 0 : body.remaining() - kept();
    }

    @Override
    public final void produce(DataStreamChannel channel) throws IOException {
        if (body == null || written) {
            return;
        }
        output = channel;
        int kept = kept();
        if (kept == 0 && !wanted()) {
            throw new IOException(
                    "nobody waits for this call any more"); // ends the connection, the last byte on this side
        }
        if (body.remaining() > kept) {
            body.limit(body.limit() - kept);
            try {
                channel.write(body);
            } finally {
                body.limit(body.limit() + kept);
            }
        }
        if (!body.hasRemaining()) {
            written = true;
            channel.endStream(null);
        } else if (kept == body.remaining() && !told && !buffered.getAsBoolean()) {
            told = true; // not while HttpCore has the rest: its time on the way would be taken from the hold
            held();
        }
    }

    private int kept() {
        return hold && !let ? Math.min(1, body.remaining()) : 0;
    }

    /** Guards against a server that never comes to its answer: behind a switch of protocols, or heads without end. */
    @Override
    public final void consumeInformation(HttpResponse response, HttpContext context) throws HttpException {
        if (response.getCode() == HttpStatus.SC_SWITCHING_PROTOCOLS || ++informational > MOST_INFORMATIONAL) {
            throw new ProtocolException("informational heads in place of an answer");
        }
    }

    @Override
    public final void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context)
            throws HttpException {
        if (body != null && (!written || buffered.getAsBoolean())) {
            if (reusedConnection) {
                // no server can have begun this request: what comes belongs to the call before, such as a second answer
                throw new ProtocolException("an answer to an earlier call");
            }
            answeredEarly = true;
        }
        Header connection = response.getFirstHeader("Connection");
        closing = connection != null && connection.getValue().equalsIgnoreCase("close");
        head(response);
        if (entity == null) {
            finish();
        }
    }

    @Override
    public final void updateCapacity(CapacityChannel channel) {
        // comes only once the window is used up; what was granted before it must not be lost, or the stream stalls
        capacity = channel;
        grant(0);
    }

    @Override
    public final void consume(ByteBuffer bytes) throws IOException {
        held.addAndGet(bytes.remaining());
        data(bytes);
    }

    @Override
    public final void streamEnd(List<? extends Header> trailers) {
        finish();
    }

    private void finish() {
        if (!over) {
            whole = true;
            over = true;
        }
    }

    /** Of its break, where one is known. */
    final Exception cause() {
        return cause;
    }

    final boolean ended() {
        return over;
    }

    /** After the last byte at hand was read; {@code open}: the connection lives on. */
    final void settle(boolean open) {
        if (whole) {
            whole(open && !closing && !answeredEarly);
        }
    }

    @Override
    public final void failed(Exception cause) {
        this.cause = this.cause == null ? cause : this.cause;
        // that it never began is told on the caller's thread too, which must not look into a buffer of the reactor's
        boolean never = cause instanceof RequestNotExecutedException;
        // what HttpCore still has at the end, the request's last byte among it, has never left
        fail(() -> written && (never || !buffered.getAsBoolean()));
    }

    private void fail(BooleanSupplier mayHaveRun) {
        if (!over) {
            over = true;
            broken(mayHaveRun.getAsBoolean());
        }
    }

    @Override
    public final void cancel() {
        fail(() -> written);
    }

    @Override
    public final void releaseResources() {
        failed(null);
    }
}

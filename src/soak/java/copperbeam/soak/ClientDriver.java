package copperbeam.soak;

import copperbeam.soak.HttpConnection.Message;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A client that sends one request at a time and notes what it gets. Mostly well-behaved; some of its requests are slow to send,
 * abandoned or large. A client that tells false lengths says that its prompts and prefixes are longer or shorter than they are,
 * waits for a short time only and hardly pauses between its requests.
 */
final class ClientDriver {
    private static final int CONNECT_MS = 1000;
    private static final int ANSWER_TIMEOUT_MARGIN_MS = 5000; // how long a client waits beyond its deadline
    private static final int SETTLE_MS = 50; // time for a reset to arrive behind a close
    private static final int LARGE_BODY_BYTES = 200 * 1024; // bytes of a large body
    // 1 in 20 pauses between two requests on a connection is of up to this length
    private static final int MAX_LONG_PAUSE_MS = 2500;
    private static final int MAX_PAUSE_MS = 120; // the other pauses
    // pauses where costs are uneven: longer, so that each conductor has few requests
    private static final int MAX_UNEVEN_PAUSE_MS = 1000;
    private static final int HEAVY_REQUEST_INTERVAL = 12; // 1 in 12 requests is heavy where costs are uneven
    private static final int MIN_DEADLINE_MS = 600;
    private static final int MAX_SHORT_DEADLINE_MS = 300; // of clients that tell false lengths
    private static final int MAX_SHORT_PAUSE_MS = 2; // of the same
    private static final int CHARS_PER_TOKEN = 4;
    private static final int MAX_BODY_TOKENS = 256 * 1024 / CHARS_PER_TOKEN;
    private static final long[] FALSE_LENGTHS = {
        0, 1, 30_000, MAX_BODY_TOKENS, MAX_BODY_TOKENS + 1, 999_999_999_999_999L
    };
    private static final int INPUT_LEFT_BEHIND_INTERVAL = 3; // 1 in 3 clients that leave do so behind more input

    private static final int SLOW_READING_INTERVAL = 5; // 1 in so many connections is read slowly
    private static final int MAX_READING_PAUSE_MS = 3500;
    private static final String FURTHER_REQUEST_START = "POST /v1/ch"; // what comes of a request that never does

    /** What to do after a request. */
    private enum Next {
        SAME_CONNECTION,
        NEW_CONNECTION,
        SEND_AGAIN
    }

    private final String name;
    private final boolean tellsFalseLengths;
    private final List<ConductorProcess> conductors;
    private final SoakSettings settings;
    private final History history;
    private final Random random;
    private final AtomicBoolean finished;
    private int nextNumber;
    private boolean readsSlowly; // on this connection, long answers with pauses

    ClientDriver(
            String name,
            boolean tellsFalseLengths,
            List<ConductorProcess> conductors,
            SoakSettings settings,
            History history,
            Random random,
            AtomicBoolean finished) {
        this.name = name;
        this.tellsFalseLengths = tellsFalseLengths;
        this.conductors = conductors;
        this.settings = settings;
        this.history = history;
        this.random = random;
        this.finished = finished;
    }

    void run() throws InterruptedException {
        String resendId = null;
        while (!finished.get() || resendId != null) {
            List<ConductorProcess> available =
                    conductors.stream().filter(ConductorProcess::takesClients).toList();
            if (available.isEmpty()) {
                Thread.sleep(SETTLE_MS);
                continue;
            }
            ConductorProcess conductor = available.get(random.nextInt(available.size()));
            readsSlowly = Math.floorMod(nextNumber, SLOW_READING_INTERVAL) == 1 && !settings.uneven();
            try (HttpConnection connection = readsSlowly
                    ? HttpConnection.connectWithSmallBuffer(conductor.address, CONNECT_MS)
                    : HttpConnection.connect(conductor.address, CONNECT_MS)) {
                resendId = useConnection(connection, conductor, resendId);
            } catch (IOException e) {
                Thread.sleep(SETTLE_MS); // the conductor isn't running
            }
        }
    }

    /**
     * Sends a drawn number of requests over one connection; while the conductor stops it goes on until the conductor closes the
     * connection. Returns the id of a request that has to be sent again, or null.
     */
    private String useConnection(HttpConnection connection, ConductorProcess conductor, String resendId)
            throws IOException, InterruptedException {
        String id = resendId;
        for (int remaining = 1 + random.nextInt(20);
                (remaining > 0 || !conductor.takesClients()) && !(finished.get() && id == null);
                remaining--) {
            if (id == null) {
                boolean longPause = random.nextInt(20) == 0 && conductor.takesClients();
                Thread.sleep(random.nextInt(
                        longPause ? MAX_LONG_PAUSE_MS : settings.uneven() ? MAX_UNEVEN_PAUSE_MS : maxPauseMs()));
            }
            id = id == null ? name + "-" + nextNumber++ : id;
            Next next = sendRequest(connection, conductor, id);
            if (next == Next.SEND_AGAIN) {
                return id;
            }
            id = null;
            if (next == Next.NEW_CONNECTION) {
                return null;
            }
        }
        return null;
    }

    /** The bytes of an HTTP request in the form that the protocol's page describes. */
    static String requestText(String id, RequestKind kind, int tokens, String session, long deadlineMs, String body) {
        return requestText(id, kind, "prompt_len=" + tokens, session, deadlineMs, body);
    }

    private static String requestText(
            String id, RequestKind kind, String lengths, String session, long deadlineMs, String body) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: "
                + kind.requestClass + "\r\nX-Route-Key: " + session + "\r\nX-Timeout: " + deadlineMs
                + "m\r\nIdempotency-Key: " + id + "\r\nX-Attrs: " + lengths + ",max_out=9\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private int maxPauseMs() {
        return tellsFalseLengths ? MAX_SHORT_PAUSE_MS : MAX_PAUSE_MS;
    }

    private String drawFalseLengths() {
        long promptTokens = FALSE_LENGTHS[random.nextInt(FALSE_LENGTHS.length)];
        long prefixTokens = FALSE_LENGTHS[random.nextInt(FALSE_LENGTHS.length)];
        return "prefix=" + name + ",prompt_len=" + promptTokens + ",prefix_len=" + prefixTokens;
    }

    private RequestKind drawKind() {
        if (!settings.uneven()) {
            return RequestKind.values()[random.nextInt(RequestKind.values().length)];
        }
        return random.nextInt(HEAVY_REQUEST_INTERVAL) == 0
                ? RequestKind.UNSAFE
                : random.nextBoolean() ? RequestKind.SAFE : RequestKind.KEYED;
    }

    /** The deadline is the same for all requests where the oracle compares the served shares of classes. */
    private long drawDeadlineMs() {
        int longest = (int) settings.longestDeadlineMs();
        if (tellsFalseLengths && !settings.uneven() && random.nextBoolean()) {
            return 1 + random.nextInt(MAX_SHORT_DEADLINE_MS);
        }
        return settings.uneven() ? longest : MIN_DEADLINE_MS + random.nextInt(longest - MIN_DEADLINE_MS);
    }

    private Next sendRequest(HttpConnection connection, ConductorProcess conductor, String id)
            throws InterruptedException {
        RequestKind kind = drawKind();
        long deadlineMs = drawDeadlineMs();
        int tokens = kind.promptTokens(settings.uneven());
        int chars = random.nextInt(25) == 0 ? LARGE_BODY_BYTES : random.nextInt(300);
        String body = "{\"a\":\"" + (readsSlowly ? ServerStandIn.LONG_ANSWER_MARK : "")
                + "x".repeat(Math.max(chars, tokens * CHARS_PER_TOKEN)) + "\"}";
        String lengths = tellsFalseLengths ? drawFalseLengths() : "prompt_len=" + tokens;
        String text = requestText(id, kind, lengths, name, deadlineMs, body);
        boolean sent = false;
        try {
            int firstEnd = random.nextInt(8) == 0 ? random.nextInt(text.length() - 1) : 0;
            if (firstEnd > 0) {
                connection.send(text.substring(0, firstEnd));
                if (random.nextInt(4) == 0) {
                    return Next.NEW_CONNECTION; // the client leaves within the request
                }
                Thread.sleep(random.nextInt(400));
            }
            // a large body blocks here while the conductor does not read; the request counts as sent with its last byte
            int lastStart = body.length() < LARGE_BODY_BYTES ? firstEnd : text.length() - 1;
            connection.send(text.substring(firstEnd, lastStart));
            long sentAt = System.nanoTime();
            connection.send(text.substring(lastStart));
            sent = true;
            history.add(new Observation.Sent(sentAt, id, kind, conductor.name, deadlineMs));
            if (random.nextInt(12) == 0) {
                abandon(connection, id);
                return Next.NEW_CONNECTION;
            }
            connection.setReadTimeout((int) deadlineMs + ANSWER_TIMEOUT_MARGIN_MS);
            boolean beginsFurther = readsSlowly && random.nextBoolean();
            if (readsSlowly) {
                pauseBeforeReading(connection, conductor, id, beginsFurther ? FURTHER_REQUEST_START : "");
            }
            Next next = readAnswer(connection, id);
            return beginsFurther && next == Next.SAME_CONNECTION ? Next.NEW_CONNECTION : next;
        } catch (SocketTimeoutException e) {
            history.add(new Observation.NeverAnswered(System.nanoTime(), id));
            return Next.NEW_CONNECTION;
        } catch (IOException e) {
            return sent ? Next.SEND_AGAIN : Next.NEW_CONNECTION; // a reset shows that the request was not read
        }
    }

    /** Sends {@code further} once a stream has begun, and reads nothing for a while unless its conductor stops. */
    private void pauseBeforeReading(HttpConnection connection, ConductorProcess conductor, String id, String further)
            throws IOException, InterruptedException {
        if (!connection.awaitOk()) {
            return;
        }
        connection.send(further);
        int pauseMs = random.nextInt(MAX_READING_PAUSE_MS);
        history.add(new Observation.ReadingPaused(System.nanoTime(), id, conductor.name));
        for (int waited = 0; waited < pauseMs && conductor.takesClients(); waited += SETTLE_MS) {
            Thread.sleep(SETTLE_MS);
        }
        history.add(new Observation.ReadingResumed(System.nanoTime(), id));
    }

    private void abandon(HttpConnection connection, String id) throws IOException, InterruptedException {
        Thread.sleep(random.nextInt(300));
        if (Math.floorMod(id.hashCode(), INPUT_LEFT_BEHIND_INTERVAL) == 0) {
            sendMore(connection);
        }
        if (random.nextInt(3) == 0) {
            connection.reset();
        } else {
            connection.close();
        }
        history.add(new Observation.ClientGone(System.nanoTime(), id));
    }

    /** Sends what the conductor has to read before it can see that the client has left. */
    private static void sendMore(HttpConnection connection) {
        try {
            connection.send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "1\r\nx\r\n".repeat(LARGE_BODY_BYTES / 2));
        } catch (IOException e) {
            // the conductor has ended the connection
        }
    }

    private Next readAnswer(HttpConnection connection, String id) throws IOException, InterruptedException {
        Message answer = connection.read();
        if (answer == null) {
            return handleClose(connection, id);
        }
        history.add(Observation.Answered.now(id, answer, connection));
        boolean closes = !answer.complete() || "close".equalsIgnoreCase(answer.header("Connection"));
        return closes ? Next.NEW_CONNECTION : Next.SAME_CONNECTION;
    }

    /**
     * Handles a connection that was closed without an answer. If the conductor left the request unread, a reset follows the close and
     * a further write fails; the request may be sent again then.
     */
    private Next handleClose(HttpConnection connection, String id) throws InterruptedException {
        Thread.sleep(SETTLE_MS);
        try {
            connection.send("x");
        } catch (IOException e) {
            return Next.SEND_AGAIN;
        }
        history.add(new Observation.ClosedUnanswered(System.nanoTime(), id, true));
        return Next.NEW_CONNECTION;
    }
}

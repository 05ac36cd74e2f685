package copperbeam.soak;

import copperbeam.soak.HttpConnection.Message;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in of a server as the protocol describes it. Serves or misbehaves as its {@link Behavior} says, and notes what it
 * observes.
 */
final class ServerStandIn implements AutoCloseable {
    /** How the server treats requests. */
    enum Behavior {
        HEALTHY,
        SLOW,
        /** Reads requests and never answers. */
        HANGS,
        /** Accepts connections and reads nothing. */
        READS_NOTHING,
        REFUSES,
        FAILS,
        RESETS,
        BREAKS_STREAMS,
        GARBLES,
        /** Goes on without end with what is no further event, after some events of a stream or before the first. */
        SPOILS_STREAMS,
        /** Writes one event of each stream in pieces, for longer than a pause may be. */
        WRITES_SLOWLY,
        /** Has writes wait for longer than usual before they fetch their states. */
        QUEUES,
        /** Has writes wait as long, then refuses them or resets their connections. */
        DROPS_QUEUED;

        /** The behaviors drawn for servers that usually answer at once. */
        static final List<Behavior> WITHOUT_QUEUES = List.of(values()).subList(0, QUEUES.ordinal());
    }

    private static final int POLL_MS = 4;
    private static final int HANG_MS = 8000;
    private static final int MIN_QUEUE_MS = 500; // wait of a queued write
    private static final int QUEUE_RANGE_MS = 1200;
    /** In the body of a request that is to get an answer longer than the system's buffers. */
    static final String LONG_ANSWER_MARK = "long answer";

    private static final int MIN_LONG_EVENTS = 30; // twice as many at most, each with PADDING
    private static final String PADDING = ",\"padding\":\"" + "p".repeat(3000) + "\"";
    private static final int SLOW_EVENT_MS = 4500;
    private static final int SLOW_EVENT_PIECES = 15;
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_EVENT = "data: [DONE]\n\n";
    private static final AtomicLong ATTEMPT_COUNTER = new AtomicLong();

    final String id;
    final Role role;
    private final History history;
    private final ReadStates readStates; // shared by all servers of the run
    private final Random random;
    private final ServerSocket listener;
    /** How the server behaves while no trouble concerns it. */
    final Behavior usualBehavior;

    volatile Behavior behavior;

    /** Of so many streams that would be sound, one is spoilt and one is written slowly; none at 0. */
    volatile int oddStreamInterval;

    ServerStandIn(String id, Role role, Behavior usualBehavior, History history, ReadStates readStates, long seed)
            throws IOException {
        this.id = id;
        this.role = role;
        this.history = history;
        this.readStates = readStates;
        this.usualBehavior = usualBehavior;
        behavior = usualBehavior;
        random = new Random(seed);
        listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Daemon.start(id, this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void accept() throws IOException {
        while (true) {
            Socket next = listener.accept();
            Daemon.start(id, () -> serve(next));
        }
    }

    private int draw(int bound) {
        synchronized (random) {
            return random.nextInt(bound);
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (HttpConnection connection = new HttpConnection(socket)) {
            ProxiedConnection link = ProxiedConnection.from(socket.getRemoteSocketAddress());
            while (connection.awaitByte()) {
                long firstByteAt = System.nanoTime();
                while (behavior == Behavior.READS_NOTHING) {
                    Thread.sleep(POLL_MS);
                }
                if (link.wasReset()) {
                    return; // reset while the server read nothing; the part of a request that it has doesn't count
                }
                Message request = connection.read();
                if (request == null || !request.complete()) {
                    return;
                }
                if (!handleRequest(connection, link, request, firstByteAt)) {
                    return;
                }
            }
        }
    }

    private boolean handleRequest(HttpConnection connection, ProxiedConnection link, Message request, long firstByteAt)
            throws IOException, InterruptedException {
        switch (request.word(0)) {
            case "DELETE":
                readStates.release(request.word(1).substring("/state/".length()));
                connection.sendAnswer(204, "", "");
                return true;
            case "GET":
                connection.sendAnswer(200, "", "inflight=1,queue=0,util=0.2");
                return true;
            default:
                return handleAttempt(connection, link, request, firstByteAt);
        }
    }

    /** Drops all read states, as a restart does. */
    void forgetStates() {
        readStates.forgetAll(id);
    }

    /** Serves or fails one attempt; returns whether the connection may carry another request. */
    private boolean handleAttempt(HttpConnection connection, ProxiedConnection link, Message request, long firstByteAt)
            throws IOException, InterruptedException {
        String requestId = request.header("X-Request-ID");
        long attempt = ATTEMPT_COUNTER.incrementAndGet();
        String announced = request.header("X-Timeout");
        history.add(new Observation.AttemptOpened(firstByteAt, requestId, id, link.conductor));
        long arrivedAt = System.nanoTime();
        history.add(new Observation.AttemptArrived(
                arrivedAt,
                requestId,
                id,
                role,
                link.conductor,
                attempt,
                announced == null ? 0 : Long.parseLong(announced.replace("m", "")),
                link.sentAt(),
                link.readSince()));
        AttemptEnd end = AttemptEnd.FAILED;
        try {
            end = respond(connection, link, request, attempt);
            link.awaitDelivery(); // the conductor can't see the end of the attempt before
        } finally {
            if (end != AttemptEnd.TURNED_AWAY && end != AttemptEnd.SERVED && end != AttemptEnd.SPOILT) {
                // FAILED also if the network ended the connection
                end = link.wasGivenUp() ? AttemptEnd.GIVEN_UP : AttemptEnd.FAILED;
            }
            history.add(new Observation.AttemptEnded(
                    Math.max(arrivedAt + 1, Math.min(link.endedAt(), System.nanoTime())), requestId, attempt, end));
        }
        return end == AttemptEnd.SERVED || end == AttemptEnd.TURNED_AWAY;
    }

    private AttemptEnd respond(HttpConnection connection, ProxiedConnection link, Message request, long attempt)
            throws IOException, InterruptedException {
        String requestId = request.header("X-Request-ID");
        Behavior behaviorNow = draw(3) == 0 ? Behavior.HEALTHY : behavior;
        behaviorNow = behaviorNow == Behavior.HEALTHY ? drawStreamBehavior() : behaviorNow;
        switch (behaviorNow) {
            case REFUSES:
                connection.sendAnswer(503, "X-Not-Processed: 1\r\n", "");
                return AttemptEnd.TURNED_AWAY;
            case FAILS:
                queue(link, requestId, draw(30));
                connection.sendAnswer(500, "", "");
                return AttemptEnd.FAILED;
            case RESETS:
                queue(link, requestId, draw(60));
                connection.reset();
                return AttemptEnd.FAILED;
            case GARBLES:
                connection.send("HTTP/1.1 2");
                queue(link, requestId, draw(1500));
                connection.send("x\r\n\u0000\r\n");
                return AttemptEnd.FAILED;
            case HANGS:
                queue(link, requestId, HANG_MS);
                return AttemptEnd.FAILED;
            default:
                return role == Role.READER
                        ? readPrompt(connection, link, requestId, behaviorNow)
                        : streamAnswer(connection, link, request, attempt, behaviorNow);
        }
    }

    private Behavior drawStreamBehavior() {
        if (oddStreamInterval == 0) {
            return Behavior.HEALTHY;
        }
        return switch (draw(oddStreamInterval)) {
            case 0 -> Behavior.SPOILS_STREAMS;
            case 1 -> Behavior.WRITES_SLOWLY;
            default -> Behavior.HEALTHY;
        };
    }

    /** Waits, but not beyond the end of the connection; returns whether the connection still exists. */
    private static boolean pause(ProxiedConnection link, long ms) throws InterruptedException {
        long deadlineNs = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < deadlineNs && link.endedAt() == Long.MAX_VALUE) {
            Thread.sleep(Math.max(1, Math.min(POLL_MS, (deadlineNs - System.nanoTime()) / 1_000_000)));
        }
        return link.endedAt() == Long.MAX_VALUE;
    }

    /** Has the attempt wait; a write keeps its read state meanwhile. Returns whether the connection still exists. */
    private boolean queue(ProxiedConnection link, String requestId, long ms) throws InterruptedException {
        if (role == Role.READER) {
            return pause(link, ms);
        }
        readStates.startWaiting(requestId, link);
        try {
            return pause(link, ms);
        } finally {
            readStates.stopWaiting(requestId, link);
        }
    }

    private long queueMs(Behavior behaviorNow) {
        return switch (behaviorNow) {
            case QUEUES, DROPS_QUEUED -> MIN_QUEUE_MS + draw(QUEUE_RANGE_MS);
            default -> 0;
        };
    }

    private AttemptEnd dropQueued(HttpConnection connection) throws IOException {
        if (draw(2) == 0) {
            connection.sendAnswer(503, "X-Not-Processed: 1\r\n", "");
            return AttemptEnd.TURNED_AWAY;
        }
        connection.reset();
        return AttemptEnd.FAILED;
    }

    private AttemptEnd readPrompt(
            HttpConnection connection, ProxiedConnection link, String requestId, Behavior behaviorNow)
            throws IOException, InterruptedException {
        boolean connected = pause(link, behaviorNow == Behavior.SLOW ? 400 + draw(800) : 3 + draw(25));
        if (!connected && draw(2) == 0) {
            return AttemptEnd.GIVEN_UP;
        }
        readStates.hold(requestId, id, System.nanoTime()); // a read may complete although the conductor has given it up
        connection.sendAnswer(202, "", "{\"cached_tokens\":0}");
        return connected ? AttemptEnd.SERVED : AttemptEnd.GIVEN_UP;
    }

    private AttemptEnd streamAnswer(
            HttpConnection connection, ProxiedConnection link, Message request, long attempt, Behavior behaviorNow)
            throws IOException, InterruptedException {
        String requestId = request.header("X-Request-ID");
        if (!readStates.isHeld(requestId)) {
            connection.sendAnswer(410, "X-Not-Processed: 1\r\n", "");
            return AttemptEnd.TURNED_AWAY;
        }
        if (!queue(link, requestId, queueMs(behaviorNow))) {
            return AttemptEnd.GIVEN_UP;
        }
        if (behaviorNow == Behavior.DROPS_QUEUED) {
            return dropQueued(connection);
        }
        if (!readStates.take(requestId)) {
            connection.sendAnswer(410, "X-Not-Processed: 1\r\n", "");
            return AttemptEnd.TURNED_AWAY;
        }
        long begunAt = System.nanoTime();
        if (behaviorNow == Behavior.SPOILS_STREAMS || behaviorNow == Behavior.WRITES_SLOWLY) {
            history.add(new Observation.OddStreamBegun(begunAt, requestId, attempt));
        }
        StringBuilder streamed = new StringBuilder();
        boolean complete = false;
        try {
            if (!pause(link, behaviorNow == Behavior.SLOW ? 300 + draw(900) : 2 + draw(20))) {
                return AttemptEnd.GIVEN_UP;
            }
            boolean isLong = request.body().contains(LONG_ANSWER_MARK);
            int events = isLong ? MIN_LONG_EVENTS + draw(MIN_LONG_EVENTS) : 2 + draw(6);
            boolean breaksOff = behaviorNow == Behavior.BREAKS_STREAMS || behaviorNow == Behavior.SPOILS_STREAMS;
            // a spoilt stream may have its last event
            int eventsToSend = breaksOff ? draw(behaviorNow == Behavior.SPOILS_STREAMS ? events + 1 : events) : events;
            for (int event = 0; event < eventsToSend; event++) {
                String text = event == events - 1
                        ? LAST_EVENT
                        : "data: {\"request\":\"" + requestId + "\",\"attempt\":" + attempt + ",\"event\":" + event
                                + (isLong ? PADDING : "") + "}\n\n";
                streamed.append(text);
                if (event == 0) {
                    connection.send(STREAM_HEAD);
                }
                boolean inPieces = behaviorNow == Behavior.WRITES_SLOWLY && event == 1;
                if (!inPieces) {
                    connection.sendChunk(text);
                } else if (!sendInPieces(connection, link, HttpConnection.chunk(text))) {
                    return AttemptEnd.GIVEN_UP;
                }
                if (!isLong && !pause(link, behaviorNow == Behavior.SLOW ? draw(300) : draw(25))) {
                    return AttemptEnd.GIVEN_UP;
                }
            }
            if (behaviorNow == Behavior.SPOILS_STREAMS) {
                return spoilStream(connection, link, eventsToSend, events);
            }
            if (eventsToSend < events) {
                breakStream(connection, eventsToSend > 0);
                return AttemptEnd.FAILED;
            }
            complete = true;
            connection.send("0\r\n\r\n");
            return AttemptEnd.SERVED;
        } finally {
            history.add(new Observation.Streamed(System.nanoTime(), requestId, attempt, complete, streamed.toString()));
            if (behaviorNow == Behavior.WRITES_SLOWLY) {
                link.awaitDelivery();
                long deliveredAt = Math.max(begunAt, link.deliveredAt());
                history.add(new Observation.SlowStreamDelivered(deliveredAt, requestId, attempt));
            }
        }
    }

    /** Sends the text over {@link #SLOW_EVENT_MS}; returns whether the connection still exists. */
    private static boolean sendInPieces(HttpConnection connection, ProxiedConnection link, String text)
            throws IOException, InterruptedException {
        int pieceLength = text.length() / SLOW_EVENT_PIECES + 1;
        for (int start = 0; start < text.length(); start += pieceLength) {
            connection.send(text.substring(start, Math.min(text.length(), start + pieceLength)));
            if (!pause(link, SLOW_EVENT_MS / SLOW_EVENT_PIECES)) {
                return false;
            }
        }
        return true;
    }

    /** Goes on with a drawn {@link SpoiltPart} until the connection ends. */
    private AttemptEnd spoilStream(HttpConnection connection, ProxiedConnection link, int eventsSent, int events)
            throws InterruptedException {
        SpoiltPart part;
        synchronized (random) {
            part = SpoiltPart.draw(random, eventsSent == events);
        }
        try {
            connection.send((eventsSent == 0 ? STREAM_HEAD : "") + part.opening());
            do {
                connection.send(part.repeated());
            } while (pause(link, part.pauseMs()));
        } catch (IOException e) {
            // the connection was closed
        }
        return AttemptEnd.SPOILT;
    }

    /** Resets the connection or, once a stream has begun, ends it at times with a last chunk before its last event. */
    private void breakStream(HttpConnection connection, boolean begun) throws IOException {
        if (begun && draw(2) == 0) {
            connection.send("0\r\n\r\n");
        } else {
            connection.reset();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}

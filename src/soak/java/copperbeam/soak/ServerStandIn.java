package copperbeam.soak;

import copperbeam.soak.HttpConnection.Message;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in of a server as the protocol describes it. Serves or misbehaves as its {@link Behavior} says, and notes what it
 * observes.
 */
final class ServerStandIn implements AutoCloseable {
    /** How the server treats requests. */
    enum Mood {
        WELL,
        SLOW,
        /** Reads requests and never answers. */
        HANGS,
        /** Accepts connections and reads nothing. */
        DEAF,
        TURNS_AWAY,
        FAILS,
        RESETS,
        BREAKS_STREAMS,
        GARBLES
    }

    private static final int LOOK_MS = 4;
    private static final int HANG_MS = 8000;
    private static final AtomicLong ATTEMPTS = new AtomicLong();

    final String id;
    final Role role;
    private final History history;
    // by request: the id of the reader that holds its read state; shared by all servers of the run
    private final Map<String, String> states;
    private final Random random;
    private final ServerSocket listener;
    volatile Mood mood = Mood.WELL;

    ServerStandIn(String id, Role role, History history, Map<String, String> states, long seed) throws IOException {
        this.id = id;
        this.role = role;
        this.history = history;
        this.states = states;
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
                long opened = System.nanoTime();
                while (mood == Mood.DEAF) {
                    Thread.sleep(LOOK_MS);
                }
                if (link.wasReset()) {
                    return; // reset while the server read nothing; the part of a request that it has doesn't count
                }
                Message request = connection.read();
                if (request == null || !request.whole()) {
                    return;
                }
                if (!answer(connection, link, request, opened)) {
                    return;
                }
            }
        }
    }

    private boolean answer(HttpConnection connection, ProxiedConnection link, Message request, long opened)
            throws IOException, InterruptedException {
        switch (request.word(0)) {
            case "DELETE":
                free(request.word(1).substring("/state/".length()));
                connection.answer(204, "", "");
                return true;
            case "GET":
                connection.answer(200, "", "inflight=1,queue=0,util=0.2");
                return true;
            default:
                return attempt(connection, link, request, opened);
        }
    }

    private void free(String request) {
        if (states.remove(request) != null) {
            history.add(new Observation.StateFreed(System.nanoTime(), request));
        }
    }

    /** Drops all read states, as a restart does. */
    void forgetStates() {
        states.forEach((request, holder) -> {
            if (holder.equals(id)) {
                free(request);
            }
        });
    }

    private void hold(String request, long at) {
        states.put(request, id);
        history.add(new Observation.StateHeld(at, request, id));
    }

    /** Serves or fails one attempt; returns whether the connection may carry another request. */
    private boolean attempt(HttpConnection connection, ProxiedConnection link, Message request, long opened)
            throws IOException, InterruptedException {
        String name = request.header("X-Request-ID");
        long attempt = ATTEMPTS.incrementAndGet();
        String told = request.header("X-Timeout");
        history.add(new Observation.AttemptOpened(opened, name, id, link.conductor));
        long arrived = System.nanoTime();
        history.add(new Observation.AttemptArrived(
                arrived,
                name,
                id,
                role,
                link.conductor,
                attempt,
                told == null ? 0 : Long.parseLong(told.replace("m", "")),
                link.readAt(),
                link.carriedSince()));
        AttemptEnd end = AttemptEnd.FAILED;
        try {
            end = carryOut(connection, link, name, attempt);
            link.awaitDelivery(); // the conductor can't see the end of the attempt before
        } finally {
            if (end != AttemptEnd.TURNED_AWAY && end != AttemptEnd.SERVED) {
                // FAILED also if the network ended the connection
                end = link.givenUp() ? AttemptEnd.GIVEN_UP : AttemptEnd.FAILED;
            }
            history.add(new Observation.AttemptEnded(
                    Math.max(arrived + 1, Math.min(link.endedAt(), System.nanoTime())), name, attempt, end));
        }
        return end == AttemptEnd.SERVED || end == AttemptEnd.TURNED_AWAY;
    }

    private AttemptEnd carryOut(HttpConnection connection, ProxiedConnection link, String name, long attempt)
            throws IOException, InterruptedException {
        Mood now = draw(3) == 0 ? Mood.WELL : mood;
        switch (now) {
            case TURNS_AWAY:
                connection.answer(503, "X-Not-Processed: 1\r\n", "");
                return AttemptEnd.TURNED_AWAY;
            case FAILS:
                pause(link, draw(30));
                connection.answer(500, "", "");
                return AttemptEnd.FAILED;
            case RESETS:
                pause(link, draw(60));
                connection.reset();
                return AttemptEnd.FAILED;
            case GARBLES:
                connection.send("HTTP/1.1 2");
                pause(link, draw(1500));
                connection.send("x\r\n\u0000\r\n");
                return AttemptEnd.FAILED;
            case HANGS:
                pause(link, HANG_MS);
                return AttemptEnd.FAILED;
            default:
                return role == Role.READER
                        ? read(connection, link, name, now)
                        : write(connection, link, name, attempt, now);
        }
    }

    /** Waits, but not beyond the end of the connection; returns whether the connection still exists. */
    private static boolean pause(ProxiedConnection link, long ms) throws InterruptedException {
        long until = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < until && link.endedAt() == Long.MAX_VALUE) {
            Thread.sleep(Math.max(1, Math.min(LOOK_MS, (until - System.nanoTime()) / 1_000_000)));
        }
        return link.endedAt() == Long.MAX_VALUE;
    }

    private AttemptEnd read(HttpConnection connection, ProxiedConnection link, String name, Mood now)
            throws IOException, InterruptedException {
        boolean waited = pause(link, now == Mood.SLOW ? 400 + draw(800) : 3 + draw(25));
        if (!waited && draw(2) == 0) {
            return AttemptEnd.GIVEN_UP;
        }
        hold(name, System.nanoTime()); // a read may complete although the conductor has given it up
        connection.answer(202, "", "{\"cached_tokens\":0}");
        return waited ? AttemptEnd.SERVED : AttemptEnd.GIVEN_UP;
    }

    private AttemptEnd write(HttpConnection connection, ProxiedConnection link, String name, long attempt, Mood now)
            throws IOException, InterruptedException {
        if (!states.containsKey(name)) {
            connection.answer(410, "X-Not-Processed: 1\r\n", "");
            return AttemptEnd.TURNED_AWAY;
        }
        free(name);
        StringBuilder made = new StringBuilder();
        boolean whole = false;
        try {
            if (!pause(link, now == Mood.SLOW ? 300 + draw(900) : 2 + draw(20))) {
                return AttemptEnd.GIVEN_UP;
            }
            int events = 2 + draw(6);
            int broken = now == Mood.BREAKS_STREAMS ? draw(events) : events;
            for (int event = 0; event < broken; event++) {
                String text =
                        "data: {\"request\":\"" + name + "\",\"attempt\":" + attempt + ",\"event\":" + event + "}\n\n";
                made.append(text);
                if (event == 0) {
                    connection.send(
                            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
                }
                connection.chunk(text);
                if (!pause(link, now == Mood.SLOW ? draw(300) : draw(25))) {
                    return AttemptEnd.GIVEN_UP;
                }
            }
            if (broken < events) {
                connection.reset();
                return AttemptEnd.FAILED;
            }
            whole = true;
            connection.send("0\r\n\r\n");
            return AttemptEnd.SERVED;
        } finally {
            history.add(new Observation.Streamed(System.nanoTime(), name, attempt, whole, made.toString()));
        }
    }

    /** A new map from a request to the reader that holds its read state, shared by all servers of a run. */
    static Map<String, String> states() {
        return new ConcurrentHashMap<>();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}

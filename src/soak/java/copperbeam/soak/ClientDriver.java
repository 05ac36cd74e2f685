package copperbeam.soak;

import copperbeam.soak.HttpConnection.Message;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A client that sends one request at a time and notes what it gets. Mostly well-behaved; some of its requests are slow to send,
 * abandoned or large.
 */
final class ClientDriver {
    private static final int CONNECT_MS = 1000;
    private static final int PATIENCE_MS = 5000; // how long a client waits beyond its deadline
    private static final int SETTLE_MS = 50; // time for a reset to arrive behind a close
    private static final int LARGE = 200 * 1024; // bytes of a large body
    // 1 in 20 pauses between two requests on a connection is of up to this length
    private static final int MOST_PAUSE_MS = 2500;
    private static final int MOST_THINK_MS = 120; // the other pauses
    // pauses where costs are uneven: longer, so that each conductor has few requests
    private static final int UNEVEN_THINK_MS = 1000;
    private static final int HEAVY_EACH = 12; // 1 in 12 requests is heavy where costs are uneven
    private static final int LEAST_DEADLINE_MS = 600;

    /** What to do after a request. */
    private enum Next {
        SAME_CONNECTION,
        NEW_CONNECTION,
        SEND_AGAIN
    }

    private final String name;
    private final List<ConductorProcess> conductors;
    private final SoakSettings settings;
    private final History history;
    private final Random random;
    private final AtomicBoolean over;
    private int number;

    ClientDriver(
            String name,
            List<ConductorProcess> conductors,
            SoakSettings settings,
            History history,
            Random random,
            AtomicBoolean over) {
        this.name = name;
        this.conductors = conductors;
        this.settings = settings;
        this.history = history;
        this.random = random;
        this.over = over;
    }

    void run() throws InterruptedException {
        String again = null;
        while (!over.get() || again != null) {
            List<ConductorProcess> taking =
                    conductors.stream().filter(ConductorProcess::takesClients).toList();
            if (taking.isEmpty()) {
                Thread.sleep(SETTLE_MS);
                continue;
            }
            ConductorProcess to = taking.get(random.nextInt(taking.size()));
            try (HttpConnection connection = HttpConnection.to(to.address, CONNECT_MS)) {
                again = converse(connection, to, again);
            } catch (IOException e) {
                Thread.sleep(SETTLE_MS); // the conductor isn't running
            }
        }
    }

    /**
     * Sends a drawn number of requests over one connection; while the conductor stops it goes on until the conductor closes the
     * connection. Returns the id of a request that has to be sent again, or null.
     */
    private String converse(HttpConnection connection, ConductorProcess to, String again)
            throws IOException, InterruptedException {
        String id = again;
        for (int left = 1 + random.nextInt(20);
                (left > 0 || !to.takesClients()) && !(over.get() && id == null);
                left--) {
            if (id == null) {
                boolean pauses = random.nextInt(20) == 0 && to.takesClients();
                Thread.sleep(
                        random.nextInt(pauses ? MOST_PAUSE_MS : settings.uneven() ? UNEVEN_THINK_MS : MOST_THINK_MS));
            }
            id = id == null ? name + "-" + number++ : id;
            Next next = ask(connection, to, id);
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
    static String text(String id, RequestKind kind, int tokens, String session, long deadlineMs, String body) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: "
                + kind.requestClass + "\r\nX-Route-Key: " + session + "\r\nX-Timeout: " + deadlineMs
                + "m\r\nIdempotency-Key: " + id + "\r\nX-Attrs: prompt_len=" + tokens + ",max_out=9\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private RequestKind drawKind() {
        if (!settings.uneven()) {
            return RequestKind.values()[random.nextInt(RequestKind.values().length)];
        }
        return random.nextInt(HEAVY_EACH) == 0
                ? RequestKind.UNSAFE
                : random.nextBoolean() ? RequestKind.SAFE : RequestKind.KEYED;
    }

    /** The deadline is the same for all requests where the oracle compares the served shares of classes. */
    private long drawDeadlineMs() {
        int longest = (int) settings.longestDeadlineMs();
        return settings.uneven() ? longest : LEAST_DEADLINE_MS + random.nextInt(longest - LEAST_DEADLINE_MS);
    }

    private Next ask(HttpConnection connection, ConductorProcess to, String id) throws InterruptedException {
        RequestKind kind = drawKind();
        long deadlineMs = drawDeadlineMs();
        String body = "{\"a\":\"" + "x".repeat(random.nextInt(25) == 0 ? LARGE : random.nextInt(300)) + "\"}";
        String text = text(id, kind, kind.promptTokens(settings.uneven()), name, deadlineMs, body);
        boolean sent = false;
        try {
            int cut = random.nextInt(8) == 0 ? random.nextInt(text.length() - 1) : 0;
            if (cut > 0) {
                connection.send(text.substring(0, cut));
                if (random.nextInt(4) == 0) {
                    return Next.NEW_CONNECTION; // the client leaves within the request
                }
                Thread.sleep(random.nextInt(400));
            }
            // a large body blocks here while the conductor does not read; the request counts as sent with its last byte
            int last = body.length() < LARGE ? cut : text.length() - 1;
            connection.send(text.substring(cut, last));
            long at = System.nanoTime();
            connection.send(text.substring(last));
            sent = true;
            history.add(new Observation.Sent(at, id, kind, to.name, deadlineMs));
            if (random.nextInt(12) == 0) {
                leave(connection, id);
                return Next.NEW_CONNECTION;
            }
            connection.timeout((int) deadlineMs + PATIENCE_MS);
            return answered(connection, id);
        } catch (SocketTimeoutException e) {
            history.add(new Observation.NeverAnswered(System.nanoTime(), id));
            return Next.NEW_CONNECTION;
        } catch (IOException e) {
            return sent ? Next.SEND_AGAIN : Next.NEW_CONNECTION; // a reset shows that the request was not read
        }
    }

    private void leave(HttpConnection connection, String id) throws IOException, InterruptedException {
        Thread.sleep(random.nextInt(300));
        if (random.nextInt(3) == 0) {
            connection.reset();
        } else {
            connection.close();
        }
        history.add(new Observation.ClientGone(System.nanoTime(), id));
    }

    private Next answered(HttpConnection connection, String id) throws IOException, InterruptedException {
        Message answer = connection.read();
        if (answer == null) {
            return closed(connection, id);
        }
        history.add(new Observation.Answered(
                System.nanoTime(), id, Integer.parseInt(answer.word(1)), answer.whole(), answer.body()));
        boolean closes = !answer.whole() || "close".equalsIgnoreCase(answer.header("Connection"));
        return closes ? Next.NEW_CONNECTION : Next.SAME_CONNECTION;
    }

    /**
     * Handles a connection that was closed without an answer. If the conductor left the request unread, a reset follows the close and
     * a further write fails; the request may be sent again then.
     */
    private Next closed(HttpConnection connection, String id) throws InterruptedException {
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

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: bad clients send hundreds of requests at once, each with a long body, while usual clients are served. */
final class FullHeap {
    private static final int USUAL_REQUESTS = 300;
    private static final int USUAL_INTERVAL_MS = 100; // ten a second, the share of one of two conductors
    private static final int USUAL_TIMEOUT_MS = 6000;
    private static final int LATE_AFTER_MS = USUAL_TIMEOUT_MS + 500 + 50; // half a second, and 50 ms on sockets
    private static final int BAD_AT_REQUEST = 50;
    private static final int BAD_REQUESTS = Integer.getInteger("many", 160); // at once; the page has "hundreds"
    private static final int BAD_TIMES = 10; // at most: "the same again the moment it is turned away"
    private static final int BAD_TIMEOUT_MS = 15_000; // of the class send
    private static final int BAD_BODY_BYTES = Integer.getInteger("bytes", 132_000); // a body holds 262,144 at most

    public static void main(String[] args) throws Exception {
        Stand.main(args, (root, record, parts) -> {
            Stand.Discovery discovery = new Stand.Discovery();
            parts.add(discovery);
            for (int i = 0; i < 12; i++) {
                Stand.Server server = new Stand.Server("s-" + i, i % 2 == 0, record, new Stand.Work());
                parts.add(server);
                discovery.put(server.id, server.entry("active"));
            }
            Stand.Conductor conductor = new Stand.Conductor(root, record);
            parts.add(conductor);
            conductor.start(Stand.settings(2, true), discovery.address(), null);
            if (!conductor.awaitReady()) {
                return 2;
            }
            AtomicInteger lost = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int n = 0; n < USUAL_REQUESTS; n++) {
                int number = n;
                clients.add(Stand.daemon(() -> usual(conductor.port, number, lost, served, record)));
                if (n == BAD_AT_REQUEST && Stand.TROUBLE) {
                    record.note("bad clients: " + BAD_REQUESTS + " requests at once, " + BAD_BODY_BYTES + " bytes each");
                    for (int b = 0; b < BAD_REQUESTS; b++) {
                        int bad = b;
                        Stand.daemon(() -> {
                            for (int again = 0; again < BAD_TIMES; again++) {
                                bad(conductor.port, again * BAD_REQUESTS + bad, record);
                            }
                        });
                    }
                }
                Thread.sleep(USUAL_INTERVAL_MS);
            }
            for (Thread client : clients) {
                client.join(20_000);
            }
            record.note("usual requests: " + USUAL_REQUESTS + " sent, " + served + " served, " + lost
                    + " without a final answer in time; the process runs: " + conductor.isAlive());
            if (ANSWERED.get() == 0) {
                return 2; // nobody was served even before the bad clients: the case tells nothing
            }
            return lost.get() > 0 || !conductor.isAlive() ? 1 : 0;
        });
    }

    private static final AtomicInteger ANSWERED = new AtomicInteger(); // usual requests whose stream has begun
    private static final Deque<Stand.Client> KEPT = new ConcurrentLinkedDeque<>();

    /** A usual client: on a kept connection if one is free, and once more on a new one if that was closed meanwhile. */
    private static void usual(int port, int number, AtomicInteger lost, AtomicInteger served, Stand.Record record) {
        String id = String.format("%016x", 0x9b1f03aa00000000L + number);
        String request = Stand.request(id, number % 3 == 0 ? "send" : "ask", USUAL_TIMEOUT_MS, "", "word ".repeat(80));
        long begun = record.now();
        String end;
        Stand.Client kept = KEPT.poll();
        try {
            end = ask(kept == null ? new Stand.Client(port) : kept, request, begun, lost, served, record);
            if (end == null && kept != null) {
                end = ask(new Stand.Client(port), request, begun, lost, served, record);
            }
        } catch (IOException e) {
            end = "no connection after " + (record.now() - begun) + " ms: " + e;
        }
        record.note("usual request " + id + ": " + (end == null ? "closed without an answer, not counted" : end));
    }

    /** Returns how the request ended; null if the connection was closed without an answer. */
    private static String ask(
            Stand.Client client, String request, long begun, AtomicInteger lost, AtomicInteger served, Stand.Record record)
            throws IOException {
        Stand.Message head;
        try {
            head = client.call(request, (int) (begun + LATE_AFTER_MS - record.now()));
        } catch (SocketTimeoutException e) {
            client.close();
            lost.incrementAndGet();
            return "LOST, no answer after " + (record.now() - begun) + " ms on an open connection";
        } catch (IOException e) {
            client.close();
            return null;
        }
        String end = "status " + head.status() + " after " + (record.now() - begun) + " ms";
        try {
            if (head.status() == 200) {
                ANSWERED.incrementAndGet();
                boolean whole = client.chunks() != null;
                served.addAndGet(whole ? 1 : 0);
                end += whole ? ", whole" : ", broken off";
            } else {
                client.in.readNBytes(Integer.parseInt(head.header("Content-Length")));
            }
            if (head.header("Connection").isEmpty() && !end.endsWith("off")) {
                KEPT.push(client);
            } else {
                client.close();
            }
        } catch (IOException e) {
            end += ", broken off";
            client.close();
        }
        return end;
    }

    private static void bad(int port, int number, Stand.Record record) {
        String id = String.format("%016x", 0x1badc0de00000000L + number);
        String end;
        try (Stand.Client client = new Stand.Client(port)) {
            Stand.Message head = client.call(
                    Stand.request(id, "send", BAD_TIMEOUT_MS, "w".repeat(BAD_BODY_BYTES - 400), "word ".repeat(80)), BAD_TIMEOUT_MS);
            end = "status " + head.status();
            client.in.readAllBytes();
        } catch (Exception e) {
            end = e.toString();
        }
        record.note("bad request " + id + ": " + end);
    }
}

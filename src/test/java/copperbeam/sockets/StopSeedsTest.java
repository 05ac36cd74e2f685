package copperbeam.sockets;

import static copperbeam.sockets.Site.forAttempts;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Requests that arrive at any moment of a stop, on new and kept connections, in one write or in pieces, with servers that are
 * slow, refuse, fail or reset: each request that was read gets exactly one answer, and no attempt starts after that.
 */
public class StopSeedsTest {
    private static final int CLIENTS = Integer.getInteger("stop.clients", 60);
    private static final int IN_FLIGHT_ALLOWANCE_MS =
            1000; // a stand-in on a busy machine may read an attempt this long after it was written
    private static final int NEW_CONNECTIONS_UNTIL_MS =
            400; // after SIGTERM; clients open no new connections later than that
    private static final int[] DEADLINES_MS = {300, 2500, 8000}; // one for all requests of a seed

    /** A longer search: {@code -Dstop.first=1 -Dstop.seeds=30 -Dstop.clients=120}. */
    @DataProvider
    public Object[][] seeds() {
        int count = Integer.getInteger("stop.seeds", 2);
        Object[][] seeds = new Object[count][];
        for (int i = 0; i < count; i++) {
            seeds[i] = new Object[] {Long.getLong("stop.first", 2) + i};
        }
        return seeds;
    }

    private final Map<String, Long> finishedAtNs = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile long termAtNs; // time of SIGTERM by System.nanoTime
    private int deadlineMs;
    private int killMs; // after SIGTERM
    private boolean canResume;

    @Test(dataProvider = "seeds")
    public void eachRequestThatWasReadGetsItsAnswer(long seed) throws Exception {
        finishedAtNs.clear();
        faults.clear();
        answered.set(0);
        unanswered.set(0);
        Random random = new Random(seed);
        deadlineMs = DEADLINES_MS[(int) (seed % DEADLINES_MS.length)];
        killMs = Math.min(deadlineMs, 3000) + 700;
        canResume = seed / 3 % 2 == 0;
        boolean cancel = random.nextInt(4) > 0;
        boolean probing = random.nextBoolean();
        List<StandIn> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(createServer(new Random(random.nextLong()), i < 1));
        }
        try (StandIn discovery = Conductor.discovery(
                        servers.get(0), servers.subList(1, 4).toArray(StandIn[]::new));
                Conductor conductor = new Conductor(
                        discovery,
                        settings -> settings.replace(
                                        "\"semantics\"", "\"give_up_s\":" + deadlineMs / 1000.0 + ",\"semantics\"")
                                .replace("\"resume\":true", "\"resume\":" + canResume)
                                .replace("\"cancel\":true", "\"cancel\":" + cancel)
                                .replace("\"probing\":false", "\"probing\":" + probing)
                                .replace("\"promise_s\":1.5", "\"promise_s\":60"))) {
            conductor.awaitHealthy();
            termAtNs = System.nanoTime() + Duration.ofMillis(900).toNanos();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Random clientRandom = new Random(random.nextLong());
                int kind = i % 3;
                String idPrefix = "seed" + seed + "-" + i + "-";
                Thread client = new Thread(() -> runClient(conductor, clientRandom, kind, idPrefix));
                client.start();
                clients.add(client);
            }
            sleepUntil(0);
            conductor.signal("TERM");
            long remainingMs = killMs - (System.nanoTime() - termAtNs) / 1_000_000;
            conductor.process.waitFor(remainingMs, TimeUnit.MILLISECONDS);
            conductor.process.destroyForcibly().waitFor();
            for (Thread client : clients) {
                client.join(RawConnection.TIMEOUT_MS);
            }
            assertEquals(new ArrayList<>(faults), List.of(), "seed " + seed);
            assertTrue(answered.get() > CLIENTS / 2, "seed " + seed + ": " + answered);
        } finally {
            for (StandIn server : servers) {
                server.close();
            }
        }
    }

    private StandIn createServer(Random random, boolean isReader) throws IOException {
        return new StandIn(forAttempts((request, connection) -> {
            Long finishedNs = finishedAtNs.get(request.header("X-Request-ID"));
            long lateMs = finishedNs == null ? 0 : (System.nanoTime() - finishedNs) / 1_000_000;
            if (lateMs > IN_FLIGHT_ALLOWANCE_MS) {
                faults.add("attempt " + lateMs + " ms after the final answer: " + request.header("X-Request-ID"));
            }
            int draw = random.nextInt(20);
            Thread.sleep(random.nextInt(isReader ? 60 : 400));
            if (draw == 0) {
                connection.respond(503, "", "X-Not-Processed: 1\r\n");
            } else if (draw == 1) {
                connection.reset();
            } else if (draw == 2) {
                Thread.sleep(2500);
            } else if (draw == 3) {
                connection.respond(500, "");
            } else if (isReader) {
                Site.answerAsReader(request, connection);
            } else {
                connection.beginStream().sendChunk("data: 1\n\n");
                Thread.sleep(random.nextInt(draw < 6 ? 3000 : 200));
                connection.sendChunk("data: 2\n\n").endStream();
            }
        }));
    }

    /**
     * Opens connections until {@link #NEW_CONNECTIONS_UNTIL_MS} after SIGTERM, and sends requests on each until it closes. Kind 0
     * begins 600 ms before SIGTERM and connects again after each close; kind 1 opens a single connection between 600 ms before
     * and 400 ms after SIGTERM; kind 2 begins 300 to 800 ms before SIGTERM, connects again too, and pauses for up to 1.5 s before
     * each request instead of up to 120 ms.
     */
    private void runClient(Conductor conductor, Random random, int kind, String idPrefix) {
        try {
            int startMs = kind == 0 ? -600 : kind == 1 ? random.nextInt(1000) - 600 : random.nextInt(500) - 800;
            sleepUntil(startMs);
            int number = 0;
            boolean reconnects = true;
            while (reconnects && (System.nanoTime() - termAtNs) / 1_000_000 < NEW_CONNECTIONS_UNTIL_MS) {
                try (RawConnection connection = new RawConnection(conductor.address)) {
                    reconnects = kind != 1;
                    boolean open = true;
                    while (open) {
                        if (kind == 2) {
                            Thread.sleep(random.nextInt(1500));
                        } else {
                            Thread.sleep(random.nextInt(120));
                        }
                        open = sendRequest(connection, random, idPrefix + number++);
                    }
                }
            }
        } catch (InterruptedException | IOException e) {
            // the process no longer listens, or has ended
        }
    }

    /** Sends a request and checks its answer; true if the connection may be used again. */
    private boolean sendRequest(RawConnection connection, Random random, String id) throws InterruptedException {
        String text = request(
                id, random.nextBoolean() ? "ask" : "send", deadlineMs + "m", "prompt_len=40,max_out=9", "{\"a\":1}");
        int splitAt = random.nextInt(3) == 0 ? 1 + random.nextInt(text.length() - 1) : text.length();
        long sentAtNs = 0;
        try {
            connection.send(text.substring(0, splitAt));
            if (splitAt < text.length()) {
                Thread.sleep(random.nextInt(300));
                connection.send(text.substring(splitAt));
            }
            sentAtNs = System.nanoTime();
            if (random.nextInt(6) == 0) {
                Thread.sleep(random.nextInt(200));
                finishedAtNs.put(id, System.nanoTime()); // the client closes without reading the answer
                return false;
            }
            RawConnection.Message answer = connection.read();
            if (answer == null) {
                checkUnanswered(connection, id, sentAtNs);
                return false;
            }
            answered.incrementAndGet();
            finishedAtNs.put(id, System.nanoTime());
            checkCutStream(answer, id, sentAtNs);
            return answer.complete() && !"close".equalsIgnoreCase(answer.header("Connection"));
        } catch (IOException e) {
            if (sentAtNs > 0 && !(e instanceof SocketException)) {
                faults.add("no answer: " + id + " " + e);
            }
            unanswered.incrementAndGet(); // a reset: the request was not read
            return false;
        }
    }

    /**
     * A stream may be cut if clients can resume it, or by the kill if the request came early (up to 700 ms after SIGTERM);
     * everything else is a fault.
     */
    private void checkCutStream(RawConnection.Message answer, String id, long sentAtNs) {
        if (answer.status() != 200 || answer.complete() || canResume) {
            return;
        }
        long cutMs = (System.nanoTime() - termAtNs) / 1_000_000;
        long sentMs = (sentAtNs - termAtNs) / 1_000_000;
        if (cutMs < killMs || sentMs > 700) {
            faults.add("cut " + cutMs + " ms after SIGTERM, sent at " + sentMs + " ms: " + id);
        }
    }

    /**
     * The connection ended without an answer, which is right only if the request was not read: the next write then meets a
     * reset.
     */
    private void checkUnanswered(RawConnection connection, String id, long sentAtNs) throws InterruptedException {
        unanswered.incrementAndGet();
        try {
            Thread.sleep(20);
            connection.send("x");
            faults.add("read and closed without an answer: " + id + ", " + (sentAtNs - termAtNs) / 1_000_000
                    + " ms after SIGTERM");
        } catch (IOException e) {
            // reset: the request was not read
        }
    }

    private void sleepUntil(int afterTermMs) throws InterruptedException {
        long remainingNs = termAtNs + afterTermMs * 1_000_000L - System.nanoTime();
        Thread.sleep(Math.max(0, remainingNs / 1_000_000));
    }
}

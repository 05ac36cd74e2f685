package copperbeam.sockets;

import static copperbeam.sockets.Site.attempts;
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
    private static final int ON_ITS_WAY_MS = 1000; // a stand-in on a busy machine may read an attempt this long after it was written
    private static final int LAST_NEW_MS = 400; // after SIGTERM; clients open no new connections later than that
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

    private final Map<String, Long> answeredAt = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger resent = new AtomicInteger();
    private volatile long termAt; // time of SIGTERM by System.nanoTime
    private int deadlineMs;
    private int killMs; // after SIGTERM
    private boolean resume;

    @Test(dataProvider = "seeds")
    public void eachThatWasReadHasItsAnswer(long seed) throws Exception {
        answeredAt.clear();
        faults.clear();
        answered.set(0);
        resent.set(0);
        Random random = new Random(seed);
        deadlineMs = DEADLINES_MS[(int) (seed % DEADLINES_MS.length)];
        killMs = Math.min(deadlineMs, 3000) + 700;
        resume = seed / 3 % 2 == 0;
        boolean cancel = random.nextInt(4) > 0;
        boolean probing = random.nextBoolean();
        List<StandIn> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(server(new Random(random.nextLong()), i < 1));
        }
        try (StandIn discovery = Conductor.discovery(
                        servers.get(0), servers.subList(1, 4).toArray(StandIn[]::new));
                Conductor conductor = new Conductor(
                        discovery,
                        settings -> settings.replace(
                                        "\"semantics\"", "\"give_up_s\":" + deadlineMs / 1000.0 + ",\"semantics\"")
                                .replace("\"resume\":true", "\"resume\":" + resume)
                                .replace("\"cancel\":true", "\"cancel\":" + cancel)
                                .replace("\"probing\":false", "\"probing\":" + probing)
                                .replace("\"promise_s\":1.5", "\"promise_s\":60"))) {
            conductor.awaitHealthy();
            termAt = System.nanoTime() + Duration.ofMillis(900).toNanos();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                Random own = new Random(random.nextLong());
                int kind = i % 3;
                String name = "seed" + seed + "-" + i + "-";
                Thread client = new Thread(() -> client(conductor, own, kind, name));
                client.start();
                clients.add(client);
            }
            sleepUntil(0);
            conductor.signal("TERM");
            long left = killMs - (System.nanoTime() - termAt) / 1_000_000;
            conductor.process.waitFor(left, TimeUnit.MILLISECONDS);
            conductor.process.destroyForcibly().waitFor();
            for (Thread client : clients) {
                client.join(Line.PATIENCE_MS);
            }
            assertEquals(new ArrayList<>(faults), List.of(), "seed " + seed);
            assertTrue(answered.get() > CLIENTS / 2, "seed " + seed + ": " + answered);
        } finally {
            for (StandIn server : servers) {
                server.close();
            }
        }
    }

    private StandIn server(Random random, boolean reader) throws IOException {
        return new StandIn(attempts((m, line) -> {
            Long over = answeredAt.get(m.header("X-Request-ID"));
            long late = over == null ? 0 : (System.nanoTime() - over) / 1_000_000;
            if (late > ON_ITS_WAY_MS) {
                faults.add("attempt " + late + " ms after the final answer: " + m.header("X-Request-ID"));
            }
            int draw = random.nextInt(20);
            Thread.sleep(random.nextInt(reader ? 60 : 400));
            if (draw == 0) {
                line.answer(503, "", "X-Not-Processed: 1\r\n");
            } else if (draw == 1) {
                line.reset();
            } else if (draw == 2) {
                Thread.sleep(2500);
            } else if (draw == 3) {
                line.answer(500, "");
            } else if (reader) {
                Site.read(m, line);
            } else {
                line.beginStream().chunk("data: 1\n\n");
                Thread.sleep(random.nextInt(draw < 6 ? 3000 : 200));
                line.chunk("data: 2\n\n").lastChunk();
            }
        }));
    }

    /**
     * Opens connections until {@link #NEW_CONNECTIONS_UNTIL_MS} after SIGTERM, and sends requests on each until it closes. Kind 0
     * begins 600 ms before SIGTERM and connects again after each close; kind 1 opens a single connection between 600 ms before
     * and 400 ms after SIGTERM; kind 2 begins 300 to 800 ms before SIGTERM, connects again too, and pauses for up to 1.5 s before
     * each request instead of up to 120 ms.
     */
    private void client(Conductor conductor, Random random, int kind, String name) {
        try {
            int first = kind == 0 ? -600 : kind == 1 ? random.nextInt(1000) - 600 : random.nextInt(500) - 800;
            sleepUntil(first);
            int number = 0;
            boolean more = true;
            while (more && (System.nanoTime() - termAt) / 1_000_000 < LAST_NEW_MS) {
                try (Line line = new Line(conductor.address)) {
                    more = kind != 1;
                    boolean open = true;
                    while (open) {
                        if (kind == 2) {
                            Thread.sleep(random.nextInt(1500));
                        } else {
                            Thread.sleep(random.nextInt(120));
                        }
                        open = ask(line, random, name + number++);
                    }
                }
            }
        } catch (InterruptedException | IOException e) {
            // the process no longer listens, or has ended
        }
    }

    /** Sends a request and checks its answer; true if the connection may be used again. */
    private boolean ask(Line line, Random random, String id) throws InterruptedException {
        String text = request(
                id, random.nextBoolean() ? "ask" : "send", deadlineMs + "m", "prompt_len=40,max_out=9", "{\"a\":1}");
        int cut = random.nextInt(3) == 0 ? 1 + random.nextInt(text.length() - 1) : text.length();
        long sentAt = 0;
        try {
            line.send(text.substring(0, cut));
            if (cut < text.length()) {
                Thread.sleep(random.nextInt(300));
                line.send(text.substring(cut));
            }
            sentAt = System.nanoTime();
            if (random.nextInt(6) == 0) {
                Thread.sleep(random.nextInt(200));
                answeredAt.put(id, System.nanoTime()); // the client closes without reading the answer
                return false;
            }
            Line.Message answer = line.read();
            if (answer == null) {
                ended(line, id, sentAt);
                return false;
            }
            answered.incrementAndGet();
            answeredAt.put(id, System.nanoTime());
            cut(answer, id, sentAt);
            return answer.whole() && !"close".equalsIgnoreCase(answer.header("Connection"));
        } catch (IOException e) {
            if (sentAt > 0 && !(e instanceof SocketException)) {
                faults.add("no answer: " + id + " " + e);
            }
            resent.incrementAndGet(); // a reset: the request was not read
            return false;
        }
    }

    /**
     * A stream may be cut if clients can resume it, or by the kill if the request came early (up to 700 ms after SIGTERM);
     * everything else is a fault.
     */
    private void cut(Line.Message answer, String id, long sentAt) {
        if (answer.status() != 200 || answer.whole() || resume) {
            return;
        }
        long at = (System.nanoTime() - termAt) / 1_000_000;
        long sent = (sentAt - termAt) / 1_000_000;
        if (at < killMs || sent > 700) {
            faults.add("cut " + at + " ms after SIGTERM, sent at " + sent + " ms: " + id);
        }
    }

    /**
     * The connection ended without an answer, which is right only if the request was not read: the next write then meets a
     * reset.
     */
    private void ended(Line line, String id, long sentAt) throws InterruptedException {
        resent.incrementAndGet();
        try {
            Thread.sleep(20);
            line.send("x");
            faults.add("read and closed without an answer: " + id + ", " + (sentAt - termAt) / 1_000_000
                    + " ms after SIGTERM");
        } catch (IOException e) {
            // reset: the request was not read
        }
    }

    private void sleepUntil(int afterTermMs) throws InterruptedException {
        long left = termAt + afterTermMs * 1_000_000L - System.nanoTime();
        Thread.sleep(Math.max(0, left / 1_000_000));
    }
}

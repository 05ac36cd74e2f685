package copperbeam.sockets;

import copperbeam.program.Config;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Not a test: measures how long an event takes from the server's socket to the client's, through both fronts and under
 * several kinds of disturbance. Servers, clients and conductor share this process, so that the latencies include their
 * waits for a CPU.
 *
 * <pre>java -cp target/test-classes:target/classes:... copperbeam.sockets.EventProbe SECONDS [DISTURBANCE ...]</pre>
 */
public final class EventProbe {
    private static final int CLIENTS = 16; // half of them at each front
    private static final int EVENTS_PER_STREAM = 40; // events per stream
    private static final long EVENT_INTERVAL_MS = 25; // between two events of a stream
    private static final Pattern WRITE_TIME_PATTERN = Pattern.compile("<(\\d+)>");

    private enum Disturbance {
        CALM,
        GARBAGE,
        NOISE,
        PIPELINED,
        EXTENSIONS,
        ENDLESS,
        NEW_CONNECTIONS,
        SLOW_READERS,
        QUICK_READERS,
        LIST_CHANGES,
        CROWD
    }

    private interface Task {
        void run() throws Exception;
    }

    private final Site site = new Site(2, 4, Config.Limits.DEFAULT);
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final ConcurrentLinkedQueue<Long> delaysNs = new ConcurrentLinkedQueue<>();
    private final AtomicInteger unservedCount = new AtomicInteger();
    private final AtomicInteger disturbanceCount = new AtomicInteger(); // actions of the disturbing threads
    private final List<Thread> threads = new ArrayList<>();

    private EventProbe() throws Exception {
        site.writers.forEach(w -> w.script = Site.forAttempts(this::writeStream));
    }

    public static void main(String[] args) throws Exception {
        int seconds = Integer.parseInt(args[0]);
        for (Disturbance disturbance : Disturbance.values()) {
            if (args.length == 1 || List.of(args).contains(disturbance.name())) {
                EventProbe probe = new EventProbe();
                probe.measure(disturbance, seconds);
            }
        }
        System.exit(0);
    }

    private static String event(String text) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text
                + "\"},\"finish_reason\":null}]}\n\n";
    }

    private void writeStream(RawConnection.Message request, RawConnection connection) throws Exception {
        connection.beginStream();
        if (request.header("X-Priority-Class").equals("send")) {
            String block = event("x".repeat(50)).repeat(4);
            for (int i = 0; !stopped.get(); i++) {
                connection.sendChunk(block);
            }
        } else if (!request.header("X-Request-ID").startsWith("quick")) {
            for (int i = 0; i < EVENTS_PER_STREAM; i++) {
                connection.sendChunk(event("<" + System.nanoTime() + ">"));
                Thread.sleep(EVENT_INTERVAL_MS);
            }
        }
        connection.sendChunk(event("") + "data: [DONE]\n\n").sendLastChunk();
    }

    private void startLoops(int count, Task task) {
        for (int i = 0; i < count; i++) {
            Thread thread = new Thread(() -> {
                while (!stopped.get()) {
                    try {
                        task.run();
                    } catch (Exception e) {
                        LockSupport.parkNanos(1_000_000); // the connection was closed
                    }
                }
            });
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void measure(Disturbance disturbance, int seconds) throws Exception {
        for (boolean chat : new boolean[] {false, true}) {
            startLoops(CLIENTS / 2, () -> receiveStream(chat));
        }
        Thread.sleep(3000); // until the JIT has compiled the code
        delaysNs.clear();
        unservedCount.set(0);
        disturb(disturbance);
        Thread.sleep(seconds * 1000L);
        stopped.set(true);
        List<Long> sortedDelaysNs = delaysNs.stream().sorted().collect(Collectors.toList());
        System.out.printf(
                "%-16s events %6d  p50 %6.1f  p99 %6.1f  p99.9 %6.1f  worst %6.1f ms  over 300 ms %4d  unserved %4d  others %7d%n",
                disturbance,
                sortedDelaysNs.size(),
                percentileMs(sortedDelaysNs, 0.5),
                percentileMs(sortedDelaysNs, 0.99),
                percentileMs(sortedDelaysNs, 0.999),
                percentileMs(sortedDelaysNs, 1),
                sortedDelaysNs.stream().filter(d -> d > 300_000_000L).count(),
                unservedCount.get(),
                disturbanceCount.get());
        for (Thread thread : threads) {
            thread.join(2000);
        }
        site.close();
    }

    private static double percentileMs(List<Long> sortedDelaysNs, double quantile) {
        return sortedDelaysNs.isEmpty()
                ? Double.NaN
                : sortedDelaysNs.get((int) (quantile * (sortedDelaysNs.size() - 1))) / 1e6;
    }

    private void receiveStream(boolean chat) throws Exception {
        try (RawConnection connection = chat ? site.chatClient() : site.client()) {
            RawConnection.Message head = connection
                    .send(chat ? Site.chatRequest("m-ask", true, "") : Site.request("ask", 1500))
                    .readHead();
            if (head.status() != 200) {
                unservedCount.incrementAndGet();
                return;
            }
            for (String chunk = connection.readChunk();
                    chunk != null && !chunk.isEmpty();
                    chunk = connection.readChunk()) {
                long now = System.nanoTime();
                for (Matcher matcher = WRITE_TIME_PATTERN.matcher(chunk); matcher.find(); ) {
                    delaysNs.add(now - Long.parseLong(matcher.group(1)));
                }
            }
        }
    }

    private void disturb(Disturbance disturbance) throws Exception {
        switch (disturbance) {
            case CALM -> {}
            case GARBAGE -> {
                for (Disturbance kind : new Disturbance[] {
                    Disturbance.NOISE, Disturbance.PIPELINED, Disturbance.EXTENSIONS, Disturbance.ENDLESS
                }) {
                    disturb(kind);
                }
            }
            case NOISE -> startLoops(3, () -> sendRepeatedly("\u0001\u00ff\r\n\n\n: : ".repeat(500), 100));
            case PIPELINED ->
                startLoops(3, () -> sendRepeatedly("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".repeat(200), 100));
            case EXTENSIONS ->
                startLoops(
                        3,
                        () -> sendRepeatedly(
                                Site.request("send", 1500)
                                                .replaceFirst(
                                                        "Content-Length.*\r\n\r\n\\{\\}",
                                                        "Transfer-Encoding: chunked\r\n\r\n")
                                        + "1;" + "x".repeat(4000) + "\r\n{\r\n",
                                1));
            case ENDLESS -> startLoops(3, this::sendEndlessBody);
            case NEW_CONNECTIONS ->
                startLoops(1, () -> {
                    List<RawConnection> connections = new ArrayList<>();
                    for (int i = 0; i < 100; i++) {
                        connections.add(site.client());
                    }
                    for (RawConnection connection : connections) {
                        connection.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
                    }
                    for (RawConnection connection : connections) {
                        connection.read();
                        connection.close();
                        disturbanceCount.incrementAndGet();
                    }
                    Thread.sleep(200);
                });
            case SLOW_READERS -> startLoops(8, () -> readStream(50));
            case QUICK_READERS -> startLoops(2, () -> readStream(0));
            case LIST_CHANGES -> {
                List<StandIn> addedServers = new ArrayList<>();
                for (int i = 0; i < 100; i++) {
                    addedServers.add(new StandIn(Site::answerAsReader));
                }
                startLoops(1, () -> {
                    String state = disturbanceCount.getAndIncrement() % 2 == 0 ? "active" : "leaving";
                    site.listChanges.add(addedServers.stream()
                            .map(s -> Site.entry(s, "prefill", state))
                            .collect(Collectors.joining(",")));
                    Thread.sleep(300);
                });
            }
            case CROWD ->
                startLoops(48, () -> {
                    try (RawConnection connection = site.client()) {
                        for (int i = 0; i < 20; i++) {
                            connection
                                    .send(Site.request(
                                            "quick" + System.nanoTime(),
                                            "ask",
                                            i % 2 == 0 ? "1500m" : "25m",
                                            "prompt_len=40,max_out=9",
                                            "{}"))
                                    .read();
                            disturbanceCount.incrementAndGet();
                        }
                    }
                });
            default -> throw new AssertionError(disturbance);
        }
    }

    private void sendRepeatedly(String text, int times) throws Exception {
        try (RawConnection connection = site.client()) {
            for (int i = 0; i < times && !stopped.get(); i++) {
                connection.send(text);
                disturbanceCount.incrementAndGet();
            }
        }
    }

    /** Sends a chunked body without end, as fast as it is accepted. */
    private void sendEndlessBody() throws Exception {
        String chunks = ("1;" + "x".repeat(2000) + "\r\n{\r\n").repeat(50);
        try (RawConnection connection = site.client()) {
            connection.send(Site.request("send", 1500)
                    .replaceFirst("Content-Length.*\r\n\r\n\\{\\}", "Transfer-Encoding: chunked\r\n\r\n"));
            while (!stopped.get()) {
                connection.send(chunks);
                disturbanceCount.incrementAndGet();
            }
        }
    }

    /** Reads a stream that its server writes as fast as it can, with a pause after each chunk. */
    private void readStream(int pauseMs) throws Exception {
        try (RawConnection connection = site.client()) {
            connection.send(Site.request("send", 1500)).readHead();
            for (String chunk = connection.readChunk();
                    !stopped.get() && chunk != null && !chunk.isEmpty();
                    chunk = connection.readChunk()) {
                Thread.sleep(pauseMs);
                disturbanceCount.incrementAndGet();
            }
        }
    }
}

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
    private static final int EVENTS = 40; // events per stream
    private static final long PACE_MS = 25; // between two events of a stream
    private static final Pattern WRITTEN = Pattern.compile("<(\\d+)>");

    private enum Row {
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

    private final Site site = new Site(2, 4, Config.Limits.USUAL);
    private final AtomicBoolean over = new AtomicBoolean();
    private final ConcurrentLinkedQueue<Long> delays = new ConcurrentLinkedQueue<>();
    private final AtomicInteger unserved = new AtomicInteger();
    private final AtomicInteger done = new AtomicInteger(); // actions of the disturbing threads
    private final List<Thread> threads = new ArrayList<>();

    private EventProbe() throws Exception {
        site.writers.forEach(w -> w.script = Site.attempts(this::write));
    }

    public static void main(String[] args) throws Exception {
        int seconds = Integer.parseInt(args[0]);
        for (Row row : Row.values()) {
            if (args.length == 1 || List.of(args).contains(row.name())) {
                EventProbe probe = new EventProbe();
                probe.play(row, seconds);
            }
        }
        System.exit(0);
    }

    private static String event(String text) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text
                + "\"},\"finish_reason\":null}]}\n\n";
    }

    private void write(Line.Message m, Line line) throws Exception {
        line.beginStream();
        if (m.header("X-Priority-Class").equals("send")) {
            String block = event("x".repeat(50)).repeat(4);
            for (int i = 0; !over.get(); i++) {
                line.chunk(block);
            }
        } else if (!m.header("X-Request-ID").startsWith("quick")) {
            for (int i = 0; i < EVENTS; i++) {
                line.chunk(event("<" + System.nanoTime() + ">"));
                Thread.sleep(PACE_MS);
            }
        }
        line.chunk(event("") + "data: [DONE]\n\n").lastChunk();
    }

    private void loop(int count, Task task) {
        for (int i = 0; i < count; i++) {
            Thread thread = new Thread(() -> {
                while (!over.get()) {
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

    private void play(Row row, int seconds) throws Exception {
        for (boolean chat : new boolean[] {false, true}) {
            loop(CLIENTS / 2, () -> stream(chat));
        }
        Thread.sleep(3000); // until the JIT has compiled the code
        delays.clear();
        unserved.set(0);
        disturb(row);
        Thread.sleep(seconds * 1000L);
        over.set(true);
        List<Long> sorted = delays.stream().sorted().collect(Collectors.toList());
        System.out.printf(
                "%-16s events %6d  p50 %6.1f  p99 %6.1f  p99.9 %6.1f  worst %6.1f ms  over 300 ms %4d  unserved %4d  others %7d%n",
                row,
                sorted.size(),
                at(sorted, 0.5),
                at(sorted, 0.99),
                at(sorted, 0.999),
                at(sorted, 1),
                sorted.stream().filter(d -> d > 300_000_000L).count(),
                unserved.get(),
                done.get());
        for (Thread thread : threads) {
            thread.join(2000);
        }
        site.close();
    }

    private static double at(List<Long> sorted, double part) {
        return sorted.isEmpty() ? Double.NaN : sorted.get((int) (part * (sorted.size() - 1))) / 1e6;
    }

    private void stream(boolean chat) throws Exception {
        try (Line line = chat ? site.chatClient() : site.client()) {
            Line.Message head = line.send(chat ? Site.chat("m-ask", true, "") : Site.request("ask", 1500))
                    .head();
            if (head.status() != 200) {
                unserved.incrementAndGet();
                return;
            }
            for (String chunk = line.readChunk(); chunk != null && !chunk.isEmpty(); chunk = line.readChunk()) {
                long now = System.nanoTime();
                for (Matcher m = WRITTEN.matcher(chunk); m.find(); ) {
                    delays.add(now - Long.parseLong(m.group(1)));
                }
            }
        }
    }

    private void disturb(Row row) throws Exception {
        switch (row) {
            case CALM -> {}
            case GARBAGE -> {
                for (Row kind : new Row[] {Row.NOISE, Row.PIPELINED, Row.EXTENSIONS, Row.ENDLESS}) {
                    disturb(kind);
                }
            }
            case NOISE -> loop(3, () -> garbage("\u0001\u00ff\r\n\n\n: : ".repeat(500), 100));
            case PIPELINED -> loop(3, () -> garbage("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".repeat(200), 100));
            case EXTENSIONS ->
                loop(
                        3,
                        () -> garbage(
                                Site.request("send", 1500)
                                                .replaceFirst(
                                                        "Content-Length.*\r\n\r\n\\{\\}",
                                                        "Transfer-Encoding: chunked\r\n\r\n")
                                        + "1;" + "x".repeat(4000) + "\r\n{\r\n",
                                1));
            case ENDLESS -> loop(3, this::endless);
            case NEW_CONNECTIONS ->
                loop(1, () -> {
                    List<Line> lines = new ArrayList<>();
                    for (int i = 0; i < 100; i++) {
                        lines.add(site.client());
                    }
                    for (Line line : lines) {
                        line.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
                    }
                    for (Line line : lines) {
                        line.read();
                        line.close();
                        done.incrementAndGet();
                    }
                    Thread.sleep(200);
                });
            case SLOW_READERS -> loop(8, () -> read(50));
            case QUICK_READERS -> loop(2, () -> read(0));
            case LIST_CHANGES -> {
                List<StandIn> more = new ArrayList<>();
                for (int i = 0; i < 100; i++) {
                    more.add(new StandIn(Site::read));
                }
                loop(1, () -> {
                    String state = done.getAndIncrement() % 2 == 0 ? "active" : "leaving";
                    site.changes.add(more.stream()
                            .map(s -> Site.entry(s, "prefill", state))
                            .collect(Collectors.joining(",")));
                    Thread.sleep(300);
                });
            }
            case CROWD ->
                loop(48, () -> {
                    try (Line line = site.client()) {
                        for (int i = 0; i < 20; i++) {
                            line.send(Site.request(
                                            "quick" + System.nanoTime(),
                                            "ask",
                                            i % 2 == 0 ? "1500m" : "25m",
                                            "prompt_len=40,max_out=9",
                                            "{}"))
                                    .read();
                            done.incrementAndGet();
                        }
                    }
                });
            default -> throw new AssertionError(row);
        }
    }

    private void garbage(String text, int times) throws Exception {
        try (Line line = site.client()) {
            for (int i = 0; i < times && !over.get(); i++) {
                line.send(text);
                done.incrementAndGet();
            }
        }
    }

    /** Sends a chunked body without end, as fast as it is accepted. */
    private void endless() throws Exception {
        String chunks = ("1;" + "x".repeat(2000) + "\r\n{\r\n").repeat(50);
        try (Line line = site.client()) {
            line.send(Site.request("send", 1500)
                    .replaceFirst("Content-Length.*\r\n\r\n\\{\\}", "Transfer-Encoding: chunked\r\n\r\n"));
            while (!over.get()) {
                line.send(chunks);
                done.incrementAndGet();
            }
        }
    }

    /** Reads a stream that its server writes as fast as it can, with a pause after each chunk. */
    private void read(int pauseMs) throws Exception {
        try (Line line = site.client()) {
            line.send(Site.request("send", 1500)).head();
            for (String chunk = line.readChunk();
                    !over.get() && chunk != null && !chunk.isEmpty();
                    chunk = line.readChunk()) {
                Thread.sleep(pauseMs);
                done.incrementAndGet();
            }
        }
    }
}

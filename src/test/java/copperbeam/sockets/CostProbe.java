package copperbeam.sockets;

import static copperbeam.sockets.Site.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Not a test: measures the CPU time per request of a conductor in its own process, with stand-ins that answer at once.
 *
 * <pre>java -cp target/test-classes:target/classes:... copperbeam.sockets.CostProbe RATE SECONDS [JVM OPTION ...]</pre>
 *
 * Prints the CPU milliseconds per request for each interval of five seconds; the first intervals include the start-up.
 * Options that begin with {@code -X} go to the conductor's JVM, for example
 * {@code -XX:StartFlightRecording=filename=FILE} for a profile.
 */
public final class CostProbe {
    private static final int SERVERS = 6;
    private static final int CLIENTS = 32;
    private static final int SPAN_S = 5;

    private CostProbe() {}

    public static void main(String[] args) throws Exception {
        int rate = Integer.parseInt(args[0]);
        int seconds = Integer.parseInt(args[1]);
        List<StandIn> servers = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new StandIn(i % 2 == 0 ? Site::read : Site::write));
            entries.add(Site.entry(servers.get(i), i % 2 == 0 ? "prefill" : "decode", "active"));
        }
        ScheduledExecutorService clients = Executors.newScheduledThreadPool(CLIENTS);
        try (StandIn list = new StandIn((m, line) -> {
                    boolean watch = m.path().contains("from=");
                    if (watch) {
                        Thread.sleep(2500);
                    }
                    line.answer(
                            200,
                            "{\"version\":7,\"full\":" + !watch + ",\"servers\":["
                                    + (watch ? "" : String.join(",", entries)) + "]}");
                });
                Conductor conductor =
                        new Conductor(list, 1024, 192, Arrays.asList(args).subList(2, args.length))) {
            conductor.awaitHealthy();
            AtomicInteger done = new AtomicInteger();
            AtomicInteger wrong = new AtomicInteger();
            for (int i = 0; i < CLIENTS; i++) {
                Line client = new Line(conductor.address);
                String name = "c" + i + "-";
                AtomicInteger sent = new AtomicInteger();
                clients.scheduleAtFixedRate(
                        () -> {
                            try {
                                String id = name + sent.getAndIncrement();
                                String body = "{\"model\":\"m\",\"text\":\"" + "x".repeat(4000) + "\"}";
                                Line.Message answer = client.send(request(
                                                id,
                                                sent.get() % 3 == 0 ? "send" : "ask",
                                                "5000m",
                                                "prefix=p" + sent.get() % 5
                                                        + ",prompt_len=1000,prefix_len=500,max_out=100",
                                                body))
                                        .read();
                                done.incrementAndGet();
                                wrong.addAndGet(answer.status() == 200 ? 0 : 1);
                            } catch (Exception e) {
                                wrong.incrementAndGet();
                            }
                        },
                        1_000_000L * i / rate,
                        1_000_000L * CLIENTS / rate,
                        TimeUnit.MICROSECONDS);
            }
            CountDownLatch never = new CountDownLatch(1);
            long cpu = conductor.cpuMs();
            int before = 0;
            for (int at = SPAN_S; at <= seconds; at += SPAN_S) {
                never.await(SPAN_S, TimeUnit.SECONDS);
                long now = conductor.cpuMs();
                int all = done.get();
                System.out.printf(
                        "%3d s  %6d requests  %5d not served  %.2f ms of CPU a request%n",
                        at, all - before, wrong.get(), (now - cpu) / (double) Math.max(1, all - before));
                cpu = now;
                before = all;
            }
            conductor.signal("TERM");
            conductor.process.waitFor(10, TimeUnit.SECONDS);
        } finally {
            clients.shutdownNow();
            for (StandIn s : servers) {
                s.close();
            }
        }
        System.exit(0);
    }
}

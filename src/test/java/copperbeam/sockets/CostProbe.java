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
    private static final int INTERVAL_S = 5;

    private CostProbe() {}

    public static void main(String[] args) throws Exception {
        int rate = Integer.parseInt(args[0]);
        int seconds = Integer.parseInt(args[1]);
        List<StandIn> servers = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new StandIn(i % 2 == 0 ? Site::answerAsReader : Site::answerAsWriter));
            entries.add(Site.entry(servers.get(i), i % 2 == 0 ? "prefill" : "decode", "active"));
        }
        ScheduledExecutorService clients = Executors.newScheduledThreadPool(CLIENTS);
        try (StandIn discovery = new StandIn((request, connection) -> {
                    boolean isWatch = request.path().contains("from=");
                    if (isWatch) {
                        Thread.sleep(2500);
                    }
                    connection.respond(
                            200,
                            "{\"version\":7,\"full\":" + !isWatch + ",\"servers\":["
                                    + (isWatch ? "" : String.join(",", entries)) + "]}");
                });
                Conductor conductor =
                        new Conductor(discovery, 1024, 192, Arrays.asList(args).subList(2, args.length))) {
            conductor.awaitHealthy();
            AtomicInteger answeredCount = new AtomicInteger();
            AtomicInteger unservedCount = new AtomicInteger();
            for (int i = 0; i < CLIENTS; i++) {
                RawConnection client = new RawConnection(conductor.address);
                String idPrefix = "c" + i + "-";
                AtomicInteger sent = new AtomicInteger();
                clients.scheduleAtFixedRate(
                        () -> {
                            try {
                                String id = idPrefix + sent.getAndIncrement();
                                String body = "{\"model\":\"m\",\"text\":\"" + "x".repeat(4000) + "\"}";
                                RawConnection.Message answer = client.send(request(
                                                id,
                                                sent.get() % 3 == 0 ? "send" : "ask",
                                                "5000m",
                                                "prefix=p" + sent.get() % 5
                                                        + ",prompt_len=1000,prefix_len=500,max_out=100",
                                                body))
                                        .read();
                                answeredCount.incrementAndGet();
                                unservedCount.addAndGet(answer.status() == 200 ? 0 : 1);
                            } catch (Exception e) {
                                unservedCount.incrementAndGet();
                            }
                        },
                        1_000_000L * i / rate,
                        1_000_000L * CLIENTS / rate,
                        TimeUnit.MICROSECONDS);
            }
            CountDownLatch never = new CountDownLatch(1);
            long cpuBeforeMs = conductor.cpuMs();
            int answeredBefore = 0;
            for (int elapsedS = INTERVAL_S; elapsedS <= seconds; elapsedS += INTERVAL_S) {
                never.await(INTERVAL_S, TimeUnit.SECONDS);
                long cpuNowMs = conductor.cpuMs();
                int answeredNow = answeredCount.get();
                System.out.printf(
                        "%3d s  %6d requests  %5d not served  %.2f ms of CPU a request%n",
                        elapsedS,
                        answeredNow - answeredBefore,
                        unservedCount.get(),
                        (cpuNowMs - cpuBeforeMs) / (double) Math.max(1, answeredNow - answeredBefore));
                cpuBeforeMs = cpuNowMs;
                answeredBefore = answeredNow;
            }
            conductor.signal("TERM");
            conductor.process.waitFor(10, TimeUnit.SECONDS);
        } finally {
            clients.shutdownNow();
            for (StandIn server : servers) {
                server.close();
            }
        }
        System.exit(0);
    }
}

package copperbeam.sockets;

import copperbeam.protocol.Json;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

/**
 * A measurement, not a test: the CPU and wall time that a start takes until {@code /healthz} answers 200, and the CPU time and
 * latency of the first requests after it. Starts the program by the {@code run} line of deploy/balancer.toml; run it in the root
 * of the repository after a build.
 *
 * <pre>java -cp target/test-classes:target/classes:... copperbeam.sockets.ReadyProbe STARTS SERVERS [WORD ...]</pre>
 *
 * Words: {@code silent} (the first call to discovery gets no answer), {@code door} (with an admin address for operators),
 * {@code known} (the configuration contains the server list, and the list must be subscribed to), and JVM options, which begin
 * with {@code -X}.
 */
public final class ReadyProbe {
    private static final int REQUESTS = 20;
    private static final String[] FIGURES = {
        "CPU ms to ready",
        "ms to ready",
        "ms of the first answer",
        "ms of the slowest of the next",
        "CPU ms of the first " + REQUESTS + " answers"
    };

    private ReadyProbe() {}

    public static void main(String[] args) throws Exception {
        List<String> words = Arrays.asList(args).subList(2, args.length);
        List<StandIn> servers = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < Integer.parseInt(args[1]); i++) {
            servers.add(new StandIn(i % 2 == 0 ? Site::answerAsReader : Site::answerAsWriter));
            entries.add(Site.entry(servers.get(i), i % 2 == 0 ? "prefill" : "decode", "active"));
        }
        String list = "{\"version\":7,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
        List<double[]> starts = new ArrayList<>();
        for (int i = 0; i < Integer.parseInt(args[0]); i++) {
            starts.add(measureStart(list, words));
        }
        for (int row = 0; row < FIGURES.length; row++) {
            int figure = row;
            double[] sorted =
                    starts.stream().mapToDouble(s -> s[figure]).sorted().toArray();
            System.out.printf(
                    "%-34s median %7.1f  worst %7.1f%n",
                    FIGURES[row], sorted[sorted.length / 2], sorted[sorted.length - 1]);
        }
        System.exit(0);
    }

    private static double[] measureStart(String list, List<String> words) throws Exception {
        StandIn discovery = new StandIn((request, connection) -> {
            if (request.path().contains("from=")) {
                Thread.sleep(2500);
                connection.respond(200, "{\"version\":7,\"full\":false,\"servers\":[]}");
            } else {
                connection.respond(200, list);
            }
        });
        if (words.contains("silent")) {
            discovery.script = delayingFirstCall(discovery.script);
        }
        Path folder = Files.createTempDirectory("ready");
        Path configFile = folder.resolve("config.json");
        InetSocketAddress listen = Conductor.freeAddress();
        String settings = String.format(Site.SETTINGS_FORMAT, 30);
        Files.writeString(
                configFile,
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + listen.getPort() + "\",\"discovery\":\""
                        + discovery.hostAndPort() + "\",\"limits\":{\"memory_mb\":192,\"sockets\":1024},\"settings\":"
                        + (words.contains("known")
                                ? settings.replaceFirst("\\{", "{\"discovery\":\"subscribe\",")
                                : settings)
                        + (words.contains("known") ? ",\"known\":" + list : "") + "}");
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", runLine(words));
        builder.environment().put("GW_CONFIG", configFile.toString());
        builder.environment().put("TMPDIR", folder.toString());
        if (words.contains("door")) {
            builder.environment()
                    .put("GW_CONTROL", "127.0.0.1:" + Conductor.freeAddress().getPort());
        }
        long startNs = System.nanoTime();
        Process process = builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile())
                .start();
        try (discovery) {
            while (!isHealthy(listen)) {
                if (!process.isAlive()
                        || System.nanoTime() - startNs > Duration.ofSeconds(60).toNanos()) {
                    throw new IllegalStateException(Files.readString(folder.resolve("log")));
                }
                LockSupport.parkNanos(Duration.ofMillis(10).toNanos());
            }
            double wallMs = (System.nanoTime() - startNs) / 1e6;
            long readyCpuMs = Conductor.cpuMs(process);
            double[] answerMs = new double[REQUESTS];
            for (int i = 0; i < REQUESTS; i++) {
                answerMs[i] = measureRequestMs(listen, i);
            }
            long servedCpuMs = Conductor.cpuMs(process);
            return new double[] {
                readyCpuMs,
                wallMs,
                answerMs[0],
                IntStream.range(1, REQUESTS).mapToDouble(i -> answerMs[i]).max().getAsDouble(),
                servedCpuMs - readyCpuMs
            };
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    /** Delays the first call by a minute, as long as the probe waits for a start; later calls go to {@code script} at once. */
    private static StandIn.Script delayingFirstCall(StandIn.Script script) {
        int[] calls = {0};
        return (request, connection) -> {
            synchronized (calls) {
                calls[0]++;
            }
            if (calls[0] == 1) {
                Thread.sleep(Duration.ofMinutes(1).toMillis());
            }
            script.run(request, connection);
        };
    }

    private static String runLine(List<String> words) throws IOException {
        String line = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run ="))
                .findAny()
                .orElseThrow();
        String run = Json.GSON.fromJson(line.substring(line.indexOf('"')), String.class);
        List<String> options = words.stream().filter(w -> w.startsWith("-X")).toList();
        return run.replace(" -jar ", " " + String.join(" ", options) + " -jar ");
    }

    private static boolean isHealthy(InetSocketAddress address) {
        try (RawConnection connection = new RawConnection(address)) {
            return connection
                            .send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                            .read()
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static double measureRequestMs(InetSocketAddress address, int number) throws IOException {
        long startNs = System.nanoTime();
        try (RawConnection connection = new RawConnection(address)) {
            String id = "first" + number;
            RawConnection.Message message = connection
                    .send(Site.request(
                            id, number % 2 == 0 ? "ask" : "send", "9000m", "prefix=p,prompt_len=1000,max_out=9", "{}"))
                    .read();
            if (message.status() != 200) {
                throw new IllegalStateException(message.startLine() + " " + message.text());
            }
        }
        return (System.nanoTime() - startNs) / 1e6;
    }
}

package copperbeam.sockets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.model.GeneratedSettings;
import copperbeam.protocol.Json;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs the program with settings drawn from a seed and servers of each kind, and checks that each class is served. */
public class GeneratedSitesTest {
    private static final long FIRST = Long.getLong("sites.first", 1);
    private static final int SEEDS = Integer.getInteger("sites.seeds", 6);
    private static final int TRIES = 2; // times that a client sends a request; on a busy machine the first may be refused as too late
    private static final String TENANT = "Überall 客";
    private static final String KEY = "9f3c-77";
    private static final double SLACK_S = 0.15; // by which a forwarded X-Timeout may exceed the client's

    /** Extreme values that replace those drawn from the seed; the seeds take the cases in turn. */
    private static final Map<String, Map<String, Object>> CORNERS = corners();

    private static Map<String, Map<String, Object>> corners() {
        Map<String, Map<String, Object>> corners = new LinkedHashMap<>();
        corners.put("as drawn", Map.of());
        corners.put(
                "connections end soon",
                Map.of("limits.conn_idle_s", 0.05, "limits.connect_timeout_s", 0.02, "limits.probing", true));
        corners.put(
                "a state is held for a moment",
                Map.of(
                        "extra.release_s",
                        0.05,
                        "limits.probing",
                        true,
                        "rules.ask_within_s",
                        0.001,
                        "discovery",
                        "subscribe"));
        corners.put(
                "nothing optional",
                Map.of(
                        "limits.cancel",
                        false,
                        "limits.probing",
                        false,
                        "limits.retry_after",
                        false,
                        "extra.resume",
                        false));
        corners.put(
                "long waits",
                Map.of(
                        "limits.connect_timeout_s",
                        60.0,
                        "limits.conn_idle_s",
                        1e7,
                        "extra.release_s",
                        1e6,
                        "rules.fall_s",
                        0.0,
                        "rules.warm_within_s",
                        0.0));
        return corners;
    }

    @DataProvider
    public Object[][] sites() {
        List<String> names = List.copyOf(CORNERS.keySet());
        return LongStream.range(FIRST, FIRST + SEEDS)
                .mapToObj(seed -> new Object[] {seed, names.get((int) (seed % names.size()))})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "sites")
    public void eachClassIsServedByBothFronts(long seed, String corner) throws Exception {
        GeneratedSettings drawn = GeneratedSettings.draw(seed);
        CORNERS.get(corner).forEach((path, value) -> put(drawn.settings(), path, value));
        try (Servers servers = new Servers(drawn);
                StandIn discovery = servers.discovery();
                Fronts fronts = new Fronts(drawn, discovery)) {
            Conductor conductor = fronts.conductor;
            for (String requestClass : drawn.classes()) {
                fronts.platform(servers, requestClass);
            }
            for (int model = 0; model < drawn.classes().size(); model++) {
                fronts.chat(servers, model);
            }
            fronts.figures();

            String file = Files.readString(conductor.folder.resolve("config.json"));
            conductor.signal("HUP");
            Site.await("configuration reloaded", () -> conductor.logged("configuration read anew"));
            conductor.replaceFile(
                    "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:1\",\"settings\":{\"balancers\":0,"
                            + "\"services\":[{\"name\":\"x\",\"promise_s\":1,\"semantics\":\"safe\"}],\"limits\":{\"send_cap\":2}}}");
            conductor.signal("HUP");
            Site.await("the faulty key is logged", () -> conductor.logged("settings.balancers: "));
            conductor.replaceFile(file);
            fronts.platform(servers, drawn.classes().get(0));

            conductor.signal("TERM");
            assertTrue(conductor.process.waitFor(Line.PATIENCE_MS, TimeUnit.MILLISECONDS), "the process did not end");
            assertEquals(conductor.process.exitValue(), 0);
        } catch (Exception | AssertionError e) {
            throw new AssertionError(corner + ": " + e + "\n" + drawn, e);
        }
    }

    @SuppressWarnings("unchecked")
    private static void put(Map<String, Object> settings, String path, Object value) {
        int dot = path.indexOf('.');
        Map<String, Object> at = settings;
        if (dot > 0) {
            Object part = settings.get(path.substring(0, dot));
            at = part == null ? new LinkedHashMap<>() : (Map<String, Object>) part;
            settings.put(path.substring(0, dot), at);
        }
        at.put(path.substring(dot + 1), value);
    }

    private static String utf8(String bytes) {
        return bytes == null ? null : new String(bytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    /** Two servers of each kind that follow the settings for load reports, probes and the idle timeout. */
    private static final class Servers implements AutoCloseable {
        private final List<StandIn> all = new ArrayList<>();
        private final List<String> entries = new ArrayList<>();
        private final ScheduledExecutorService closing = Executors.newSingleThreadScheduledExecutor();
        private final long idleMs;
        private final boolean probes;
        private final String report;

        Servers(GeneratedSettings drawn) throws IOException {
            Map<?, ?> limits = (Map<?, ?>) drawn.settings().get("limits");
            Object idle = limits.get("conn_idle_s");
            idleMs = (long) ((idle == null ? 30 : (Double) idle) * 1000);
            probes = Boolean.TRUE.equals(limits.get("probing"));
            Map<?, ?> told = drawn.settings().get("report") instanceof Map<?, ?> r ? r : Map.of();
            String via = String.valueOf(told.get("via"));
            String load = told.get("fields") instanceof List<?> fields
                    ? String.join(",", fields.stream().map(f -> f + "=0").toList())
                    : "";
            report = load.isEmpty() || !via.equals("inline") ? "" : "X-Server-Load: " + load + "\r\n";
            for (Map.Entry<String, String> kind : drawn.roles().entrySet()) {
                for (int i = 0; i < 2; i++) {
                    boolean reads = kind.getValue().equals("read");
                    StandIn server = new StandIn((m, line) -> answer(m, line, reads));
                    all.add(server);
                    entries.add(
                            "{\"id\":\"s" + all.size() + "\",\"addr\":\"" + server.host() + "\",\"zone\":\"zone " + i
                                    + "\",\"kind\":" + Json.GSON.toJson(kind.getKey()) + ",\"cell\":" + i
                                    + ",\"state\":\"active\",\"weight\":1,\"started_ms\":0}");
                }
            }
        }

        private void answer(Line.Message m, Line line, boolean reads) throws Exception {
            if (m.method().equals("DELETE")) {
                line.answer(204, "");
            } else if (m.method().equals("GET")) {
                line.answer(probes ? 200 : 404, "", report);
            } else if (reads) {
                line.answer(202, "{\"cached_tokens\":0}", report);
            } else {
                line.send("HTTP/1.1 200 OK\r\n" + report
                                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .chunk(Site.EVENTS)
                        .lastChunk();
            }
            long requests = all.stream().mapToLong(s -> s.seen.size()).sum();
            if (idleMs < Line.PATIENCE_MS) {
                closing.schedule(() -> end(line, requests), idleMs, TimeUnit.MILLISECONDS);
            }
        }

        /** Closes an idle connection. As the test sends one request at a time, no new request at any server means idle. */
        private void end(Line line, long requests) {
            try {
                if (all.stream().mapToLong(s -> s.seen.size()).sum() == requests) {
                    line.close();
                }
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        StandIn discovery() throws IOException {
            return new StandIn((m, line) -> {
                boolean watch = m.path().contains("from=");
                if (watch) {
                    Thread.sleep(300);
                }
                String body = "{\"version\":7,\"full\":" + !watch + ",\"servers\":["
                        + (watch ? "" : String.join(",", entries)) + "]}";
                line.send("HTTP/1.1 200 OK\r\nContent-Length: " + body.getBytes(StandardCharsets.UTF_8).length
                        + "\r\n\r\n" + body);
            });
        }

        List<Line.Message> attempts() {
            return all.stream()
                    .flatMap(s -> s.seen.stream())
                    .filter(m -> m.method().equals("POST"))
                    .toList();
        }

        @Override
        public void close() throws IOException {
            assertTrue(
                    probes || all.stream().allMatch(s -> s.count(m -> m.method().equals("GET")) == 0),
                    "a probe was sent although probing is off");
            closing.shutdownNow();
            for (StandIn server : all) {
                server.close();
            }
        }
    }

    private static final class Fronts implements AutoCloseable {
        private static final AtomicLong IDS = new AtomicLong();

        final Conductor conductor;
        private final GeneratedSettings drawn;
        private final InetSocketAddress chat = Conductor.freeAddress();

        Fronts(GeneratedSettings drawn, StandIn discovery) throws Exception {
            this.drawn = drawn;
            Map<String, Object> models = new LinkedHashMap<>();
            for (String requestClass : drawn.classes()) {
                models.put("m" + models.size(), Map.of("class", requestClass, "timeout_s", 5));
            }
            Path operator = Files.createTempFile("operator", ".json");
            Files.writeString(
                    operator,
                    Json.GSON.toJson(
                            Map.of("openai", Map.of("listen", "127.0.0.1:" + chat.getPort(), "models", models))));
            conductor = new Conductor(
                    discovery,
                    (listen, at) -> {
                        drawn.root().put("listen", listen);
                        drawn.root().put("discovery", at);
                        drawn.root().remove("known");
                        drawn.root().remove("control");
                        return drawn.json();
                    },
                    List.of("--operator", operator.toString()));
            conductor.awaitReady();
        }

        /**
         * Checks that a request is served within {@link #MAX_TRIES} tries, and that each attempt forwards the client's class, tenant,
         * key and time left to the server.
         */
        void platform(Servers servers, String requestClass) throws Exception {
            for (String timeout : List.of("4000m", "120000m", "86400000000u", "700m")) {
                int status = 0;
                for (int i = 0; i < TRIES && status != 200; i++) {
                    String id = "id" + IDS.incrementAndGet();
                    long sent = System.nanoTime();
                    try (Line client = new Line(conductor.address)) {
                        client.send(Site.request(id, requestClass, timeout, "prompt_len=40,max_out=9", "{}")
                                .replace(
                                        "X-Route-Key",
                                        "X-Tenant-Id: " + TENANT + "\r\nIdempotency-Key: " + KEY + "\r\nX-Route-Key"));
                        Line.Message answer = client.read();
                        status = answer.status();
                        assertTrue(status != 200 || answer.text().equals(Site.EVENTS), answer.text());
                    }
                    for (Line.Message m : servers.attempts()) {
                        if (id.equals(m.header("X-Request-ID"))) {
                            assertEquals(utf8(m.header("X-Priority-Class")), requestClass);
                            assertEquals(utf8(m.header("X-Tenant-Id")), TENANT);
                            assertEquals(m.header("Idempotency-Key"), KEY);
                            double told = seconds(m.header("X-Timeout"));
                            assertTrue(
                                    told > 0 && told <= seconds(timeout) + SLACK_S, "forwarded " + told + " of " + timeout);
                        }
                    }
                    assertTrue(System.nanoTime() - sent < 5e9, "the answer came after 5 s");
                    Thread.sleep(60); // ms, beyond the shortest idle timeout of 50 ms
                }
                assertEquals(status, 200, "class '" + requestClass + "' with " + timeout);
            }
        }

        private static double seconds(String timeout) {
            long number = Long.parseLong(timeout.substring(0, timeout.length() - 1));
            return number * (timeout.endsWith("m") ? 1e-3 : 1e-6);
        }

        void chat(Servers servers, int model) throws Exception {
            String requestClass = drawn.classes().get(model);
            int status = 0;
            String body = "";
            for (int i = 0; i < TRIES && status != 200; i++) {
                int before = servers.attempts().size();
                try (Line client = new Line(chat)) {
                    Line.Message answer =
                            client.send(Site.chat("m" + model, true, "")).read();
                    status = answer.status();
                    body = answer.text();
                }
                List<Line.Message> attempts = servers.attempts();
                for (Line.Message m : attempts.subList(Math.min(before, attempts.size()), attempts.size())) {
                    assertEquals(m.header("X-Timeout") != null, true);
                }
                Thread.sleep(60);
            }
            assertEquals(status, 200, "model of class '" + requestClass + "': " + body);
            assertTrue(body.endsWith("data: [DONE]\n\n"), body);
            assertTrue(servers.attempts().stream()
                    .anyMatch(m -> utf8(m.header("X-Priority-Class")).equals(requestClass)));
        }

        /** Checks that the INFO answer has a non-zero counter of answered requests for each class, under its name. */
        void figures() {
            String info = conductor.call("INFO");
            for (String requestClass : drawn.classes()) {
                String line = "app.transactions." + requestClass + ".answered:";
                assertTrue(info.contains(line) && !info.contains(line + "0|"), line + " in " + info);
            }
        }

        @Override
        public void close() {
            conductor.close();
        }
    }
}

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
    private static final long FIRST_SEED = Long.getLong("sites.first", 1);
    private static final int SEED_COUNT = Integer.getInteger("sites.seeds", 6);
    private static final int MAX_TRIES =
            2; // times that a client sends a request; on a busy machine the first may be refused as too late
    private static final String TENANT = "Überall 客";
    private static final String IDEMPOTENCY_KEY = "9f3c-77";
    private static final double DEADLINE_TOLERANCE_S = 0.15; // by which a forwarded X-Timeout may exceed the client's

    /** Extreme values that replace those drawn from the seed; the seeds take the cases in turn. */
    private static final Map<String, Map<String, Object>> OVERRIDES = overrides();

    private static Map<String, Map<String, Object>> overrides() {
        Map<String, Map<String, Object>> overrides = new LinkedHashMap<>();
        overrides.put("as drawn", Map.of());
        overrides.put(
                "connections end soon",
                Map.of("limits.conn_idle_s", 0.05, "limits.connect_timeout_s", 0.02, "limits.probing", true));
        overrides.put(
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
        overrides.put(
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
        overrides.put(
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
        return overrides;
    }

    @DataProvider
    public Object[][] sites() {
        List<String> names = List.copyOf(OVERRIDES.keySet());
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT)
                .mapToObj(seed -> new Object[] {seed, names.get((int) (seed % names.size()))})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "sites")
    public void eachClassIsServedByBothFronts(long seed, String caseName) throws Exception {
        GeneratedSettings drawn = GeneratedSettings.draw(seed);
        OVERRIDES.get(caseName).forEach((path, value) -> put(drawn.settings(), path, value));
        try (Servers servers = new Servers(drawn);
                StandIn discovery = servers.discovery();
                Fronts fronts = new Fronts(drawn, discovery)) {
            Conductor conductor = fronts.conductor;
            for (String requestClass : drawn.classNames()) {
                fronts.checkPlatformFront(servers, requestClass);
            }
            for (int model = 0; model < drawn.classNames().size(); model++) {
                fronts.checkChatFront(servers, model);
            }
            fronts.checkMetrics();

            String originalConfig = Files.readString(conductor.folder.resolve("config.json"));
            conductor.signal("HUP");
            Site.await("configuration reloaded", () -> conductor.hasLogged("configuration read anew"));
            conductor.replaceFile(
                    "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:1\",\"settings\":{\"balancers\":0,"
                            + "\"services\":[{\"name\":\"x\",\"promise_s\":1,\"semantics\":\"safe\"}],\"limits\":{\"send_cap\":2}}}");
            conductor.signal("HUP");
            Site.await("the faulty key is logged", () -> conductor.hasLogged("settings.balancers: "));
            conductor.replaceFile(originalConfig);
            fronts.checkPlatformFront(servers, drawn.classNames().get(0));

            conductor.signal("TERM");
            assertTrue(
                    conductor.process.waitFor(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS),
                    "the process did not end");
            assertEquals(conductor.process.exitValue(), 0);
        } catch (Exception | AssertionError e) {
            throw new AssertionError(caseName + ": " + e + "\n" + drawn, e);
        }
    }

    @SuppressWarnings("unchecked")
    private static void put(Map<String, Object> settings, String path, Object value) {
        int dot = path.indexOf('.');
        Map<String, Object> target = settings;
        if (dot > 0) {
            Object part = settings.get(path.substring(0, dot));
            target = part == null ? new LinkedHashMap<>() : (Map<String, Object>) part;
            settings.put(path.substring(0, dot), target);
        }
        target.put(path.substring(dot + 1), value);
    }

    private static String utf8(String bytes) {
        return bytes == null ? null : new String(bytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }

    /** Two servers of each kind that follow the settings for load reports, probes and the idle timeout. */
    private static final class Servers implements AutoCloseable {
        private final List<StandIn> servers = new ArrayList<>();
        private final List<String> entries = new ArrayList<>();
        private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
        private final long idleMs;
        private final boolean probingEnabled;
        private final String reportHeader;

        Servers(GeneratedSettings drawn) throws IOException {
            Map<?, ?> limits = (Map<?, ?>) drawn.settings().get("limits");
            Object idle = limits.get("conn_idle_s");
            idleMs = (long) ((idle == null ? 30 : (Double) idle) * 1000);
            probingEnabled = Boolean.TRUE.equals(limits.get("probing"));
            Map<?, ?> reportSettings = drawn.settings().get("report") instanceof Map<?, ?> r ? r : Map.of();
            String via = String.valueOf(reportSettings.get("via"));
            String reportFields = reportSettings.get("fields") instanceof List<?> fields
                    ? String.join(",", fields.stream().map(f -> f + "=0").toList())
                    : "";
            reportHeader =
                    reportFields.isEmpty() || !via.equals("inline") ? "" : "X-Server-Load: " + reportFields + "\r\n";
            for (Map.Entry<String, String> kind : drawn.roleByKind().entrySet()) {
                for (int i = 0; i < 2; i++) {
                    boolean isReader = kind.getValue().equals("read");
                    StandIn server = new StandIn((message, connection) -> respond(message, connection, isReader));
                    servers.add(server);
                    entries.add("{\"id\":\"s" + servers.size() + "\",\"addr\":\"" + server.hostAndPort()
                            + "\",\"zone\":\"zone " + i
                            + "\",\"kind\":" + Json.GSON.toJson(kind.getKey()) + ",\"cell\":" + i
                            + ",\"state\":\"active\",\"weight\":1,\"started_ms\":0}");
                }
            }
        }

        private void respond(RawConnection.Message message, RawConnection connection, boolean isReader)
                throws Exception {
            if (message.method().equals("DELETE")) {
                connection.respond(204, "");
            } else if (message.method().equals("GET")) {
                connection.respond(probingEnabled ? 200 : 404, "", reportHeader);
            } else if (isReader) {
                connection.respond(202, "{\"cached_tokens\":0}", reportHeader);
            } else {
                connection
                        .send("HTTP/1.1 200 OK\r\n" + reportHeader
                                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .sendChunk(Site.EVENTS)
                        .sendLastChunk();
            }
            long requestCount =
                    servers.stream().mapToLong(s -> s.requests.size()).sum();
            if (idleMs < RawConnection.TIMEOUT_MS) {
                scheduler.schedule(() -> closeIfIdle(connection, requestCount), idleMs, TimeUnit.MILLISECONDS);
            }
        }

        /** Closes an idle connection. As the test sends one request at a time, no new request at any server means idle. */
        private void closeIfIdle(RawConnection connection, long requestCount) {
            try {
                if (servers.stream().mapToLong(s -> s.requests.size()).sum() == requestCount) {
                    connection.close();
                }
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }

        StandIn discovery() throws IOException {
            return new StandIn((message, connection) -> {
                boolean watch = message.path().contains("from=");
                if (watch) {
                    Thread.sleep(300);
                }
                String body = "{\"version\":7,\"full\":" + !watch + ",\"servers\":["
                        + (watch ? "" : String.join(",", entries)) + "]}";
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + body.getBytes(StandardCharsets.UTF_8).length
                        + "\r\n\r\n" + body);
            });
        }

        List<RawConnection.Message> attempts() {
            return servers.stream()
                    .flatMap(s -> s.requests.stream())
                    .filter(message -> message.method().equals("POST"))
                    .toList();
        }

        @Override
        public void close() throws IOException {
            assertTrue(
                    probingEnabled
                            || servers.stream()
                                    .allMatch(s ->
                                            s.count(message -> message.method().equals("GET")) == 0),
                    "a probe was sent although probing is off");
            scheduler.shutdownNow();
            for (StandIn server : servers) {
                server.close();
            }
        }
    }

    private static final class Fronts implements AutoCloseable {
        private static final AtomicLong ID_SEQUENCE = new AtomicLong();

        final Conductor conductor;
        private final GeneratedSettings drawn;
        private final InetSocketAddress chatAddress = Conductor.freeAddress();

        Fronts(GeneratedSettings drawn, StandIn discovery) throws Exception {
            this.drawn = drawn;
            Map<String, Object> models = new LinkedHashMap<>();
            for (String requestClass : drawn.classNames()) {
                models.put("m" + models.size(), Map.of("class", requestClass, "timeout_s", 5));
            }
            Path operator = Files.createTempFile("operator", ".json");
            Files.writeString(
                    operator,
                    Json.GSON.toJson(Map.of(
                            "openai", Map.of("listen", "127.0.0.1:" + chatAddress.getPort(), "models", models))));
            conductor = new Conductor(
                    discovery,
                    (listen, discoveryAddress) -> {
                        drawn.root().put("listen", listen);
                        drawn.root().put("discovery", discoveryAddress);
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
        void checkPlatformFront(Servers servers, String requestClass) throws Exception {
            for (String timeout : List.of("4000m", "120000m", "86400000000u", "700m")) {
                int status = 0;
                for (int i = 0; i < MAX_TRIES && status != 200; i++) {
                    String id = "id" + ID_SEQUENCE.incrementAndGet();
                    long sentNs = System.nanoTime();
                    try (RawConnection client = new RawConnection(conductor.address)) {
                        client.send(Site.request(id, requestClass, timeout, "prompt_len=40,max_out=9", "{}")
                                .replace(
                                        "X-Route-Key",
                                        "X-Tenant-Id: " + TENANT + "\r\nIdempotency-Key: " + IDEMPOTENCY_KEY
                                                + "\r\nX-Route-Key"));
                        RawConnection.Message answer = client.read();
                        status = answer.status();
                        assertTrue(status != 200 || answer.text().equals(Site.EVENTS), answer.text());
                    }
                    for (RawConnection.Message message : servers.attempts()) {
                        if (id.equals(message.header("X-Request-ID"))) {
                            assertEquals(utf8(message.header("X-Priority-Class")), requestClass);
                            assertEquals(utf8(message.header("X-Tenant-Id")), TENANT);
                            assertEquals(message.header("Idempotency-Key"), IDEMPOTENCY_KEY);
                            double forwardedS = seconds(message.header("X-Timeout"));
                            assertTrue(
                                    forwardedS > 0 && forwardedS <= seconds(timeout) + DEADLINE_TOLERANCE_S,
                                    "forwarded " + forwardedS + " of " + timeout);
                        }
                    }
                    assertTrue(System.nanoTime() - sentNs < 5e9, "the answer came after 5 s");
                    Thread.sleep(60); // ms, beyond the shortest idle timeout of 50 ms
                }
                assertEquals(status, 200, "class '" + requestClass + "' with " + timeout);
            }
        }

        private static double seconds(String timeout) {
            long number = Long.parseLong(timeout.substring(0, timeout.length() - 1));
            return number * (timeout.endsWith("m") ? 1e-3 : 1e-6);
        }

        void checkChatFront(Servers servers, int model) throws Exception {
            String requestClass = drawn.classNames().get(model);
            int status = 0;
            String body = "";
            for (int i = 0; i < MAX_TRIES && status != 200; i++) {
                int before = servers.attempts().size();
                try (RawConnection client = new RawConnection(chatAddress)) {
                    RawConnection.Message answer =
                            client.send(Site.chatRequest("m" + model, true, "")).read();
                    status = answer.status();
                    body = answer.text();
                }
                List<RawConnection.Message> attempts = servers.attempts();
                for (RawConnection.Message message :
                        attempts.subList(Math.min(before, attempts.size()), attempts.size())) {
                    assertEquals(message.header("X-Timeout") != null, true);
                }
                Thread.sleep(60);
            }
            assertEquals(status, 200, "model of class '" + requestClass + "': " + body);
            assertTrue(body.endsWith("data: [DONE]\n\n"), body);
            assertTrue(servers.attempts().stream()
                    .anyMatch(
                            message -> utf8(message.header("X-Priority-Class")).equals(requestClass)));
        }

        /** Checks that the INFO answer has a non-zero counter of answered requests for each class, under its name. */
        void checkMetrics() {
            String info = conductor.call("INFO");
            for (String requestClass : drawn.classNames()) {
                String metricPrefix = "app.transactions." + requestClass + ".answered:";
                assertTrue(
                        info.contains(metricPrefix) && !info.contains(metricPrefix + "0|"),
                        metricPrefix + " in " + info);
            }
        }

        @Override
        public void close() {
            conductor.close();
        }
    }
}

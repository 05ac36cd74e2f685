package copperbeam.sockets;

import static copperbeam.sockets.Site.attempts;
import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The operators' interface and the effects of its calls, on real sockets. */
public class OperatorsTest {
    static String call(java.net.InetSocketAddress door, String line) {
        try (Socket socket = new Socket(door.getAddress(), door.getPort())) {
            socket.setSoTimeout(Line.PATIENCE_MS);
            for (byte b : (line + "\n").getBytes(StandardCharsets.US_ASCII)) {
                socket.getOutputStream().write(b); // one write for each byte: a command may arrive in pieces
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String call(Site site, String line) {
        return call(site.node.door(), line);
    }

    /** The counters and gauges of an INFO answer by name, without the prefix "app.". */
    static Map<String, Long> metrics(java.net.InetSocketAddress door) {
        Map<String, Long> metrics = new TreeMap<>();
        String text = call(door, "INFO");
        assertTrue(text.startsWith("ACK\n") && text.endsWith("\n--\n"), text);
        for (String line : text.split("\n")) {
            if (line.startsWith("app.")) {
                assertTrue(line.matches("app\\.[a-z_.]+:[0-9]+\\|[cg]"), line);
                metrics.put(
                        line.substring(4, line.indexOf(':')),
                        Long.valueOf(line.substring(line.indexOf(':') + 1, line.indexOf('|'))));
            }
        }
        return metrics;
    }

    private static String id(StandIn server) {
        return "s" + server.address().getPort();
    }

    @DataProvider
    public Object[][] words() {
        return new Object[][] {
            {"PING", "ACK"},
            {"ping", "NAK"},
            {"", "NAK"},
            {"DETACH", "NAK"},
            {"DETACH nobody", "NAK"},
            {"ATTACH nobody", "NAK"},
            {"DETACH a b", "NAK"},
            {"PING 1", "NAK"},
            {"REJOIN", "ACK"},
            {"PING\r", "ACK"}
        };
    }

    @Test
    public void eachWordHasItsAnswer() throws Exception {
        try (Site site = new Site(1, 1)) {
            for (Object[] w : words()) {
                String said = call(site, (String) w[0]);
                assertTrue(said.startsWith((String) w[1]) && said.endsWith("\n"), w[0] + ": " + said);
            }
        }
    }

    /** Callers that send nothing, half a command or too much do not block others, however many they are. */
    @Test
    public void silentCallersHoldNobodyUp() throws Exception {
        try (Site site = new Site(1, 1)) {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                Socket s = new Socket(
                        site.node.door().getAddress(), site.node.door().getPort());
                s.getOutputStream().write(i % 3 == 0 ? new byte[0] : i % 3 == 1 ? "PI".getBytes() : new byte[300]);
                silent.add(s);
            }
            assertEquals(call(site, "PING"), "ACK\n");
            for (Socket s : silent) {
                s.close();
            }
        }
    }

    /**
     * Once DETACH is acknowledged the server gets no new request, whatever discovery says; after ATTACH it is used again, as a cold
     * server.
     */
    @Test
    public void whatIsOutGetsNothing() throws Exception {
        try (Site site = new Site(1, 2);
                Line client = site.client()) {
            StandIn out = site.writers.get(0);
            assertEquals(call(site, "DETACH " + id(out)), "ACK\n");
            assertEquals(call(site, "DETACH " + id(out)), "ACK\n");
            site.changes.add(Site.entry(out, "decode", "active"));
            await("the change is sent", site.changes::isEmpty);
            for (int i = 0; i < 20; i++) {
                assertEquals(client.send(request("ask", 4000)).read().status(), 200);
            }
            assertEquals(out.attempts(), 0);
            assertEquals(site.writers.get(1).attempts(), 20);
            await("counted as unhealthy", () -> metrics(site.node.door()).get("cluster_unhealthy") == 1);
            assertEquals(call(site, "ATTACH " + id(out)), "ACK\n");
            await("used again", () -> {
                try {
                    client.send(request("ask", 4000)).read();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                return out.attempts() > 0;
            });
            await("in use", () -> metrics(site.node.door()).get("cluster_unhealthy") == 0);
        }
    }

    /**
     * After LAMEDUCK the health check fails at once, open requests go on and idle connections are closed; REJOIN reverses it.
     */
    @Test
    public void clientsAreSentAway() throws Exception {
        try (Site site = new Site(1, 1);
                Line idle = site.client();
                Line busy = site.client();
                Line next = site.client()) {
            CountDownLatch go = new CountDownLatch(1);
            site.writers.get(0).script = attempts((m, line) -> {
                line.beginStream().chunk("data: 1\n\n");
                go.await();
                line.chunk(Site.EVENTS).lastChunk();
            });
            idle.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").read();
            busy.send(request("ask", 4000)).head();
            busy.readChunk();
            assertEquals(call(site, "LAMEDUCK"), "ACK\n");
            assertEquals(call(site, "LAMEDUCK"), "ACK\n");
            assertEquals(site.get("/healthz").status(), 503);
            assertEquals(call(site, "PING"), "ACK\n");
            site.writers.get(0).script = Site::write;
            Line.Message last = next.send(request("send", 4000)).read();
            assertEquals(last.status() + " " + last.header("Connection"), "200 close");
            assertTrue(idle.awaitClosed(), "an idle connection is closed");
            go.countDown();
            StringBuilder rest = new StringBuilder();
            for (String event = busy.readChunk(); event != null; event = busy.readChunk()) {
                rest.append(event);
            }
            assertEquals(rest.toString(), Site.EVENTS);
            assertTrue(busy.awaitClosed(), "closed once idle, though its head had not announced the close");
            assertEquals(call(site, "REJOIN"), "ACK\n");
            assertEquals(site.get("/healthz").status(), 200);
            try (Line again = site.client()) {
                for (int i = 0; i < 2; i++) {
                    assertEquals(again.send(request("ask", 4000)).read().status(), 200);
                }
            }
        }
    }

    /** The metrics equal exactly what clients were answered and what servers were sent. */
    @Test
    public void figuresAreTrue() throws Exception {
        try (Site site = new Site(1, 1)) {
            Map<String, Long> counted = new TreeMap<>();
            StandIn writer = site.writers.get(0);
            StandIn.Script[] scripts = {
                Site::write,
                attempts((m, line) -> line.reset()),
                attempts((m, line) -> line.answer(500, "")),
                Site::write,
                attempts((m, line) -> line.answer(503, "", "X-Not-Processed: 1\r\n"))
            };
            for (int i = 0; i < 15; i++) {
                writer.script = scripts[i % scripts.length];
                String requestClass = i % 2 == 0 ? "ask" : "send";
                int status;
                try (Line one = site.client()) {
                    status = one.send(request(requestClass, 900)).read().status();
                }
                String end = status == 200 ? "answered" : status == 429 || status == 503 ? "deferred" : "errored";
                counted.merge("transactions." + requestClass + "." + end, 1L, Long::sum);
            }
            Map<String, Long> told = metrics(site.node.door());
            counted.forEach((name, count) -> assertEquals(told.get(name), count, name + " of " + told));
            assertEquals(
                    told.entrySet().stream()
                            .filter(e -> e.getKey().startsWith("transactions.")
                                    && !e.getKey().endsWith("sends"))
                            .mapToLong(Map.Entry::getValue)
                            .sum(),
                    15,
                    told.toString());
            assertEquals((long) told.get("sends"), site.attempts(site.readers) + site.attempts(site.writers));
            assertEquals((long) told.get("current"), 0);
            await("the list is counted", () -> metrics(site.node.door()).get("cluster_size") == 2);
            CountDownLatch go = new CountDownLatch(1);
            writer.script = attempts((m, line) -> {
                go.await();
                Site.write(m, line);
            });
            // opened only now: a connection that sends nothing for 2.4 s is closed, and on a busy core the part above takes
            // longer
            try (Line client = site.client()) {
                client.send(request("ask", 4000));
                await("one is open", () -> metrics(site.node.door()).get("current") == 1);
                go.countDown();
                client.read();
            }
            await("none is open", () -> metrics(site.node.door()).get("current") == 0);
        }
    }
}

package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.forAttempts;
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
    static String call(java.net.InetSocketAddress adminAddress, String command) {
        try (Socket socket = new Socket(adminAddress.getAddress(), adminAddress.getPort())) {
            socket.setSoTimeout(RawConnection.TIMEOUT_MS);
            for (byte b : (command + "\n").getBytes(StandardCharsets.US_ASCII)) {
                socket.getOutputStream().write(b); // one write for each byte: a command may arrive in pieces
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String call(Site site, String command) {
        return call(site.node.adminAddress(), command);
    }

    /** The counters and gauges of an INFO answer by name, without the prefix "app.". */
    static Map<String, Long> metrics(java.net.InetSocketAddress adminAddress) {
        Map<String, Long> metrics = new TreeMap<>();
        String text = call(adminAddress, "INFO");
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

    private static String serverId(StandIn server) {
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
    public void eachCommandHasItsAnswer() throws Exception {
        try (Site site = new Site(1, 1)) {
            for (Object[] row : words()) {
                String answer = call(site, (String) row[0]);
                assertTrue(answer.startsWith((String) row[1]) && answer.endsWith("\n"), row[0] + ": " + answer);
            }
        }
    }

    /** Callers that send nothing, half a command or too much do not block others, however many they are. */
    @Test
    public void silentCallersDoNotBlockOthers() throws Exception {
        try (Site site = new Site(1, 1)) {
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 300; i++) {
                Socket socket = new Socket(
                        site.node.adminAddress().getAddress(),
                        site.node.adminAddress().getPort());
                socket.getOutputStream().write(i % 3 == 0 ? new byte[0] : i % 3 == 1 ? "PI".getBytes() : new byte[300]);
                silent.add(socket);
            }
            assertEquals(call(site, "PING"), "ACK\n");
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    /**
     * Once DETACH is acknowledged the server gets no new request, whatever discovery says; after ATTACH it is used again, as a cold
     * server.
     */
    @Test
    public void aDetachedServerGetsNothing() throws Exception {
        try (Site site = new Site(1, 2);
                RawConnection client = site.client()) {
            StandIn detached = site.writers.get(0);
            assertEquals(call(site, "DETACH " + serverId(detached)), "ACK\n");
            assertEquals(call(site, "DETACH " + serverId(detached)), "ACK\n");
            site.listChanges.add(Site.entry(detached, "decode", "active"));
            await("the change is sent", site.listChanges::isEmpty);
            for (int i = 0; i < 20; i++) {
                assertEquals(client.send(request("ask", 4000)).read().status(), 200);
            }
            assertEquals(detached.attempts(), 0);
            assertEquals(site.writers.get(1).attempts(), 20);
            await(
                    "counted as unhealthy",
                    () -> metrics(site.node.adminAddress()).get("cluster_unhealthy") == 1);
            assertEquals(call(site, "ATTACH " + serverId(detached)), "ACK\n");
            await("used again", () -> {
                try {
                    client.send(request("ask", 4000)).read();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
                return detached.attempts() > 0;
            });
            await("in use", () -> metrics(site.node.adminAddress()).get("cluster_unhealthy") == 0);
        }
    }

    /**
     * After LAMEDUCK the health check fails at once, open requests go on and idle connections are closed; REJOIN reverses it.
     */
    @Test
    public void lameduckSendsClientsAway() throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection idle = site.client();
                RawConnection busy = site.client();
                RawConnection next = site.client()) {
            CountDownLatch unblock = new CountDownLatch(1);
            site.writers.get(0).script = forAttempts((request, connection) -> {
                connection.beginStream().sendChunk("data: 1\n\n");
                unblock.await();
                connection.sendChunk(Site.EVENTS).sendLastChunk();
            });
            idle.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").read();
            busy.send(request("ask", 4000)).readHead();
            busy.readChunk();
            assertEquals(call(site, "LAMEDUCK"), "ACK\n");
            assertEquals(call(site, "LAMEDUCK"), "ACK\n");
            assertEquals(site.get("/healthz").status(), 503);
            assertEquals(call(site, "PING"), "ACK\n");
            site.writers.get(0).script = Site::answerAsWriter;
            RawConnection.Message lastAnswer = next.send(request("send", 4000)).read();
            assertEquals(lastAnswer.status() + " " + lastAnswer.header("Connection"), "200 close");
            assertTrue(idle.awaitClosed(), "an idle connection is closed");
            unblock.countDown();
            StringBuilder rest = new StringBuilder();
            for (String event = busy.readChunk(); event != null; event = busy.readChunk()) {
                rest.append(event);
            }
            assertEquals(rest.toString(), Site.EVENTS);
            assertTrue(busy.awaitClosed(), "closed once idle, though its head had not announced the close");
            assertEquals(call(site, "REJOIN"), "ACK\n");
            assertEquals(site.get("/healthz").status(), 200);
            try (RawConnection again = site.client()) {
                for (int i = 0; i < 2; i++) {
                    assertEquals(again.send(request("ask", 4000)).read().status(), 200);
                }
            }
        }
    }

    /** The metrics equal exactly what clients were answered and what servers were sent. */
    @Test
    public void metricsMatchRequestsAndAttempts() throws Exception {
        try (Site site = new Site(1, 1)) {
            Map<String, Long> expected = new TreeMap<>();
            StandIn writer = site.writers.get(0);
            StandIn.Script[] scripts = {
                Site::answerAsWriter,
                forAttempts((request, connection) -> connection.reset()),
                forAttempts((request, connection) -> connection.respond(500, "")),
                Site::answerAsWriter,
                forAttempts((request, connection) -> connection.respond(503, "", "X-Not-Processed: 1\r\n"))
            };
            for (int i = 0; i < 15; i++) {
                writer.script = scripts[i % scripts.length];
                String requestClass = i % 2 == 0 ? "ask" : "send";
                int status;
                try (RawConnection client = site.client()) {
                    status = client.send(request(requestClass, 900)).read().status();
                }
                String outcome = status == 200 ? "answered" : status == 429 || status == 503 ? "deferred" : "errored";
                expected.merge("transactions." + requestClass + "." + outcome, 1L, Long::sum);
            }
            Map<String, Long> reported = metrics(site.node.adminAddress());
            expected.forEach((name, count) -> assertEquals(reported.get(name), count, name + " of " + reported));
            assertEquals(
                    reported.entrySet().stream()
                            .filter(e -> e.getKey().startsWith("transactions.")
                                    && !e.getKey().endsWith("sends"))
                            .mapToLong(Map.Entry::getValue)
                            .sum(),
                    15,
                    reported.toString());
            assertEquals(
                    (long) reported.get("sends"), site.countAttempts(site.readers) + site.countAttempts(site.writers));
            assertEquals((long) reported.get("current"), 0);
            await("the list is counted", () -> metrics(site.node.adminAddress()).get("cluster_size") == 2);
            CountDownLatch unblock = new CountDownLatch(1);
            writer.script = forAttempts((request, connection) -> {
                unblock.await();
                Site.answerAsWriter(request, connection);
            });
            // opened only now: a connection that sends nothing for 2.4 s is closed, and on a busy core the part above
            // takes longer
            try (RawConnection client = site.client()) {
                client.send(request("ask", 4000));
                await("one is open", () -> metrics(site.node.adminAddress()).get("current") == 1);
                unblock.countDown();
                client.read();
            }
            await("none is open", () -> metrics(site.node.adminAddress()).get("current") == 0);
        }
    }
}

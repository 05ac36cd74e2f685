package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Clients that send small or malformed requests at full speed, each on one connection until that is closed: usual requests with long
 * bodies get their answers all the same, and none of their connections ends without one.
 */
public class FloodTest {
    private static final int FLOODING_CLIENTS = 12;
    private static final int FLOOD_MS = 4000;
    private static final int USUAL_INTERVAL_MS = 100;
    private static final int USUAL_BODY_BYTES = 100_000;
    private static final AtomicInteger NAMES = new AtomicInteger();

    private interface Input {
        String next();
    }

    private static Input named(Input input) {
        return () -> input.next().replace("NAME", "n" + NAMES.incrementAndGet());
    }

    @DataProvider
    public Object[][] floods() {
        String chunked =
                "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-ID: NAME\r\nX-Priority-Class: ask\r\n"
                        + "X-Timeout: 5000m\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n" + "1\r\n \r\n".repeat(3000)
                        + "1\r\n}\r\n0\r\n\r\n";
        List<Object[]> rows = new ArrayList<>();
        for (boolean chat : new boolean[] {false, true}) {
            rows.add(new Object[] {"tiny chunks", named(() -> chunked), chat});
            rows.add(
                    new Object[] {"unknown paths", named(() -> "GET /NAME HTTP/1.1\r\nHost: x\r\n\r\n".repeat(50)), chat
                    });
            rows.add(new Object[] {"noise", named(() -> "nonsense NAME\r\n\r\n".repeat(50)), chat});
            rows.add(new Object[] {"empty lines", named(() -> "\r\n".repeat(2000)), chat});
        }
        return rows.toArray(Object[][]::new);
    }

    private static String smallRequest(boolean chat) {
        return chat
                ? Site.chatRequest(ProcessSite.ASK_MODEL, true, "")
                : Site.request("NAME", "ask", "5000m", "prefix=NAME,prompt_len=9", "{}");
    }

    private static void flood(InetSocketAddress address, Input input, AtomicBoolean stopped) {
        while (!stopped.get()) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                startDaemon(() -> discard(socket));
                OutputStream output = socket.getOutputStream();
                while (!stopped.get()) {
                    output.write(input.next().getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                // closed by the conductor: another connection follows at once
            }
        }
    }

    private static void discard(Socket socket) {
        byte[] bytes = new byte[8192];
        try {
            while (socket.getInputStream().read(bytes) >= 0) {
                // the answers count for nothing here
            }
            socket.close();
        } catch (IOException e) {
            // closed
        }
    }

    private static Thread startDaemon(Runnable task) {
        Thread thread = new Thread(task, "client");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** The answer's status, or why there is none. */
    private static String usualRequest(ProcessSite site, boolean chat) {
        String padding = "x".repeat(USUAL_BODY_BYTES);
        try (RawConnection client = site.client(chat)) {
            RawConnection.Message answer = client.send(
                            chat
                                    ? Site.chatRequest(ProcessSite.SEND_MODEL, true, ",\"user\":\"" + padding + "\"")
                                    : Site.request(
                                            "usual" + NAMES.incrementAndGet(),
                                            "send",
                                            "9000m",
                                            "prompt_len=25000,max_out=9",
                                            "{\"user\":\"" + padding + "\"}"))
                    .read();
            return answer == null ? "closed without an answer" : Integer.toString(answer.status());
        } catch (IOException e) {
            return e.getMessage();
        }
    }

    @Test(dataProvider = "floods")
    public void usualRequestsAreServedBesideAFlood(String name, Input input, boolean chat) throws Exception {
        assertUsualRequestsAreServed(input, chat);
    }

    @DataProvider
    public Object[][] fronts() {
        return new Object[][] {{false}, {true}};
    }

    /** Small requests under new names. */
    @Test(dataProvider = "fronts")
    public void usualRequestsAreServedBesideAFloodOfSmallRequests(boolean chat) throws Exception {
        assertUsualRequestsAreServed(named(() -> smallRequest(chat)), chat);
    }

    private static void assertUsualRequestsAreServed(Input input, boolean chat) throws Exception {
        ConcurrentLinkedQueue<String> results = new ConcurrentLinkedQueue<>();
        AtomicBoolean stopped = new AtomicBoolean();
        try (ProcessSite site =
                new ProcessSite(2, Site::answerAsReader, Site::answerAsWriter, ProcessSite::withLongPromises)) {
            for (int i = 0; i < FLOODING_CLIENTS; i++) {
                startDaemon(() -> flood(site.address(chat), input, stopped));
            }
            List<Thread> clients = new ArrayList<>();
            for (int elapsedMs = 0; elapsedMs < FLOOD_MS; elapsedMs += USUAL_INTERVAL_MS) {
                Thread.sleep(USUAL_INTERVAL_MS);
                clients.add(startDaemon(() -> results.add(usualRequest(site, chat))));
            }
            stopped.set(true);
            for (Thread client : clients) {
                client.join();
            }
            Map<String, Integer> counts = new TreeMap<>();
            results.forEach(result -> counts.merge(result, 1, Integer::sum));
            assertEquals(counts.toString(), "{200=" + FLOOD_MS / USUAL_INTERVAL_MS + "}");
            await("served afterwards", () -> usualRequest(site, chat).equals("200"));
        } finally {
            stopped.set(true);
        }
    }
}

package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Many large requests at once, on both fronts, against a conductor with the deployment's heap. Guards against requests that fill
 * the heap, so that threads end and no client is served any more.
 */
public class FullHeapTest {
    private static final int USUAL_REQUESTS = 20;
    private static final long READER_STALL_MS = 5000;
    private static final String MODEL = "m";

    /** One client's input, of which {@code connections} come at once. */
    private record Flood(String name, int connections, boolean toChatFront, String text) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static String post(String headers, String body) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private static String platformHeaders(String more) {
        return "X-Request-ID: %s\r\nX-Priority-Class: send\r\nX-Timeout: 15000m\r\n"
                + "X-Attrs: prompt_len=30000,prefix_len=0,max_out=200\r\nContent-Type: application/json\r\n" + more;
    }

    private static String platformBody(int bytes) {
        return "{\"messages\":[{\"role\":\"user\",\"content\":\"" + "w".repeat(bytes - 50) + "\"}]}";
    }

    private static String chunked(String body) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + platformHeaders("")
                + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                + "\r\n0\r\n\r\n";
    }

    private static String chatBody(int parts, boolean stream) {
        return "{\"model\":\"" + MODEL + "\",\"stream\":" + stream + ",\"messages\":[{\"role\":\"user\",\"content\":["
                + "{\"type\":\"text\",\"text\":\"a\"},".repeat(parts - 1) + "{\"type\":\"text\",\"text\":\"a\"}]}]}";
    }

    private static String manyValues() {
        return "{\"model\":\"" + MODEL + "\",\"messages\":[{\"role\":\"user\",\"content\":\"a\"}],\"x\":["
                + "1,".repeat(120_000) + "1]}";
    }

    private static String largeHeaders() {
        StringBuilder headers = new StringBuilder();
        for (int i = 0; i < 60; i++) {
            headers.append("X-H").append(i).append(": ").append("h".repeat(220)).append("\r\n");
        }
        return headers.toString();
    }

    @DataProvider
    public Object[][] floods() {
        String partialHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + largeHeaders();
        return new Object[][] {
            {new Flood("long bodies", 160, false, post(platformHeaders(""), platformBody(132_000)))},
            {new Flood("longest bodies in chunks", 250, false, chunked(platformBody(250_000)))},
            {new Flood("large heads", 330, false, post(platformHeaders(largeHeaders()), "{}"))},
            {new Flood("half a head", 600, false, partialHead)},
            {new Flood("chat with many parts", 80, true, post("", chatBody(8000, true)))},
            {new Flood("chat without a stream", 80, true, post("", chatBody(8000, false)))},
            {new Flood("chat with many values", 80, true, post("", manyValues()))},
        };
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static Path operatorFile(int chatPort) throws IOException {
        Path file = Files.createTempFile("operator", ".json");
        return Files.writeString(
                file,
                "{\"openai\":{\"listen\":\"127.0.0.1:" + chatPort + "\",\"models\":{\"" + MODEL
                        + "\":{\"class\":\"send\"}}}}");
    }

    /** Sends the input of one connection and reads what comes until the connection is closed. */
    private static void flood(InetSocketAddress address, String text) {
        try (RawConnection client = new RawConnection(address)) {
            client.send(text);
            while (client.read() != null) {
                // the answer counts for nothing here
            }
        } catch (IOException e) {
            // refused, closed or not answered
        }
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "client");
        thread.setDaemon(true);
        thread.start();
    }

    @Test(dataProvider = "floods")
    public void usualRequestsAreAnsweredBesideAndAfterThem(Flood flood) throws Exception {
        int chatPort = freePort();
        try (StandIn reader = new StandIn(Site::answerAsReader);
                StandIn writer = new StandIn(Site::answerAsWriter);
                StandIn discovery = Conductor.discovery(reader, writer);
                Conductor conductor = new Conductor(
                        discovery,
                        1024,
                        192,
                        List.of("--operator", operatorFile(chatPort).toString()))) {
            conductor.awaitHealthy();
            long stallEndNs = System.nanoTime() + READER_STALL_MS * 1_000_000;
            reader.onConnect = connection -> Thread.sleep(Math.max(0, (stallEndNs - System.nanoTime()) / 1_000_000));
            InetSocketAddress target =
                    flood.toChatFront() ? new InetSocketAddress("127.0.0.1", chatPort) : conductor.address;
            for (int i = 0; i < flood.connections(); i++) {
                String text = flood.text().replace("X-Request-ID: %s", "X-Request-ID: bad" + i);
                startDaemon(() -> flood(target, text));
            }
            AtomicInteger answered = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < USUAL_REQUESTS; i++) {
                Thread client = new Thread(() -> answered.addAndGet(isAnswered(conductor) ? 1 : 0));
                client.start();
                clients.add(client);
                Thread.sleep(100);
            }
            for (Thread client : clients) {
                client.join();
            }
            assertTrue(answered.get() == USUAL_REQUESTS, answered + " of " + USUAL_REQUESTS + " answered");
            await("served afterwards", 20_000, () -> isServed(conductor));
            String log = Files.readString(conductor.logFile);
            assertFalse(log.contains("OutOfMemoryError"), log);
        }
    }

    /** Whether a request gets any answer; a connection that ends without one is tried once more, as clients do. */
    private static boolean isAnswered(Conductor conductor) {
        for (int attempt = 0; attempt < 2; attempt++) {
            try (RawConnection client = new RawConnection(conductor.address)) {
                if (client.send(request("ask", 3000)).read() != null) {
                    return true;
                }
            } catch (IOException e) {
                // tried again
            }
        }
        return false;
    }

    private static boolean isServed(Conductor conductor) {
        try (RawConnection client = new RawConnection(conductor.address)) {
            RawConnection.Message answer = client.send(request("ask", 3000)).read();
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}

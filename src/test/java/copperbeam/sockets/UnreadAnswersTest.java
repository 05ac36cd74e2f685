package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.forAttempts;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Clients that pause while they read an answer, or still write when it comes, get the whole of it. */
public class UnreadAnswersTest {
    private static final int CLIENTS = 48;
    private static final int SHORTEST_BYTES =
            40_000; // answers from what the system's buffers hold to several times that
    private static final int STEP_BYTES = 5000; // by which the clients' answers differ
    private static final int LARGE_EVENT_BYTES = 30_000;
    private static final int LARGE_EVENT_CLIENTS = 300;
    private static final int FEW_SOCKETS = 256; // with which CLIENTS requests use more than half of the descriptors
    private static final int MANY_SOCKETS = 1024;
    private static final int MEMORY_MB = 192;
    private static final String FURTHER_BYTES = "POST /v1/ch"; // the begin of a request that never ends
    private static final Pattern LENGTH = Pattern.compile("L=(\\d+),E=(\\d+)");

    /** {@code stops}: the process gets SIGTERM while the clients pause first. */
    private record Situation(String name, int sockets, String behind, boolean stops, int pauses, int pauseMs) {
        @Override
        public String toString() {
            return name;
        }
    }

    @DataProvider
    public Object[][] situations() {
        List<Situation> situations = List.of(
                new Situation("a crowd", FEW_SOCKETS, "", false, 2, 1800),
                new Situation("a crowd, bytes behind the request", FEW_SOCKETS, FURTHER_BYTES, false, 2, 1800),
                new Situation("bytes behind the request", MANY_SOCKETS, FURTHER_BYTES, false, 2, 2900),
                new Situation("a stop", MANY_SOCKETS, "", true, 1, 1700),
                new Situation("nothing else", MANY_SOCKETS, "", false, 2, 1800));
        List<Object[]> rows = new ArrayList<>();
        for (Situation situation : situations) {
            rows.add(new Object[] {situation, false});
            rows.add(new Object[] {situation, true});
        }
        return rows.toArray(Object[][]::new);
    }

    /** Writes events of E bytes, L bytes in all, as the prompt says. */
    static void answerAtLength(RawConnection.Message request, RawConnection connection) throws Exception {
        Matcher length = LENGTH.matcher(request.text());
        if (!length.find()) {
            Site.answerAsWriter(request, connection);
            return;
        }
        String event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
                + "a".repeat(Integer.parseInt(length.group(2))) + "\"}}]}\n\n";
        connection.beginStream();
        for (int sent = 0; sent < Integer.parseInt(length.group(1)); sent += event.length()) {
            connection.sendChunk(event);
        }
        connection.endStream();
    }

    private static String request(boolean chat, int bytes, int eventBytes) {
        String length = "L=" + bytes + ",E=" + eventBytes;
        return chat
                ? Site.chatRequest(ProcessSite.SEND_MODEL, true, ",\"user\":\"" + length + "\"")
                : Site.request(
                        "unread" + System.nanoTime(), "send", "9000m", "prompt_len=9", "{\"user\":\"" + length + "\"}");
    }

    private static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4096);
        socket.setSoTimeout(RawConnection.TIMEOUT_MS);
        socket.connect(address);
        return socket;
    }

    /** Reads to the last chunk with {@code pauses} pauses of equal length, the first one before anything; returns how it ended. */
    private static String readWithPauses(InetSocketAddress address, String request, int bytes, Situation situation) {
        try (Socket socket = connect(address)) {
            socket.getOutputStream().write((request + situation.behind()).getBytes(StandardCharsets.US_ASCII));
            InputStream input = socket.getInputStream();
            StringBuilder end = new StringBuilder();
            byte[] part = new byte[2048];
            int pauses = 0;
            int total = 0;
            while (!end.toString().endsWith("0\r\n\r\n")) {
                if (pauses < situation.pauses() && total >= bytes * pauses / situation.pauses() / 2) {
                    pauses++;
                    Thread.sleep(situation.pauseMs());
                }
                int count = input.read(part);
                if (count < 0) {
                    return end.indexOf("HTTP/1.1 503") >= 0 ? "refused" : "cut off";
                }
                total += count;
                end.append(new String(part, 0, count, StandardCharsets.ISO_8859_1));
                end.delete(0, Math.max(0, end.length() - part.length));
            }
            return "whole";
        } catch (IOException e) {
            return "cut off: " + e.getMessage();
        } catch (InterruptedException e) {
            return "interrupted";
        }
    }

    private static Map<String, Integer> runAll(List<Callable<String>> clients) throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(clients.size());
        try {
            Map<String, Integer> ends = new TreeMap<>();
            for (Future<String> end : threads.invokeAll(clients)) {
                ends.merge(end.get(), 1, Integer::sum);
            }
            return ends;
        } finally {
            threads.shutdownNow();
        }
    }

    private static ProcessSite startSite(int sockets, String... jvmOptions) throws Exception {
        return new ProcessSite(
                3,
                Site::answerAsReader,
                forAttempts(UnreadAnswersTest::answerAtLength),
                new ProcessSite.Limits(sockets, MEMORY_MB),
                List.of(jvmOptions));
    }

    @Test(dataProvider = "situations")
    public void anAnswerIsNotCutOffWhileItsClientPauses(Situation situation, boolean chat) throws Exception {
        try (ProcessSite site = startSite(situation.sockets())) {
            InetSocketAddress address = site.address(chat);
            List<Callable<String>> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int bytes = SHORTEST_BYTES + i * STEP_BYTES;
                clients.add(() -> readWithPauses(address, request(chat, bytes, 2000), bytes, situation));
            }
            Thread stop = new Thread(() -> {
                try {
                    await("requests are at writers", () -> site.attempts(site.writers) == CLIENTS);
                    site.conductor.signal("TERM");
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
            });
            if (situation.stops()) {
                stop.start();
            }
            assertEquals(runAll(clients).toString(), Map.of("whole", CLIENTS).toString());
        }
    }

    @DataProvider
    public Object[][] heaps() {
        return new Object[][] {{64}, {36}, {28}};
    }

    /** Each event is nearly as long as one may be, so that the answers on their way pass the memory meant for them. */
    @Test(dataProvider = "heaps")
    public void noAnswerIsCutOffAsTooManyWaitForTheirClients(int heapMb) throws Exception {
        Situation pausing = new Situation("large events", MANY_SOCKETS, "", false, 2, 1800);
        try (ProcessSite site = startSite(MANY_SOCKETS, "-Xmx" + heapMb + "m")) {
            List<Callable<String>> clients = new ArrayList<>();
            for (int i = 0; i < LARGE_EVENT_CLIENTS; i++) {
                String request = request(false, 20 * LARGE_EVENT_BYTES, LARGE_EVENT_BYTES);
                clients.add(() -> readWithPauses(site.address(false), request, 20 * LARGE_EVENT_BYTES, pausing));
            }
            Map<String, Integer> ends = runAll(clients);
            ends.remove("refused");
            assertEquals(ends.keySet(), Set.of("whole"), ends.toString());
            String log = Files.readString(site.conductor.logFile);
            assertFalse(log.contains("OutOfMemoryError"), log);
        }
    }

    /** A body that is refused by its announced length is still written, in parts, when the answer comes. */
    @Test
    public void aRefusalReachesAClientThatStillWrites() throws Exception {
        try (ProcessSite site = startSite(FEW_SOCKETS)) {
            List<Callable<String>> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                boolean chat = i % 2 == 0;
                clients.add(() -> writeSlowly(site.address(chat)));
            }
            assertEquals(runAll(clients).toString(), Map.of("413", CLIENTS).toString());
        }
    }

    private static String writeSlowly(InetSocketAddress address) throws Exception {
        byte[] part = new byte[20_000];
        try (RawConnection client = new RawConnection(address)) {
            client.send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 300000\r\n\r\n");
            for (int i = 0; i < 15; i++) {
                client.send(new String(part, StandardCharsets.US_ASCII));
                Thread.sleep(200);
            }
            RawConnection.Message answer = client.read();
            return answer == null ? "no answer" : Integer.toString(answer.status());
        } catch (IOException e) {
            return e.getMessage();
        }
    }
}

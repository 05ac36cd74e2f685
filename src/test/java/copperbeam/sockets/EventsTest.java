package copperbeam.sockets;

import static copperbeam.sockets.Site.chatRequest;
import static copperbeam.sockets.Site.forAttempts;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Each event is forwarded as soon as it is complete: the server writes nothing more until the client has received the event,
 * so that a router that waits for the bytes behind an event would never deliver it.
 */
public class EventsTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    private static final String CHUNKED_HEAD = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String DONE_EVENT = "data: [DONE]\n\n";

    private static String event(int number) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + marker(number)
                + "\"},\"finish_reason\":null}]}\n\n";
    }

    private static String marker(int number) {
        return "<" + number + ">";
    }

    private static String chunkSize(String data) {
        return Integer.toHexString(data.length()) + "\r\n";
    }

    private static String chunk(String data) {
        return chunkSize(data) + data + "\r\n";
    }

    /** The server's writes. It makes the next one when the client has read the last marker of the one before. */
    @DataProvider
    public Object[][] forms() {
        String firstHalf = event(2).substring(0, 20);
        String secondHalf = event(2).substring(20);
        String ending = chunk(DONE_EVENT) + LAST_CHUNK;
        Map<String, List<String>> forms = new java.util.LinkedHashMap<>();
        forms.put(
                "half of the next event follows",
                List.of(CHUNKED_HEAD + chunk(event(1) + firstHalf), chunk(secondHalf), ending));
        forms.put(
                "a byte of the next event follows",
                List.of(CHUNKED_HEAD + chunk(event(1) + "d"), chunk(event(2).substring(1)), ending));
        forms.put(
                "its chunk goes on with the next event",
                List.of(CHUNKED_HEAD + chunkSize(event(1) + event(2)) + event(1), event(2) + "\r\n", ending));
        forms.put(
                "its chunk's end is missing",
                List.of(CHUNKED_HEAD + chunkSize(event(1)) + event(1), "\r\n" + chunk(event(2)), ending));
        forms.put(
                "the next chunk's size follows",
                List.of(CHUNKED_HEAD + chunk(event(1)) + chunkSize(event(2)), event(2), "\r\n" + ending));
        forms.put(
                "an event over two chunks",
                List.of(CHUNKED_HEAD + chunk(event(1).substring(0, 30)) + chunk(event(1).substring(30)), ending));
        forms.put("three events in a chunk", List.of(CHUNKED_HEAD + chunk(event(1) + event(2) + event(3)), ending));
        forms.put(
                "the last event in the same write as the end",
                List.of(CHUNKED_HEAD + chunk(event(1)), chunk(event(2)) + ending));
        forms.put("all in one write", List.of(CHUNKED_HEAD + chunk(event(1)) + chunk(event(2)) + ending));
        forms.put(
                "a comment follows",
                List.of(CHUNKED_HEAD + chunk(event(1) + ": X-Server-Load: queue=1\n"), chunk("\n" + event(2)), ending));
        forms.put(
                "lines that end with CR LF",
                List.of(
                        CHUNKED_HEAD + chunk(event(1).replace("\n", "\r\n") + "data"),
                        chunk(event(2).substring(4).replace("\n", "\r\n")),
                        ending));
        forms.put("the end is missing", List.of(CHUNKED_HEAD + chunk(event(1)), chunk(DONE_EVENT), LAST_CHUNK));
        forms.put(
                "a load report after the last event",
                List.of(
                        CHUNKED_HEAD + chunk(event(1)),
                        chunk(DONE_EVENT),
                        chunk(": X-Server-Load: queue=1\n\n"),
                        LAST_CHUNK));
        forms.put(
                "a Content-Length instead of chunks",
                List.of(
                        HEAD + "Content-Length: " + (event(1) + event(2) + DONE_EVENT).length() + "\r\n\r\n" + event(1)
                                + firstHalf,
                        secondHalf,
                        DONE_EVENT));
        List<Object[]> rows = new ArrayList<>();
        forms.forEach((name, writes) -> {
            for (boolean chat : new boolean[] {false, true}) {
                rows.add(new Object[] {name, chat, false, writes});
                rows.add(new Object[] {name, chat, true, writes});
            }
        });
        return rows.toArray(new Object[0][]);
    }

    /** {@code byteByByte}: the server sends each byte in a TCP segment of its own. */
    @Test(dataProvider = "forms")
    public void anEventWaitsForNothing(String form, boolean chat, boolean byteByByte, List<String> writes)
            throws Exception {
        Semaphore confirmed = new Semaphore(0);
        try (Site site = new Site(1, 1);
                RawConnection client = chat ? site.chatClient() : site.client()) {
            site.writers.get(0).script = forAttempts((request, connection) -> {
                for (String write : writes) {
                    for (int i = 0; i < write.length(); i += byteByByte ? 1 : write.length()) {
                        connection.send(byteByByte ? write.substring(i, i + 1) : write);
                    }
                    assertTrue(confirmed.tryAcquire(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                }
            });
            client.send(chat ? chatRequest("m-ask", true, "") : request("ask", 1500));
            assertEquals(client.readHead().status(), 200);
            StringBuilder text = new StringBuilder();
            String chunk = null;
            for (String write : writes) {
                String awaited = lastMarker(write);
                while (!text.toString().contains(awaited)) {
                    chunk = client.readChunk();
                    assertTrue(chunk != null && !chunk.isEmpty(), "ended before " + awaited);
                    text.append(chunk);
                }
                confirmed.release();
            }
            while ((chunk = client.readChunk()) != null) {
                assertTrue(!chunk.isEmpty(), "the stream was cut short");
            }
        }
    }

    /** The marker of the last event that is complete with this write; empty if there is none. */
    private static String lastMarker(String write) {
        for (int number = 3; number > 0; number--) {
            if (write.contains(marker(number))) {
                return write.contains("[DONE]") ? "[DONE]" : marker(number);
            }
        }
        return write.contains("[DONE]") ? "[DONE]" : "";
    }

    private enum Sender {
        SERVER,
        CLIENT
    }

    @DataProvider
    public Object[][] floods() {
        return new Object[][] {{Sender.SERVER}, {Sender.CLIENT}};
    }

    /** A peer that sends without end, and is read as fast as it sends, doesn't starve other connections. */
    @Test(dataProvider = "floods")
    public void aFloodDoesNotStarveOthers(Sender sender) throws Exception {
        Semaphore confirmed = new Semaphore(0);
        Semaphore floodProgress = new Semaphore(0);
        AtomicBoolean floodStopped = new AtomicBoolean();
        String block = chunk(event(1)).repeat(200);
        String bodyChunks = "1\r\n{\r\n".repeat(4000);
        try (Site site = new Site(1, 2);
                RawConnection client = site.client();
                RawConnection floodConnection = site.client()) {
            site.writers.forEach(w -> w.script = forAttempts((request, connection) -> {
                connection.beginStream();
                if (request.header("X-Priority-Class").equals("send")) {
                    for (int i = 0; !floodStopped.get(); i++) {
                        connection.send(block);
                    }
                } else {
                    for (int i = 0; i < 20; i++) {
                        connection.sendChunk(event(i));
                        assertTrue(confirmed.tryAcquire(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                    }
                }
                connection.sendChunk(DONE_EVENT).sendLastChunk();
            }));
            client.send(request("ask", 1500));
            assertEquals(client.readHead().status(), 200);
            assertTrue(client.readChunk().contains(marker(0)));
            Thread floodThread = new Thread(() -> {
                try {
                    if (sender == Sender.SERVER) {
                        floodConnection.send(request("send", 1500)).readHead();
                        for (int i = 0; floodConnection.readChunk() != null; i++) {
                            floodProgress.release(i == 1000 ? 1 : 0);
                        }
                        floodProgress.release(); // the end of the flood was forwarded too
                    } else {
                        floodConnection.send(request("send", 1500)
                                .replaceFirst("Content-Length.*\r\n\r\n\\{\\}", "Transfer-Encoding: chunked\r\n\r\n"));
                        for (int i = 0; !floodStopped.get(); i++) {
                            floodConnection.send(bodyChunks);
                            floodProgress.release(i == 10 ? 1 : 0);
                        }
                    }
                } catch (java.io.IOException e) {
                    floodProgress.release(); // the connection was closed
                }
            });
            floodThread.start();
            assertTrue(floodProgress.tryAcquire(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            for (int i = 1; i < 20; i++) {
                confirmed.release();
                assertTrue(client.readChunk().contains(marker(i)));
            }
            floodStopped.set(true);
            confirmed.release();
            assertTrue(client.readChunk().contains("[DONE]"));
            assertTrue(sender == Sender.CLIENT
                    || floodProgress.tryAcquire(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            floodThread.join(RawConnection.TIMEOUT_MS);
        }
    }

    /** Guards against a stack overflow in recursive code that copies or writes deeply nested JSON. */
    @Test(dataProvider = "floods")
    public void deeplyNestedJsonIsRejected(Sender sender) throws Exception {
        int depth = sender == Sender.SERVER ? 12_000 : 50_000; // within the size limits of an event and of a request
        String nestedField = "\"x\":" + "[".repeat(depth) + "]".repeat(depth);
        try (Site site = new Site(1, 1);
                RawConnection badClient = site.chatClient()) {
            StandIn writer = site.writers.get(0);
            StandIn.Script normalScript = writer.script;
            if (sender == Sender.SERVER) {
                writer.script = forAttempts((request, connection) -> connection
                        .beginStream()
                        .sendChunk(event(1))
                        .sendChunk("data: {\"choices\":[]," + nestedField + "}\n\n"));
            }
            badClient.send(
                    chatRequest("m-ask", sender == Sender.SERVER, sender == Sender.CLIENT ? "," + nestedField : ""));
            long sentNs = System.nanoTime();
            RawConnection.Message answer = badClient.read();
            assertEquals(answer.status(), sender == Sender.SERVER ? 200 : 400);
            assertEquals(answer.complete(), sender == Sender.CLIENT);
            assertTrue(
                    System.nanoTime() - sentNs < 3_000_000_000L, "not ended at once, but by the 4 s limit for silence");
            writer.script = normalScript;
            try (RawConnection goodClient = site.chatClient()) {
                assertEquals(
                        goodClient.send(chatRequest("m-send", true, "")).read().status(), 200);
            }
        }
    }
}

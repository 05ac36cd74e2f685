package copperbeam.sockets;

import static copperbeam.sockets.Site.attempts;
import static copperbeam.sockets.Site.chat;
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
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String END = "0\r\n\r\n";
    private static final String DONE = "data: [DONE]\n\n";

    private static String event(int number) {
        return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + marker(number)
                + "\"},\"finish_reason\":null}]}\n\n";
    }

    private static String marker(int number) {
        return "<" + number + ">";
    }

    private static String size(String data) {
        return Integer.toHexString(data.length()) + "\r\n";
    }

    private static String chunk(String data) {
        return size(data) + data + "\r\n";
    }

    /** The server's writes. It makes the next one when the client has read the last marker of the one before. */
    @DataProvider
    public Object[][] forms() {
        String half = event(2).substring(0, 20);
        String rest = event(2).substring(20);
        String end = chunk(DONE) + END;
        Map<String, List<String>> forms = new java.util.LinkedHashMap<>();
        forms.put("half of the next event follows", List.of(CHUNKED + chunk(event(1) + half), chunk(rest), end));
        forms.put(
                "a byte of the next event follows",
                List.of(CHUNKED + chunk(event(1) + "d"), chunk(event(2).substring(1)), end));
        forms.put("its chunk goes on with the next event", List.of(CHUNKED + size(event(1) + event(2)) + event(1), event(2) + "\r\n", end));
        forms.put(
                "its chunk's end is missing",
                List.of(CHUNKED + size(event(1)) + event(1), "\r\n" + chunk(event(2)), end));
        forms.put(
                "the next chunk's size follows",
                List.of(CHUNKED + chunk(event(1)) + size(event(2)), event(2), "\r\n" + end));
        forms.put(
                "an event over two chunks",
                List.of(CHUNKED + chunk(event(1).substring(0, 30)) + chunk(event(1).substring(30)), end));
        forms.put("three events in a chunk", List.of(CHUNKED + chunk(event(1) + event(2) + event(3)), end));
        forms.put("the last event in the same write as the end", List.of(CHUNKED + chunk(event(1)), chunk(event(2)) + end));
        forms.put("all in one write", List.of(CHUNKED + chunk(event(1)) + chunk(event(2)) + end));
        forms.put(
                "a comment follows",
                List.of(CHUNKED + chunk(event(1) + ": X-Server-Load: queue=1\n"), chunk("\n" + event(2)), end));
        forms.put(
                "lines that end with CR LF",
                List.of(
                        CHUNKED + chunk(event(1).replace("\n", "\r\n") + "data"),
                        chunk(event(2).substring(4).replace("\n", "\r\n")),
                        end));
        forms.put("the end is missing", List.of(CHUNKED + chunk(event(1)), chunk(DONE), END));
        forms.put(
                "a load report after the last event",
                List.of(CHUNKED + chunk(event(1)), chunk(DONE), chunk(": X-Server-Load: queue=1\n\n"), END));
        forms.put(
                "a Content-Length instead of chunks",
                List.of(
                        HEAD + "Content-Length: " + (event(1) + event(2) + DONE).length() + "\r\n\r\n" + event(1)
                                + half,
                        rest,
                        DONE));
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
    public void anEventWaitsForNothing(String form, boolean chat, boolean bytes, List<String> writes) throws Exception {
        Semaphore confirmed = new Semaphore(0);
        try (Site site = new Site(1, 1);
                Line client = chat ? site.chatClient() : site.client()) {
            site.writers.get(0).script = attempts((m, line) -> {
                for (String write : writes) {
                    for (int i = 0; i < write.length(); i += bytes ? 1 : write.length()) {
                        line.send(bytes ? write.substring(i, i + 1) : write);
                    }
                    assertTrue(confirmed.tryAcquire(Line.PATIENCE_MS, TimeUnit.MILLISECONDS));
                }
            });
            client.send(chat ? chat("m-ask", true, "") : request("ask", 1500));
            assertEquals(client.head().status(), 200);
            StringBuilder text = new StringBuilder();
            String last = null;
            for (String write : writes) {
                String awaited = lastMarker(write);
                while (!text.toString().contains(awaited)) {
                    last = client.readChunk();
                    assertTrue(last != null && !last.isEmpty(), "ended before " + awaited);
                    text.append(last);
                }
                confirmed.release();
            }
            while ((last = client.readChunk()) != null) {
                assertTrue(!last.isEmpty(), "the stream was cut short");
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

    private enum Flood {
        SERVER,
        CLIENT
    }

    @DataProvider
    public Object[][] floods() {
        return new Object[][] {{Flood.SERVER}, {Flood.CLIENT}};
    }

    /** A peer that sends without end, and is read as fast as it sends, doesn't starve other connections. */
    @Test(dataProvider = "floods")
    public void othersHaveTheirTurnBesideAFlood(Flood flood) throws Exception {
        Semaphore confirmed = new Semaphore(0);
        Semaphore flooding = new Semaphore(0);
        AtomicBoolean enough = new AtomicBoolean();
        String block = chunk(event(1)).repeat(200);
        String body = "1\r\n{\r\n".repeat(4000);
        try (Site site = new Site(1, 2);
                Line client = site.client();
                Line flooded = site.client()) {
            site.writers.forEach(w -> w.script = attempts((m, line) -> {
                line.beginStream();
                if (m.header("X-Priority-Class").equals("send")) {
                    for (int i = 0; !enough.get(); i++) {
                        line.send(block);
                    }
                } else {
                    for (int i = 0; i < 20; i++) {
                        line.chunk(event(i));
                        assertTrue(confirmed.tryAcquire(Line.PATIENCE_MS, TimeUnit.MILLISECONDS));
                    }
                }
                line.chunk(DONE).lastChunk();
            }));
            client.send(request("ask", 1500));
            assertEquals(client.head().status(), 200);
            assertTrue(client.readChunk().contains(marker(0)));
            Thread other = new Thread(() -> {
                try {
                    if (flood == Flood.SERVER) {
                        flooded.send(request("send", 1500)).head();
                        for (int i = 0; flooded.readChunk() != null; i++) {
                            flooding.release(i == 1000 ? 1 : 0);
                        }
                        flooding.release(); // the end of the flood was forwarded too
                    } else {
                        flooded.send(request("send", 1500)
                                .replaceFirst("Content-Length.*\r\n\r\n\\{\\}", "Transfer-Encoding: chunked\r\n\r\n"));
                        for (int i = 0; !enough.get(); i++) {
                            flooded.send(body);
                            flooding.release(i == 10 ? 1 : 0);
                        }
                    }
                } catch (java.io.IOException e) {
                    flooding.release(); // the connection was closed
                }
            });
            other.start();
            assertTrue(flooding.tryAcquire(Line.PATIENCE_MS, TimeUnit.MILLISECONDS));
            for (int i = 1; i < 20; i++) {
                confirmed.release();
                assertTrue(client.readChunk().contains(marker(i)));
            }
            enough.set(true);
            confirmed.release();
            assertTrue(client.readChunk().contains("[DONE]"));
            assertTrue(flood == Flood.CLIENT || flooding.tryAcquire(Line.PATIENCE_MS, TimeUnit.MILLISECONDS));
            other.join(Line.PATIENCE_MS);
        }
    }

    /** Guards against a stack overflow in recursive code that copies or writes deeply nested JSON. */
    @Test(dataProvider = "floods")
    public void whatNestsWithoutEndIsNoEventOfAChat(Flood from) throws Exception {
        int depth = from == Flood.SERVER ? 12_000 : 50_000; // within the size limits of an event and of a request
        String deep = "\"x\":" + "[".repeat(depth) + "]".repeat(depth);
        try (Site site = new Site(1, 1);
                Line bad = site.chatClient()) {
            StandIn writer = site.writers.get(0);
            StandIn.Script usual = writer.script;
            if (from == Flood.SERVER) {
                writer.script = attempts((m, line) ->
                        line.beginStream().chunk(event(1)).chunk("data: {\"choices\":[]," + deep + "}\n\n"));
            }
            bad.send(chat("m-ask", from == Flood.SERVER, from == Flood.CLIENT ? "," + deep : ""));
            long sent = System.nanoTime();
            Line.Message answer = bad.read();
            assertEquals(answer.status(), from == Flood.SERVER ? 200 : 400);
            assertEquals(answer.whole(), from == Flood.CLIENT);
            assertTrue(System.nanoTime() - sent < 3_000_000_000L, "not ended at once, but by the 4 s limit for silence");
            writer.script = usual;
            try (Line good = site.chatClient()) {
                assertEquals(good.send(chat("m-send", true, "")).read().status(), 200);
            }
        }
    }
}

package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.forAttempts;
import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Clients that leave while much of what they have sent is unread: their requests are not sent on after that. */
public class LeftBehindInputTest {
    private static final long MAX_NOTICE_NS = 100_000_000; // from a client's close to the last attempt made for it
    private static final int SERVER_HANG_MS = 400; // of an attempt, which then breaks and is retried
    private static final int LATE_ATTEMPTS_MS = 1500; // in which attempts that come late come
    private static final int CLIENTS = 8;
    private static final int REPEATS = 4;

    private static String largeRequest(boolean chat) {
        return chat
                ? Site.postRequest("x".repeat(250_000))
                : Site.request("large" + System.nanoTime(), "ask", "5000m", "", "x".repeat(250_000));
    }

    private static String chunkedStart() {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    /** Name, front, and what a client sends behind its request before it leaves. */
    @DataProvider
    public Object[][] inputs() {
        List<Object[]> rows = new ArrayList<>();
        for (boolean chat : new boolean[] {false, true}) {
            rows.add(new Object[] {"a body of tiny chunks", chat, chunkedStart() + "1\r\nx\r\n".repeat(230_000)});
            rows.add(new Object[] {
                "a body of chunks with extensions",
                chat,
                chunkedStart() + ("1;" + "e".repeat(60) + "\r\nx\r\n").repeat(50_000)
            });
            rows.add(new Object[] {"large requests", chat, largeRequest(chat).repeat(7)});
            rows.add(new Object[] {
                "thousands of small requests", chat, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".repeat(50_000)
            });
            rows.add(new Object[] {"nothing", chat, ""});
        }
        return rows.toArray(Object[][]::new);
    }

    /** Readers hang and then break, so that each request would be retried for as long as its client is waited for. */
    @Test(dataProvider = "inputs")
    public void noAttemptBeginsAfterAClientHasLeftBehindUnreadInput(String name, boolean chat, String behind)
            throws Exception {
        ConcurrentMap<Long, String> attemptTimes = new ConcurrentHashMap<>();
        StandIn.Script hangingReader = forAttempts((request, connection) -> {
            attemptTimes.put(System.nanoTime(), request.text());
            Thread.sleep(SERVER_HANG_MS);
            throw new IOException("breaks");
        });
        try (ProcessSite site = new ProcessSite(4, hangingReader, Site::answerAsWriter)) {
            CountDownLatch left = new CountDownLatch(CLIENTS);
            for (int i = 0; i < CLIENTS; i++) {
                Thread client = new Thread(() -> {
                    try (RawConnection connection = site.client(chat)) {
                        connection.send(ProcessSite.request(chat, "ask") + behind);
                    } catch (IOException e) {
                        // the conductor has ended the connection
                    }
                    left.countDown();
                });
                client.setDaemon(true);
                client.start();
            }
            left.await();
            long leftNs = System.nanoTime();
            Thread.sleep(LATE_ATTEMPTS_MS);
            List<Long> lateMs = attemptTimes.keySet().stream()
                    .filter(time -> time > leftNs + MAX_NOTICE_NS)
                    .map(time -> (time - leftNs) / 1_000_000)
                    .sorted()
                    .toList();
            assertEquals(lateMs, List.of(), "attempts that began so many ms after the last client had left");
        }
    }

    /** An id of a class that must not run twice: its client leaves while it runs, and sends it again. */
    @Test
    public void anIdThatMayHaveRunForAClientThatLeftIsNotRunAgain() throws Exception {
        List<RawConnection> written = new CopyOnWriteArrayList<>();
        StandIn.Script writer = forAttempts((request, connection) -> {
            written.add(connection);
            if (written.size() > 1) {
                Site.answerAsWriter(request, connection);
            }
        });
        try (ProcessSite site = new ProcessSite(1, Site::answerAsReader, writer)) {
            String request = Site.request("again", "send", "5000m", "prompt_len=9", "{}");
            try (RawConnection client = site.client(false)) {
                client.send(request);
                await("written", () -> written.size() == 1);
            }
            await("given up", () -> written.get(0).closedByStandIn);
            for (int i = 0; i < REPEATS; i++) {
                try (RawConnection client = site.client(false)) {
                    assertEquals(client.send(request).read().status(), 409);
                }
                Thread.sleep(SERVER_HANG_MS);
            }
            assertEquals(written.size(), 1);
        }
    }
}

package copperbeam.sockets;

import static copperbeam.sockets.Site.LAST_EVENT;
import static copperbeam.sockets.Site.forAttempts;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import copperbeam.Api;
import copperbeam.program.Config;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against clients left waiting by a server that goes on sending, but no further event; and against cutting off one that sends its
 * events slowly.
 */
public class StreamWithoutProgressTest {
    private static final Duration MAX_WAIT = Duration.ofSeconds(5); // after the server's last event
    private static final Duration MAX_SLOW_ANSWER = Duration.ofMinutes(1);
    private static final int DEADLINE_MS = 2000;
    private static final int ANSWER_GRACE_MS = 500;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EVENT =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":null}]}\n\n";
    private static final String BEGUN = HEAD + chunk(EVENT);
    private static final String CLOSING = BEGUN + chunk(LAST_EVENT);
    private static final String END = chunk(EVENT) + chunk(": X-Server-Load: inflight=1,queue=0\n\n")
            + chunk(EVENT.replace("null", "\"stop\"")) + chunk(LAST_EVENT) + "0\r\n\r\n";

    /** A client's front and class of request. */
    private record Client(boolean chat, String requestClass) {}

    private static final List<Client> CLIENTS =
            List.of(new Client(false, "ask"), new Client(false, "send"), new Client(true, "send"));

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Even rows: streams may be resumed. */
    private static Site site(int row) throws Exception {
        Api.Settings settings = Site.parseSettings(
                String.format(Site.SETTINGS_FORMAT, 30).replace("\"resume\":true", "\"resume\":" + (row % 2 == 0)));
        return new Site(1, 1, 30, null, List.of(), Config.Limits.DEFAULT, settings, Duration.ofMillis(250));
    }

    /** All clients' answers, which they wait for at the same time, but not longer than {@code maxWait}. */
    private static List<RawConnection.Message> answers(Site site, Duration maxWait) {
        ExecutorService threads = Executors.newFixedThreadPool(CLIENTS.size());
        try {
            List<CompletableFuture<RawConnection.Message>> pending = CLIENTS.stream()
                    .map(client -> CompletableFuture.supplyAsync(() -> answer(site, client), threads)
                            .orTimeout(maxWait.toMillis(), TimeUnit.MILLISECONDS))
                    .toList();
            return pending.stream().map(CompletableFuture::join).toList();
        } finally {
            threads.shutdown();
        }
    }

    private static RawConnection.Message answer(Site site, Client client) {
        try (RawConnection connection = client.chat() ? site.chatClient() : site.client()) {
            connection.send(
                    client.chat()
                            ? Site.chatRequest("m-" + client.requestClass(), true, "")
                            : Site.request(client.requestClass(), DEADLINE_MS));
            return connection.read();
        } catch (Exception e) {
            throw new AssertionError(client + ": " + e, e);
        }
    }

    /** Sends {@code before}, and then {@code repeated} with this pause until the conductor ends the connection. */
    private static StandIn.Script endless(String before, String repeated, int pauseMs, AtomicLong lastEventNs) {
        return forAttempts((request, connection) -> {
            connection.send(before);
            lastEventNs.accumulateAndGet(System.nanoTime(), Math::max);
            while (true) {
                connection.send(repeated);
                Thread.sleep(pauseMs);
            }
        });
    }

    private static void assertEndedInTime(long lastEventNs) {
        Duration waited = Duration.ofNanos(System.nanoTime() - lastEventNs);
        assertTrue(waited.compareTo(MAX_WAIT) <= 0, waited.toString());
    }

    /** Numbers the rows, so that each second one has other settings. */
    private static Iterator<Object[]> numbered(Object[]... rows) {
        List<Object[]> numberedRows = new ArrayList<>();
        for (Object[] row : rows) {
            Object[] numberedRow = new Object[row.length + 1];
            numberedRow[0] = numberedRows.size();
            System.arraycopy(row, 0, numberedRow, 1, row.length);
            numberedRows.add(numberedRow);
        }
        return numberedRows.iterator();
    }

    /** Rows with and without resume: the stop waits for these streams no longer than their clients. */
    @Test(dataProvider = "stops")
    public void aStopEndsAStreamThatMakesNoProgress(int row, String name, String before, String repeated, int pauseMs)
            throws Exception {
        AtomicLong lastEventNs = new AtomicLong();
        try (Site site = site(row)) {
            site.writers.get(0).script = endless(before, repeated, pauseMs, lastEventNs);
            CompletableFuture<List<RawConnection.Message>> pending =
                    CompletableFuture.supplyAsync(() -> answers(site, MAX_WAIT.multipliedBy(2)));
            Site.await("streams begun", () -> site.countAttempts(site.writers) == CLIENTS.size());
            Thread stop = site.beginStop();
            pending.get().forEach(answer -> assertFalse(answer.complete()));
            assertEndedInTime(lastEventNs.get());
            stop.join(MAX_WAIT.toMillis());
            assertFalse(stop.isAlive());
        }
    }

    @DataProvider(parallel = true) // each row waits most of the time
    public Iterator<Object[]> stops() {
        return numbered(new Object[][] {
            {"an extension of a chunk", BEGUN + "4;", "x", 300},
            {"an extension of a chunk", BEGUN + "4;", "x", 300},
        });
    }

    @DataProvider(parallel = true) // each row waits most of the time
    public Iterator<Object[]> endlessParts() {
        return numbered(new Object[][] {
            {"a size of gigabytes, and text without a line end", BEGUN + "C0000000", "data: {\"a\":1}", 100},
            {"digits of a size", BEGUN, "0", 300},
            {"noise in place of a size", BEGUN, "z", 300},
            {"spaces behind a size", BEGUN + "4", " ", 300},
            {"an extension of a chunk", BEGUN + "4;", "x", 300},
            {"an extension, a byte each 3 s", BEGUN + "4;", "x", 3000},
            {"a line that is no field", BEGUN + "ffff\r\n", "z", 300},
            {"blank lines", BEGUN + "ffff\r\n", "\n", 300},
            {"blank lines in chunks", BEGUN, chunk("\r\n"), 1500},
            {"data that is no completion", BEGUN + "ffff\r\ndata: ", "x", 300},
            {"lines of such data", BEGUN + "ffff\r\n", "data: x\n", 300},
            {"noise in an object", BEGUN + "ffff\r\ndata: {", "x", 300},
            {"events without line ends", BEGUN + "ffff\r\n", EVENT.strip(), 300},
            {"events without blank lines", BEGUN + "ffff\r\n", EVENT.strip() + "\n", 300},
            {"such events in chunks", BEGUN, chunk(EVENT.strip() + "\n"), 300},
            {"lines of empty data", BEGUN + "ffff\r\n", "data:\n", 300},
            {"carriage returns behind data", BEGUN + "ffff\r\n" + EVENT.strip(), "\r", 300},
            {"another field", BEGUN + "ffff\r\nid: ", "7", 300},
            {"trailers", CLOSING + "0\r\n", "X: y\r\n", 300},
            {"a trailer without an end", CLOSING + "0\r\n", "X", 300},
            {"an extension behind the closing event", CLOSING + "0;", "x", 300},
            {"comments behind the closing event", CLOSING, chunk(": x\n\n"), 300},
            {"events behind the closing event", CLOSING, chunk(EVENT), 300},
        });
    }

    @Test(dataProvider = "endlessParts")
    public void aStreamThatMakesNoProgressIsEnded(int row, String name, String before, String repeated, int pauseMs)
            throws Exception {
        AtomicLong lastEventNs = new AtomicLong();
        try (Site site = site(row)) {
            site.writers.get(0).script = endless(before, repeated, pauseMs, lastEventNs);
            for (RawConnection.Message answer : answers(site, MAX_WAIT.multipliedBy(2))) {
                assertEquals(answer.status(), 200);
                assertFalse(answer.complete());
                assertTrue(answer.text().startsWith("data: "), answer.text());
            }
            assertEndedInTime(lastEventNs.get());
            assertEquals(site.countAttempts(site.writers), CLIENTS.size());
        }
    }

    @DataProvider(parallel = true)
    public Iterator<Object[]> endlessOpenings() {
        return numbered(new Object[][] {
            {"comments", HEAD, chunk(": x\n\n"), 100},
            {"comments in a flood", HEAD, chunk(": x\n\n"), 1},
            {"fields without data", HEAD, chunk("id: 7\n\n"), 100},
        });
    }

    /** What brings no event doesn't end the deadline. */
    @Test(dataProvider = "endlessOpenings")
    public void withoutAnEventTheFinalAnswerIsInTime(int row, String name, String before, String repeated, int pauseMs)
            throws Exception {
        try (Site site = site(row)) {
            site.writers.get(0).script = endless(before, repeated, pauseMs, new AtomicLong());
            long sentNs = System.nanoTime();
            answers(site, MAX_WAIT).forEach(answer -> assertTrue(answer.status() >= 500, answer.startLine()));
            long waitedMs = (System.nanoTime() - sentNs) / 1_000_000;
            assertTrue(waitedMs < DEADLINE_MS + ANSWER_GRACE_MS, waitedMs + " ms");
        }
    }

    @DataProvider(parallel = true)
    public Iterator<Object[]> pieces() {
        String eventHead = Integer.toHexString(EVENT.length() + 2) + "\r\n" + EVENT.strip();
        String paddedEnd = END.replaceAll("(?m)^([0-9a-f]+)\r$", "00$1;a=b\r");
        return numbered(new Object[][] {
            {"single bytes", BEGUN, END, 1, 15, ""},
            {"single bytes, sizes padded and extended", BEGUN, paddedEnd, 1, 15, ""},
            {"some bytes", BEGUN, END, 7, 110, ""},
            {"parts of events", BEGUN, END, 31, 550, ""},
            {"a piece each 3 s", BEGUN, END, 120, 3000, ""},
            {"a size line in single bytes", BEGUN, END.substring(0, 5), 1, 1500, END.substring(5)},
            {"comments between events", BEGUN, chunk(": ping\n\n").repeat(30) + END, 13, 150, ""},
            {"an event's end in single bytes", BEGUN + eventHead, "\r\n\r\n", 1, 2200, "\r\n" + END},
            {"the last chunk", CLOSING, "0\r\n\r\n", 1, 1500, ""},
        });
    }

    @Test(dataProvider = "pieces")
    public void aSlowStreamIsNotCut(
            int row, String name, String begun, String slow, int pieceLength, int pauseMs, String rest)
            throws Exception {
        try (Site site = site(row)) {
            site.writers.get(0).script = forAttempts((request, connection) -> {
                connection.send(begun);
                for (int start = 0; start < slow.length(); start += pieceLength) {
                    Thread.sleep(pauseMs);
                    connection.send(slow.substring(start, Math.min(slow.length(), start + pieceLength)));
                }
                connection.send(rest);
            });
            for (RawConnection.Message answer : answers(site, MAX_SLOW_ANSWER)) {
                assertEquals(answer.status(), 200);
                assertTrue(answer.complete(), answer.text());
            }
            assertEquals(site.countAttempts(site.writers), CLIENTS.size());
        }
    }
}

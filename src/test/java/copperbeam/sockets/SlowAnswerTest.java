package copperbeam.sockets;

import static copperbeam.sockets.Site.forAttempts;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Servers that write their answers slowly, but without a pause: no answer is cut off, and the client gets all of it. */
public class SlowAnswerTest {
    private static final int PIECES = 60;
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EVENT =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":null}]}\n\n";
    private static final String LONG_EVENT = EVENT.replace("ab", "y".repeat(20_000));

    private static final String READ_HEAD =
            "HTTP/1.1 202 x\r\nX-Padding: " + "x".repeat(200) + "\r\nContent-Length: 300\r\n\r\n";
    private static final String READ_BODY = "{\"cached_tokens\":0" + " ".repeat(281) + "}";
    private static final int VERY_SLOW_MS = 2600;

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void sendSlowly(RawConnection connection, String text, int durationMs) throws Exception {
        int pieceLength = text.length() / PIECES + 1;
        for (int start = 0; start < text.length(); start += pieceLength) {
            connection.send(text.substring(start, Math.min(text.length(), start + pieceLength)));
            Thread.sleep(durationMs / PIECES);
        }
    }

    private static StandIn.Script slowly(String before, String slowPart, int durationMs, String after) {
        return forAttempts((request, connection) -> {
            connection.send(before);
            sendSlowly(connection, slowPart, durationMs);
            connection.send(after);
        });
    }

    private static String inManyChunks(String text) {
        StringBuilder chunks = new StringBuilder();
        for (int start = 0; start < text.length(); start += 300) {
            chunks.append(chunk(text.substring(start, Math.min(text.length(), start + 300))));
        }
        return chunks.toString();
    }

    @DataProvider(parallel = true) // each row waits most of the time
    public Object[][] slowAnswers() {
        String rest = chunk(Site.EVENTS.replace("\u00e8", "e")) + "0\r\n\r\n";
        List<Object[]> rows = new ArrayList<>();
        for (boolean chat : new boolean[] {false, true}) {
            rows.add(new Object[] {
                "an event of 6 s",
                chat,
                (StandIn.Script) Site::answerAsReader,
                slowly(HEAD + chunk(EVENT), chunk(LONG_EVENT), 6000, rest)
            });
            rows.add(new Object[] {
                "an event of 6 s in many chunks",
                chat,
                (StandIn.Script) Site::answerAsReader,
                slowly(HEAD + chunk(EVENT), inManyChunks(LONG_EVENT), 6000, rest)
            });
            rows.add(new Object[] {
                "comments for 6 s",
                chat,
                (StandIn.Script) Site::answerAsReader,
                slowly(HEAD + chunk(EVENT), chunk(": ping\n").repeat(60), 6000, rest)
            });
            rows.add(new Object[] {
                "a writer's head of 1.6 s", chat, (StandIn.Script) Site::answerAsReader, slowly("", HEAD, 1600, rest)
            });
            rows.add(new Object[] {
                "a reader's head of 1.6 s", chat, slowly("", READ_HEAD, 1600, READ_BODY), slowly("", "", 0, HEAD + rest)
            });
            rows.add(new Object[] {
                "a reader's answer of 1.6 s",
                chat,
                slowly(READ_HEAD, READ_BODY, 1600, ""),
                slowly("", "", 0, HEAD + rest)
            });
        }
        return rows.toArray(Object[][]::new);
    }

    @DataProvider(parallel = true)
    public Object[][] verySlowAnswers() {
        String rest = chunk(Site.EVENTS.replace("\u00e8", "e")) + "0\r\n\r\n";
        StandIn.Script writer = slowly("", "", 0, HEAD + rest);
        return new Object[][] {
            {"a reader's head", "send", slowly("", READ_HEAD, VERY_SLOW_MS, READ_BODY), writer},
            {"a reader's answer", "send", slowly(READ_HEAD, READ_BODY, VERY_SLOW_MS, ""), writer},
            {
                "a writer's head of a repeatable request",
                "ask",
                (StandIn.Script) Site::answerAsReader,
                slowly("", HEAD, VERY_SLOW_MS, rest)
            },
            {
                "a writer's first event of a repeatable request",
                "ask",
                (StandIn.Script) Site::answerAsReader,
                slowly(HEAD, chunk(LONG_EVENT), VERY_SLOW_MS, rest)
            },
        };
    }

    /** A server that no probe could prove alive was called silent after 1.5 s, though its answer was coming. */
    @Test(dataProvider = "verySlowAnswers")
    public void aServerWhoseAnswerComesIsNotCalledSilent(
            String name, String requestClass, StandIn.Script reader, StandIn.Script writer) throws Exception {
        assertEachServerIsAskedOnce(false, requestClass, reader, writer);
    }

    @Test(dataProvider = "slowAnswers")
    public void anAnswerIsNotCutOffWhileItsBytesCome(
            String name, boolean chat, StandIn.Script reader, StandIn.Script writer) throws Exception {
        assertEachServerIsAskedOnce(chat, "send", reader, writer);
    }

    private static void assertEachServerIsAskedOnce(
            boolean chat, String requestClass, StandIn.Script reader, StandIn.Script writer) throws Exception {
        try (ProcessSite site = new ProcessSite(1, reader, writer);
                RawConnection client = site.client(chat)) {
            RawConnection.Message answer =
                    client.send(ProcessSite.request(chat, requestClass)).read();
            assertEquals(answer.status(), 200, answer.text());
            assertTrue(answer.complete());
            assertEquals(site.attempts(site.readers), 1);
            assertEquals(site.attempts(site.writers), 1);
        }
    }
}

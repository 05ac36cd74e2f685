package copperbeam.sockets;

import static copperbeam.sockets.Site.forAttempts;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.util.Arrays;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Servers whose stream ends by its framing before its last event: the client must not get a last chunk. */
public class PartialStreamTest {
    private static final String START = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    private static final String CHUNKED = START + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String EVENT =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"ab\"},\"finish_reason\":null}]}\n\n";
    private static final String LAST_EVENT =
            "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"c\"},\"finish_reason\":\"stop\"}]}\n\n";
    private static final String DONE = "data: [DONE]\n\n";

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Name, the server's bytes, and whether it closes its connection after them. */
    @DataProvider(parallel = true) // each row waits for its process most of the time
    public Object[][] partialStreams() {
        String begun = CHUNKED + chunk(EVENT);
        return new Object[][] {
            {"size 0 in place of a chunk's", begun + "0\r\n" + EVENT + "\r\n" + chunk(LAST_EVENT), false},
            {"last chunk too early", begun + "0\r\n\r\n", false},
            {"last chunk too early, with an extension", begun + "000;x=1\r\n\r\n", false},
            {"last chunk too early, then a close", begun + "0\r\n\r\n", true},
            {"last chunk without its end, then a close", begun + "0\r\n", true},
            {"half a size that begins with zeros, then a close", begun + "00", true},
            {"last chunk within an event", begun + chunk(EVENT.substring(0, 20)) + "0\r\n\r\n", false},
            {"length of the first event", START + "Content-Length: " + EVENT.length() + "\r\n\r\n" + EVENT, false},
            {"length of half a stream", START + "Content-Length: " + EVENT.length() + "\r\n\r\n" + EVENT + EVENT, false
            },
            {"no last event", begun + chunk(LAST_EVENT) + "0\r\n\r\n", false},
        };
    }

    private static RawConnection.Message answer(boolean chat, String requestClass, String bytes, boolean closes)
            throws Exception {
        StandIn.Script writer = forAttempts((request, connection) -> {
            connection.send(bytes);
            if (closes) {
                connection.close();
            }
        });
        try (ProcessSite site = new ProcessSite(1, Site::answerAsReader, writer);
                RawConnection client = site.client(chat)) {
            return client.send(ProcessSite.request(chat, requestClass)).read();
        }
    }

    @Test(dataProvider = "partialStreams")
    public void aPartialStreamIsNotEndedAsIfItWereWhole(String name, String bytes, boolean closes) throws Exception {
        assertBroken(answer(false, "ask", bytes, closes));
        assertBroken(answer(false, "send", bytes, closes));
    }

    @Test(dataProvider = "partialStreams")
    public void aPartialStreamIsNotEndedAsIfItWereWholeByTheChatApi(String name, String bytes, boolean closes)
            throws Exception {
        assertBroken(answer(true, "send", bytes, closes));
    }

    private static void assertBroken(RawConnection.Message answer) {
        assertEquals(answer.status(), 200);
        assertFalse(answer.complete(), answer.text());
    }

    @DataProvider
    public Object[][] wholeStreams() {
        String events = EVENT + LAST_EVENT + DONE;
        return new Object[][] {
            {CHUNKED + chunk(events) + "0\r\n\r\n"},
            {CHUNKED + chunk(events) + chunk(": X-Server-Load: inflight=1\n\n") + "0\r\n\r\n"},
            {CHUNKED + chunk(events.replace("\n", "\r\n").replace("data: [", "data:[")) + "0\r\n\r\n"},
            {CHUNKED + chunk(EVENT + LAST_EVENT + "data: [DO") + chunk("NE]\n") + "0\r\n\r\n"},
            {START + "Content-Length: " + events.length() + "\r\n\r\n" + events},
        };
    }

    /** Forms that a whole stream may have: a comment behind its last event, other line ends, no blank line at its end. */
    @Test(dataProvider = "wholeStreams")
    public void aWholeStreamIsEndedWithItsLastChunk(String bytes) throws Exception {
        for (boolean chat : Arrays.asList(false, true)) {
            RawConnection.Message answer = answer(chat, "ask", bytes, false);
            assertEquals(answer.status(), 200);
            assertEquals(answer.complete(), true, answer.text());
        }
    }
}

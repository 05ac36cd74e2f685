package copperbeam.sockets;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a final answer that waits for a server which reads a large request slowly. */
public class SlowlyReadRequestTest {
    private static final int DEADLINE_MS = 2000;
    private static final int ANSWER_GRACE_MS = 500;
    private static final String PADDING = "y".repeat(200_000);

    @DataProvider(parallel = true) // each row waits most of the time
    public Object[][] servers() {
        List<Object[]> rows = new ArrayList<>();
        for (boolean isReader : new boolean[] {true, false}) {
            for (String requestClass : List.of("ask", "send")) {
                for (boolean chat : new boolean[] {false, true}) {
                    rows.add(new Object[] {isReader, requestClass, chat, 512, 20});
                    rows.add(new Object[] {isReader, requestClass, chat, 64, 1000});
                }
            }
        }
        return rows.toArray(Object[][]::new);
    }

    @Test(dataProvider = "servers")
    public void theFinalAnswerIsInTime(boolean isReader, String requestClass, boolean chat, int bytes, int pauseMs)
            throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection client = chat ? site.chatClient() : site.client()) {
            StandIn server = (isReader ? site.readers : site.writers).get(0);
            server.onConnect = connection -> connection.readSlowly(bytes, pauseMs);
            long sentNs = System.nanoTime();
            client.send(
                    chat
                            ? Site.chatRequest("m-" + requestClass, true, ",\"user\":\"" + PADDING + "\"")
                            : Site.request("r", requestClass, DEADLINE_MS + "m", "", "{\"user\":\"" + PADDING + "\"}"));
            int status = client.read().status();
            long waitedMs = (System.nanoTime() - sentNs) / 1_000_000;
            assertTrue(status >= 500, "status " + status);
            assertTrue(waitedMs < DEADLINE_MS + ANSWER_GRACE_MS, waitedMs + " ms");
        }
    }
}

package copperbeam.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.soak.HttpConnection.Message;
import java.nio.file.Files;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * While the conductor can't accept connections, a request waits in the system's accept queue. That time counts against its client's
 * deadline, so servers must be told only the time that is left.
 */
public class QueuedRequestTest {
    private static final int EMFILE = 24;
    private static final long DEADLINE_MS = 3000;
    private static final int ANSWER_TIMEOUT_MS = 5000;
    private static final int ATTEMPTS = 2; // the read and the write
    private static final int POLL_MS = 5;

    /** The stand-ins note what they sent only after it, when the client may have its answer already. */
    private static void awaitEndsOfAttempts(History history) throws InterruptedException {
        long deadlineNs = System.nanoTime() + ANSWER_TIMEOUT_MS * 1_000_000L;
        while (System.nanoTime() < deadlineNs
                && history.inOrder().stream()
                                .filter(Observation.AttemptEnded.class::isInstance)
                                .count()
                        < ATTEMPTS) {
            Thread.sleep(POLL_MS);
        }
    }

    @DataProvider
    public Object[][] waits() {
        return new Object[][] {{1000}, {2000}}; // milliseconds; the second is more than half of the client's deadline
    }

    @Test(dataProvider = "waits")
    public void serversAreToldTheTimeThatIsLeft(long queuedMs) throws Exception {
        SoakSettings settings = SoakSettings.defaults(1, true);
        try (SoakSite site = new SoakSite(new Random(1), null);
                Lateness lateness = Lateness.start()) {
            ConductorProcess conductor =
                    site.addConductor(Files.createTempDirectory("queued"), false, settings.toJson());
            site.addServer(Role.READER, 0);
            site.addServer(Role.WRITER, 0);
            site.start();
            conductor.shim.fail(Fault.ACCEPT, EMFILE, Long.MAX_VALUE);
            try (HttpConnection connection = HttpConnection.connect(conductor.address, ANSWER_TIMEOUT_MS)) {
                connection.setReadTimeout(ANSWER_TIMEOUT_MS);
                site.history.add(new Observation.Sent(
                        System.nanoTime(), "queued", RequestKind.SAFE, conductor.name, DEADLINE_MS));
                connection.send(ClientDriver.requestText(
                        "queued", RequestKind.SAFE, RequestKind.USUAL_TOKENS, "s", DEADLINE_MS, "{}"));
                Thread.sleep(queuedMs); // the time in which no connection can be accepted
                conductor.shim.fail(Fault.ACCEPT, 0, 0);
                Message answer = connection.read();
                assertEquals(answer.word(1), "200");
                site.history.add(new Observation.Answered(
                        System.nanoTime(), "queued", 200, answer.complete(), answer.body(), connection.lastReadAt()));
            }
            awaitEndsOfAttempts(site.history);
            List<Observation> seen = site.history.inOrder();
            assertTrue(
                    seen.stream().anyMatch(Observation.AttemptArrived.class::isInstance),
                    "the request reached a server");
            assertEquals(
                    Oracle.judge(seen, settings.oracleTerms(lateness.worstMs())).toString(), "[]");
        }
    }
}

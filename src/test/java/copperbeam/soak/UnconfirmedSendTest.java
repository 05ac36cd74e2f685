package copperbeam.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.soak.HttpConnection.Message;
import copperbeam.soak.ServerStandIn.Behavior;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Writers become unresponsive while readers work. What a conductor writes to them then doesn't arrive and must not stop the timeout
 * for releasing the read states. Runs a real process between stand-ins; the oracle judges.
 */
public class UnconfirmedSendTest {
    /** How the writers become unresponsive; their connections stay open, and no error shows it. */
    private enum Silence {
        /** The network accepts bytes and delivers none. */
        CUT_OFF,
        /** New connections are established as well, but the server reads nothing. */
        READS_NOTHING
    }

    private static final long LONGEST_DEADLINE_MS = 3000;
    private static final long DEADLINE_MS = 2900;
    private static final int ANSWER_TIMEOUT_MS = 5000;
    private static final int CLIENTS = 6;
    private static final int CLIENTS_BEFORE =
            24; // enough to leave a kept connection for every attempt, not only the first
    private static final long SLACK_MS = 150;

    @DataProvider
    public Object[][] silences() {
        return new Object[][] {
            {Silence.CUT_OFF, RequestKind.SAFE, 1000, true, true},
            {Silence.READS_NOTHING, RequestKind.UNSAFE, 1000, true, true},
            {Silence.READS_NOTHING, RequestKind.KEYED, 300, true, false},
            {Silence.CUT_OFF, RequestKind.SAFE, 300, false, true},
        };
    }

    private static void sendRequest(SoakSite site, RequestKind kind, String id) throws IOException {
        ConductorProcess conductor = site.conductors.get(0);
        try (HttpConnection connection = HttpConnection.connect(conductor.address, ANSWER_TIMEOUT_MS)) {
            connection.setReadTimeout(ANSWER_TIMEOUT_MS);
            site.history.add(new Observation.Sent(System.nanoTime(), id, kind, conductor.name, DEADLINE_MS));
            connection.send(ClientDriver.requestText(id, kind, RequestKind.USUAL_TOKENS, id, DEADLINE_MS, "{}"));
            Message answer = connection.read();
            site.history.add(new Observation.Answered(
                    System.nanoTime(), id, Integer.parseInt(answer.word(1)), answer.complete(), answer.body()));
        }
    }

    private static void sendRequestsAtOnce(SoakSite site, RequestKind kind, int count, String name)
            throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = name + i;
            clients.add(Daemon.start("client", () -> sendRequest(site, kind, id)));
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    private static void setWritersSilent(SoakSite site, Silence silence, boolean silent) throws IOException {
        for (ServerStandIn server : site.servers.values()) {
            if (server.role == Role.WRITER && silence == Silence.READS_NOTHING) {
                server.behavior = silent ? Behavior.READS_NOTHING : Behavior.HEALTHY;
            } else if (server.role == Role.WRITER) {
                for (FaultProxy proxy : site.proxiesOf(server)) {
                    proxy.setMode(silent ? FaultProxy.Mode.SILENT : FaultProxy.Mode.PASS);
                }
            }
        }
    }

    private static long countObservations(SoakSite site, Class<? extends Observation> type) {
        return site.history.inOrder().stream().filter(type::isInstance).count();
    }

    @Test(dataProvider = "silences")
    public void aReadStateIsReleasedThoughWritersAreUnresponsive(
            Silence silence, RequestKind kind, long releaseMs, boolean probes, boolean cancel) throws Exception {
        SoakSettings settings = new SoakSettings(1, LONGEST_DEADLINE_MS, releaseMs, true, cancel, probes, false);
        try (SoakSite site = new SoakSite(new Random(1), null);
                Lateness lateness = Lateness.start()) {
            site.addConductor(Files.createTempDirectory("unconfirmed"), false, settings.toJson());
            site.addServer(Role.READER, 0);
            site.addServer(Role.READER, 0);
            site.addServer(Role.WRITER, 0);
            site.addServer(Role.WRITER, 0);
            site.start();
            sendRequestsAtOnce(
                    site, RequestKind.SAFE, CLIENTS_BEFORE, "before"); // leaves kept connections to the writers
            long heldBefore = countObservations(site, Observation.StateHeld.class);
            assertTrue(heldBefore >= CLIENTS_BEFORE, "reads: " + heldBefore);
            setWritersSilent(site, silence, true);
            sendRequestsAtOnce(site, kind, CLIENTS, "silent");
            setWritersSilent(site, silence, false);
            assertEquals(
                    countObservations(site, Observation.Answered.class), CLIENTS_BEFORE + CLIENTS, "final answers");
            assertTrue(countObservations(site, Observation.StateHeld.class) >= heldBefore + CLIENTS, "completed reads");
            ConductorProcess conductor = site.conductors.get(0);
            ConductorProcess.signal(conductor.process(), "TERM");
            assertTrue(ConductorProcess.awaitEnd(conductor.process(), settings.killMs()), "ended before the kill");
            assertEquals(
                    Oracle.judge(site.history.inOrder(), settings.oracleTerms(SLACK_MS + lateness.worstMs()))
                            .toString(),
                    "[]");
        }
    }
}

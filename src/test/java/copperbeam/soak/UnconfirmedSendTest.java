package copperbeam.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.soak.HttpConnection.Message;
import copperbeam.soak.ServerStandIn.Mood;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Writers fall silent while readers go on: what a conductor has written to them has not arrived, so that it stops no clock of the
 * read states that wait for it. A real process between stand-ins, judged by the oracle.
 */
public class UnconfirmedSendTest {
    /** How the writers fall silent; their connections stay open, and nothing tells of it. */
    private enum Silence {
        /** The network takes what is sent, and delivers nothing. */
        CUT_OFF,
        /** New connections come up as well, and nobody reads. */
        DEAF
    }

    private static final long LONGEST_DEADLINE_MS = 3000;
    private static final long DEADLINE_MS = 2900;
    private static final int PATIENCE_MS = 5000;
    private static final int CLIENTS = 6;
    private static final int CLIENTS_BEFORE =
            24; // so that each attempt behind the first one finds a kept connection too
    private static final long SLACK_MS = 150;

    @DataProvider
    public Object[][] silences() {
        return new Object[][] {
            {Silence.CUT_OFF, RequestKind.SAFE, 1000, true, true},
            {Silence.DEAF, RequestKind.UNSAFE, 1000, true, true},
            {Silence.DEAF, RequestKind.KEYED, 300, true, false},
            {Silence.CUT_OFF, RequestKind.SAFE, 300, false, true},
        };
    }

    private static void ask(SoakSite site, RequestKind kind, String id) throws IOException {
        ConductorProcess conductor = site.conductors.get(0);
        try (HttpConnection connection = HttpConnection.to(conductor.address, PATIENCE_MS)) {
            connection.timeout(PATIENCE_MS);
            site.history.add(new Observation.Sent(System.nanoTime(), id, kind, conductor.name, DEADLINE_MS));
            connection.send(ClientDriver.text(id, kind, RequestKind.USUAL_TOKENS, id, DEADLINE_MS, "{}"));
            Message answer = connection.read();
            site.history.add(new Observation.Answered(
                    System.nanoTime(), id, Integer.parseInt(answer.word(1)), answer.whole(), answer.body()));
        }
    }

    private static void askAtOnce(SoakSite site, RequestKind kind, int count, String name) throws InterruptedException {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = name + i;
            clients.add(Daemon.start("client", () -> ask(site, kind, id)));
        }
        for (Thread client : clients) {
            client.join();
        }
    }

    private static void silence(SoakSite site, Silence how, boolean on) throws IOException {
        for (ServerStandIn server : site.servers.values()) {
            if (server.role == Role.WRITER && how == Silence.DEAF) {
                server.mood = on ? Mood.DEAF : Mood.WELL;
            } else if (server.role == Role.WRITER) {
                for (FaultProxy proxy : site.proxiesOf(server)) {
                    proxy.mode(on ? FaultProxy.Mode.SILENT : FaultProxy.Mode.PASS);
                }
            }
        }
    }

    private static long count(SoakSite site, Class<? extends Observation> what) {
        return site.history.inOrder().stream().filter(what::isInstance).count();
    }

    @Test(dataProvider = "silences")
    public void aStateIsLetGoThoughItsWritersFallSilent(
            Silence how, RequestKind kind, long releaseMs, boolean probes, boolean cancel) throws Exception {
        SoakSettings settings = new SoakSettings(1, LONGEST_DEADLINE_MS, releaseMs, true, cancel, probes, false);
        try (SoakSite site = new SoakSite(new Random(1), null);
                Lateness lateness = Lateness.start()) {
            site.addConductor(Files.createTempDirectory("unconfirmed"), false, settings.text());
            site.addServer(Role.READER, 0);
            site.addServer(Role.READER, 0);
            site.addServer(Role.WRITER, 0);
            site.addServer(Role.WRITER, 0);
            site.start();
            askAtOnce(
                    site,
                    RequestKind.SAFE,
                    CLIENTS_BEFORE,
                    "before"); // connections to the writers are kept from here on
            long heldBefore = count(site, Observation.StateHeld.class);
            assertTrue(heldBefore >= CLIENTS_BEFORE, "reads: " + heldBefore);
            silence(site, how, true);
            askAtOnce(site, kind, CLIENTS, "silent");
            silence(site, how, false);
            assertEquals(count(site, Observation.Answered.class), CLIENTS_BEFORE + CLIENTS, "final answers");
            assertTrue(count(site, Observation.StateHeld.class) >= heldBefore + CLIENTS, "reads that ended well");
            ConductorProcess conductor = site.conductors.get(0);
            ConductorProcess.signal(conductor.process(), "TERM");
            assertTrue(ConductorProcess.awaitEnd(conductor.process(), settings.killMs()), "ended before the kill");
            assertEquals(
                    Oracle.judge(site.history.inOrder(), settings.terms(SLACK_MS + lateness.worstMs()))
                            .toString(),
                    "[]");
        }
    }
}

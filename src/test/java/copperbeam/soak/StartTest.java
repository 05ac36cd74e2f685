package copperbeam.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Starts of real processes that meet a signal or a system that has nothing left. */
public class StartTest {
    private static final int SIGTERM = 15;
    private static final int EMFILE = 24;
    private static final int ENFILE = 23;
    private static final int END_MS = 20_000;
    private static final int MOST_LINES = 60; // of a log
    private static final long STOP_DEADLINE_MS = 1500; // the kill comes 2.2 s after SIGTERM
    private static final int UNHEARD_MS = 900; // in the stop, so that releases last until its end
    private static final int ON_ITS_WAY_MS = 100;

    private final Path folder = temporary();

    private static Path temporary() {
        try {
            return Files.createTempDirectory("start");
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private SoakSite site(boolean operated) throws IOException {
        SoakSite site = new SoakSite(new Random(1), null);
        site.addConductor(
                Files.createTempDirectory(folder, "site"),
                operated,
                SoakSettings.usual(1, true).text());
        site.addServer(Role.READER, 0);
        site.addServer(Role.WRITER, 0);
        site.newAgent(site.conductors.get(0));
        return site;
    }

    /** From the moment in which it listens it may have taken requests, so that its end is an orderly one. */
    @Test
    public void aSignalAsItBeginsToListenIsAnOrderlyStop() throws Exception {
        try (SoakSite site = site(false)) {
            ConductorProcess conductor = site.conductors.get(0);
            conductor.shim.signalAtListen(SIGTERM);
            Process process = conductor.start();
            assertTrue(ConductorProcess.awaitEnd(process, END_MS), "it ends");
            assertEquals(process.exitValue(), 0);
        }
    }

    /** One that can't start ends and says so, as whoever started it waits for one or the other. */
    @Test
    public void aStartThatFailsEnds() throws Exception {
        for (int survived = 0; survived < 4; survived++) {
            try (SoakSite site = site(false)) {
                ConductorProcess conductor = site.conductors.get(0);
                conductor.shim.failAfter(Fault.EPOLL_CREATE, EMFILE, survived);
                Process process = conductor.start();
                boolean ended = ConductorProcess.awaitEnd(process, survived == 0 ? END_MS : 4000);
                assertTrue(ended || conductor.awaitReady(END_MS) >= 0, "neither ended nor ready: " + survived);
                assertTrue(!ended || process.exitValue() == 1, "exit code");
            }
        }
    }

    /** A socket that can't be had for a moment at the start costs no service: the JDK takes some answers then for life. */
    @Test
    public void aSocketThatFailsOnceAtTheStartIsOutlived() throws Exception {
        for (int survived = 0; survived < 4; survived++) {
            try (SoakSite site = site(true)) {
                ConductorProcess conductor = site.conductors.get(0);
                conductor.shim.failAfter(Fault.SOCKET, ENFILE, survived, 1);
                conductor.start();
                assertTrue(conductor.awaitReady(10_000) >= 0, "never in service, socket " + survived);
                assertTrue(conductor.shim.failed(Fault.SOCKET) == 1, "it was met");
            }
        }
    }

    /** Callers at the operators' door that can't be taken cost neither the log nor the processor. */
    @Test
    public void aDoorWithoutDescriptorsRests() throws Exception {
        try (SoakSite site = site(true)) {
            ConductorProcess conductor = site.conductors.get(0);
            Process process = conductor.start();
            assertTrue(conductor.awaitReady(END_MS) >= 0);
            conductor.shim.fail(Fault.ACCEPT, ENFILE, Long.MAX_VALUE);
            long before = lines(conductor);
            List<Socket> callers = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                callers.add(conductor.caller());
            }
            Thread.sleep(1500); // as long as this lasts
            conductor.shim.fail(Fault.ACCEPT, 0, 0);
            assertTrue(lines(conductor) - before < MOST_LINES, lines(conductor) - before + " lines");
            assertTrue(conductor.awaitReady(END_MS) >= 0, "it goes on");
            for (Socket caller : callers) {
                caller.close();
            }
            assertTrue(process.isAlive());
        }
    }

    /** {@code kept}: connections to silent servers stay, else there are connects alone, which nothing answers. */
    @DataProvider
    public Object[][] connections() {
        return new Object[][] {{true}, {false}};
    }

    /**
     * The JVM's end waits up to 0.3 s for threads within a call of the system, as reactors are: a stop that servers keep from
     * letting go up to its last moment was over in time, and its process still there at the kill.
     */
    @Test(dataProvider = "connections")
    public void aStopThatWaitsForReleasesIsOverAtTheKill(boolean kept) throws Exception {
        SoakSettings settings = new SoakSettings(1, STOP_DEADLINE_MS, 1000, true, true, true, false);
        try (SoakSite site = new SoakSite(new Random(1), null)) {
            site.addConductor(Files.createTempDirectory(folder, "site"), true, settings.text());
            for (Role role : Role.values()) {
                site.addServer(role, 0);
                site.addServer(role, 0);
            }
            site.start();
            ConductorProcess conductor = site.conductors.get(0);
            try (HttpConnection client = HttpConnection.to(conductor.address, END_MS)) {
                client.timeout(END_MS);
                client.send(text("heard"));
                assertEquals(client.read().word(1), "200");
            }
            for (ServerStandIn server : site.servers.values()) {
                for (FaultProxy proxy : site.proxiesOf(server)) {
                    proxy.mode(FaultProxy.Mode.SILENT);
                    if (!kept) {
                        proxy.resetAll();
                    }
                }
            }
            try (HttpConnection client = HttpConnection.to(conductor.address, END_MS)) {
                client.timeout(END_MS);
                client.send(text("unheard"));
                Thread.sleep(ON_ITS_WAY_MS);
                ConductorProcess.signal(conductor.process(), "TERM");
                boolean ended = ConductorProcess.awaitEnd(conductor.process(), settings.killMs());
                String log = Files.readString(conductor.log());
                assertTrue(log.contains("servers have not let go of all yet"), "it waited for releases: " + log);
                assertTrue(ended, "still there at the kill: " + log);
                assertEquals(conductor.process().exitValue(), 0);
            }
        }
    }

    private static String text(String id) {
        return ClientDriver.text(id, RequestKind.SAFE, RequestKind.USUAL_TOKENS, id, UNHEARD_MS, "{}");
    }

    private static long lines(ConductorProcess conductor) throws IOException {
        return Files.readAllLines(conductor.log()).size();
    }
}

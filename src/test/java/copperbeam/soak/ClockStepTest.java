package copperbeam.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Steps the wall clock of all machines while real processes serve: timeouts and slow start must still follow elapsed time. */
public class ClockStepTest {
    private static final String SETTINGS = """
            {"balancers":1,"kinds":["prefill","decode"],
             "services":[{"name":"ask","promise_s":1.5,"semantics":"safe","worth":3}],
             "limits":{"send_cap":4,"cancel":true,"probing":false,"retry_after":true,"max_retry_after_s":2,
                       "conn_idle_s":30,"connect_timeout_s":0.25},
             "rules":{"cold_from":0.05,"warm_within_s":2,"fall_multiple":1,"fall_s":1},
             "report":{"via":"on_probe"},"extra":{"role_by_kind":["read","write"],"release_s":1,"resume":true}}
            """;
    private static final int CLIENTS = 8;
    private static final int ANSWER_TIMEOUT_MS = 5000;
    private static final int UNFINISHED_TIMEOUT_MS =
            4000; // a client with an unfinished request must get its error or close within 3 s

    @DataProvider
    public Object[][] steps() {
        return new Object[][] {{0}, {-3600}, {3600}, {-5}, {5}};
    }

    @DataProvider
    public Object[][] stepsBack() {
        return new Object[][] {{0}, {-3600}};
    }

    private static SoakSite startSite(boolean hasControl) throws IOException, InterruptedException {
        SoakSite site = new SoakSite(new Random(1), null);
        site.addConductor(Files.createTempDirectory("clock"), hasControl, SETTINGS);
        site.addServer(Role.READER, 0);
        site.addServer(Role.WRITER, 0);
        site.addServer(Role.WRITER, 0);
        site.start();
        return site;
    }

    private static String request(String id) {
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: ask\r\nX-Timeout: 1500m\r\nX-Attrs: prompt_len=40,max_out=9\r\n"
                + "Content-Length: 2\r\n\r\n{}";
    }

    private static void sendUntil(ConductorProcess conductor, AtomicBoolean finished, AtomicInteger served)
            throws IOException {
        try (HttpConnection connection = HttpConnection.connect(conductor.address, ANSWER_TIMEOUT_MS)) {
            connection.setReadTimeout(ANSWER_TIMEOUT_MS);
            while (!finished.get()) {
                connection.send(request("id" + System.nanoTime()));
                HttpConnection.Message answer = connection.read();
                served.addAndGet(answer.word(1).equals("200") ? 1 : 0);
            }
        }
    }

    private static long attemptCount(SoakSite site, ServerStandIn server, long since) {
        return site.history.inOrder().stream()
                .filter(o ->
                        o instanceof Observation.AttemptArrived a && a.server().equals(server.id) && a.at() > since)
                .count();
    }

    /** A server that starts after the step gets few requests while it is cold, and its full share once it is warm. */
    @Test(dataProvider = "steps")
    public void aServerThatStartsAfterwardsIsColdAndThenWarm(int seconds) throws Exception {
        try (SoakSite site = startSite(false)) {
            ConductorProcess conductor = site.conductors.get(0);
            AtomicBoolean finished = new AtomicBoolean();
            AtomicInteger served = new AtomicInteger();
            for (int i = 0; i < CLIENTS; i++) {
                Daemon.start("client", () -> sendUntil(conductor, finished, served));
            }
            Thread.sleep(1200); // of load, so that the conductor knows the demand
            ServerStandIn warm = site.servers.get("s-2");
            site.stepClock(Duration.ofSeconds(seconds));
            Thread.sleep(700); // so that the server starts clearly after the step
            long addedAt = System.nanoTime();
            ServerStandIn cold = site.addServer(Role.WRITER, site.wallClockMs());
            Thread.sleep(600);
            long attemptsAtColdServer = attemptCount(site, cold, addedAt);
            long attemptsAtWarmServer = attemptCount(site, warm, addedAt);
            Thread.sleep(2500);
            long warmSince = System.nanoTime();
            Thread.sleep(1000);
            finished.set(true);
            assertTrue(served.get() > 0 && attemptsAtWarmServer > 0, "there is load");
            assertTrue(
                    attemptsAtColdServer * 3 < attemptsAtWarmServer,
                    attemptsAtColdServer + " at the cold server, " + attemptsAtWarmServer + " at a warm one");
            long attemptsOnceWarm = attemptCount(site, cold, warmSince);
            assertTrue(
                    attemptsOnceWarm * 3 > attemptCount(site, warm, warmSince),
                    attemptsOnceWarm + " once it is warm, " + attemptCount(site, warm, warmSince));
        }
    }

    /** A client that stops sending within a request gets an error or a close in time. */
    @Test(dataProvider = "stepsBack")
    public void anUnfinishedRequestEnds(int seconds) throws Exception {
        try (SoakSite site = startSite(false)) {
            ConductorProcess conductor = site.conductors.get(0);
            site.stepClock(Duration.ofSeconds(seconds));
            try (HttpConnection connection = HttpConnection.connect(conductor.address, ANSWER_TIMEOUT_MS)) {
                connection.setReadTimeout(UNFINISHED_TIMEOUT_MS);
                connection.send("POST /v1/chat");
                connection.read(); // throws at the timeout if nothing arrives
            }
        }
    }

    /** Connection attempts to an unreachable server are abandoned, rather than piling up until the system times them out. */
    @Test(dataProvider = "stepsBack")
    public void connectsAreGivenUp(int seconds) throws Exception {
        try (SoakSite site = startSite(false)) {
            ConductorProcess conductor = site.conductors.get(0);
            site.stepClock(Duration.ofSeconds(seconds));
            FaultProxy cutOffProxy = site.proxy(conductor, "s-1"); // the only reader, so that each request tries it
            cutOffProxy.setMode(FaultProxy.Mode.SILENT);
            AtomicBoolean finished = new AtomicBoolean();
            for (int i = 0; i < CLIENTS; i++) {
                Daemon.start("client", () -> sendUntil(conductor, finished, new AtomicInteger()));
            }
            Thread.sleep(3000); // of load on the unreachable server
            finished.set(true);
            Thread.sleep(1500); // the longest time that the last request may take
            long pendingConnects = synSentCount(cutOffProxy.address().getPort());
            assertTrue(
                    pendingConnects <= 2,
                    pendingConnects
                            + " connection attempts are left"); // including the proxy's own one, which fills its queue
        }
    }

    /** The number of this machine's sockets in state SYN_SENT to this port of 127.0.0.1. */
    private static long synSentCount(int port) throws IOException {
        String synSent = String.format(".* 0100007F:%04X 02 .*", port);
        return Files.readAllLines(Path.of("/proc/net/tcp")).stream()
                        .filter(line -> line.matches(synSent))
                        .count()
                + Files.readAllLines(Path.of("/proc/net/tcp6")).stream()
                        .filter(line ->
                                line.matches(String.format(".* 0000000000000000FFFF00000100007F:%04X 02 .*", port)))
                        .count();
    }

    /** Neither a silent connection nor an unfinished request delays a stop until the kill. */
    @Test(dataProvider = "stepsBack")
    public void aStopEndsByItself(int seconds) throws Exception {
        try (SoakSite site = startSite(false)) {
            ConductorProcess conductor = site.conductors.get(0);
            site.stepClock(Duration.ofSeconds(seconds));
            try (HttpConnection silent = HttpConnection.connect(conductor.address, ANSWER_TIMEOUT_MS);
                    HttpConnection half = HttpConnection.connect(conductor.address, ANSWER_TIMEOUT_MS)) {
                half.send("POST /v1/chat");
                Thread.sleep(200); // until the conductor has read it
                ConductorProcess.signal(conductor.process(), "TERM");
                assertTrue(ConductorProcess.awaitEnd(conductor.process(), 3500), "ended before the kill");
                assertTrue(silent.socket.isConnected());
            }
        }
    }

    /** After an upgrade the new process serves, and keeps what an operator has set. */
    @Test(dataProvider = "stepsBack")
    public void anUpgradedProcessServesAndKeepsOperatorSettings(int seconds) throws Exception {
        try (SoakSite site = startSite(true)) {
            ConductorProcess conductor = site.conductors.get(0);
            Process before = conductor.process();
            assertTrue(conductor.controlAnswers("DETACH s-2", "ACK"));
            site.stepClock(Duration.ofSeconds(seconds));
            conductor.start();
            assertTrue(conductor.awaitReady(10_000) >= 0, "the new process is ready");
            ConductorProcess.signal(before, "TERM");
            assertTrue(ConductorProcess.awaitEnd(before, 5000));
            long since = System.nanoTime();
            for (int i = 0; i < 12; i++) {
                try (HttpConnection connection = HttpConnection.connect(conductor.address, ANSWER_TIMEOUT_MS)) {
                    connection.setReadTimeout(ANSWER_TIMEOUT_MS);
                    connection.send(request("after" + i));
                    assertEquals(connection.read().word(1), "200");
                }
            }
            assertEquals(attemptCount(site, site.servers.get("s-2"), since), 0, "requests at a detached server");
            before.destroyForcibly();
        }
    }

    /** What an operator has set survives a kill and restart, though the wall clock has advanced by an hour. */
    @Test
    public void operatorSettingsSurviveARestart() throws Exception {
        try (SoakSite site = startSite(true)) {
            ConductorProcess conductor = site.conductors.get(0);
            assertTrue(conductor.controlAnswers("DETACH s-2", "ACK"));
            Thread.sleep(1500); // more than one interval (1 s) of the heartbeat in the shared folder
            conductor.process().destroyForcibly().waitFor();
            site.stepClock(Duration.ofHours(1));
            conductor.start();
            assertTrue(conductor.awaitReady(10_000) >= 0);
            long since = System.nanoTime();
            for (int i = 0; i < 12; i++) {
                try (HttpConnection connection = HttpConnection.connect(conductor.address, ANSWER_TIMEOUT_MS)) {
                    connection.setReadTimeout(ANSWER_TIMEOUT_MS);
                    connection.send(request("again" + i));
                    assertEquals(connection.read().word(1), "200");
                }
            }
            assertEquals(attemptCount(site, site.servers.get("s-2"), since), 0, "requests at a detached server");
        }
    }
}

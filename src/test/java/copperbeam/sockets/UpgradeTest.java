package copperbeam.sockets;

import static copperbeam.sockets.OperatorsTest.metrics;
import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.forAttempts;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import copperbeam.handover.SharedState;
import copperbeam.handover.StateCodec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Upgrades: several processes of one conductor, failures among them, and what clients and servers notice. */
public class UpgradeTest {
    private static final int STREAM_DURATION_MS = 100;
    private static final String HEARTBEAT = "data: beat\n\n";

    /** The servers, and the processes of one conductor in the order of their start. */
    private static final class Fleet implements AutoCloseable {
        final StandIn reader = new StandIn(Site::answerAsReader);
        final List<StandIn> writers = new ArrayList<>();
        final StandIn discovery;
        final CountDownLatch listAvailable = new CountDownLatch(1); // opened when lateDiscovery may answer
        private volatile CountDownLatch streamsReleased =
                new CountDownLatch(1); // opened when the streams of requests "held..." may end
        final Path folder = Files.createTempDirectory("conductor");
        final List<Conductor> conductors = new ArrayList<>();
        private final Path operatorFile = folder.resolve("operator.json");
        private StandIn lateDiscovery;

        Fleet() throws IOException {
            for (int i = 0; i < 2; i++) {
                writers.add(new StandIn(forAttempts(this::writeStream)));
            }
            discovery = Conductor.discovery(reader, writers.toArray(StandIn[]::new));
            // a stop that waits for the streams that the test holds, so that the result does not depend on the
            // machine's speed
            Files.writeString(operatorFile, "{\"stop\":{\"within_s\":40}}");
        }

        private void writeStream(RawConnection.Message request, RawConnection connection) throws Exception {
            connection.beginStream().sendChunk("data: first\n\n");
            if (request.header("X-Request-ID").startsWith("held")) {
                while (!streamsReleased.await(200, TimeUnit.MILLISECONDS)) {
                    connection.sendChunk(HEARTBEAT); // a stream without data for 4 s is aborted
                }
            } else if (request.header("X-Request-ID").startsWith("load")) {
                Thread.sleep(STREAM_DURATION_MS);
            }
            connection.sendChunk(Site.EVENTS).sendLastChunk();
        }

        Conductor start(StandIn discoveryServer) throws IOException {
            String[] extraArguments = {"--operator", operatorFile.toString()};
            conductors.add(
                    conductors.isEmpty()
                            ? new Conductor(discoveryServer, folder, extraArguments)
                            : new Conductor(discoveryServer, conductors.get(0), extraArguments));
            return conductors.get(conductors.size() - 1);
        }

        /** Starts a process and waits until it is ready and the one before has stopped listening. */
        Conductor startNext() throws Exception {
            return awaitOnlyListener(start(discovery));
        }

        /** Starts a process that the others know of, and that gets no server list before {@link #listAvailable} is open. */
        Conductor startWithoutList() throws Exception {
            lateDiscovery = Conductor.discovery(reader, writers.toArray(StandIn[]::new));
            StandIn.Script listScript = lateDiscovery.script;
            lateDiscovery.script = (request, connection) -> {
                listAvailable.await();
                listScript.run(request, connection);
            };
            Conductor late = start(lateDiscovery);
            await(
                    "answers at its admin address",
                    Conductor.START_TIMEOUT_MS,
                    () -> late.call("PING").equals("NAK not ready\n"));
            return late;
        }

        Conductor awaitOnlyListener(Conductor conductor) throws Exception {
            conductor.awaitReady();
            await("the only listener at the address", () -> conductor.listenerCount() == 1);
            return conductor;
        }

        RawConnection client() throws IOException {
            return new RawConnection(conductors.get(0).address);
        }

        /** Opens a stream that gets its first event and then only heartbeats. */
        RawConnection openHeldStream() throws Exception {
            RawConnection client = client();
            client.send(request("held" + System.nanoTime(), "ask", "60000m", "prompt_len=40", "{}"))
                    .readHead();
            assertEquals(client.readChunk(), "data: first\n\n");
            return client;
        }

        /** Lets held streams go on, and checks that each arrives complete. */
        void releaseStreams(RawConnection... streams) throws IOException {
            streamsReleased.countDown();
            for (RawConnection stream : streams) {
                StringBuilder received = new StringBuilder();
                String event = stream.readChunk();
                for (; event != null && !event.isEmpty(); event = stream.readChunk()) {
                    received.append(event);
                }
                assertEquals(received.toString().replace(HEARTBEAT, "") + (event == null ? "" : "broken"), Site.EVENTS);
            }
            streamsReleased = new CountDownLatch(1);
        }

        /** The phases of the processes, from the shared state file. */
        List<SharedState.Phase> phases() {
            try {
                return StateCodec.decode(Conductor.NAME, Files.readAllBytes(folder.resolve(Conductor.NAME + ".state")))
                        .processes()
                        .values()
                        .stream()
                        .map(SharedState.ProcessInfo::phase)
                        .toList();
            } catch (IOException | StateCodec.InvalidStateException e) {
                throw new AssertionError(e);
            }
        }

        /** Sends {@code count} requests, each on a new connection, and checks that each is answered. */
        void sendRequests(int count) throws Exception {
            for (int i = 0; i < count; i++) {
                try (RawConnection client = client()) {
                    assertEquals(client.send(request("ask", 8000)).read().status(), 200);
                }
            }
        }

        /** Checks that a banned server gets no request while other servers do. */
        void assertBanned(StandIn banned) throws Exception {
            long before = banned.attempts();
            sendRequests(10);
            assertEquals(banned.attempts(), before, "sent to a banned server");
        }

        void awaitUsedAgain(StandIn server) throws Exception {
            long before = server.attempts();
            await("used again", () -> {
                try {
                    sendRequests(1);
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
                return server.attempts() > before;
            });
        }

        /** Checks that the process's metrics agree with what clients and servers count from now on. */
        void assertMetricsCorrect(Conductor conductor) throws Exception {
            Map<String, Long> before = metrics(conductor.adminAddress);
            long sentBefore = sentAttempts();
            sendRequests(10);
            Map<String, Long> now = metrics(conductor.adminAddress);
            String answered = "transactions.ask.answered";
            assertEquals(now.get(answered) - before.get(answered), 10, answered);
            assertEquals(now.get("sends") - before.get("sends"), sentAttempts() - sentBefore, "sends");
            assertEquals(now.get("current"), before.get("current"), "current");
        }

        private long sentAttempts() {
            return reader.attempts()
                    + writers.stream().mapToLong(StandIn::attempts).sum();
        }

        @Override
        public void close() throws IOException {
            listAvailable.countDown();
            streamsReleased.countDown();
            conductors.forEach(Conductor::close);
            for (StandIn s : Arrays.asList(reader, writers.get(0), writers.get(1), discovery, lateDiscovery)) {
                if (s != null) {
                    s.close();
                }
            }
        }
    }

    /** Clients that send requests without a pause, half of them on one kept connection, half on a new one for each request. */
    private static final class Load {
        private static final int CLIENTS = 6;
        final List<String> faults = new CopyOnWriteArrayList<>();
        final List<String> unsafeRequestIds = new CopyOnWriteArrayList<>();
        final AtomicInteger answered = new AtomicInteger();
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean stopped;

        Load(Fleet fleet) {
            for (int i = 0; i < CLIENTS; i++) {
                int clientNumber = i;
                threads.add(new Thread(() -> run(fleet, clientNumber)));
                threads.get(i).start();
            }
        }

        private void run(Fleet fleet, int clientNumber) {
            RawConnection connection = null;
            for (int i = 0; !stopped; i++) {
                String id = "load" + clientNumber + "-" + i;
                String requestClass = clientNumber % 3 == 0 ? "ask" : "send";
                try {
                    connection = connection == null ? fleet.client() : connection;
                    if (requestClass.equals("send")) {
                        unsafeRequestIds.add(id);
                    }
                    RawConnection.Message answer = connection
                            .send(request(id, requestClass, "8000m", "prompt_len=40", "{}"))
                            .read();
                    if (answer == null
                            || answer.status() != 200
                            || !answer.complete()
                            || !answer.text().equals("data: first\n\n" + Site.EVENTS)) {
                        faults.add(id + ": " + (answer == null ? "closed" : answer.startLine() + " " + answer.text()));
                    }
                    answered.incrementAndGet();
                    if (clientNumber % 2 == 0 || answer == null || "close".equals(answer.header("Connection"))) {
                        connection.close();
                        connection = null;
                    }
                } catch (IOException e) {
                    faults.add(id + ": " + e);
                    connection = null;
                }
            }
        }

        void awaitProgress() throws InterruptedException {
            int answeredBefore = answered.get();
            await("clients are served", () -> answered.get() > answeredBefore + 5 * CLIENTS || !faults.isEmpty());
            assertTrue(faults.isEmpty(), faults.toString());
        }

        void stopAndAssertNoFaults() throws InterruptedException {
            stopped = true;
            for (Thread thread : threads) {
                thread.join();
            }
            assertTrue(faults.isEmpty(), faults.toString());
        }
    }

    private static void assertExitsNormally(Conductor conductor) throws Exception {
        assertTrue(
                conductor.process.waitFor(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS), "the process did not end");
        assertEquals(conductor.process.exitValue(), 0);
    }

    private static String serverId(StandIn server) {
        return "s" + server.address().getPort();
    }

    /** Three processes, each of which replaces the one before, without an effect on clients. */
    @Test
    public void clientsSeeNothingOfUpgrades() throws Exception {
        try (Fleet fleet = new Fleet()) {
            Conductor old = fleet.startNext();
            assertEquals(old.call("DETACH " + serverId(fleet.writers.get(0))), "ACK\n");
            Load load = new Load(fleet);
            load.awaitProgress();
            for (int i = 0; i < 2; i++) {
                try (RawConnection open = fleet.openHeldStream()) {
                    Conductor next = fleet.startNext();
                    load.awaitProgress();
                    assertTrue(metrics(next.adminAddress).get("transactions.send.answered") > 0);
                    old.signal("TERM");
                    Conductor stopping = old;
                    await("the old process stops", () -> !stopping.isReady());
                    load.awaitProgress();
                    assertTrue(old.process.isAlive(), "a stream is open");
                    fleet.releaseStreams(open);
                    assertExitsNormally(old);
                    old = next;
                }
                load.awaitProgress();
            }
            load.stopAndAssertNoFaults();
            assertEquals(fleet.writers.get(0).attempts(), 0, "banned since the first process");
            for (StandIn server : List.of(fleet.reader, fleet.writers.get(1))) {
                Map<String, Long> attemptsById = server.requests.stream()
                        .filter(message -> message.method().equals("POST"))
                        .collect(Collectors.groupingBy(
                                message -> message.header("X-Request-ID"), Collectors.counting()));
                load.unsafeRequestIds.forEach(id -> assertEquals(attemptsById.get(id), Long.valueOf(1), id));
            }
        }
    }

    /** How far the upgrade has come when one of the processes is killed. */
    private enum UpgradeStage {
        STARTING,
        SERVING,
        LEAVING,
        IDLE
    }

    @DataProvider
    public Object[][] kills() {
        return Stream.of(UpgradeStage.values())
                .flatMap(stage -> Stream.of(new Object[] {stage, true}, new Object[] {stage, false}))
                .toArray(Object[][]::new);
    }

    /**
     * Whichever process is killed, and when: the other one serves, keeps the ban that an operator ordered at the old one, and its
     * metrics are right.
     */
    @Test(dataProvider = "kills")
    public void theOtherProcessGoesOn(UpgradeStage stage, boolean killOld) throws Exception {
        try (Fleet fleet = new Fleet()) {
            StandIn banned = fleet.writers.get(0);
            Conductor old = fleet.startNext();
            assertEquals(old.call("DETACH " + serverId(banned)), "ACK\n");
            RawConnection oldStream = stage == UpgradeStage.IDLE ? null : fleet.openHeldStream();
            Conductor next = stage == UpgradeStage.STARTING ? fleet.startWithoutList() : fleet.startNext();
            RawConnection newStream =
                    stage == UpgradeStage.SERVING || stage == UpgradeStage.LEAVING ? fleet.openHeldStream() : null;
            if (stage == UpgradeStage.LEAVING) {
                old.signal("TERM");
                await("the old process stops", () -> !old.isReady());
            }
            (killOld ? old : next).process.destroyForcibly().waitFor();
            Conductor remaining = killOld ? next : old;
            fleet.listAvailable.countDown();
            await("the remaining process listens", () -> remaining.listenerCount() == 1);
            boolean isStopping = remaining == old && stage == UpgradeStage.LEAVING;
            await("healthy unless it is stopping", () -> remaining.isHealthy() == !isStopping);
            fleet.assertBanned(banned);
            if (isStopping) {
                fleet.releaseStreams(oldStream);
                assertExitsNormally(old);
                return;
            }
            RawConnection stream = killOld ? newStream : oldStream;
            if (stream != null) {
                fleet.releaseStreams(stream);
            }
            await("nothing is open", () -> metrics(remaining.adminAddress).get("current") == 0);
            fleet.assertMetricsCorrect(remaining);
            await("the shared state says SERVING", () -> fleet.phases().equals(List.of(SharedState.Phase.SERVING)));
            assertEquals(banned.attempts(), 0, "banned since before the kill");
            assertEquals(remaining.call("ATTACH " + serverId(banned)), "ACK\n");
            fleet.awaitUsedAgain(banned);
            if (stage == UpgradeStage.SERVING && !killOld) {
                fleet.startNext(); // the failed upgrade is repeated
                fleet.sendRequests(10);
            }
        }
    }

    /** The process (0: old, 1: new) that gets the calls for the ban, and the one that gets the calls for the drain. */
    @DataProvider
    public Object[][] doors() {
        return new Object[][] {{0, 1}, {1, 0}};
    }

    /** An order that is given to one process takes effect in both; each call is executed and logged once. */
    @Test(dataProvider = "doors")
    public void operatorCallsApplyToBothProcesses(int banProcess, int drainProcess) throws Exception {
        try (Fleet fleet = new Fleet()) {
            StandIn banned = fleet.writers.get(0);
            List<Conductor> conductors = List.of(fleet.startNext(), fleet.startNext());
            // the second call may come before the first has spread to the other process
            assertEquals(conductors.get(banProcess).call("DETACH " + serverId(banned)), "ACK\n");
            assertEquals(conductors.get(drainProcess).call("LAMEDUCK"), "ACK\n");
            for (Conductor conductor : conductors) {
                await("one server banned", () -> metrics(conductor.adminAddress).get("cluster_unhealthy") == 1);
            }
            await("drained", () -> !conductors.get(1).isHealthy());
            fleet.assertBanned(banned);
            assertEquals(conductors.get(drainProcess).call("REJOIN"), "ACK\n");
            assertEquals(conductors.get(banProcess).call("ATTACH " + serverId(banned)), "ACK\n");
            for (Conductor conductor : conductors) {
                await("no server banned", () -> metrics(conductor.adminAddress).get("cluster_unhealthy") == 0);
                assertTrue(conductor.isReady());
            }
            await("back at work", conductors.get(1)::isHealthy);
            fleet.awaitUsedAgain(banned);
            for (String call :
                    List.of("DETACH " + serverId(banned), "LAMEDUCK", "REJOIN", "ATTACH " + serverId(banned))) {
                Conductor conductor =
                        conductors.get(call.equals("LAMEDUCK") || call.equals("REJOIN") ? drainProcess : banProcess);
                assertEquals(
                        Files.readAllLines(conductor.logFile).stream()
                                .filter(l -> l.endsWith(": " + call))
                                .count(),
                        1,
                        call);
            }
        }
    }

    /** A drain that an operator orders applies to the conductor as a whole, also to its later processes. */
    @Test
    public void aDrainOutlivesAnUpgrade() throws Exception {
        try (Fleet fleet = new Fleet()) {
            Conductor old = fleet.startNext();
            assertEquals(old.call("LAMEDUCK"), "ACK\n");
            Conductor next = fleet.startNext();
            assertFalse(next.isHealthy());
            old.signal("TERM");
            assertExitsNormally(old);
            assertFalse(next.isHealthy());
            assertTrue(next.isReady());
            fleet.sendRequests(3);
            assertEquals(next.call("REJOIN"), "ACK\n");
            await("back at work", next::isHealthy);
        }
    }

    /** If no other process is ready yet, the old one stops as usual, and the new one starts to listen once it is ready. */
    @Test
    public void aStopBeforeTheNewOneIsReady() throws Exception {
        try (Fleet fleet = new Fleet()) {
            Conductor old = fleet.startNext();
            Conductor next = fleet.startWithoutList();
            fleet.sendRequests(3);
            assertEquals(old.listenerCount(), 1, "the new one is not ready");
            try (RawConnection open = fleet.openHeldStream()) {
                old.signal("TERM");
                await("the old process stops", () -> !old.isReady());
                assertFalse(old.isHealthy());
                fleet.sendRequests(3);
                fleet.releaseStreams(open);
            }
            assertExitsNormally(old);
            assertEquals(next.listenerCount(), 0);
            fleet.listAvailable.countDown();
            fleet.awaitOnlyListener(next);
            assertTrue(next.isHealthy());
            fleet.assertMetricsCorrect(next);
        }
    }

    /**
     * Guards against a stopping process that begins to listen beside the one that serves: its server list arrives only after the
     * signal.
     */
    @Test
    public void aStopBeforeItIsReadyNeverListens() throws Exception {
        try (Fleet fleet = new Fleet()) {
            Conductor old = fleet.startNext();
            Conductor next = fleet.startWithoutList();
            await("it handles the signal itself", () -> next.hasLogged(" listens on "));
            next.signal("TERM");
            await("the shared state says LEAVING", () -> fleet.phases().contains(SharedState.Phase.LEAVING));
            fleet.listAvailable.countDown();
            while (next.process.isAlive()) {
                assertEquals(old.listenerCount(), 1);
            }
            fleet.sendRequests(3);
        }
    }

    /** State files that contain a ban, which must take effect only in the last case. */
    @DataProvider
    public Object[][] files() {
        return new Object[][] {
            {
                "not a copperbeam state file",
                (UnaryOperator<byte[]>) content -> {
                    byte[] garbage = content.clone();
                    new Random(3).nextBytes(garbage);
                    return garbage;
                }
            },
            {"truncated", (UnaryOperator<byte[]>) content -> Arrays.copyOf(content, content.length - 1)},
            {"another conductor's", (UnaryOperator<byte[]>) content -> stateFileOf("n1", content)},
            {null, UnaryOperator.identity()},
        };
    }

    private static byte[] stateFileOf(String conductor, byte[] content) {
        try {
            return StateCodec.encode(conductor, StateCodec.decode(Conductor.NAME, content), Instant.now());
        } catch (StateCodec.InvalidStateException e) {
            throw new AssertionError(e);
        }
    }

    /** {@code reason} null: the file is valid and used. */
    @Test(dataProvider = "files")
    public void onlyAValidStateFileOfThisConductorIsUsed(String reason, UnaryOperator<byte[]> corrupt)
            throws Exception {
        try (Fleet fleet = new Fleet()) {
            StandIn banned = fleet.writers.get(0);
            Path state = fleet.folder.resolve(Conductor.NAME + ".state");
            Files.write(
                    state,
                    corrupt.apply(StateCodec.encode(
                            Conductor.NAME,
                            SharedState.EMPTY.withBan(serverId(banned), true, Instant.now()),
                            Instant.now())));
            Conductor conductor = fleet.startNext();
            assertTrue(conductor.isHealthy());
            if (reason == null) {
                fleet.assertBanned(banned);
            } else {
                String logLine = "n0.state is not taken: " + reason + System.lineSeparator();
                assertTrue(conductor.hasLogged(logLine), Files.readString(conductor.logFile));
                fleet.awaitUsedAgain(banned);
            }
            StateCodec.decode(Conductor.NAME, Files.readAllBytes(state)); // has been replaced by a valid file
        }
    }
}

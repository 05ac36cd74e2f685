package copperbeam.sockets;

import static copperbeam.sockets.OperatorsTest.metrics;
import static copperbeam.sockets.Site.attempts;
import static copperbeam.sockets.Site.await;
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
    private static final int STREAM_MS = 100;
    private static final String BEAT = "data: beat\n\n";

    /** The servers, and the processes of one conductor in the order of their start. */
    private static final class Fleet implements AutoCloseable {
        final StandIn reader = new StandIn(Site::read);
        final List<StandIn> writers = new ArrayList<>();
        final StandIn discovery;
        final CountDownLatch told = new CountDownLatch(1); // opened when lateDiscovery may answer
        private volatile CountDownLatch held = new CountDownLatch(1); // opened when the streams of requests "held..." may end
        final Path folder = Files.createTempDirectory("conductor");
        final List<Conductor> all = new ArrayList<>();
        private final Path operator = folder.resolve("operator.json");
        private StandIn lateDiscovery;

        Fleet() throws IOException {
            for (int i = 0; i < 2; i++) {
                writers.add(new StandIn(attempts(this::write)));
            }
            discovery = Conductor.discovery(reader, writers.toArray(StandIn[]::new));
            // a stop that waits for the streams that the test holds, so that the result does not depend on the machine's speed
            Files.writeString(operator, "{\"stop\":{\"within_s\":40}}");
        }

        private void write(Line.Message m, Line line) throws Exception {
            line.beginStream().chunk("data: first\n\n");
            if (m.header("X-Request-ID").startsWith("held")) {
                while (!held.await(200, TimeUnit.MILLISECONDS)) {
                    line.chunk(BEAT); // a stream without data for 4 s is aborted
                }
            } else if (m.header("X-Request-ID").startsWith("load")) {
                Thread.sleep(STREAM_MS);
            }
            line.chunk(Site.EVENTS).lastChunk();
        }

        Conductor start(StandIn list) throws IOException {
            String[] more = {"--operator", operator.toString()};
            all.add(all.isEmpty() ? new Conductor(list, folder, more) : new Conductor(list, all.get(0), more));
            return all.get(all.size() - 1);
        }

        /** Starts a process and waits until it is ready and the one before has stopped listening. */
        Conductor next() throws Exception {
            return alone(start(discovery));
        }

        /** Starts a process that the others know of, and that gets no server list before {@link #listAvailable} is open. */
        Conductor late() throws Exception {
            lateDiscovery = Conductor.discovery(reader, writers.toArray(StandIn[]::new));
            StandIn.Script list = lateDiscovery.script;
            lateDiscovery.script = (m, line) -> {
                told.await();
                list.run(m, line);
            };
            Conductor late = start(lateDiscovery);
            await("answers at its admin address", Conductor.START_MS, () -> late.call("PING").equals("NAK not ready\n"));
            return late;
        }

        Conductor alone(Conductor one) throws Exception {
            one.awaitReady();
            await("the only listener at the address", () -> one.listeners() == 1);
            return one;
        }

        Line client() throws IOException {
            return new Line(all.get(0).address);
        }

        /** Opens a stream that gets its first event and then only heartbeats. */
        Line hold() throws Exception {
            Line client = client();
            client.send(request("held" + System.nanoTime(), "ask", "60000m", "prompt_len=40", "{}"))
                    .head();
            assertEquals(client.readChunk(), "data: first\n\n");
            return client;
        }

        /** Lets held streams go on, and checks that each arrives complete. */
        void release(Line... streams) throws IOException {
            held.countDown();
            for (Line stream : streams) {
                StringBuilder rest = new StringBuilder();
                String event = stream.readChunk();
                for (; event != null && !event.isEmpty(); event = stream.readChunk()) {
                    rest.append(event);
                }
                assertEquals(rest.toString().replace(BEAT, "") + (event == null ? "" : "broken"), Site.EVENTS);
            }
            held = new CountDownLatch(1);
        }

        /** The phases of the processes, from the shared state file. */
        List<SharedState.Phase> phases() {
            try {
                return StateCodec.read(Conductor.NAME, Files.readAllBytes(folder.resolve(Conductor.NAME + ".state")))
                        .lives()
                        .values()
                        .stream()
                        .map(SharedState.Life::phase)
                        .toList();
            } catch (IOException | StateCodec.Refused e) {
                throw new AssertionError(e);
            }
        }

        /** Sends {@code count} requests, each on a new connection, and checks that each is answered. */
        void ask(int count) throws Exception {
            for (int i = 0; i < count; i++) {
                try (Line client = client()) {
                    assertEquals(client.send(request("ask", 8000)).read().status(), 200);
                }
            }
        }

        /** Checks that a banned server gets no request while other servers do. */
        void holdsOut(StandIn out) throws Exception {
            long before = out.attempts();
            ask(10);
            assertEquals(out.attempts(), before, "sent to a banned server");
        }

        void usesAgain(StandIn server) throws Exception {
            long before = server.attempts();
            await("used again", () -> {
                try {
                    ask(1);
                } catch (Exception e) {
                    throw new AssertionError(e);
                }
                return server.attempts() > before;
            });
        }

        /** Checks that the process's metrics agree with what clients and servers count from now on. */
        void countsTruly(Conductor one) throws Exception {
            Map<String, Long> before = metrics(one.door);
            long sent = sent();
            ask(10);
            Map<String, Long> now = metrics(one.door);
            String answered = "transactions.ask.answered";
            assertEquals(now.get(answered) - before.get(answered), 10, answered);
            assertEquals(now.get("sends") - before.get("sends"), sent() - sent, "sends");
            assertEquals(now.get("current"), before.get("current"), "current");
        }

        private long sent() {
            return reader.attempts()
                    + writers.stream().mapToLong(StandIn::attempts).sum();
        }

        @Override
        public void close() throws IOException {
            told.countDown();
            held.countDown();
            all.forEach(Conductor::close);
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
        final List<String> sends = new CopyOnWriteArrayList<>();
        final AtomicInteger answered = new AtomicInteger();
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean over;

        Load(Fleet fleet) {
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                threads.add(new Thread(() -> run(fleet, number)));
                threads.get(i).start();
            }
        }

        private void run(Fleet fleet, int number) {
            Line line = null;
            for (int i = 0; !over; i++) {
                String id = "load" + number + "-" + i;
                String requestClass = number % 3 == 0 ? "ask" : "send";
                try {
                    line = line == null ? fleet.client() : line;
                    if (requestClass.equals("send")) {
                        sends.add(id);
                    }
                    Line.Message answer = line.send(request(id, requestClass, "8000m", "prompt_len=40", "{}"))
                            .read();
                    if (answer == null
                            || answer.status() != 200
                            || !answer.whole()
                            || !answer.text().equals("data: first\n\n" + Site.EVENTS)) {
                        faults.add(id + ": " + (answer == null ? "closed" : answer.start() + " " + answer.text()));
                    }
                    answered.incrementAndGet();
                    if (number % 2 == 0 || answer == null || "close".equals(answer.header("Connection"))) {
                        line.close();
                        line = null;
                    }
                } catch (IOException e) {
                    faults.add(id + ": " + e);
                    line = null;
                }
            }
        }

        void goesOn() throws InterruptedException {
            int from = answered.get();
            await("clients are served", () -> answered.get() > from + 5 * CLIENTS || !faults.isEmpty());
            assertTrue(faults.isEmpty(), faults.toString());
        }

        void end() throws InterruptedException {
            over = true;
            for (Thread t : threads) {
                t.join();
            }
            assertTrue(faults.isEmpty(), faults.toString());
        }
    }

    private static void endsByItself(Conductor one) throws Exception {
        assertTrue(one.process.waitFor(Line.PATIENCE_MS, TimeUnit.MILLISECONDS), "the process did not end");
        assertEquals(one.process.exitValue(), 0);
    }

    private static String id(StandIn server) {
        return "s" + server.address().getPort();
    }

    /** Three processes, each of which replaces the one before, without an effect on clients. */
    @Test
    public void clientsSeeNothingOfUpgrades() throws Exception {
        try (Fleet fleet = new Fleet()) {
            Conductor old = fleet.next();
            assertEquals(old.call("DETACH " + id(fleet.writers.get(0))), "ACK\n");
            Load load = new Load(fleet);
            load.goesOn();
            for (int i = 0; i < 2; i++) {
                try (Line open = fleet.hold()) {
                    Conductor next = fleet.next();
                    load.goesOn();
                    assertTrue(metrics(next.door).get("transactions.send.answered") > 0);
                    old.signal("TERM");
                    Conductor stopping = old;
                    await("the old process stops", () -> !stopping.ready());
                    load.goesOn();
                    assertTrue(old.process.isAlive(), "a stream is open");
                    fleet.release(open);
                    endsByItself(old);
                    old = next;
                }
                load.goesOn();
            }
            load.end();
            assertEquals(fleet.writers.get(0).attempts(), 0, "banned since the first process");
            for (StandIn server : List.of(fleet.reader, fleet.writers.get(1))) {
                Map<String, Long> times = server.seen.stream()
                        .filter(m -> m.method().equals("POST"))
                        .collect(Collectors.groupingBy(m -> m.header("X-Request-ID"), Collectors.counting()));
                load.sends.forEach(id -> assertEquals(times.get(id), Long.valueOf(1), id));
            }
        }
    }

    /** How far the upgrade has come when one of the processes is killed. */
    private enum Step {
        STARTING,
        SERVING,
        LEAVING,
        IDLE
    }

    @DataProvider
    public Object[][] kills() {
        return Stream.of(Step.values())
                .flatMap(s -> Stream.of(new Object[] {s, true}, new Object[] {s, false}))
                .toArray(Object[][]::new);
    }

    /**
     * Whichever process is killed, and when: the other one serves, keeps the ban that an operator ordered at the old one, and its
     * metrics are right.
     */
    @Test(dataProvider = "kills")
    public void theOtherGoesOn(Step step, boolean killOld) throws Exception {
        try (Fleet fleet = new Fleet()) {
            StandIn out = fleet.writers.get(0);
            Conductor old = fleet.next();
            assertEquals(old.call("DETACH " + id(out)), "ACK\n");
            Line oldStream = step == Step.IDLE ? null : fleet.hold();
            Conductor next = step == Step.STARTING ? fleet.late() : fleet.next();
            Line newStream = step == Step.SERVING || step == Step.LEAVING ? fleet.hold() : null;
            if (step == Step.LEAVING) {
                old.signal("TERM");
                await("the old process stops", () -> !old.ready());
            }
            (killOld ? old : next).process.destroyForcibly().waitFor();
            Conductor left = killOld ? next : old;
            fleet.told.countDown();
            await("the remaining process listens", () -> left.listeners() == 1);
            boolean stops = left == old && step == Step.LEAVING;
            await("healthy unless it is stopping", () -> left.healthy() == !stops);
            fleet.holdsOut(out);
            if (stops) {
                fleet.release(oldStream);
                endsByItself(old);
                return;
            }
            Line stream = killOld ? newStream : oldStream;
            if (stream != null) {
                fleet.release(stream);
            }
            await("nothing is open", () -> metrics(left.door).get("current") == 0);
            fleet.countsTruly(left);
            await("the shared state says SERVING", () -> fleet.phases().equals(List.of(SharedState.Phase.SERVING)));
            assertEquals(out.attempts(), 0, "banned since before the kill");
            assertEquals(left.call("ATTACH " + id(out)), "ACK\n");
            fleet.usesAgain(out);
            if (step == Step.SERVING && !killOld) {
                fleet.next(); // the failed upgrade is repeated
                fleet.ask(10);
            }
        }
    }

    /** Process 0 is the old one, 1 the new one: at which the ban is ordered and lifted, and at which the drain. */
    @DataProvider
    public Object[][] doors() {
        return new Object[][] {{0, 1}, {1, 0}};
    }

    /** An order that is given to one process takes effect in both; each call is executed and logged once. */
    @Test(dataProvider = "doors")
    public void whatIsSaidHoldsForBoth(int said, int back) throws Exception {
        try (Fleet fleet = new Fleet()) {
            StandIn out = fleet.writers.get(0);
            List<Conductor> both = List.of(fleet.next(), fleet.next());
            // the second call may come before the first has spread to the other process
            assertEquals(both.get(said).call("DETACH " + id(out)), "ACK\n");
            assertEquals(both.get(back).call("LAMEDUCK"), "ACK\n");
            for (Conductor one : both) {
                await("one server banned", () -> metrics(one.door).get("cluster_unhealthy") == 1);
            }
            await("drained", () -> !both.get(1).healthy());
            fleet.holdsOut(out);
            assertEquals(both.get(back).call("REJOIN"), "ACK\n");
            assertEquals(both.get(said).call("ATTACH " + id(out)), "ACK\n");
            for (Conductor one : both) {
                await("no server banned", () -> metrics(one.door).get("cluster_unhealthy") == 0);
                assertTrue(one.ready());
            }
            await("back at work", both.get(1)::healthy);
            fleet.usesAgain(out);
            for (String call : List.of("DETACH " + id(out), "LAMEDUCK", "REJOIN", "ATTACH " + id(out))) {
                Conductor at = both.get(call.equals("LAMEDUCK") || call.equals("REJOIN") ? back : said);
                assertEquals(
                        Files.readAllLines(at.log).stream()
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
            Conductor old = fleet.next();
            assertEquals(old.call("LAMEDUCK"), "ACK\n");
            Conductor next = fleet.next();
            assertFalse(next.healthy());
            old.signal("TERM");
            endsByItself(old);
            assertFalse(next.healthy());
            assertTrue(next.ready());
            fleet.ask(3);
            assertEquals(next.call("REJOIN"), "ACK\n");
            await("back at work", next::healthy);
        }
    }

    /** If no other process is ready yet, the old one stops as usual, and the new one starts to listen once it is ready. */
    @Test
    public void aStopBeforeTheNewOneIsReady() throws Exception {
        try (Fleet fleet = new Fleet()) {
            Conductor old = fleet.next();
            Conductor next = fleet.late();
            fleet.ask(3);
            assertEquals(old.listeners(), 1, "the new one is not ready");
            try (Line open = fleet.hold()) {
                old.signal("TERM");
                await("the old process stops", () -> !old.ready());
                assertFalse(old.healthy());
                fleet.ask(3);
                fleet.release(open);
            }
            endsByItself(old);
            assertEquals(next.listeners(), 0);
            fleet.told.countDown();
            fleet.alone(next);
            assertTrue(next.healthy());
            fleet.countsTruly(next);
        }
    }

    /**
     * Guards against a stopping process that begins to listen beside the one that serves: its server list arrives only after the
     * signal.
     */
    @Test
    public void aStopBeforeItIsReadyNeverListens() throws Exception {
        try (Fleet fleet = new Fleet()) {
            Conductor old = fleet.next();
            Conductor next = fleet.late();
            await("it handles the signal itself", () -> next.logged(" listens on "));
            next.signal("TERM");
            await("the shared state says LEAVING", () -> fleet.phases().contains(SharedState.Phase.LEAVING));
            fleet.told.countDown();
            while (next.process.isAlive()) {
                assertEquals(old.listeners(), 1);
            }
            fleet.ask(3);
        }
    }

    /** State files that contain a ban, which must take effect only in the last case. */
    @DataProvider
    public Object[][] files() {
        return new Object[][] {
            {
                "not a copperbeam state file",
                (UnaryOperator<byte[]>) whole -> {
                    byte[] any = whole.clone();
                    new Random(3).nextBytes(any);
                    return any;
                }
            },
            {"truncated", (UnaryOperator<byte[]>) whole -> Arrays.copyOf(whole, whole.length - 1)},
            {"another conductor's", (UnaryOperator<byte[]>) whole -> file("n1", whole)},
            {null, UnaryOperator.identity()},
        };
    }

    private static byte[] file(String conductor, byte[] whole) {
        try {
            return StateCodec.write(conductor, StateCodec.read(Conductor.NAME, whole), Instant.now());
        } catch (StateCodec.Refused e) {
            throw new AssertionError(e);
        }
    }

    /** {@code reason} null: the file is valid and used. */
    @Test(dataProvider = "files")
    public void whatIsNotOursIsNotTaken(String why, UnaryOperator<byte[]> spoil) throws Exception {
        try (Fleet fleet = new Fleet()) {
            StandIn out = fleet.writers.get(0);
            Path state = fleet.folder.resolve(Conductor.NAME + ".state");
            Files.write(
                    state,
                    spoil.apply(StateCodec.write(
                            Conductor.NAME, SharedState.EMPTY.ban(id(out), true, Instant.now()), Instant.now())));
            Conductor one = fleet.next();
            assertTrue(one.healthy());
            if (why == null) {
                fleet.holdsOut(out);
            } else {
                String said = "n0.state is not taken: " + why + System.lineSeparator();
                assertTrue(one.logged(said), Files.readString(one.log));
                fleet.usesAgain(out);
            }
            StateCodec.read(Conductor.NAME, Files.readAllBytes(state)); // has been replaced by a valid file
        }
    }
}

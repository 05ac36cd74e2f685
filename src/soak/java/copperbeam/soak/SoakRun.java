package copperbeam.soak;

import copperbeam.soak.ServerStandIn.Mood;
import copperbeam.soak.TroublePlan.Trouble;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.UnaryOperator;

/** One seed: a fleet of conductors between stand-ins, the troubles of its {@link TroublePlan}, and the verdict. */
public final class SoakRun implements AutoCloseable {
    /** How large and how long; {@code plant}: a fault that the oracle has to find, or null. */
    public record Size(int conductors, int clients, int readers, int writers, long lengthMs, Plant plant) {}

    /** A fault planted in what conductors send, so that the oracle can be seen to find it. */
    public enum Plant {
        /** Servers are told 2 s too much. */
        TELL_TOO_MUCH(Mood.WELL, text -> text.replaceAll("X-Timeout: (\\d+)m", "X-Timeout: 2$1m")),
        /** Releases reach another request's state. */
        MISPLACED_RELEASES(Mood.TURNS_AWAY, text -> text.replace("DELETE /state/", "DELETE /state/x")),
        /** What a client sends under one id reaches servers under another. */
        OTHER_IDS(Mood.WELL, text -> text.replace("X-Request-ID: ", "X-Request-ID: other-"));

        private final Mood writers; // by which the fault comes to bear
        private final UnaryOperator<String> change;

        Plant(Mood writers, UnaryOperator<String> change) {
            this.writers = writers;
            this.change = change;
        }
    }

    private static final long READY_MS = 10_000;
    private static final long LAST_NEW_MS = 300; // after SIGTERM; so long new connections keep coming
    private static final long SLACK_MS = 150; // a machine with ten JVMs on it sees things late
    private static final int[] CLOCK_STEPS_S = {-3600, -7, -2, 2, 7, 3600};
    private static final int[] NETWORK_ERRORS = {99, 101, 103, 105, 110, 113, 23}; // from EADDRNOTAVAIL to ENFILE
    private static final int[] DISK_ERRORS = {5, 28}; // EIO, ENOSPC
    private static final int CROWD = 150;
    private static final int LARGE_CROWD = 400; // more than a conductor has descriptors for
    private static final int CROWD_EACH = 4; // runs; one of them has a large crowd throughout
    private static final int CROWD_LOOK_MS = 50;
    private static final int HOLD_UP_MS = 150; // which the pages have a busy core do
    private static final int SIGNAL_PAUSE_MS = 400; // at most, between the signals of a series
    private static final double ROLE_SHARE = 0.8; // of one role's servers fall silent together
    private static final long AROUND_NS = 2_000_000_000L; // of troubles before and after what they may have caused
    private static final int LEAST_SHORT =
            100; // bytes; fewer make a body of 200 KB a matter of seconds of processor time
    private static final int MOST_SHORT = 2000;

    private final long seed;
    private final Size size;
    private final Random random;
    private final SoakSettings settings;
    private final SoakSite site;
    private final AtomicBoolean over = new AtomicBoolean();
    private final Lateness lateness = new Lateness();
    private final Map<String, AtomicBoolean> busy = new ConcurrentHashMap<>(); // conductors that are stopped or started

    /** {@code folder}: where the processes' logs and recordings stay. */
    public SoakRun(long seed, Size size, Path folder) throws IOException {
        this.seed = seed;
        this.size = size;
        random = new Random(seed);
        settings = size.plant() == null
                ? SoakSettings.draw(random, size.conductors(), seed % 2 == 0)
                : SoakSettings.usual(size.conductors(), seed % 2 == 0);
        site = new SoakSite(new Random(random.nextLong()), size.plant() == null ? null : size.plant().change);
        for (int i = 0; i < size.conductors(); i++) {
            busy.put(site.addConductor(folder, i % 2 == 1, settings.text()).name, new AtomicBoolean());
        }
        for (int i = 0; i < size.readers() + size.writers(); i++) {
            Role role = i < size.readers() ? Role.READER : Role.WRITER;
            ServerStandIn server = site.addServer(role, 0);
            server.mood = size.plant() != null && role == Role.WRITER ? size.plant().writers : Mood.WELL;
        }
    }

    /** Plays the run; the rules that were broken. */
    public List<Violation> play() throws IOException, InterruptedException {
        site.start();
        Daemon.start("lateness", () -> lateness.measure(over));
        TroublePlan plan = TroublePlan.draw(random, size.lengthMs());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < size.clients(); i++) {
            ClientDriver client = new ClientDriver(
                    "r" + seed + "-" + i,
                    site.conductors,
                    settings.longestDeadlineMs(),
                    site.history,
                    new Random(random.nextLong()),
                    over);
            clients.add(Daemon.start("client", client::run));
        }
        if (seed % CROWD_EACH == 1 && size.plant() == null) {
            site.conductors.forEach(c -> Daemon.start("crowd", () -> keepCrowd(c)));
        }
        long began = System.nanoTime();
        List<Thread> running = new ArrayList<>();
        for (Trouble trouble : plan.troubles()) {
            sleepUntil(began, trouble.fromMs());
            running.add(Daemon.start("trouble", () -> {
                site.history.add(new Observation.Troubled(System.nanoTime(), trouble, true));
                carryOut(trouble);
                site.history.add(new Observation.Troubled(System.nanoTime(), trouble, false));
            }));
        }
        sleepUntil(began, size.lengthMs());
        for (Thread thread : running) {
            thread.join();
        }
        over.set(true);
        for (Thread thread : clients) {
            thread.join();
        }
        for (ConductorProcess conductor : site.conductors) {
            end(conductor);
        }
        return Oracle.judge(site.history.inOrder(), settings.terms(SLACK_MS + lateness.worstMs()));
    }

    /** What was seen of the subject of a broken rule, with the troubles of that time; times in ms from the first line. */
    public List<String> evidence(Violation violation) {
        List<Observation> all = site.history.inOrder();
        List<Observation> own = all.stream()
                .filter(o -> !(o instanceof Observation.Troubled)
                        && o.toString().matches("(?s).*[=]" + violation.subject() + "[],].*"))
                .toList();
        if (own.isEmpty()) {
            return List.of();
        }
        long from = own.get(0).at() - AROUND_NS;
        long to = own.get(own.size() - 1).at() + AROUND_NS;
        return all.stream()
                .filter(o -> own.contains(o) || o instanceof Observation.Troubled && o.at() > from && o.at() < to)
                .map(o -> String.format("%9.3f %s", (o.at() - own.get(0).at()) / 1e6, o))
                .toList();
    }

    /** How late the stand-ins were at worst, as the machine had other work: so much more the oracle bears. */
    public long worstLatenessMs() {
        return lateness.worstMs();
    }

    /** So many requests got a whole 200. */
    public long served() {
        return site.history.inOrder().stream()
                .filter(o -> o instanceof Observation.Answered a && a.status() == 200 && a.whole())
                .count();
    }

    /** So many requests were sent. */
    public long sent() {
        return site.history.inOrder().stream()
                .filter(Observation.Sent.class::isInstance)
                .count();
    }

    private static void sleepUntil(long began, long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms - (System.nanoTime() - began) / 1_000_000));
    }

    private <T> T pick(List<T> from, int target) {
        return from.get(target % from.size());
    }

    private void carryOut(Trouble t) throws IOException, InterruptedException {
        ConductorProcess conductor = pick(site.conductors, t.target());
        ServerStandIn server = pick(site.listed(), t.target());
        switch (t.kind()) {
            case SERVER_MOOD -> {
                server.mood = Mood.values()[t.draw() % Mood.values().length];
                Thread.sleep(t.lengthMs());
                server.mood = Mood.WELL;
            }
            case SERVER_CUT_OFF ->
                network(
                        site.conductors.stream()
                                .map(c -> site.proxy(c, server.id))
                                .toList(),
                        FaultProxy.Mode.SILENT,
                        t);
            case CONDUCTOR_CUT_OFF ->
                network(
                        site.listed().stream()
                                .filter(s ->
                                        t.draw() % 3 == 0 || s.role == (t.draw() % 3 == 1 ? Role.READER : Role.WRITER))
                                .map(s -> site.proxy(conductor, s.id))
                                .toList(),
                        FaultProxy.Mode.SILENT,
                        t);
            case ROLE_CUT_OFF -> network(proxiesOfMost(Role.values()[t.draw() % 2]), FaultProxy.Mode.SILENT, t);
            case HELD_UP -> holdUp(conductor);
            case NETWORK_LATE -> network(site.proxiesOf(server), FaultProxy.Mode.LATE, t);
            case NETWORK_TRICKLES -> network(site.proxiesOf(server), FaultProxy.Mode.TRICKLE, t);
            case CONNECTIONS_RESET -> site.proxiesOf(server).forEach(FaultProxy::resetAll);
            case SERVER_REPLACED -> replace(server, t);
            case DISCOVERY -> {
                DiscoveryAgent agent = site.agent(conductor);
                agent.mode = DiscoveryAgent.Mode.values()[1 + t.draw() % (DiscoveryAgent.Mode.values().length - 1)];
                Thread.sleep(t.lengthMs());
                agent.mode = DiscoveryAgent.Mode.UP;
            }
            case RELOAD -> {
                // a process that has not begun its main method is ended by the signal, which nobody can change there
                boolean starts = busy.get(conductor.name).get();
                for (int signals = starts ? 0 : 1 + t.draw() % 3; signals > 0; signals--) {
                    site.newAgent(conductor);
                    ConductorProcess.signal(conductor.process(), "HUP");
                    Thread.sleep(t.target() % SIGNAL_PAUSE_MS);
                }
            }
            case CLOCK_STEP -> site.stepClock(Duration.ofSeconds(CLOCK_STEPS_S[t.draw() % CLOCK_STEPS_S.length]));
            case SYSTEM_CALLS -> systemCalls(conductor, t);
            case SHORT_IO -> {
                conductor.shim.shortIo(LEAST_SHORT + t.draw() % MOST_SHORT);
                Thread.sleep(t.lengthMs());
                conductor.shim.shortIo(0);
            }
            case DISK -> {
                conductor.shim.fail(Fault.FILE_WRITE, DISK_ERRORS[t.draw() % DISK_ERRORS.length], Long.MAX_VALUE);
                Thread.sleep(t.lengthMs());
                conductor.shim.fail(Fault.FILE_WRITE, 0, 0);
            }
            case CLIENT_CROWD -> crowd(conductor, t);
            case CONDUCTOR_STOPPED, CONDUCTOR_KILLED, CONDUCTOR_UPGRADED -> {
                if (busy.get(conductor.name).compareAndSet(false, true)) {
                    renew(conductor, t);
                    busy.get(conductor.name).set(false);
                }
            }
            default -> throw new AssertionError(t.kind());
        }
    }

    /** Those between all conductors and four in five of one role's servers, as where a rack loses its uplink. */
    private List<FaultProxy> proxiesOfMost(Role role) {
        List<ServerStandIn> all =
                site.listed().stream().filter(s -> s.role == role).toList();
        return all.subList(0, (int) Math.ceil(all.size() * ROLE_SHARE)).stream()
                .flatMap(s -> site.proxiesOf(s).stream())
                .toList();
    }

    private static void holdUp(ConductorProcess conductor) throws IOException, InterruptedException {
        Process process = conductor.process();
        ConductorProcess.signal(process, "STOP");
        Thread.sleep(HOLD_UP_MS);
        ConductorProcess.signal(process, "CONT");
    }

    private static void network(List<FaultProxy> which, FaultProxy.Mode mode, Trouble t)
            throws IOException, InterruptedException {
        for (FaultProxy proxy : which) {
            proxy.mode(mode);
        }
        Thread.sleep(t.lengthMs());
        for (FaultProxy proxy : which) {
            proxy.mode(FaultProxy.Mode.PASS);
        }
    }

    /** One that keeps its role has to stay, as nothing is served without it. */
    private void replace(ServerStandIn server, Trouble t) throws IOException, InterruptedException {
        synchronized (site.fleet) {
            if (site.listed().stream().filter(s -> s.role == server.role).count() < 2) {
                return;
            }
            site.fleet.put(
                    server.id, server.role, "leaving", site.fleet.get(server.id).startedMs());
        }
        site.addServer(server.role, site.wallClockMs());
        Thread.sleep(t.lengthMs() + 1500);
        site.fleet.put(server.id, server.role, "left", site.fleet.get(server.id).startedMs());
    }

    private void systemCalls(ConductorProcess conductor, Trouble t) throws InterruptedException {
        int error = NETWORK_ERRORS[t.draw() % NETWORK_ERRORS.length];
        Fault fault = List.of(Fault.ACCEPT, Fault.CONNECT, Fault.SOCKET).get(t.target() % 3);
        conductor.shim.fail(fault, error, Long.MAX_VALUE);
        Thread.sleep(Math.min(t.lengthMs(), 600));
        conductor.shim.fail(fault, 0, 0);
    }

    private void crowd(ConductorProcess conductor, Trouble t) throws InterruptedException {
        List<HttpConnection> idle = new ArrayList<>();
        try {
            for (int i = 0; i < CROWD; i++) {
                idle.add(HttpConnection.to(conductor.address, 200));
            }
        } catch (IOException e) {
            Thread.yield(); // no more are taken
        }
        Thread.sleep(t.lengthMs());
        for (HttpConnection connection : idle) {
            try {
                connection.close();
            } catch (IOException e) {
                continue; // it was closed
            }
        }
    }

    /** Idle clients, more than there is room for, who come again as they are let go; until the run is over. */
    private void keepCrowd(ConductorProcess conductor) throws InterruptedException {
        Deque<HttpConnection> idle = new ArrayDeque<>();
        while (!over.get()) {
            if (!conductor.takesClients()) {
                Thread.sleep(CROWD_LOOK_MS);
                continue;
            }
            try {
                idle.add(HttpConnection.to(conductor.address, CROWD_LOOK_MS));
                if (idle.size() > LARGE_CROWD) {
                    idle.poll().close();
                }
            } catch (IOException e) {
                Thread.sleep(CROWD_LOOK_MS); // no more are taken now
            }
        }
    }

    private void renew(ConductorProcess conductor, Trouble t) throws IOException, InterruptedException {
        if (t.kind() == TroublePlan.Kind.CONDUCTOR_UPGRADED && conductor.operated()) {
            Process before = conductor.process();
            conductor.start();
            ready(conductor);
            stop(conductor, before);
            return;
        }
        if (t.kind() == TroublePlan.Kind.CONDUCTOR_KILLED) {
            site.history.add(new Observation.Killed(System.nanoTime(), conductor.name));
            conductor.process().destroyForcibly().waitFor();
            conductor.takesClients(false);
            Thread.sleep(t.lengthMs());
        } else {
            Process before = conductor.process();
            Daemon.start("front", () -> {
                Thread.sleep(LAST_NEW_MS);
                conductor.takesClients(false);
            });
            stop(conductor, before);
            Thread.sleep(LAST_NEW_MS);
        }
        conductor.configure(site.agent(conductor).host());
        conductor.start();
        ready(conductor);
        conductor.takesClients(true);
    }

    private void ready(ConductorProcess conductor) throws InterruptedException {
        long passed = conductor.awaitReady(SoakSite.START_MS);
        if (passed < 0 || passed > READY_MS) {
            site.history.add(new Observation.NotReady(
                    System.nanoTime(), conductor.name, passed < 0 ? SoakSite.START_MS : passed));
        }
    }

    private void stop(ConductorProcess conductor, Process which) throws IOException, InterruptedException {
        boolean lived = which.isAlive();
        long began = System.nanoTime();
        ConductorProcess.signal(which, "TERM");
        Thread more = Daemon.start("signals", () -> signalAgain(which));
        boolean ended = ConductorProcess.awaitEnd(which, settings.killMs());
        more.interrupt();
        if (!ended) {
            site.history.add(new Observation.Overstayed(System.nanoTime(), conductor.name));
            site.history.add(new Observation.Killed(System.nanoTime(), conductor.name));
            which.destroyForcibly().waitFor();
            return;
        }
        long since = (System.nanoTime() - began) / 1_000_000;
        int code = which.exitValue();
        site.history.add(new Observation.Exited(System.nanoTime(), conductor.name, code, lived, since));
    }

    /** Further signals within a stop change nothing of it. */
    private static void signalAgain(Process which) throws IOException, InterruptedException {
        for (String signal : List.of("HUP", "TERM", "HUP", "TERM")) {
            Thread.sleep(SIGNAL_PAUSE_MS / 2);
            if (which.isAlive()) {
                ConductorProcess.signal(which, signal);
            }
        }
    }

    private void end(ConductorProcess conductor) throws IOException, InterruptedException {
        stop(conductor, conductor.process());
    }

    @Override
    public void close() {
        over.set(true);
        site.close();
    }
}

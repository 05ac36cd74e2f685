package copperbeam.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

/**
 * The processes of a run: conductors, stand-ins of servers and of discovery, and a {@link FaultProxy} between each conductor and
 * each server.
 */
final class SoakSite implements AutoCloseable {
    static final long START_TIMEOUT_MS = 30_000; // the time the platform grants a process to become ready

    final History history = new History();
    final Fleet fleet = new Fleet();
    final List<ConductorProcess> conductors = new ArrayList<>();
    final Map<String, ServerStandIn> servers = new ConcurrentHashMap<>();
    private final Map<String, FaultProxy> proxies = new ConcurrentHashMap<>(); // by "conductor server"
    private final Map<String, DiscoveryAgent> agents = new ConcurrentHashMap<>(); // by the conductor's name
    private final List<EtcdAgent> etcdAgents = new ArrayList<>();
    private final ReadStates readStates = new ReadStates(history);
    private final List<AutoCloseable> resources = new CopyOnWriteArrayList<>();
    private final AtomicInteger serverCounter = new AtomicInteger();
    private final Random random;
    private final UnaryOperator<String> requestChange;
    private volatile ServerStandIn.Behavior writerBehavior = ServerStandIn.Behavior.HEALTHY;
    private volatile int oddStreamInterval;
    private volatile long clockOffsetMs;

    /** {@code requestChange}: a deliberate defect, applied to what conductors send to servers; or null. */
    SoakSite(Random random, UnaryOperator<String> requestChange) {
        this.random = random;
        this.requestChange = requestChange;
    }

    /** To be called before the first server is added. {@code hasControl}: the process listens for operators' commands. */
    ConductorProcess addConductor(Path folder, boolean hasControl, String settings) throws IOException {
        String name = "n" + conductors.size();
        ConductorProcess conductor = new ConductorProcess(name, folder.resolve(name), hasControl, settings);
        conductors.add(conductor);
        resources.add(conductor);
        return conductor;
    }

    /** Sets how writers that are added from now on behave while no trouble concerns them. */
    void setWriterBehavior(ServerStandIn.Behavior behavior) {
        writerBehavior = behavior;
    }

    /** See {@link ServerStandIn#oddStreamInterval}; for writers that are added from now on. */
    void setOddStreamInterval(int interval) {
        oddStreamInterval = interval;
    }

    ServerStandIn addServer(Role role, long startedMs) throws IOException {
        String id = "s-" + serverCounter.incrementAndGet();
        ServerStandIn server = new ServerStandIn(
                id,
                role,
                role == Role.WRITER ? writerBehavior : ServerStandIn.Behavior.HEALTHY,
                history,
                readStates,
                random.nextLong());
        server.oddStreamInterval = role == Role.WRITER ? oddStreamInterval : 0;
        resources.add(server);
        for (ConductorProcess conductor : conductors) {
            FaultProxy proxy = new FaultProxy(conductor.name, server.address());
            proxy.requestChange = requestChange;
            proxies.put(conductor.name + " " + id, proxy);
            resources.add(proxy);
        }
        servers.put(id, server);
        fleet.put(id, role, "active", startedMs);
        return server;
    }

    /** Starts a discovery agent at a new address and writes that address into the conductor's configuration file. */
    DiscoveryAgent newAgent(ConductorProcess conductor) throws IOException {
        DiscoveryAgent agent = new DiscoveryAgent(
                conductor.name, fleet, id -> proxy(conductor, id).hostAndPort(), history);
        agents.put(conductor.name, agent);
        resources.add(agent);
        conductor.configure(agent.hostAndPort());
        return agent;
    }

    DiscoveryAgent agent(ConductorProcess conductor) {
        return agents.get(conductor.name);
    }

    FaultProxy proxy(ConductorProcess conductor, String server) {
        return proxies.get(conductor.name + " " + server);
    }

    List<FaultProxy> proxiesOf(ServerStandIn server) {
        return conductors.stream().map(c -> proxy(c, server.id)).toList();
    }

    List<ServerStandIn> activeServers() {
        return servers.values().stream()
                .filter(s -> fleet.get(s.id).state().equals("active"))
                .sorted(Comparator.comparing(s -> s.id))
                .toList();
    }

    /** Has conductors read the list from an etcd each, instead of discovery; to be called before the start. */
    void useEtcd(long seed) throws IOException, InterruptedException {
        for (ConductorProcess conductor : conductors) {
            EtcdAgent agent = new EtcdAgent(
                    conductor.name, fleet, id -> proxy(conductor, id).hostAndPort(), history, seed + etcdAgents.size());
            etcdAgents.add(agent);
            resources.add(agent);
            conductor.useEtcd(agent.hostAndPort(), EtcdAgent.PREFIX);
        }
    }

    /** Begins the troubles of all etcds, if there are any, after {@code delayMs}. */
    void startEtcdTroubles(long delayMs) {
        etcdAgents.forEach(agent -> agent.startTroubles(delayMs));
    }

    /** Starts all conductors and waits until each is ready. */
    void start() throws IOException, InterruptedException {
        for (ConductorProcess conductor : conductors) {
            newAgent(conductor);
            conductor.start();
        }
        for (ConductorProcess conductor : conductors) {
            if (conductor.awaitReady(START_TIMEOUT_MS) < 0) {
                throw new IllegalStateException(conductor.name + " was not ready in time");
            }
            conductor.setTakesClients(true);
        }
    }

    long wallClockMs() {
        return System.currentTimeMillis() + clockOffsetMs;
    }

    /** Steps the wall clock of all conductors; the stand-ins' start times follow it too. */
    void stepClock(Duration by) {
        clockOffsetMs += by.toMillis();
        conductors.forEach(c -> c.shim.setClockOffset(Duration.ofMillis(clockOffsetMs)));
    }

    @Override
    public void close() {
        for (AutoCloseable resource : resources) {
            try {
                resource.close();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }
    }
}

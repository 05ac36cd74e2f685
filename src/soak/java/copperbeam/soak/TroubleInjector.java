package copperbeam.soak;

import copperbeam.soak.ServerStandIn.Behavior;
import copperbeam.soak.TroublePlan.Trouble;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * Injects the troubles of a {@link TroublePlan}. Each blocks the calling thread for its length and is undone at its end, except for
 * clock steps, restarts and replacements, which last.
 */
final class TroubleInjector {
    private static final int[] CLOCK_STEPS_S = {-3600, -7, -2, 2, 7, 3600};
    // EADDRNOTAVAIL, ENETUNREACH, ECONNABORTED, ENOBUFS, ETIMEDOUT, EHOSTUNREACH, ENFILE
    private static final int[] NETWORK_ERRORS = {99, 101, 103, 105, 110, 113, 23};
    private static final int[] DISK_ERRORS = {5, 28}; // EIO, ENOSPC
    private static final long MAX_FAILING_CALLS_MS = 600;
    private static final int IDLE_CLIENTS = 150; // idle clients
    private static final int STALL_MS = 150; // the stall that the documentation assumes for a busy core
    private static final int MAX_SIGNAL_PAUSE_MS = 400; // at most, between the signals of a series
    private static final double ROLE_SHARE = 0.8; // the part of one role's servers that becomes unreachable together
    private static final long DRAIN_MARGIN_MS = 1500; // a drain lasts this much longer than its trouble
    private static final int MIN_IO_BYTES =
            100; // bytes per call; with fewer a body of 200 KB takes seconds of processor time
    private static final int IO_BYTES_RANGE = 2000;
    private static final int MIN_LOSS_INTERVAL = 4; // of so many messages the last one makes its connection fall silent
    private static final int LOSS_INTERVAL_RANGE = 6;

    private final SoakSite site;
    private final Map<String, ConductorLife> conductorLives; // by the conductor's name
    private final ReachLog reachLog;

    TroubleInjector(SoakSite site, Map<String, ConductorLife> conductorLives) {
        this.site = site;
        reachLog = new ReachLog(site);
        this.conductorLives = conductorLives;
    }

    /** Injects one trouble and returns after its end; notes its beginning and its end in the history. */
    void carryOut(Trouble trouble) throws IOException, InterruptedException {
        site.history.add(new Observation.Troubled(System.nanoTime(), trouble, true));
        ConductorProcess conductor = pick(site.conductors, trouble);
        switch (trouble.kind()) {
            case RELOAD -> reload(conductor, trouble);
            case CLOCK_STEP -> site.stepClock(Duration.ofSeconds(CLOCK_STEPS_S[trouble.draw() % CLOCK_STEPS_S.length]));
            case HELD_UP -> stall(conductor);
            case DISCOVERY -> breakDiscovery(site.agent(conductor), trouble);
            case SYSTEM_CALLS -> failSystemCalls(conductor, trouble);
            case SHORT_IO -> shortenIo(conductor, trouble);
            case DISK ->
                failCalls(
                        conductor,
                        Fault.FILE_WRITE,
                        DISK_ERRORS[trouble.draw() % DISK_ERRORS.length],
                        trouble.lengthMs());
            case CLIENT_CROWD -> {
                long endNs = System.nanoTime() + trouble.lengthMs() * 1_000_000;
                new IdleClients(conductor, IDLE_CLIENTS).keepConnecting(() -> System.nanoTime() > endNs);
            }
            case ALL_RESTARTED -> site.activeServers().forEach(this::restart);
            case CONDUCTOR_STOPPED, CONDUCTOR_KILLED, CONDUCTOR_UPGRADED ->
                conductorLives.get(conductor.name).carryOut(trouble);
            default -> carryOutServerOrNetworkTrouble(conductor, pick(site.activeServers(), trouble), trouble);
        }
        reachLog.update(); // the list may have changed
        site.history.add(new Observation.Troubled(System.nanoTime(), trouble, false));
    }

    /** Injects the troubles of servers and of the network. */
    private void carryOutServerOrNetworkTrouble(ConductorProcess conductor, ServerStandIn server, Trouble trouble)
            throws IOException, InterruptedException {
        List<FaultProxy> serverProxies = site.proxiesOf(server);
        switch (trouble.kind()) {
            case SERVER_MOOD -> changeBehavior(server, trouble);
            case SERVER_REPLACED -> replace(server, trouble);
            case SERVER_CUT_OFF -> applyNetworkMode(serverProxies, FaultProxy.Mode.SILENT, trouble);
            case CONDUCTOR_CUT_OFF ->
                applyNetworkMode(proxiesToCutOff(conductor, trouble), FaultProxy.Mode.SILENT, trouble);
            case ROLE_CUT_OFF ->
                applyNetworkMode(
                        proxiesToRoleShare(Role.values()[trouble.draw() % 2]), FaultProxy.Mode.SILENT, trouble);
            case NETWORK_LATE -> applyNetworkMode(serverProxies, FaultProxy.Mode.NO_NEW_CONNECTIONS, trouble);
            case NETWORK_TRICKLES -> applyNetworkMode(serverProxies, FaultProxy.Mode.TRICKLE, trouble);
            case CONNECTIONS_RESET -> serverProxies.forEach(FaultProxy::resetAll);
            case CONNECTIONS_SILENT -> serverProxies.forEach(FaultProxy::silenceAll);
            case CONNECTIONS_LOSSY -> loseConnections(serverProxies, trouble);
            default -> throw new AssertionError(trouble.kind());
        }
    }

    private static <T> T pick(List<T> candidates, Trouble trouble) {
        return candidates.get(trouble.target() % candidates.size());
    }

    // ---- conductors ----------------------------------------------------------------------------

    /**
     * Gives the conductor a new address of discovery and has it reload, one to three times. Skips a conductor that is being started or
     * stopped: a JVM that hasn't reached its main method yet has no handler for the signal and is ended by it.
     */
    private void reload(ConductorProcess conductor, Trouble trouble) throws IOException, InterruptedException {
        boolean changing = conductorLives.get(conductor.name).changing();
        for (int signals = changing ? 0 : 1 + trouble.draw() % 3; signals > 0; signals--) {
            site.newAgent(conductor);
            ConductorProcess.signal(conductor.process(), "HUP");
            Thread.sleep(trouble.target() % MAX_SIGNAL_PAUSE_MS);
        }
    }

    private static void stall(ConductorProcess conductor) throws IOException, InterruptedException {
        Process process = conductor.process();
        ConductorProcess.signal(process, "STOP");
        Thread.sleep(STALL_MS);
        ConductorProcess.signal(process, "CONT");
    }

    private static void failSystemCalls(ConductorProcess conductor, Trouble trouble) throws InterruptedException {
        int error = NETWORK_ERRORS[trouble.draw() % NETWORK_ERRORS.length];
        Fault fault = List.of(Fault.ACCEPT, Fault.CONNECT, Fault.SOCKET).get(trouble.target() % 3);
        failCalls(conductor, fault, error, Math.min(trouble.lengthMs(), MAX_FAILING_CALLS_MS));
    }

    private static void failCalls(ConductorProcess conductor, Fault fault, int error, long lengthMs)
            throws InterruptedException {
        conductor.shim.fail(fault, error, Long.MAX_VALUE);
        Thread.sleep(lengthMs);
        conductor.shim.fail(fault, 0, 0);
    }

    private static void shortenIo(ConductorProcess conductor, Trouble trouble) throws InterruptedException {
        conductor.shim.limitSocketIo(MIN_IO_BYTES + trouble.draw() % IO_BYTES_RANGE);
        Thread.sleep(trouble.lengthMs());
        conductor.shim.limitSocketIo(0);
    }

    private static void breakDiscovery(DiscoveryAgent agent, Trouble trouble) throws InterruptedException {
        agent.mode = DiscoveryAgent.Mode.values()[1 + trouble.draw() % (DiscoveryAgent.Mode.values().length - 1)];
        Thread.sleep(trouble.lengthMs());
        agent.mode = DiscoveryAgent.Mode.UP;
    }

    // ---- servers and the network ---------------------------------------------------------------

    private static void changeBehavior(ServerStandIn server, Trouble trouble) throws InterruptedException {
        List<Behavior> choices =
                server.usualBehavior == Behavior.QUEUES ? List.of(Behavior.values()) : Behavior.WITHOUT_QUEUES;
        server.behavior = choices.get(trouble.draw() % choices.size());
        Thread.sleep(trouble.lengthMs());
        server.behavior = server.usualBehavior;
    }

    private void restart(ServerStandIn server) {
        site.proxiesOf(server).forEach(FaultProxy::resetAll);
        server.forgetStates();
        site.fleet.put(server.id, server.role, "active", site.wallClockMs());
        site.history.add(new Observation.ServerStarted(System.nanoTime(), server.id, server.role));
    }

    /** Replaces a server: drains it, adds a new one, removes it. Does nothing if it is the last of its role, which must stay. */
    private void replace(ServerStandIn server, Trouble trouble) throws IOException, InterruptedException {
        synchronized (site.fleet) {
            if (site.activeServers().stream().filter(s -> s.role == server.role).count() < 2) {
                return;
            }
            site.fleet.put(
                    server.id, server.role, "leaving", site.fleet.get(server.id).startedMs());
        }
        site.addServer(server.role, site.wallClockMs());
        Thread.sleep(trouble.lengthMs() + DRAIN_MARGIN_MS);
        site.fleet.put(server.id, server.role, "left", site.fleet.get(server.id).startedMs());
    }

    /** The proxies between the conductor and all servers, all readers or all writers. */
    private List<FaultProxy> proxiesToCutOff(ConductorProcess conductor, Trouble trouble) {
        Predicate<ServerStandIn> concerned = switch (trouble.draw() % 3) {
            case 0 -> server -> true;
            case 1 -> server -> server.role == Role.READER;
            default -> server -> server.role == Role.WRITER;
        };
        return site.activeServers().stream()
                .filter(concerned)
                .map(server -> site.proxy(conductor, server.id))
                .toList();
    }

    /** The proxies between all conductors and 80 % of one role's servers, as when a rack loses its uplink. */
    private List<FaultProxy> proxiesToRoleShare(Role role) {
        List<ServerStandIn> all =
                site.activeServers().stream().filter(s -> s.role == role).toList();
        return all.subList(0, (int) Math.ceil(all.size() * ROLE_SHARE)).stream()
                .flatMap(s -> site.proxiesOf(s).stream())
                .toList();
    }

    private static void loseConnections(List<FaultProxy> proxies, Trouble trouble) throws InterruptedException {
        int interval = MIN_LOSS_INTERVAL + trouble.draw() % LOSS_INTERVAL_RANGE;
        AtomicInteger received = new AtomicInteger();
        proxies.forEach(proxy -> proxy.setLoss(bytes -> received.incrementAndGet() % interval == 0));
        Thread.sleep(trouble.lengthMs());
        proxies.forEach(proxy -> proxy.setLoss(null));
    }

    private void applyNetworkMode(List<FaultProxy> proxies, FaultProxy.Mode mode, Trouble trouble)
            throws IOException, InterruptedException {
        try {
            for (FaultProxy proxy : proxies) {
                proxy.setMode(mode);
            }
            reachLog.update();
            Thread.sleep(trouble.lengthMs());
        } finally {
            for (FaultProxy proxy : proxies) {
                proxy.setMode(FaultProxy.Mode.PASS);
            }
            reachLog.update();
        }
    }
}

package copperbeam.soak;

import copperbeam.soak.ServerStandIn.Mood;
import copperbeam.soak.TroublePlan.Trouble;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
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
    private static final long LONGEST_ERRORS_MS = 600;
    private static final int CROWD = 150; // idle clients
    private static final int HOLD_UP_MS = 150; // the stall that the documentation assumes for a busy core
    private static final int SIGNAL_PAUSE_MS = 400; // at most, between the signals of a series
    private static final double ROLE_SHARE = 0.8; // the part of one role's servers that becomes unreachable together
    private static final long LEAVE_MORE_MS = 1500; // a drain lasts this much longer than its trouble
    private static final int LEAST_SHORT =
            100; // bytes per call; with fewer a body of 200 KB takes seconds of processor time
    private static final int MOST_SHORT = 2000;

    private final SoakSite site;
    private final Map<String, ConductorLife> lives; // by the conductor's name
    private final ReachLog reach;

    TroubleInjector(SoakSite site, Map<String, ConductorLife> lives) {
        this.site = site;
        reach = new ReachLog(site);
        this.lives = lives;
    }

    /** Injects one trouble and returns after its end; notes its beginning and its end in the history. */
    void carryOut(Trouble trouble) throws IOException, InterruptedException {
        site.history.add(new Observation.Troubled(System.nanoTime(), trouble, true));
        ConductorProcess conductor = pick(site.conductors, trouble);
        switch (trouble.kind()) {
            case RELOAD -> reload(conductor, trouble);
            case CLOCK_STEP -> site.stepClock(Duration.ofSeconds(CLOCK_STEPS_S[trouble.draw() % CLOCK_STEPS_S.length]));
            case HELD_UP -> holdUp(conductor);
            case DISCOVERY -> breakDiscovery(site.agent(conductor), trouble);
            case SYSTEM_CALLS -> failSystemCalls(conductor, trouble);
            case SHORT_IO -> shortenIo(conductor, trouble);
            case DISK ->
                fail(conductor, Fault.FILE_WRITE, DISK_ERRORS[trouble.draw() % DISK_ERRORS.length], trouble.lengthMs());
            case CLIENT_CROWD -> {
                long until = System.nanoTime() + trouble.lengthMs() * 1_000_000;
                new IdleClients(conductor, CROWD).keepComing(() -> System.nanoTime() > until);
            }
            case ALL_RESTARTED -> site.listed().forEach(this::restart);
            case CONDUCTOR_STOPPED, CONDUCTOR_KILLED, CONDUCTOR_UPGRADED ->
                lives.get(conductor.name).renew(trouble);
            default -> carryOutBeyond(conductor, pick(site.listed(), trouble), trouble);
        }
        reach.look(); // the list may have changed
        site.history.add(new Observation.Troubled(System.nanoTime(), trouble, false));
    }

    /** Injects the troubles of servers and of the network. */
    private void carryOutBeyond(ConductorProcess conductor, ServerStandIn server, Trouble trouble)
            throws IOException, InterruptedException {
        List<FaultProxy> toServer = site.proxiesOf(server);
        switch (trouble.kind()) {
            case SERVER_MOOD -> changeMood(server, trouble);
            case SERVER_REPLACED -> replace(server, trouble);
            case SERVER_CUT_OFF -> network(toServer, FaultProxy.Mode.SILENT, trouble);
            case CONDUCTOR_CUT_OFF -> network(cutOffFrom(conductor, trouble), FaultProxy.Mode.SILENT, trouble);
            case ROLE_CUT_OFF ->
                network(proxiesOfMost(Role.values()[trouble.draw() % 2]), FaultProxy.Mode.SILENT, trouble);
            case NETWORK_LATE -> network(toServer, FaultProxy.Mode.LATE, trouble);
            case NETWORK_TRICKLES -> network(toServer, FaultProxy.Mode.TRICKLE, trouble);
            case CONNECTIONS_RESET -> toServer.forEach(FaultProxy::resetAll);
            case CONNECTIONS_SILENT -> toServer.forEach(FaultProxy::silenceAll);
            default -> throw new AssertionError(trouble.kind());
        }
    }

    private static <T> T pick(List<T> from, Trouble trouble) {
        return from.get(trouble.target() % from.size());
    }

    // ---- conductors ----------------------------------------------------------------------------

    /**
     * Gives the conductor a new address of discovery and has it reload, one to three times. Skips a conductor that is being started or
     * stopped: a JVM that hasn't reached its main method yet has no handler for the signal and is ended by it.
     */
    private void reload(ConductorProcess conductor, Trouble trouble) throws IOException, InterruptedException {
        boolean starts = lives.get(conductor.name).changing();
        for (int signals = starts ? 0 : 1 + trouble.draw() % 3; signals > 0; signals--) {
            site.newAgent(conductor);
            ConductorProcess.signal(conductor.process(), "HUP");
            Thread.sleep(trouble.target() % SIGNAL_PAUSE_MS);
        }
    }

    private static void holdUp(ConductorProcess conductor) throws IOException, InterruptedException {
        Process process = conductor.process();
        ConductorProcess.signal(process, "STOP");
        Thread.sleep(HOLD_UP_MS);
        ConductorProcess.signal(process, "CONT");
    }

    private static void failSystemCalls(ConductorProcess conductor, Trouble trouble) throws InterruptedException {
        int error = NETWORK_ERRORS[trouble.draw() % NETWORK_ERRORS.length];
        Fault fault = List.of(Fault.ACCEPT, Fault.CONNECT, Fault.SOCKET).get(trouble.target() % 3);
        fail(conductor, fault, error, Math.min(trouble.lengthMs(), LONGEST_ERRORS_MS));
    }

    private static void fail(ConductorProcess conductor, Fault fault, int error, long lengthMs)
            throws InterruptedException {
        conductor.shim.fail(fault, error, Long.MAX_VALUE);
        Thread.sleep(lengthMs);
        conductor.shim.fail(fault, 0, 0);
    }

    private static void shortenIo(ConductorProcess conductor, Trouble trouble) throws InterruptedException {
        conductor.shim.shortIo(LEAST_SHORT + trouble.draw() % MOST_SHORT);
        Thread.sleep(trouble.lengthMs());
        conductor.shim.shortIo(0);
    }

    private static void breakDiscovery(DiscoveryAgent agent, Trouble trouble) throws InterruptedException {
        agent.mode = DiscoveryAgent.Mode.values()[1 + trouble.draw() % (DiscoveryAgent.Mode.values().length - 1)];
        Thread.sleep(trouble.lengthMs());
        agent.mode = DiscoveryAgent.Mode.UP;
    }

    // ---- servers and the network ---------------------------------------------------------------

    private static void changeMood(ServerStandIn server, Trouble trouble) throws InterruptedException {
        server.mood = Mood.values()[trouble.draw() % Mood.values().length];
        Thread.sleep(trouble.lengthMs());
        server.mood = Mood.WELL;
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
            if (site.listed().stream().filter(s -> s.role == server.role).count() < 2) {
                return;
            }
            site.fleet.put(
                    server.id, server.role, "leaving", site.fleet.get(server.id).startedMs());
        }
        site.addServer(server.role, site.wallClockMs());
        Thread.sleep(trouble.lengthMs() + LEAVE_MORE_MS);
        site.fleet.put(server.id, server.role, "left", site.fleet.get(server.id).startedMs());
    }

    /** The proxies between the conductor and all servers, all readers or all writers. */
    private List<FaultProxy> cutOffFrom(ConductorProcess conductor, Trouble trouble) {
        Predicate<ServerStandIn> concerned = switch (trouble.draw() % 3) {
            case 0 -> server -> true;
            case 1 -> server -> server.role == Role.READER;
            default -> server -> server.role == Role.WRITER;
        };
        return site.listed().stream()
                .filter(concerned)
                .map(server -> site.proxy(conductor, server.id))
                .toList();
    }

    /** The proxies between all conductors and 80 % of one role's servers, as when a rack loses its uplink. */
    private List<FaultProxy> proxiesOfMost(Role role) {
        List<ServerStandIn> all =
                site.listed().stream().filter(s -> s.role == role).toList();
        return all.subList(0, (int) Math.ceil(all.size() * ROLE_SHARE)).stream()
                .flatMap(s -> site.proxiesOf(s).stream())
                .toList();
    }

    private void network(List<FaultProxy> which, FaultProxy.Mode mode, Trouble trouble)
            throws IOException, InterruptedException {
        try {
            for (FaultProxy proxy : which) {
                proxy.mode(mode);
            }
            reach.look();
            Thread.sleep(trouble.lengthMs());
        } finally {
            for (FaultProxy proxy : which) {
                proxy.mode(FaultProxy.Mode.PASS);
            }
            reach.look();
        }
    }
}

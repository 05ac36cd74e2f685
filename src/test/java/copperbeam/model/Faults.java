package copperbeam.model;

import copperbeam.Api.ListKind;
import copperbeam.Api.ServerState;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/** Draws the faults of a world and their times, and injects them. */
final class Faults {
    private static final long FIRST_FAULT_NS = VirtualTime.NANOS_PER_S / 2;
    private static final long LAST_FAULT_NS = 7 * VirtualTime.NANOS_PER_S;

    private enum Kind {
        HANG,
        NETWORK_DOWN,
        RESTART,
        REPLACE,
        DRAIN_THEN_READY,
        PARTITION,
        SLOWDOWN,
        FAULTY_ANSWERS,
        LATE_CONNECTS,
        PAUSE,
        KILL,
        STOP
    }

    private final World world;
    private final SplittableRandom random;
    private final Set<ModelProcess> pausedProcesses = new HashSet<>();

    Faults(World world) {
        this.world = world;
        random = world.random.split(); // a source of its own, so that the faults do not depend on what the router does
    }

    void drawAndSchedule() {
        int count = random.nextInt(8) * (1 + world.servers.size() / 12);
        boolean withPauses = random.nextInt(5) == 0;
        for (int i = 0; i < count; i++) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            long startTime = FIRST_FAULT_NS + (long) (random.nextDouble() * (LAST_FAULT_NS - FIRST_FAULT_NS));
            long duration = (long) ((0.2 + 3.8 * random.nextDouble()) * VirtualTime.NANOS_PER_S);
            if (kind != Kind.PAUSE || withPauses) {
                world.time.runAt(startTime, () -> inject(kind, duration));
            }
        }
        if (withPauses) {
            world.maxPause += 300 * VirtualTime.NANOS_PER_MS;
        }
    }

    private ModelServer randomServer() {
        List<ModelServer> candidates = world.servers.stream()
                .filter(s -> s.state == ServerState.READY && s.running)
                .toList();
        return candidates.isEmpty() ? null : candidates.get(random.nextInt(candidates.size()));
    }

    private ModelProcess randomProcess() {
        return world.processes.get(random.nextInt(world.processes.size()));
    }

    private void inject(Kind kind, long duration) {
        ModelServer server = randomServer();
        if (server == null) {
            return;
        }
        world.log(server, kind + " for " + duration / VirtualTime.NANOS_PER_MS + " ms");
        switch (kind) {
            case HANG -> server.hungUntil = Math.max(server.hungUntil, world.time.now() + duration);
            case NETWORK_DOWN -> takeNetworkDown(server, duration);
            case RESTART -> restart(server, duration);
            case REPLACE -> replace(server);
            case DRAIN_THEN_READY -> drainThenReady(server, duration);
            case PARTITION -> partition(duration);
            case SLOWDOWN -> slowDown(server, duration);
            case FAULTY_ANSWERS -> makeFaulty(server, duration);
            case LATE_CONNECTS -> delayConnects(duration);
            case PAUSE -> pause(randomProcess());
            case KILL -> kill(randomProcess());
            case STOP -> stop(randomProcess());
            default -> throw new IllegalStateException("unknown fault " + kind);
        }
    }

    /** Pauses a process for up to 300 ms; at most once per process, as the rules allow for a single pause. */
    private void pause(ModelProcess process) {
        if (pausedProcesses.add(process)) {
            process.actorThread.pauseUntil(
                    world.time.now() + (long) (random.nextDouble() * 300 * VirtualTime.NANOS_PER_MS));
        }
    }

    private void takeNetworkDown(ModelServer server, long duration) {
        server.networkDown = true;
        world.time.runAfter(duration, () -> {
            server.networkDown = false;
            world.resetConnections(server);
        });
    }

    private void restart(ModelServer server, long duration) {
        server.stop();
        world.time.runAfter(duration / 2, () -> {
            server.startCold();
            world.log(server, "restarted cold");
            announce(server);
        });
    }

    private void replace(ModelServer server) {
        server.state = ServerState.DRAINING;
        announce(server);
        world.time.runAfter(2 * VirtualTime.NANOS_PER_S, () -> {
            ModelServer replacement = world.addServer(server.kind, 0);
            replacement.startCold();
            announce(replacement);
        });
        world.time.runAfter(4 * VirtualTime.NANOS_PER_S, () -> {
            server.state = ServerState.GONE;
            announce(server);
            world.time.runAfter(2 * VirtualTime.NANOS_PER_S, server::stop);
        });
    }

    private void drainThenReady(ModelServer server, long duration) {
        server.state = ServerState.DRAINING;
        announce(server);
        world.time.runAfter(duration, () -> {
            if (server.running && server.state == ServerState.DRAINING) {
                server.state = ServerState.READY;
                announce(server);
            }
        });
    }

    /** Announces a server to each process after a delay of its own, with its state at that time. */
    private void announce(ModelServer server) {
        for (int i = 0; i < world.processes.size(); i++) {
            int index = i;
            long delay = (long) (random.nextDouble() * (random.nextInt(3) == 0 ? 2 : 0.3) * VirtualTime.NANOS_PER_S);
            world.time.runAfter(delay, () -> {
                ModelProcess process = world.processes.get(index);
                if (!process.hasEnded()) {
                    boolean fullList = random.nextInt(4) == 0;
                    process.deliverList(
                            fullList ? ListKind.FULL : ListKind.DELTA,
                            fullList ? world.listedServers() : List.of(server));
                }
            });
        }
    }

    private void partition(long duration) {
        List<ModelServer> affectedServers = new ArrayList<>(world.servers);
        affectedServers.removeIf(s -> random.nextInt(3) == 0);
        List<Integer> affectedProcesses = new ArrayList<>();
        for (int i = 0; i < world.processes.size(); i++) {
            if (random.nextBoolean()) {
                affectedProcesses.add(i);
            }
        }
        affectedServers.forEach(s -> s.partitionedFrom.addAll(affectedProcesses));
        world.time.runAfter(
                duration,
                () -> affectedServers.forEach(s -> {
                    s.partitionedFrom.removeAll(affectedProcesses);
                    List.copyOf(world.links).stream()
                            .filter(l -> l.server == s && affectedProcesses.contains(l.process.index))
                            .forEach(Link::resetByServer);
                }));
    }

    private void slowDown(ModelServer server, long duration) {
        server.slowdownFactor = 2 + 8 * random.nextDouble();
        world.time.runAfter(duration, () -> server.slowdownFactor = 1);
    }

    private void makeFaulty(ModelServer server, long duration) {
        List<ModelServer> affectedServers = random.nextInt(3) == 0 ? world.servers : List.of(server);
        double chance = random.nextInt(3) == 0 ? 1 : 0.3 * random.nextDouble();
        ModelServer.Fault[] faults = random.nextBoolean()
                ? ModelServer.Fault.values()
                : new ModelServer.Fault[] {ModelServer.Fault.values()[random.nextInt(ModelServer.Fault.values().length)]
                };
        for (ModelServer affectedServer : affectedServers) {
            affectedServer.faultChance = chance;
            affectedServer.faults = faults;
            world.time.runAfter(duration, () -> affectedServer.faultChance = 0);
        }
    }

    private void delayConnects(long duration) {
        double chance = 0.02 + 0.5 * random.nextDouble();
        world.servers.forEach(s -> s.lateConnectChance = chance);
        world.time.runAfter(duration, () -> world.servers.forEach(s -> s.lateConnectChance = 0));
    }

    private void kill(ModelProcess process) {
        if (process.hasEnded()) {
            return;
        }
        process.kill();
        world.time.runAfter(
                (long) (random.nextDouble() * 2 * VirtualTime.NANOS_PER_S), () -> world.startProcess(process.index));
    }

    /** Stops a process in the steps that copperbeam.lifecycle.Lifecycle takes, and starts a new one afterwards. */
    private void stop(ModelProcess process) {
        if (process.hasEnded() || !process.acceptsClients) {
            return;
        }
        long maxWait = world.settings.maxClientWait().values().stream()
                .mapToLong(Duration::toNanos)
                .max()
                .orElseThrow();
        long stopTimeout = Math.min(maxWait, 3 * VirtualTime.NANOS_PER_S) + 700 * VirtualTime.NANOS_PER_MS;
        long cutLead = Math.max(
                350 * VirtualTime.NANOS_PER_MS,
                Math.min(850 * VirtualTime.NANOS_PER_MS, stopTimeout - VirtualTime.NANOS_PER_S));
        boolean streamsResume = world.settings.moduleSettings().streamsResumable();
        world.time.runAfter(300 * VirtualTime.NANOS_PER_MS, () -> process.acceptsClients = false);
        if (!streamsResume) {
            world.time.runAfter(600 * VirtualTime.NANOS_PER_MS, () -> process.runIfAlive(ModelProcess::stopAccepting));
        }
        world.time.runAfter(
                stopTimeout - cutLead - 200 * VirtualTime.NANOS_PER_MS,
                () -> process.runIfAlive(ModelProcess::expireOpenRequests));
        if (streamsResume) {
            world.time.runAfter(stopTimeout - cutLead, () -> process.runIfAlive(ModelProcess::transferStreams));
        }
        endOnceIdle(process);
        world.time.runAfter(stopTimeout, () -> {
            process.runIfAlive(ModelProcess::killAtStopTimeout);
            world.time.runAfter(VirtualTime.NANOS_PER_S, () -> world.startProcess(process.index));
        });
    }

    private void endOnceIdle(ModelProcess process) {
        world.time.runAfter(20 * VirtualTime.NANOS_PER_MS, () -> {
            if (process.hasEnded()) {
                return;
            }
            boolean idle =
                    !process.acceptsClients && world.openRequests().stream().noneMatch(r -> r.process == process);
            if (idle && world.time.now() > 0) {
                process.drain(process::end);
            } else {
                endOnceIdle(process);
            }
        });
    }
}

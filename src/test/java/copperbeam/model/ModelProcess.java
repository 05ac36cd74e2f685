package copperbeam.model;

import copperbeam.Api;
import copperbeam.Api.ListKind;
import copperbeam.routing.ListActor;
import copperbeam.routing.MembershipSource;
import copperbeam.routing.Metrics;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.ModuleTime;
import copperbeam.routing.PeerActor;
import copperbeam.routing.Recorder;
import copperbeam.routing.ReleaseActor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

/** One router process without its sockets: the same actors as in the real program, on one simulated thread. */
final class ModelProcess {
    final World world;
    final int index;
    final String zone;
    final VirtualTime.SimulatedThread actorThread;
    private final ModuleActor module;
    private final ReleaseActor releases;
    private final ListActor listActor;
    private final Set<ModelServer> knownServers =
            new LinkedHashSet<>(); // servers named in the last full list or in a change after it
    private final Map<Long, ClientRequest> requestByKey =
            new HashMap<>(); // by the module's request number; filled only while logging
    private final ReferencePolicy referencePolicy; // handles the requests in place of the actors if not null
    private boolean ended;
    boolean killed; // was killed, so that its open requests need no answer
    boolean acceptsClients = true;

    ModelProcess(World world, int index, String zone, long seed) {
        this.world = world;
        this.index = index;
        this.zone = zone;
        actorThread = new VirtualTime.SimulatedThread(world::drawTaskDuration);
        ScheduledExecutorService executor = world.time.executor(actorThread);
        Api.Settings settings = world.settings.moduleSettings();
        Api.Settings nodeSettings = new Api.Settings(
                settings.nodes(),
                index,
                settings.classes(),
                settings.customers(),
                settings.kinds(),
                settings.limits(),
                settings.rules(),
                settings.reportTiming(),
                settings.mustSubscribe(),
                settings.probeCost(),
                settings.writersRead(),
                settings.streamsResumable());
        referencePolicy = world.usesReferencePolicy ? new ReferencePolicy(world, this) : null;
        Metrics metrics = new Metrics(world.settings.maxClientWait().keySet());
        Duration releaseTime =
                ModuleTime.duration(Math.max(0.2, settings.rules().stateLeaseS()));
        releases = new ReleaseActor(executor, world.time, releaseTime.multipliedBy(2));
        Recorder recorder = (type, request, attempt, server, text, duration) -> {
            if (type == Recorder.EventType.ARRIVED) {
                requestByKey.put(request, world.requests.get(text.substring(0, text.indexOf(' '))));
            }
            if (requestByKey.containsKey(request)) {
                String details = server == null ? " " + text : " " + server + " " + text;
                world.log(requestByKey.get(request), "module records " + type + " of attempt " + attempt + details);
            }
        };
        module = new ModuleActor(
                executor,
                world.time,
                nodeSettings,
                seed,
                releases,
                world.isLogging() ? recorder : Recorder.NONE,
                metrics);
        PeerActor.Setup setup = new PeerActor.Setup(
                world.time,
                new Network(world, this),
                world.settings.connectTimeout(),
                world.settings.connectionIdleTimeout().dividedBy(2),
                world.settings.connectTimeout(),
                module,
                releases,
                world.isLogging() ? recorder : Recorder.NONE,
                metrics);
        listActor = new ListActor(
                executor,
                (id, address) -> new PeerActor(executor, id, address, setup),
                module,
                releases,
                world.settings.maxIdleConnections());
    }

    boolean hasEnded() {
        return ended;
    }

    /** Runs the task after a delay in nanoseconds, as the I/O thread would, unless the process has ended by then. */
    void runOnReactor(long delay, Runnable task) {
        world.time.runAfter(delay, () -> {
            if (!ended) {
                task.run();
            }
        });
    }

    void deliverList(ListKind kind, List<ModelServer> servers) {
        List<MembershipSource.Entry> entries = servers.stream()
                .map(s -> new MembershipSource.Entry(s.member(), new InetSocketAddress("127.0.0.1", s.port)))
                .toList();
        servers.forEach(s -> world.notifyRules(r -> r.serverListed(this, s, s.state, s.launchedAt)));
        if (kind != ListKind.DELTA) {
            knownServers.removeAll(servers);
            knownServers.forEach(
                    s -> world.notifyRules(r -> r.serverListed(this, s, Api.ServerState.GONE, s.launchedAt)));
            knownServers.clear();
        }
        knownServers.addAll(servers);
        listActor.tell(new ListActor.ListChanged(new MembershipSource.Change(kind, entries), null));
    }

    void submit(ClientRequest request) {
        if (referencePolicy == null) {
            module.submit(request.spec, request);
        } else {
            referencePolicy.submit(request);
        }
    }

    void clientGone(ClientRequest request) {
        module.clientGone(request);
    }

    void stopAccepting() {
        module.tell(new ModuleActor.StopAccepting());
    }

    void expireOpenRequests() {
        module.tell(new ModuleActor.ExpireOpenRequests());
    }

    void transferStreams() {
        module.tell(new ModuleActor.TransferStreams());
    }

    /** Runs {@code onIdle} once all requests and releases are done; for use when no new request can arrive. */
    void drain(Runnable onIdle) {
        module.tell(new ModuleActor.Drain(() -> releases.tell(new ReleaseActor.Drain(onIdle))));
    }

    /** Ends the process, after a drain or by a kill; all its connections are dropped. */
    void end() {
        ended = true;
        acceptsClients = false;
        actorThread.stop();
        List.copyOf(world.links).stream().filter(l -> l.process == this).forEach(Link::closeWithProcess);
    }

    void kill() {
        killed = true;
        world.openRequests().stream().filter(r -> r.process == this).forEach(r -> r.lostWithProcess = true);
        end();
    }

    /** Kills the process when the time for its stop is up: only streams may still be open by then. */
    void killAtStopTimeout() {
        world.openRequests().stream()
                .filter(r -> r.process == this && r.streamingSince < 0)
                .forEach(r -> world.reportViolation("no final answer by the end of the stop", r, null));
        kill();
    }

    void runIfAlive(Consumer<ModelProcess> action) {
        if (!ended) {
            action.accept(this);
        }
    }
}

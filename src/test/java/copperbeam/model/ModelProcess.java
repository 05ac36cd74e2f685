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
    final VirtualTime.Thread thread;
    private final ModuleActor module;
    private final ReleaseActor releases;
    private final ListActor list;
    private final Set<ModelServer> known = new LinkedHashSet<>(); // servers named in the last full list or in a change after it
    private final Map<Long, ClientRequest> byKey = new HashMap<>(); // by the module's request number; filled only while logging
    private final ReferencePolicy reference; // handles the requests in place of the actors if not null
    private boolean ended;
    boolean killed; // was killed, so that its open requests need no answer
    boolean takesClients = true;

    ModelProcess(World world, int index, String zone, long seed) {
        this.world = world;
        this.index = index;
        this.zone = zone;
        thread = new VirtualTime.Thread(world::taskCost);
        ScheduledExecutorService turns = world.time.executor(thread);
        Api.Settings settings = world.settings.settings();
        Api.Settings own = new Api.Settings(
                settings.nodes(),
                index,
                settings.classes(),
                settings.customers(),
                settings.kinds(),
                settings.limits(),
                settings.rules(),
                settings.reports(),
                settings.listMustBeAsked(),
                settings.probePrice(),
                settings.writersRead(),
                settings.streamsResume());
        reference = world.reference ? new ReferencePolicy(world, this) : null;
        Metrics metrics = new Metrics(world.settings.giveUp().keySet());
        Duration releaseWithin = ModuleTime.span(Math.max(0.2, settings.rules().releaseS()));
        releases = new ReleaseActor(turns, world.time, releaseWithin.multipliedBy(2));
        Recorder recorder = (what, request, attempt, server, text, span) -> {
            if (what == Recorder.What.ARRIVED) {
                byKey.put(request, world.requests.get(text.substring(0, text.indexOf(' '))));
            }
            if (byKey.containsKey(request)) {
                String more = server == null ? " " + text : " " + server + " " + text;
                world.log(byKey.get(request), "module records " + what + " of attempt " + attempt + more);
            }
        };
        module = new ModuleActor(
                turns, world.time, own, seed, releases, world.logs() ? recorder : Recorder.NONE, metrics);
        PeerActor.Setup setup = new PeerActor.Setup(
                world.time,
                new Network(world, this),
                world.settings.connectTimeout(),
                world.settings.connectionIdle().dividedBy(2),
                world.settings.connectTimeout(),
                module,
                releases,
                world.logs() ? recorder : Recorder.NONE,
                metrics);
        list = new ListActor(
                turns,
                (id, address) -> new PeerActor(turns, id, address, setup),
                module,
                releases,
                world.settings.idle());
    }

    boolean ended() {
        return ended;
    }

    /** Runs the task after a delay in nanoseconds, as the I/O thread would, unless the process has ended by then. */
    void reactor(long after, Runnable task) {
        world.time.after(after, () -> {
            if (!ended) {
                task.run();
            }
        });
    }

    void tell(ListKind kind, List<ModelServer> servers) {
        List<MembershipSource.Entry> entries = servers.stream()
                .map(s -> new MembershipSource.Entry(s.member(), new InetSocketAddress("127.0.0.1", s.port)))
                .toList();
        servers.forEach(s -> world.rules(r -> r.told(this, s, s.state, s.launchedAt)));
        if (kind != ListKind.DELTA) {
            known.removeAll(servers);
            known.forEach(s -> world.rules(r -> r.told(this, s, Api.ServerState.GONE, s.launchedAt)));
            known.clear();
        }
        known.addAll(servers);
        list.tell(new ListActor.Told(new MembershipSource.Change(kind, entries), null));
    }

    void arrive(ClientRequest request) {
        if (reference == null) {
            module.arrive(request.ask, request);
        } else {
            reference.arrive(request);
        }
    }

    void left(ClientRequest request) {
        module.left(request);
    }

    void takeNoMore() {
        module.tell(new ModuleActor.TakeNoMore());
    }

    void handOver() {
        module.tell(new ModuleActor.HandOver());
    }

    void cut() {
        module.tell(new ModuleActor.Cut());
    }

    /** Runs {@code onIdle} once all requests and releases are done; for use when no new request can arrive. */
    void drain(Runnable done) {
        module.tell(new ModuleActor.Drain(() -> releases.tell(new ReleaseActor.Drain(done))));
    }

    /** Ends the process, after a drain or by a kill; all its connections are dropped. */
    void end() {
        ended = true;
        takesClients = false;
        thread.end();
        List.copyOf(world.links).stream().filter(l -> l.process == this).forEach(Link::drop);
    }

    void kill() {
        killed = true;
        world.open().stream().filter(r -> r.process == this).forEach(r -> r.excused = true);
        end();
    }

    /** Kills the process when the time for its stop is up: only streams may still be open by then. */
    void killAtStop() {
        world.open().stream()
                .filter(r -> r.process == this && r.streamingSince < 0)
                .forEach(r -> world.broken("no final answer by the end of the stop", r, null));
        kill();
    }

    void ifAlive(Consumer<ModelProcess> what) {
        if (!ended) {
            what.accept(this);
        }
    }
}

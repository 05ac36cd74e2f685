package copperbeam.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import copperbeam.Api.ListKind;
import copperbeam.lifecycle.StopPlan;
import copperbeam.protocol.HttpClient;
import copperbeam.protocol.discovery.DiscoveryWatch;
import copperbeam.protocol.etcd.EtcdMembership;
import copperbeam.protocol.openai.OpenAiFront;
import copperbeam.protocol.platform.PlatformFront;
import copperbeam.record.FileRecorder;
import copperbeam.routing.HookActor;
import copperbeam.routing.Intake;
import copperbeam.routing.ListActor;
import copperbeam.routing.MembershipSource;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.ModuleTime;
import copperbeam.routing.PeerActor;
import copperbeam.routing.Recorder;
import copperbeam.routing.ReleaseActor;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.ClientRoom;
import copperbeam.transport.HttpFrontServer;
import copperbeam.transport.PlainHttpClient;
import copperbeam.transport.ServerConnector;

/** One running conductor: its actors, its fronts and its reactors. */
public final class Node implements AutoCloseable {
    private static final double IDLE_SHARE = 0.5; // of the servers' limit for which we keep idle connections
    private static final int AWAY = 3; // rests of broken streams asked for lately, from which others must have stopped
    private static final Duration LONGEST_STOP = Duration.ofSeconds(60);

    private final ScheduledThreadPoolExecutor turns = new ScheduledThreadPoolExecutor(1,
            task -> new Thread(task, "actors"));
    private final ClientReactor reactor = new ClientReactor();
    private final ModuleActor module;
    private final ReleaseActor releases;
    private final MembershipSource source;
    private final DiscoveryWatch discovery; // null where the list comes from elsewhere
    private final HttpFrontServer server;
    private final AtomicBoolean listed = new AtomicBoolean();
    private final CountDownLatch warm = new CountDownLatch(1);
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final InetSocketAddress address;
    private final StopPlan stopPlan;
    private final Rests rests;
    private final FileRecorder fileRecorder; // null where nothing is recorded
    private ScheduledThreadPoolExecutor hookTurns;
    private HttpFrontServer chat;
    private InetSocketAddress chatAddress;

    public Node(Config config) throws IOException, InterruptedException {
        this(config, null, 0);
    }

    /** {@code record} null: nothing is recorded. */
    Node(Config config, Path record, int recordBytes) throws IOException, InterruptedException {
        turns.setRemoveOnCancelPolicy(true);
        stopPlan = new StopPlan(config.operator().stopWithin(), config.settings().streamsResume());
        Clock clock = ModuleTime.steadyClock();
        fileRecorder = record == null ? null : new FileRecorder(turns, clock, config.name(), record, recordBytes);
        Recorder recorder = record == null ? Recorder.NONE : fileRecorder;
        Duration releaseWithin = ModuleTime.span(Math.max(0.2, config.settings().rules().releaseS()));
        releases = new ReleaseActor(turns, clock, releaseWithin.multipliedBy(2));
        module = new ModuleActor(turns, clock, config.settings(), config.seed(), releases, recorder);
        PeerActor.Setup setup = new PeerActor.Setup(clock, new ServerConnector(reactor), config.connectTimeout(),
                Duration.ofMillis((long) (config.connectionIdle().toMillis() * IDLE_SHARE)),
                config.connectTimeout(), module, releases, recorder);
        ListActor list = new ListActor(turns, (id, at) -> new PeerActor(turns, id, at, setup), module, releases,
                config.limits().idle());
        ClientRoom room = new ClientRoom(config.limits().clients(), config.limits().bodies());
        if (config.known() != null) {
            list.tell(config.known().change(ListKind.CACHED));
            listed.set(config.operator().etcd() == null && config.knownListing() != null);
        }
        HttpClient client = new PlainHttpClient(reactor);
        Config.Etcd etcd = config.operator().etcd();
        discovery = etcd == null ? new DiscoveryWatch(turns, client, clock, config.discovery(),
                config.knownListing(), config.discoveryPauses()) : null;
        source = etcd == null ? discovery : new EtcdMembership(turns, client, etcd.endpoint(), etcd.prefix());
        source.start(change -> {
            list.tell(change);
            listed.set(true);
        });
        rests = new Rests(module, clock);
        Intake intake = rests;
        if (!config.operator().hooks().isEmpty()) {
            hookTurns = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "plug-ins"));
            intake = new HookActor(hookTurns, config.operator().hooks(), config.settings(), rests);
        }
        server = new HttpFrontServer(new PlatformFront(config.classNames(), intake, this::healthy), clock,
                room);
        address = server.listen(config.listen());
        if (config.operator().chat() != null) {
            chat = new HttpFrontServer(new OpenAiFront(config.operator().chat(), intake, this::healthy,
                    clock.instant()), clock, room);
            chatAddress = chat.listen(config.operator().chatListen());
        }
        WarmUp.start(config.settings(), client, address, warm::countDown);
        if (config.known() != null) {
            // with discovery down, the list last known has to do
            turns.schedule(() -> listed.set(true), 2, TimeUnit.SECONDS);
        }
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Waits until the hot path has been run. */
    void awaitWarm() throws InterruptedException {
        warm.await();
    }

    /** Null where the chat API is off. */
    public InetSocketAddress chatAddress() {
        return chatAddress;
    }

    /** Takes over what may change while requests are open; the rest of a new configuration waits for a start. */
    public void reload(Config config) {
        if (discovery != null && config.discovery() != null) {
            discovery.move(config.discovery());
        }
    }

    /** Writes what is recorded; once that is done or has failed, the returned ends. */
    CompletableFuture<Boolean> record() {
        return fileRecorder == null ? CompletableFuture.completedFuture(false) : fileRecorder.dump();
    }

    private List<HttpFrontServer> servers() {
        return chat == null ? List.of(server) : List.of(server, chat);
    }

    private boolean healthy() {
        return listed.get() && warm.getCount() == 0 && !stopping.get();
    }

    /** Answers what was taken and what still comes, as a {@link StopPlan} has it, lets go of what is held, and returns. */
    public void stop() throws InterruptedException {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        long from = System.nanoTime();
        servers().forEach(HttpFrontServer::drain);
        CountDownLatch quiet = quiet();
        StopPlan.Step step = StopPlan.Step.SERVE;
        for (long since = 0; step != StopPlan.Step.END && since < LONGEST_STOP.toNanos();) {
            // a request may come as the last one ends, so that quiet is asked for anew while anything is open
            boolean open = !quiet.await(20, TimeUnit.MILLISECONDS) || servers().stream().anyMatch(HttpFrontServer::busy);
            since = System.nanoTime() - from;
            StopPlan.Step next = stopPlan.at(Duration.ofNanos(since), open, rests.lately() >= AWAY);
            for (StopPlan.Step s : StopPlan.Step.values()) {
                if (s.compareTo(step) > 0 && s.compareTo(next) <= 0) {
                    carryOut(s);
                }
            }
            if (next != StopPlan.Step.SERVE) {
                servers().forEach(HttpFrontServer::closeIdle);
            }
            step = next;
            quiet = quiet.getCount() == 0 ? quiet() : quiet;
        }
    }

    private void carryOut(StopPlan.Step step) {
        if (step == StopPlan.Step.ANSWER) {
            servers().forEach(HttpFrontServer::stopListening);
            module.tell(new ModuleActor.HandOver());
        } else if (step == StopPlan.Step.CUT) {
            module.tell(new ModuleActor.Cut());
        }
    }

    /** Counted down once no request is open and nothing is left to let go. */
    private CountDownLatch quiet() {
        CountDownLatch quiet = new CountDownLatch(1);
        module.tell(new ModuleActor.Drain(() -> releases.tell(new ReleaseActor.Drain(quiet::countDown))));
        return quiet;
    }

    @Override
    public void close() throws IOException {
        source.stop();
        servers().forEach(HttpFrontServer::close);
        reactor.close();
        if (hookTurns != null) {
            hookTurns.shutdownNow();
        }
        turns.shutdownNow();
    }
}

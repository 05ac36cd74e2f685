package copperbeam.program;

import copperbeam.Api.ListKind;
import copperbeam.lifecycle.Lifecycle;
import copperbeam.membership.LaunchTimes;
import copperbeam.operation.BanActor;
import copperbeam.operation.OperatorCommands;
import copperbeam.protocol.HttpClient;
import copperbeam.protocol.discovery.DiscoveryWatch;
import copperbeam.protocol.etcd.EtcdMembership;
import copperbeam.protocol.openai.OpenAiFront;
import copperbeam.protocol.platform.PlatformFront;
import copperbeam.record.FileRecorder;
import copperbeam.routing.CauseCounts;
import copperbeam.routing.HookActor;
import copperbeam.routing.Intake;
import copperbeam.routing.ListActor;
import copperbeam.routing.MembershipSource;
import copperbeam.routing.Metrics;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.ModuleTime;
import copperbeam.routing.PeerActor;
import copperbeam.routing.Recorder;
import copperbeam.routing.ReleaseActor;
import copperbeam.transport.AdminServer;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.ClientRoom;
import copperbeam.transport.DescriptorBudget;
import copperbeam.transport.HttpFrontServer;
import copperbeam.transport.PlainHttpClient;
import copperbeam.transport.ServerConnector;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Logger;

/** One running conductor: its actors, its fronts and its reactors. */
public final class Node implements AutoCloseable {
    private static final Duration LEAST_CALL = Duration.ofMillis(250);
    private static final Duration LONGEST_CALL = Duration.ofSeconds(1);
    private static final double IDLE_SHARE = 0.5; // of the servers' limit for which we keep idle connections
    private static final Logger LOG = Logger.getLogger(Node.class.getName());
    private static final Duration LOOK = Duration.ofMillis(500); // at a stop, for whether another process serves
    private static final Duration CLOCK_LOOK =
            Duration.ofMillis(500); // from one look for a step of the wall clock to the next
    private static final Duration KNOWN_AFTER = Duration.ofSeconds(2); // of silence the list known before is gone by
    private static final int MIN_RESUMED_STREAMS = 3; // of late; so many say that others have stopped

    private final ScheduledThreadPoolExecutor turns =
            new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "actors"));
    private final ClientReactor reactor = new ClientReactor();
    private final ModuleActor module;
    private final ReleaseActor releases;
    private final MembershipSource source;
    private final DiscoveryWatch discovery; // null where the list comes from elsewhere
    private final HttpFrontServer server;
    private final AtomicBoolean listed = new AtomicBoolean();
    private final CountDownLatch warm = new CountDownLatch(1);
    private final Config config;
    private final ListActor list;
    private final Metrics metrics;
    private final ClientRoom room;
    private final LifecycleActor lifecycle;
    private volatile InetSocketAddress address; // null until it listens
    private final ResumedStreamCounter resumedStreams;
    private final FileRecorder fileRecorder; // null where nothing is recorded
    private ScheduledThreadPoolExecutor hookTurns;
    private HttpFrontServer chat;
    private volatile InetSocketAddress chatAddress; // the same
    private AdminServer door; // null where operators have none
    private final Handover handover; // the same
    private final AtomicBoolean ready = new AtomicBoolean();
    private volatile boolean serving; // at the clients' address

    public Node(Config config) throws IOException, InterruptedException {
        this(config, null, 0);
    }

    /** {@code record} null: nothing is recorded. */
    Node(Config config, Path record, int recordBytes) throws IOException, InterruptedException {
        this.config = config;
        turns.setRemoveOnCancelPolicy(true);
        Clock clock = ModuleTime.steadyClock();
        fileRecorder = record == null ? null : new FileRecorder(turns, clock, config.name(), record, recordBytes);
        Recorder recorder = record == null ? Recorder.NONE : fileRecorder;
        Duration releaseWithin =
                ModuleTime.span(Math.max(0.2, config.settings().rules().releaseS()));
        metrics = new Metrics(config.classNames());
        releases = new ReleaseActor(turns, clock, releaseWithin.multipliedBy(2));
        module = new ModuleActor(turns, clock, config.settings(), config.seed(), releases, recorder, metrics);
        DescriptorBudget descriptors = DescriptorBudget.ofProcess(
                config.limits().sockets(), config.limits().idle(), reactor);
        PeerActor.Setup setup = new PeerActor.Setup(
                clock,
                new ServerConnector(reactor, descriptors),
                config.connectTimeout(),
                Duration.ofMillis((long) (config.connectionIdle().toMillis() * IDLE_SHARE)),
                callTimeout(config.connectTimeout()),
                module,
                releases,
                recorder,
                metrics);
        list = new ListActor(
                turns,
                (id, at) -> new PeerActor(turns, id, at, setup),
                module,
                releases,
                config.limits().idle());
        BanActor bans = config.control() == null ? null : new BanActor(turns, clock, list);
        handover = bans == null ? null : new Handover(config.shared(), config.name(), clock, bans);
        LaunchTimes launches = new LaunchTimes(clock, Clock.systemUTC());
        RegularTask.start(turns, CLOCK_LOOK, "the look at the clocks", launches::look);
        MembershipSource.Sink told = bans == null
                ? change -> list.tell(new ListActor.Told(launches.steady(change), null))
                : change -> bans.tell(new BanActor.Told(launches.steady(change)));
        room = new ClientRoom(config.limits().clients(), config.limits().bodies(), descriptors);
        boolean goesOn = config.operator().etcd() == null && config.knownListing() != null;
        if (goesOn) {
            told.changed(config.known().change(ListKind.CACHED));
            listed.set(true);
        }
        HttpClient client = new PlainHttpClient(reactor);
        Config.Etcd etcd = config.operator().etcd();
        discovery = etcd == null
                ? new DiscoveryWatch(
                        turns,
                        client,
                        clock,
                        config.discovery(),
                        config.knownListing(),
                        config.knowsServers(),
                        config.discoveryBackoff())
                : null;
        source = etcd == null ? discovery : new EtcdMembership(turns, client, etcd.endpoint(), etcd.prefix());
        source.start(change -> {
            told.changed(change);
            listed();
        });
        resumedStreams = new ResumedStreamCounter(module, clock);
        Intake intake = resumedStreams;
        if (!config.operator().hooks().isEmpty()) {
            hookTurns = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "plug-ins"));
            intake = new HookActor(
                    hookTurns, turns, clock, config.operator().hooks(), config.settings(), resumedStreams);
        }
        HttpFrontServer.Observer observer = new HttpFrontServer.Observer() {
            @Override
            public void turnedAway(String requestClass, int status) {
                metrics.turnedAway(requestClass, status == 503 ? Metrics.End.DEFERRED : Metrics.End.ERRORED);
            }

            @Override
            public void closed(HttpFrontServer.CloseReason reason) {
                metrics.causes().add(CauseCounts.Kind.CONNECTION_CLOSED, reason);
            }
        };
        server = new HttpFrontServer(
                new PlatformFront(config.classNames(), intake, this::healthy), clock, room, observer);
        if (config.operator().chat() != null) {
            chat = new HttpFrontServer(
                    new OpenAiFront(config.operator().chat(), intake, this::healthy, clock.instant()),
                    clock,
                    room,
                    observer);
        }
        lifecycle = new LifecycleActor(
                turns,
                clock,
                new Lifecycle(config.operator().stopWithin(), config.settings().streamsResume()),
                servers(),
                module,
                releases,
                () -> resumedStreams.recent() >= MIN_RESUMED_STREAMS,
                beside -> share(beside.another() ? config.limits().half() : config.limits(), beside.part()));
        RegularTask.start(
                turns,
                HttpFrontServer.TICK,
                "the look at connections",
                () -> servers().forEach(HttpFrontServer::tick));
        RegularTask.start(turns, HttpFrontServer.TICK, "the look at connects", reactor::cancelOverdue);
        boolean later = handover != null;
        if (!later) {
            listen();
        }
        if (handover != null) {
            module.tell(new ModuleActor.Census());
            handover.begin(lifecycle);
            door = new AdminServer(
                    config.control(),
                    clock,
                    new OperatorCommands(metrics, this::serves, handover, bans, handover.thread()));
        }
        WarmUp.start(config.settings(), client, later ? null : address, () -> {
            warm.countDown();
            ready();
        });
        if (config.knowsServers() && !goesOn) {
            // with discovery down, the list last known has to do; not before, as a drain that the agent has counts as
            // told
            turns.schedule(
                    () -> {
                        if (!listed.get()) {
                            told.changed(config.known().change(ListKind.CACHED));
                            listed();
                        }
                    },
                    KNOWN_AFTER.toMillis(),
                    TimeUnit.MILLISECONDS);
        }
        ready();
    }

    /**
     * For the answer to a probe or a release. Guards against answers that are never heard where connections come up soon, and
     * against calls that pile up at a silent server where they may take long.
     */
    private static Duration callTimeout(Duration connectTimeout) {
        Duration least = connectTimeout.compareTo(LEAST_CALL) < 0 ? LEAST_CALL : connectTimeout;
        return least.compareTo(LONGEST_CALL) < 0 ? least : LONGEST_CALL;
    }

    /**
     * Where there is a door, not before this process is ready: beside another one that serves it would say no to the
     * front, and in a crowd a start on half a core took 3.2 s, 1.4 s without the crowd's connections.
     */
    private void listen() throws IOException {
        boolean shared = handover != null;
        if (address == null) {
            address = server.listen(config.listen(), shared);
        }
        if (chat != null && chatAddress == null) {
            chatAddress = chat.listen(config.operator().chatListen(), shared);
        }
    }

    private void listed() {
        listed.set(true);
        ready();
    }

    private void ready() {
        if (handover != null && listed.get() && warm.getCount() == 0 && ready.compareAndSet(false, true)) {
            handover.serve(this::listen, () -> serving = true);
        }
    }

    /** With the other process of this conductor, while there is one. */
    private void share(Config.Limits limits, double part) {
        room.most(limits.clients());
        list.tell(new ListActor.Idle(limits.idle()));
        module.tellFirst(new ModuleActor.Beside(part));
    }

    /** Where clients come, also before this process listens there. */
    public InetSocketAddress address() {
        return address == null ? config.listen() : address;
    }

    /** Waits until the hot path has been run. */
    void awaitWarm() throws InterruptedException {
        warm.await();
    }

    /** Null where the chat API is off. */
    public InetSocketAddress chatAddress() {
        return chatAddress;
    }

    /** Where operators call; null where there is no door. */
    public InetSocketAddress door() {
        return door == null ? null : door.address();
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
        return listed.get() && warm.getCount() == 0 && lifecycle.healthy();
    }

    /** Whether requests would be served, whoever is told to come. */
    private boolean serves() {
        return serving && !lifecycle.stopping();
    }

    /** Answers what was taken and what still comes, as a {@link Lifecycle} has it, lets go of what is held, and returns. */
    public void stop() throws InterruptedException {
        try {
            lifecycle
                    .stop(handover != null && handover.leaving().get(LOOK.toMillis(), TimeUnit.MILLISECONDS))
                    .get();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warning("whether another process serves is not known: " + e);
            lifecycle.stop(false).join();
        }
        LOG.info("stopped; " + metrics.causes());
        LOG.info("stages; " + metrics.stages());
    }

    /**
     * The last before the process's end, once it has stopped. The JVM's end waits up to 0.3 s for threads within a call of the
     * system, as reactors are but for moments; the time kept free before the kill is shorter.
     */
    void quiesce() {
        turns.shutdownNow(); // else who is told of a connect's end would begin the next
        servers().forEach(HttpFrontServer::quiesce);
        reactor.quiesce();
        if (door != null) {
            try {
                door.close();
            } catch (IOException e) {
                LOG.fine(() -> "the door's end: " + e);
            }
        }
    }

    @Override
    public void close() throws IOException {
        source.stop();
        servers().forEach(HttpFrontServer::close);
        reactor.close();
        if (hookTurns != null) {
            hookTurns.shutdownNow();
        }
        if (door != null) {
            door.close();
            handover.close();
        }
        turns.shutdownNow();
    }
}

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

/** One running conductor: builds and connects its actors, fronts and reactors, and starts and stops them. */
public final class Node implements AutoCloseable {
    private static final Duration LEAST_CALL = Duration.ofMillis(250);
    private static final Duration LONGEST_CALL = Duration.ofSeconds(1);
    // idle connections are kept for this share of the servers' idle timeout
    private static final double IDLE_SHARE = 0.5;
    private static final Logger LOG = Logger.getLogger(Node.class.getName());
    // at a stop, for finding out whether another process is serving
    private static final Duration LOOK = Duration.ofMillis(500);
    private static final Duration CLOCK_LOOK =
            Duration.ofMillis(500); // between checks for steps of the wall clock
    // if discovery hasn't sent a list for so long after the start, the one known before the start is used
    private static final Duration KNOWN_AFTER = Duration.ofSeconds(2);
    // so many recently resumed streams show that other conductors have cut theirs
    private static final int MIN_RESUMED_STREAMS = 3;

    private final ScheduledThreadPoolExecutor turns =
            new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "actors"));
    private final ClientReactor reactor = new ClientReactor();
    private final ModuleActor module;
    private final ReleaseActor releases;
    private final MembershipSource source;
    private final DiscoveryWatch discovery; // null if the list comes from etcd
    private final HttpFrontServer server;
    private final AtomicBoolean listed = new AtomicBoolean();
    private final CountDownLatch warm = new CountDownLatch(1);
    private final Config config;
    private final ListActor list;
    private final Metrics metrics;
    private final ClientRoom room;
    private final LifecycleActor lifecycle;
    private volatile InetSocketAddress address; // null until this process listens there
    private final ResumedStreamCounter resumedStreams;
    private final FileRecorder fileRecorder; // null if nothing is recorded
    private ScheduledThreadPoolExecutor hookTurns;
    private HttpFrontServer chat;
    private volatile InetSocketAddress chatAddress; // null until this process listens there
    private AdminServer door; // null if there is no operators' API
    private final Handover handover; // null if there is no operators' API
    private final AtomicBoolean ready = new AtomicBoolean();
    private volatile boolean serving; // listens at the clients' address

    public Node(Config config) throws IOException, InterruptedException {
        this(config, null, 0);
    }

    /** {@code recordFile} null: nothing is recorded. {@code recordBytes}: memory for recorded events. */
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
        RegularTask.start(turns, CLOCK_LOOK, "checking the clocks", launches::look);
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
                "checking client connections",
                () -> servers().forEach(HttpFrontServer::tick));
        RegularTask.start(turns, HttpFrontServer.TICK, "cancelling overdue connects", reactor::cancelOverdue);
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
            // if discovery is down, fall back to the known list; not earlier, as the agent may know of drains that this
            // list lacks, and this conductor counts as informed of them
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
     * Timeout for the answer to a probe or a release: the connect timeout within bounds. A very short one would miss
     * answers that are on their way; a very long one would let calls pile up at an unresponsive server.
     */
    private static Duration callTimeout(Duration connectTimeout) {
        Duration least = connectTimeout.compareTo(LEAST_CALL) < 0 ? LEAST_CALL : connectTimeout;
        return least.compareTo(LONGEST_CALL) < 0 ? least : LONGEST_CALL;
    }

    /**
     * Listens at the clients' addresses. With an operators' API this is done only once the process is ready: next to an old
     * process that still serves, it would fail health checks, and on half a core a start under load took 3.2 s, but 1.4 s
     * without client connections.
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

    /** Applies this process's share of the descriptors and of the work for cold servers. */
    private void share(Config.Limits limits, double part) {
        room.most(limits.clients());
        list.tell(new ListActor.Idle(limits.idle()));
        module.tellFirst(new ModuleActor.Beside(part));
    }

    /** The clients' address, also before this process listens there. */
    public InetSocketAddress address() {
        return address == null ? config.listen() : address;
    }

    /** Waits until the warm-up is done. */
    void awaitWarm() throws InterruptedException {
        warm.await();
    }

    /** Address of the chat API; null if it is off or this process doesn't listen yet. */
    public InetSocketAddress chatAddress() {
        return chatAddress;
    }

    /** Address of the operators' API; null if it is off. */
    public InetSocketAddress door() {
        return door == null ? null : door.address();
    }

    /** Applies the one setting that can change at run time, the address of discovery; all others need a restart. */
    public void reload(Config config) {
        if (discovery != null && config.discovery() != null) {
            discovery.move(config.discovery());
        }
    }

    /** Writes the recorded events to the file; completes with whether that succeeded, or false if nothing is recorded. */
    CompletableFuture<Boolean> record() {
        return fileRecorder == null ? CompletableFuture.completedFuture(false) : fileRecorder.dump();
    }

    private List<HttpFrontServer> servers() {
        return chat == null ? List.of(server) : List.of(server, chat);
    }

    private boolean healthy() {
        return listed.get() && warm.getCount() == 0 && lifecycle.healthy();
    }

    /** Whether requests that arrive would be served, also if health checks fail because of a drain. */
    private boolean serves() {
        return serving && !lifecycle.stopping();
    }

    /**
     * Stops as {@link Lifecycle} says: answers the requests that are open or still arrive, releases read states, and
     * returns.
     */
    public void stop() throws InterruptedException {
        try {
            lifecycle
                    .stop(handover != null && handover.leaving().get(LOOK.toMillis(), TimeUnit.MILLISECONDS))
                    .get();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warning("cannot tell whether another process is serving: " + e);
            lifecycle.stop(false).join();
        }
        LOG.info("stopped; " + metrics.causes());
        LOG.info("stages; " + metrics.stages());
    }

    /**
     * Ends the reactors and the operators' API, as the last step after {@link #stop}. At its exit the JVM waits up to 0.3 s
     * for threads that are in a system call, as idle reactors are; the time left before the kill is shorter than that.
     */
    void quiesce() {
        turns.shutdownNow(); // first, as actors told of failed connects would start new ones
        servers().forEach(HttpFrontServer::quiesce);
        reactor.quiesce();
        if (door != null) {
            try {
                door.close();
            } catch (IOException e) {
                LOG.fine(() -> "closing the operators' API: " + e);
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

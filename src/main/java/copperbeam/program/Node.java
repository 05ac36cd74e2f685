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
import copperbeam.transport.ClientConnections;
import copperbeam.transport.ClientReactor;
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
    private static final Duration MIN_CALL_TIMEOUT = Duration.ofMillis(250);
    private static final Duration MAX_CALL_TIMEOUT = Duration.ofSeconds(1);
    // idle connections are kept for this share of the servers' idle timeout
    private static final double IDLE_TIMEOUT_SHARE = 0.5;
    private static final Logger LOG = Logger.getLogger(Node.class.getName());
    // at a stop, for finding out whether another process is serving
    private static final Duration SUCCESSOR_CHECK_TIMEOUT = Duration.ofMillis(500);
    private static final Duration CLOCK_CHECK_INTERVAL =
            Duration.ofMillis(500); // between checks for steps of the wall clock
    // if discovery hasn't sent a list for so long after the start, the one known before the start is used
    private static final Duration KNOWN_LIST_DELAY = Duration.ofSeconds(2);
    // so many recently resumed streams show that other conductors have cut theirs
    private static final int MIN_RESUMED_STREAMS = 3;

    private final ScheduledThreadPoolExecutor scheduler =
            new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "actors"));
    private final ClientReactor reactor = new ClientReactor();
    private final ModuleActor module;
    private final ReleaseActor releases;
    private final MembershipSource source;
    private final DiscoveryWatch discovery; // null if the list comes from etcd
    private final HttpFrontServer front;
    private final AtomicBoolean listReceived = new AtomicBoolean();
    private final CountDownLatch warmedUp = new CountDownLatch(1);
    private final Config config;
    private final ListActor listActor;
    private final Metrics metrics;
    private final ClientConnections clientConnections;
    private final LifecycleActor lifecycle;
    private volatile InetSocketAddress address; // null until this process listens there
    private final ResumedStreamCounter resumedStreams;
    private final FileRecorder fileRecorder; // null if nothing is recorded
    private ScheduledThreadPoolExecutor hookScheduler;
    private HttpFrontServer chatFront;
    private volatile InetSocketAddress chatAddress; // null until this process listens there
    private AdminServer adminServer; // null if there is no operators' API
    private final Handover handover; // null if there is no operators' API
    private final AtomicBoolean ready = new AtomicBoolean();
    private volatile boolean serving; // listens at the clients' address

    public Node(Config config) throws IOException, InterruptedException {
        this(config, null, 0);
    }

    /** {@code recordFile} null: nothing is recorded. {@code recordBytes}: memory for recorded events. */
    Node(Config config, Path recordFile, int recordBytes) throws IOException, InterruptedException {
        this.config = config;
        scheduler.setRemoveOnCancelPolicy(true);
        Clock clock = ModuleTime.steadyClock();
        fileRecorder =
                recordFile == null ? null : new FileRecorder(scheduler, clock, config.name(), recordFile, recordBytes);
        Recorder recorder = recordFile == null ? Recorder.NONE : fileRecorder;
        // at least 0.2 s, however short the lease of a read state is
        Duration releaseWithin =
                ModuleTime.duration(Math.max(0.2, config.settings().rules().stateLeaseS()));
        metrics = new Metrics(config.classNames());
        releases = new ReleaseActor(scheduler, clock, releaseWithin.multipliedBy(2));
        module = new ModuleActor(scheduler, clock, config.settings(), config.seed(), releases, recorder, metrics);
        DescriptorBudget descriptors = DescriptorBudget.ofProcess(
                config.limits().sockets(), config.limits().maxIdleConnections(), reactor);
        PeerActor.Setup setup = new PeerActor.Setup(
                clock,
                new ServerConnector(reactor, descriptors),
                config.connectTimeout(),
                Duration.ofMillis((long) (config.connectionIdleTimeout().toMillis() * IDLE_TIMEOUT_SHARE)),
                callTimeout(config.connectTimeout()),
                module,
                releases,
                recorder,
                metrics);
        listActor = new ListActor(
                scheduler,
                (id, at) -> new PeerActor(scheduler, id, at, setup),
                module,
                releases,
                config.limits().maxIdleConnections());
        BanActor bans = config.control() == null ? null : new BanActor(scheduler, clock, listActor);
        handover = bans == null ? null : new Handover(config.sharedFolder(), config.name(), clock, bans);
        LaunchTimes launches = new LaunchTimes(clock, Clock.systemUTC());
        RegularTask.start(scheduler, CLOCK_CHECK_INTERVAL, "checking the clocks", launches::checkForStep);
        MembershipSource.Sink listSink = bans == null
                ? change -> listActor.tell(new ListActor.ListChanged(launches.toSteady(change), null))
                : change -> bans.tell(new BanActor.ListChanged(launches.toSteady(change)));
        clientConnections = new ClientConnections(
                config.limits().maxClients(), config.limits().memoryLimits(), descriptors);
        boolean continuesKnownList = config.operator().etcd() == null && config.knownListing() != null;
        if (continuesKnownList) {
            listSink.changed(config.knownList().toChange(ListKind.CACHED));
            listReceived.set(true);
        }
        HttpClient client = new PlainHttpClient(reactor);
        Config.Etcd etcd = config.operator().etcd();
        discovery = etcd == null
                ? new DiscoveryWatch(
                        scheduler,
                        client,
                        clock,
                        config.discovery(),
                        config.knownListing(),
                        config.hasKnownServers(),
                        config.discoveryBackoff(),
                        config.discoveryPace())
                : null;
        source =
                etcd == null ? discovery : new EtcdMembership(scheduler, client, clock, etcd.endpoint(), etcd.prefix());
        source.start(change -> {
            listSink.changed(change);
            onListReceived();
        });
        resumedStreams = new ResumedStreamCounter(module, clock);
        Intake intake = resumedStreams;
        if (!config.operator().hooks().isEmpty()) {
            hookScheduler = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "plug-ins"));
            intake = new HookActor(
                    hookScheduler, scheduler, clock, config.operator().hooks(), config.settings(), resumedStreams);
        }
        HttpFrontServer.Observer observer = new HttpFrontServer.Observer() {
            @Override
            public void requestRejected(String requestClass, int status) {
                metrics.requestRejected(requestClass, status == 503 ? Metrics.End.DEFERRED : Metrics.End.ERRORED);
            }

            @Override
            public void connectionClosed(HttpFrontServer.CloseReason reason) {
                metrics.causes().add(CauseCounts.Kind.CONNECTION_CLOSED, reason);
            }
        };
        front = new HttpFrontServer(
                new PlatformFront(config.classNames(), intake, this::isHealthy), clock, clientConnections, observer);
        if (config.operator().chatModels() != null) {
            chatFront = new HttpFrontServer(
                    new OpenAiFront(config.operator().chatModels(), intake, this::isHealthy, clock.instant()),
                    clock,
                    clientConnections,
                    observer);
        }
        lifecycle = new LifecycleActor(
                scheduler,
                clock,
                new Lifecycle(config.operator().stopTimeout(), config.settings().streamsResumable()),
                fronts(),
                module,
                releases,
                () -> resumedStreams.recentCount() >= MIN_RESUMED_STREAMS,
                beside -> applyShare(
                        beside.another() ? config.limits().withHalfTheSockets() : config.limits(), beside.part()));
        RegularTask.start(
                scheduler,
                HttpFrontServer.TICK,
                "checking client connections",
                () -> fronts().forEach(HttpFrontServer::checkTimers));
        RegularTask.start(scheduler, HttpFrontServer.TICK, "cancelling overdue connects", reactor::cancelOverdue);
        boolean listensLater = handover != null;
        if (!listensLater) {
            listen();
        }
        if (handover != null) {
            module.tell(new ModuleActor.CountServers());
            handover.start(lifecycle);
            adminServer = new AdminServer(
                    config.control(),
                    clock,
                    new OperatorCommands(metrics, this::isServing, handover, bans, handover.executor()));
        }
        WarmUp.start(config.settings(), client, listensLater ? null : address, () -> {
            warmedUp.countDown();
            serveIfReady();
        });
        if (config.hasKnownServers() && !continuesKnownList) {
            // if discovery is down, fall back to the known list; not earlier, as the agent may know of drains that this
            // list lacks, and this conductor counts as informed of them
            scheduler.schedule(
                    () -> {
                        if (!listReceived.get()) {
                            listSink.changed(config.knownList().toChange(ListKind.CACHED));
                            onListReceived();
                        }
                    },
                    KNOWN_LIST_DELAY.toMillis(),
                    TimeUnit.MILLISECONDS);
        }
        serveIfReady();
    }

    /**
     * Timeout for the answer to a probe or a release: the connect timeout within bounds. A very short one would miss
     * answers that are on their way; a very long one would let calls pile up at an unresponsive server.
     */
    private static Duration callTimeout(Duration connectTimeout) {
        Duration atLeastMin = connectTimeout.compareTo(MIN_CALL_TIMEOUT) < 0 ? MIN_CALL_TIMEOUT : connectTimeout;
        return atLeastMin.compareTo(MAX_CALL_TIMEOUT) < 0 ? atLeastMin : MAX_CALL_TIMEOUT;
    }

    /**
     * Listens at the clients' addresses. With an operators' API this is done only once the process is ready: an old
     * process may still be serving there, and health checks that reach this one instead would fail. Also, on half a
     * core a start took 3.2 s under load, but 1.4 s without client connections.
     */
    private void listen() throws IOException {
        boolean shared = handover != null;
        if (address == null) {
            address = front.listen(config.listen(), shared);
        }
        if (chatFront != null && chatAddress == null) {
            chatAddress = chatFront.listen(config.operator().chatListen(), shared);
        }
    }

    private void onListReceived() {
        listReceived.set(true);
        serveIfReady();
    }

    private void serveIfReady() {
        if (handover != null && listReceived.get() && warmedUp.getCount() == 0 && ready.compareAndSet(false, true)) {
            handover.startServing(this::listen, () -> serving = true);
        }
    }

    /** Applies this process's share of the descriptors and of the work for cold servers. */
    private void applyShare(Config.Limits limits, double part) {
        clientConnections.setMaxBusy(limits.maxClients());
        listActor.tell(new ListActor.IdleLimit(limits.maxIdleConnections()));
        module.tellUrgent(new ModuleActor.ColdWorkShare(part));
    }

    /** The clients' address, also before this process listens there. */
    public InetSocketAddress address() {
        return address == null ? config.listen() : address;
    }

    /** Waits until the warm-up is done. */
    void awaitWarmUp() throws InterruptedException {
        warmedUp.await();
    }

    /** Address of the chat API; null if it is off or this process doesn't listen yet. */
    public InetSocketAddress chatAddress() {
        return chatAddress;
    }

    /** Address of the operators' API; null if it is off. */
    public InetSocketAddress adminAddress() {
        return adminServer == null ? null : adminServer.address();
    }

    /** Applies the one setting that can change at run time, the address of discovery; all others need a restart. */
    public void reload(Config config) {
        if (discovery != null && config.discovery() != null) {
            discovery.moveTo(config.discovery());
        }
    }

    /** Writes the recorded events to the file; completes with whether that succeeded, or false if nothing is recorded. */
    CompletableFuture<Boolean> writeRecording() {
        return fileRecorder == null ? CompletableFuture.completedFuture(false) : fileRecorder.dump();
    }

    private List<HttpFrontServer> fronts() {
        return chatFront == null ? List.of(front) : List.of(front, chatFront);
    }

    private boolean isHealthy() {
        return listReceived.get() && warmedUp.getCount() == 0 && lifecycle.isHealthy();
    }

    /** Whether requests that arrive would be served, also if health checks fail because of a drain. */
    private boolean isServing() {
        return serving && !lifecycle.isStopping();
    }

    /**
     * Stops as {@link Lifecycle} says: answers the requests that are open or still arrive, releases read states, and
     * returns.
     */
    public void stop() throws InterruptedException {
        try {
            lifecycle
                    .stop(handover != null
                            && handover.startLeaving().get(SUCCESSOR_CHECK_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS))
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
        scheduler.shutdownNow(); // first, as actors told of failed connects would start new ones
        fronts().forEach(HttpFrontServer::quiesce);
        reactor.quiesce();
        if (adminServer != null) {
            try {
                adminServer.close();
            } catch (IOException e) {
                LOG.fine(() -> "closing the operators' API: " + e);
            }
        }
    }

    @Override
    public void close() throws IOException {
        source.stop();
        fronts().forEach(HttpFrontServer::close);
        reactor.close();
        if (hookScheduler != null) {
            hookScheduler.shutdownNow();
        }
        if (adminServer != null) {
            adminServer.close();
            handover.close();
        }
        scheduler.shutdownNow();
    }
}

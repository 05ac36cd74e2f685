package copperbeam.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import copperbeam.Api.ListKind;
import copperbeam.protocol.HttpClient;
import copperbeam.protocol.discovery.DiscoveryWatch;
import copperbeam.protocol.etcd.EtcdMembership;
import copperbeam.protocol.openai.OpenAiFront;
import copperbeam.protocol.platform.PlatformFront;
import copperbeam.routing.HookActor;
import copperbeam.routing.Intake;
import copperbeam.routing.ListActor;
import copperbeam.routing.MembershipSource;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.ModuleTime;
import copperbeam.routing.PeerActor;
import copperbeam.routing.ReleaseActor;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.ClientRoom;
import copperbeam.transport.HttpFrontServer;
import copperbeam.transport.PlainHttpClient;
import copperbeam.transport.ServerConnector;

/** One running conductor: its actors, its fronts and its reactors. */
public final class Node implements AutoCloseable {
    private static final double IDLE_SHARE = 0.5; // of the servers' limit for which we keep idle connections
    private static final Duration KEEP_ACCEPTING = Duration.ofMillis(800); // after a stop is asked for
    // both after that; the platform may kill a conductor 3.7 s after it asked for the stop
    private static final Duration HAND_OVER = Duration.ofMillis(1700);
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
    private ScheduledThreadPoolExecutor hookTurns;
    private HttpFrontServer chat;
    private InetSocketAddress chatAddress;

    public Node(Config config) throws IOException, InterruptedException {
        turns.setRemoveOnCancelPolicy(true);
        Clock clock = ModuleTime.steadyClock();
        Duration releaseWithin = ModuleTime.span(Math.max(0.2, config.settings().rules().releaseS()));
        releases = new ReleaseActor(turns, clock, releaseWithin.multipliedBy(2));
        module = new ModuleActor(turns, clock, config.settings(), config.seed(), releases);
        PeerActor.Setup setup = new PeerActor.Setup(clock, new ServerConnector(reactor), config.connectTimeout(),
                Duration.ofMillis((long) (config.connectionIdle().toMillis() * IDLE_SHARE)),
                config.connectTimeout(), module, releases);
        ListActor list = new ListActor(turns, (id, at) -> new PeerActor(turns, id, at, setup), module, releases,
                config.limits().idle());
        ClientRoom room = new ClientRoom(config.limits().clients(), config.limits().bodies());
        if (config.known() != null) {
            list.tell(config.known().change(ListKind.CACHED));
        }
        HttpClient client = new PlainHttpClient(reactor);
        Config.Etcd etcd = config.operator().etcd();
        discovery = etcd == null ? new DiscoveryWatch(turns, client, clock, config.discovery()) : null;
        source = etcd == null ? discovery : new EtcdMembership(turns, client, etcd.endpoint(), etcd.prefix());
        source.start(change -> {
            list.tell(change);
            listed.set(true);
        });
        Intake intake = module;
        if (!config.operator().hooks().isEmpty()) {
            hookTurns = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "plug-ins"));
            intake = new HookActor(hookTurns, config.operator().hooks(), config.settings(), module);
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

    private List<HttpFrontServer> servers() {
        return chat == null ? List.of(server) : List.of(server, chat);
    }

    private boolean healthy() {
        return listed.get() && warm.getCount() == 0 && !stopping.get();
    }

    /** Answers what was taken and what still comes for a while, lets go of what is held, and returns. */
    public void stop() throws InterruptedException {
        if (!stopping.compareAndSet(false, true)) {
            return;
        }
        servers().forEach(HttpFrontServer::drain);
        Thread.sleep(KEEP_ACCEPTING.toMillis());
        servers().forEach(HttpFrontServer::closeIdle);
        module.tellLater(HAND_OVER, new ModuleActor.HandOver());
        long until = System.nanoTime() + LONGEST_STOP.toNanos();
        do {
            CountDownLatch quiet = new CountDownLatch(1);
            module.tell(new ModuleActor.Drain(() -> releases.tell(new ReleaseActor.Drain(quiet::countDown))));
            quiet.await(LONGEST_STOP.toMillis(), TimeUnit.MILLISECONDS);
            servers().forEach(HttpFrontServer::closeIdle);
            Thread.sleep(50);
        } while (servers().stream().anyMatch(HttpFrontServer::busy) && System.nanoTime() < until);
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

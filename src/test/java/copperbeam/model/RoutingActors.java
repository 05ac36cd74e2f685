package copperbeam.model;

import copperbeam.routing.Connector;
import copperbeam.routing.Metrics;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.PeerActor;
import copperbeam.routing.Recorder;
import copperbeam.routing.ReleaseActor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;

/** The actors of one process in virtual time, whose connections are the test's. */
final class RoutingActors {
    private static final Duration TIMEOUT = Duration.ofMillis(250); // of connects, probes and releases
    private static final Duration IDLE_LIFETIME = Duration.ofSeconds(15);
    private static final Duration RELEASE_TIME = Duration.ofSeconds(2);
    private static final int SEED = 7;

    final ModuleActor module;
    private final ScheduledExecutorService executor;
    private final PeerActor.Setup setup;

    /** {@code turnNanos}: how long each message takes. */
    RoutingActors(VirtualTime time, long turnNanos, Connector connector) {
        executor = time.executor(new VirtualTime.SimulatedThread(() -> turnNanos));
        ReleaseActor releases = new ReleaseActor(executor, time, RELEASE_TIME);
        Metrics metrics = new Metrics(List.of("c"));
        module = new ModuleActor(executor, time, EndedRequestTest.SETTINGS, SEED, releases, Recorder.NONE, metrics);
        setup = new PeerActor.Setup(
                time, connector, TIMEOUT, IDLE_LIFETIME, TIMEOUT, module, releases, Recorder.NONE, metrics);
    }

    PeerActor newPeer(String server) {
        return new PeerActor(executor, server, new InetSocketAddress("127.0.0.1", 1), setup);
    }
}

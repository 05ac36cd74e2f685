package copperbeam.model;

import static org.testng.Assert.assertEquals;

import copperbeam.Api;
import copperbeam.routing.Answer;
import copperbeam.routing.Ask;
import copperbeam.routing.Connector;
import copperbeam.routing.Metrics;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.PeerActor;
import copperbeam.routing.Recorder;
import copperbeam.routing.ReleaseActor;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import org.testng.annotations.Test;

/**
 * Once a request has its final answer, the last byte of its attempt is no longer sent, even while the message that cancels
 * the attempt is still queued at the peer actor. Seed 30985 of an early {@link ModelTest} found such a late send.
 */
public class EndedRequestTest {
    private static final Duration TIMEOUT = Duration.ofMillis(250);
    static final Api.Settings SETTINGS = new Api.Settings(
            1,
            0,
            List.of(new Api.RequestClass("c", 1.5, 0, 3, Api.Effect.SAFE, Api.Group.ALL, 9)),
            List.of(),
            List.of(new Api.Kind("r", Api.Role.READER, 1e6), new Api.Kind("w", Api.Role.WRITER, 1e6)),
            new Api.Limits(4, true, true, 1),
            new Api.Rules(0, 0, 3, 2, 1, 0),
            Api.Reports.WITH_PROBES,
            false,
            0,
            false,
            true);

    private final List<Connector.AttemptCall> calls = new ArrayList<>();
    private final List<String> seen = new ArrayList<>();

    @Test
    public void theLastByteStaysOnceTheFinalAnswerIsGiven() throws Exception {
        VirtualTime time = new VirtualTime();
        ScheduledExecutorService turns = time.executor(new VirtualTime.Thread(() -> VirtualTime.MILLI));
        ReleaseActor releases = new ReleaseActor(turns, time, Duration.ofSeconds(2));
        Metrics metrics = new Metrics(List.of("c"));
        ModuleActor module = new ModuleActor(turns, time, SETTINGS, 7, releases, Recorder.NONE, metrics);
        PeerActor.Setup setup = new PeerActor.Setup(
                time,
                (to, timeout, watcher) -> watcher.up(connection()),
                TIMEOUT,
                Duration.ofSeconds(15),
                TIMEOUT,
                module,
                releases,
                Recorder.NONE,
                metrics);
        PeerActor peer = new PeerActor(turns, "s", new InetSocketAddress("127.0.0.1", 1), setup);
        module.tell(new ModuleActor.Listed(
                Api.ListKind.FULL,
                List.of(new Api.Member("s", "z", "r", 0, Api.ServerState.READY, 1, 0)),
                Map.of("s", peer),
                null));
        Ask ask = new Ask("id", "c", "k", null, 100, 0, 10, time.instant(4 * VirtualTime.SECOND), false, null);
        module.arrive(ask, answer());
        time.run(100 * VirtualTime.MILLI);
        assertEquals(calls.size(), 1);
        assertEquals(calls.get(0).wanted().getAsBoolean(), true);
        module.tell(new ModuleActor.HandOver()); // as a stop does; long before the deadline of the request
        time.run(200 * VirtualTime.MILLI);
        assertEquals(seen, List.of("refuse, last byte wanted: false", "abort"));
    }

    private Answer answer() {
        return (Answer) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {Answer.class}, (proxy, method, args) -> {
                    switch (method.getName()) {
                        case "gone":
                            return false;
                        case "hashCode":
                            return 1;
                        case "equals":
                            return proxy == args[0];
                        default:
                            seen.add(method.getName() + ", last byte wanted: "
                                    + calls.get(0).wanted().getAsBoolean());
                            return null;
                    }
                });
    }

    /** A connection that accepts an attempt but does not send its last byte yet; records all other calls. */
    private Connector.Connection connection() {
        return (Connector.Connection) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {Connector.Connection.class}, (proxy, method, args) -> {
                    switch (method.getName()) {
                        case "isOpen", "released":
                            return true;
                        case "call":
                            if (args[0] instanceof Connector.AttemptCall a) {
                                calls.add(a);
                            }
                            return null;
                        default:
                            seen.add(method.getName());
                            return null;
                    }
                });
    }
}

package copperbeam.model;

import static org.testng.Assert.assertEquals;

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
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import org.testng.annotations.Test;

/** A connection that breaks before the last byte was sent is replaced, and the new connect has a full timeout of its own. */
public class ReconnectTest {
    private static final Duration TIMEOUT = Duration.ofMillis(250);

    private final List<Connector.Watcher> watchers = new ArrayList<>();
    private final List<Connector.Listener> listeners = new ArrayList<>();

    @Test
    public void theTimeOfAnEarlierConnectIsNotThatOfALaterOne() throws Exception {
        VirtualTime time = new VirtualTime();
        ScheduledExecutorService turns = time.executor(new VirtualTime.Thread(() -> 0));
        ReleaseActor releases = new ReleaseActor(turns, time, Duration.ofSeconds(2));
        Metrics metrics = new Metrics(List.of("c"));
        ModuleActor module =
                new ModuleActor(turns, time, EndedRequestTest.SETTINGS, 7, releases, Recorder.NONE, metrics);
        PeerActor peer = new PeerActor(
                turns,
                "s",
                new InetSocketAddress("127.0.0.1", 1),
                new PeerActor.Setup(
                        time,
                        (to, timeout, watcher) -> watchers.add(watcher),
                        TIMEOUT,
                        Duration.ofSeconds(15),
                        TIMEOUT,
                        module,
                        releases,
                        Recorder.NONE,
                        metrics));
        Instant deadline = time.instant(4 * VirtualTime.SECOND);
        Ask ask = new Ask("id", "c", "k", null, 100, 0, 10, deadline, false, null);
        peer.tell(new PeerActor.Send(
                1, 0, ask, proxy(Answer.class), deadline, Instant.MAX, Instant.MAX, true, false, () -> false));
        time.run(VirtualTime.MILLI);
        watchers.get(0).up(proxy(Connector.Connection.class));
        time.run(200 * VirtualTime.MILLI);
        listeners.get(0).broken(false);
        time.run(300 * VirtualTime.MILLI); // past the timeout of the first connect
        assertEquals(watchers.size(), 2);
        watchers.get(1).up(proxy(Connector.Connection.class));
        time.run(310 * VirtualTime.MILLI);
        assertEquals(listeners.size(), 2, "the call must be sent on the new connection as well");
    }

    private <T> T proxy(Class<T> type) {
        return type.cast(Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {type}, (proxy, method, args) -> {
                    if (method.getName().equals("call")) {
                        listeners.add((Connector.Listener) args[1]);
                    }
                    return method.getReturnType() == boolean.class
                            ? method.getName().equals("isOpen")
                            : null;
                }));
    }
}

package copperbeam.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.routing.Connector;
import copperbeam.routing.Metrics;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.PeerActor;
import copperbeam.routing.Recorder;
import copperbeam.routing.ReleaseActor;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Releases that have waited for an outage to end are each asked for a few times after it, however many they are. */
public class OverdueReleasesTest {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);
    private static final int OUTAGE_S = 6;
    private static final int RECOVERY_S = 10;
    private static final int MAX_CALLS_PER_RELEASE = 4;

    private final VirtualTime time = new VirtualTime();
    private final ScheduledExecutorService executor = time.executor(new VirtualTime.SimulatedThread(() -> 0));
    private boolean reachable;
    private int answerDelayMs;
    private int calls;
    private final Set<String> released = new HashSet<>();

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {{20, 5}, {300, 5}, {300, 100}, {300, 200}, {1000, 150}};
    }

    private void connect(Connector.ConnectionListener listener) {
        time.runAfter(VirtualTime.NANOS_PER_MS, () -> {
            if (reachable) {
                listener.connected((Connector.Connection) Proxy.newProxyInstance(
                        getClass().getClassLoader(),
                        new Class<?>[] {Connector.Connection.class},
                        (proxy, method, arguments) -> {
                            if (method.getName().equals("call")) {
                                answer((Connector.ReleaseCall) arguments[0], (Connector.CallListener) arguments[1]);
                            }
                            return method.getReturnType() == boolean.class ? true : null;
                        }));
            } else {
                listener.connectFailed();
            }
        });
    }

    private void answer(Connector.ReleaseCall call, Connector.CallListener listener) {
        calls++;
        time.runAfter(answerDelayMs * VirtualTime.NANOS_PER_MS, () -> {
            released.add(call.requestId());
            listener.answerClassified(Connector.AnswerKind.HEARD, null);
            listener.end(true, Double.NaN);
        });
    }

    @Test(dataProvider = "loads")
    public void theEndOfAnOutageDoesNotMultiplyTheReleasesThatWaited(int releaseCount, int answerDelay)
            throws Exception {
        reachable = false;
        calls = 0;
        released.clear();
        answerDelayMs = answerDelay;
        ReleaseActor releases = new ReleaseActor(executor, time, Duration.ofSeconds(2));
        Metrics metrics = new Metrics(List.of("c"));
        ModuleActor module =
                new ModuleActor(executor, time, EndedRequestTest.SETTINGS, 7, releases, Recorder.NONE, metrics);
        PeerActor.Setup setup = new PeerActor.Setup(
                time,
                (address, timeout, listener) -> connect(listener),
                CONNECT_TIMEOUT,
                Duration.ofSeconds(15),
                CONNECT_TIMEOUT,
                module,
                releases,
                Recorder.NONE,
                metrics);
        PeerActor peer = new PeerActor(executor, "s", new InetSocketAddress("127.0.0.1", 1), setup);
        long start = time.now();
        releases.tell(new ReleaseActor.ServersListed(Map.of("s", peer)));
        for (int i = 0; i < releaseCount; i++) {
            releases.tell(new ReleaseActor.Release("id" + i, "s", null));
        }
        time.advanceTo(start + OUTAGE_S * VirtualTime.NANOS_PER_S);
        reachable = true;
        time.advanceTo(start + (OUTAGE_S + RECOVERY_S) * VirtualTime.NANOS_PER_S);
        assertEquals(released.size(), releaseCount);
        assertTrue(calls <= MAX_CALLS_PER_RELEASE * releaseCount, calls + " calls for " + releaseCount);
    }
}

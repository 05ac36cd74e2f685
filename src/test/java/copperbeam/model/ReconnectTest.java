package copperbeam.model;

import static org.testng.Assert.assertEquals;

import copperbeam.routing.Connector;
import copperbeam.routing.PeerActor;
import copperbeam.routing.RequestSpec;
import copperbeam.routing.ResponseSink;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A connection that breaks before the last byte was sent is replaced, and the new connect has a full timeout of its own. */
public class ReconnectTest {
    private final List<Connector.ConnectionListener> connectionListeners = new ArrayList<>();
    private final List<Connector.Call> calls = new ArrayList<>();
    private final List<Connector.CallListener> callListeners = new ArrayList<>();

    private VirtualTime time;

    @BeforeMethod
    public void reset() {
        connectionListeners.clear();
        calls.clear();
        callListeners.clear();
        time = new VirtualTime();
    }

    @Test
    public void eachConnectHasItsOwnTimeout() throws Exception {
        List<Runnable> overdueConnects = new ArrayList<>();
        sendAttempt(overdueConnects::add);
        time.advanceTo(VirtualTime.NANOS_PER_MS);
        connectionListeners.get(0).connected(proxy(Connector.Connection.class));
        time.advanceTo(200 * VirtualTime.NANOS_PER_MS);
        callListeners.get(0).broken(false);
        time.advanceTo(300 * VirtualTime.NANOS_PER_MS); // past the timeout of the first connect
        assertEquals(connectionListeners.size(), 2);
        connectionListeners.get(1).connected(proxy(Connector.Connection.class));
        time.advanceTo(310 * VirtualTime.NANOS_PER_MS);
        assertEquals(callListeners.size(), 2, "the call must be sent on the new connection as well");
        time.advanceTo(600 * VirtualTime.NANOS_PER_MS);
        assertEquals(overdueConnects.size(), 0, "connects that are up aren't overdue");
        assertEquals(timeoutMargin(0), Duration.ZERO);
        assertEquals(timeoutMargin(1), Duration.ofMillis(300), "the next last byte may leave as late as the first one");
    }

    /** A process short of CPU took connections that were up for failed, and refused requests. */
    @Test
    public void aConnectionThatIsUpCountsThoughItIsNoticedLate() throws Exception {
        sendAttempt(then -> {
            connectionListeners.get(0).connected(proxy(Connector.Connection.class));
            then.run();
        });
        time.advanceTo(300 * VirtualTime.NANOS_PER_MS);
        assertEquals(callListeners.size(), 1, "the call must be sent on the connection");
    }

    /** Sends an attempt to a server; {@code afterConnects} is called when a connect is overdue. */
    private void sendAttempt(Consumer<Runnable> afterConnects) throws Exception {
        Connector connector = new Connector() {
            @Override
            public void connect(InetSocketAddress address, Duration timeout, ConnectionListener listener) {
                connectionListeners.add(listener);
            }

            @Override
            public void afterConnects(Runnable then) {
                afterConnects.accept(then);
            }
        };
        PeerActor peer = new RoutingActors(time, 0, connector).newPeer("s");
        Instant deadline = time.instant(4 * VirtualTime.NANOS_PER_S);
        RequestSpec spec = new RequestSpec("id", "c", "k", null, 100, 0, 10, deadline, false, null);
        peer.tell(new PeerActor.Send(
                1, 0, spec, proxy(ResponseSink.class), deadline, Instant.MAX, Instant.MAX, true, false, () -> false));
    }

    private Duration timeoutMargin(int call) {
        return ((Connector.AttemptCall) calls.get(call)).timeoutMargin();
    }

    private <T> T proxy(Class<T> type) {
        return type.cast(Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {type}, (proxy, method, args) -> {
                    if (method.getName().equals("call")) {
                        calls.add((Connector.Call) args[0]);
                        callListeners.add((Connector.CallListener) args[1]);
                    }
                    return method.getReturnType() == boolean.class
                            ? method.getName().equals("isOpen")
                            : null;
                }));
    }
}

package copperbeam.model;

import static org.testng.Assert.assertEquals;

import copperbeam.Api;
import copperbeam.routing.Connector;
import copperbeam.routing.Connector.AnswerKind;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.RequestSpec;
import copperbeam.routing.ResponseSink;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** No attempt begins while the connection of the one before is still open, however late a busy reactor closes it. */
public class OneAttemptAtATimeTest {
    private static final long BROKEN_AT = 100 * VirtualTime.NANOS_PER_MS;
    private static final long CLOSED_AT = 200 * VirtualTime.NANOS_PER_MS;

    private final List<Connector.CallListener> attempts = new ArrayList<>();

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {{null}, {AnswerKind.ERROR}, {AnswerKind.TURNED_AWAY}, {AnswerKind.READ}};
    }

    /** {@code answerKind}: what the head of the first answer says before the rest is lost, or null if no head comes. */
    @Test(dataProvider = "answers")
    public void theNextAttemptWaitsForTheClose(AnswerKind answerKind) throws Exception {
        attempts.clear();
        VirtualTime time = new VirtualTime();
        submitRequest(time);
        time.advanceTo(BROKEN_AT);
        assertEquals(attempts.size(), 1);
        if (answerKind != null) {
            attempts.get(0).answerClassified(answerKind, null);
        }
        attempts.get(0).broken(true);
        time.advanceTo(CLOSED_AT - VirtualTime.NANOS_PER_MS);
        assertEquals(attempts.size(), 1, "attempts before the close");
        time.advanceTo(2 * CLOSED_AT);
        assertEquals(attempts.size(), 2, "attempts after it");
    }

    private void submitRequest(VirtualTime time) {
        RoutingActors actors =
                new RoutingActors(time, 0, (address, timeout, listener) -> listener.connected(newConnection(time)));
        List<String> servers = List.of("s", "t");
        actors.module.tell(new ModuleActor.ServersListed(
                Api.ListKind.FULL,
                servers.stream()
                        .map(server -> new Api.Member(server, "z", "r", 0, Api.ServerState.READY, 1, 0))
                        .toList(),
                servers.stream().collect(Collectors.toMap(server -> server, actors::newPeer)),
                null));
        RequestSpec spec = new RequestSpec(
                "id", "c", "k", null, 100, 0, 10, time.instant(4 * VirtualTime.NANOS_PER_S), false, null);
        actors.module.submit(spec, unreadAnswer());
    }

    private ResponseSink unreadAnswer() {
        return (ResponseSink) Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {ResponseSink.class},
                (proxy, method, args) -> method.getReturnType() == boolean.class ? false : null);
    }

    /** A connection that takes attempts, and is closed at {@link #CLOSED_AT} at the earliest. */
    private Connector.Connection newConnection(VirtualTime time) {
        return (Connector.Connection) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {Connector.Connection.class}, (proxy, method, args) -> {
                    switch (method.getName()) {
                        case "isOpen":
                            return true;
                        case "released":
                            return time.now() >= CLOSED_AT;
                        case "call":
                            if (args[0] instanceof Connector.AttemptCall) {
                                attempts.add((Connector.CallListener) args[1]);
                            }
                            return null;
                        default:
                            return null;
                    }
                });
    }
}

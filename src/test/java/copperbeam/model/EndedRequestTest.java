package copperbeam.model;

import static org.testng.Assert.assertEquals;

import copperbeam.Api;
import copperbeam.routing.Connector;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.RequestSpec;
import copperbeam.routing.ResponseSink;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/**
 * Once a request has its final answer, the last byte of its attempt is no longer sent, even while the message that cancels
 * the attempt is still queued at the peer actor. Seed 30985 of an early {@link ModelTest} found such a late send.
 */
public class EndedRequestTest {
    static final Api.Settings SETTINGS = new Api.Settings(
            1,
            0,
            List.of(new Api.RequestClass("c", 1.5, 0, 3, Api.Repeats.SAFE, Api.DedupScope.ALL, 9)),
            List.of(),
            List.of(new Api.ServerKind("r", Api.Role.READER, 1e6), new Api.ServerKind("w", Api.Role.WRITER, 1e6)),
            new Api.Limits(4, true, true, 1),
            new Api.Rules(0, 0, 3, 2, 1, 0),
            Api.ReportTiming.WITH_PROBES,
            false,
            0,
            false,
            true);

    private final List<Connector.AttemptCall> attemptCalls = new ArrayList<>();
    private final List<String> recordedCalls = new ArrayList<>();

    @Test
    public void theLastByteIsNotSentAfterTheFinalAnswer() throws Exception {
        VirtualTime time = new VirtualTime();
        RoutingActors actors = new RoutingActors(
                time,
                VirtualTime.NANOS_PER_MS,
                (address, timeout, listener) -> listener.connected(recordingConnection()));
        ModuleActor module = actors.module;
        module.tell(new ModuleActor.ServersListed(
                Api.ListKind.FULL,
                List.of(new Api.Member("s", "z", "r", 0, Api.ServerState.READY, 1, 0)),
                Map.of("s", actors.newPeer("s")),
                null));
        RequestSpec spec = new RequestSpec(
                "id", "c", "k", null, 100, 0, 10, time.instant(4 * VirtualTime.NANOS_PER_S), false, null);
        module.submit(spec, recordingSink());
        time.advanceTo(100 * VirtualTime.NANOS_PER_MS);
        assertEquals(attemptCalls.size(), 1);
        assertEquals(attemptCalls.get(0).maySendLastByte().getAsBoolean(), true);
        module.tell(new ModuleActor.ExpireOpenRequests()); // as a stop does; long before the deadline of the request
        time.advanceTo(200 * VirtualTime.NANOS_PER_MS);
        assertEquals(recordedCalls, List.of("refuse, last byte wanted: false", "abort"));
    }

    private ResponseSink recordingSink() {
        return (ResponseSink) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {ResponseSink.class}, (proxy, method, args) -> {
                    switch (method.getName()) {
                        case "gone":
                            return false;
                        case "hashCode":
                            return 1;
                        case "equals":
                            return proxy == args[0];
                        default:
                            recordedCalls.add(method.getName() + ", last byte wanted: "
                                    + attemptCalls.get(0).maySendLastByte().getAsBoolean());
                            return null;
                    }
                });
    }

    /** A connection that accepts an attempt but does not send its last byte yet; records all other calls. */
    private Connector.Connection recordingConnection() {
        return (Connector.Connection) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {Connector.Connection.class}, (proxy, method, args) -> {
                    switch (method.getName()) {
                        case "isOpen", "released":
                            return true;
                        case "call":
                            if (args[0] instanceof Connector.AttemptCall a) {
                                attemptCalls.add(a);
                            }
                            return null;
                        default:
                            recordedCalls.add(method.getName());
                            return null;
                    }
                });
    }
}

package copperbeam.routing;

import static org.testng.Assert.assertEquals;

import copperbeam.Api;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A stream whose server ends it at the moment at which this process cuts it because it is about to exit. */
public class CutTest {
    /**
     * First the steps, in order: what comes from the server, the cut, and a crowd of new requests; all are queued before any
     * actor has its turn ({@code unread}: the end of the stream is still unread when the cut is handled). Then the calls that
     * the response sink must receive.
     */
    @DataProvider
    public Object[][] orders() {
        return new Object[][] {
            {"end cut", "begin 1 end"},
            {"cut end", "begin 1 end"},
            {"cut event end", "begin 1 2 end"},
            {"event cut", "begin 1 2 broken"},
            {"cut break", "begin 1 broken"},
            {"cut", "begin 1 broken"},
            {"unread cut", "begin 1 2 end"},
            {"crowd end", "begin 1 end crowd"},
            {"crowd event break", "begin 1 2 broken crowd"},
        };
    }

    @Test(dataProvider = "orders")
    public void whatHasEndedIsPassedOnWhole(String steps, String expectedCalls) throws Exception {
        ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(1);
        try {
            StringBuilder received = new StringBuilder();
            ResponseSink response = (ResponseSink) Proxy.newProxyInstance(
                    getClass().getClassLoader(),
                    new Class<?>[] {ResponseSink.class},
                    (proxy, method, args) -> switch (method.getName()) {
                        case "gone" -> false;
                        case "event" ->
                            received.append(new String((byte[]) args[0], StandardCharsets.US_ASCII))
                                            .append(' ')
                                    != null;
                        default -> received.append(method.getName()).append(' ').isEmpty() ? null : null;
                    });
            int[] crowdCalls = {0};
            ResponseSink crowdResponse = (ResponseSink) Proxy.newProxyInstance(
                    getClass().getClassLoader(),
                    new Class<?>[] {ResponseSink.class},
                    (proxy, method, args) ->
                            ++crowdCalls[0] < 100 || received.append("crowd ") != null); // their clients have all gone
            Connector.CallListener[] callListener = new Connector.CallListener[1];
            Connector.Connection connection = (Connector.Connection) Proxy.newProxyInstance(
                    getClass().getClassLoader(), new Class<?>[] {Connector.Connection.class}, (proxy, method, args) -> {
                        callListener[0] =
                                method.getName().equals("call") ? (Connector.CallListener) args[1] : callListener[0];
                        if (method.getName().equals("readOut")) {
                            if (steps.startsWith("unread")) {
                                callListener[0].event("2".getBytes(StandardCharsets.US_ASCII));
                                callListener[0].end(true, Double.NaN);
                            }
                            ((Runnable) args[0]).run();
                        }
                        return method.getReturnType() == boolean.class ? true : null; // open, or closed at once
                    });
            Duration minute = Duration.ofMinutes(1);
            Clock clock = Clock.systemUTC();
            Metrics metrics = new Metrics(List.of("c"));
            ReleaseActor releases = new ReleaseActor(scheduler, clock, minute);
            Api.Settings settings = new Api.Settings(
                    1,
                    0,
                    List.of(new Api.RequestClass("c", 1, 0, 1, Api.Repeats.SAFE, Api.DedupScope.ALL, 0)),
                    List.of(),
                    List.of(),
                    new Api.Limits(4, true, false, 1),
                    new Api.Rules(1, 0, 1, 1, 1, 1),
                    Api.ReportTiming.NEVER,
                    false,
                    0,
                    true,
                    true);
            ModuleActor module = new ModuleActor(scheduler, clock, settings, 7, releases, Recorder.NONE, metrics);
            PeerActor peer = new PeerActor(
                    scheduler,
                    "s",
                    new InetSocketAddress("127.0.0.1", 1),
                    new PeerActor.Setup(
                            clock,
                            (address, timeout, connectionListener) -> connectionListener.connected(connection),
                            minute,
                            minute,
                            minute,
                            module,
                            releases,
                            Recorder.NONE,
                            metrics));
            module.tell(new ModuleActor.ServersListed(
                    Api.ListKind.FULL,
                    List.of(new Api.Member("s", "z", "k", 0, Api.ServerState.READY, 1, 0)),
                    Map.of("s", peer),
                    null));
            RequestSpec spec = new RequestSpec(
                    "id", "c", "k", null, 1, 0, 1, clock.instant().plus(minute), false, null);
            module.submit(spec, response);
            runPendingTurns(scheduler);
            callListener[0].answerClassified(Connector.AnswerKind.STREAM, null);
            callListener[0].event("1".getBytes(StandardCharsets.US_ASCII));
            runPendingTurns(scheduler);
            assertEquals(received.toString(), "begin 1 ");
            scheduler
                    .submit(() -> {
                        for (String step : steps.split(" ")) {
                            switch (step) {
                                case "unread" -> {}
                                case "cut" -> module.tell(new ModuleActor.TransferStreams());
                                case "crowd" -> {
                                    for (int i = 0; i < 100; i++) {
                                        module.submit(spec, crowdResponse);
                                    }
                                }
                                case "event" -> callListener[0].event("2".getBytes(StandardCharsets.US_ASCII));
                                case "end" -> callListener[0].end(true, Double.NaN);
                                default -> callListener[0].broken(true);
                            }
                        }
                    })
                    .get();
            runPendingTurns(scheduler);
            assertEquals(received.toString().strip(), expectedCalls);
        } finally {
            scheduler.shutdownNow();
        }
    }

    /** Runs enough turns for all actors, since each turn of one may schedule a turn of another. */
    private static void runPendingTurns(ScheduledThreadPoolExecutor scheduler) throws Exception {
        for (int i = 0; i < 20; i++) {
            scheduler.submit(() -> {}).get();
        }
    }
}

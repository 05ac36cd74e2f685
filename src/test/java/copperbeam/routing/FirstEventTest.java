package copperbeam.routing;

import static org.testng.Assert.assertTrue;

import copperbeam.Api;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.Test;

/** The first event of a stream must not queue behind many new requests, or it would reach its client late. */
public class FirstEventTest {
    private static final int QUEUED_REQUESTS = 1000;

    @Test
    public void aFirstEventGoesAheadOfACrowd() throws Exception {
        ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(1);
        try {
            AtomicReference<Connector.ConnectionListener> connectionListener = new AtomicReference<>();
            AtomicReference<Connector.CallListener> callListener = new AtomicReference<>();
            CountDownLatch notYetHandled = new CountDownLatch(QUEUED_REQUESTS);
            long[] stillWaiting = {-1};
            Connector.Connection connection = proxy(Connector.Connection.class, (proxy, method, args) -> {
                if (method.getName().equals("call")) {
                    callListener.set((Connector.CallListener) args[1]);
                } else if (method.getName().equals("close")) {
                    stillWaiting[0] =
                            notYetHandled
                                    .getCount(); // the ModuleActor cancels the attempt, as it doesn't know its request
                }
                return method.getReturnType() == boolean.class ? true : null;
            });
            Connector connector = (address, timeout, newListener) -> connectionListener.set(newListener);
            ResponseSink goneClientResponse = proxy(ResponseSink.class, (proxy, method, args) -> {
                if (method.getName().equals("gone")) {
                    notYetHandled.countDown();
                    return true;
                }
                return null;
            });
            ResponseSink response = proxy(
                    ResponseSink.class,
                    (proxy, method, args) -> method.getName().equals("gone") ? false : null);
            Clock clock = Clock.systemUTC();
            Duration minute = Duration.ofMinutes(1);
            Instant deadline = clock.instant().plus(minute);
            Metrics metrics = new Metrics(List.of("c"));
            ReleaseActor releases = new ReleaseActor(scheduler, clock, minute);
            Api.Settings settings = new Api.Settings(
                    1,
                    0,
                    List.of(),
                    List.of(),
                    List.of(),
                    new Api.Limits(4, false, false, 1),
                    new Api.Rules(1, 0, 1, 1, 1, 1),
                    Api.ReportTiming.NEVER,
                    false,
                    0,
                    false,
                    false);
            ModuleActor module = new ModuleActor(scheduler, clock, settings, 7, releases, Recorder.NONE, metrics);
            PeerActor peer = new PeerActor(
                    scheduler,
                    "s",
                    new InetSocketAddress("127.0.0.1", 1),
                    new PeerActor.Setup(
                            clock, connector, minute, minute, minute, module, releases, Recorder.NONE, metrics));
            RequestSpec spec = new RequestSpec("id", "c", "k", null, 1, 0, 1, deadline, false, null);
            peer.tell(new PeerActor.Send(
                    1, 0, spec, response, deadline, deadline, Instant.MAX, false, false, () -> false));
            scheduler.submit(() -> {}).get();
            connectionListener.get().connected(connection);
            scheduler.submit(() -> {}).get();
            scheduler.submit(
                    () -> { // all of this is queued before any actor has its turn
                        for (int i = 0; i < QUEUED_REQUESTS; i++) {
                            module.submit(spec, goneClientResponse);
                        }
                        callListener.get().answerClassified(Connector.AnswerKind.STREAM, null);
                        callListener.get().event(new byte[] {'\n'});
                    });
            assertTrue(notYetHandled.await(10, TimeUnit.SECONDS));
            scheduler.submit(() -> {}).get();
            scheduler.submit(() -> {}).get();
            assertTrue(
                    stillWaiting[0] > QUEUED_REQUESTS / 2,
                    stillWaiting[0] + " of the queued requests were still waiting");
        } finally {
            scheduler.shutdownNow();
        }
    }

    private static <T> T proxy(Class<T> type, InvocationHandler handler) {
        return type.cast(Proxy.newProxyInstance(FirstEventTest.class.getClassLoader(), new Class<?>[] {type}, handler));
    }
}

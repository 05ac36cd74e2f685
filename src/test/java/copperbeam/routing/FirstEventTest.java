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
    private static final int CROWD = 1000;

    @Test
    public void aFirstEventGoesAheadOfACrowd() throws Exception {
        ScheduledThreadPoolExecutor turns = new ScheduledThreadPoolExecutor(1);
        try {
            AtomicReference<Connector.Watcher> watcher = new AtomicReference<>();
            AtomicReference<Connector.Listener> listener = new AtomicReference<>();
            CountDownLatch arrived = new CountDownLatch(CROWD);
            long[] stillWaiting = {-1};
            Connector.Connection connection = proxy(Connector.Connection.class, (proxy, method, args) -> {
                if (method.getName().equals("call")) {
                    listener.set((Connector.Listener) args[1]);
                } else if (method.getName().equals("close")) {
                    stillWaiting[0] =
                            arrived.getCount(); // the ModuleActor cancels the attempt, as it doesn't know its request
                }
                return method.getReturnType() == boolean.class ? true : null;
            });
            Connector connector = (to, timeout, next) -> watcher.set(next);
            Answer quick = proxy(Answer.class, (proxy, method, args) -> {
                if (method.getName().equals("gone")) {
                    arrived.countDown();
                    return true;
                }
                return null;
            });
            Answer answer = proxy(
                    Answer.class, (proxy, method, args) -> method.getName().equals("gone") ? false : null);
            Clock clock = Clock.systemUTC();
            Duration minute = Duration.ofMinutes(1);
            Instant until = clock.instant().plus(minute);
            Metrics metrics = new Metrics(List.of("c"));
            ReleaseActor releases = new ReleaseActor(turns, clock, minute);
            Api.Settings settings = new Api.Settings(
                    1,
                    0,
                    List.of(),
                    List.of(),
                    List.of(),
                    new Api.Limits(4, false, false, 1),
                    new Api.Rules(1, 0, 1, 1, 1, 1),
                    Api.Reports.NEVER,
                    false,
                    0,
                    false,
                    false);
            ModuleActor module = new ModuleActor(turns, clock, settings, 7, releases, Recorder.NONE, metrics);
            PeerActor peer = new PeerActor(
                    turns,
                    "s",
                    new InetSocketAddress("127.0.0.1", 1),
                    new PeerActor.Setup(
                            clock, connector, minute, minute, minute, module, releases, Recorder.NONE, metrics));
            Ask ask = new Ask("id", "c", "k", null, 1, 0, 1, until, false, null);
            peer.tell(new PeerActor.Send(1, 0, ask, answer, until, until, Instant.MAX, false, false, () -> false));
            turns.submit(() -> {}).get();
            watcher.get().up(connection);
            turns.submit(() -> {}).get();
            turns.submit(
                    () -> { // all of this is queued before any actor has its turn
                        for (int i = 0; i < CROWD; i++) {
                            module.arrive(ask, quick);
                        }
                        listener.get().word(Connector.Word.STREAM, null);
                        listener.get().event(new byte[] {'\n'});
                    });
            assertTrue(arrived.await(10, TimeUnit.SECONDS));
            turns.submit(() -> {}).get();
            turns.submit(() -> {}).get();
            assertTrue(stillWaiting[0] > CROWD / 2, stillWaiting[0] + " of the queued requests were still waiting");
        } finally {
            turns.shutdownNow();
        }
    }

    private static <T> T proxy(Class<T> type, InvocationHandler handler) {
        return type.cast(Proxy.newProxyInstance(FirstEventTest.class.getClassLoader(), new Class<?>[] {type}, handler));
    }
}

package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static org.testng.Assert.assertEquals;

import copperbeam.Api;
import copperbeam.protocol.HttpCall;
import copperbeam.routing.Answer;
import copperbeam.routing.Ask;
import copperbeam.routing.Connector;
import copperbeam.routing.Metrics;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.PeerActor;
import copperbeam.routing.Recorder;
import copperbeam.routing.ReleaseActor;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.ServerConnector;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The reactor's thread is blocked between the hand-over of an attempt and the write of its head, while something changes. */
public class DelayedHeadTest {
    private static final Duration MINUTE = Duration.ofMinutes(1);

    private final Instant start = Instant.now();

    private enum Meanwhile {
        NOTHING,
        THE_SERVER_DRAINS,
        THE_SERVER_LEAVES,
        TIME_PASSES,
        /** The list's update waits unread on the same reactor, so that the drain becomes known only after it goes on. */
        TIME_PASSES_AND_IT_DRAINS
    }

    @DataProvider
    public Object[][] cases() {
        return new Object[][] {
            {Meanwhile.NOTHING, 1, 1},
            {Meanwhile.THE_SERVER_DRAINS, 1, 0},
            {Meanwhile.THE_SERVER_LEAVES, 1, 0},
            {Meanwhile.TIME_PASSES, 2, 1},
            {Meanwhile.TIME_PASSES_AND_IT_DRAINS, 2, 0},
        };
    }

    // guards against a request that is sent to a server known to drain, because the server was chosen before it drained
    @Test(dataProvider = "cases")
    public void aHeadLeavesWhereItsServerMayStillBeSentTo(Meanwhile meanwhile, int connections, int attempts)
            throws Exception {
        AtomicReference<Instant> now = new AtomicReference<>(start);
        ScheduledThreadPoolExecutor turns = new ScheduledThreadPoolExecutor(1);
        AtomicReference<PeerActor> peer = new AtomicReference<>();
        CountDownLatch up = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        AtomicInteger connects = new AtomicInteger();
        try (StandIn server = new StandIn(Site::read);
                ClientReactor reactor = new ClientReactor()) {
            ServerConnector connector = new ServerConnector(reactor);
            Connector held = (to, timeout, watcher) -> connector.connect(to, timeout, new Connector.Watcher() {
                @Override
                public void up(Connector.Connection connection) {
                    boolean first = connects.incrementAndGet() == 1;
                    if (!first && meanwhile == Meanwhile.TIME_PASSES_AND_IT_DRAINS) {
                        peer.get().tell(new PeerActor.Listed(true));
                    }
                    watcher.up(connection);
                    if (first) {
                        up.countDown();
                        hold(go);
                    }
                }

                @Override
                public void failed() {
                    watcher.failed();
                }

                @Override
                public void closed(Connector.Connection connection) {
                    watcher.closed(connection);
                }
            });
            peer.set(peer(turns, clock(now), held, server.address()));
            peer.get().tell(send());
            up.await();
            turns.submit(() -> {}).get(); // by now the attempt was handed to the reactor
            switch (meanwhile) {
                case THE_SERVER_DRAINS -> peer.get().tell(new PeerActor.Listed(true));
                case THE_SERVER_LEAVES -> peer.get().tell(new PeerActor.Gone());
                case TIME_PASSES, TIME_PASSES_AND_IT_DRAINS -> now.set(start.plusSeconds(1));
                default -> {}
            }
            turns.submit(() -> {}).get();
            go.countDown();
            await(
                    "an attempt or its end",
                    () -> server.attempts() > 0
                            || server.lines.size() == connections
                                    && server.lines.stream().allMatch(l -> l.ended));
            assertEquals(server.attempts(), attempts);
            assertEquals(connects.get(), connections);
        } finally {
            go.countDown();
            turns.shutdownNow();
        }
    }

    private PeerActor.Send send() {
        HttpCall call =
                new HttpCall("POST", "/v1/chat/completions", Map.of(), "{}".getBytes(StandardCharsets.US_ASCII), start);
        Ask ask = new Ask("id", "ask", "k", null, 40, 0, 9, start.plus(MINUTE), false, call);
        Answer answer = (Answer) Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {Answer.class},
                (p, method, args) -> method.getReturnType() == boolean.class ? false : null);
        return new PeerActor.Send(
                1, 0, ask, answer, start.plus(MINUTE), Instant.MAX, Instant.MAX, false, true, () -> false);
    }

    private static PeerActor peer(
            ScheduledThreadPoolExecutor turns, Clock clock, Connector connector, InetSocketAddress at) {
        Metrics metrics = new Metrics(List.of("ask"));
        ReleaseActor releases = new ReleaseActor(turns, clock, MINUTE);
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
        return new PeerActor(
                turns,
                "s",
                at,
                new PeerActor.Setup(
                        clock, connector, MINUTE, MINUTE, MINUTE, module, releases, Recorder.NONE, metrics));
    }

    private static Clock clock(AtomicReference<Instant> now) {
        return new Clock() {
            @Override
            public Instant instant() {
                return now.get();
            }

            @Override
            public java.time.ZoneId getZone() {
                return ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(java.time.ZoneId zone) {
                return this;
            }
        };
    }

    private static void hold(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}

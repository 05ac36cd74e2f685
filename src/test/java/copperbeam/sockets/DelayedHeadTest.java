package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static org.testng.Assert.assertEquals;

import copperbeam.Api;
import copperbeam.protocol.HttpCall;
import copperbeam.routing.Connector;
import copperbeam.routing.Metrics;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.PeerActor;
import copperbeam.routing.Recorder;
import copperbeam.routing.ReleaseActor;
import copperbeam.routing.RequestSpec;
import copperbeam.routing.ResponseSink;
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

    private enum Change {
        NOTHING,
        THE_SERVER_DRAINS,
        THE_SERVER_LEAVES,
        TIME_PASSES,
        /** The list's update waits unread on the blocked reactor: the drain becomes known only after the block. */
        TIME_PASSES_AND_IT_DRAINS
    }

    @DataProvider
    public Object[][] cases() {
        return new Object[][] {
            {Change.NOTHING, 1, 1},
            {Change.THE_SERVER_DRAINS, 1, 0},
            {Change.THE_SERVER_LEAVES, 1, 0},
            {Change.TIME_PASSES, 2, 1},
            {Change.TIME_PASSES_AND_IT_DRAINS, 2, 0},
        };
    }

    // guards against a request that is sent to a server known to drain, because the server was chosen before it drained
    @Test(dataProvider = "cases")
    public void theHeadIsSentOnlyWhileTheServerTakesRequests(
            Change change, int expectedConnections, int expectedAttempts) throws Exception {
        AtomicReference<Instant> now = new AtomicReference<>(start);
        ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(1);
        AtomicReference<PeerActor> peer = new AtomicReference<>();
        CountDownLatch firstConnected = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        AtomicInteger connectCount = new AtomicInteger();
        try (StandIn server = new StandIn(Site::answerAsReader);
                ClientReactor reactor = new ClientReactor()) {
            ServerConnector connector = new ServerConnector(reactor);
            Connector blockingConnector = (address, timeout, listener) ->
                    connector.connect(address, timeout, new Connector.ConnectionListener() {
                        @Override
                        public void connected(Connector.Connection connection) {
                            boolean isFirst = connectCount.incrementAndGet() == 1;
                            if (!isFirst && change == Change.TIME_PASSES_AND_IT_DRAINS) {
                                peer.get().tell(new PeerActor.Listed(true));
                            }
                            listener.connected(connection);
                            if (isFirst) {
                                firstConnected.countDown();
                                awaitLatch(unblock);
                            }
                        }

                        @Override
                        public void connectFailed() {
                            listener.connectFailed();
                        }

                        @Override
                        public void closed(Connector.Connection connection) {
                            listener.closed(connection);
                        }
                    });
            peer.set(newPeer(scheduler, settableClock(now), blockingConnector, server.address()));
            peer.get().tell(newSend());
            firstConnected.await();
            scheduler.submit(() -> {}).get(); // by now the attempt was handed to the reactor
            switch (change) {
                case THE_SERVER_DRAINS -> peer.get().tell(new PeerActor.Listed(true));
                case THE_SERVER_LEAVES -> peer.get().tell(new PeerActor.Removed());
                case TIME_PASSES, TIME_PASSES_AND_IT_DRAINS -> now.set(start.plusSeconds(1));
                default -> {}
            }
            scheduler.submit(() -> {}).get();
            unblock.countDown();
            await(
                    "an attempt or its end",
                    () -> server.attempts() > 0
                            || server.connections.size() == expectedConnections
                                    && server.connections.stream().allMatch(l -> l.closedByStandIn));
            assertEquals(server.attempts(), expectedAttempts);
            assertEquals(connectCount.get(), expectedConnections);
        } finally {
            unblock.countDown();
            scheduler.shutdownNow();
        }
    }

    private PeerActor.Send newSend() {
        HttpCall httpCall =
                new HttpCall("POST", "/v1/chat/completions", Map.of(), "{}".getBytes(StandardCharsets.US_ASCII), start);
        RequestSpec spec = new RequestSpec("id", "ask", "k", null, 40, 0, 9, start.plus(MINUTE), false, httpCall);
        ResponseSink response = (ResponseSink) Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {ResponseSink.class},
                (proxy, method, args) -> method.getReturnType() == boolean.class ? false : null);
        return new PeerActor.Send(
                1, 0, spec, response, start.plus(MINUTE), Instant.MAX, Instant.MAX, false, true, () -> false);
    }

    private static PeerActor newPeer(
            ScheduledThreadPoolExecutor scheduler, Clock clock, Connector connector, InetSocketAddress address) {
        Metrics metrics = new Metrics(List.of("ask"));
        ReleaseActor releases = new ReleaseActor(scheduler, clock, MINUTE);
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
        return new PeerActor(
                scheduler,
                "s",
                address,
                new PeerActor.Setup(
                        clock, connector, MINUTE, MINUTE, MINUTE, module, releases, Recorder.NONE, metrics));
    }

    private static Clock settableClock(AtomicReference<Instant> now) {
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

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}

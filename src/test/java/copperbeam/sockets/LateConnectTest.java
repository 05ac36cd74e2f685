package copperbeam.sockets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.protocol.HttpClient;
import copperbeam.routing.Connector;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.PlainHttpClient;
import copperbeam.transport.ServerConnector;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Connects while the reactor's thread gets no processor time. */
public class LateConnectTest {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);
    private static final Duration REACTOR_DELAY = Duration.ofMillis(400);

    private record Listener(Runnable onConnected, Runnable onFailed) implements Connector.ConnectionListener {
        @Override
        public void connected(Connector.Connection connection) {
            onConnected.run();
        }

        @Override
        public void connectFailed() {
            onFailed.run();
        }

        @Override
        public void closed(Connector.Connection connection) {}
    }

    private static void block() {
        try {
            Thread.sleep(REACTOR_DELAY.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A process short of CPU took connections that were up for failed, and refused requests. */
    @Test
    public void aConnectionThatIsUpIsReportedThoughTheReactorIsLate() throws Exception {
        try (StandIn server = new StandIn((request, connection) -> connection.respond(200, ""));
                ClientReactor reactor = new ClientReactor()) {
            ServerConnector connector = new ServerConnector(reactor);
            List<String> reports = new CopyOnWriteArrayList<>();
            CountDownLatch overdueChecked = new CountDownLatch(1);
            connector.connect(
                    server.address(),
                    CONNECT_TIMEOUT,
                    new Listener(
                            () -> {
                                connector.connect(
                                        server.address(),
                                        CONNECT_TIMEOUT,
                                        new Listener(() -> reports.add("connected"), () -> reports.add("failed")));
                                connector.afterConnects(() -> {
                                    reports.add("overdue");
                                    overdueChecked.countDown();
                                });
                                block();
                            },
                            () -> reports.add("first one failed")));
            assertTrue(overdueChecked.await(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(reports, List.of("connected", "overdue"));
        }
    }

    /** A server that vanishes in the middle of a request must not delay the end of other connects. */
    @Test
    public void connectsAreCheckedBesideAServerThatReadsNothing() throws Exception {
        try (StandIn server = new StandIn((request, connection) -> {});
                ClientReactor reactor = new ClientReactor()) {
            CountDownLatch testEnded = new CountDownLatch(1);
            server.onConnect = connection -> testEnded.await();
            HttpClient.Timeouts timeouts = new HttpClient.Timeouts(CONNECT_TIMEOUT, Duration.ofMinutes(1));
            byte[] body = new byte[32 << 20]; // more than the system buffers
            Runnable cancel = new PlainHttpClient(reactor)
                    .fetch(server.address(), "POST", "/", body, timeouts, 0, response -> {});
            Site.await("connected", () -> !server.connections.isEmpty());
            Thread.sleep(REACTOR_DELAY.toMillis()); // until the system's buffers are full
            CountDownLatch overdueChecked = new CountDownLatch(1);
            new ServerConnector(reactor).afterConnects(overdueChecked::countDown);
            assertTrue(overdueChecked.await(REACTOR_DELAY.toMillis(), TimeUnit.MILLISECONDS));
            cancel.run();
            testEnded.countDown();
        }
    }

    /** The second connect has begun, and its connection is up, while the thread stands still for longer than the timeout. */
    @Test
    public void aConnectThatHasBegunOutlastsADelayOfTheReactor() throws Exception {
        try (StandIn server = new StandIn((request, connection) -> connection.respond(200, ""));
                ClientReactor reactor = new ClientReactor()) {
            ServerConnector connector = new ServerConnector(reactor);
            List<String> reports = new CopyOnWriteArrayList<>();
            CountDownLatch ended = new CountDownLatch(2);
            for (int i = 0; i < 2; i++) {
                connector.connect(
                        server.address(),
                        CONNECT_TIMEOUT,
                        new Listener(
                                () -> {
                                    reports.add("connected");
                                    ended.countDown();
                                    block();
                                },
                                () -> {
                                    reports.add("failed");
                                    ended.countDown();
                                }));
            }
            assertTrue(ended.await(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            assertEquals(reports, List.of("connected", "connected"));
        }
    }
}

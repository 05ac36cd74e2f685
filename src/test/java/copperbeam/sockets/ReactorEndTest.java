package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.routing.Connector;
import copperbeam.transport.ClientConnections;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.HttpFrontServer;
import copperbeam.transport.ServerConnector;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Errors thrown by callbacks on a reactor's thread, which must not end the reactor. */
public class ReactorEndTest {
    private static final int CLOSED_PORT = 1; // a port on which nothing listens
    private static final String GET_REQUEST = "GET /%s HTTP/1.1\r\nHost: x\r\n\r\n";

    /**
     * An error in a handler, such as a stack overflow, is answered with 500 and closes its own connection, but neither other
     * connections nor their reactor.
     */
    @Test
    public void anErrorEndsItsConnectionAlone() throws Exception {
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> {
                    if (call.path().equals("/fails")) {
                        throw new StackOverflowError("thrown by the test");
                    }
                    reply.respond(200, "text/plain", Map.of(), new byte[0]);
                    return () -> {};
                },
                Clock.systemUTC(),
                new ClientConnections(10, 1000),
                (c, status) -> {})) {
            InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            try (RawConnection badClient = new RawConnection(address);
                    RawConnection otherClient = new RawConnection(address)) {
                assertEquals(
                        otherClient.send(String.format(GET_REQUEST, "x")).read().status(), 200);
                assertEquals(
                        badClient
                                .send(String.format(GET_REQUEST, "fails"))
                                .read()
                                .status(),
                        500);
                assertTrue(badClient.awaitClosed());
                assertEquals(
                        otherClient.send(String.format(GET_REQUEST, "x")).read().status(), 200);
            }
        }
    }

    /** {@code connects}: the listener throws when the connection is established, else when the connect has failed. */
    @DataProvider
    public Object[][] failures() {
        return new Object[][] {{true}, {false}};
    }

    /**
     * An error in a connection listener, such as a class that can't be loaded for lack of file descriptors. Guards against a
     * reactor that ends by it, after which no server was reached again.
     */
    @Test(dataProvider = "failures")
    public void anErrorInAConnectionListenerLeavesItsReactorServing(boolean connects) throws Exception {
        try (StandIn server = new StandIn((request, connection) -> connection.respond(200, ""));
                ClientReactor reactor = new ClientReactor()) {
            ServerConnector connector = new ServerConnector(reactor);
            CountDownLatch listenerCalled = new CountDownLatch(1);
            connector.connect(
                    connects ? server.address() : new InetSocketAddress("127.0.0.1", CLOSED_PORT),
                    Duration.ofSeconds(5),
                    new CallbackListener(listenerCalled, () -> {
                        throw new NoClassDefFoundError("thrown by the test");
                    }));
            await("the listener was called", () -> listenerCalled.getCount() == 0);
            CountDownLatch secondConnected = new CountDownLatch(1);
            connector.connect(server.address(), Duration.ofSeconds(5), new CallbackListener(secondConnected, () -> {}));
            await("another connection is established", () -> secondConnected.getCount() == 0);
        }
    }

    private record CallbackListener(CountDownLatch called, Runnable callback) implements Connector.ConnectionListener {
        @Override
        public void connected(Connector.Connection connection) {
            connectFailed();
        }

        @Override
        public void connectFailed() {
            called.countDown();
            callback.run();
        }

        @Override
        public void closed(Connector.Connection connection) {}
    }
}

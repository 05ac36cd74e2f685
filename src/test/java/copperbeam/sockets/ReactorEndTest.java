package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.routing.Connector;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.ClientRoom;
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
    private static final int NOBODY = 1; // a port on which nothing listens
    private static final String GET = "GET /%s HTTP/1.1\r\nHost: x\r\n\r\n";

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
                    reply.whole(200, "text/plain", Map.of(), new byte[0]);
                    return () -> {};
                },
                Clock.systemUTC(),
                new ClientRoom(10, 1000),
                (c, status) -> {})) {
            InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            try (Line bad = new Line(at);
                    Line beside = new Line(at)) {
                assertEquals(beside.send(String.format(GET, "x")).read().status(), 200);
                assertEquals(bad.send(String.format(GET, "fails")).read().status(), 500);
                assertTrue(bad.awaitClosed());
                assertEquals(beside.send(String.format(GET, "x")).read().status(), 200);
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
    public void anErrorOfWhoIsToldOfAConnectionLeavesItsReactorServing(boolean up) throws Exception {
        try (StandIn server = new StandIn((m, line) -> line.answer(200, ""));
                ClientReactor reactor = new ClientReactor()) {
            ServerConnector connector = new ServerConnector(reactor);
            CountDownLatch failed = new CountDownLatch(1);
            connector.connect(
                    up ? server.address() : new InetSocketAddress("127.0.0.1", NOBODY),
                    Duration.ofSeconds(5),
                    new Told(failed, () -> {
                        throw new NoClassDefFoundError("thrown by the test");
                    }));
            await("the listener was called", () -> failed.getCount() == 0);
            CountDownLatch reached = new CountDownLatch(1);
            connector.connect(server.address(), Duration.ofSeconds(5), new Told(reached, () -> {}));
            await("another connection is established", () -> reached.getCount() == 0);
        }
    }

    private record Told(CountDownLatch told, Runnable then) implements Connector.Watcher {
        @Override
        public void up(Connector.Connection connection) {
            failed();
        }

        @Override
        public void failed() {
            told.countDown();
            then.run();
        }

        @Override
        public void closed(Connector.Connection connection) {}
    }
}

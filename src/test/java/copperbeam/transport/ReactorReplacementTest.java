package copperbeam.transport;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.testng.annotations.Test;

/** Guards against a reactor to servers that has ended by an Error, as of a full heap: no server was reached any more. */
public class ReactorReplacementTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private abstract static class Listener implements ClientReactor.SessionListener {
        final CountDownLatch closed = new CountDownLatch(1);

        @Override
        public void closed() {
            closed.countDown();
        }
    }

    @Test
    public void anErrorOutsideOfAllHandlersLeavesServersReachable() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
                ClientReactor reactor = new ClientReactor()) {
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            reactor.connect(address, TIMEOUT, new Listener() {
                @Override
                public void opened(IOSession session) {
                    ((ProtocolIOSession) session).upgrade(failingHandler());
                }
            });
            server.accept().getOutputStream().write('x');
            CountDownLatch connected = new CountDownLatch(1);
            long deadline = System.nanoTime() + TIMEOUT.toNanos();
            while (connected.getCount() > 0 && System.nanoTime() < deadline) {
                connectOnce(reactor, address, connected);
            }
            assertTrue(connected.getCount() == 0, "connected after the reactor has ended");
            CountDownLatch connectsChecked = new CountDownLatch(1);
            reactor.afterConnects(connectsChecked::countDown);
            assertTrue(connectsChecked.await(1, TimeUnit.SECONDS), "connections of the ended reactor are left alone");
        }
    }

    /** Connects once the reactor that fails has ended, and waits for the outcome. */
    private static void connectOnce(ClientReactor reactor, InetSocketAddress address, CountDownLatch connected)
            throws InterruptedException, IOException {
        Thread.sleep(100);
        Listener listener = new Listener() {
            @Override
            public void opened(IOSession session) {
                connected.countDown();
                closed();
            }
        };
        reactor.connect(address, TIMEOUT, listener);
        listener.closed.await(1, TimeUnit.SECONDS);
    }

    private static IOEventHandler failingHandler() {
        return (IOEventHandler) Proxy.newProxyInstance(
                ReactorReplacementTest.class.getClassLoader(),
                new Class<?>[] {IOEventHandler.class},
                (proxy, method, arguments) -> {
                    throw new OutOfMemoryError("thrown by the test");
                });
    }
}

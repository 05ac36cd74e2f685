package copperbeam.transport;

import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.time.Clock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class AcceptorTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);

    /**
     * A connection waits that is never accepted, as the reactor has ended. An acceptor thread that keeps polling after
     * abandon() wastes CPU time: two hundred of them used a whole core.
     */
    @SuppressWarnings("try") // the connection only waits to be accepted
    @Test
    public void threadEndsWhileAConnectionStaysQueued() throws Exception {
        CountDownLatch polled = new CountDownLatch(2);
        Acceptor acceptor = new Acceptor(
                ANY,
                false,
                Clock.systemUTC(),
                () -> {
                    polled.countDown();
                    return false;
                },
                (channel, queuedSince) -> {});
        try (SocketChannel client = SocketChannel.open(acceptor.address())) {
            polled.await(); // the acceptor has polled and waited at least once
            acceptor.abandon();
            for (int i = 0; i < 1000 && !acceptor.isClosed(); i++) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            assertTrue(acceptor.isClosed(), "the acceptor's thread did not end after abandon()");
        }
    }
}

package copperbeam.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.time.ZoneOffset;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ListenQueueAgeTest {
    private static final Instant START = Instant.EPOCH;
    private static final Duration STEP = Duration.ofSeconds(1);

    private final AtomicReference<Instant> now = new AtomicReference<>(START);
    private final InstantSource source = now::get;
    private final Clock clock = source.withZone(ZoneOffset.UTC);

    @BeforeMethod
    public void resetClock() {
        now.set(START);
    }

    /** The first connection may have waited since the start, the second one only since the marker between them was sent. */
    @Test
    public void aConnectionAcceptedAfterAMarkerArrivedLater() throws Exception {
        try (ServerSocketChannel listener = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
                ListenQueueAge age = new ListenQueueAge((InetSocketAddress) listener.getLocalAddress(), clock);
                SocketChannel first = SocketChannel.open(listener.getLocalAddress())) {
            age.queueMayHoldConnections();
            age.sendMarkerIfDue(); // not due yet
            now.set(START.plus(STEP));
            age.sendMarkerIfDue();
            now.set(START.plus(STEP.multipliedBy(2)));
            try (SocketChannel second = SocketChannel.open(listener.getLocalAddress())) {
                assertFalse(age.takeMarker(accept(listener, first)));
                assertEquals(age.waitingSince(), START);
                assertTrue(age.takeMarker(listener.accept()), "the second accepted connection is not the marker");
                assertFalse(age.takeMarker(accept(listener, second)));
                assertEquals(age.waitingSince(), START.plus(STEP));
            }
            age.queueEmptied();
            age.queueMayHoldConnections();
            assertEquals(age.waitingSince(), now.get());
        }
    }

    /** A marker is lost, as the queue was full or another process accepted it: a later marker is still recognized. */
    @Test
    public void aMarkerIsRecognizedAfterALostOne() throws Exception {
        try (ServerSocketChannel listener = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
                ListenQueueAge age = new ListenQueueAge((InetSocketAddress) listener.getLocalAddress(), clock)) {
            age.queueMayHoldConnections();
            now.set(START.plus(STEP));
            age.sendMarkerIfDue();
            listener.accept().close(); // as if another process had accepted it
            now.set(START.plus(STEP.multipliedBy(2)));
            age.sendMarkerIfDue();
            assertTrue(age.takeMarker(listener.accept()), "the accepted connection is not the second marker");
            assertEquals(age.waitingSince(), now.get());
        }
    }

    private static SocketChannel accept(ServerSocketChannel listener, SocketChannel expected) throws Exception {
        SocketChannel accepted = listener.accept();
        assertEquals(accepted.getRemoteAddress(), expected.getLocalAddress());
        return accepted;
    }
}

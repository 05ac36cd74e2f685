package copperbeam.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.logging.Logger;

/**
 * Estimates an upper bound of the time that connections wait in the kernel's listen queue, which records no times. While
 * connections wait there, it sends markers through the queue: own connections to the listener, begun at known times. As the
 * queue is first in, first out, a connection accepted after a marker arrived after the marker was begun. For one thread.
 */
final class ListenQueueAge implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ListenQueueAge.class.getName());
    private static final Duration MARKER_INTERVAL = Duration.ofMillis(50); // between markers
    private static final int MAX_MARKERS = 8; // each uses a descriptor

    private record Marker(SocketChannel channel, Instant begunAt) {}

    private final InetSocketAddress listener;
    private final Clock clock;
    private final Deque<Marker> markers = new ArrayDeque<>(); // oldest first
    private Instant waitingSince;
    private Instant lastMarkerAt; // when the last marker was begun, or else waitingSince

    ListenQueueAge(InetSocketAddress listener, Clock clock) {
        this.listener = listener;
        this.clock = clock;
    }

    /** The next accepted connection entered the queue at about this time or later; null while the queue is empty. */
    Instant waitingSince() {
        return waitingSince;
    }

    /** To be called when the queue may have a connection. */
    void queueMayHoldConnections() {
        if (waitingSince == null) {
            waitingSince = clock.instant();
            lastMarkerAt = waitingSince;
        }
    }

    /** To be called when the queue is empty. */
    void queueEmptied() {
        waitingSince = null;
        close();
    }

    /** Sends a marker into the queue if one is due. */
    void sendMarkerIfDue() {
        Instant now = clock.instant();
        if (waitingSince == null || Duration.between(lastMarkerAt, now).compareTo(MARKER_INTERVAL) < 0) {
            return;
        }
        lastMarkerAt = now;
        // unconnected markers met a full queue; the system would retry for seconds, and a late marker gives a poor
        // bound
        markers.removeIf(marker -> !isConnected(marker) && close(marker));
        if (markers.size() < MAX_MARKERS) {
            sendMarker(now);
        }
    }

    private void sendMarker(Instant now) {
        try {
            SocketChannel channel = SocketChannel.open();
            markers.add(new Marker(channel, now));
            channel.configureBlocking(false);
            channel.connect(listener);
        } catch (IOException e) {
            LOG.fine(() -> "no marker could be sent to the listen queue: " + e);
        }
    }

    private static boolean isConnected(Marker marker) {
        try {
            return marker.channel.finishConnect();
        } catch (IOException | RuntimeException e) {
            return false; // the connection was refused, or never begun
        }
    }

    /** Whether this accepted connection is a marker, which is closed then. */
    boolean takeMarker(SocketChannel accepted) throws IOException {
        if (markers.isEmpty()) {
            return false;
        }
        SocketAddress remoteAddress = accepted.getRemoteAddress();
        Marker found = null;
        for (Marker marker : markers) {
            if (isConnected(marker) && remoteAddress.equals(marker.channel.getLocalAddress())) {
                found = marker;
            }
        }
        if (found == null) {
            return false;
        }
        accepted.close();
        waitingSince = found.begunAt;
        while (markers.peek() != found) {
            close(markers.poll()); // lost, or accepted by another process at this address
        }
        close(markers.poll());
        return true;
    }

    /** Closes a marker. Always returns true, so that a predicate can end with it. */
    private static boolean close(Marker marker) {
        try {
            marker.channel.close();
        } catch (IOException e) {
            LOG.finest("closing a marker failed");
        }
        return true;
    }

    @Override
    public void close() {
        markers.forEach(ListenQueueAge::close);
        markers.clear();
    }
}

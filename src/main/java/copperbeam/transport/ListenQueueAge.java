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
 * Bounds how long connections have waited in the kernel's listen queue, which tells no times. The queue is first in, first out:
 * while connections wait there, markers are sent through it, connections of our own that were begun at a known time, and whoever is
 * accepted behind a marker came later than it was begun. For one thread.
 */
final class ListenQueueAge implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ListenQueueAge.class.getName());
    private static final Duration INTERVAL = Duration.ofMillis(50); // between markers
    private static final int MOST_MARKERS = 8; // each has a descriptor

    private record Marker(SocketChannel channel, Instant begun) {}

    private final InetSocketAddress listener;
    private final Clock clock;
    private final Deque<Marker> markers = new ArrayDeque<>(); // the oldest first
    private Instant waitingSince;
    private Instant lastBegun; // of a marker, or of the waiting

    ListenQueueAge(InetSocketAddress listener, Clock clock) {
        this.listener = listener;
        this.clock = clock;
    }

    /** Whoever is accepted next came after this. */
    Instant waitingSince() {
        return waitingSince;
    }

    /** A connection is in the queue. */
    void filled() {
        if (waitingSince == null) {
            waitingSince = clock.instant();
            lastBegun = waitingSince;
        }
    }

    /** None is. */
    void emptied() {
        waitingSince = null;
        close();
    }

    /** Sends a marker into the queue if one is due. */
    void mark() {
        Instant now = clock.instant();
        if (waitingSince == null || Duration.between(lastBegun, now).compareTo(INTERVAL) < 0) {
            return;
        }
        lastBegun = now;
        // the queue was full; the system would try for seconds, and an old marker tells little
        markers.removeIf(marker -> !connected(marker) && close(marker));
        if (markers.size() < MOST_MARKERS) {
            begin(now);
        }
    }

    private void begin(Instant now) {
        try {
            SocketChannel channel = SocketChannel.open();
            markers.add(new Marker(channel, now));
            channel.configureBlocking(false);
            channel.connect(listener);
        } catch (IOException e) {
            LOG.fine(() -> "no marker for the listen queue: " + e);
        }
    }

    private static boolean connected(Marker marker) {
        try {
            return marker.channel.finishConnect();
        } catch (IOException | RuntimeException e) {
            return false; // it was refused, or never begun
        }
    }

    /** Whether this connection, just accepted, was a marker; it is closed then. */
    boolean takeMarker(SocketChannel accepted) throws IOException {
        if (markers.isEmpty()) {
            return false;
        }
        SocketAddress from = accepted.getRemoteAddress();
        Marker found = null;
        for (Marker marker : markers) {
            if (connected(marker) && from.equals(marker.channel.getLocalAddress())) {
                found = marker;
            }
        }
        if (found == null) {
            return false;
        }
        accepted.close();
        waitingSince = found.begun;
        while (markers.peek() != found) {
            close(markers.poll()); // another process at this address has it
        }
        close(markers.poll());
        return true;
    }

    private static boolean close(Marker marker) {
        try {
            marker.channel.close();
        } catch (IOException e) {
            LOG.finest("a marker was closed");
        }
        return true;
    }

    @Override
    public void close() {
        markers.forEach(ListenQueueAge::close);
        markers.clear();
    }
}

package copperbeam.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BooleanSupplier;

/**
 * One connection through a {@link FaultProxy}. Reads what the conductor sends at once, even while the simulated network delays or
 * drops it, so that the conductor's close or reset is noticed when it happens and not behind delayed bytes.
 */
final class ProxiedConnection {
    private static final Map<SocketAddress, ProxiedConnection> BY_SERVER_END = new ConcurrentHashMap<>();
    private static final int LOOK_MS = 5;
    private static final int BUFFER = 16 * 1024;
    private static final byte[] END = {}; // queued after the last bytes

    final String conductor;
    private final FaultProxy network;
    private final Socket near;
    private final Socket far;
    // bytes from the conductor that have not been forwarded yet
    private final BlockingQueue<byte[]> underWay = new LinkedBlockingQueue<>();
    private volatile long closedAt = Long.MAX_VALUE;
    private volatile boolean reset; // the conductor has reset the connection
    private volatile boolean dead; // carries nothing any more, and neither end gets an error
    private volatile boolean endedByNetwork; // the network or the server ended it before the conductor did
    private volatile long resetAt = Long.MAX_VALUE; // when the simulated network reset it at both ends
    private volatile long readAt;
    private volatile long carriedSince;

    ProxiedConnection(String conductor, FaultProxy network, Socket near) {
        this.conductor = conductor;
        this.network = network;
        this.near = near;
        far = new Socket();
    }

    /** The connection that a server has accepted from this remote address. */
    static ProxiedConnection from(SocketAddress address) {
        return BY_SERVER_END.get(address);
    }

    /** When the conductor closed its end or the network reset the connection; {@code Long.MAX_VALUE} while neither has happened. */
    long endedAt() {
        return Math.min(closedAt, resetAt);
    }

    /** When the last bytes were read from the conductor, however long it takes to forward them to the server. */
    long readAt() {
        return readAt;
    }

    /**
     * From when on the proxy has read what the conductor sends; later than the conductor's connect if the connection to the server
     * took long.
     */
    long carriedSince() {
        return carriedSince;
    }

    /** Waits while the network holds back what the server has written, unless the connection ends. */
    void awaitDelivery() throws InterruptedException {
        awaitPassage(() -> endedAt() != Long.MAX_VALUE);
    }

    /** Stops forwarding without an error to either end, as when a NAT or firewall drops its entry; new connections still work. */
    void fallSilent() {
        dead = true;
    }

    /** Whether the conductor or the network has reset the connection. */
    boolean wasReset() {
        return reset || resetAt != Long.MAX_VALUE;
    }

    /** Whether the conductor closed the connection while the network still carried it. */
    boolean givenUp() {
        return !dead && closedAt < resetAt;
    }

    private boolean silent() {
        return dead || network.silent();
    }

    /** Waits while the network is silent, unless {@code cancelled} becomes true; returns whether bytes may be forwarded. */
    private boolean awaitPassage(BooleanSupplier pointless) throws InterruptedException {
        if (!silent()) {
            return true;
        }
        while (silent() && !pointless.getAsBoolean()) {
            Thread.sleep(LOOK_MS);
        }
        return !pointless.getAsBoolean();
    }

    /** Whether the conductor has ended the connection in a way that loses the bytes not yet forwarded. */
    private boolean abandoned() {
        return reset || dead && closedAt != Long.MAX_VALUE;
    }

    /** Connects to the server and forwards bytes both ways until an end closes. */
    void carry(InetSocketAddress server) throws IOException, InterruptedException {
        near.setTcpNoDelay(true);
        try {
            far.bind(new InetSocketAddress(network.host(), 0));
            BY_SERVER_END.put(far.getLocalSocketAddress(), this);
            far.connect(server);
            far.setTcpNoDelay(true);
        } catch (IOException e) {
            end(true);
            return;
        }
        Daemon.start("from server", this::deliverToConductor);
        Thread delivery = Daemon.start("to server", this::deliverToServer);
        receive(delivery);
    }

    private void receive(Thread delivery) throws InterruptedException {
        byte[] bytes = new byte[BUFFER];
        carriedSince = System.nanoTime();
        try {
            InputStream in = near.getInputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                readAt = System.nanoTime();
                underWay.add(Arrays.copyOf(bytes, count));
            }
            closedByConductor();
        } catch (IOException e) {
            closedByConductor();
            reset = true;
        }
        underWay.add(END);
        if (abandoned()) {
            delivery.join(LOOK_MS); // forwards what was sent before, unless the server doesn't read
            end(true);
        }
    }

    private void closedByConductor() {
        if (!endedByNetwork) {
            closedAt = Math.min(closedAt, System.nanoTime());
        }
    }

    private void deliverToServer() throws InterruptedException {
        try {
            boolean passes = true;
            for (byte[] next = underWay.take(); next != END && passes; next = underWay.take()) {
                passes = awaitPassage(this::abandoned);
                if (passes) {
                    network.write(far, network.changed(next));
                }
            }
            if (passes && awaitPassage(this::abandoned) && !reset) {
                far.shutdownOutput();
            }
        } catch (IOException e) {
            end(true);
        }
    }

    private void deliverToConductor() throws InterruptedException {
        byte[] bytes = new byte[BUFFER];
        boolean clean = false;
        try {
            InputStream in = far.getInputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                awaitPassage(this::abandoned);
                network.write(near, Arrays.copyOf(bytes, count));
            }
            clean = true;
        } catch (IOException e) {
            clean = false;
        }
        awaitPassage(this::abandoned);
        endedByNetwork |= closedAt == Long.MAX_VALUE; // the server ended the connection first
        end(!clean);
    }

    /** Resets the connection at both ends, as the network may. */
    void resetByNetwork() {
        endedByNetwork = true;
        resetAt = System.nanoTime();
        end(true);
    }

    private void end(boolean abort) {
        network.ended(this);
        for (Socket socket : new Socket[] {near, far}) {
            try {
                if (abort) {
                    socket.setSoLinger(true, 0);
                }
                socket.close();
            } catch (IOException e) {
                continue; // it was closed already
            }
        }
    }
}

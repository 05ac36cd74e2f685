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
 * One connection through a {@link FaultProxy}. What the conductor sends is read at once, whatever becomes of it on the way: a close
 * or a reset is noted as it comes, also behind bytes that are slow to arrive.
 */
final class ProxiedConnection {
    private static final Map<SocketAddress, ProxiedConnection> BY_SERVER_END = new ConcurrentHashMap<>();
    private static final int LOOK_MS = 5;
    private static final int BUFFER = 16 * 1024;
    private static final byte[] END = {}; // in the queue: nothing follows

    final String conductor;
    private final FaultProxy network;
    private final Socket near;
    private final Socket far;
    private final BlockingQueue<byte[]> underWay = new LinkedBlockingQueue<>(); // from the conductor
    private volatile long closedAt = Long.MAX_VALUE;
    private volatile boolean reset; // by the conductor
    private volatile boolean dead; // carries nothing any more, and neither end is told
    private volatile boolean endedByNetwork;
    private volatile long resetAt = Long.MAX_VALUE; // by the network, which both ends see
    private volatile long readAt;
    private volatile long carriedSince;

    ProxiedConnection(String conductor, FaultProxy network, Socket near) {
        this.conductor = conductor;
        this.network = network;
        this.near = near;
        far = new Socket();
    }

    /** The connection that a server has accepted from this address. */
    static ProxiedConnection from(SocketAddress address) {
        return BY_SERVER_END.get(address);
    }

    /** When the conductor closed its end or the network reset the connection. */
    long endedAt() {
        return Math.min(closedAt, resetAt);
    }

    /** When the last bytes came from the conductor, however long they were on their way from here. */
    long readAt() {
        return readAt;
    }

    /** From when on what the conductor sends has been read, in case a connection was long in coming up beyond the conductor's side. */
    long carriedSince() {
        return carriedSince;
    }

    /** Waits while the network holds back what the server has written, and the conductor has not given it up. */
    void awaitDelivery() throws InterruptedException {
        awaitPassage(() -> endedAt() != Long.MAX_VALUE);
    }

    /** Carries nothing from now on, as where a device on the way has forgotten it; new connections come up. */
    void fallSilent() {
        dead = true;
    }

    /** By either side or the network. */
    boolean wasReset() {
        return reset || resetAt != Long.MAX_VALUE;
    }

    /** Whether the conductor closed it while it was whole. */
    boolean givenUp() {
        return !dead && closedAt < resetAt;
    }

    private boolean silent() {
        return dead || network.silent();
    }

    /** Whether bytes that are here now arrive; waits while nothing passes, unless it is {@code pointless}. */
    private boolean awaitPassage(BooleanSupplier pointless) throws InterruptedException {
        if (!silent()) {
            return true;
        }
        while (silent() && !pointless.getAsBoolean()) {
            Thread.sleep(LOOK_MS);
        }
        return !pointless.getAsBoolean();
    }

    /** What is still on its way is gone with the conductor's end. */
    private boolean abandoned() {
        return reset || dead && closedAt != Long.MAX_VALUE;
    }

    /** Carries bytes both ways until an end closes. */
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
            delivery.join(LOOK_MS); // what had left before is delivered, unless nobody takes it
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
        endedByNetwork |= closedAt == Long.MAX_VALUE; // the server has ended it
        end(!clean);
    }

    /** The network resets it. */
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
                continue; // it was closed
            }
        }
    }
}

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
    private static final Map<SocketAddress, ProxiedConnection> BY_SERVER_SIDE_ADDRESS = new ConcurrentHashMap<>();
    private static final int POLL_MS = 5;
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final byte[] END_OF_QUEUE = {}; // queued after the last bytes

    final String conductor;
    private final FaultProxy network;
    private final Socket conductorSide;
    private final Socket serverSide;
    // bytes from the conductor that have not been forwarded yet
    private final BlockingQueue<byte[]> pendingToServer = new LinkedBlockingQueue<>();
    private volatile long closedAt = Long.MAX_VALUE;
    private volatile boolean resetByConductor; // the conductor has reset the connection
    private volatile boolean fellSilent; // carries nothing any more, and neither end gets an error
    private volatile boolean endedByNetworkOrServer; // the network or the server ended it before the conductor did
    private volatile long resetAt = Long.MAX_VALUE; // when the simulated network reset it at both ends
    private volatile long sentAt;
    private volatile long readSince;
    private volatile long deliveredAt;

    /** {@code establishedAt}: the conductor's end was established at this time or later. */
    ProxiedConnection(String conductor, FaultProxy network, Socket conductorSide, long establishedAt) {
        this.conductor = conductor;
        this.network = network;
        this.conductorSide = conductorSide;
        sentAt = establishedAt;
        serverSide = new Socket();
    }

    /** The connection that a server has accepted from this remote address. */
    static ProxiedConnection from(SocketAddress address) {
        return BY_SERVER_SIDE_ADDRESS.get(address);
    }

    /** When the conductor closed its end or the network reset the connection; {@code Long.MAX_VALUE} while neither has happened. */
    long endedAt() {
        return Math.min(closedAt, resetAt);
    }

    /**
     * When the conductor had sent the last bytes that were read from it, at the earliest, however long it takes to forward them to
     * the server. If they were there before the proxy began to read, this is the end of the read before, or the beginning of the
     * connection.
     */
    long sentAt() {
        return sentAt;
    }

    /**
     * From when on the proxy has read what the conductor sends; later than the conductor's connect if the connection to the server
     * took long.
     */
    long readSince() {
        return readSince;
    }

    /** When bytes of the server were last delivered to the conductor. */
    long deliveredAt() {
        return deliveredAt;
    }

    /** Waits while the network holds back what the server has written, unless the connection ends. */
    void awaitDelivery() throws InterruptedException {
        awaitForwarding(() -> endedAt() != Long.MAX_VALUE);
    }

    /** Stops forwarding without an error to either end, as when a NAT or firewall drops its entry; new connections still work. */
    void fallSilent() {
        fellSilent = true;
    }

    /** Whether the conductor or the network has reset the connection. */
    boolean wasReset() {
        return resetByConductor || resetAt != Long.MAX_VALUE;
    }

    /** Whether the conductor closed the connection while the network still carried it. */
    boolean wasGivenUp() {
        return !fellSilent && closedAt < resetAt;
    }

    private boolean isSilent() {
        return fellSilent || network.isSilent();
    }

    /** Waits while the network is silent, unless {@code cancelled} becomes true; returns whether bytes may be forwarded. */
    private boolean awaitForwarding(BooleanSupplier cancelled) throws InterruptedException {
        if (!isSilent()) {
            return true;
        }
        while (isSilent() && !cancelled.getAsBoolean()) {
            Thread.sleep(POLL_MS);
        }
        return !cancelled.getAsBoolean();
    }

    /** Whether the conductor has ended the connection in a way that loses the bytes not yet forwarded. */
    private boolean isAbandoned() {
        return resetByConductor || fellSilent && closedAt != Long.MAX_VALUE;
    }

    /** Connects to the server and forwards bytes both ways until an end closes. */
    void connectAndForward(InetSocketAddress server) throws IOException, InterruptedException {
        conductorSide.setTcpNoDelay(true);
        try {
            serverSide.bind(new InetSocketAddress(network.host(), 0));
            BY_SERVER_SIDE_ADDRESS.put(serverSide.getLocalSocketAddress(), this);
            serverSide.connect(server);
            serverSide.setTcpNoDelay(true);
        } catch (IOException e) {
            closeBoth(true);
            return;
        }
        Daemon.start("from server", this::deliverToConductor);
        Thread delivery = Daemon.start("to server", this::deliverToServer);
        receiveFromConductor(delivery);
    }

    private void receiveFromConductor(Thread delivery) throws InterruptedException {
        byte[] bytes = new byte[BUFFER_BYTES];
        readSince = System.nanoTime();
        try {
            InputStream in = conductorSide.getInputStream();
            long previousReadAt = sentAt;
            while (true) {
                boolean waited = in.available() > 0;
                int count = in.read(bytes);
                if (count < 0) {
                    break;
                }
                long readAt = System.nanoTime();
                sentAt = waited ? previousReadAt : readAt;
                previousReadAt = readAt;
                byte[] received = Arrays.copyOf(bytes, count);
                fellSilent |= network.losesConnectionAt(received);
                pendingToServer.add(received);
            }
            noteCloseByConductor();
        } catch (IOException e) {
            noteCloseByConductor();
            resetByConductor = true;
        }
        pendingToServer.add(END_OF_QUEUE);
        if (isAbandoned()) {
            delivery.join(POLL_MS); // forwards what was sent before, unless the server doesn't read
            closeBoth(true);
        }
    }

    private void noteCloseByConductor() {
        if (!endedByNetworkOrServer) {
            closedAt = Math.min(closedAt, System.nanoTime());
        }
    }

    private void deliverToServer() throws InterruptedException {
        try {
            boolean mayForward = true;
            for (byte[] next = pendingToServer.take();
                    next != END_OF_QUEUE && mayForward;
                    next = pendingToServer.take()) {
                mayForward = awaitForwarding(this::isAbandoned);
                if (mayForward) {
                    network.write(serverSide, network.applyChange(next));
                }
            }
            if (mayForward && awaitForwarding(this::isAbandoned) && !resetByConductor) {
                serverSide.shutdownOutput();
            }
        } catch (IOException e) {
            closeBoth(true);
        }
    }

    private void deliverToConductor() throws InterruptedException {
        byte[] bytes = new byte[BUFFER_BYTES];
        boolean closedCleanly = false;
        try {
            InputStream in = serverSide.getInputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                boolean mayForward = awaitForwarding(this::isAbandoned);
                network.write(conductorSide, Arrays.copyOf(bytes, count));
                deliveredAt = mayForward ? System.nanoTime() : deliveredAt;
            }
            closedCleanly = true;
        } catch (IOException e) {
            closedCleanly = false;
        }
        awaitForwarding(this::isAbandoned);
        endedByNetworkOrServer |= closedAt == Long.MAX_VALUE; // the server ended the connection first
        closeBoth(!closedCleanly);
    }

    /** Resets the connection at both ends, as the network may. */
    void resetByNetwork() {
        endedByNetworkOrServer = true;
        resetAt = System.nanoTime();
        closeBoth(true);
    }

    private void closeBoth(boolean abort) {
        network.remove(this);
        for (Socket socket : new Socket[] {conductorSide, serverSide}) {
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

package copperbeam.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * A TCP proxy between one conductor and one server that simulates faults of the network between them. It knows nothing of the
 * protocol above TCP.
 */
final class FaultProxy implements AutoCloseable {
    /** The simulated state of the network. */
    enum Mode {
        PASS,
        /**
         * A partition: no bytes pass, no connection is established, and neither end gets an error. Bytes sent meanwhile arrive
         * afterwards, unless the connection was reset.
         */
        SILENT,
        /** No new connection is established; existing ones work. */
        NO_NEW_CONNECTIONS,
        /** Bytes are forwarded in pieces of a few bytes. */
        TRICKLE
    }

    private static final AtomicInteger HOST_COUNTER = new AtomicInteger();
    private static final int HOSTS_PER_NET = 250;
    // larger than any burst of connects: if the queue overflows, the kernel drops handshakes that clients consider
    // complete, which delays their bytes
    static final int BACKLOG = 32;
    private static final int POLL_MS = 5;
    private static final int PIECE_BYTES = 7; // bytes
    private static final long PROMPT_ACCEPT_NS =
            1_000_000; // an accept that took less time found its connection waiting

    private final String conductor;
    private final InetSocketAddress server;
    private final InetAddress host;
    private final ServerSocket listener;
    private final Queue<ProxiedConnection> connections = new ConcurrentLinkedQueue<>();
    private volatile Mode mode = Mode.PASS;
    /** Which bytes from the conductor make their connection fall silent for good, before they are forwarded; or null. */
    private volatile Predicate<String> loss;
    /** A deliberate defect, applied to what the conductor sends; or null. */
    volatile UnaryOperator<String> requestChange;

    FaultProxy(String conductor, InetSocketAddress server) throws IOException {
        this.conductor = conductor;
        this.server = server;
        host = nextHost();
        listener = new ServerSocket(0, BACKLOG, host);
        Daemon.start("proxy", this::accept);
    }

    /**
     * A loopback address that no other proxy uses: closed connections keep their ports for a minute (TIME_WAIT), and thousands
     * of them would use up the ports of a single address.
     */
    private static InetAddress nextHost() throws UnknownHostException {
        int number = HOST_COUNTER.getAndIncrement();
        return InetAddress.getByAddress(
                new byte[] {127, 1, (byte) (number / HOSTS_PER_NET), (byte) (1 + number % HOSTS_PER_NET)});
    }

    InetAddress host() {
        return host;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    String hostAndPort() {
        return host.getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Sets the state of the network from now on. */
    void setMode(Mode next) throws IOException {
        mode = next;
        if (blocksNewConnections()) {
            wakeAccept();
        }
    }

    private boolean blocksNewConnections() {
        return mode == Mode.SILENT || mode == Mode.NO_NEW_CONNECTIONS;
    }

    /**
     * Makes a blocked accept return, by connecting to the proxy's own listener. Polling the mode every few milliseconds instead took
     * a whole core for 80 proxies.
     */
    private void wakeAccept() throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(listener.getLocalSocketAddress(), POLL_MS);
        } catch (SocketTimeoutException e) {
            Thread.yield(); // the accept queue is full, so no accept is blocked
        }
    }

    /**
     * Accepts connections. While no connection may be established, the proxy fills the system's accept queue with connections to
     * itself, so that the kernel drops the handshakes of all others.
     */
    private void accept() throws IOException, InterruptedException {
        List<Socket> fillers = new ArrayList<>();
        boolean wasBlocked = false; // new connections were blocked until now
        boolean queueFull = false;
        long queueEmptyAt = System.nanoTime(); // no connection that is in the queue came earlier
        while (true) {
            if (blocksNewConnections()) {
                wasBlocked = true;
                queueFull = queueFull || fill(fillers);
                Thread.sleep(POLL_MS);
                continue;
            }
            if (wasBlocked) {
                wasBlocked = false;
                queueFull = false;
                dropQueued(fillers);
                queueEmptyAt = System.nanoTime();
                continue; // the mode may have changed again
            }
            long acceptBeganAt = System.nanoTime();
            Socket conductorSide = listener.accept();
            long acceptedAt = System.nanoTime();
            if (acceptedAt - acceptBeganAt >= PROMPT_ACCEPT_NS) {
                queueEmptyAt = acceptedAt;
            }
            long establishedAt = queueEmptyAt;
            Daemon.start("connection", () -> carry(conductorSide, establishedAt));
        }
    }

    /** Resets the connections that entered the accept queue meanwhile, as their bytes could not reach the server. */
    private void dropQueued(List<Socket> fillers) throws IOException {
        for (Socket filler : fillers) {
            filler.close();
        }
        fillers.clear();
        listener.setSoTimeout(POLL_MS);
        try {
            while (true) {
                Socket queued = listener.accept();
                queued.setSoLinger(true, 0);
                queued.close();
            }
        } catch (SocketTimeoutException e) {
            listener.setSoTimeout(0); // the queue is empty; accept blocks again
        }
    }

    /** Opens connections until the accept queue takes no more; returns whether it is full. */
    private boolean fill(List<Socket> fillers) throws IOException {
        while (fillers.size() <= BACKLOG) {
            Socket filler = new Socket();
            try {
                filler.connect(listener.getLocalSocketAddress(), POLL_MS);
                fillers.add(filler);
            } catch (SocketTimeoutException e) {
                filler.close();
                return true;
            }
        }
        return false;
    }

    /** {@code establishedAt}: the connection was established at this time or later. */
    private void carry(Socket conductorSide, long establishedAt) throws IOException, InterruptedException {
        ProxiedConnection connection = new ProxiedConnection(conductor, this, conductorSide, establishedAt);
        connections.add(connection);
        connection.connectAndForward(server);
    }

    void remove(ProxiedConnection connection) {
        connections.remove(connection);
    }

    /** Whether the network is partitioned now. */
    boolean isSilent() {
        return mode == Mode.SILENT;
    }

    /** Bytes that the conductor sent, altered by the deliberate defect if there is one. */
    byte[] applyChange(byte[] bytes) {
        UnaryOperator<String> change = requestChange;
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        return (change == null ? text : change.apply(text)).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sets which bytes from the conductor make their connection fall silent from now on; null: none. */
    void setLoss(Predicate<String> bytesLost) {
        loss = bytesLost;
    }

    boolean losesConnectionAt(byte[] bytes) {
        Predicate<String> current = loss;
        return current != null && current.test(new String(bytes, StandardCharsets.ISO_8859_1));
    }

    /** Writes the bytes, in small pieces where the mode says so. */
    void write(Socket target, byte[] bytes) throws IOException {
        if (mode != Mode.TRICKLE) {
            target.getOutputStream().write(bytes);
            return;
        }
        for (int from = 0; from < bytes.length; from += PIECE_BYTES) {
            target.getOutputStream().write(bytes, from, Math.min(PIECE_BYTES, bytes.length - from));
        }
    }

    /** Resets all existing connections. */
    void resetAll() {
        connections.forEach(ProxiedConnection::resetByNetwork);
    }

    /** All existing connections carry nothing from now on, and neither end gets an error. */
    void silenceAll() {
        connections.forEach(ProxiedConnection::fallSilent);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        resetAll();
    }
}

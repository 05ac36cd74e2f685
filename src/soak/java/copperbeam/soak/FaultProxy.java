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
import java.util.function.UnaryOperator;

/** The network between one conductor and one server. It knows bytes alone, and can be cut, slow or late. */
final class FaultProxy implements AutoCloseable {
    /** What the network does. */
    enum Mode {
        PASS,
        /** Nothing passes, no connection comes up and nobody is told; what was sent arrives later, unless it was reset. */
        SILENT,
        /** No connection comes up; those that are there carry on. */
        LATE,
        /** Bytes come in small pieces. */
        TRICKLE
    }

    private static final AtomicInteger HOSTS = new AtomicInteger();
    private static final int HOSTS_A_NET = 250;
    // more than come at once: one that overflows drops handshakes that clients take for done, and their bytes come late
    static final int BACKLOG = 32;
    private static final int LOOK_MS = 5;
    private static final int PIECE = 7;

    private final String conductor;
    private final InetSocketAddress server;
    private final InetAddress host;
    private final ServerSocket listener;
    private final Queue<ProxiedConnection> connections = new ConcurrentLinkedQueue<>();
    private volatile Mode mode = Mode.PASS;
    /** A planted fault: what the conductor sends is changed on its way. */
    volatile UnaryOperator<String> plant;

    FaultProxy(String conductor, InetSocketAddress server) throws IOException {
        this.conductor = conductor;
        this.server = server;
        host = nextHost();
        listener = new ServerSocket(0, BACKLOG, host);
        Daemon.start("proxy", this::accept);
    }

    /** A loopback address of its own: by the thousand the closed connections of all use the ports of one up for a minute. */
    private static InetAddress nextHost() throws UnknownHostException {
        int number = HOSTS.getAndIncrement();
        return InetAddress.getByAddress(
                new byte[] {127, 1, (byte) (number / HOSTS_A_NET), (byte) (1 + number % HOSTS_A_NET)});
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

    /** What the network does from now on. */
    void mode(Mode next) throws IOException {
        mode = next;
        if (holdsConnectionsUp()) {
            wakeUp();
        }
    }

    private boolean holdsConnectionsUp() {
        return mode == Mode.SILENT || mode == Mode.LATE;
    }

    /** Ends the accept of a network that was whole: looking at the mode each few milliseconds took a core for 80 of them. */
    private void wakeUp() throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(listener.getLocalSocketAddress(), LOOK_MS);
        } catch (SocketTimeoutException e) {
            Thread.yield(); // its queue is full, so that nobody waits there
        }
    }

    /** While no connection comes up, those that fill the system's queue have it drop all others. */
    private void accept() throws IOException, InterruptedException {
        List<Socket> fillers = new ArrayList<>();
        boolean held = false; // connections up, until now
        boolean full = false;
        while (true) {
            if (holdsConnectionsUp()) {
                held = true;
                full = full || fill(fillers);
                Thread.sleep(LOOK_MS);
                continue;
            }
            if (held) {
                held = false;
                full = false;
                dropQueued(fillers);
                continue; // it may be cut again by now
            }
            Socket near = listener.accept();
            Daemon.start("connection", () -> carry(near));
        }
    }

    /** What the system's queue took meanwhile had no way to the server: it is reset, whatever was written to it. */
    private void dropQueued(List<Socket> fillers) throws IOException {
        for (Socket filler : fillers) {
            filler.close();
        }
        fillers.clear();
        listener.setSoTimeout(LOOK_MS);
        try {
            while (true) {
                Socket queued = listener.accept();
                queued.setSoLinger(true, 0);
                queued.close();
            }
        } catch (SocketTimeoutException e) {
            listener.setSoTimeout(0); // it is empty
        }
    }

    /** Whether the queue is full. */
    private boolean fill(List<Socket> fillers) throws IOException {
        while (fillers.size() <= BACKLOG) {
            Socket filler = new Socket();
            try {
                filler.connect(listener.getLocalSocketAddress(), LOOK_MS);
                fillers.add(filler);
            } catch (SocketTimeoutException e) {
                filler.close();
                return true;
            }
        }
        return false;
    }

    private void carry(Socket near) throws IOException, InterruptedException {
        ProxiedConnection connection = new ProxiedConnection(conductor, this, near);
        connections.add(connection);
        connection.carry(server);
    }

    void ended(ProxiedConnection connection) {
        connections.remove(connection);
    }

    /** Whether nothing passes now. */
    boolean silent() {
        return mode == Mode.SILENT;
    }

    /** What the conductor sent, with the planted fault. */
    byte[] changed(byte[] bytes) {
        UnaryOperator<String> change = plant;
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        return (change == null ? text : change.apply(text)).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Writes as the network does now. */
    void write(Socket to, byte[] bytes) throws IOException {
        if (mode != Mode.TRICKLE) {
            to.getOutputStream().write(bytes);
            return;
        }
        for (int from = 0; from < bytes.length; from += PIECE) {
            to.getOutputStream().write(bytes, from, Math.min(PIECE, bytes.length - from));
        }
    }

    /** Resets all connections that are there. */
    void resetAll() {
        connections.forEach(ProxiedConnection::resetByNetwork);
    }

    /** All connections that are there carry nothing any more, and nobody is told. */
    void silenceAll() {
        connections.forEach(ProxiedConnection::fallSilent);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        resetAll();
    }
}

package copperbeam.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.UnaryOperator;

/**
 * The network between one conductor and one server. It knows bytes alone, notes when the conductor closed its end of each
 * connection, and can be cut, slow or late.
 */
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

    /** One connection through the network. */
    static final class Link {
        final String conductor;
        private final FaultProxy network;
        private final Socket near;
        private final Socket far;
        private volatile long closedAt = Long.MAX_VALUE;
        private volatile boolean reset;
        private volatile boolean endedByNetwork;
        private volatile long resetAt = Long.MAX_VALUE; // by the network, which both ends see
        private volatile long readAt;

        Link(FaultProxy network, Socket near, Socket far) {
            this.network = network;
            conductor = network.conductor;
            this.near = near;
            this.far = far;
        }

        /** When the conductor closed its end, or ended its sending. */
        long closedAt() {
            return closedAt;
        }

        /** When the conductor closed its end or the network reset the connection. */
        long endedAt() {
            return Math.min(closedAt, resetAt);
        }

        /** Waits while the network holds back what the server has written, and the conductor has not given it up. */
        void awaitDelivery() throws InterruptedException {
            while (network.mode == Mode.SILENT && endedAt() == Long.MAX_VALUE) {
                Thread.sleep(LOOK_MS);
            }
        }

        /** When the last bytes came from the conductor, however long they were on their way from here. */
        long readAt() {
            return readAt;
        }

        private void closedByConductor() {
            if (endedByNetwork) {
                return;
            }
            closedAt = Math.min(closedAt, System.nanoTime());
        }
    }

    private static final Map<Integer, Link> BY_PORT = new ConcurrentHashMap<>();
    private static final int BACKLOG = 4;
    private static final int LOOK_MS = 5;
    private static final int PIECE = 7;
    private static final int BUFFER = 16 * 1024;

    private final String conductor;
    private final InetSocketAddress server;
    private final ServerSocket listener;
    private final Queue<Link> links = new ConcurrentLinkedQueue<>();
    private volatile Mode mode = Mode.PASS;
    /** A planted fault: what the conductor sends is changed on its way. */
    volatile UnaryOperator<String> plant;

    FaultProxy(String conductor, InetSocketAddress server) throws IOException {
        this.conductor = conductor;
        this.server = server;
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        Daemon.start("proxy", this::accept);
    }

    /** The connection that a server has accepted from this port. */
    static Link link(int port) {
        return BY_PORT.get(port);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
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
        boolean full = false;
        while (true) {
            if (holdsConnectionsUp()) {
                full = full || fill(fillers);
                Thread.sleep(LOOK_MS);
                continue;
            }
            if (full) {
                full = false;
                dropQueued(fillers);
            }
            Socket near = listener.accept();
            Daemon.start("link", () -> connect(near));
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

    private void connect(Socket near) throws IOException, InterruptedException {
        near.setTcpNoDelay(true);
        Socket far = new Socket();
        far.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Link link = new Link(this, near, far);
        BY_PORT.put(far.getLocalPort(), link);
        links.add(link);
        try {
            far.connect(server);
            far.setTcpNoDelay(true);
        } catch (IOException e) {
            end(link, true);
            return;
        }
        Daemon.start("down", () -> down(link));
        up(link);
    }

    /** From the conductor to the server. What is held back is read all the same, so that a close is seen as it comes. */
    private void up(Link link) throws InterruptedException {
        byte[] bytes = new byte[BUFFER];
        ByteArrayOutputStream held = new ByteArrayOutputStream();
        try {
            InputStream in = link.near.getInputStream();
            for (int count = read(link, in, bytes, held); count >= 0; count = read(link, in, bytes, held)) {
                link.readAt = count > 0 ? System.nanoTime() : link.readAt;
                held.write(bytes, 0, count);
                if (mode != Mode.SILENT && held.size() > 0) {
                    write(link.far, changed(held.toByteArray()));
                    held.reset();
                }
            }
            link.closedByConductor();
            awaitPassage(link);
            write(link.far, changed(held.toByteArray()));
            link.far.shutdownOutput();
        } catch (IOException e) {
            link.closedByConductor();
            link.reset = true;
            end(link, true);
        }
    }

    /** 0 where nothing has come for a while and something is held back. */
    private static int read(Link link, InputStream in, byte[] bytes, ByteArrayOutputStream held) throws IOException {
        link.near.setSoTimeout(held.size() > 0 ? LOOK_MS : 0);
        try {
            return in.read(bytes);
        } catch (SocketTimeoutException e) {
            return 0;
        }
    }

    private byte[] changed(byte[] bytes) {
        UnaryOperator<String> change = plant;
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        return (change == null ? text : change.apply(text)).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** From the server to the conductor. */
    private void down(Link link) throws InterruptedException {
        byte[] bytes = new byte[BUFFER];
        boolean clean = false;
        try {
            InputStream in = link.far.getInputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                awaitPassage(link);
                write(link.near, Arrays.copyOf(bytes, count));
            }
            clean = true;
        } catch (IOException e) {
            clean = false;
        }
        awaitPassage(link);
        link.endedByNetwork |= link.closedAt == Long.MAX_VALUE; // the server has ended it
        end(link, !clean);
    }

    /** Waits while the network is cut; what a reset connection still had on its way is gone. */
    private void awaitPassage(Link link) throws InterruptedException {
        while (mode == Mode.SILENT && !link.reset) {
            Thread.sleep(LOOK_MS);
        }
    }

    private void write(Socket to, byte[] bytes) throws IOException, InterruptedException {
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
        links.forEach(l -> {
            l.endedByNetwork = true;
            l.resetAt = System.nanoTime();
            end(l, true);
        });
    }

    private void end(Link link, boolean reset) {
        links.remove(link);
        for (Socket socket : new Socket[] {link.near, link.far}) {
            try {
                if (reset) {
                    socket.setSoLinger(true, 0);
                }
                socket.close();
            } catch (IOException e) {
                continue; // it was closed
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        resetAll();
    }
}

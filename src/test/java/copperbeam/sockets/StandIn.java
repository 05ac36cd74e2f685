package copperbeam.sockets;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;

/** A fake server that answers as the test's script says and records all requests and connections. */
final class StandIn implements AutoCloseable {
    /** Answers one request; an exception closes the connection. */
    interface Script {
        void run(Line.Message request, Line line) throws Exception;
    }

    /** Runs on a new connection before its first request is read; an exception closes the connection. */
    interface Opening {
        void take(Line line) throws Exception;
    }

    private final ServerSocket socket;
    volatile Opening opening = line -> {};
    final List<Line.Message> seen = new CopyOnWriteArrayList<>();
    final List<Line> lines = new CopyOnWriteArrayList<>();
    volatile Script script;

    StandIn(Script script) throws IOException {
        this(script, 50);
        open();
    }

    /**
     * Accepts no connection before {@link #startAccepting}: until then the kernel queues {@code backlog} connections and one
     * more, and the connects of others stay pending.
     */
    StandIn(Script script, int backlog) throws IOException {
        this.script = script;
        socket = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    }

    void open() {
        start(this::accept);
    }

    private StandIn(ServerSocket socket) {
        this.socket = socket;
    }

    /**
     * A server to which no connect succeeds or is refused, like a machine that is down: its accept queue is full, so that the
     * kernel drops further SYNs.
     */
    static StandIn vanished() throws IOException {
        StandIn gone = new StandIn(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
        while (true) {
            try (Socket queued = new Socket()) {
                queued.connect(gone.address(), 100);
            } catch (SocketTimeoutException e) {
                return gone;
            }
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket next = socket.accept();
                start(() -> serve(next));
            }
        } catch (IOException e) {
            // the server socket was closed
        }
    }

    private void serve(Socket next) {
        Line line = null;
        try {
            line = new Line(next);
            next.setSoTimeout(0);
            lines.add(line);
            opening.take(line);
            for (Line.Message request = line.read(); request != null; request = line.read()) {
                seen.add(request);
                script.run(request, line);
            }
        } catch (Exception e) {
            // the script or the peer ended the connection
        } finally {
            close(line);
        }
    }

    private static void close(Line line) {
        try {
            line.close();
        } catch (IOException e) {
            // treated as closed
        }
        line.ended = true;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    String host() {
        return "127.0.0.1:" + address().getPort();
    }

    long count(Predicate<Line.Message> which) {
        return seen.stream().filter(which).count();
    }

    long attempts() {
        return count(m -> m.method().equals("POST"));
    }

    long releases() {
        return count(m -> m.method().equals("DELETE"));
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Line line : lines) {
            line.close();
        }
    }
}

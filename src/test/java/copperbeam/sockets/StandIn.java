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
        void run(RawConnection.Message request, RawConnection connection) throws Exception;
    }

    /** Runs on a new connection before its first request is read; an exception closes the connection. */
    interface ConnectionHandler {
        void handle(RawConnection connection) throws Exception;
    }

    private final ServerSocket socket;
    volatile ConnectionHandler onConnect = connection -> {};
    final List<RawConnection.Message> requests = new CopyOnWriteArrayList<>();
    final List<RawConnection> connections = new CopyOnWriteArrayList<>();
    volatile Script script;

    StandIn(Script script) throws IOException {
        this(script, 50);
        startAccepting();
    }

    /**
     * Accepts no connection before {@link #startAccepting}: until then the kernel queues {@code backlog} connections and one
     * more, and the connects of others stay pending.
     */
    StandIn(Script script, int backlog) throws IOException {
        this.script = script;
        socket = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    }

    /** Takes all connects of a crowd, though the accepting thread gets no processor time for a while. */
    static StandIn forCrowds(Script script) throws IOException {
        StandIn server = new StandIn(script, 1024);
        server.startAccepting();
        return server;
    }

    void startAccepting() {
        startThread(this::acceptConnections);
    }

    private StandIn(ServerSocket socket) {
        this.socket = socket;
    }

    /**
     * A server to which no connect succeeds or is refused, like a machine that is down: its accept queue is full, so that the
     * kernel drops further SYNs.
     */
    static StandIn unreachable() throws IOException {
        StandIn server = new StandIn(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
        while (true) {
            try (Socket queued = new Socket()) {
                queued.connect(server.address(), 100);
            } catch (SocketTimeoutException e) {
                return server;
            }
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket accepted = socket.accept();
                startThread(() -> serve(accepted));
            }
        } catch (IOException e) {
            // the server socket was closed
        }
    }

    private void serve(Socket accepted) {
        RawConnection connection = null;
        try {
            connection = new RawConnection(accepted);
            accepted.setSoTimeout(0);
            connections.add(connection);
            onConnect.handle(connection);
            for (RawConnection.Message request = connection.read(); request != null; request = connection.read()) {
                requests.add(request);
                script.run(request, connection);
            }
        } catch (Exception e) {
            // the script or the peer ended the connection
        } finally {
            close(connection);
        }
    }

    private static void close(RawConnection connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // treated as closed
        }
        connection.closedByStandIn = true;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    String hostAndPort() {
        return "127.0.0.1:" + address().getPort();
    }

    long count(Predicate<RawConnection.Message> condition) {
        return requests.stream().filter(condition).count();
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
        for (RawConnection connection : connections) {
            connection.close();
        }
    }
}

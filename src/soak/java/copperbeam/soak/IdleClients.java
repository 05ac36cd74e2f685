package copperbeam.soak;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

/** Clients that connect to a conductor without sending anything, and reconnect when it closes them: they use up its descriptors. */
final class IdleClients {
    private static final int POLL_MS = 50;
    private static final int CONNECT_INTERVAL_MS =
            20; // once all are open; thousands of closed connections would use up the machine's ports

    private final ConductorProcess conductor;
    private final int maxConnections;
    private final Deque<HttpConnection> connections = new ArrayDeque<>();

    IdleClients(ConductorProcess conductor, int maxConnections) {
        this.conductor = conductor;
        this.maxConnections = maxConnections;
    }

    /** Connects whenever the conductor takes clients, until {@code stop} returns true; then resets all connections. */
    void keepConnecting(BooleanSupplier stop) throws InterruptedException {
        while (!stop.getAsBoolean()) {
            boolean connected = conductor.takesClients() && connectOnce();
            Thread.sleep(!connected ? POLL_MS : connections.size() < maxConnections ? 0 : CONNECT_INTERVAL_MS);
        }
        resetAll();
    }

    /** Opens a connection and drops the oldest one beyond the limit; returns false if the conductor accepts none. */
    private boolean connectOnce() {
        try {
            connections.add(HttpConnection.connect(conductor.address, POLL_MS));
            if (connections.size() > maxConnections) {
                connections.poll().reset(); // a close would leave its port in TIME_WAIT for a minute
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void resetAll() {
        for (HttpConnection connection : connections) {
            try {
                connection.reset();
            } catch (IOException e) {
                continue; // it was closed already
            }
        }
        connections.clear();
    }
}

package copperbeam.soak;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

/** Clients that connect to a conductor without sending anything, and reconnect when it closes them: they use up its descriptors. */
final class IdleClients {
    private static final int LOOK_MS = 50;
    private static final int AGAIN_MS =
            20; // once all are open; thousands of closed connections would use up the machine's ports

    private final ConductorProcess conductor;
    private final int most;
    private final Deque<HttpConnection> connections = new ArrayDeque<>();

    IdleClients(ConductorProcess conductor, int most) {
        this.conductor = conductor;
        this.most = most;
    }

    /** Connects whenever the conductor takes clients, until {@code stop} returns true; then resets all connections. */
    void keepComing(BooleanSupplier over) throws InterruptedException {
        while (!over.getAsBoolean()) {
            boolean came = conductor.takesClients() && comeOnce();
            Thread.sleep(!came ? LOOK_MS : connections.size() < most ? 0 : AGAIN_MS);
        }
        leave();
    }

    /** Opens a connection and drops the oldest one beyond the limit; returns false if the conductor accepts none. */
    private boolean comeOnce() {
        try {
            connections.add(HttpConnection.to(conductor.address, LOOK_MS));
            if (connections.size() > most) {
                connections.poll().reset(); // a close would leave its port in TIME_WAIT for a minute
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void leave() {
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

package copperbeam.soak;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;

/** Clients that connect to a conductor, say nothing and come again as they are let go, so that they fill its descriptors. */
final class IdleClients {
    private static final int LOOK_MS = 50;
    private static final int AGAIN_MS =
            20; // from one to the next once all are there; by the thousand they use the machine's ports up

    private final ConductorProcess conductor;
    private final int most;
    private final Deque<HttpConnection> connections = new ArrayDeque<>();

    IdleClients(ConductorProcess conductor, int most) {
        this.conductor = conductor;
        this.most = most;
    }

    /** They come whenever clients do, until then. */
    void keepComing(BooleanSupplier over) throws InterruptedException {
        while (!over.getAsBoolean()) {
            boolean came = conductor.takesClients() && comeOnce();
            Thread.sleep(!came ? LOOK_MS : connections.size() < most ? 0 : AGAIN_MS);
        }
        leave();
    }

    /** False where no connection is taken now. */
    private boolean comeOnce() {
        try {
            connections.add(HttpConnection.to(conductor.address, LOOK_MS));
            if (connections.size() > most) {
                connections.poll().reset(); // a close would keep its port for a minute
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
                continue; // it was closed
            }
        }
        connections.clear();
    }
}

package copperbeam.model;

import copperbeam.routing.Connector.Call;
import copperbeam.routing.Connector.CallListener;
import copperbeam.routing.Connector.Connection;
import copperbeam.routing.Connector.ConnectionListener;
import java.time.Duration;

/** One simulated connection from a process to a server: either end may close it before the other end notices. */
final class Link implements Connection {
    final World world;
    final ModelProcess process;
    final ModelServer server;
    private final int
            serverIncarnation; // of the server, when the connection was opened; it changes when the server stops
    private final ConnectionListener connectionListener;
    private boolean open = true; // as the process sees it
    private boolean serverClosed;
    private boolean stalled; // data to the process was lost, so TCP delivers nothing behind it
    private long nextDeliveryAt; // earliest next delivery at the process, so that data keeps its order
    private Exchange currentExchange;
    private long idleSince;

    Link(
            World world,
            ModelProcess process,
            ModelServer server,
            int serverIncarnation,
            ConnectionListener connectionListener) {
        this.world = world;
        this.process = process;
        this.server = server;
        this.serverIncarnation = serverIncarnation;
        this.connectionListener = connectionListener;
        idleSince = world.time.now();
        scheduleIdleClose();
    }

    /** The server closes the connection after the idle timeout; the process sometimes learns of it only 20 ms later. */
    private void scheduleIdleClose() {
        long idleStart = idleSince;
        long idleTimeout = world.settings.connectionIdleTimeout().toNanos();
        world.time.runAfter(idleTimeout, () -> {
            if (open && currentExchange == null && idleSince == idleStart) {
                serverClosed = true;
                scheduleReset(world.random.nextInt(10) == 0 ? 20 * VirtualTime.NANOS_PER_MS : world.drawLatency());
            }
        });
    }

    /** The server still has its end of the connection and can be reached. */
    boolean reachesServer() {
        return !serverClosed && server.incarnation == serverIncarnation && server.isReachableFrom(process);
    }

    boolean isResetByServer() {
        return serverClosed || server.incarnation != serverIncarnation;
    }

    /**
     * Delivers something to the process: runs the task after the network latency and after everything sent before. If
     * anything is lost on the way, nothing behind it is delivered.
     */
    void sendToProcess(Runnable task) {
        nextDeliveryAt = Math.max(nextDeliveryAt + 1, world.time.now() + world.drawLatency());
        world.time.runAt(nextDeliveryAt, () -> {
            if (!reachesProcess()) {
                stalled = true;
            } else if (open && !stalled) {
                task.run();
            }
        });
    }

    private void scheduleReset(long delay) {
        nextDeliveryAt = Math.max(nextDeliveryAt + 1, world.time.now() + delay);
        world.time.runAt(nextDeliveryAt, () -> {
            if (reachesProcess()) {
                onResetReceived();
            }
        });
    }

    private boolean reachesProcess() {
        return !process.hasEnded() && !server.networkDown && !server.partitionedFrom.contains(process.index);
    }

    void sendToServer(Runnable task) {
        world.time.runAfter(world.drawLatency(), () -> {
            if (reachesServer()) {
                task.run();
            } else if (isResetByServer()) {
                scheduleReset(world.drawLatency());
            }
        });
    }

    /** The process learns that the server's end is gone. */
    void onResetReceived() {
        if (open) {
            open = false;
            world.links.remove(this);
            Exchange interrupted = currentExchange;
            currentExchange = null;
            if (interrupted != null) {
                interrupted.onConnectionLost();
            }
            connectionListener.closed(this);
        }
    }

    void resetByServer() {
        serverClosed = true;
        if (currentExchange != null) {
            currentExchange.onClosedByServer();
        }
        scheduleReset(world.drawLatency());
    }

    void onAnswerComplete(Exchange exchange, boolean reusable) {
        if (currentExchange == exchange) {
            currentExchange = null;
            idleSince = world.time.now();
            if (reusable) {
                scheduleIdleClose();
            }
        }
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public void call(Call call, CallListener listener) {
        Exchange exchange = new Exchange(this, call, listener);
        currentExchange = exchange;
        process.runOnReactor(world.drawReactorDelay(), exchange::sendHead);
    }

    @Override
    public void sendLastByte() {
        Exchange exchange = currentExchange;
        if (exchange != null) {
            process.runOnReactor(world.drawReactorDelay(), exchange::sendLastByte);
        }
    }

    @Override
    public void grant(int bytes) {
        if (currentExchange != null) {
            currentExchange.onWindowGranted(bytes);
        }
    }

    @Override
    public Duration withoutProgress() {
        return currentExchange == null ? Duration.ZERO : currentExchange.withoutProgress();
    }

    @Override
    public void readOut(Runnable then) {
        process.runOnReactor(world.drawReactorDelay(), then);
    }

    @Override
    public void close() {
        close(false);
    }

    @Override
    public void abort() {
        close(true);
    }

    private void close(boolean withReset) {
        if (!open) {
            return;
        }
        open = false;
        world.links.remove(this);
        Exchange interrupted = currentExchange;
        currentExchange = null;
        if (interrupted != null) {
            interrupted.onClosedByProcess(withReset);
        }
        process.runOnReactor(world.drawReactorDelay(), () -> {
            if (interrupted != null) {
                interrupted.notifyBroken();
            }
            connectionListener.closed(this);
        });
    }

    /** The process has ended, and its end of the connection with it. */
    void closeWithProcess() {
        open = false;
        world.links.remove(this);
        if (currentExchange != null) {
            currentExchange.onClosedByProcess(false);
            currentExchange = null;
        }
    }
}

package copperbeam.model;

import copperbeam.routing.Connector.Call;
import copperbeam.routing.Connector.Connection;
import copperbeam.routing.Connector.Listener;
import copperbeam.routing.Connector.Watcher;

/** One simulated connection from a process to a server: either end may close it before the other end notices. */
final class Link implements Connection {
    final World world;
    final ModelProcess process;
    final ModelServer server;
    private final int life; // of the server, when the connection was opened; it changes when the server stops
    private final Watcher watcher;
    private boolean open = true; // as the process sees it
    private boolean serverClosed;
    private boolean stalled; // data to the process was lost, so TCP delivers nothing behind it
    private long nextAt; // earliest next delivery at the process, so that data keeps its order
    private Exchange current;
    private long idleSince;

    Link(World world, ModelProcess process, ModelServer server, int life, Watcher watcher) {
        this.world = world;
        this.process = process;
        this.server = server;
        this.life = life;
        this.watcher = watcher;
        idleSince = world.time.now();
        watchIdle();
    }

    /** The server closes the connection after the idle timeout; the process sometimes learns of it only 20 ms later. */
    private void watchIdle() {
        long since = idleSince;
        long limit = world.settings.connectionIdle().toNanos();
        world.time.after(limit, () -> {
            if (open && current == null && idleSince == since) {
                serverClosed = true;
                resetAfter(world.random.nextInt(10) == 0 ? 20 * VirtualTime.MILLI : world.latency());
            }
        });
    }

    /** The server still has its end of the connection and can be reached. */
    boolean carries() {
        return !serverClosed && server.life == life && server.reachable(process);
    }

    boolean reset() {
        return serverClosed || server.life != life;
    }

    /**
     * Delivers something to the process: runs the task after the network latency and after everything sent before. If
     * anything is lost on the way, nothing behind it is delivered.
     */
    void toProcess(Runnable task) {
        nextAt = Math.max(nextAt + 1, world.time.now() + world.latency());
        world.time.at(nextAt, () -> {
            if (!passes()) {
                stalled = true;
            } else if (open && !stalled) {
                task.run();
            }
        });
    }

    private void resetAfter(long way) {
        nextAt = Math.max(nextAt + 1, world.time.now() + way);
        world.time.at(nextAt, () -> {
            if (passes()) {
                lost();
            }
        });
    }

    private boolean passes() {
        return !process.ended() && !server.vanished && !server.cutFrom.contains(process.index);
    }

    void toServer(Runnable task) {
        world.time.after(world.latency(), () -> {
            if (carries()) {
                task.run();
            } else if (reset()) {
                resetAfter(world.latency());
            }
        });
    }

    /** The process learns that the server's end is gone. */
    void lost() {
        if (open) {
            open = false;
            world.links.remove(this);
            Exchange broken = current;
            current = null;
            if (broken != null) {
                broken.broken();
            }
            watcher.closed(this);
        }
    }

    void serverResets() {
        serverClosed = true;
        if (current != null) {
            current.closedByServer();
        }
        resetAfter(world.latency());
    }

    void done(Exchange x, boolean reusable) {
        if (current == x) {
            current = null;
            idleSince = world.time.now();
            if (reusable) {
                watchIdle();
            }
        }
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public void call(Call call, Listener listener) {
        Exchange x = new Exchange(this, call, listener);
        current = x;
        process.reactor(world.reactorTurn(), x::leave);
    }

    @Override
    public void let() {
        Exchange x = current;
        if (x != null) {
            process.reactor(world.reactorTurn(), x::lastByte);
        }
    }

    @Override
    public void grant(int bytes) {
        if (current != null) {
            current.granted(bytes);
        }
    }

    @Override
    public boolean heldBack() {
        return current != null && current.heldBack();
    }

    @Override
    public void readOut(Runnable read) {
        process.reactor(world.reactorTurn(), read);
    }

    @Override
    public void close() {
        close(false);
    }

    @Override
    public void abort() {
        close(true);
    }

    private void close(boolean abort) {
        if (!open) {
            return;
        }
        open = false;
        world.links.remove(this);
        Exchange cut = current;
        current = null;
        if (cut != null) {
            cut.closedByProcess(abort);
        }
        process.reactor(world.reactorTurn(), () -> {
            if (cut != null) {
                cut.toldBroken();
            }
            watcher.closed(this);
        });
    }

    /** The process has ended, and its end of the connection with it. */
    void drop() {
        open = false;
        world.links.remove(this);
        if (current != null) {
            current.closedByProcess(false);
            current = null;
        }
    }
}

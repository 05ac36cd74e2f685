package copperbeam.model;

import copperbeam.routing.Connector;
import java.net.InetSocketAddress;
import java.time.Duration;

/** Opens the simulated connections of one process to servers. */
final class Network implements Connector {
    private final World world;
    private final ModelProcess process;

    Network(World world, ModelProcess process) {
        this.world = world;
        this.process = process;
    }

    @Override
    public void connect(InetSocketAddress address, Duration timeout, ConnectionListener listener) {
        ModelServer server = world.servers.get(address.getPort());
        // the HTTP library checks for expired timeouts only from time to time, so a timeout may be noticed late
        long timeoutNanos = (long) (timeout.toNanos() * (1 + 1.4 * world.random.nextDouble()));
        long extraDelay = world.random.nextDouble() < server.lateConnectChance ? world.drawConnectDelay(process) : 0;
        long delay = world.drawLatency() + extraDelay;
        if (delay > timeoutNanos) {
            process.runOnReactor(timeoutNanos, listener::connectFailed);
            return;
        }
        int incarnation = server.incarnation;
        world.time.runAfter(delay / 2, () -> {
            if (!server.isReachableFrom(process)) {
                boolean refused =
                        !server.running && !server.networkDown && !server.partitionedFrom.contains(process.index);
                process.runOnReactor(refused ? world.drawLatency() : timeoutNanos - delay / 2, listener::connectFailed);
            } else {
                process.runOnReactor(delay - delay / 2, () -> {
                    Link link = new Link(world, process, server, incarnation, listener);
                    world.links.add(link);
                    listener.connected(link);
                });
            }
        });
    }
}

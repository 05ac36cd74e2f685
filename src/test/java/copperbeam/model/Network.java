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
    public void connect(InetSocketAddress to, Duration timeout, Watcher watcher) {
        ModelServer server = world.servers.get(to.getPort());
        // the HTTP library checks for expired timeouts only from time to time, so a timeout may be noticed late
        long limit = (long) (timeout.toNanos() * (1 + 1.4 * world.random.nextDouble()));
        long late = world.random.nextDouble() < server.lateConnects ? world.lateConnect(process) : 0;
        long after = world.latency() + late;
        if (after > limit) {
            process.reactor(limit, watcher::failed);
            return;
        }
        int life = server.life;
        world.time.after(after / 2, () -> {
            if (!server.reachable(process)) {
                boolean refused = !server.running && !server.vanished && !server.cutFrom.contains(process.index);
                process.reactor(refused ? world.latency() : limit - after / 2, watcher::failed);
            } else {
                process.reactor(after - after / 2, () -> {
                    Link link = new Link(world, process, server, life, watcher);
                    world.links.add(link);
                    watcher.up(link);
                });
            }
        });
    }
}

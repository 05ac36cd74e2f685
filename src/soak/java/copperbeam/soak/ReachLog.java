package copperbeam.soak;

import java.util.HashSet;
import java.util.Set;

/**
 * Notes when a conductor can no longer reach any listed server, by whatever combination of troubles, and when it can reach one
 * again.
 */
final class ReachLog {
    private final SoakSite site;
    private final Set<String> cutOff = new HashSet<>(); // conductors, by their names

    ReachLog(SoakSite site) {
        this.site = site;
    }

    /** Notes what has changed; to be called after each change of the network or the server list. */
    synchronized void update() {
        for (ConductorProcess conductor : site.conductors) {
            boolean unreachable = site.activeServers().stream()
                    .allMatch(server -> site.proxy(conductor, server.id).isSilent());
            boolean changed = unreachable ? cutOff.add(conductor.name) : cutOff.remove(conductor.name);
            if (changed) {
                site.history.add(new Observation.CutOffFromAll(System.nanoTime(), conductor.name, unreachable));
            }
        }
    }
}

package copperbeam.soak;

import java.util.HashSet;
import java.util.Set;

/** Notes when a conductor can reach no listed server any more, by whichever troubles together, and when one again. */
final class ReachLog {
    private final SoakSite site;
    private final Set<String> cutOff = new HashSet<>(); // conductors, by their names

    ReachLog(SoakSite site) {
        this.site = site;
    }

    /** To be called whenever the network or the list has changed. */
    synchronized void look() {
        for (ConductorProcess conductor : site.conductors) {
            boolean cut = site.listed().stream()
                    .allMatch(server -> site.proxy(conductor, server.id).silent());
            boolean changed = cut ? cutOff.add(conductor.name) : cutOff.remove(conductor.name);
            if (changed) {
                site.history.add(new Observation.CutOffFromAll(System.nanoTime(), conductor.name, cut));
            }
        }
    }
}

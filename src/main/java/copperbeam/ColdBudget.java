package copperbeam;

import copperbeam.Api.Rules;
import copperbeam.State.Permits;
import copperbeam.State.Rate;

/**
 * This process's part of what a cold server may be sent in any window of the rule, in requests of mean work.
 * Whole permits come as the part adds up, each node's first at its {@code place} (0 to 1) in the row of all:
 * no node's luck rounds its own. A process that starts anew has only what comes from then on.
 */
record ColdBudget(Rules rules, double place) {
    private static final double HELD = 0.5; // of a window's permits may wait for requests, or one
    private static final double SHARE = 1 / (1 + HELD); // of the budget: a window and what waited before
    private static final double LEAST_S = 0.1; // s; lengths that the settings do not tell

    Permits permits(String id, double launched, double since) {
        return new Permits(launched, Math.max(launched, since), (place + State.hash(id, "" + launched)) % 1);
    }

    /** A warm server gets {@code part} of {@code demand}. What a heavy request lacks comes off later ones. */
    boolean room(Permits p, Rate demand, double part, double weight, double now) {
        double age = (now - p.launchedAt) / Math.max(rules.warmWithinS(), LEAST_S);
        if (p.launchedAt <= 0 || age >= 1) {
            return true;
        }
        double present = 1 - (1 - rules.coldFrom()) * (1 - age * age); // of its capacity it surely has
        double perS = SHARE * rules.fallMultiple() * present * part * demand.perS(now);
        double window = perS * Math.max(rules.fallS(), LEAST_S);
        p.due += perS * (now - p.at);
        p.at = now;
        p.used = Math.max(p.used, Math.floor(p.due - Math.max(HELD * window, Math.min(1, window))));
        return Math.floor(p.due) - p.used >= weight / 2;
    }
}

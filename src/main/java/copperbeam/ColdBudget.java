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
    private static final double LEAST_OF_WEIGHT = 0.5; // of a request's weight has to wait in permits
    private static final double LEAST_S = 0.1; // s; lengths that the settings do not tell
    private static final double FEW = 30; // requests a window, under which the rule leaves more to chance
    private static final double REST_OF_FEW = 1 - SHARE; // of the budget, for turns
    private static final double REST_OF_MANY = 1.2; // the same, of a budget that is told too low
    private static final double SURE = 0.95; // of the room beside permits, as weights are estimates
    private static final double ROUNDED_UP = 1.5; // requests by which whole permits may pass their sum
    private static final double WINDOWS_LENT = 2; // of permits, at most, to one request

    Permits permits(String id, double launched, double since) {
        return new Permits(launched, Math.max(launched, since), (place + State.hash(id, "" + launched)) % 1);
    }

    boolean warm(Permits p, double now) {
        return p.launchedAt <= 0 || age(p, now) >= 1;
    }

    /** A warm server gets {@code part} of {@code demand}. What a heavy request lacks comes off later ones. */
    boolean room(Permits p, Rate demand, double part, double weight, double now) {
        if (warm(p, now)) {
            return true;
        }
        double window = window(present(p, now), demand, part, now);
        p.due = due(p, window, now);
        p.at = now;
        p.used = Math.max(p.used, Math.floor(p.due - mostWaiting(window)));
        return Math.floor(p.due) - p.used >= weight * LEAST_OF_WEIGHT;
    }

    /** Whether permits add up to what a request of this weight needs by then, or until the server is warm. */
    boolean reaches(Permits p, Rate demand, double part, double weight, double by, double now) {
        double then = Math.max(now, Math.min(by, p.launchedAt + rules.warmWithinS()));
        return mostWaiting(window(present(p, then), demand, part, now)) >= weight * LEAST_OF_WEIGHT;
    }

    /** Whether those of the whole slow start, at today's rate, pay for a request of this weight. */
    boolean everReach(Permits p, Rate demand, double part, double weight, double now) {
        double perS = window(present(p, now), demand, part, now) / windowS();
        return perS * rules.warmWithinS() >= weight * LEAST_OF_WEIGHT;
    }

    /**
     * A request beyond the permits takes those of two windows at most, so that the others go on. Where
     * a window brings less than a permit, of one: such a process has few turns, and debts bar it from them.
     */
    void borrow(Permits p, Rate demand, double part, double weight, double now) {
        double window = window(present(p, now), demand, part, now);
        double most = Math.max(p.used, p.due + (window < 1 ? window : WINDOWS_LENT * window));
        p.used = Math.min(p.used + weight, most);
    }

    /** Whether it has sent more than its permits by a usual request, and has not had as many since. */
    boolean lent(Permits p, Rate demand, double part, double now) {
        return p.used - due(p, window(present(p, now), demand, part, now), now) >= 1;
    }

    /**
     * What a window has room for beside all that permits bring, in requests of mean work.
     *
     * @param perS the whole fleet's demand of one warm server, at least
     */
    double beyond(Permits p, double perS, double now) {
        double budget = rules.fallMultiple() * present(p, now) * perS * windowS();
        boolean few = budget < FEW;
        double slack = few ? 3 * Math.sqrt(budget) + 3 : 2 * Math.sqrt(budget) + 2;
        double rest = budget * (few ? REST_OF_FEW : REST_OF_MANY);
        return SURE * (rest + slack) - ROUNDED_UP;
    }

    /** This process's part of a window, in requests of mean work. */
    private double window(double present, Rate demand, double part, double now) {
        return SHARE * rules.fallMultiple() * present * part * demand.perS(now) * windowS();
    }

    /** What has come by now, where a window brings so much. */
    private double due(Permits p, double window, double now) {
        return p.due + window / windowS() * (now - p.at);
    }

    private static double mostWaiting(double window) {
        return Math.max(HELD * window, Math.min(1, window));
    }

    private double windowS() {
        return Math.max(rules.fallS(), LEAST_S);
    }

    private double age(Permits p, double now) {
        return (now - p.launchedAt) / Math.max(rules.warmWithinS(), LEAST_S);
    }

    /** Of its capacity it surely has. */
    private double present(Permits p, double now) {
        double age = age(p, now);
        return 1 - (1 - rules.coldFrom()) * (1 - age * age);
    }
}

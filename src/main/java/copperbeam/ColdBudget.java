package copperbeam;

import copperbeam.Api.Rules;
import copperbeam.State.Permits;
import copperbeam.State.Rate;

/**
 * This process's share of what a cold server may be sent in any window of the slow-start rule, in requests
 * of mean weight. Permits accrue continuously and are spent in whole numbers. {@code phase} (0 to 1,
 * different for each node) offsets the accrual, so that the nodes' permits don't all become whole at once.
 * A process that starts later accrues only from its own start.
 */
record ColdBudget(Rules rules, double place) {
    /**
     * Cap on unused permits, as a share of a window's permits. One permit, or all of a window if these are
     * fewer, may be kept in any case.
     */
    private static final double HELD = 0.5;
    /** Share of the budget that is given out as permits, as unused ones can add to those of a window. */
    private static final double SHARE = 1 / (1 + HELD);
    /** Share of a request's weight that the available permits must cover. */
    private static final double LEAST_OF_WEIGHT = 0.5;
    /** Lower bound of the durations of the rule, which are 0 where the settings give none. */
    private static final double LEAST_S = 0.1;
    /** Below this budget, in requests per window, the rule allows a larger excess by chance. */
    private static final double FEW = 30;
    /** Share of a small budget that is left for turns. */
    private static final double REST_OF_FEW = 1 - SHARE;
    /** The same for a large budget; above 1, as the budget is computed from an underestimated demand. */
    private static final double REST_OF_MANY = 1.2;
    /** Share of the room beside permits that turns may use, as weights are estimates. */
    private static final double SURE = 0.95;
    /** Requests by which whole permits may exceed the accrued sum, by rounding. */
    private static final double ROUNDED_UP = 1.5;
    /** Most that one request may borrow, in windows of permits. */
    private static final double WINDOWS_LENT = 2;

    Permits permits(String id, double launched, double since) {
        return new Permits(launched, Math.max(launched, since), (place + State.hash(id, "" + launched)) % 1);
    }

    boolean warm(Permits p, double now) {
        return p.launchedAt <= 0 || age(p, now) >= 1;
    }

    /**
     * Whether the available permits cover enough of the weight. {@code share}: the part of {@code demand}
     * that one warm server gets. What a heavy request lacks is taken from the permits that accrue later.
     */
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

    /**
     * Whether the permits that may be unused at time {@code by}, or at the end of slow start if that is
     * earlier, cover enough of the weight.
     */
    boolean reaches(Permits p, Rate demand, double part, double weight, double by, double now) {
        double then = Math.max(now, Math.min(by, p.launchedAt + rules.warmWithinS()));
        return mostWaiting(window(present(p, then), demand, part, now)) >= weight * LEAST_OF_WEIGHT;
    }

    /** Whether the permits of the whole slow start, at the present rate, cover enough of the weight. */
    boolean everReach(Permits p, Rate demand, double part, double weight, double now) {
        double perS = window(present(p, now), demand, part, now) / windowS();
        return perS * rules.warmWithinS() >= weight * LEAST_OF_WEIGHT;
    }

    /**
     * Charges a request that is sent without enough permits. The debt is at most the permits of two windows,
     * so that other requests are not blocked for long. Where a window brings less than one permit, it is at
     * most those of one window: such a process has few turns, and a debt bars it from them.
     */
    void borrow(Permits p, Rate demand, double part, double weight, double now) {
        double window = window(present(p, now), demand, part, now);
        double most = Math.max(p.used, p.due + (window < 1 ? window : WINDOWS_LENT * window));
        p.used = Math.min(p.used + weight, most);
    }

    /** Whether this process owes permits for at least one request of mean weight. */
    boolean lent(Permits p, Rate demand, double part, double now) {
        return p.used - due(p, window(present(p, now), demand, part, now), now) >= 1;
    }

    /**
     * What fits into a window beside the permits of all processes, in requests of mean weight.
     *
     * @param demandPerS lower bound of the whole fleet's demand for one warm server, in requests per second
     */
    double beyond(Permits p, double perS, double now) {
        double budget = rules.fallMultiple() * present(p, now) * perS * windowS();
        boolean few = budget < FEW;
        double slack = few ? 3 * Math.sqrt(budget) + 3 : 2 * Math.sqrt(budget) + 2;
        double rest = budget * (few ? REST_OF_FEW : REST_OF_MANY);
        return SURE * (rest + slack) - ROUNDED_UP;
    }

    /** Permits that this process accrues in a window, in requests of mean weight. */
    private double window(double present, Rate demand, double part, double now) {
        return SHARE * rules.fallMultiple() * present * part * demand.perS(now) * windowS();
    }

    /** Permits accrued until {@code now}, given those that accrue in a window. */
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

    /** The lower bound of the share of its warm capacity that the server has, by the slow-start rule. */
    private double present(Permits p, double now) {
        double age = age(p, now);
        return 1 - (1 - rules.coldFrom()) * (1 - age * age);
    }
}

package copperbeam;

import copperbeam.Api.Rules;
import copperbeam.State.Permits;
import copperbeam.State.RateEstimate;

/**
 * This process's share of what a cold server may be sent in any window of the slow-start rule, in requests
 * of mean weight. Permits accrue continuously and are spent in whole numbers. {@code phase} (0 to 1,
 * different for each node) offsets the accrual, so that the nodes' permits don't all become whole at once.
 * A process that starts later accrues only from its own start.
 */
record ColdBudget(Rules rules, double phase) {
    /**
     * Cap on unused permits, as a share of a window's permits. One permit, or all of a window if these are
     * fewer, may be kept in any case.
     */
    private static final double MAX_UNUSED_SHARE = 0.5;
    /** Share of the budget that is given out as permits, as unused ones can add to those of a window. */
    private static final double PERMIT_SHARE = 1 / (1 + MAX_UNUSED_SHARE);
    /** Share of a request's weight that the available permits must cover. */
    private static final double MIN_PAID_SHARE = 0.5;
    /** Lower bound of the durations of the rule, which are 0 where the settings give none. */
    private static final double MIN_DURATION_S = 0.1;
    /** Requests per window: below this budget, the rule allows a larger excess by chance, the slack. */
    private static final double SMALL_BUDGET_REQUESTS = 30;
    /** Share of a small budget that is left for turns. */
    private static final double SMALL_BUDGET_TURN_SHARE = 1 - PERMIT_SHARE;
    /** The same for a large budget; above 1, as the budget is computed from an underestimated demand. */
    private static final double LARGE_BUDGET_TURN_SHARE = 1.2;
    /** Share of the room beside permits that turns may use, as weights are estimates. */
    private static final double USABLE_ROOM_SHARE = 0.95;
    /** Requests by which whole permits may exceed the accrued sum, by rounding. */
    private static final double ROUNDING_REQUESTS = 1.5;
    /** Most that one request may borrow, in windows of permits. */
    private static final double MAX_LOAN_WINDOWS = 2;

    Permits newPermits(String id, double start, double since) {
        return new Permits(start, Math.max(start, since), (phase + State.hashToUnit(id, "" + start)) % 1);
    }

    boolean isWarm(Permits permits, double now) {
        return permits.launchedAt <= 0 || warmUpShare(permits, now) >= 1;
    }

    /**
     * Whether the available permits cover enough of the weight. {@code share}: the part of {@code demand}
     * that one warm server gets. What a heavy request lacks is taken from the permits that accrue later.
     */
    boolean hasPermits(Permits permits, RateEstimate demand, double share, double weight, double now) {
        if (isWarm(permits, now)) {
            return true;
        }
        double perWindow = perWindow(capacityShare(permits, now), demand, share, now);
        permits.accrued = accrued(permits, perWindow, now);
        permits.updatedAt = now;
        permits.used = Math.max(permits.used, Math.floor(permits.accrued - maxUnused(perWindow)));
        return Math.floor(permits.accrued) - permits.used >= weight * MIN_PAID_SHARE;
    }

    /**
     * Whether the permits that may be unused at time {@code by}, or at the end of slow start if that is
     * earlier, cover enough of the weight.
     */
    boolean canAfford(Permits p, RateEstimate demand, double share, double weight, double by, double now) {
        double time = Math.max(now, Math.min(by, p.launchedAt + rules.warmUpS()));
        return maxUnused(perWindow(capacityShare(p, time), demand, share, now)) >= weight * MIN_PAID_SHARE;
    }

    /** Whether the permits of the whole slow start, at the present rate, cover enough of the weight. */
    boolean canEverAfford(Permits permits, RateEstimate demand, double share, double weight, double now) {
        double permitsPerS = perWindow(capacityShare(permits, now), demand, share, now) / windowS();
        return permitsPerS * rules.warmUpS() >= weight * MIN_PAID_SHARE;
    }

    /**
     * Charges a request that is sent without enough permits. The debt is at most the permits of two windows,
     * so that other requests are not blocked for long. Where a window brings less than one permit, it is at
     * most those of one window: such a process has few turns, and a debt bars it from them.
     */
    void borrow(Permits p, RateEstimate demand, double share, double weight, double now) {
        double perWindow = perWindow(capacityShare(p, now), demand, share, now);
        double cap = Math.max(p.used, p.accrued + (perWindow < 1 ? perWindow : MAX_LOAN_WINDOWS * perWindow));
        p.used = Math.min(p.used + weight, cap);
    }

    /** Whether this process owes permits for at least one request of mean weight. */
    boolean isInDebt(Permits p, RateEstimate demand, double share, double now) {
        return p.used - accrued(p, perWindow(capacityShare(p, now), demand, share, now), now) >= 1;
    }

    /**
     * What fits into a window beside the permits of all processes, in requests of mean weight.
     *
     * @param demandPerS lower bound of the whole fleet's demand for one warm server, in requests per second
     */
    double roomBesidePermits(Permits permits, double demandPerS, double now) {
        double budget = rules.overloadMultiple() * capacityShare(permits, now) * demandPerS * windowS();
        boolean smallBudget = budget < SMALL_BUDGET_REQUESTS;
        double slack = smallBudget ? 3 * Math.sqrt(budget) + 3 : 2 * Math.sqrt(budget) + 2;
        double turnBudget = budget * (smallBudget ? SMALL_BUDGET_TURN_SHARE : LARGE_BUDGET_TURN_SHARE);
        return USABLE_ROOM_SHARE * (turnBudget + slack) - ROUNDING_REQUESTS;
    }

    /** Permits that this process accrues in a window, in requests of mean weight. */
    private double perWindow(double capacity, RateEstimate demand, double share, double now) {
        return PERMIT_SHARE * rules.overloadMultiple() * capacity * share * demand.ratePerS(now) * windowS();
    }

    /** Permits accrued until {@code now}, given those that accrue in a window. */
    private double accrued(Permits permits, double perWindow, double now) {
        return permits.accrued + perWindow / windowS() * (now - permits.updatedAt);
    }

    private static double maxUnused(double perWindow) {
        return Math.max(MAX_UNUSED_SHARE * perWindow, Math.min(1, perWindow));
    }

    private double windowS() {
        return Math.max(rules.overloadWindowS(), MIN_DURATION_S);
    }

    private double warmUpShare(Permits permits, double now) {
        return (now - permits.launchedAt) / Math.max(rules.warmUpS(), MIN_DURATION_S);
    }

    /** The lower bound of the share of its warm capacity that the server has, by the slow-start rule. */
    private double capacityShare(Permits permits, double now) {
        double warmUpShare = warmUpShare(permits, now);
        return 1 - (1 - rules.coldCapacityShare()) * (1 - warmUpShare * warmUpShare);
    }
}

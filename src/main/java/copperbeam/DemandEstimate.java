package copperbeam;

import copperbeam.State.DecayingCount;
import copperbeam.State.RateEstimate;

/**
 * This process's demand in requests a second, from which its share of a cold server's budget is computed. It stands for
 * what warm servers are known to take. Many requests within a few seconds don't show that they could take as many, so
 * the estimate rises no faster than a {@link SlewLimiter}, once it is known from enough requests.
 */
final class DemandEstimate implements RateEstimate {
    /** Time constant of the average, in seconds. */
    private static final double AVERAGING_TIME_CONSTANT_S = 20;

    /** Number of requests from which the estimate is limited: fewer say little of the usual demand. */
    private static final int SETTLED_REQUESTS = 200;

    /** A demand below it may grow as fast as this one. */
    private static final double SMALLEST_PER_S = 0.5;

    private final DecayingCount admitted = new DecayingCount(AVERAGING_TIME_CONSTANT_S);
    private final SlewLimiter limiter = new SlewLimiter(SMALLEST_PER_S);
    private int requestCount;

    /** Starts the measurement: the time of the first request is random and would bias the rate. */
    void start(double now) {
        admitted.since = now;
    }

    /** The start of the measurement, in seconds. */
    double startedAt() {
        return admitted.since;
    }

    /** Counts a request. Each counts as 1, the mean weight of all. */
    void add(double now) {
        admitted.add(now, 1);
        requestCount++;
        if (requestCount < SETTLED_REQUESTS) {
            limiter.reset(now, admitted.ratePerS(now));
        } else {
            admitted.capRate(now, limiter.follow(now, admitted.ratePerS(now)));
        }
    }

    @Override
    public double ratePerS(double now) {
        double average = admitted.ratePerS(now);
        return requestCount < SETTLED_REQUESTS ? average : Math.min(average, limiter.value());
    }
}

package copperbeam;

import copperbeam.State.Ewma;

/**
 * A moving average of what clients say of their requests. It is the plain mean of the first samples; from then on it
 * changes no faster than a {@link SlewLimiter}, so that neither one false value nor many of them within a few seconds
 * carry it away from what other clients' requests are like.
 */
final class SlewLimitedMean {
    private final Ewma average;
    private final SlewLimiter limiter;

    /**
     * {@code minWeight}: weight of a new sample, once as many are in as it averages over. {@code smallest}: the
     * smallest usual sample, positive.
     */
    SlewLimitedMean(double minWeight, double smallest) {
        average = new Ewma(minWeight);
        limiter = new SlewLimiter(smallest);
    }

    /** Adds a sample at this time, in seconds. */
    void add(double now, double sample) {
        average.add(sample);
        if (average.isSettled()) {
            average.value = limiter.follow(now, average.value);
        } else {
            limiter.reset(now, average.value);
        }
    }

    /** The mean; 0 before the first sample. */
    double value() {
        return limiter.value();
    }

    /** The number of samples so far. */
    int count() {
        return average.count;
    }
}

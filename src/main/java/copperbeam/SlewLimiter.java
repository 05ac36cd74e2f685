package copperbeam;

/**
 * Follows a positive quantity, but changes by no more than a factor of e in {@link #TIME_CONSTANT_S} (a slew rate
 * limiter on a logarithmic scale). It bounds how far the requests of a short time, however many and whatever they say,
 * can move an estimate that decisions on all other requests depend on.
 */
final class SlewLimiter {
    /** Seconds in which the value may change by a factor of e; longer than a server's slow start usually takes. */
    static final double TIME_CONSTANT_S = 30;

    /** How far what is followed may be from the value that follows: it could else draw it on for long. */
    private static final double MAX_LEAD_FACTOR = 2;

    private final double smallest;
    private double value;
    private double updatedAt;

    /** {@code smallest}: from a value below it, the limiter may rise as from this one; positive. */
    SlewLimiter(double smallest) {
        this.smallest = smallest;
    }

    /** Takes the target at once. */
    void reset(double now, double target) {
        value = target;
        updatedAt = now;
    }

    /**
     * Moves towards the target as far as the time since the last move allows.
     *
     * @return the target, or the farthest that it may lie from the new value
     */
    double follow(double now, double target) {
        double maxFactor = Math.exp(Math.max(0, now - updatedAt) / TIME_CONSTANT_S);
        reset(now, clamp(target, value / maxFactor, Math.max(value, smallest) * maxFactor));
        return clamp(target, value / MAX_LEAD_FACTOR, Math.max(value, smallest) * MAX_LEAD_FACTOR);
    }

    double value() {
        return value;
    }

    private static double clamp(double target, double lowest, double highest) {
        return Math.max(lowest, Math.min(target, highest));
    }
}

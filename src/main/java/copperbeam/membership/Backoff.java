package copperbeam.membership;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * How long to wait before a failed call is made again: doubled with each further failure in a row, and scattered
 * over its last quarter, as its longest is bounded by a clock and an overrun service needs all of that. Guards against
 * a fleet that keeps a service of fixed capacity overrun by asking it again: none of its members is then ever served,
 * and each knows only of its own few calls.
 */
public final class Backoff {
    private final Duration first;
    private final Duration longest;
    private final RandomGenerator random;

    /** {@code first}: at most so long after one failure; {@code longest}: never longer. */
    public Backoff(Duration first, Duration longest, RandomGenerator random) {
        this.first = first;
        this.longest = longest;
        this.random = random;
    }

    /** The same, and never longer than {@code bound}. */
    Backoff atMost(Duration bound) {
        return new Backoff(shorter(first, bound), shorter(longest, bound), random);
    }

    /** {@code failures}: in a row so far, 1 or more. */
    Duration after(int failures) {
        Duration most = first;
        for (int i = 1; i < failures && most.compareTo(longest) < 0; i++) {
            most = most.multipliedBy(2);
        }
        most = shorter(most, longest);
        return most.minusNanos((long) (random.nextDouble() * most.toNanos() / 4));
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }
}

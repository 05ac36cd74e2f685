package copperbeam.membership;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * How long to wait before a failed call is made again: doubled with each further failure in a row, and scattered
 * over its second half. Guards against a fleet that keeps a service of fixed capacity overrun by asking it again:
 * none of its members is then ever served, and each knows only of its own few calls.
 */
public final class Pauses {
    private final Duration first;
    private final Duration longest;
    private final RandomGenerator random;

    /** {@code first}: at most so long after one failure; {@code longest}: never longer. */
    public Pauses(Duration first, Duration longest, RandomGenerator random) {
        this.first = first;
        this.longest = longest;
        this.random = random;
    }

    /** {@code failures}: in a row so far, 1 or more. */
    Duration after(int failures) {
        Duration most = first;
        for (int i = 1; i < failures && most.compareTo(longest) < 0; i++) {
            most = most.multipliedBy(2);
        }
        most = most.compareTo(longest) < 0 ? most : longest;
        return most.minusNanos((long) (random.nextDouble() * most.toNanos() / 2));
    }
}

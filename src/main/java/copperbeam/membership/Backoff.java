package copperbeam.membership;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter: the delay before a failed call is retried doubles with each consecutive failure, and
 * is then shortened at random by up to a quarter. The jitter is that small because the longest delay is limited by a
 * deadline, and an overloaded service needs nearly all of it.
 *
 * <p>Guards against many clients whose retries keep a service of fixed capacity overloaded: no client would then ever be
 * served, and each of them sees only its own few calls.
 */
public final class Backoff {
    private final Duration first;
    private final Duration longest;
    private final RandomGenerator random;

    /**
     * @param initialDelay upper bound of the delay after the first failure
     * @param maxDelay upper bound of every delay
     */
    public Backoff(Duration first, Duration longest, RandomGenerator random) {
        this.first = first;
        this.longest = longest;
        this.random = random;
    }

    /** Returns the same backoff with no delay longer than {@code cap}. */
    Backoff atMost(Duration bound) {
        return new Backoff(shorter(first, bound), shorter(longest, bound), random);
    }

    /** Returns the delay before the next attempt after so many consecutive {@code failures} (1 or more). */
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

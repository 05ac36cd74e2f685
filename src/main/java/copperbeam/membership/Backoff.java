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
    private final Duration initialDelay;
    private final Duration maxDelay;
    private final RandomGenerator random;

    /**
     * @param initialDelay upper bound of the delay after the first failure
     * @param maxDelay upper bound of every delay
     */
    public Backoff(Duration initialDelay, Duration maxDelay, RandomGenerator random) {
        this.initialDelay = initialDelay;
        this.maxDelay = maxDelay;
        this.random = random;
    }

    /** Returns the same backoff with no delay longer than {@code cap}. */
    Backoff cappedAt(Duration cap) {
        return new Backoff(min(initialDelay, cap), min(maxDelay, cap), random);
    }

    /** Returns the delay before the next attempt after so many consecutive {@code failures} (1 or more). */
    Duration delayAfter(int failures) {
        Duration delay = initialDelay;
        for (int i = 1; i < failures && delay.compareTo(maxDelay) < 0; i++) {
            delay = delay.multipliedBy(2);
        }
        delay = min(delay, maxDelay);
        return delay.minusNanos((long) (random.nextDouble() * delay.toNanos() / 4));
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }
}

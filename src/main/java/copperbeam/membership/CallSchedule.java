package copperbeam.membership;

import java.time.Duration;
import java.time.Instant;

/**
 * When the next call of one kind is due: one interval after the last call began, whatever became of it, or sooner after a
 * failure. The delay after consecutive failures grows with {@link Backoff}.
 */
final class CallSchedule {
    /** Shortest time from the beginning of a call to that of one that is hastened. */
    private static final Duration MIN_INTERVAL = Duration.ofMillis(500);
    /** A call that lasted this long before it failed was no consecutive failure. */
    private static final Duration STABLE_AFTER = Duration.ofSeconds(1);

    private final Duration interval;
    private final Backoff backoff;
    private Instant lastStartedAt = Instant.MIN;
    private Instant dueAt = Instant.MIN;
    private Instant lastAnsweredAt = Instant.MIN;
    private Instant lastFailedAt = Instant.MIN;
    private int failures;

    CallSchedule(Duration interval, Backoff backoff) {
        this.interval = interval;
        this.backoff = backoff;
    }

    boolean isDue(Instant now) {
        return !now.isBefore(dueAt);
    }

    /**
     * A call begins. The next one is kept apart from that of the other kind, so that calls of both kinds alternate; while those of
     * the other kind fail or aren't answered, it takes their turns too, and also {@code isLate}, while an earlier call of this kind
     * has yet to be answered.
     */
    void started(Instant now, CallSchedule other, boolean isLate) {
        lastStartedAt = now;
        dueAt = now.plus(interval);
        Duration half = interval.dividedBy(2);
        Duration quarter = interval.dividedBy(4);
        boolean coincides = dueAt.minus(quarter).isBefore(other.dueAt) && other.dueAt.isBefore(dueAt.plus(quarter));
        if (coincides || isLate || other.isInTrouble(now)) {
            dueAt = dueAt.minus(half);
        }
    }

    private boolean isInTrouble(Instant now) {
        return failures > 0 || lastAnsweredAt.isBefore(now.minus(interval.multipliedBy(2)));
    }

    /** An answer has begun, which may still break. */
    void answered(Instant now) {
        lastAnsweredAt = now;
    }

    /** A call has been answered completely. */
    void succeeded(Instant now) {
        answered(now);
        failures = 0;
    }

    /** A call that began at {@code startedAt} and was answered goes on. */
    void stillOpen(Instant startedAt, Instant now) {
        if (startedAt.isAfter(lastFailedAt) && !now.isBefore(startedAt.plus(STABLE_AFTER))) {
            failures = 0;
        }
    }

    /** The newest call, which began at {@code startedAt}, has failed. */
    void failed(Instant startedAt, Instant now) {
        lastFailedAt = now;
        failures = now.isBefore(startedAt.plus(STABLE_AFTER)) ? failures + 1 : 1;
        dueAt = earlier(dueAt, now.plus(backoff.delayAfter(failures)));
    }

    /** Makes the next call due now, unless the last one has just begun or calls are failing. */
    void hasten(Instant now) {
        Instant earliest = lastStartedAt.equals(Instant.MIN) ? now : lastStartedAt.plus(MIN_INTERVAL);
        if (failures == 0) {
            dueAt = earlier(dueAt, earliest.isBefore(now) ? now : earliest);
        }
    }

    private static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }
}

package copperbeam.routing;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/** Converts between the decision module's times in seconds, as doubles, and durations and instants. */
public final class ModuleTime {
    private static final double NANOS_PER_S = 1e9;

    private ModuleTime() {}

    public static double seconds(Duration duration) {
        return duration.getSeconds() + duration.getNano() / NANOS_PER_S;
    }

    public static double seconds(Instant instant) {
        return instant.getEpochSecond() + instant.getNano() / NANOS_PER_S;
    }

    public static Duration duration(double seconds) {
        return Duration.ofNanos(Math.round(seconds * NANOS_PER_S));
    }

    public static Instant instant(double seconds) {
        return Instant.EPOCH.plus(duration(seconds));
    }

    /** Returns a wall clock that never goes back: the system time of this call plus the monotonic time elapsed since. */
    public static Clock steadyClock() {
        return new Clock() {
            private final Instant start = Instant.now();
            private final long startNanos = System.nanoTime();

            @Override
            public Instant instant() {
                return start.plusNanos(System.nanoTime() - startNanos);
            }

            @Override
            public java.time.ZoneId getZone() {
                return java.time.ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(java.time.ZoneId zone) {
                return Clock.system(zone);
            }
        };
    }
}

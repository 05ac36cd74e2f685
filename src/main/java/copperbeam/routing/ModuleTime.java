package copperbeam.routing;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/** Converts between the decision module's times in seconds, as doubles, and durations and instants. */
public final class ModuleTime {
    private static final double NANOS = 1e9;

    private ModuleTime() {}

    public static double seconds(Duration span) {
        return span.getSeconds() + span.getNano() / NANOS;
    }

    public static double seconds(Instant time) {
        return time.getEpochSecond() + time.getNano() / NANOS;
    }

    public static Duration span(double seconds) {
        return Duration.ofNanos(Math.round(seconds * NANOS));
    }

    public static Instant time(double seconds) {
        return Instant.EPOCH.plus(span(seconds));
    }

    /** Returns a wall clock that never goes back: the system time of this call plus the monotonic time elapsed since. */
    public static Clock steadyClock() {
        return new Clock() {
            private final Instant start = Instant.now();
            private final long from = System.nanoTime();

            @Override
            public Instant instant() {
                return start.plusNanos(System.nanoTime() - from);
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

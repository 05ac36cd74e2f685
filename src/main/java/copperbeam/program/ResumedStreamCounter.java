package copperbeam.program;

import copperbeam.routing.Intake;
import copperbeam.routing.RequestSpec;
import copperbeam.routing.ResponseSink;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ConcurrentLinkedDeque;

/**
 * Counts recent requests that resume a stream. Several within seconds show that another conductor has cut its streams and
 * is not back yet. Conductors share no state, so this is their only information about each other.
 */
final class ResumedStreamCounter implements Intake {
    private static final Duration WINDOW = Duration.ofSeconds(5); // about as long as a conductor's restart takes
    private static final int MAX_COUNTED = 16;

    private final Intake next;
    private final Clock clock;
    private final ConcurrentLinkedDeque<Instant> arrivals = new ConcurrentLinkedDeque<>();

    ResumedStreamCounter(Intake next, Clock clock) {
        this.next = next;
        this.clock = clock;
    }

    @Override
    public void submit(RequestSpec spec, ResponseSink response) {
        if (spec.resumed()) {
            arrivals.addLast(clock.instant());
            if (arrivals.size() > MAX_COUNTED) {
                arrivals.pollFirst();
            }
        }
        next.submit(spec, response);
    }

    @Override
    public void clientGone(ResponseSink response) {
        next.clientGone(response);
    }

    /** Number of streams resumed within the last {@link #WINDOW}; at most {@link #MAX_COUNTED}. */
    long recentCount() {
        Instant windowStart = clock.instant().minus(WINDOW);
        return arrivals.stream().filter(arrival -> arrival.isAfter(windowStart)).count();
    }
}

package copperbeam.program;

import copperbeam.routing.Answer;
import copperbeam.routing.Ask;
import copperbeam.routing.Intake;
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
    private static final int MOST_COUNTED = 16;

    private final Intake next;
    private final Clock clock;
    private final ConcurrentLinkedDeque<Instant> arrivals = new ConcurrentLinkedDeque<>();

    ResumedStreamCounter(Intake next, Clock clock) {
        this.next = next;
        this.clock = clock;
    }

    @Override
    public void arrive(Ask ask, Answer answer) {
        if (ask.resumed()) {
            arrivals.addLast(clock.instant());
            if (arrivals.size() > MOST_COUNTED) {
                arrivals.pollFirst();
            }
        }
        next.arrive(ask, answer);
    }

    @Override
    public void left(Answer answer) {
        next.left(answer);
    }

    /** Number of streams resumed within the last {@link #WINDOW}; at most {@link #MAX_COUNTED}. */
    long recent() {
        Instant from = clock.instant().minus(WINDOW);
        return arrivals.stream().filter(at -> at.isAfter(from)).count();
    }
}

package copperbeam.program;

import copperbeam.routing.Answer;
import copperbeam.routing.Ask;
import copperbeam.routing.Intake;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ConcurrentLinkedDeque;

/**
 * Counts the clients that ask here for the rest of a stream: where some come within seconds, another conductor has cut
 * theirs and is not back yet. Conductors share nothing, so that this is all that one learns of another.
 */
final class ResumedStreamCounter implements Intake {
    private static final Duration WINDOW = Duration.ofSeconds(5); // a restart's length
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

    /** {@link #MOST_COUNTED} at most. */
    long recent() {
        Instant from = clock.instant().minus(WINDOW);
        return arrivals.stream().filter(at -> at.isAfter(from)).count();
    }
}

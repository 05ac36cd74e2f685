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
final class Rests implements Intake {
    private static final Duration LATELY = Duration.ofSeconds(5); // a restart's length
    private static final int MOST = 16;

    private final Intake next;
    private final Clock clock;
    private final ConcurrentLinkedDeque<Instant> seen = new ConcurrentLinkedDeque<>();

    Rests(Intake next, Clock clock) {
        this.next = next;
        this.clock = clock;
    }

    @Override
    public void arrive(Ask ask, Answer answer) {
        if (ask.resumed()) {
            seen.addLast(clock.instant());
            if (seen.size() > MOST) {
                seen.pollFirst();
            }
        }
        next.arrive(ask, answer);
    }

    @Override
    public void left(Answer answer) {
        next.left(answer);
    }

    /** {@link #MOST} at most. */
    long lately() {
        Instant from = clock.instant().minus(LATELY);
        return seen.stream().filter(at -> at.isAfter(from)).count();
    }
}

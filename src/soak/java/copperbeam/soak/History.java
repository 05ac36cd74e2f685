package copperbeam.soak;

import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** All that was seen in one run; from any thread. */
final class History {
    private final Queue<Observation> observations = new ConcurrentLinkedQueue<>();

    void add(Observation seen) {
        observations.add(seen);
    }

    /** In the order of time. */
    List<Observation> inOrder() {
        return observations.stream()
                .sorted(Comparator.comparingLong(Observation::at))
                .toList();
    }
}

package copperbeam.soak;

import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** All observations of one run. Thread-safe. */
final class History {
    private final Queue<Observation> observations = new ConcurrentLinkedQueue<>();

    void add(Observation observation) {
        observations.add(observation);
    }

    /** The observations in the order of their times. */
    List<Observation> inOrder() {
        return observations.stream()
                .sorted(Comparator.comparingLong(Observation::at))
                .toList();
    }
}

package copperbeam;

import copperbeam.Api.Kind;
import copperbeam.State.Mean;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the weight of a request of each class from the prompt lengths that this process has seen. A request of
 * mean length weighs 1.
 *
 * <p>A process that has seen few requests can't tell a heavy class from a usual one. Until it has seen more, the mean
 * is pulled towards the lightest class seen, or towards a small fraction of a server's memory where that is less.
 */
final class WorkWeights {
    /** Weight of a new sample in the moving average of its class. */
    private static final double CLASS_LEARN = 0.02;

    /** Weight of a new sample in the moving average over all classes; lower, as heavy requests are rare. */
    private static final double MEAN_LEARN = 0.005;

    /** Weight of the prior mean, as a number of requests. */
    private static final double PRIOR_REQUESTS = 12;

    /** Relative error of a weight that is known from one request. */
    private static final double SPREAD = 1.5;

    /** Lower bound of the number of usual prompts that fit into a server's memory. */
    private static final double PROMPTS_HELD = 64;

    private final Mean prompts = new Mean(MEAN_LEARN); // over all classes
    private final Map<String, Mean> classes = new HashMap<>();
    private final double usualMost;
    private double least = Double.POSITIVE_INFINITY;

    WorkWeights(List<Kind> kinds) {
        usualMost = kinds.stream()
                .mapToDouble(Kind::memoryTokens)
                .filter(tokens -> tokens > 0)
                .map(tokens -> tokens / PROMPTS_HELD)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    void arrived(String requestClass, double promptTokens) {
        prompts.add(promptTokens);
        classes.computeIfAbsent(requestClass, c -> new Mean(CLASS_LEARN)).add(promptTokens);
        least = classes.values().stream().mapToDouble(m -> m.value).min().orElseThrow();
    }

    /** Upper bound of the true weight of a class whose estimate is {@code weight}; it tightens with more requests. */
    double most(double weight) {
        return weight * (1 + SPREAD / Math.sqrt(prompts.count));
    }

    /** Estimated weight of a request of this class, which must have been seen before. */
    double of(String requestClass) {
        double floor = Math.min(least, usualMost);
        double known = prompts.count / (prompts.count + PRIOR_REQUESTS);
        double mean = floor + (prompts.value - floor) * known;
        return classes.get(requestClass).value / Math.max(mean, 1);
    }
}

package copperbeam;

import copperbeam.Api.ServerKind;
import copperbeam.State.Ewma;
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
    private static final double CLASS_EWMA_WEIGHT = 0.02;

    /** Weight of a new sample in the moving average over all classes; lower, as heavy requests are rare. */
    private static final double OVERALL_EWMA_WEIGHT = 0.005;

    /** Weight of the prior mean, as a number of requests. */
    private static final double PRIOR_REQUESTS = 12;

    /** Relative error of a weight that is known from one request. */
    private static final double SINGLE_SAMPLE_ERROR_SHARE = 1.5;

    /** Lower bound of the number of usual prompts that fit into a server's memory. */
    private static final double MIN_PROMPTS_IN_MEMORY = 64;

    private final Ewma meanPromptTokens = new Ewma(OVERALL_EWMA_WEIGHT); // over all classes
    private final Map<String, Ewma> meanTokensByClass = new HashMap<>();
    private final double maxUsualPromptTokens;
    private double minClassTokens = Double.POSITIVE_INFINITY;

    WorkWeights(List<ServerKind> kinds) {
        maxUsualPromptTokens = kinds.stream()
                .mapToDouble(ServerKind::memoryTokens)
                .filter(tokens -> tokens > 0)
                .map(tokens -> tokens / MIN_PROMPTS_IN_MEMORY)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    void recordArrival(String requestClass, double promptTokens) {
        meanPromptTokens.add(promptTokens);
        meanTokensByClass
                .computeIfAbsent(requestClass, c -> new Ewma(CLASS_EWMA_WEIGHT))
                .add(promptTokens);
        minClassTokens = meanTokensByClass.values().stream()
                .mapToDouble(m -> m.value)
                .min()
                .orElseThrow();
    }

    /** Upper bound of the true weight of a class whose estimate is {@code weight}; it tightens with more requests. */
    double upperBound(double weight) {
        return weight * (1 + SINGLE_SAMPLE_ERROR_SHARE / Math.sqrt(meanPromptTokens.count));
    }

    /** Estimated weight of a request of this class, which must have been seen before. */
    double weightOf(String requestClass) {
        double priorTokens = Math.min(minClassTokens, maxUsualPromptTokens);
        double confidence = meanPromptTokens.count / (meanPromptTokens.count + PRIOR_REQUESTS);
        double meanTokens = priorTokens + (meanPromptTokens.value - priorTokens) * confidence;
        return meanTokensByClass.get(requestClass).value / Math.max(meanTokens, 1);
    }
}

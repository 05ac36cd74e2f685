package copperbeam;

import copperbeam.Api.ServerKind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates the weight of a request of each class from the prompt lengths that clients have told this process. A
 * request of mean length weighs 1. As the lengths may be false, weights change slowly and have a lower bound.
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

    private static final double SMALLEST_PROMPT_TOKENS = 1;

    /**
     * Lower bound of a weight. Permits are two thirds of a server's budget, so that those of a window pay for no more
     * requests than the budget has, whatever lengths clients tell.
     */
    private static final double MIN_WEIGHT = 2 / 3.0;

    private final SlewLimitedMean meanPromptTokens =
            new SlewLimitedMean(OVERALL_EWMA_WEIGHT, SMALLEST_PROMPT_TOKENS); // over all classes
    private final Map<String, SlewLimitedMean> meanTokensByClass = new HashMap<>();
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

    /** Records the length that a client has told of a request, at this time in seconds. */
    void recordArrival(String requestClass, double promptTokens, double now) {
        meanPromptTokens.add(now, promptTokens);
        meanTokensByClass
                .computeIfAbsent(requestClass, c -> new SlewLimitedMean(CLASS_EWMA_WEIGHT, SMALLEST_PROMPT_TOKENS))
                .add(now, promptTokens);
        minClassTokens = meanTokensByClass.values().stream()
                .mapToDouble(SlewLimitedMean::value)
                .min()
                .orElseThrow();
    }

    /** Upper bound of the true weight of a class whose estimate is {@code weight}; it tightens with more requests. */
    double upperBound(double weight) {
        return weight * (1 + SINGLE_SAMPLE_ERROR_SHARE / Math.sqrt(meanPromptTokens.count()));
    }

    /** Estimated weight of a request of this class, which must have been seen before. */
    double weightOf(String requestClass) {
        double priorTokens = Math.min(minClassTokens, maxUsualPromptTokens);
        double confidence = meanPromptTokens.count() / (meanPromptTokens.count() + PRIOR_REQUESTS);
        double meanTokens = priorTokens + (meanPromptTokens.value() - priorTokens) * confidence;
        return Math.max(meanTokensByClass.get(requestClass).value() / Math.max(meanTokens, 1), MIN_WEIGHT);
    }
}

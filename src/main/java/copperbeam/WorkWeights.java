package copperbeam;

import copperbeam.Api.Kind;
import copperbeam.State.Mean;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a request of each class weighs, in requests of mean work, by the prompts that this process has met.
 *
 * <p>A process that has met few requests can't tell a heavy class from a usual one. Until it has met more, the
 * mean is drawn towards the lightest class met, or a small part of what a server holds where that is less.
 */
final class WorkWeights {
    private static final double CLASS_LEARN = 0.02; // weight of one new sample
    private static final double MEAN_LEARN = 0.005; // the same in the mean of all, of which heavy ones are few
    private static final double PRIOR_REQUESTS = 12; // of the least prompt, which stand beside those met
    private static final double SPREAD = 1.5; // of a weight known from one request, as part of it
    private static final double PROMPTS_HELD = 64; // usual prompts that a server's memory holds at least

    private final Mean prompts = new Mean(MEAN_LEARN); // of all classes
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

    /** What a class that seems to weigh so much weighs at most, by how few requests that is known from. */
    double most(double weight) {
        return weight * (1 + SPREAD / Math.sqrt(prompts.count));
    }

    /** Of a class that has been met. */
    double of(String requestClass) {
        double floor = Math.min(least, usualMost);
        double known = prompts.count / (prompts.count + PRIOR_REQUESTS);
        double mean = floor + (prompts.value - floor) * known;
        return classes.get(requestClass).value / Math.max(mean, 1);
    }
}

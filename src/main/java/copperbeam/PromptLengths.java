package copperbeam;

/** What prompts are usually like, by the lengths in tokens that clients tell. */
final class PromptLengths {
    /** Weight of a new sample; low, as the squares of rare long prompts vary widely. */
    private static final double EWMA_WEIGHT = 0.005;

    private static final double SMALLEST_TOKENS = 1;

    private final SlewLimitedMean tokens = new SlewLimitedMean(EWMA_WEIGHT, SMALLEST_TOKENS);
    private final SlewLimitedMean squaredTokens = new SlewLimitedMean(EWMA_WEIGHT, SMALLEST_TOKENS * SMALLEST_TOKENS);

    /** Records the length of a prompt, at this time in seconds. */
    void add(double now, double promptTokens) {
        tokens.add(now, promptTokens);
        squaredTokens.add(now, promptTokens * promptTokens);
    }

    /** The mean length; 0 before the first prompt. */
    double mean() {
        return tokens.value();
    }

    /** The mean length weighted by tokens, so that long prompts count for more. */
    double typical() {
        return squaredTokens.value() / Math.max(tokens.value(), 1);
    }
}

package copperbeam.soak;

/** The classes of the soak's settings. */
enum RequestKind {
    SAFE("ask"),
    UNSAFE("send"),
    KEYED("pay");

    /** Of a heavy request's prompt, where the run's costs are uneven. */
    static final int HEAVY_TOKENS = 400;

    static final int USUAL_TOKENS = 40;

    final String requestClass;

    RequestKind(String requestClass) {
        this.requestClass = requestClass;
    }

    /** The tokens of its prompts; {@code uneven}: one class weighs ten times the others. */
    int promptTokens(boolean uneven) {
        return uneven && this == UNSAFE ? HEAVY_TOKENS : USUAL_TOKENS;
    }
}

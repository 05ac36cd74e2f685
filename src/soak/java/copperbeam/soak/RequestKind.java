package copperbeam.soak;

/** How a request may be repeated, with the name of its class in the soak's settings. */
enum RequestKind {
    SAFE("ask"),
    UNSAFE("send"),
    KEYED("pay");

    /** Length of a heavy request's prompt in tokens, where the run's costs are uneven. */
    static final int HEAVY_TOKENS = 400;

    static final int USUAL_TOKENS = 40;

    final String requestClass;

    RequestKind(String requestClass) {
        this.requestClass = requestClass;
    }

    /** The length of its prompts in tokens; {@code uneven}: one class costs ten times as much as the others. */
    int promptTokens(boolean uneven) {
        return uneven && this == UNSAFE ? HEAVY_TOKENS : USUAL_TOKENS;
    }
}

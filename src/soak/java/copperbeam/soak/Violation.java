package copperbeam.soak;

/** A rule that was broken; {@code subject}: a request's id, or a conductor. */
record Violation(Rule rule, String subject, String detail) {
    /** The invariants that the {@link Oracle} holds. */
    enum Rule {
        /** A request that was read has no final answer, or one half a second after its deadline. */
        LOST,
        /** A 200 that is not what one instance made for the request. */
        WRONG_ANSWER,
        /** Two attempts of a request were out at once. */
        TWO_AT_ONCE,
        /** More attempts than the settings allow. */
        TOO_MANY_ATTEMPTS,
        /** What may have run was sent again though its class forbids it. */
        REPEATED_RUN,
        /** A refusal of what has run, or is running, though its class forbids a retry. */
        REFUSED_AFTER_RUN,
        /** An attempt began after the final answer. */
        SENT_AFTER_END,
        /** An attempt began over 0.1 s after its client had gone. */
        SENT_AFTER_CLIENT_LEFT,
        /** An attempt began at a server over 1 s after its drain was told. */
        SENT_TO_DRAINING,
        /** A read state was neither taken nor released in time. */
        PINNED,
        /** A server was told more time than the client had left. */
        DEADLINE_TOLD,
        /** All conductors together sent a server in slow start more than its budget. */
        SLOW_START_EXCEEDED,
        /** While all servers were in slow start, a class was served less than half as well as another. */
        CLASS_STARVED,
        /** A process ended by itself, or with an error. */
        CRASHED,
        /** A process did not end before the platform's kill. */
        OVERSTAYED,
        /** A process was not ready in time. */
        NOT_READY
    }
}

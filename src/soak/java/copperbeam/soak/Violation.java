package copperbeam.soak;

/** A broken rule. {@code subject}: the id of a request, or the name of a conductor, server or class of requests. */
record Violation(Rule rule, String subject, String detail) {
    /** The invariants that the {@link Oracle} and the {@link SlowStartJudge} check. */
    enum Rule {
        /** A request that the conductor had read got no final answer, or got it more than 0.5 s after its deadline. */
        LOST,
        /** A stream that isn't whole was left open for more than 5 s after the last byte that its client got. */
        LEFT_WAITING,
        /** A 200 whose body isn't what one server produced for the request. */
        WRONG_ANSWER,
        /** Two attempts of a request were in flight at once. */
        TWO_AT_ONCE,
        /** More attempts than the settings allow. */
        TOO_MANY_ATTEMPTS,
        /** A request that a writer may have run was sent again though its class forbids that. */
        REPEATED_RUN,
        /** A request that has run or is running was answered as refused, which invites a retry that its class forbids. */
        REFUSED_AFTER_RUN,
        /** An attempt began after the final answer. */
        SENT_AFTER_END,
        /** An attempt began more than 0.1 s after its client had closed the connection. */
        SENT_AFTER_CLIENT_LEFT,
        /** An attempt began at a server more than 1 s after its drain was announced. */
        SENT_TO_DRAINING,
        /** A read state was neither taken nor released in time. */
        PINNED,
        /** The remaining time announced to a server was longer than the client's. */
        DEADLINE_TOLD,
        /** All conductors together sent a server in slow start more than its budget allows. */
        SLOW_START_EXCEEDED,
        /** While all servers were in slow start, the served share of one class was less than half that of another. */
        CLASS_STARVED,
        /** A process exited unasked, or with an error code. */
        CRASHED,
        /** A process had not exited by the time the platform kills it after SIGTERM. */
        OVERSTAYED,
        /** A process was not ready within the time allowed after its start. */
        NOT_READY
    }
}

package copperbeam.routing;

import java.time.Duration;

/** Takes note of what happens to requests, on the actors' thread alone. Bounded work: it neither blocks nor throws. */
public interface Recorder {
    /** What is noted; which fields tell more stands with the recording's format. */
    enum What {
        ARRIVED,
        ATTEMPT,
        CONNECTION,
        WORD,
        FIRST,
        ENDED,
        CANCEL,
        REFUSED,
        FAILED,
        SERVED,
        BROKEN,
        LEFT,
        RELEASE,
        LISTED,
        PROBED,
        REMARK,
        RULE
    }

    Recorder NONE = (what, request, attempt, server, text, span) -> {};

    /**
     * @param request 0: none
     * @param server null: none, as {@code text} and {@code span}
     */
    void note(What what, long request, int attempt, String server, String text, Duration span);
}

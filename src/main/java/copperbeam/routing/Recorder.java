package copperbeam.routing;

import java.time.Duration;

/** Records what happens to requests. Called on the actors' thread only; must take bounded time and neither block nor throw. */
public interface Recorder {
    /** Type of a recorded event; the recording's format describes which fields each type uses. */
    enum EventType {
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

    Recorder NONE = (type, request, attempt, server, text, duration) -> {};

    /**
     * Records one event.
     *
     * @param request key of the request, 0 for none
     * @param server null for none, as are {@code text} and {@code duration}
     */
    void note(EventType type, long request, int attempt, String server, String text, Duration duration);
}

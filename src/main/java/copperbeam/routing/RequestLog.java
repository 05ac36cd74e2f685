package copperbeam.routing;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.logging.Logger;

/**
 * Rate-limited log lines about single requests, each with the request's id. Only the first lines of each second are written and
 * the others are counted, so that an outage of all servers doesn't flood the log. For any thread.
 */
public final class RequestLog {
    private static final Logger LOG = Logger.getLogger(RequestLog.class.getName());
    private static final Duration WINDOW = Duration.ofSeconds(1);
    private static final int MAX_LINES = 50; // per window

    private final Clock clock;
    private Instant windowEnd = Instant.MIN;
    private int lines;

    public RequestLog(Clock clock) {
        this.clock = clock;
    }

    /**
     * Writes a line about one request.
     *
     * @param requestId the request's id, or null if its client has sent none
     * @param text what happened to the request, and why
     */
    public synchronized void note(String requestId, String text) {
        Instant now = clock.instant();
        if (!now.isBefore(windowEnd)) {
            reportOmitted();
            windowEnd = now.plus(WINDOW);
            lines = 0;
        }
        lines++;
        if (lines <= MAX_LINES) {
            LOG.info("request " + requestId + ": " + text);
        }
    }

    private void reportOmitted() {
        if (lines > MAX_LINES) {
            LOG.info((lines - MAX_LINES) + " log lines about requests were omitted");
        }
    }
}

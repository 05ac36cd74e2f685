package copperbeam.routing;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.logging.Logger;

/**
 * Log lines about single requests, each with its id. Of so many that they would fill the log, as where every server is silent, the
 * first of each second are written and the others counted. One owner, as it counts without locks.
 */
final class RequestLog {
    private static final Logger LOG = Logger.getLogger(RequestLog.class.getName());
    private static final Duration WINDOW = Duration.ofSeconds(1);
    private static final int MOST_LINES = 50; // in each window

    private final Clock clock;
    private Instant windowEnd = Instant.MIN;
    private int lines;

    RequestLog(Clock clock) {
        this.clock = clock;
    }

    /** {@code text}: what happened to the request, and why. */
    void note(String id, String text) {
        Instant now = clock.instant();
        if (!now.isBefore(windowEnd)) {
            reportOmitted();
            windowEnd = now.plus(WINDOW);
            lines = 0;
        }
        lines++;
        if (lines <= MOST_LINES) {
            LOG.info("request " + id + ": " + text);
        }
    }

    private void reportOmitted() {
        if (lines > MOST_LINES) {
            LOG.info((lines - MOST_LINES) + " lines about requests were left out");
        }
    }
}

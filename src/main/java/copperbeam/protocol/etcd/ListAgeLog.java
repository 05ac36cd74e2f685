package copperbeam.protocol.etcd;

import copperbeam.membership.WatchPlan;
import java.time.Duration;
import java.time.Instant;
import java.util.logging.Logger;

/** Logs how old the server list is while its source can't be read, at growing intervals, and when it is current again. */
final class ListAgeLog {
    private static final Duration LONGEST_INTERVAL = Duration.ofMinutes(5);
    private static final Duration CURRENT_BELOW = WatchPlan.INFORMED_AFTER.dividedBy(2);

    private final Logger log;
    private final String source;
    private Instant startedAt;
    private Duration nextLoggedAge = WatchPlan.INFORMED_AFTER;
    private boolean isOldLogged;

    /** {@code source}: names the source in the log. */
    ListAgeLog(Logger log, String source) {
        this.log = log;
        this.source = source;
    }

    void started(Instant now) {
        startedAt = now;
    }

    /** {@code confirmedAt}: when the list was last known to be complete; null if there is no list yet. */
    void check(Instant confirmedAt, Instant now) {
        Duration age = Duration.between(confirmedAt == null ? startedAt : confirmedAt, now);
        if (age.compareTo(nextLoggedAge) >= 0) {
            log.warning(source
                    + (confirmedAt == null
                            ? ": no server list since the start " + age.toSeconds() + " s ago"
                            : ": the server list is " + age.toSeconds() + " s old and stays in use"));
            isOldLogged = true;
            Duration doubled = nextLoggedAge.multipliedBy(2);
            Duration increased = nextLoggedAge.plus(LONGEST_INTERVAL);
            nextLoggedAge = doubled.compareTo(increased) < 0 ? doubled : increased;
        } else if (isOldLogged && age.compareTo(CURRENT_BELOW) < 0) {
            log.info(source + ": the server list is current again");
            isOldLogged = false;
            nextLoggedAge = WatchPlan.INFORMED_AFTER;
        }
    }
}

package copperbeam.soak;

import java.util.Locale;
import java.util.Random;

/**
 * The conductors' settings in one run, and what the platform (time until the kill) and the oracle (tolerances) derive from them.
 * {@code releaseMs}: the time a conductor has to release a read state; {@code uneven}: one class of requests costs ten times as much
 * as the others.
 */
record SoakSettings(
        int conductors,
        long longestDeadlineMs,
        long releaseMs,
        boolean streamsResume,
        boolean cancel,
        boolean probes,
        boolean uneven) {
    private static final int MAX_ATTEMPTS = 4;
    private static final long KEYED_WINDOW_MS = 1500;
    // request deadlines longer than this don't delay the kill any further
    private static final long MAX_KILL_DEADLINE_MS = 3000;
    private static final long KILL_MARGIN_MS = 700; // from the longest deadline to the kill
    private static final long[] DEADLINES_MS = {3000, 1500, 900};
    private static final long[] RELEASE_TIMES_MS = {1000, 500, 300};
    private static final double WARM_WITHIN_S = 5;
    private static final double UNEVEN_WARM_WITHIN_S = 10; // long enough for a significant share of a rare class
    private static final Oracle.SlowStart SLOW_START = new Oracle.SlowStart(0.28, WARM_WITHIN_S, 3, 2);
    private static final String JSON_TEMPLATE = """
            {"balancers":%d,"kinds":["prefill","decode"],
             "services":[{"name":"ask","promise_s":0.8,"give_up_s":%s,"semantics":"safe","worth":3},
                         {"name":"send","promise_s":0.8,"give_up_s":%s,"semantics":"unsafe","worth":3},
                         {"name":"pay","promise_s":0.8,"give_up_s":%s,"semantics":"keyed","group":"all","window_s":%s,"worth":3}],
             "limits":{"send_cap":%d,"cancel":%s,"probing":%s,"retry_after":true,"max_retry_after_s":2,
                       "conn_idle_s":5,"connect_timeout_s":0.25},
             "rules":{"cold_from":%s,"warm_within_s":%s,"fall_multiple":%s,"fall_s":%s},
             "report":{"via":"on_probe"},"extra":{"role_by_kind":["read","write"],"release_s":%s,"resume":%s}}
            """;

    /** Deadlines of 3 s, 1 s to release a read state; cancellation and probes are on. */
    static SoakSettings defaults(int conductors, boolean streamsResume) {
        return new SoakSettings(conductors, DEADLINES_MS[0], RELEASE_TIMES_MS[0], streamsResume, true, true, false);
    }

    /** The default settings, except that one class costs ten times as much as the others and servers warm up for 10 s. */
    static SoakSettings uneven(int conductors, boolean streamsResume) {
        return new SoakSettings(conductors, DEADLINES_MS[0], RELEASE_TIMES_MS[0], streamsResume, true, true, true);
    }

    /**
     * Draws deadline, release time and probes. Half of the runs have the default deadline, half the default release time; the others
     * have shorter ones. A shorter deadline also brings the kill forward.
     */
    static SoakSettings draw(Random random, int conductors, boolean streamsResume) {
        return new SoakSettings(
                conductors,
                DEADLINES_MS[Math.max(0, random.nextInt(4) - 1)],
                drawReleaseMs(random),
                streamsResume,
                true,
                random.nextInt(4) > 0,
                false);
    }

    /** The default settings, except that the release time is drawn. */
    static SoakSettings drawReleaseTime(Random random, int conductors, boolean streamsResume) {
        return new SoakSettings(conductors, DEADLINES_MS[0], drawReleaseMs(random), streamsResume, true, true, false);
    }

    /** The default time in half of all cases. */
    private static long drawReleaseMs(Random random) {
        return RELEASE_TIMES_MS[Math.max(0, random.nextInt(4) - 1)];
    }

    /** The settings file as the platform writes it. */
    String toJson() {
        String deadline = seconds(longestDeadlineMs);
        return String.format(
                Locale.ROOT,
                JSON_TEMPLATE,
                conductors,
                deadline,
                deadline,
                deadline,
                seconds(KEYED_WINDOW_MS),
                MAX_ATTEMPTS,
                cancel,
                probes,
                slowStart().coldFrom(),
                slowStart().warmWithinS(),
                slowStart().fallMultiple(),
                slowStart().fallS(),
                seconds(releaseMs),
                streamsResume);
    }

    private static String seconds(long ms) {
        return Double.toString(ms / 1000.0);
    }

    /** The shortest time from SIGTERM to SIGKILL that the platform grants. */
    long killMs() {
        return Math.min(longestDeadlineMs, MAX_KILL_DEADLINE_MS) + KILL_MARGIN_MS;
    }

    /** The time after its start in which a server counts as cold. */
    long warmWithinMs() {
        return (long) (slowStart().warmWithinS() * 1000);
    }

    private Oracle.SlowStart slowStart() {
        return uneven
                ? new Oracle.SlowStart(
                        SLOW_START.coldFrom(), UNEVEN_WARM_WITHIN_S, SLOW_START.fallMultiple(), SLOW_START.fallS())
                : SLOW_START;
    }

    Oracle.Terms oracleTerms(long slackMs) {
        return new Oracle.Terms(
                MAX_ATTEMPTS, releaseMs, KEYED_WINDOW_MS, streamsResume, slackMs, uneven ? slowStart() : null);
    }
}

package copperbeam.soak;

import java.util.Locale;
import java.util.Random;

/** The settings of a run's site, and what follows from them for the platform and the oracle. */
record SoakSettings(
        int conductors, long longestDeadlineMs, long releaseMs, boolean resume, boolean cancel, boolean probes) {
    private static final int MOST_ATTEMPTS = 4;
    private static final long KEYED_WINDOW_MS = 1500;
    private static final long MOST_KILL_DEADLINE_MS = 3000; // a longer deadline counts as this for the kill
    private static final long KILL_MORE_MS = 700;
    private static final long[] DEADLINES_MS = {3000, 1500, 900};
    private static final long[] RELEASES_MS = {1000, 500, 300};
    private static final String TEXT = """
            {"balancers":%d,"kinds":["prefill","decode"],
             "services":[{"name":"ask","promise_s":0.8,"give_up_s":%s,"semantics":"safe","worth":3},
                         {"name":"send","promise_s":0.8,"give_up_s":%s,"semantics":"unsafe","worth":3},
                         {"name":"pay","promise_s":0.8,"give_up_s":%s,"semantics":"keyed","group":"all","window_s":%s,"worth":3}],
             "limits":{"send_cap":%d,"cancel":%s,"probing":%s,"retry_after":true,"max_retry_after_s":2,
                       "conn_idle_s":5,"connect_timeout_s":0.25},
             "rules":{"cold_from":0.28,"warm_within_s":5,"fall_multiple":3,"fall_s":2},
             "report":{"via":"on_probe"},"extra":{"role_by_kind":["read","write"],"release_s":%s,"resume":%s}}
            """;

    /** Deadlines of 3 s, a second to let go, all allowed. */
    static SoakSettings usual(int conductors, boolean resume) {
        return new SoakSettings(conductors, DEADLINES_MS[0], RELEASES_MS[0], resume, true, true);
    }

    /** Half of all have the usual deadline and release time; the rest are shorter, by which the kill comes sooner too. */
    static SoakSettings draw(Random random, int conductors, boolean resume) {
        return new SoakSettings(
                conductors,
                DEADLINES_MS[Math.max(0, random.nextInt(4) - 1)],
                RELEASES_MS[Math.max(0, random.nextInt(4) - 1)],
                resume,
                true,
                random.nextInt(4) > 0);
    }

    /** As the platform writes them. */
    String text() {
        String deadline = seconds(longestDeadlineMs);
        return String.format(
                Locale.ROOT,
                TEXT,
                conductors,
                deadline,
                deadline,
                deadline,
                seconds(KEYED_WINDOW_MS),
                MOST_ATTEMPTS,
                cancel,
                probes,
                seconds(releaseMs),
                resume);
    }

    private static String seconds(long ms) {
        return Double.toString(ms / 1000.0);
    }

    /** The earliest SIGKILL after SIGTERM. */
    long killMs() {
        return Math.min(longestDeadlineMs, MOST_KILL_DEADLINE_MS) + KILL_MORE_MS;
    }

    Oracle.Terms terms(long slackMs) {
        return new Oracle.Terms(MOST_ATTEMPTS, releaseMs, KEYED_WINDOW_MS, resume, slackMs);
    }
}

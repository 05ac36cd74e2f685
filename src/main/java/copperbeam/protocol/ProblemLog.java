package copperbeam.protocol;

import java.util.HashSet;
import java.util.Set;
import java.util.logging.Logger;

/** Logs each distinct problem with a service once until it is solved, as in an outage many calls fail for the same reason. */
public final class ProblemLog {
    private static final int MAX_LOGGED_PROBLEMS = 16; // distinct log lines between two solutions
    private static final int MAX_PROBLEM_CHARS = 200; // as the text may come from a response

    private final Logger log;
    private final Set<String> logged = new HashSet<>();

    public ProblemLog(Logger log) {
        this.log = log;
    }

    /** Logs the problem, followed by its {@code consequence}, unless it has been logged since {@link #solved}. */
    public void warn(String problem, String consequence) {
        String line = problem.replaceAll("\\p{Cntrl}", " ");
        if (logged.size() < MAX_LOGGED_PROBLEMS && logged.add(line)) {
            log.warning(line.substring(0, Math.min(MAX_PROBLEM_CHARS, line.length())) + "; " + consequence);
        }
    }

    /** Forgets what was logged. */
    public void solved() {
        logged.clear();
    }
}

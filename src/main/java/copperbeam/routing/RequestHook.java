package copperbeam.routing;

import java.time.Duration;

/** Sees each request before the module does. */
public interface RequestHook {
    /** {@code refuseFor} not null: refused with this advice; {@code requestClass} not null: the class from now on. */
    record Verdict(Duration refuseFor, String requestClass) {
        public static final Verdict PASS = new Verdict(null, null);
    }

    String name();

    /** What it throws is logged, and the request goes on as it was. */
    Verdict onRequest(Ask ask) throws Exception;
}

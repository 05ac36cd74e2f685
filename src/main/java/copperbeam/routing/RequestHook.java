package copperbeam.routing;

import java.time.Duration;

/** A plug-in's hook that is called for each request before the decision module sees it. */
public interface RequestHook {
    /**
     * {@code retryAfter}: if not null, the request is refused with this advice how long to wait before a retry;
     * {@code requestClass}: if not null, the request's new class.
     */
    record Verdict(Duration retryAfter, String requestClass) {
        public static final Verdict PASS = new Verdict(null, null);
    }

    String name();

    /** Judges a request. An exception is logged, and the request continues unchanged. */
    Verdict onRequest(RequestSpec spec) throws Exception;
}

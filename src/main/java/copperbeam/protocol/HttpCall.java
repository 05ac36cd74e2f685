package copperbeam.protocol;

import copperbeam.routing.Ask;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/**
 * A whole HTTP request as it came from a client.
 *
 * @param headers by names in lower case
 * @param arrived when its first byte was read
 * @param queued how long it may have waited before that, behind a connection that was not accepted yet
 */
public record HttpCall(
        String method, String target, Map<String, String> headers, byte[] body, Instant arrived, Duration queued)
        implements Ask.Payload {

    /** One that was read as it came. */
    public HttpCall(String method, String target, Map<String, String> headers, byte[] body, Instant arrived) {
        this(method, target, headers, body, arrived, Duration.ZERO);
    }

    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Of each dialect: whether we are ready. */
    public boolean asksForHealth() {
        return path().equals("/healthz");
    }

    /** Whether {@code X-Retried} tells of a client that asks for the rest of a broken stream; such a one has run. */
    public static boolean resumes(String retried) {
        return "again".equals(retried);
    }

    public String header(String name) {
        return headers.get(name);
    }
}

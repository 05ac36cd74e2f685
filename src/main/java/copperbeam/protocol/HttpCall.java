package copperbeam.protocol;

import copperbeam.routing.RequestSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/**
 * A complete HTTP request of a client.
 *
 * @param headers the keys are in lower case
 * @param content the body
 * @param arrivedAt when its head was read
 * @param maxQueueTime how long it may have waited before that because its connection wasn't accepted yet
 */
public record HttpCall(
        String method,
        String target,
        Map<String, String> headers,
        RequestBody content,
        Instant arrivedAt,
        Duration maxQueueTime)
        implements RequestSpec.Payload {
    /** The platform's limit for every body. */
    public static final int MAX_BODY_BYTES = 256 * 1024;

    /** Creates a request that didn't wait for its connection to be accepted. */
    public HttpCall(String method, String target, Map<String, String> headers, byte[] body, Instant arrivedAt) {
        this(method, target, headers, RequestBody.uncounted(body), arrivedAt, Duration.ZERO);
    }

    /** The body's bytes; empty once {@link #release} was called and no attempt is sending them. */
    public byte[] body() {
        return content.bytes();
    }

    @Override
    public double maxTokens() {
        return Tokens.maxInBody(body().length);
    }

    @Override
    public void release() {
        content.release();
    }

    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    /** Whether this is a request for the health of this process, which each front answers. */
    public boolean isHealthCheck() {
        return path().equals("/healthz");
    }

    /** Whether {@code X-Retried} has the value of a client that asks for the rest of a broken stream; such a request has run. */
    public static boolean isResumption(String retriedHeader) {
        return "again".equals(retriedHeader);
    }

    public String header(String name) {
        return headers.get(name);
    }
}

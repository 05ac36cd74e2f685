package copperbeam.protocol.platform;

import copperbeam.protocol.BadRequest;
import copperbeam.protocol.Front;
import copperbeam.protocol.HttpCall;
import copperbeam.protocol.HttpReply;
import copperbeam.protocol.Json;
import copperbeam.routing.Intake;
import copperbeam.routing.RequestSpec;
import copperbeam.routing.ResponseSink;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;

/** The front for the platform's protocol: reads requests with its headers, and passes on a server's events unchanged. */
public final class PlatformFront implements Front {
    public static final Duration RESPONSE_MARGIN = Duration.ofMillis(20); // for the response's way back to the client

    // Printable, and unchanged in a URL path: with "a?b" or "%61" as id, a release would free another request's state.
    private static final Pattern VALID_REQUEST_ID = Pattern.compile("(?!\\.{1,2}$)[!-~&&[^/?#%\\\\]]+");

    private final Set<String> requestClasses;
    private final Intake intake;
    private final BooleanSupplier healthy;

    public PlatformFront(Set<String> requestClasses, Intake intake, BooleanSupplier healthy) {
        this.requestClasses = requestClasses;
        this.intake = intake;
        this.healthy = healthy;
    }

    @Override
    public Runnable accept(HttpCall call, HttpReply reply) {
        if (call.isHealthCheck()) {
            return answerHealthCheck(reply, healthy.getAsBoolean());
        }
        try {
            RequestSpec spec = parseRequest(call);
            ResponseSink response = new PlatformResponse(reply);
            intake.submit(spec, response);
            return () -> intake.clientGone(response);
        } catch (BadRequest e) {
            respondWithText(reply, e.status(), e.getMessage());
            return () -> {};
        }
    }

    public static Runnable answerHealthCheck(HttpReply reply, boolean healthy) {
        respondWithText(reply, healthy ? 200 : 503, healthy ? "ok" : "not ready");
        return () -> {};
    }

    private RequestSpec parseRequest(HttpCall call) throws BadRequest {
        if (!call.path().equals("/v1/chat/completions")) {
            throw new BadRequest(404, "no such path");
        }
        if (!call.method().equals("POST")) {
            throw new BadRequest(405, "only POST");
        }
        String id = call.header("x-request-id");
        if (id == null || !VALID_REQUEST_ID.matcher(id).matches()) {
            throw new BadRequest(400, "X-Request-ID is missing or no name");
        }
        String requestClass = call.header("x-priority-class");
        if (requestClass == null || !requestClasses.contains(requestClass)) {
            throw new BadRequest(400, "X-Priority-Class names no class of this service");
        }
        String session = call.header("x-route-key");
        // HttpCore replaces CR and NUL by spaces, so servers would receive a key that no client sent
        if (session != null && !session.chars().allMatch(c -> c > 32 && c < 127)) {
            throw new BadRequest(400, "X-Route-Key is no name");
        }
        Duration timeout = PlatformHeaders.parseTimeout(call.header("x-timeout"));
        PlatformHeaders.Attrs attrs = PlatformHeaders.parseAttrs(call.header("x-attrs"));
        if (!Json.isObject(call.body())) {
            throw new BadRequest(400, "the body is not a JSON object");
        }
        return new RequestSpec(
                id,
                requestClass,
                call.header("x-tenant-id"),
                session,
                attrs.prefix(),
                attrs.promptTokens(),
                attrs.prefixTokens(),
                attrs.maxAnswerTokens(),
                deadline(call, timeout),
                HttpCall.isResumption(call.header("x-retried")),
                call);
    }

    /** The arrival plus the timeout, minus the time the request may have waited before it was read and the response margin. */
    private static Instant deadline(HttpCall call, Duration timeout) {
        return call.arrivedAt().plus(timeout).minus(call.maxQueueTime()).minus(RESPONSE_MARGIN);
    }

    private static void respondWithText(HttpReply reply, int status, String text) {
        reply.respond(status, "text/plain", Map.of(), (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private record PlatformResponse(HttpReply reply) implements ResponseSink {
        @Override
        public void begin() {
            reply.beginStream("text/event-stream", Map.of());
        }

        @Override
        public boolean event(byte[] eventBytes, Runnable onDrained) {
            reply.write(eventBytes, onDrained);
            return true;
        }

        @Override
        public void end() {
            reply.endStream();
        }

        @Override
        public void broken() {
            reply.abort();
        }

        @Override
        public void refuse(Duration retryAfter, boolean tried) {
            Map<String, String> headers = retryAfter.isZero()
                    ? Map.of()
                    : Map.of("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / 1000.0));
            reply.respond(tried ? 503 : 429, "text/plain", headers, "refused\n".getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void fail(Failure reason) {
            respondWithText(
                    reply,
                    switch (reason) {
                        case TOO_LATE -> 504;
                        case ID_IN_USE -> 409;
                        default -> 502;
                    },
                    reason == Failure.ID_IN_USE ? "X-Request-ID is that of an open request" : "failed");
        }

        @Override
        public boolean gone() {
            return reply.isClientGone();
        }
    }
}

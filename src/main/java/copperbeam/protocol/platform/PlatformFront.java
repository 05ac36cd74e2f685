package copperbeam.protocol.platform;

import copperbeam.protocol.BadRequest;
import copperbeam.protocol.Front;
import copperbeam.protocol.HttpCall;
import copperbeam.protocol.HttpReply;
import copperbeam.protocol.Json;
import copperbeam.routing.Answer;
import copperbeam.routing.Ask;
import copperbeam.routing.Intake;
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
    public static final Duration MARGIN = Duration.ofMillis(20); // for the response's way back to the client

    // Printable, and unchanged in a URL path: with "a?b" or "%61" as id, a release would free another request's state.
    private static final Pattern ID = Pattern.compile("(?!\\.{1,2}$)[!-~&&[^/?#%\\\\]]+");

    private final Set<String> classes;
    private final Intake intake;
    private final BooleanSupplier healthy;

    public PlatformFront(Set<String> classes, Intake intake, BooleanSupplier healthy) {
        this.classes = classes;
        this.intake = intake;
        this.healthy = healthy;
    }

    @Override
    public Runnable accept(HttpCall call, HttpReply reply) {
        if (call.asksForHealth()) {
            return health(reply, healthy.getAsBoolean());
        }
        try {
            Ask ask = ask(call);
            Answer answer = new PlatformAnswer(reply);
            intake.arrive(ask, answer);
            return () -> intake.left(answer);
        } catch (BadRequest e) {
            text(reply, e.status(), e.getMessage());
            return () -> {};
        }
    }

    public static Runnable health(HttpReply reply, boolean healthy) {
        text(reply, healthy ? 200 : 503, healthy ? "ok" : "not ready");
        return () -> {};
    }

    private Ask ask(HttpCall call) throws BadRequest {
        if (!call.path().equals("/v1/chat/completions")) {
            throw new BadRequest(404, "no such path");
        }
        if (!call.method().equals("POST")) {
            throw new BadRequest(405, "only POST");
        }
        String id = call.header("x-request-id");
        if (id == null || !ID.matcher(id).matches()) {
            throw new BadRequest(400, "X-Request-ID is missing or no name");
        }
        String requestClass = call.header("x-priority-class");
        if (requestClass == null || !classes.contains(requestClass)) {
            throw new BadRequest(400, "X-Priority-Class names no class of this service");
        }
        String session = call.header("x-route-key");
        // HttpCore replaces CR and NUL by spaces, so servers would receive a key that no client sent
        if (session != null && !session.chars().allMatch(c -> c > 32 && c < 127)) {
            throw new BadRequest(400, "X-Route-Key is no name");
        }
        Duration timeout = PlatformHeaders.timeout(call.header("x-timeout"));
        PlatformHeaders.Attrs attrs = PlatformHeaders.attrs(call.header("x-attrs"));
        if (!Json.isObject(call.body())) {
            throw new BadRequest(400, "the body is not a JSON object");
        }
        return new Ask(
                id,
                requestClass,
                call.header("x-tenant-id"),
                session,
                attrs.prefix(),
                attrs.promptTokens(),
                attrs.prefixTokens(),
                attrs.maxAnswerTokens(),
                deadline(call, timeout),
                HttpCall.resumes(call.header("x-retried")),
                call);
    }

    /** The arrival plus the timeout, minus the time the request may have waited before it was read and the response margin. */
    private static Instant deadline(HttpCall call, Duration timeout) {
        return call.arrived().plus(timeout).minus(call.queued()).minus(MARGIN);
    }

    private static void text(HttpReply reply, int status, String text) {
        reply.whole(status, "text/plain", Map.of(), (text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private record PlatformAnswer(HttpReply reply) implements Answer {
        @Override
        public void begin() {
            reply.begin("text/event-stream", Map.of());
        }

        @Override
        public boolean event(byte[] raw, Runnable drained) {
            reply.write(raw, drained);
            return true;
        }

        @Override
        public void end() {
            reply.end();
        }

        @Override
        public void broken() {
            reply.abort();
        }

        @Override
        public void refuse(Duration retryAfter, boolean tried) {
            Map<String, String> advice = retryAfter.isZero()
                    ? Map.of()
                    : Map.of("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfter.toMillis() / 1000.0));
            reply.whole(tried ? 503 : 429, "text/plain", advice, "refused\n".getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void fail(Failure why) {
            text(
                    reply,
                    switch (why) {
                        case TOO_LATE -> 504;
                        case ID_IN_USE -> 409;
                        default -> 502;
                    },
                    why == Failure.ID_IN_USE ? "X-Request-ID is that of an open request" : "failed");
        }

        @Override
        public boolean gone() {
            return reply.gone();
        }
    }
}

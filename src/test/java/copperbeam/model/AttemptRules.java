package copperbeam.model;

import copperbeam.Api.Effect;
import copperbeam.Api.RequestClass;
import java.time.Duration;
import java.util.Objects;

/** Limits on attempts: when, how often and to which servers a request may be sent, and which timeout the server is told. */
final class AttemptRules implements Rule {
    private static final long AFTER_CLOSE = 100 * VirtualTime.MILLI;
    private static final long TOLD_TOO_LONG = 150 * VirtualTime.MILLI;
    private static final long TIME_LIMIT_SLACK = 50 * VirtualTime.MILLI;

    private final World world;

    AttemptRules(World world) {
        this.world = world;
    }

    @Override
    public void headLeft(Attempt attempt, Duration told) {
        long left = attempt.request.clientDeadline - world.time.now();
        if (told.toNanos() > left + TOLD_TOO_LONG) {
            world.broken(
                    "announces a timeout of " + told.toMillis() + " ms, remaining ms: " + left / VirtualTime.MILLI, attempt.request, null);
        }
    }

    @Override
    public void lastByteLeft(Attempt attempt) {
        ClientRequest request = attempt.request;
        long now = world.time.now();
        if (request.attempts.stream().anyMatch(a -> a != attempt && a.out())) {
            world.broken("two attempts in flight", request, attempt.server);
        }
        long begun = request.attempts.stream().filter(a -> a.lastByteAt >= 0).count();
        if (begun > world.settings.settings().limits().maxAttempts()) {
            world.broken("more attempts than allowed: " + begun, request, attempt.server);
        }
        if (request.leftAt >= 0 && now - request.leftAt > AFTER_CLOSE) {
            world.broken("sent to a server after the client had disconnected", request, attempt.server);
        }
        if (request.ending != null || request.streamingSince >= 0) {
            world.broken("sent to a server after the final answer or the start of the stream", request, attempt.server);
        }
        request.attempts.stream()
                .filter(a -> a != attempt && a.mayHaveRun())
                .findFirst()
                .ifPresent(first -> repeated(request, first, attempt));
    }

    private void repeated(ClientRequest request, Attempt first, Attempt again) {
        RequestClass c = world.settings.requestClass(request.ask.requestClass());
        if (c.effect() == Effect.UNSAFE) {
            world.broken("repeated a request of an unsafe class", request, again.server);
        } else if (c.effect() == Effect.KEYED) {
            boolean within = switch (c.group()) {
                case ALL -> true;
                case ZONE -> Objects.equals(first.server.zone, again.server.zone);
                case CELL -> first.server.cell == again.server.cell;
            };
            if (!within) {
                world.broken("repeated outside its group", request, again.server);
            }
            if (again.lastByteAt - first.lastByteAt > c.windowS() * 1e9 + TIME_LIMIT_SLACK) {
                world.broken("repeated after the end of its window", request, again.server);
            }
        }
    }
}

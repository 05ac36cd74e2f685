package copperbeam.model;

import copperbeam.Api.Effect;
import copperbeam.Api.RequestClass;
import java.time.Duration;
import java.util.Objects;

/** When a request may be sent on, how often, where to, and what its server is told. */
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
                    "tells " + told.toMillis() + " ms, left are " + left / VirtualTime.MILLI, attempt.request, null);
        }
    }

    @Override
    public void lastByteLeft(Attempt attempt) {
        ClientRequest request = attempt.request;
        long now = world.time.now();
        if (request.attempts.stream().anyMatch(a -> a != attempt && a.out())) {
            world.broken("two attempts out", request, attempt.server);
        }
        long begun = request.attempts.stream().filter(a -> a.lastByteAt >= 0).count();
        if (begun > world.settings.settings().limits().maxAttempts()) {
            world.broken("attempt " + begun, request, attempt.server);
        }
        if (request.leftAt >= 0 && now - request.leftAt > AFTER_CLOSE) {
            world.broken("sent on after its client's close", request, attempt.server);
        }
        if (request.ending != null || request.streamingSince >= 0) {
            world.broken("sent on after its end", request, attempt.server);
        }
        request.attempts.stream()
                .filter(a -> a != attempt && a.mayHaveRun())
                .findFirst()
                .ifPresent(first -> repeated(request, first, attempt));
    }

    private void repeated(ClientRequest request, Attempt first, Attempt again) {
        RequestClass c = world.settings.requestClass(request.ask.requestClass());
        if (c.effect() == Effect.UNSAFE) {
            world.broken("repeated what must not be", request, again.server);
        } else if (c.effect() == Effect.KEYED) {
            boolean within = switch (c.group()) {
                case ALL -> true;
                case ZONE -> Objects.equals(first.server.zone, again.server.zone);
                case CELL -> first.server.cell == again.server.cell;
            };
            if (!within) {
                world.broken("repeated outside of its group", request, again.server);
            }
            if (again.lastByteAt - first.lastByteAt > c.windowS() * 1e9 + TIME_LIMIT_SLACK) {
                world.broken("repeated after its window", request, again.server);
            }
        }
    }
}

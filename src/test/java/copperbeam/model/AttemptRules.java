package copperbeam.model;

import copperbeam.Api.Repeats;
import copperbeam.Api.RequestClass;
import java.time.Duration;
import java.util.Objects;

/** Limits on attempts: when, how often and to which servers a request may be sent, and which timeout the server is told. */
final class AttemptRules implements Rule {
    private static final long MAX_SEND_AFTER_CLOSE_NS = 100 * VirtualTime.NANOS_PER_MS;
    private static final long MAX_TIMEOUT_EXCESS_NS = 150 * VirtualTime.NANOS_PER_MS;
    private static final long WINDOW_SLACK_NS = 50 * VirtualTime.NANOS_PER_MS;

    private final World world;

    AttemptRules(World world) {
        this.world = world;
    }

    @Override
    public void headSent(Attempt attempt, Duration announcedTimeout) {
        long remaining = attempt.request.clientDeadline - world.time.now();
        if (announcedTimeout.toNanos() > remaining + MAX_TIMEOUT_EXCESS_NS) {
            world.reportViolation(
                    "announces a timeout of " + announcedTimeout.toMillis() + " ms, remaining ms: "
                            + remaining / VirtualTime.NANOS_PER_MS,
                    attempt.request,
                    null);
        }
    }

    @Override
    public void lastByteSent(Attempt attempt) {
        ClientRequest request = attempt.request;
        long now = world.time.now();
        if (request.attempts.stream().anyMatch(a -> a != attempt && a.isInFlight())) {
            world.reportViolation("two attempts in flight", request, attempt.server);
        }
        long attemptCount =
                request.attempts.stream().filter(a -> a.lastByteSentAt >= 0).count();
        if (attemptCount > world.settings.moduleSettings().limits().maxAttempts()) {
            world.reportViolation("more attempts than allowed: " + attemptCount, request, attempt.server);
        }
        if (request.clientGoneAt >= 0 && now - request.clientGoneAt > MAX_SEND_AFTER_CLOSE_NS) {
            world.reportViolation("sent to a server after the client had disconnected", request, attempt.server);
        }
        if (request.outcome != null || request.streamingSince >= 0) {
            world.reportViolation(
                    "sent to a server after the final answer or the start of the stream", request, attempt.server);
        }
        request.attempts.stream()
                .filter(a -> a != attempt && a.mayHaveRun())
                .findFirst()
                .ifPresent(first -> checkRepeat(request, first, attempt));
    }

    private void checkRepeat(ClientRequest request, Attempt first, Attempt repeat) {
        RequestClass requestClass = world.settings.requestClass(request.spec.requestClass());
        if (requestClass.repeats() == Repeats.UNSAFE) {
            world.reportViolation("repeated a request of an unsafe class", request, repeat.server);
        } else if (requestClass.repeats() == Repeats.KEYED) {
            boolean withinGroup = switch (requestClass.dedupScope()) {
                case ALL -> true;
                case ZONE -> Objects.equals(first.server.zone, repeat.server.zone);
                case CELL -> first.server.cell == repeat.server.cell;
            };
            if (!withinGroup) {
                world.reportViolation("repeated outside its group", request, repeat.server);
            }
            if (repeat.lastByteSentAt - first.lastByteSentAt > requestClass.dedupS() * 1e9 + WINDOW_SLACK_NS) {
                world.reportViolation("repeated after the end of its window", request, repeat.server);
            }
        }
    }
}

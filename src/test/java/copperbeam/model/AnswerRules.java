package copperbeam.model;

import copperbeam.Api.DedupScope;
import copperbeam.Api.Repeats;
import copperbeam.Api.RequestClass;
import copperbeam.model.ClientRequest.Outcome;

/**
 * Each request gets exactly one final answer, by its deadline. It is refused only if it did not run or may safely run again.
 * Once its stream has begun, the only possible endings are a complete stream and a broken one. The events of a stream arrive
 * complete and in order, and within 0.3 s unless the client reads slowly.
 */
final class AnswerRules implements Rule {
    private static final long MAX_EVENT_DELAY_NS = 300 * VirtualTime.NANOS_PER_MS;
    private static final long MAX_STREAM_SILENCE_NS = 5 * VirtualTime.NANOS_PER_S;
    private static final long DEADLINE_SLACK_NS = 50 * VirtualTime.NANOS_PER_MS;

    private final World world;

    AnswerRules(World world) {
        this.world = world;
    }

    @Override
    public void requestRefused(ClientRequest request) {
        checkFinalAnswer(request);
        RequestClass requestClass = world.settings.requestClass(request.spec.requestClass());
        boolean mayHaveRun = request.spec.resumed() || request.attempts.stream().anyMatch(Attempt::mayHaveRun);
        boolean repeatable = requestClass.repeats() == Repeats.SAFE
                || requestClass.repeats() == Repeats.KEYED && requestClass.dedupScope() == DedupScope.ALL;
        if (mayHaveRun && !repeatable) {
            world.reportViolation("refused a request that may have run and must not be repeated", request, null);
        }
    }

    @Override
    public void requestFailed(ClientRequest request) {
        checkFinalAnswer(request);
    }

    private void checkFinalAnswer(ClientRequest request) {
        if (request.finalAnswerCount > 1) {
            world.reportViolation("two final answers", request, null);
        }
        if (request.clientGoneAt < 0
                && request.streamingSince >= 0
                && request.outcome != Outcome.SERVED
                && request.outcome != Outcome.BROKEN) {
            world.reportViolation("a stream that had begun ended as " + request.outcome, request, null);
        }
        if (request.clientGoneAt < 0 && request.streamingSince < 0 && world.time.now() > latestFinalAnswer(request)) {
            world.reportViolation("final answer after the deadline", request, null);
        }
    }

    private long latestFinalAnswer(ClientRequest request) {
        return request.clientDeadline + world.settings.answerSlack().toNanos() + DEADLINE_SLACK_NS + world.maxPause;
    }

    @Override
    public void eventReceived(ClientRequest request, Attempt attempt, int index) {
        if (attempt == null || attempt != request.lastAttempt()) {
            world.reportViolation("event of another stream", request, null);
        } else if (index != world.eventCount(request)) {
            world.reportViolation("event " + index + " out of order", request, null);
        } else if (!request.slowClient
                && world.time.now() - attempt.eventWrittenAt[index] > MAX_EVENT_DELAY_NS + world.maxPause) {
            world.reportViolation("event " + index + " is late", request, null);
        }
        if (request.outcome != null) {
            world.reportViolation("event after the final answer", request, null);
        }
        world.countEvent(request);
    }

    @Override
    public void streamEnded(ClientRequest request) {
        checkFinalAnswer(request);
        Attempt attempt = request.lastAttempt();
        if (attempt == null || attempt.endWrittenAt < 0 || world.eventCount(request) != attempt.eventWrittenAt.length) {
            world.reportViolation("an incomplete stream was ended as complete", request, null);
        }
    }

    @Override
    public void streamBroken(ClientRequest request) {
        checkFinalAnswer(request);
        Attempt attempt = request.lastAttempt();
        boolean complete = attempt != null
                && attempt.proof == Attempt.Proof.NONE
                && attempt.endReceivedAt >= 0
                && attempt.endReceivedAt < world.time.now();
        if (complete && request.clientGoneAt < 0) {
            world.reportViolation("a stream was broken off although its end had been received", request, null);
        }
    }

    @Override
    public void check() {
        for (ClientRequest request : world.openRequests()) {
            long now = world.time.now();
            Attempt attempt = request.lastAttempt();
            if (request.streamingSince < 0 && now > latestFinalAnswer(request)) {
                world.reportViolation("no final answer by the deadline", request, null);
            } else if (request.streamingSince >= 0
                    && !request.slowClient
                    && now - request.lastEventAt > MAX_STREAM_SILENCE_NS + world.maxPause) {
                world.reportViolation(
                        "no event and no end of the stream after the last event of " + attempt.server,
                        request,
                        attempt.server);
            }
        }
    }
}

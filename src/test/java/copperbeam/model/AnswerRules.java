package copperbeam.model;

import copperbeam.Api.Effect;
import copperbeam.Api.Group;
import copperbeam.Api.RequestClass;
import copperbeam.model.ClientRequest.Final;

/**
 * Each request gets exactly one final answer, by its deadline. It is refused only if it did not run or may safely run again.
 * Once its stream has begun, the only possible endings are a complete stream and a broken one. The events of a stream arrive
 * complete and in order, and within 0.3 s unless the client reads slowly.
 */
final class AnswerRules implements Rule {
    private static final long EVENT_LATE = 300 * VirtualTime.MILLI;
    private static final long LAST_EVENT_TO_END = 5 * VirtualTime.SECOND;
    private static final long TIME_LIMIT_SLACK = 50 * VirtualTime.MILLI;

    private final World world;

    AnswerRules(World world) {
        this.world = world;
    }

    @Override
    public void refused(ClientRequest request) {
        once(request);
        RequestClass c = world.settings.requestClass(request.ask.requestClass());
        boolean ran = request.ask.resumed() || request.attempts.stream().anyMatch(Attempt::mayHaveRun);
        boolean harmless = c.effect() == Effect.SAFE || c.effect() == Effect.KEYED && c.group() == Group.ALL;
        if (ran && !harmless) {
            world.broken("refused a request that may have run and must not be repeated", request, null);
        }
    }

    @Override
    public void failed(ClientRequest request) {
        once(request);
    }

    private void once(ClientRequest request) {
        if (request.finals > 1) {
            world.broken("two final answers", request, null);
        }
        if (request.leftAt < 0
                && request.streamingSince >= 0
                && request.ending != Final.SERVED
                && request.ending != Final.BROKEN) {
            world.broken("a stream that had begun ended as " + request.ending, request, null);
        }
        if (request.leftAt < 0 && request.streamingSince < 0 && world.time.now() > latest(request)) {
            world.broken("final answer after the deadline", request, null);
        }
    }

    private long latest(ClientRequest request) {
        return request.clientDeadline + world.settings.answerSlack().toNanos() + TIME_LIMIT_SLACK + world.heldUp;
    }

    @Override
    public void event(ClientRequest request, Attempt attempt, int index) {
        if (attempt == null || attempt != request.lastAttempt()) {
            world.broken("event of another stream", request, null);
        } else if (index != world.eventsOf(request)) {
            world.broken("event " + index + " out of order", request, null);
        } else if (!request.slowReader && world.time.now() - attempt.writtenAt[index] > EVENT_LATE + world.heldUp) {
            world.broken("event " + index + " is late", request, null);
        }
        if (request.ending != null) {
            world.broken("event after the final answer", request, null);
        }
        world.countEvent(request);
    }

    @Override
    public void streamEnded(ClientRequest request) {
        once(request);
        Attempt a = request.lastAttempt();
        if (a == null || a.endWrittenAt < 0 || world.eventsOf(request) != a.writtenAt.length) {
            world.broken("an incomplete stream was ended as complete", request, null);
        }
    }

    @Override
    public void streamBroken(ClientRequest request) {
        once(request);
        Attempt a = request.lastAttempt();
        boolean whole =
                a != null && a.proof == Attempt.Proof.NONE && a.endHeardAt >= 0 && a.endHeardAt < world.time.now();
        if (whole && request.leftAt < 0) {
            world.broken("a stream was broken off although its end had been received", request, null);
        }
    }

    @Override
    public void check() {
        for (ClientRequest request : world.open()) {
            long now = world.time.now();
            Attempt a = request.lastAttempt();
            if (request.streamingSince < 0 && now > latest(request)) {
                world.broken("no final answer by the deadline", request, null);
            } else if (request.streamingSince >= 0
                    && !request.slowReader
                    && now - request.lastEventAt > LAST_EVENT_TO_END + world.heldUp) {
                world.broken("no event and no end of the stream after the last event of " + a.server, request, a.server);
            }
        }
    }
}

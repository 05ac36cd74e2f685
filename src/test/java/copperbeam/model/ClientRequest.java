package copperbeam.model;

import copperbeam.routing.RequestSpec;
import copperbeam.routing.ResponseSink;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** One request of a simulated client, which also receives the response. */
final class ClientRequest implements ResponseSink {
    enum Outcome {
        REFUSED,
        FAILED,
        SERVED,
        BROKEN
    }

    final World world;
    final ModelProcess process;
    final RequestSpec spec;
    final int retryCount;
    final long arrivedAt;
    final long clientDeadline;
    final List<Attempt> attempts = new ArrayList<>();
    final boolean slowClient;
    Outcome outcome;
    long endedAt = -1;
    int finalAnswerCount;
    long clientGoneAt = -1; // when the client disconnected; -1 while connected
    boolean lostWithProcess; // the process was killed, so no answer can come
    long streamingSince = -1;
    long lastEventAt = -1;

    ClientRequest(
            World world,
            ModelProcess process,
            RequestSpec spec,
            int retryCount,
            long arrivedAt,
            long clientDeadline,
            boolean slowClient) {
        this.world = world;
        this.process = process;
        this.spec = spec;
        this.retryCount = retryCount;
        this.arrivedAt = arrivedAt;
        this.clientDeadline = clientDeadline;
        this.slowClient = slowClient;
    }

    /** Nothing more is owed: the request was answered, its client disconnected, or its process was killed. */
    boolean isOver() {
        return outcome != null || clientGoneAt >= 0 || lostWithProcess;
    }

    Attempt lastAttempt() {
        return attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
    }

    @Override
    public void begin() {
        world.log(this, "stream begins");
        streamingSince = world.time.now();
    }

    @Override
    public boolean event(byte[] eventBytes, Runnable onDrained) {
        String[] fields =
                new String(eventBytes, StandardCharsets.US_ASCII).trim().split(" ");
        int index = Integer.parseInt(fields[3]);
        Attempt attempt = fields[1].equals(spec.id()) ? attempts.get(Integer.parseInt(fields[2])) : null;
        lastEventAt = world.time.now();
        world.notifyRules(r -> r.eventReceived(this, attempt, index));
        if (slowClient) {
            world.time.runAfter(world.random.nextInt(200) * VirtualTime.NANOS_PER_MS, onDrained);
        } else {
            onDrained.run();
        }
        return true;
    }

    @Override
    public void end() {
        end(Outcome.SERVED);
        world.notifyRules(r -> r.streamEnded(this));
    }

    @Override
    public void broken() {
        end(Outcome.BROKEN);
        world.notifyRules(r -> r.streamBroken(this));
        world.maybeResume(this);
    }

    @Override
    public void refuse(Duration retryAfter, boolean tried) {
        end(Outcome.REFUSED);
        world.notifyRules(r -> r.requestRefused(this));
        world.maybeRetry(this, retryAfter);
    }

    @Override
    public void fail(Failure why) {
        end(Outcome.FAILED);
        world.notifyRules(r -> r.requestFailed(this));
        world.maybeRetry(this, Duration.ZERO);
    }

    private void end(Outcome finalOutcome) {
        finalAnswerCount++;
        world.log(this, finalOutcome.name());
        if (outcome == null) {
            outcome = finalOutcome;
            endedAt = world.time.now();
        }
        world.maybePreempt(process);
    }

    @Override
    public boolean gone() {
        return clientGoneAt >= 0 && world.time.now() >= clientGoneAt;
    }

    @Override
    public String toString() {
        return spec.id() + " " + spec.requestClass();
    }
}

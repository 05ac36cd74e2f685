package copperbeam.model;

import copperbeam.routing.Answer;
import copperbeam.routing.Ask;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** One request of a simulated client, which also receives the response. */
final class ClientRequest implements Answer {
    enum Final {
        REFUSED,
        FAILED,
        SERVED,
        BROKEN
    }

    final World world;
    final ModelProcess process;
    final Ask ask;
    final int retries;
    final long arrivedAt;
    final long clientDeadline;
    final List<Attempt> attempts = new ArrayList<>();
    final boolean slowReader;
    Final ending;
    long endedAt = -1;
    int finals;
    long leftAt = -1; // when the client disconnected; -1 while connected
    boolean excused; // the process was killed, so no answer can come
    long streamingSince = -1;
    long lastEventAt = -1;

    ClientRequest(
            World world,
            ModelProcess process,
            Ask ask,
            int retries,
            long arrivedAt,
            long clientDeadline,
            boolean slowReader) {
        this.world = world;
        this.process = process;
        this.ask = ask;
        this.retries = retries;
        this.arrivedAt = arrivedAt;
        this.clientDeadline = clientDeadline;
        this.slowReader = slowReader;
    }

    /** Nothing more is owed: the request was answered, its client disconnected, or its process was killed. */
    boolean over() {
        return ending != null || leftAt >= 0 || excused;
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
    public boolean event(byte[] raw, Runnable drained) {
        String[] fields = new String(raw, StandardCharsets.US_ASCII).trim().split(" ");
        int index = Integer.parseInt(fields[3]);
        Attempt of = fields[1].equals(ask.id()) ? attempts.get(Integer.parseInt(fields[2])) : null;
        lastEventAt = world.time.now();
        world.rules(r -> r.event(this, of, index));
        if (slowReader) {
            world.time.after(world.random.nextInt(200) * VirtualTime.MILLI, drained);
        } else {
            drained.run();
        }
        return true;
    }

    @Override
    public void end() {
        end(Final.SERVED);
        world.rules(r -> r.streamEnded(this));
    }

    @Override
    public void broken() {
        end(Final.BROKEN);
        world.rules(r -> r.streamBroken(this));
        world.clientMayResume(this);
    }

    @Override
    public void refuse(Duration retryAfter, boolean tried) {
        end(Final.REFUSED);
        world.rules(r -> r.refused(this));
        world.clientMayRetry(this, retryAfter);
    }

    @Override
    public void fail(Failure why) {
        end(Final.FAILED);
        world.rules(r -> r.failed(this));
        world.clientMayRetry(this, Duration.ZERO);
    }

    private void end(Final how) {
        finals++;
        world.log(this, how.name());
        if (ending == null) {
            ending = how;
            endedAt = world.time.now();
        }
        world.mayPreempt(process);
    }

    @Override
    public boolean gone() {
        return leftAt >= 0 && world.time.now() >= leftAt;
    }

    @Override
    public String toString() {
        return ask.id() + " " + ask.requestClass();
    }
}

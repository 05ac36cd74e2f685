package copperbeam.routing;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Owns its state and changes it only by the messages of its mailbox, one at a time and in the order in which
 * they came. A message is bounded work and blocks on nothing.
 */
public abstract class Actor<M> {
    private static final Logger LOG = Logger.getLogger(Actor.class.getName());
    private static final int TURN = 32; // messages until other actors have their turn

    private final ConcurrentLinkedQueue<M> mailbox = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<M> urgent = new ConcurrentLinkedQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final ScheduledExecutorService turns;

    protected Actor(ScheduledExecutorService turns) {
        this.turns = turns;
    }

    /** From any thread. */
    public final void tell(M message) {
        add(mailbox, message);
    }

    /**
     * The same, ahead of all that waits and was not told so. Guards against word that must be acted on within a time,
     * such as a drain, and would wait behind a crowd's requests.
     */
    public final void tellFirst(M message) {
        add(urgent, message);
    }

    final void tell(boolean first, M message) {
        add(first ? urgent : mailbox, message);
    }

    private void add(ConcurrentLinkedQueue<M> queue, M message) {
        queue.add(message);
        if (waiting.getAndIncrement() == 0) {
            turn(turns);
        }
    }

    /** What it returns takes the message back. */
    public final Future<?> tellLater(Duration after, M message) {
        return later(after, () -> tell(message));
    }

    public final Future<?> tellFirstLater(Duration after, M message) {
        return later(after, () -> tellFirst(message));
    }

    private Future<?> later(Duration after, Runnable task) {
        try {
            return turns.schedule(task, Math.max(0, after.toNanos()), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.finest("asked for a message after the end");
            return CompletableFuture.completedFuture(null);
        }
    }

    private void turn(Executor executor) {
        try {
            executor.execute(this::run);
        } catch (RejectedExecutionException e) {
            LOG.finest("told after the end");
        }
    }

    private void run() {
        int done = 0;
        for (; done < TURN; done++) {
            M message = urgent.poll();
            message = message == null ? mailbox.poll() : message;
            if (message == null) {
                break;
            }
            try {
                receive(message);
            } catch (RuntimeException | Error e) {
                // one faulty message must not end the actor, and with it every request that it serves; Errors too, as
                // where no descriptor is left the JVM fails with one
                LOG.log(
                        Level.SEVERE,
                        getClass().getSimpleName() + " failed on "
                                + message.getClass().getSimpleName(),
                        e);
            }
        }
        if (waiting.addAndGet(-done) > 0) {
            turn(turns);
        }
    }

    protected abstract void receive(M message);
}

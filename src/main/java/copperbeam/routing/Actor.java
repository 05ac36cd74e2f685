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
 * Base class of actors. An actor owns its state and changes it only while it handles a message. Messages are handled one at
 * a time: urgent ones first, each kind in the order of arrival. Handling a message must be bounded work and must not block.
 */
public abstract class Actor<M> {
    private static final Logger LOG = Logger.getLogger(Actor.class.getName());
    private static final int TURN = 32; // messages handled in a row before other actors get their turn

    private final ConcurrentLinkedQueue<M> mailbox = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<M> urgent = new ConcurrentLinkedQueue<>();
    private final AtomicInteger waiting = new AtomicInteger();
    private final ScheduledExecutorService turns;

    protected Actor(ScheduledExecutorService turns) {
        this.turns = turns;
    }

    /** Sends a message; callable from any thread. */
    public final void tell(M message) {
        add(mailbox, message);
    }

    /**
     * Sends a message that is handled before all waiting messages that are not urgent. For messages that must be acted on
     * within a bounded time, such as a drain, and must not queue behind many new requests. Callable from any thread.
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

    /** Sends a message after a delay, unless the returned future is cancelled before. */
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
            LOG.finest("delayed message dropped: the executor has shut down");
            return CompletableFuture.completedFuture(null);
        }
    }

    private void turn(Executor executor) {
        try {
            executor.execute(this::run);
        } catch (RejectedExecutionException e) {
            LOG.finest("message dropped: the executor has shut down");
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
                // one message that fails must not stop the actor and all requests that it serves; Errors are caught too,
                // since the JVM throws them when it runs out of file descriptors
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

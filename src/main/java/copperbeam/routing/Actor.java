package copperbeam.routing;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Logger;

/**
 * Base class of actors. An actor owns its state and changes it only while it handles a message. Messages are handled one at
 * a time: urgent ones first, each kind in the order of arrival. Handling a message must be bounded work and must not block.
 */
public abstract class Actor<M> {
    private static final Logger LOG = Logger.getLogger(Actor.class.getName());
    private static final int MAX_MESSAGES_PER_TURN = 32; // messages handled in a row before other actors get their turn

    private final ConcurrentLinkedQueue<M> mailbox = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<M> urgentMailbox = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean turnRequested = new AtomicBoolean();
    private final ScheduledExecutorService scheduler;

    protected Actor(ScheduledExecutorService scheduler) {
        this.scheduler = scheduler;
    }

    /** Sends a message; callable from any thread. */
    public final void tell(M message) {
        enqueue(mailbox, message);
    }

    /**
     * Sends a message that is handled before all waiting messages that are not urgent. For messages that must be acted on
     * within a bounded time, such as a drain, and must not queue behind many new requests. Callable from any thread.
     */
    public final void tellUrgent(M message) {
        enqueue(urgentMailbox, message);
    }

    final void tell(boolean isUrgent, M message) {
        enqueue(isUrgent ? urgentMailbox : mailbox, message);
    }

    private void enqueue(ConcurrentLinkedQueue<M> queue, M message) {
        queue.add(message);
        requestTurn();
    }

    /** Sends a message after a delay, unless the returned future is cancelled before. */
    public final Future<?> tellLater(Duration delay, M message) {
        return schedule(delay, () -> tell(message));
    }

    public final Future<?> tellUrgentLater(Duration delay, M message) {
        return schedule(delay, () -> tellUrgent(message));
    }

    private Future<?> schedule(Duration delay, Runnable task) {
        try {
            return scheduler.schedule(task, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            LOG.finest("delayed message dropped: the executor has shut down");
            return CompletableFuture.completedFuture(null);
        }
    }

    /** If the request itself fails, for example as the heap is full, the next message requests a turn for all that wait. */
    private void requestTurn() {
        if (!turnRequested.compareAndSet(false, true)) {
            return;
        }
        try {
            scheduler.execute(this::runTurn);
        } catch (RejectedExecutionException e) {
            LOG.finest("message dropped: the executor has shut down");
        } catch (Error e) {
            turnRequested.set(false);
            throw e;
        }
    }

    private void runTurn() {
        try {
            handleMessages();
        } finally {
            turnRequested.set(false);
            if (!urgentMailbox.isEmpty() || !mailbox.isEmpty()) {
                requestTurn();
            }
        }
    }

    private void handleMessages() {
        for (int handled = 0; handled < MAX_MESSAGES_PER_TURN; handled++) {
            M urgent = urgentMailbox.poll();
            M message = urgent == null ? mailbox.poll() : urgent;
            if (message == null) {
                return;
            }
            try {
                receive(message);
            } catch (RuntimeException | Error e) {
                // one message that fails must not stop the actor and all requests that it serves; Errors are caught
                // too, since the JVM throws them when it runs out of file descriptors
                FailureLog.severe(LOG, () -> describeFailure(message), e);
            }
        }
    }

    private String describeFailure(M message) {
        return getClass().getSimpleName() + " failed on " + message.getClass().getSimpleName();
    }

    protected abstract void receive(M message);
}

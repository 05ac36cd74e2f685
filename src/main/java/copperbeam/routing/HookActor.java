package copperbeam.routing;

import copperbeam.Api.Repeats;
import copperbeam.Api.RequestClass;
import copperbeam.Api.Settings;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Logger;

/**
 * Runs the plug-ins' hooks on a separate thread, one request after another, and passes the requests that they let through on
 * to the decision module. Hooks may refuse a request or change its class, within the protocol's rules.
 */
public final class HookActor extends Actor<HookActor.Message> implements Intake {
    /** Messages of this actor. */
    public sealed interface Message permits RequestArrived {}

    /**
     * A request to run the hooks on. {@code handled}: set by whoever answers the request or passes it on; {@code expiry}: the
     * timer that fails it at its deadline.
     */
    private record RequestArrived(RequestSpec spec, ResponseSink response, AtomicBoolean handled, Future<?> expiry)
            implements Message {
        /** Stops the expiry timer; returns whether the caller is the first to answer the request or pass it on. */
        boolean claim() {
            expiry.cancel(false);
            return handled.compareAndSet(false, true);
        }
    }

    private static final Logger LOG = Logger.getLogger(HookActor.class.getName());

    private final ScheduledExecutorService timers;
    private final Clock clock;
    private final List<RequestHook> hooks;
    private final Settings settings;
    private final Intake next;

    /**
     * {@code timers}: fails requests whose hooks have not finished by the deadline. Must not use the thread on which the hooks
     * run, which a hanging hook blocks.
     */
    public HookActor(
            ScheduledExecutorService hookThread,
            ScheduledExecutorService timers,
            Clock clock,
            List<RequestHook> hooks,
            Settings settings,
            Intake next) {
        super(hookThread);
        this.timers = timers;
        this.clock = clock;
        this.hooks = List.copyOf(hooks);
        this.settings = settings;
        this.next = next;
    }

    @Override
    public void submit(RequestSpec spec, ResponseSink response) {
        AtomicBoolean handled = new AtomicBoolean();
        tell(new RequestArrived(spec, response, handled, scheduleExpiry(spec, response, handled)));
    }

    /** Schedules a failure at the deadline: behind a slow or hanging hook, queued requests would be answered late or never. */
    private Future<?> scheduleExpiry(RequestSpec spec, ResponseSink response, AtomicBoolean handled) {
        Duration remaining = Duration.between(clock.instant(), spec.deadline());
        Runnable expire = () -> {
            if (handled.compareAndSet(false, true)) {
                LOG.warning("plug-ins gave no verdict by the deadline: request " + spec.id());
                response.fail(ResponseSink.Failure.TOO_LATE);
            }
        };
        try {
            return timers.schedule(expire, Math.max(0, remaining.toMillis()), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.finest("request arrived after shutdown of the timers");
            return CompletableFuture.completedFuture(null);
        }
    }

    /** Passes the message on at once, as hooks may be slow. A request that is still queued here is dropped when its turn comes. */
    @Override
    public void clientGone(ResponseSink response) {
        next.clientGone(response);
    }

    @Override
    protected void receive(Message message) {
        RequestArrived arrival = (RequestArrived) message;
        RequestSpec spec = arrival.spec();
        for (RequestHook hook : hooks) {
            if (arrival.response().gone() || arrival.handled().get()) {
                arrival.expiry().cancel(false); // else the timer would keep the request in memory until its deadline
                return;
            }
            RequestHook.Verdict verdict = RequestHook.Verdict.PASS;
            try {
                verdict = hook.onRequest(spec);
            } catch (Exception | Error failure) { // an Error too, or the request would be lost
                LOG.warning("plug-in " + hook.name() + " failed and is skipped: " + failure);
            }
            if (verdict.retryAfter() != null && spec.resumed() && repeatsOf(spec.requestClass()) != Repeats.SAFE) {
                LOG.warning("plug-in " + hook.name() + " may not refuse a request that has run: " + spec.id());
            } else if (verdict.retryAfter() != null) {
                if (arrival.claim()) {
                    arrival.response().refuse(verdict.retryAfter(), false);
                }
                return;
            }
            if (verdict.requestClass() != null) {
                spec = withClass(hook, spec, verdict.requestClass());
            }
        }
        if (arrival.claim()) {
            next.submit(spec, arrival.response());
        }
    }

    /**
     * Returns the request with the class that a hook asks for, or unchanged if that class is unknown or could allow more repeats
     * than the current one: a request that must run only once must not become repeatable.
     */
    private RequestSpec withClass(RequestHook hook, RequestSpec spec, String requestClass) {
        Repeats newRepeats = repeatsOf(requestClass);
        if (newRepeats == null || repeatsOf(spec.requestClass()) != Repeats.SAFE && newRepeats != Repeats.UNSAFE) {
            LOG.warning(
                    "plug-in " + hook.name() + " may not change class " + spec.requestClass() + " to " + requestClass);
            return spec;
        }
        return new RequestSpec(
                spec.id(),
                requestClass,
                spec.customer(),
                spec.session(),
                spec.prefix(),
                spec.promptTokens(),
                spec.prefixTokens(),
                spec.maxAnswerTokens(),
                spec.deadline(),
                spec.resumed(),
                spec.payload());
    }

    private Repeats repeatsOf(String requestClass) {
        return settings.classes().stream()
                .filter(c -> c.name().equals(requestClass))
                .map(RequestClass::repeats)
                .findFirst()
                .orElse(null);
    }
}

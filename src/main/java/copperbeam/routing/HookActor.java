package copperbeam.routing;

import copperbeam.Api.Effect;
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
    public sealed interface Message permits Arrive {}

    /**
     * A request to run the hooks on. {@code handled}: set by whoever answers the request or passes it on; {@code expiry}: the
     * timer that fails it at its deadline.
     */
    private record Arrive(Ask ask, Answer answer, AtomicBoolean handled, Future<?> expiry) implements Message {
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
            ScheduledExecutorService own,
            ScheduledExecutorService timers,
            Clock clock,
            List<RequestHook> hooks,
            Settings settings,
            Intake next) {
        super(own);
        this.timers = timers;
        this.clock = clock;
        this.hooks = List.copyOf(hooks);
        this.settings = settings;
        this.next = next;
    }

    @Override
    public void arrive(Ask ask, Answer answer) {
        AtomicBoolean handled = new AtomicBoolean();
        tell(new Arrive(ask, answer, handled, expiry(ask, answer, handled)));
    }

    /** Schedules a failure at the deadline: behind a slow or hanging hook, queued requests would be answered late or never. */
    private Future<?> expiry(Ask ask, Answer answer, AtomicBoolean handled) {
        Duration left = Duration.between(clock.instant(), ask.deadline());
        Runnable expire = () -> {
            if (handled.compareAndSet(false, true)) {
                LOG.warning("plug-ins gave no verdict by the deadline: request " + ask.id());
                answer.fail(Answer.Failure.TOO_LATE);
            }
        };
        try {
            return timers.schedule(expire, Math.max(0, left.toMillis()), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.finest("request arrived after shutdown of the timers");
            return CompletableFuture.completedFuture(null);
        }
    }

    /** Passes the message on at once, as hooks may be slow. A request that is still queued here is dropped when its turn comes. */
    @Override
    public void left(Answer answer) {
        next.left(answer);
    }

    @Override
    protected void receive(Message m) {
        Arrive e = (Arrive) m;
        Ask ask = e.ask();
        for (RequestHook hook : hooks) {
            if (e.answer().gone() || e.handled().get()) {
                return;
            }
            RequestHook.Verdict verdict = RequestHook.Verdict.PASS;
            try {
                verdict = hook.onRequest(ask);
            } catch (Exception | Error failure) { // an Error too, or the request would be lost
                LOG.warning("plug-in " + hook.name() + " failed and is skipped: " + failure);
            }
            if (verdict.refuseFor() != null && ask.resumed() && effect(ask.requestClass()) != Effect.SAFE) {
                LOG.warning("plug-in " + hook.name() + " may not refuse a request that has run: " + ask.id());
            } else if (verdict.refuseFor() != null) {
                if (e.claim()) {
                    e.answer().refuse(verdict.refuseFor(), false);
                }
                return;
            }
            if (verdict.requestClass() != null) {
                ask = changed(hook, ask, verdict.requestClass());
            }
        }
        if (e.claim()) {
            next.arrive(ask, e.answer());
        }
    }

    /**
     * Returns the request with the class that a hook asks for, or unchanged if that class is unknown or could allow more repeats
     * than the current one: a request that must run only once must not become repeatable.
     */
    private Ask changed(RequestHook hook, Ask ask, String name) {
        Effect effect = effect(name);
        if (effect == null || effect(ask.requestClass()) != Effect.SAFE && effect != Effect.UNSAFE) {
            LOG.warning("plug-in " + hook.name() + " may not change class " + ask.requestClass() + " to " + name);
            return ask;
        }
        return new Ask(
                ask.id(),
                name,
                ask.customer(),
                ask.session(),
                ask.prefix(),
                ask.promptTokens(),
                ask.prefixTokens(),
                ask.maxAnswerTokens(),
                ask.deadline(),
                ask.resumed(),
                ask.payload());
    }

    private Effect effect(String name) {
        return settings.classes().stream()
                .filter(c -> c.name().equals(name))
                .map(RequestClass::effect)
                .findFirst()
                .orElse(null);
    }
}

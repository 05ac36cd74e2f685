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
 * Runs the hooks on a thread of their own, one request after another, and hands on to the module what they
 * let pass. They may refuse and may change a class; the rules stay as they are.
 */
public final class HookActor extends Actor<HookActor.Message> implements Intake {
    /** What this actor is told. */
    public sealed interface Message permits Arrive {}

    /** {@code handled}: set by whoever answers the request or hands it on; {@code expiry}: answers it at its deadline. */
    private record Arrive(Ask ask, Answer answer, AtomicBoolean handled, Future<?> expiry) implements Message {
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
     * {@code timers}: runs what answers a request whose hooks have not come to an end by its deadline; not the thread on
     * which the hooks run, as one that hangs holds that up.
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

    /** Guards against a hook that hangs or is slow: each request behind it would get its answer late or never. */
    private Future<?> expiry(Ask ask, Answer answer, AtomicBoolean handled) {
        Duration left = Duration.between(clock.instant(), ask.deadline());
        Runnable expire = () -> {
            if (handled.compareAndSet(false, true)) {
                LOG.warning("no verdict of the plug-ins by its deadline: " + ask.id());
                answer.fail(Answer.Failure.TOO_LATE);
            }
        };
        try {
            return timers.schedule(expire, Math.max(0, left.toMillis()), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            LOG.finest("asked after the end");
            return CompletableFuture.completedFuture(null);
        }
    }

    /** At once: hooks may take their time. What is still here or behind is not handed on. */
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
            } catch (Exception | Error failure) { // an Error too: the request would be lost
                LOG.warning("plug-in " + hook.name() + " is passed over: " + failure);
            }
            if (verdict.refuseFor() != null && ask.resumed() && effect(ask.requestClass()) != Effect.SAFE) {
                LOG.warning("plug-in " + hook.name() + " may not refuse what has run: " + ask.id());
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

    /** Guards the once-only rule: a request keeps a class that may be repeated less than the one it would get. */
    private Ask changed(RequestHook hook, Ask ask, String name) {
        Effect effect = effect(name);
        if (effect == null || effect(ask.requestClass()) != Effect.SAFE && effect != Effect.UNSAFE) {
            LOG.warning("plug-in " + hook.name() + " may not turn " + ask.requestClass() + " into " + name);
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

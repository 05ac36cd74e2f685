package copperbeam.routing;

import copperbeam.Api.Effect;
import copperbeam.Api.RequestClass;
import copperbeam.Api.Settings;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.logging.Logger;

/**
 * Runs the hooks on a thread of their own, one request after another, and hands on to the module what they
 * let pass. They may refuse and may change a class; the rules stay as they are.
 */
public final class HookActor extends Actor<HookActor.Message> implements Intake {
    public sealed interface Message permits Arrive {}

    private record Arrive(Ask ask, Answer answer) implements Message {}

    private static final Logger LOG = Logger.getLogger(HookActor.class.getName());

    private final List<RequestHook> hooks;
    private final Settings settings;
    private final Intake next;

    public HookActor(ScheduledExecutorService own, List<RequestHook> hooks, Settings settings, Intake next) {
        super(own);
        this.hooks = List.copyOf(hooks);
        this.settings = settings;
        this.next = next;
    }

    @Override
    public void arrive(Ask ask, Answer answer) {
        tell(new Arrive(ask, answer));
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
            if (e.answer().gone()) {
                return;
            }
            RequestHook.Verdict verdict = RequestHook.Verdict.PASS;
            try {
                verdict = hook.onRequest(ask);
            } catch (Exception failure) {
                LOG.warning("plug-in " + hook.name() + " is passed over: " + failure.getMessage());
            }
            if (verdict.refuseFor() != null && ask.resumed() && effect(ask.requestClass()) != Effect.SAFE) {
                LOG.warning("plug-in " + hook.name() + " may not refuse what has run: " + ask.id());
            } else if (verdict.refuseFor() != null) {
                e.answer().refuse(verdict.refuseFor(), false);
                return;
            }
            if (verdict.requestClass() != null) {
                ask = changed(hook, ask, verdict.requestClass());
            }
        }
        next.arrive(ask, e.answer());
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

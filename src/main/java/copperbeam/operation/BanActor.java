package copperbeam.operation;

import copperbeam.membership.Bans;
import copperbeam.routing.Actor;
import copperbeam.routing.ListActor;
import copperbeam.routing.MembershipSource.Change;
import java.time.Clock;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

/** Owns the set of banned servers, and applies it to all changes of the list on their way to {@link ListActor}. */
public final class BanActor extends Actor<BanActor.Message> {
    /** Messages to this actor. */
    public sealed interface Message permits Told, Out, Listed {}

    /** A change reported by the source of the list. */
    public record Told(Change change) implements Message {}

    /** Replaces the set of banned servers; {@code onApplied} runs once the module has the change. */
    public record Out(Set<String> out, Runnable acted) implements Message {}

    /** Asks whether the server is in the list. */
    public record Listed(String server, Consumer<Boolean> answer) implements Message {}

    private final Bans bans = new Bans();
    private final Clock clock;
    private final ListActor list;

    public BanActor(ScheduledExecutorService turns, Clock clock, ListActor list) {
        super(turns);
        this.clock = clock;
        this.list = list;
    }

    @Override
    protected void receive(Message m) {
        if (m instanceof Told e) {
            list.tell(new ListActor.Told(bans.told(e.change()), null));
        } else if (m instanceof Out e) {
            list.tell(new ListActor.Told(bans.set(e.out(), clock.instant()), e.acted()));
        } else if (m instanceof Listed e) {
            e.answer().accept(bans.lists(e.server()));
        }
    }
}

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
    public sealed interface Message permits ListChanged, SetBans, QueryListed {}

    /** A change reported by the source of the list. */
    public record ListChanged(Change change) implements Message {}

    /** Replaces the set of banned servers; {@code onApplied} runs once the module has the change. */
    public record SetBans(Set<String> bannedServers, Runnable onApplied) implements Message {}

    /** Asks whether the server is in the list. */
    public record QueryListed(String server, Consumer<Boolean> reply) implements Message {}

    private final Bans bans = new Bans();
    private final Clock clock;
    private final ListActor listActor;

    public BanActor(ScheduledExecutorService scheduler, Clock clock, ListActor listActor) {
        super(scheduler);
        this.clock = clock;
        this.listActor = listActor;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof ListChanged e) {
            listActor.tell(new ListActor.ListChanged(bans.applyListChange(e.change()), null));
        } else if (message instanceof SetBans e) {
            listActor.tell(
                    new ListActor.ListChanged(bans.setBanned(e.bannedServers(), clock.instant()), e.onApplied()));
        } else if (message instanceof QueryListed e) {
            e.reply().accept(bans.isListed(e.server()));
        }
    }
}

package copperbeam.routing;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Owns what must be let go. Any running server takes the word for all, so a release is tried at one server
 * after another until one has heard it. Guards against states left pinned because the one asked was down.
 */
public final class ReleaseActor extends Actor<ReleaseActor.Message> {
    public sealed interface Message permits Listed, Release, Tried, Hedge, Again, Drain {}

    public record Listed(Map<String, PeerActor> peers) implements Message {}

    /** {@code first}: the server asked first, or null. {@code twice}: said again a little later. */
    public record Release(String id, String first, boolean twice) implements Message {}

    public record Tried(long ticket, String at, boolean heard) implements Message {}

    /** Runs {@code idle} as soon as nothing is left to let go. */
    public record Drain(Runnable idle) implements Message {}

    private record Hedge(long ticket, int tries) implements Message {}

    private record Again(String id) implements Message {}

    private static final Duration HEDGE = Duration.ofMillis(120); // silence after which another is asked too
    private static final Duration AGAIN = Duration.ofMillis(250); // for a read that may have ended as it was cut

    private static final class Open {
        final String id;
        final Instant giveUp;
        final Set<String> tried = new HashSet<>();
        int tries;

        Open(String id, Instant giveUp) {
            this.id = id;
            this.giveUp = giveUp;
        }
    }

    private final Clock clock;
    private final Duration within;
    private final Map<Long, Open> open = new HashMap<>();
    private final Set<String> heardFrom = new HashSet<>();
    private Map<String, PeerActor> peers = Map.of();
    private final Map<Long, String> lastAsked = new HashMap<>();
    private long tickets;
    private int later;
    private int turn;
    private Runnable idle;

    /** {@code within}: tried for so long. */
    public ReleaseActor(ScheduledExecutorService turns, Clock clock, Duration within) {
        super(turns);
        this.clock = clock;
        this.within = within;
    }

    @Override
    protected void receive(Message m) {
        if (m instanceof Listed e) {
            peers = e.peers();
            heardFrom.retainAll(peers.keySet());
        } else if (m instanceof Release e) {
            begin(e.id(), e.first());
            if (e.twice()) {
                later++;
                tellLater(AGAIN, new Again(e.id()));
            }
        } else if (m instanceof Again e) {
            later--;
            begin(e.id(), null);
        } else if (m instanceof Tried e) {
            tried(e);
        } else if (m instanceof Hedge e) {
            Open o = open.get(e.ticket());
            if (o != null && o.tries == e.tries()) {
                heardFrom.remove(lastAsked.get(e.ticket()));
                ask(e.ticket(), o, null);
            }
        } else if (m instanceof Drain e) {
            idle = e.idle();
        }
        if (idle != null && open.isEmpty() && later == 0) {
            idle.run();
            idle = null;
        }
    }

    private void begin(String id, String first) {
        Open o = new Open(id, clock.instant().plus(within));
        long ticket = tickets++;
        open.put(ticket, o);
        ask(ticket, o, first);
    }

    private void tried(Tried e) {
        Open o = open.get(e.ticket());
        if (e.heard()) {
            if (peers.containsKey(e.at())) {
                heardFrom.add(e.at());
            }
            open.remove(e.ticket());
            lastAsked.remove(e.ticket());
        } else if (o != null) {
            heardFrom.remove(e.at());
            // the word of one that was asked before is no reason to ask a third
            if (e.at().equals(lastAsked.get(e.ticket()))) {
                ask(e.ticket(), o, null);
            }
        }
    }

    private void ask(long ticket, Open o, String first) {
        if (clock.instant().isAfter(o.giveUp) || peers.isEmpty()) {
            open.remove(ticket);
            lastAsked.remove(ticket);
            return;
        }
        String to = first != null && peers.containsKey(first) ? first : next(o);
        o.tried.add(to);
        o.tries++;
        lastAsked.put(ticket, to);
        peers.get(to).tell(new PeerActor.Release(ticket, o.id));
        tellLater(HEDGE, new Hedge(ticket, o.tries));
    }

    /** One not tried yet, and of these rather one that has heard before. */
    private String next(Open o) {
        List<String> left = new ArrayList<>(peers.keySet());
        if (!o.tried.containsAll(left)) {
            left.removeAll(o.tried);
        }
        List<String> good = new ArrayList<>(left);
        good.retainAll(heardFrom);
        left = good.isEmpty() ? left : good;
        return left.get(Math.floorMod(turn++, left.size()));
    }
}

package copperbeam.routing;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Owns what must be let go. Any running server takes the word for all, so a release is tried at one server
 * after another, at four times as many after each silence, until one has heard it. Guards against states left pinned
 * because the one asked was down, or four in five are.
 */
public final class ReleaseActor extends Actor<ReleaseActor.Message> {
    /** What this actor is told. */
    public sealed interface Message permits Listed, Release, Taken, Tried, Hedge, Again, Drain {}

    /** The servers that can be asked now, by their ids. */
    public record Listed(Map<String, PeerActor> peers) implements Message {}

    /**
     * {@code first}: the server asked first, or null. {@code until}: null, or so long a read may yet end well there, whose
     * connection was closed or broke: the release is said again and again until that server itself has heard it, and once more.
     */
    public record Release(String id, String first, Instant until) implements Message {}

    /** An attempt is out again: what a cut read may yet leave is let go after it. */
    public record Taken(String id) implements Message {}

    /** One server was asked for a release; {@code heard}: it confirmed. */
    public record Tried(long ticket, String at, boolean heard) implements Message {}

    /** Runs {@code idle} as soon as nothing is left to let go. */
    public record Drain(Runnable idle) implements Message {}

    private record Hedge(long ticket, int step) implements Message {}

    private record Again(long ticket) implements Message {}

    private static final Duration HEDGE = Duration.ofMillis(120); // silence after which others are asked too
    private static final Duration AGAIN = Duration.ofMillis(250); // for a read that may have ended as it was cut
    private static final int WIDER = 4; // at so many times as many after each silence
    private static final int MOST_AT_ONCE = 1024;
    private static final int MOST_AGAIN = 8; // the same once all have been asked: as where nothing can be reached
    private static final int OUTLASTS = 16; // times the usual, where nobody has heard: an outage or a cut from all

    private static final class Open {
        final String id;
        final String first;
        Instant until;
        Instant giveUp;
        boolean resting; // heard, and to be said again
        boolean heard; // by some server, ever
        boolean heardFirst; // by the server that may yet hold something
        final Instant askedAt;
        final Set<String> tried = new HashSet<>();
        final Set<String> out = new HashSet<>();
        int step;
        int width = 1;
        int most;
        boolean late; // nobody has heard in the usual time: asked on, one at a time

        Open(Release order, Instant askedAt) {
            this.askedAt = askedAt;
            id = order.id();
            first = order.first();
            until = order.until();
        }
    }

    private final Clock clock;
    private final RequestLog log;
    private final Duration within;
    private final Duration hedge;
    private final Map<Long, Open> open = new HashMap<>();
    private final Set<String> heardFrom = new HashSet<>();
    private Map<String, PeerActor> peers = Map.of();
    private long tickets;
    private int turn;
    private Runnable idle;

    /** {@code within}: tried for so long. */
    public ReleaseActor(ScheduledExecutorService turns, Clock clock, Duration within) {
        super(turns);
        this.clock = clock;
        log = new RequestLog(clock);
        this.within = within;
        // three of them, by which 85 servers have been asked, fit into the half of release_s that is left for them
        Duration share = within.dividedBy(16);
        hedge = share.compareTo(HEDGE) < 0 ? share : HEDGE;
    }

    @Override
    protected void receive(Message m) {
        if (m instanceof Listed e) {
            peers = e.peers();
            heardFrom.retainAll(peers.keySet());
        } else if (m instanceof Release e) {
            open.values().removeIf(o -> o.id.equals(e.id()) && Objects.equals(o.first, e.first())); // said anew
            open.put(++tickets, new Open(e, clock.instant()));
            begin(tickets);
        } else if (m instanceof Taken e) {
            open.values().removeIf(o -> o.id.equals(e.id()) && o.resting);
            open.values().stream().filter(o -> o.id.equals(e.id())).forEach(o -> o.until = null);
        } else if (m instanceof Again e && open.containsKey(e.ticket())) {
            begin(e.ticket());
        } else if (m instanceof Tried e) {
            tried(e);
        } else if (m instanceof Hedge e) {
            Open o = open.get(e.ticket());
            if (o != null && !o.resting && o.step == e.step()) {
                heardFrom.removeAll(o.out);
                o.width = Math.min(WIDER * o.width, o.most);
                ask(e.ticket(), o);
            }
        } else if (m instanceof Drain e) {
            idle = e.idle();
            open.values().removeIf(o -> o.late);
        }
        if (idle != null && open.isEmpty()) {
            idle.run();
            idle = null;
        }
    }

    private void begin(long ticket) {
        Open o = open.get(ticket);
        o.giveUp = clock.instant().plus(within);
        o.until = o.heardFirst ? null : o.until;
        o.resting = false;
        o.width = 1;
        o.most = MOST_AT_ONCE;
        o.tried.clear();
        o.out.clear();
        ask(ticket, o);
    }

    private void tried(Tried e) {
        Open o = open.get(e.ticket());
        if (!e.heard()) {
            heardFrom.remove(e.at());
        } else if (peers.containsKey(e.at())) {
            heardFrom.add(e.at());
        }
        if (o == null) {
            return;
        }
        o.out.remove(e.at());
        o.heard |= e.heard();
        o.heardFirst |= e.heard() && e.at().equals(o.first);
        if (e.heard() && !o.resting) {
            if (o.tried.size() > 1) {
                log.note(o.id, "its release was heard by " + e.at() + ", of " + asked(o));
            }
            over(e.ticket(), o);
            // the outage is over, for this one and so for the others
            new HashMap<>(open).forEach((ticket, other) -> {
                if (other.late) {
                    ask(ticket, other);
                }
            });
        } else if (!o.resting && !o.late && o.out.isEmpty() && !o.tried.containsAll(peers.keySet())) {
            ask(e.ticket(), o); // where all have failed, not before the next hedge: refusals come at once
        }
    }

    private void ask(long ticket, Open o) {
        Instant now = clock.instant();
        o.late = now.isAfter(o.giveUp);
        boolean outlasted = now.isAfter(o.giveUp.plus(within.multipliedBy(OUTLASTS)));
        if (o.late && (o.heard || idle != null || outlasted)) {
            if (!o.heard) {
                log.note(o.id, "its release is given up, heard by none of " + asked(o));
            }
            over(ticket, o);
            return;
        }
        o.width = o.late ? 1 : o.width;
        if (o.tried.containsAll(peers.keySet())) {
            o.tried.clear();
            o.most = peers.isEmpty() ? o.most : MOST_AGAIN;
            o.width = Math.min(o.width, o.most);
        }
        o.step++;
        for (int i = 0; i < o.width && !o.tried.containsAll(peers.keySet()); i++) {
            String to = next(o);
            o.tried.add(to);
            o.out.add(to);
            peers.get(to).tellFirst(new PeerActor.Release(ticket, o.id));
        }
        tellFirstLater(o.late ? within.dividedBy(2) : hedge, new Hedge(ticket, o.step));
    }

    private String asked(Open o) {
        return o.tried.size() + " servers asked in "
                + Duration.between(o.askedAt, clock.instant()).toMillis() + " ms";
    }

    private void over(long ticket, Open o) {
        if (o.until == null || clock.instant().isAfter(o.until)) {
            open.remove(ticket);
        } else {
            o.resting = true;
            tellLater(o.heardFirst ? AGAIN : within.dividedBy(4), new Again(ticket));
        }
    }

    /** One not tried yet, and of these rather one that has heard before. */
    private String next(Open o) {
        if (o.first != null && peers.containsKey(o.first) && !o.tried.contains(o.first)) {
            return o.first;
        }
        List<String> left = new ArrayList<>(peers.keySet());
        left.removeAll(o.tried);
        List<String> good = new ArrayList<>(left);
        good.retainAll(heardFrom);
        left = good.isEmpty() ? left : good;
        return left.get(Math.floorMod(turn++, left.size()));
    }
}

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
 * Delivers releases of read states. Any running server accepts a release on behalf of all, so a release is tried at one
 * server after another, and at four times as many after each period without an answer, until one confirms it. Guards against
 * states that stay pinned because the server asked was down, or because four in five servers are.
 */
public final class ReleaseActor extends Actor<ReleaseActor.Message> {
    /** Messages of this actor. */
    public sealed interface Message permits Listed, Release, Taken, Tried, Hedge, Again, Drain {}

    /** The servers that can be asked now, by id. */
    public record Listed(Map<String, PeerActor> peers) implements Message {}

    /**
     * Releases the read state of the request with this id. {@code preferredServer}: the server asked first, or null.
     * {@code readMayEndUntil}: null, or the time until which an interrupted read at that server may still succeed; until then the
     * release is repeated, but only once more after that server itself has confirmed it.
     */
    public record Release(String id, String first, Instant until) implements Message {}

    /** A new attempt of the request is in flight: stops the repeats; states that interrupted reads leave are released after it. */
    public record Taken(String id) implements Message {}

    /** Result of asking one server for a release; {@code confirmed}: the server confirmed it. */
    public record Tried(long ticket, String at, boolean heard) implements Message {}

    /** Runs {@code onIdle} as soon as no release is pending; overdue releases are abandoned. */
    public record Drain(Runnable idle) implements Message {}

    private record Hedge(long ticket, int step) implements Message {}

    private record Again(long ticket) implements Message {}

    private static final Duration HEDGE = Duration.ofMillis(120); // longest time without an answer until more servers are asked
    // delay of the last repeat: the preferred server may have confirmed just before its interrupted read succeeded
    private static final Duration AGAIN = Duration.ofMillis(250);
    private static final int WIDER = 4; // growth of the number of servers asked, after each hedge delay
    private static final int MOST_AT_ONCE = 1024; // servers asked in one round
    private static final int MOST_AGAIN = 8; // the same once all servers have been asked, as when none is reachable
    // once overdue, an unconfirmed release is tried for this many times the usual time, to outlast an outage or a partition
    private static final int OUTLASTS = 16;

    private static final class Open {
        final String id;
        final String first;
        Instant until;
        Instant giveUp;
        boolean resting; // this round is done, the next one is scheduled
        boolean heard; // by any server, in any round
        boolean heardFirst; // by the server that may still hold a state
        final Instant askedAt;
        final Set<String> tried = new HashSet<>();
        final Set<String> out = new HashSet<>();
        int step;
        int width = 1;
        int most;
        boolean late; // not confirmed within the usual time: servers are asked one at a time

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

    /** {@code tryDuration}: how long a release is usually tried. */
    public ReleaseActor(ScheduledExecutorService turns, Clock clock, Duration within) {
        super(turns);
        this.clock = clock;
        log = new RequestLog(clock);
        this.within = within;
        // three hedges, after which 85 servers have been asked, fit into the half of release_s that is left for releases
        Duration share = within.dividedBy(16);
        hedge = share.compareTo(HEDGE) < 0 ? share : HEDGE;
    }

    @Override
    protected void receive(Message m) {
        if (m instanceof Listed e) {
            peers = e.peers();
            heardFrom.retainAll(peers.keySet());
        } else if (m instanceof Release e) {
            open.values().removeIf(o -> o.id.equals(e.id()) && Objects.equals(o.first, e.first())); // replaced by the new one
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
                log.note(o.id, "release confirmed by " + e.at() + ", of " + asked(o));
            }
            over(e.ticket(), o);
            // the outage is over: ask again for all other overdue releases
            new HashMap<>(open).forEach((ticket, other) -> {
                if (other.late) {
                    ask(ticket, other);
                }
            });
        } else if (!o.resting && !o.late && o.out.isEmpty() && !o.tried.containsAll(peers.keySet())) {
            ask(e.ticket(), o); // once all have failed, wait for the next hedge: refused connections fail at once
        }
    }

    private void ask(long ticket, Open o) {
        Instant now = clock.instant();
        o.late = now.isAfter(o.giveUp);
        boolean outlasted = now.isAfter(o.giveUp.plus(within.multipliedBy(OUTLASTS)));
        if (o.late && (o.heard || idle != null || outlasted)) {
            if (!o.heard) {
                log.note(o.id, "release abandoned, confirmed by none of " + asked(o));
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

    /** Returns a server not tried yet: the preferred one if possible, else rather one that has confirmed a release before. */
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

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
 * server after another, and at four times as many after each period without an answer, until one confirms it. Guards
 * against read states that stay in memory because the server asked first is down, or even four in five of all servers.
 */
public final class ReleaseActor extends Actor<ReleaseActor.Message> {
    /** Messages of this actor. */
    public sealed interface Message
            permits ServersListed, Release, AttemptStarted, ReleaseTried, Hedge, Repeat, Drain {}

    /** The servers that can be asked now, by id. */
    public record ServersListed(Map<String, PeerActor> peers) implements Message {}

    /**
     * Releases the read state of the request with this id. {@code preferredServer}: the server asked first, or null.
     * {@code readMayEndUntil}: null, or the time until which an interrupted read at that server may still succeed; until then the
     * release is repeated, but only once more after that server itself has confirmed it.
     */
    public record Release(String requestId, String preferredServer, Instant readMayEndUntil) implements Message {}

    /** A new attempt of the request is in flight: stops the repeats; states that interrupted reads leave are released after it. */
    public record AttemptStarted(String requestId) implements Message {}

    /** Result of asking one server for a release; {@code confirmed}: the server confirmed it. */
    public record ReleaseTried(long ticket, String server, boolean confirmed) implements Message {}

    /** Runs {@code onIdle} as soon as no release is pending; overdue releases are abandoned. */
    public record Drain(Runnable onIdle) implements Message {}

    private record Hedge(long ticket, int round) implements Message {}

    private record Repeat(long ticket) implements Message {}

    private static final Duration MAX_HEDGE_DELAY =
            Duration.ofMillis(120); // longest time without an answer until more servers are asked
    // delay of the last repeat: the preferred server may have confirmed just before its interrupted read succeeded
    private static final Duration LAST_REPEAT_DELAY = Duration.ofMillis(250);
    private static final int FANOUT_FACTOR = 4; // growth of the number of servers asked, after each hedge delay
    private static final int MAX_FANOUT = 1024; // servers asked in one round
    private static final int MAX_REPEAT_FANOUT =
            8; // the same once all servers have been asked, as when none is reachable
    // once overdue, an unconfirmed release is tried for this many times the usual time, to outlast an outage or a
    // partition
    private static final int GIVE_UP_FACTOR = 16;

    private static final class PendingRelease {
        final String requestId;
        final String preferredServer;
        Instant readMayEndUntil;
        Instant overdueAt;
        boolean awaitsRepeat; // this round is done, the next one is scheduled
        boolean confirmed; // by any server, in any round
        boolean confirmedByPreferred; // by the server that may still hold a state
        final Instant startedAt;
        final Set<String> tried = new HashSet<>();
        final Set<String> unanswered = new HashSet<>();
        int round;
        int fanout = 1;
        int maxFanout;
        boolean overdue; // not confirmed within the usual time: servers are asked one at a time

        PendingRelease(Release release, Instant startedAt) {
            this.startedAt = startedAt;
            requestId = release.requestId();
            preferredServer = release.preferredServer();
            readMayEndUntil = release.readMayEndUntil();
        }
    }

    private final Clock clock;
    private final RequestLog requestLog;
    private final Duration tryDuration;
    private final Duration hedgeDelay;
    private final Map<Long, PendingRelease> pending = new HashMap<>();
    private final Set<String> responsive = new HashSet<>();
    private Map<String, PeerActor> peers = Map.of();
    private long lastTicket;
    private int nextIndex;
    private Runnable onIdle;

    /** {@code tryDuration}: how long a release is usually tried. */
    public ReleaseActor(ScheduledExecutorService scheduler, Clock clock, Duration tryDuration) {
        super(scheduler);
        this.clock = clock;
        requestLog = new RequestLog(clock);
        this.tryDuration = tryDuration;
        // three hedges, after which 85 servers have been asked, fit into the half of release_s that is left for
        // releases
        Duration scaledDelay = tryDuration.dividedBy(16);
        hedgeDelay = scaledDelay.compareTo(MAX_HEDGE_DELAY) < 0 ? scaledDelay : MAX_HEDGE_DELAY;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof ServersListed received) {
            peers = received.peers();
            responsive.retainAll(peers.keySet());
        } else if (message instanceof Release received) {
            pending.values()
                    .removeIf(release -> release.requestId.equals(received.requestId())
                            && Objects.equals(
                                    release.preferredServer, received.preferredServer())); // replaced by the new one
            pending.put(++lastTicket, new PendingRelease(received, clock.instant()));
            startRounds(lastTicket);
        } else if (message instanceof AttemptStarted received) {
            pending.values()
                    .removeIf(release -> release.requestId.equals(received.requestId()) && release.awaitsRepeat);
            pending.values().stream()
                    .filter(release -> release.requestId.equals(received.requestId()))
                    .forEach(release -> release.readMayEndUntil = null);
        } else if (message instanceof Repeat received && pending.containsKey(received.ticket())) {
            startRounds(received.ticket());
        } else if (message instanceof ReleaseTried received) {
            onReleaseTried(received);
        } else if (message instanceof Hedge received) {
            PendingRelease release = pending.get(received.ticket());
            if (release != null && !release.awaitsRepeat && release.round == received.round()) {
                responsive.removeAll(release.unanswered);
                release.fanout = Math.min(FANOUT_FACTOR * release.fanout, release.maxFanout);
                askServers(received.ticket(), release);
            }
        } else if (message instanceof Drain received) {
            onIdle = received.onIdle();
            pending.values().removeIf(release -> release.overdue);
        }
        if (onIdle != null && pending.isEmpty()) {
            onIdle.run();
            onIdle = null;
        }
    }

    private void startRounds(long ticket) {
        PendingRelease release = pending.get(ticket);
        release.overdueAt = clock.instant().plus(tryDuration);
        release.readMayEndUntil = release.confirmedByPreferred ? null : release.readMayEndUntil;
        release.awaitsRepeat = false;
        release.fanout = 1;
        release.maxFanout = MAX_FANOUT;
        release.tried.clear();
        release.unanswered.clear();
        askServers(ticket, release);
    }

    private void onReleaseTried(ReleaseTried result) {
        PendingRelease release = pending.get(result.ticket());
        if (!result.confirmed()) {
            responsive.remove(result.server());
        } else if (peers.containsKey(result.server())) {
            responsive.add(result.server());
        }
        if (release == null) {
            return;
        }
        release.unanswered.remove(result.server());
        release.confirmed |= result.confirmed();
        release.confirmedByPreferred |= result.confirmed() && result.server().equals(release.preferredServer);
        if (result.confirmed() && !release.awaitsRepeat) {
            if (release.tried.size() > 1) {
                requestLog.note(
                        release.requestId,
                        "release confirmed by " + result.server() + ", of " + describeAsked(release));
            }
            endRounds(result.ticket(), release);
            // the outage is over: ask again for all other overdue releases that wait for no answer
            new HashMap<>(pending).forEach((ticket, other) -> {
                if (other.overdue && other.unanswered.isEmpty()) {
                    askServers(ticket, other);
                }
            });
        } else if (!release.awaitsRepeat
                && !release.overdue
                && release.unanswered.isEmpty()
                && !release.tried.containsAll(peers.keySet())) {
            askServers(
                    result.ticket(),
                    release); // once all have failed, wait for the next hedge: refused connections fail at once
        }
    }

    private void askServers(long ticket, PendingRelease release) {
        Instant now = clock.instant();
        boolean wasOverdue = release.overdue;
        release.overdue = now.isAfter(release.overdueAt);
        if (release.overdue && !wasOverdue && !release.confirmed) {
            requestLog.note(release.requestId, "release overdue, confirmed by none of " + describeAsked(release));
        }
        boolean expired = now.isAfter(release.overdueAt.plus(tryDuration.multipliedBy(GIVE_UP_FACTOR)));
        if (release.overdue && (release.confirmed || onIdle != null || expired)) {
            if (!release.confirmed) {
                requestLog.note(release.requestId, "release abandoned, confirmed by none of " + describeAsked(release));
            }
            endRounds(ticket, release);
            return;
        }
        release.fanout = release.overdue ? 1 : release.fanout;
        if (release.tried.containsAll(peers.keySet())) {
            release.tried.clear();
            release.maxFanout = peers.isEmpty() ? release.maxFanout : MAX_REPEAT_FANOUT;
            release.fanout = Math.min(release.fanout, release.maxFanout);
        }
        release.round++;
        for (int i = 0; i < release.fanout && !release.tried.containsAll(peers.keySet()); i++) {
            String server = nextServer(release);
            release.tried.add(server);
            release.unanswered.add(server);
            peers.get(server).tellUrgent(new PeerActor.Release(ticket, release.requestId));
        }
        tellUrgentLater(release.overdue ? tryDuration.dividedBy(2) : hedgeDelay, new Hedge(ticket, release.round));
    }

    private String describeAsked(PendingRelease release) {
        return release.tried.size() + " servers asked in "
                + Duration.between(release.startedAt, clock.instant()).toMillis() + " ms";
    }

    private void endRounds(long ticket, PendingRelease release) {
        if (release.readMayEndUntil == null || clock.instant().isAfter(release.readMayEndUntil)) {
            pending.remove(ticket);
        } else {
            release.awaitsRepeat = true;
            tellLater(release.confirmedByPreferred ? LAST_REPEAT_DELAY : tryDuration.dividedBy(4), new Repeat(ticket));
        }
    }

    /** Returns a server not tried yet: the preferred one if possible, else rather one that has confirmed a release before. */
    private String nextServer(PendingRelease release) {
        if (release.preferredServer != null
                && peers.containsKey(release.preferredServer)
                && !release.tried.contains(release.preferredServer)) {
            return release.preferredServer;
        }
        List<String> untried = new ArrayList<>(peers.keySet());
        untried.removeAll(release.tried);
        List<String> preferred = new ArrayList<>(untried);
        preferred.retainAll(responsive);
        untried = preferred.isEmpty() ? untried : preferred;
        return untried.get(Math.floorMod(nextIndex++, untried.size()));
    }
}

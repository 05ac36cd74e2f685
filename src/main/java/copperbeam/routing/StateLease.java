package copperbeam.routing;

import copperbeam.Api.Outcome;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Lease of the read state that servers may hold for one request. The state has to be taken by an attempt or released within
 * the settings' {@code release_s} after the end of the last attempt that arrived at its server. Whether an attempt without an
 * answer arrived is unknown (its server may be cut off, its connection dead). So only an answer renews the lease, and an
 * attempt in flight does not suspend it. Does no I/O and reads no clock.
 */
final class StateLease {
    // Shares of release_s that may pass since the start of the lease. Each leaves time for a release to reach some
    // server before the whole has passed.
    private static final double IDLE_SHARE = 0.5; // until the state is released while no attempt is in flight

    private static final double UNANSWERED_SHARE = 0.85; // until it is released beside an attempt in flight
    private static final double CONNECT_SHARE = 0.6; // until an attempt's connection must be up
    // minimum time for a connect after an interrupted read while no state is known to be held; it may exceed
    // a very short release_s by no more than the protocol allows a release to be late
    private static final double MIN_CONNECT_S = 0.1;

    /** Failed outcomes after which the server may still have had a state for the attempt, or may yet have one, and hold it. */
    private static final Set<Outcome> MAY_LEAVE_STATE =
            EnumSet.of(Outcome.CANCELLED, Outcome.TIMED_OUT, Outcome.RESET, Outcome.STALE, Outcome.ERROR);

    private final Duration duration;
    private final List<String> interruptedServers = new ArrayList<>();
    private String lastReader;
    private boolean lastAtReader; // the last attempt is at a reader
    private Instant leaseStart; // null while nothing is held
    private boolean releaseUncertain; // released since the last read; servers keep a state for which an attempt waits

    /** {@code releaseS}: the settings' {@code release_s}, the time in seconds for which a state may stay held. */
    StateLease(double releaseS) {
        duration = ModuleTime.duration(releaseS);
    }

    /**
     * Servers whose attempts were interrupted: readers, each of which may hold a state, or come to hold one, without having
     * reported it; and writers at which an attempt may have waited for a state. Until such a writer notices the end of its
     * attempt, which a release on another connection may overtake, a release has no effect.
     */
    List<String> interruptedServers() {
        return interruptedServers;
    }

    /** The server of the last read attempt; null before the first. */
    String lastReader() {
        return lastReader;
    }

    /** Whether a server may hold a state that has not been released since. */
    boolean isHeld() {
        return leaseStart != null;
    }

    /** Time since the lease began or was last renewed; only while {@link #isHeld}. */
    Duration heldFor(Instant now) {
        return Duration.between(leaseStart, now);
    }

    /**
     * Records that an attempt begins. Releases for interrupted reads are not repeated while an attempt is in flight, so the
     * lease also covers the states that these reads may yet leave.
     */
    void attemptBegan(String server, boolean atReader, Instant now) {
        lastAtReader = atReader;
        lastReader = atReader ? server : lastReader;
        leaseStart = leaseStart == null && !interruptedServers.isEmpty() ? now : leaseStart;
    }

    /**
     * Records the end of an attempt. {@code connected}: it had a connection; {@code endedAt}: when its last message came or its
     * connection was closed; {@code stateMissing}: its server answered that no state is held.
     *
     * @return whether a state may have been kept for the attempt in spite of its release
     */
    boolean attemptEnded(Outcome outcome, String server, boolean connected, boolean stateMissing, Instant endedAt) {
        boolean interrupted = connected && MAY_LEAVE_STATE.contains(outcome);
        boolean refused = outcome == Outcome.FULL && !stateMissing;
        boolean keptForAttempt = releaseUncertain && (interrupted || refused);
        boolean mayStillWait = !outcome.answered() && (leaseStart != null || releaseUncertain);
        if (interrupted && (lastAtReader || mayStillWait)) {
            interruptedServers.add(server);
        }
        boolean mayHold =
                leaseStart != null || outcome == Outcome.READ || keptForAttempt || !interruptedServers.isEmpty();
        if (mayHold && (leaseStart == null || outcome.answered())) {
            leaseStart = endedAt;
        }
        releaseUncertain &= outcome != Outcome.READ;
        return keptForAttempt;
    }

    /** Ends the lease: a writer has taken the state, which frees all others. */
    void stateTaken() {
        leaseStart = null;
        releaseUncertain = false;
    }

    /**
     * Ends the lease: a release was sent. It has no effect on a state for which an attempt waits when it arrives; so the lease
     * begins again if such an attempt ends without having taken the state.
     */
    void stateReleased() {
        leaseStart = null;
        releaseUncertain = true;
    }

    /** When the state has to be released; later if an attempt is in flight ({@code attemptInFlight}). */
    Instant releaseBy(boolean attemptInFlight) {
        return plusShare(leaseStart, attemptInFlight ? UNANSWERED_SHARE : IDLE_SHARE);
    }

    /** Whether it is too late for an attempt that begins now to get its connection in time. */
    boolean isTooLateToConnect(Instant now) {
        return isHeld()
                && !now.isBefore(plusShare(leaseStart, interruptedServers.isEmpty() ? CONNECT_SHARE : IDLE_SHARE));
    }

    /**
     * When the connection of the next attempt must be up. Guards against an interrupted read that succeeds after its release
     * while a connect to an unresponsive server hangs.
     */
    Instant connectBy(Instant now) {
        if (isHeld()) {
            return plusShare(leaseStart, CONNECT_SHARE);
        }
        Duration minimum = ModuleTime.duration(MIN_CONNECT_S);
        Duration connectTime = Duration.between(now, plusShare(now, CONNECT_SHARE));
        return interruptedServers.isEmpty()
                ? Instant.MAX
                : now.plus(connectTime.compareTo(minimum) < 0 ? minimum : connectTime);
    }

    private Instant plusShare(Instant start, double share) {
        return start.plusNanos(Math.round(duration.toNanos() * share));
    }
}

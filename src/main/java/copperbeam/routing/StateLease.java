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

    private static final double UNANSWERED_SHARE = 0.85; // until the first check of an attempt in flight
    private static final double LAST_CHECK_SHARE = 0.95; // until the second and last check of an attempt in flight
    private static final double CONNECT_SHARE = 0.6; // until an attempt's connection must be up
    // minimum time for a connect after an interrupted read while no state is known to be held; it may exceed
    // a very short release_s by no more than the protocol allows a release to be late
    private static final double MIN_CONNECT_S = 0.1;

    /** Failed outcomes after which the server may still have finished the read, or may yet finish it, and hold its state. */
    private static final Set<Outcome> READ_MAY_HAVE_SUCCEEDED =
            EnumSet.of(Outcome.CANCELLED, Outcome.TIMED_OUT, Outcome.RESET, Outcome.STALE, Outcome.ERROR);

    private final Duration duration;
    private final List<String> interruptedReaders = new ArrayList<>();
    private String lastReader;
    private boolean lastAtReader; // the last attempt is at a reader
    private Instant leaseStart; // null while nothing is held

    /** {@code releaseS}: the settings' {@code release_s}, the time in seconds for which a state may stay held. */
    StateLease(double releaseS) {
        duration = ModuleTime.duration(releaseS);
    }

    /** Readers whose reads were interrupted: each may hold a state, or come to hold one, without having reported it. */
    List<String> interruptedReaders() {
        return interruptedReaders;
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
        leaseStart = leaseStart == null && !interruptedReaders.isEmpty() ? now : leaseStart;
    }

    /**
     * Records the end of an attempt. {@code connected}: it had a connection; {@code endedAt}: when its last message came or its
     * connection was closed.
     */
    void attemptEnded(Outcome outcome, String server, boolean connected, Instant endedAt) {
        if (lastAtReader && connected && READ_MAY_HAVE_SUCCEEDED.contains(outcome)) {
            interruptedReaders.add(server);
        }
        boolean mayHold = leaseStart != null || outcome == Outcome.READ || !interruptedReaders.isEmpty();
        if (mayHold && (leaseStart == null || outcome.answered())) {
            leaseStart = endedAt;
        }
    }

    /** Ends the lease: a writer has taken the state, or it was released. */
    void endLease() {
        leaseStart = null;
    }

    /** When the state has to be released, or checked first if an attempt is in flight ({@code attemptInFlight}). */
    Instant releaseBy(boolean attemptInFlight) {
        return plusShare(leaseStart, attemptInFlight ? UNANSWERED_SHARE : IDLE_SHARE);
    }

    /** Latest time until which the state may be kept for an attempt that may not have arrived. */
    Instant keepUntil() {
        return plusShare(leaseStart, LAST_CHECK_SHARE);
    }

    /** Whether it is too late for an attempt that begins now to get its connection in time. */
    boolean isTooLateToConnect(Instant now) {
        return isHeld()
                && !now.isBefore(plusShare(leaseStart, interruptedReaders.isEmpty() ? CONNECT_SHARE : IDLE_SHARE));
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
        return interruptedReaders.isEmpty()
                ? Instant.MAX
                : now.plus(connectTime.compareTo(minimum) < 0 ? minimum : connectTime);
    }

    private Instant plusShare(Instant start, double share) {
        return start.plusNanos(Math.round(duration.toNanos() * share));
    }
}

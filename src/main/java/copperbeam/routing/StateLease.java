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
    // Shares of release_s that may pass since the start of the lease. Each leaves time for a release to reach some server
    // before the whole has passed.
    private static final double IDLE_SHARE = 0.5; // until the state is released while no attempt is in flight

    private static final double UNANSWERED_SHARE = 0.85; // until the first check of an attempt in flight
    private static final double END_SHARE = 0.95; // until the second and last check of an attempt in flight
    private static final double CONNECT_SHARE = 0.6; // until an attempt's connection must be up
    // minimum time for a connect after an interrupted read while no state is known to be held; the protocol's grace covers it
    private static final double LEAST_CONNECT_S = 0.1;

    /** Failed outcomes after which the server may still have finished the read, or may yet finish it, and hold its state. */
    private static final Set<Outcome> MAY_END_WELL =
            EnumSet.of(Outcome.CANCELLED, Outcome.TIMED_OUT, Outcome.RESET, Outcome.STALE, Outcome.ERROR);

    private final Duration term;
    private final List<String> cutReaders = new ArrayList<>();
    private String lastReader;
    private boolean reading; // the last attempt is at a reader
    private Instant since; // null while nothing is held

    /** {@code releaseS}: the settings' {@code release_s}, the time in seconds for which a state may stay held. */
    StateLease(double releaseS) {
        term = ModuleTime.span(releaseS);
    }

    /** Readers whose reads were interrupted: each may hold a state, or come to hold one, without having reported it. */
    List<String> cutReaders() {
        return cutReaders;
    }

    /** The server of the last read attempt; null before the first. */
    String lastReader() {
        return lastReader;
    }

    /** Whether a server may hold a state that has not been released since. */
    boolean held() {
        return since != null;
    }

    /** Time since the lease began or was last renewed; only while {@link #isHeld}. */
    Duration heldFor(Instant now) {
        return Duration.between(since, now);
    }

    /**
     * Records that an attempt begins. Releases for interrupted reads are not repeated while an attempt is in flight, so the
     * lease also covers the states that these reads may yet leave.
     */
    void attemptBegan(String server, boolean reads, Instant now) {
        reading = reads;
        lastReader = reads ? server : lastReader;
        since = since == null && !cutReaders.isEmpty() ? now : since;
    }

    /**
     * Records the end of an attempt. {@code connected}: it had a connection; {@code endedAt}: when its last message came or its
     * connection was closed.
     */
    void attemptEnded(Outcome outcome, String server, boolean connected, Instant at) {
        if (reading && connected && MAY_END_WELL.contains(outcome)) {
            cutReaders.add(server);
        }
        boolean holds = since != null || outcome == Outcome.READ || !cutReaders.isEmpty();
        if (holds && (since == null || outcome.answered())) {
            since = at;
        }
    }

    /** Ends the lease: a writer has taken the state, or it was released. */
    void ended() {
        since = null;
    }

    /** When the state has to be released, or checked first if an attempt is in flight ({@code attemptInFlight}). */
    Instant releaseBy(boolean out) {
        return after(since, out ? UNANSWERED_SHARE : IDLE_SHARE);
    }

    /** Latest time until which the state may be kept for an attempt that may not have arrived. */
    Instant end() {
        return after(since, END_SHARE);
    }

    /** Whether it is too late for an attempt that begins now to get its connection in time. */
    boolean tooLateToConnect(Instant now) {
        return held() && !now.isBefore(after(since, cutReaders.isEmpty() ? CONNECT_SHARE : IDLE_SHARE));
    }

    /**
     * When the connection of the next attempt must be up. Guards against an interrupted read that succeeds after its release
     * while a connect to an unresponsive server hangs.
     */
    Instant connectBy(Instant now) {
        if (held()) {
            return after(since, CONNECT_SHARE);
        }
        Duration least = ModuleTime.span(LEAST_CONNECT_S);
        Duration within = Duration.between(now, after(now, CONNECT_SHARE));
        return cutReaders.isEmpty() ? Instant.MAX : now.plus(within.compareTo(least) < 0 ? least : within);
    }

    private Instant after(Instant from, double share) {
        return from.plusNanos(Math.round(term.toNanos() * share));
    }
}

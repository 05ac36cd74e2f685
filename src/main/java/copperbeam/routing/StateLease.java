package copperbeam.routing;

import copperbeam.Api.Outcome;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * What servers may hold for one request, and until when. A read state has to be taken by an attempt or released within the
 * settings' {@code release_s} of the last end of an attempt that arrived. An attempt without an answer may have arrived or not (its
 * server may be cut off, its connection dead), so that only an answer renews the lease, and an attempt that is out does not stop
 * it. Without I/O or clock.
 */
final class StateLease {
    /** Parts of {@code release_s}. Behind each there must be time left for a release to be heard by some server. */
    private static final double IDLE_SHARE = 0.5; // while no attempt is out

    private static final double UNANSWERED_SHARE = 0.85; // while one is out
    private static final double END_SHARE = 0.95; // the same, for the second look
    private static final double CONNECT_SHARE = 0.6; // until a connection for an attempt must be up
    private static final double LEAST_CONNECT_S = 0.1; // the same where nothing is held; the protocol's grace bears it

    /** Ends of a read that may have ended well just then, or may yet. */
    private static final Set<Outcome> MAY_END_WELL =
            EnumSet.of(Outcome.CANCELLED, Outcome.TIMED_OUT, Outcome.RESET, Outcome.STALE, Outcome.ERROR);

    private final Duration term;
    private final List<String> cutReaders = new ArrayList<>();
    private String lastReader;
    private boolean reading; // the last attempt is at a reader
    private Instant since; // null while nothing is held

    /** {@code releaseS}: the settings' time for what is held. */
    StateLease(double releaseS) {
        term = ModuleTime.span(releaseS);
    }

    /** Readers whose reads were cut off: each may hold a state, or come to, without having told. */
    List<String> cutReaders() {
        return cutReaders;
    }

    /** The reader of the last read, null before the first. */
    String lastReader() {
        return lastReader;
    }

    /** Something may be held that was not released since. */
    boolean held() {
        return since != null;
    }

    /** For how long, if something is held. */
    Duration heldFor(Instant now) {
        return Duration.between(since, now);
    }

    /** A release is not said again for cut reads while an attempt is out, so that the lease covers what they yet leave. */
    void attemptBegan(String server, boolean reads, Instant now) {
        reading = reads;
        lastReader = reads ? server : lastReader;
        since = since == null && !cutReaders.isEmpty() ? now : since;
    }

    /** {@code connected}: the attempt had a connection; {@code at}: when its last word came or its connection was closed. */
    void attemptEnded(Outcome outcome, String server, boolean connected, Instant at) {
        if (reading && connected && MAY_END_WELL.contains(outcome)) {
            cutReaders.add(server);
        }
        boolean holds = since != null || outcome == Outcome.READ || !cutReaders.isEmpty();
        if (holds && (since == null || outcome.answered())) {
            since = at;
        }
    }

    /** A writer has taken the state, or it was released. */
    void ended() {
        since = null;
    }

    /** When what is held has to be released; {@code out}: while an attempt is out. */
    Instant releaseBy(boolean out) {
        return after(since, out ? UNANSWERED_SHARE : IDLE_SHARE);
    }

    /** After this what is held may not be kept for an attempt that may not have arrived. */
    Instant end() {
        return after(since, END_SHARE);
    }

    /** Whether no connection could come up in time for an attempt that begins now. */
    boolean tooLateToConnect(Instant now) {
        return held() && !now.isBefore(after(since, cutReaders.isEmpty() ? CONNECT_SHARE : IDLE_SHARE));
    }

    /**
     * When the connection of the next attempt must be up. Guards against a cut read that ends well behind its release, while a
     * server that is silent lets a connection hang.
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

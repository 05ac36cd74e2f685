package copperbeam.membership;

import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import copperbeam.Api.ServerState;
import copperbeam.routing.MembershipSource.Change;
import copperbeam.routing.MembershipSource.Entry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Merges the server lists of several sources, each of which may lag by a delay of its own. A source is one address of
 * the list service, or the same address again after its versions went back. What a source reported can be revoked at
 * once by the same source, or by a later launch of the server. If another source doesn't report a drain, it may just
 * not know of it yet, so its contradicting entry is held back until {@code maxLag} after the drain was reported. Guards
 * against a draining server that is used again because the list's address has moved to a source that lags.
 */
public final class MergedMembers {
    /** The accepted state of one server, with its source and time. A server that is GONE is kept for {@code maxLag}. */
    private record Known(Entry entry, int source, Instant since) {}

    /** An entry that contradicts another source's drain; it takes effect at {@code until} unless it is superseded. */
    private record HeldEntry(Entry entry, int source, Instant until) {}

    private final Duration maxLag;
    private final boolean serversExpected;
    private final Map<String, Known> knownByServer = new TreeMap<>();
    private final Map<String, HeldEntry> heldByServer = new TreeMap<>();
    private int baseSource = Integer.MIN_VALUE; // the highest-numbered source whose full list has been accepted
    private Instant emptyDoubtedUntil; // an empty full list is not accepted before this time; null: no doubt

    /** {@code maxLag}: by how much one source may lag behind another; 0 or more. */
    public MergedMembers(Duration maxLag) {
        this(maxLag, false);
    }

    /** {@code serversExpected}: servers are known to exist from an earlier run, though no source has listed any yet. */
    MergedMembers(Duration maxLag, boolean serversExpected) {
        this.maxLag = maxLag;
        this.serversExpected = serversExpected;
    }

    /**
     * Whether a full list should be ignored because it is empty and more likely comes from a source that hasn't learned of
     * any server yet than from a site without servers. This holds for the first full list of a source, until
     * {@code maxLag} has passed since an empty list was first ignored.
     */
    boolean isDoubtfulEmptyList(int source, List<Entry> entries, Instant now) {
        if (!entries.isEmpty()
                || source <= baseSource
                || !expectsServers()
                || emptyDoubtedUntil != null && !now.isBefore(emptyDoubtedUntil)) {
            return false;
        }
        emptyDoubtedUntil = emptyDoubtedUntil == null ? now.plus(maxLag) : emptyDoubtedUntil;
        return true;
    }

    /**
     * Applies the full list of a source. Sources are numbered; a higher number takes precedence over a lower one.
     * Returns the resulting change of the merged list, which may have no entries.
     */
    public Change applyFullList(int source, List<Entry> entries, Instant now) {
        if (source < baseSource) {
            return applyDelta(source, entries, now);
        }
        if (isDoubtfulEmptyList(source, entries, now)) {
            return new Change(ListKind.DELTA, List.of());
        }
        emptyDoubtedUntil = null;
        baseSource = source;
        heldByServer.clear();
        Map<String, Known> missing = new TreeMap<>(knownByServer);
        for (Entry entry : entries) {
            missing.remove(serverId(entry));
            accept(source, entry, now);
        }
        missing.forEach((id, previous) -> {
            if (previous.entry().member().state() != ServerState.GONE) {
                // a drain stays attributed to the source that reported it: the new list may lag, and report the same
                // server as ready later
                boolean wasLeaving = departureRank(previous.entry()) > 0;
                knownByServer.put(
                        id,
                        new Known(
                                asGone(previous.entry()),
                                wasLeaving ? previous.source() : source,
                                wasLeaving ? previous.since() : now));
            }
        });
        forgetGone(now);
        return new Change(ListKind.FULL, presentEntries());
    }

    /**
     * Applies changes reported by a source. From a source with a lower number than the one whose full list was last
     * accepted, only drains and departures are accepted.
     */
    public Change applyDelta(int source, List<Entry> entries, Instant now) {
        List<Entry> accepted = new ArrayList<>();
        for (Entry entry : entries) {
            boolean fromOlderSource = source < baseSource;
            Known previous = knownByServer.get(serverId(entry));
            boolean departs = previous != null
                    && previous.entry().member().state() == ServerState.READY
                    && departureRank(entry) > 0;
            if ((!fromOlderSource
                            || departs
                                    && entry.member().launchedAt()
                                            >= previous.entry().member().launchedAt())
                    && accept(source, entry, now)) {
                accepted.add(entry);
            }
        }
        forgetGone(now);
        return new Change(ListKind.DELTA, accepted);
    }

    /** Accepts and returns the held entries whose time has come without having been superseded. */
    public Change takeDueEntries(Instant now) {
        List<Entry> dueEntries = new ArrayList<>();
        for (Iterator<HeldEntry> iterator = heldByServer.values().iterator(); iterator.hasNext(); ) {
            HeldEntry held = iterator.next();
            if (!now.isBefore(held.until())) {
                iterator.remove();
                knownByServer.put(serverId(held.entry()), new Known(held.entry(), held.source(), now));
                dueEntries.add(held.entry());
            }
        }
        return new Change(ListKind.DELTA, dueEntries);
    }

    /** When {@link #takeDueEntries} next has an entry to return; null if none is held. */
    public Instant nextDueAt() {
        return heldByServer.values().stream()
                .map(HeldEntry::until)
                .min(Instant::compareTo)
                .orElse(null);
    }

    /** How many servers are remembered, including those that left within {@code maxLag}. */
    public int size() {
        return knownByServer.size();
    }

    /** Accepts the entry and returns true, or holds it back and returns false. */
    private boolean accept(int source, Entry entry, Instant now) {
        String id = serverId(entry);
        Known previous = knownByServer.get(id);
        if (previous != null
                && previous.source() != source
                && isStale(entry, previous.entry())
                && now.isBefore(previous.since().plus(maxLag))) {
            heldByServer.put(id, new HeldEntry(entry, source, previous.since().plus(maxLag)));
            return false;
        }
        heldByServer.remove(id);
        boolean repeated = previous != null
                && departureRank(previous.entry()) == departureRank(entry)
                && departureRank(entry) > 0
                && previous.entry().member().launchedAt() == entry.member().launchedAt();
        // a repeated drain or departure keeps the time of its first report, from which maxLag counts
        knownByServer.put(id, repeated ? new Known(entry, source, previous.since()) : new Known(entry, source, now));
        return true;
    }

    /**
     * Whether the entry may be older than what is known: it is less far along in leaving and of the same or an earlier
     * launch, or it is ready with an earlier launch. The latter would make a server that has just started count as warm.
     */
    private static boolean isStale(Entry entry, Entry known) {
        int launchOrder =
                Double.compare(entry.member().launchedAt(), known.member().launchedAt());
        return launchOrder <= 0 && departureRank(entry) < departureRank(known)
                || launchOrder < 0 && departureRank(entry) == 0;
    }

    private void forgetGone(Instant now) {
        knownByServer
                .values()
                .removeIf(remembered -> remembered.entry().member().state() == ServerState.GONE
                        && !now.isBefore(remembered.since().plus(maxLag))
                        && !heldByServer.containsKey(serverId(remembered.entry())));
    }

    private boolean expectsServers() {
        return serversExpected
                || knownByServer.values().stream()
                        .anyMatch(k -> k.entry().member().state() != ServerState.GONE);
    }

    private List<Entry> presentEntries() {
        return knownByServer.values().stream()
                .map(Known::entry)
                .filter(e -> e.member().state() != ServerState.GONE)
                .toList();
    }

    /** The further a server is along in leaving, the higher. */
    private static int departureRank(Entry entry) {
        return switch (entry.member().state()) {
            case READY -> 0;
            case DRAINING -> 1;
            case GONE -> 2;
        };
    }

    private static String serverId(Entry entry) {
        return entry.member().server();
    }

    private static Entry asGone(Entry entry) {
        Member member = entry.member();
        return new Entry(
                new Member(
                        member.server(),
                        member.zone(),
                        member.kind(),
                        member.cell(),
                        ServerState.GONE,
                        member.weight(),
                        member.launchedAt()),
                entry.address());
    }
}

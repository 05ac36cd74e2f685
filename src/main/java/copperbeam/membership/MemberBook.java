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
public final class MemberBook {
    /** The accepted state of one server, with its source and time. A server that is GONE is kept for {@code maxLag}. */
    private record Known(Entry entry, int teller, Instant at) {}

    /** An entry that contradicts another source's drain; it takes effect at {@code until} unless it is superseded. */
    private record Claim(Entry entry, int teller, Instant until) {}

    private final Duration care;
    private final boolean servers;
    private final Map<String, Known> known = new TreeMap<>();
    private final Map<String, Claim> claims = new TreeMap<>();
    private int teller = Integer.MIN_VALUE; // the highest-numbered source whose full list has been accepted
    private Instant emptyUntil; // an empty full list is not accepted before this time; null: no doubt

    /** {@code maxLag}: by how much one source may lag behind another; 0 or more. */
    public MemberBook(Duration care) {
        this(care, false);
    }

    /** {@code serversExpected}: servers are known to exist from an earlier run, though no source has listed any yet. */
    MemberBook(Duration care, boolean servers) {
        this.care = care;
        this.servers = servers;
    }

    /**
     * Whether a full list should be ignored because it is empty and more likely comes from a source that hasn't learned of
     * any server yet than from a site without servers. This holds for the first full list of a source, until
     * {@code maxLag} has passed since an empty list was first ignored.
     */
    boolean doubts(int by, List<Entry> entries, Instant now) {
        if (!entries.isEmpty() || by <= teller || !any() || emptyUntil != null && !now.isBefore(emptyUntil)) {
            return false;
        }
        emptyUntil = emptyUntil == null ? now.plus(care) : emptyUntil;
        return true;
    }

    /**
     * Applies the full list of a source. Sources are numbered; a higher number takes precedence over a lower one.
     * Returns the resulting change of the merged list, which may have no entries.
     */
    public Change whole(int by, List<Entry> entries, Instant now) {
        if (by < teller) {
            return changes(by, entries, now);
        }
        if (doubts(by, entries, now)) {
            return new Change(ListKind.DELTA, List.of());
        }
        emptyUntil = null;
        teller = by;
        claims.clear();
        Map<String, Known> before = new TreeMap<>(known);
        for (Entry e : entries) {
            before.remove(id(e));
            take(by, e, now);
        }
        before.forEach((id, k) -> {
            if (k.entry().member().state() != ServerState.GONE) {
                // a drain stays attributed to the source that reported it: the new list may lag, and report the same
                // server as ready later
                boolean drains = rank(k.entry()) > 0;
                known.put(id, new Known(gone(k.entry()), drains ? k.teller() : by, drains ? k.at() : now));
            }
        });
        forget(now);
        return new Change(ListKind.FULL, listed());
    }

    /**
     * Applies changes reported by a source. From a source with a lower number than the one whose full list was last
     * accepted, only drains and departures are accepted.
     */
    public Change changes(int by, List<Entry> entries, Instant now) {
        List<Entry> told = new ArrayList<>();
        for (Entry e : entries) {
            boolean old = by < teller;
            Known k = known.get(id(e));
            boolean ends = k != null && k.entry().member().state() == ServerState.READY && rank(e) > 0;
            if ((!old || ends && e.member().launchedAt() >= k.entry().member().launchedAt()) && take(by, e, now)) {
                told.add(e);
            }
        }
        forget(now);
        return new Change(ListKind.DELTA, told);
    }

    /** Accepts and returns the held entries whose time has come without having been superseded. */
    public Change due(Instant now) {
        List<Entry> told = new ArrayList<>();
        for (Iterator<Claim> i = claims.values().iterator(); i.hasNext(); ) {
            Claim claim = i.next();
            if (!now.isBefore(claim.until())) {
                i.remove();
                known.put(id(claim.entry()), new Known(claim.entry(), claim.teller(), now));
                told.add(claim.entry());
            }
        }
        return new Change(ListKind.DELTA, told);
    }

    /** When {@link #takeDueEntries} next has an entry to return; null if none is held. */
    public Instant next() {
        return claims.values().stream()
                .map(Claim::until)
                .min(Instant::compareTo)
                .orElse(null);
    }

    /** How many servers are remembered, including those that left within {@code maxLag}. */
    public int size() {
        return known.size();
    }

    /** Accepts the entry and returns true, or holds it back and returns false. */
    private boolean take(int by, Entry e, Instant now) {
        String id = id(e);
        Known k = known.get(id);
        if (k != null && k.teller() != by && lags(e, k.entry()) && now.isBefore(k.at().plus(care))) {
            claims.put(id, new Claim(e, by, k.at().plus(care)));
            return false;
        }
        claims.remove(id);
        boolean same = k != null
                && rank(k.entry()) == rank(e)
                && rank(e) > 0
                && k.entry().member().launchedAt() == e.member().launchedAt();
        // a repeated drain or departure keeps the time of its first report, from which maxLag counts
        known.put(id, same ? new Known(e, by, k.at()) : new Known(e, by, now));
        return true;
    }

    /**
     * Whether the entry may be older than what is known: it is less far along in leaving and of the same or an earlier
     * launch, or it is ready with an earlier launch. The latter would make a server that has just started count as warm.
     */
    private static boolean lags(Entry e, Entry known) {
        int later = Double.compare(e.member().launchedAt(), known.member().launchedAt());
        return later <= 0 && rank(e) < rank(known) || later < 0 && rank(e) == 0;
    }

    private void forget(Instant now) {
        known.values()
                .removeIf(k -> k.entry().member().state() == ServerState.GONE
                        && !now.isBefore(k.at().plus(care))
                        && !claims.containsKey(id(k.entry())));
    }

    private boolean any() {
        return servers
                || known.values().stream().anyMatch(k -> k.entry().member().state() != ServerState.GONE);
    }

    private List<Entry> listed() {
        return known.values().stream()
                .map(Known::entry)
                .filter(e -> e.member().state() != ServerState.GONE)
                .toList();
    }

    /** The further a server is along in leaving, the higher. */
    private static int rank(Entry e) {
        return switch (e.member().state()) {
            case READY -> 0;
            case DRAINING -> 1;
            case GONE -> 2;
        };
    }

    private static String id(Entry e) {
        return e.member().server();
    }

    private static Entry gone(Entry e) {
        Member m = e.member();
        return new Entry(
                new Member(m.server(), m.zone(), m.kind(), m.cell(), ServerState.GONE, m.weight(), m.launchedAt()),
                e.address());
    }
}

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
 * Merges what several tellers say of the same servers, each of them late by a time of its own. What one teller
 * has said may be taken back by that teller at once, and by a later start of the server; another teller that
 * says less of a drain may simply not have heard of it yet, so its word is held for {@code care} from when the
 * drain was told. Guards against a server that drains and comes back to life because the address of the list
 * has moved to one that lags.
 */
public final class MemberBook {
    /** What holds of one server: said by whom and when. {@code entry} GONE: it has left, kept for {@code care}. */
    private record Known(Entry entry, int teller, Instant at) {}

    /** What a teller claims against a drain that another has told. */
    private record Claim(Entry entry, int teller, Instant until) {}

    private final Duration care;
    private final boolean servers;
    private final Map<String, Known> known = new TreeMap<>();
    private final Map<String, Claim> claims = new TreeMap<>();
    private int teller = Integer.MIN_VALUE; // whose list is the base: the newest that has given one
    private Instant emptyUntil; // until when an empty list is not believed

    /** {@code care}: by how much one teller may lag behind another; 0 or more. */
    public MemberBook(Duration care) {
        this(care, false);
    }

    /** {@code servers}: there are some, as far as is known from before, though nobody has told of any here. */
    MemberBook(Duration care, boolean servers) {
        this.care = care;
        this.servers = servers;
    }

    /**
     * Whether a whole list is empty that is more like one of a teller that has heard of nobody yet than of a site without
     * servers: the first of its teller, until it has been told for {@code care}.
     */
    boolean doubts(int by, List<Entry> entries, Instant now) {
        if (!entries.isEmpty() || by <= teller || !any() || emptyUntil != null && !now.isBefore(emptyUntil)) {
            return false;
        }
        emptyUntil = emptyUntil == null ? now.plus(care) : emptyUntil;
        return true;
    }

    /**
     * One teller's whole list. Tellers are numbered; one with a higher number goes before one with a lower.
     * Returns what changes for who uses the list, perhaps without entries.
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
                // a drain that another told stays that one's word: a list that lags may come to the server's start yet
                boolean drains = rank(k.entry()) > 0;
                known.put(id, new Known(gone(k.entry()), drains ? k.teller() : by, drains ? k.at() : now));
            }
        });
        forget(now);
        return new Change(ListKind.FULL, listed());
    }

    /** What one teller says has changed. Of a teller that is no longer the base only drains and ends count. */
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

    /** What was claimed against a drain and has not been contradicted within {@code care}. */
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

    /** When {@link #due} has something to tell; null where nothing is held. */
    public Instant next() {
        return claims.values().stream()
                .map(Claim::until)
                .min(Instant::compareTo)
                .orElse(null);
    }

    /** Servers remembered, those that have left within {@code care} included. */
    public int size() {
        return known.size();
    }

    /** Whether the entry holds from now on; else it is held as a claim. */
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
        // said again by another: the first to have said it keeps the time from which care counts
        known.put(id, same ? new Known(e, by, k.at()) : new Known(e, by, now));
        return true;
    }

    /**
     * Less far on its way out in the same life, or in use in an earlier one: that would also tell of a server that
     * has just started that it is warm.
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

    /** The further a server is on its way out, the higher. */
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

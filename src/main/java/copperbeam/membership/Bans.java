package copperbeam.membership;

import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import copperbeam.Api.ServerState;
import copperbeam.routing.MembershipSource.Change;
import copperbeam.routing.MembershipSource.Entry;
import copperbeam.routing.ModuleTime;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Applies operators' bans to the server list before the module sees it. A banned server counts as draining whatever the
 * list says of it, even if it leaves and joins again under the same id. A server whose ban is lifted is assumed to have
 * been restarted meanwhile: until the list reports a launch after the ban, the server counts as launched when the ban
 * was lifted. Guards against sending to a cold server as if it were warm because the list lags by seconds.
 */
public final class Bans {
    /**
     * A lifted ban.
     *
     * @param bannedAtS when the ban began, in epoch seconds
     * @param assumedStartS launch time to assume until the list reports one after {@code bannedAtS}, in epoch seconds
     */
    private record Back(double outAt, double start) {}

    private final Map<String, Entry> told = new TreeMap<>();
    private final Map<String, Double> out = new TreeMap<>(); // in epoch seconds, as in the list
    private final Map<String, Back> back = new HashMap<>();

    /** Records a change of the list and returns it with the bans applied. */
    public Change told(Change change) {
        if (change.kind() == ListKind.FULL || change.kind() == ListKind.CACHED) {
            told.clear();
        }
        List<Entry> seen = new ArrayList<>();
        for (Entry e : change.entries()) {
            if (e.member().state() == ServerState.GONE) {
                told.remove(e.member().server());
            } else {
                told.put(e.member().server(), e);
            }
            seen.add(seen(e));
        }
        back.keySet().retainAll(told.keySet());
        return new Change(change.kind(), seen);
    }

    /** Replaces the set of banned servers and returns what changes in the list that the module sees; may be empty. */
    public Change set(Set<String> servers, Instant now) {
        double at = ModuleTime.seconds(now);
        List<Entry> changed = new ArrayList<>();
        for (String id : servers) {
            if (out.putIfAbsent(id, at) == null) {
                back.remove(id);
                add(changed, id);
            }
        }
        for (String id : List.copyOf(out.keySet())) {
            if (!servers.contains(id)) {
                double since = out.remove(id);
                if (told.containsKey(id)) {
                    back.put(id, new Back(since, at));
                    add(changed, id);
                }
            }
        }
        return new Change(ListKind.DELTA, changed);
    }

    /** Whether the server is in the list. */
    public boolean lists(String server) {
        return told.containsKey(server);
    }

    private void add(List<Entry> changed, String id) {
        Entry e = told.get(id);
        if (e != null) {
            changed.add(seen(e));
        }
    }

    private Entry seen(Entry e) {
        Member m = e.member();
        if (m.state() != ServerState.READY) {
            return e;
        }
        if (out.containsKey(m.server())) {
            return with(e, ServerState.DRAINING, m.launchedAt());
        }
        Back b = back.get(m.server());
        if (b != null && m.launchedAt() > b.outAt()) {
            back.remove(m.server());
            return e;
        }
        return b == null ? e : with(e, ServerState.READY, b.start());
    }

    private static Entry with(Entry e, ServerState state, double launchedAt) {
        Member m = e.member();
        return new Entry(
                new Member(m.server(), m.zone(), m.kind(), m.cell(), state, m.weight(), launchedAt), e.address());
    }
}

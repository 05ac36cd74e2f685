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
 * Servers left out by hand, between the list as told and the list as the module has it. One that is out drains,
 * whatever is told of it, also if it leaves and comes again under its id. One that is put back has been restarted
 * meanwhile: until the list tells of a start since it went out, it counts as started when it was put back. Guards
 * against a cold server that is sent to as if it were warm because the list is seconds late.
 */
public final class Bans {
    /** Put back: {@code start} holds until the list tells of one after {@code outAt}. */
    private record Back(double outAt, double start) {}

    private final Map<String, Entry> told = new TreeMap<>();
    private final Map<String, Double> out = new TreeMap<>(); // since when, in the list's seconds
    private final Map<String, Back> back = new HashMap<>();

    /** What was told, as the module is to have it. */
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

    /** From now on these are out and all others are not; what changes for the module, perhaps nothing. */
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

    /** Whether the list names it. */
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

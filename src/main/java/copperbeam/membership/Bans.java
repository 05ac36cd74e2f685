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
    private record Reinstatement(double bannedAtS, double assumedStartS) {}

    private final Map<String, Entry> listedEntries = new TreeMap<>();
    private final Map<String, Double> bannedSinceS = new TreeMap<>(); // in epoch seconds, as in the list
    private final Map<String, Reinstatement> reinstatements = new HashMap<>();

    /** Records a change of the list and returns it with the bans applied. */
    public Change applyListChange(Change change) {
        if (change.kind() == ListKind.FULL || change.kind() == ListKind.CACHED) {
            listedEntries.clear();
        }
        List<Entry> effective = new ArrayList<>();
        for (Entry entry : change.entries()) {
            if (entry.member().state() == ServerState.GONE) {
                listedEntries.remove(entry.member().server());
            } else {
                listedEntries.put(entry.member().server(), entry);
            }
            effective.add(effectiveEntry(entry));
        }
        reinstatements.keySet().retainAll(listedEntries.keySet());
        return new Change(change.kind(), effective);
    }

    /** Replaces the set of banned servers and returns what changes in the list that the module sees; may be empty. */
    public Change setBanned(Set<String> servers, Instant now) {
        double nowS = ModuleTime.seconds(now);
        List<Entry> changed = new ArrayList<>();
        for (String id : servers) {
            if (bannedSinceS.putIfAbsent(id, nowS) == null) {
                reinstatements.remove(id);
                addIfListed(changed, id);
            }
        }
        for (String id : List.copyOf(bannedSinceS.keySet())) {
            if (!servers.contains(id)) {
                double sinceS = bannedSinceS.remove(id);
                if (listedEntries.containsKey(id)) {
                    reinstatements.put(id, new Reinstatement(sinceS, nowS));
                    addIfListed(changed, id);
                }
            }
        }
        return new Change(ListKind.DELTA, changed);
    }

    /** Whether the server is in the list. */
    public boolean isListed(String server) {
        return listedEntries.containsKey(server);
    }

    private void addIfListed(List<Entry> changed, String id) {
        Entry entry = listedEntries.get(id);
        if (entry != null) {
            changed.add(effectiveEntry(entry));
        }
    }

    private Entry effectiveEntry(Entry entry) {
        Member member = entry.member();
        if (member.state() != ServerState.READY) {
            return entry;
        }
        if (bannedSinceS.containsKey(member.server())) {
            return withState(entry, ServerState.DRAINING, member.launchedAt());
        }
        Reinstatement reinstatement = reinstatements.get(member.server());
        if (reinstatement != null && member.launchedAt() > reinstatement.bannedAtS()) {
            reinstatements.remove(member.server());
            return entry;
        }
        return reinstatement == null ? entry : withState(entry, ServerState.READY, reinstatement.assumedStartS());
    }

    private static Entry withState(Entry entry, ServerState state, double launchedAt) {
        Member member = entry.member();
        return new Entry(
                new Member(
                        member.server(),
                        member.zone(),
                        member.kind(),
                        member.cell(),
                        state,
                        member.weight(),
                        launchedAt),
                entry.address());
    }
}

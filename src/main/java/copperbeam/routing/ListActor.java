package copperbeam.routing;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiFunction;
import copperbeam.Api.ListKind;
import copperbeam.Api.ServerState;

/** Owns the list of servers and one {@link PeerActor} for each of them that was ever listed. */
public final class ListActor extends Actor<MembershipSource.Change> {
    private final Map<String, PeerActor> peers = new HashMap<>();
    private final Set<String> present = new HashSet<>();
    private final BiFunction<String, InetSocketAddress, PeerActor> newPeer;
    private final ModuleActor module;
    private final ReleaseActor releases;

    public ListActor(ScheduledExecutorService turns, BiFunction<String, InetSocketAddress, PeerActor> newPeer,
            ModuleActor module, ReleaseActor releases) {
        super(turns);
        this.newPeer = newPeer;
        this.module = module;
        this.releases = releases;
    }

    @Override
    protected void receive(MembershipSource.Change change) {
        boolean whole = change.kind() == ListKind.FULL || change.kind() == ListKind.CACHED;
        Set<String> before = Set.copyOf(present);
        if (whole) {
            present.clear();
        }
        List<copperbeam.Api.Member> members = new ArrayList<>();
        for (MembershipSource.Entry e : change.entries()) {
            String id = e.member().server();
            members.add(e.member());
            if (e.address() != null) {
                PeerActor peer = peers.computeIfAbsent(id, n -> newPeer.apply(n, e.address()));
                peer.tell(new PeerActor.Located(e.address()));
            }
            if (e.member().state() == ServerState.GONE) {
                present.remove(id);
            } else {
                present.add(id);
            }
        }
        for (String id : before) {
            if (!present.contains(id) && peers.containsKey(id)) {
                peers.get(id).tell(new PeerActor.Gone());
            }
        }
        Map<String, PeerActor> known = Map.copyOf(peers);
        Map<String, PeerActor> live = new HashMap<>(known);
        live.keySet().retainAll(present);
        module.tell(new ModuleActor.Listed(change.kind(), members, known));
        releases.tell(new ReleaseActor.Listed(Map.copyOf(live)));
    }
}

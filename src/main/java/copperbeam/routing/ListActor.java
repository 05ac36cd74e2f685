package copperbeam.routing;

import copperbeam.Api.ListKind;
import copperbeam.Api.ServerState;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiFunction;

/**
 * Owns the list of servers and one {@link PeerActor} for each server and address. A server that has left the list is
 * forgotten here, so that memory does not grow when servers come under ever new ids; calls still in flight keep a reference
 * to their peer.
 */
public final class ListActor extends Actor<ListActor.Message> {
    /** The messages this actor handles. */
    public sealed interface Message permits Told, Idle {}

    /** The server list has changed; {@code onApplied} runs once the {@link ModuleActor} has the change, and may be null. */
    public record Told(MembershipSource.Change change, Runnable acted) implements Message {}

    /** Sets how many idle connections may be kept to all servers together. */
    public record Idle(int connections) implements Message {}

    private static final int MOST_IDLE = 16; // idle connections kept to one server

    private final Map<String, PeerActor> peers = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>(); // of the peers, by the same ids
    private final BiFunction<String, InetSocketAddress, PeerActor> newPeer;
    private final ModuleActor module;
    private final ReleaseActor releases;
    private int idle;

    /** {@code maxIdle}: how many idle connections may be kept to all servers together. */
    public ListActor(
            ScheduledExecutorService turns,
            BiFunction<String, InetSocketAddress, PeerActor> newPeer,
            ModuleActor module,
            ReleaseActor releases,
            int idle) {
        super(turns);
        this.newPeer = newPeer;
        this.module = module;
        this.releases = releases;
        this.idle = idle;
    }

    @Override
    protected void receive(Message m) {
        if (m instanceof Idle e) {
            idle = e.connections();
            share();
        } else if (m instanceof Told e) {
            told(e);
        }
    }

    private void told(Told told) {
        MembershipSource.Change change = told.change();
        boolean whole = change.kind() == ListKind.FULL || change.kind() == ListKind.CACHED;
        Set<String> left = whole ? new HashSet<>(peers.keySet()) : new HashSet<>();
        List<copperbeam.Api.Member> members = new ArrayList<>();
        for (MembershipSource.Entry e : change.entries()) {
            String id = e.member().server();
            members.add(e.member());
            if (e.member().state() == ServerState.GONE) {
                left.add(id);
            } else {
                left.remove(id);
                at(id, e.address()).tell(new PeerActor.Listed(e.member().state() == ServerState.DRAINING));
            }
        }
        for (Iterator<Map.Entry<String, PeerActor>> i = peers.entrySet().iterator(); i.hasNext(); ) {
            Map.Entry<String, PeerActor> next = i.next();
            if (left.contains(next.getKey())) {
                next.getValue().tell(new PeerActor.Gone());
                i.remove();
            }
        }
        addresses.keySet().retainAll(peers.keySet());
        share();
        // servers are asked for a release in this map's order; unlike Map.copyOf's, it is the same in each run
        Map<String, PeerActor> known = Collections.unmodifiableMap(new HashMap<>(peers));
        module.tellFirst(new ModuleActor.Listed(change.kind(), members, known, told.acted()));
        releases.tell(new ReleaseActor.Listed(known));
    }

    /**
     * Returns the peer of a server. A new address gets a new peer, so that connections to the old address, once their calls
     * end, are not reused for the server.
     */
    private PeerActor at(String id, InetSocketAddress address) {
        if (!address.equals(addresses.put(id, address))) {
            PeerActor before = peers.put(id, newPeer.apply(id, address));
            if (before != null) {
                before.tell(new PeerActor.Gone());
            }
        }
        return peers.get(id);
    }

    /** Distributes the limit on idle connections evenly; with more servers than connections, some servers get none. */
    private void share() {
        int all = Math.max(0, idle);
        int each = all / Math.max(1, peers.size());
        int left = all % Math.max(1, peers.size());
        for (PeerActor peer : peers.values()) {
            peer.tell(new PeerActor.Room(Math.min(MOST_IDLE, left > 0 ? each + 1 : each)));
            left--;
        }
    }
}

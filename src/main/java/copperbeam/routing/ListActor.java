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
 * Owns the list of servers and one {@link PeerActor} for each of them, at its address. One that has left is forgotten here: what
 * is still out there has its peer by itself. Guards against a day on which servers come under ever new ids.
 */
public final class ListActor extends Actor<ListActor.Message> {
    /** What this actor is told. */
    public sealed interface Message permits Told, Idle {}

    /** {@code acted} runs once the module has it; may be null. */
    public record Told(MembershipSource.Change change, Runnable acted) implements Message {}

    /** So many connections may stand idle at all servers together. */
    public record Idle(int connections) implements Message {}

    private static final int MOST_IDLE = 16; // connections to one server

    private final Map<String, PeerActor> peers = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>(); // theirs
    private final BiFunction<String, InetSocketAddress, PeerActor> newPeer;
    private final ModuleActor module;
    private final ReleaseActor releases;
    private int idle;

    /** {@code idle}: connections that may stand idle at all servers together. */
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
        // a copy whose order is the same in each run, as Map.copyOf's is not: the order in which servers hear a release
        Map<String, PeerActor> known = Collections.unmodifiableMap(new HashMap<>(peers));
        module.tellFirst(new ModuleActor.Listed(change.kind(), members, known, told.acted()));
        releases.tell(new ReleaseActor.Listed(known));
    }

    /** Guards against connections to an earlier address that come back from use, and would be used for the server again. */
    private PeerActor at(String id, InetSocketAddress address) {
        if (!address.equals(addresses.put(id, address))) {
            PeerActor before = peers.put(id, newPeer.apply(id, address));
            if (before != null) {
                before.tell(new PeerActor.Gone());
            }
        }
        return peers.get(id);
    }

    /** Shares out what may stand idle, and no more: with more servers than connections, some keep none. */
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

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
    public sealed interface Message permits ListChanged, IdleLimit {}

    /** The server list has changed; {@code onApplied} runs once the {@link ModuleActor} has the change, and may be null. */
    public record ListChanged(MembershipSource.Change change, Runnable onApplied) implements Message {}

    /** Sets how many idle connections may be kept to all servers together. */
    public record IdleLimit(int maxConnections) implements Message {}

    private static final int MAX_IDLE_PER_SERVER = 16; // idle connections kept to one server

    private final Map<String, PeerActor> peers = new HashMap<>();
    private final Map<String, InetSocketAddress> addresses = new HashMap<>(); // of the peers, by the same ids
    private final BiFunction<String, InetSocketAddress, PeerActor> peerFactory;
    private final ModuleActor module;
    private final ReleaseActor releases;
    private int maxIdle;

    /** {@code maxIdle}: how many idle connections may be kept to all servers together. */
    public ListActor(
            ScheduledExecutorService scheduler,
            BiFunction<String, InetSocketAddress, PeerActor> peerFactory,
            ModuleActor module,
            ReleaseActor releases,
            int maxIdle) {
        super(scheduler);
        this.peerFactory = peerFactory;
        this.module = module;
        this.releases = releases;
        this.maxIdle = maxIdle;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof IdleLimit received) {
            maxIdle = received.maxConnections();
            distributeIdleLimit();
        } else if (message instanceof ListChanged received) {
            applyChange(received);
        }
    }

    private void applyChange(ListChanged listChanged) {
        MembershipSource.Change change = listChanged.change();
        boolean fullList = change.kind() == ListKind.FULL || change.kind() == ListKind.CACHED;
        Set<String> removed = fullList ? new HashSet<>(peers.keySet()) : new HashSet<>();
        List<copperbeam.Api.Member> members = new ArrayList<>();
        for (MembershipSource.Entry entry : change.entries()) {
            String id = entry.member().server();
            members.add(entry.member());
            if (entry.member().state() == ServerState.GONE) {
                removed.add(id);
            } else {
                removed.remove(id);
                peerAt(id, entry.address())
                        .tell(new PeerActor.Listed(entry.member().state() == ServerState.DRAINING));
            }
        }
        for (Iterator<Map.Entry<String, PeerActor>> iterator = peers.entrySet().iterator(); iterator.hasNext(); ) {
            Map.Entry<String, PeerActor> idAndPeer = iterator.next();
            if (removed.contains(idAndPeer.getKey())) {
                idAndPeer.getValue().tell(new PeerActor.Removed());
                iterator.remove();
            }
        }
        addresses.keySet().retainAll(peers.keySet());
        distributeIdleLimit();
        // servers are asked for a release in this map's order; unlike Map.copyOf's, it is the same in each run
        Map<String, PeerActor> listedPeers = Collections.unmodifiableMap(new HashMap<>(peers));
        module.tellUrgent(new ModuleActor.ServersListed(change.kind(), members, listedPeers, listChanged.onApplied()));
        releases.tell(new ReleaseActor.ServersListed(listedPeers));
    }

    /**
     * Returns the peer of a server. A new address gets a new peer, so that connections to the old address, once their calls
     * end, are not reused for the server.
     */
    private PeerActor peerAt(String id, InetSocketAddress address) {
        if (!address.equals(addresses.put(id, address))) {
            PeerActor previous = peers.put(id, peerFactory.apply(id, address));
            if (previous != null) {
                previous.tell(new PeerActor.Removed());
            }
        }
        return peers.get(id);
    }

    /** Distributes the limit on idle connections evenly; with more servers than connections, some servers get none. */
    private void distributeIdleLimit() {
        int total = Math.max(0, maxIdle);
        int perServer = total / Math.max(1, peers.size());
        int remainder = total % Math.max(1, peers.size());
        for (PeerActor peer : peers.values()) {
            peer.tell(
                    new PeerActor.IdleLimit(Math.min(MAX_IDLE_PER_SERVER, remainder > 0 ? perServer + 1 : perServer)));
            remainder--;
        }
    }
}

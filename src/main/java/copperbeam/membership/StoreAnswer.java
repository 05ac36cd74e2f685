package copperbeam.membership;

import copperbeam.routing.MembershipSource.Entry;
import java.util.List;

/** What a store that numbers its changes by revisions has answered about the server list. */
public sealed interface StoreAnswer permits StoreAnswer.Listing, StoreAnswer.WatchResponse {
    /**
     * The state of one server in the store.
     *
     * @param entry null if it can't be read
     * @param revision of the change; 0 if unknown
     */
    record ServerUpdate(String server, Entry entry, long revision) {}

    /** All servers at a revision of the store. */
    record Listing(long revision, List<ServerUpdate> servers) implements StoreAnswer {}

    /** One response of a watch. {@code storeRevision}: of the whole store when it was sent; 0 if unknown. */
    record WatchResponse(long storeRevision, List<ServerUpdate> updates) implements StoreAnswer {}
}

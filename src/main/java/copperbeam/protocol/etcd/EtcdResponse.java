package copperbeam.protocol.etcd;

import copperbeam.membership.StoreAnswer.Listing;
import copperbeam.membership.StoreAnswer.WatchResponse;
import java.util.List;

/** What a call to etcd has brought. */
sealed interface EtcdResponse {
    /** Of a range request. {@code problems}: of entries that can't be read. */
    record Listed(Listing listing, List<String> problems) implements EtcdResponse {}

    /** Of a watch. {@code problems}: of entries that can't be read. */
    record Watched(WatchResponse response, List<String> problems) implements EtcdResponse {}

    /** The watch has ended, as the store no longer has the changes before {@code compactRevision}. */
    record Compacted(long compactRevision) implements EtcdResponse {}

    /** The call has ended without a list, or the watch has ended. */
    record Failed(String reason) implements EtcdResponse {}
}

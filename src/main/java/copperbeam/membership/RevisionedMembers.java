package copperbeam.membership;

import copperbeam.Api.ServerState;
import copperbeam.membership.StoreAnswer.Listing;
import copperbeam.membership.StoreAnswer.ServerUpdate;
import copperbeam.membership.StoreAnswer.WatchResponse;
import copperbeam.routing.MembershipSource.Change;
import copperbeam.routing.MembershipSource.Entry;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The server list of a store that numbers its changes by revisions, built from lists and watch events that may arrive late,
 * repeatedly and out of order. An entry that can't be read leaves the server's last readable entry in place.
 *
 * <p>A list of a lower revision than was known when the list was asked for shows that the store has lost changes, for example
 * because it was restored from a backup. It then counts as a new source in {@link MergedMembers}, which holds back what
 * would undo a drain or remove all servers.
 */
final class RevisionedMembers {
    /** What became of a list. */
    enum ListOutcome {
        APPLIED,
        /** It is older than what is known, and was ignored. */
        OUTDATED,
        /** It is empty, which is not believed for a while, as the store may have lost its data. */
        DOUBTFUL,
        /** It was applied, and the revisions known before belong to a history that the store no longer has. */
        REPLACED_HISTORY
    }

    private final MergedMembers mergedMembers = new MergedMembers(WatchPlan.MAX_SOURCE_LAG);
    private final Map<String, Entry> entries = new TreeMap<>(); // as the store has them, by server
    private final Map<String, Long> changeRevisions = new HashMap<>(); // of the servers changed since the last list
    private final List<Change> unpublished = new ArrayList<>();
    private int source;
    private long listRevision = -1; // of the last list that was applied
    private long revision = -1; // all changes up to it are known; negative before the first list
    private boolean mustPublishList = true;

    boolean hasList() {
        return revision >= 0;
    }

    /** All changes up to this revision are known; negative before the first list. */
    long revision() {
        return revision;
    }

    /** Returns and forgets the changes of the list since the last call. */
    List<Change> takeChanges() {
        List<Change> taken = List.copyOf(unpublished);
        unpublished.clear();
        return taken;
    }

    /** Has the next list published even if it changes nothing. */
    void publishNextList() {
        mustPublishList = true;
    }

    /** {@code revisionAtCall}: the known revision when the list was asked for. */
    ListOutcome applyListing(Listing listing, long revisionAtCall, Instant now) {
        boolean replacesHistory = listing.revision() < revisionAtCall;
        if (!replacesHistory && listing.revision() < revision) {
            return ListOutcome.OUTDATED;
        }
        int listSource = replacesHistory ? source + 1 : source;
        Map<String, Entry> listed = readableEntries(listing);
        List<Entry> listedEntries = List.copyOf(listed.values());
        if (mergedMembers.isDoubtfulEmptyList(listSource, listedEntries, now)) {
            return ListOutcome.DOUBTFUL;
        }
        source = listSource;
        revision = listing.revision();
        listRevision = revision;
        changeRevisions.clear();
        if (mustPublishList || replacesHistory || !listed.equals(entries)) {
            entries.clear();
            entries.putAll(listed);
            unpublished.add(mergedMembers.applyFullList(source, listedEntries, now));
            mustPublishList = false;
        }
        return replacesHistory ? ListOutcome.REPLACED_HISTORY : ListOutcome.APPLIED;
    }

    private Map<String, Entry> readableEntries(Listing listing) {
        Map<String, Entry> listed = new TreeMap<>();
        for (ServerUpdate update : listing.servers()) {
            Entry entry = update.entry() == null ? entries.get(update.server()) : update.entry();
            if (entry != null) {
                listed.put(update.server(), entry);
            }
        }
        return listed;
    }

    /**
     * Applies the events of a watch from {@code fromRevision} on. Returns whether the list must be read to be certain, because
     * revisions are missing or contradictory.
     */
    boolean applyEvents(WatchResponse response, long fromRevision, Instant now) {
        List<Entry> changed = new ArrayList<>();
        long newestRevision = revision;
        boolean isUncertain = response.storeRevision() > 0 && response.storeRevision() < fromRevision - 1;
        for (ServerUpdate update : response.updates()) {
            boolean hasRevision = update.revision() > 0;
            isUncertain |= update.revision() < fromRevision;
            // the response's own revision is that of the whole store, of which later events may not have come yet
            newestRevision = Math.max(newestRevision, hasRevision ? update.revision() : response.storeRevision());
            if (hasRevision && !isNew(update)) {
                continue;
            }
            changeRevisions.merge(update.server(), update.revision(), Math::max);
            if (update.entry() != null && !update.entry().equals(entries.get(update.server()))) {
                changed.add(update.entry());
                remember(update);
            }
        }
        revision = newestRevision;
        if (!changed.isEmpty()) {
            unpublished.add(mergedMembers.applyDelta(source, changed, now));
        }
        return isUncertain;
    }

    /** Whether nothing as new is known of the server. One revision may change several servers, and a watch may lag behind. */
    private boolean isNew(ServerUpdate update) {
        return update.revision() > changeRevisions.getOrDefault(update.server(), listRevision);
    }

    private void remember(ServerUpdate update) {
        if (update.entry().member().state() == ServerState.GONE) {
            entries.remove(update.server());
        } else {
            entries.put(update.server(), update.entry());
        }
    }

    /** Applies the entries that were held back and whose time has come. */
    void applyDueEntries(Instant now) {
        Instant dueAt = mergedMembers.nextDueAt();
        if (dueAt != null && !now.isBefore(dueAt)) {
            Change change = mergedMembers.takeDueEntries(now);
            if (!change.entries().isEmpty()) {
                unpublished.add(change);
            }
        }
    }
}

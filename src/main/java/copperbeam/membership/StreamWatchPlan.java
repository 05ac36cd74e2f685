package copperbeam.membership;

import copperbeam.membership.RevisionedMembers.ListOutcome;
import copperbeam.membership.StoreAnswer.Listing;
import copperbeam.membership.StoreAnswer.WatchResponse;
import copperbeam.routing.MembershipSource.Change;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which calls read a server list from a store that answers with the full list at a revision, and with streams of
 * the changes from a revision on. Does no I/O and reads no clock.
 *
 * <p>A stream without events can't be told from a broken one, and a slow call not from a hanging one. So lists and watches are
 * called in turn, one call a second, each beside those that are open, and none is given up for a call that hasn't been
 * answered: the list shows a change that no watch reports in time, and a watch shows one while lists are late. While lists
 * are late, one is called each second, so that an answer to a call made just after a change comes in time. An answered
 * watch stays open for {@link #MIN_WATCH_AGE} and until a newer one has been answered. A failure is retried with
 * {@link Backoff}.
 *
 * <p>Bounded by {@link #MAX_OPEN_LISTS}, {@link #MAX_OPEN_WATCHES} and {@link #CALL_TIMEOUT}.
 */
public final class StreamWatchPlan {
    /** What the caller, who does the I/O, has to do; actions are to be carried out in order. */
    public sealed interface Action permits StartList, StartWatch, CancelCall, Publish {}

    /** Asks for the full list. */
    public record StartList(int callId) implements Action {}

    /** Asks for a stream of the changes from this revision on. */
    public record StartWatch(int callId, long fromRevision) implements Action {}

    /** Cancels a call, whose answer is no longer needed. */
    public record CancelCall(int callId) implements Action {}

    /** Publishes a change of the list. */
    public record Publish(Change change) implements Action {}

    /** From one call of a kind to the next. Half of it, an answer and local delays fit into {@link WatchPlan#INFORMED_AFTER}. */
    static final Duration CALL_INTERVAL = Duration.ofSeconds(2);
    /** A call without an answer is given up after this time; far longer than a store in use takes. */
    static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);
    /** How long each answered watch is kept at least, as its events may come late. */
    static final Duration MIN_WATCH_AGE = WatchPlan.INFORMED_AFTER.plus(CALL_INTERVAL);

    static final int MAX_OPEN_LISTS = 8;
    static final int MAX_OPEN_WATCHES = 8;

    /** {@code knownRevision}: the known revision when the call began, or the one before that from which a watch began. */
    private record Call(int id, Instant startedAt, long knownRevision, boolean isAnswered) {
        Call answered() {
            return new Call(id, startedAt, knownRevision, true);
        }
    }

    private final CallSchedule listSchedule;
    private final CallSchedule watchSchedule;
    private final List<Call> openLists = new ArrayList<>(); // oldest first
    private final List<Call> openWatches = new ArrayList<>(); // oldest first
    private final RevisionedMembers members = new RevisionedMembers();
    private Instant confirmedAt;
    private long compactRevision; // the store has no changes before it; 0 if unknown
    private int lastCallId;
    private int newestList;
    private int newestWatch;
    private final List<Action> actions = new ArrayList<>();

    /** {@code backoff}: of retries; its longest delay is part of the time in which a change is learnt. */
    public StreamWatchPlan(Backoff backoff) {
        listSchedule = new CallSchedule(CALL_INTERVAL, backoff);
        watchSchedule = new CallSchedule(CALL_INTERVAL, backoff);
    }

    /** Starts the calls that are due and ends those whose time is over; to be called about every 50 ms. */
    public List<Action> onTick(Instant now) {
        members.applyDueEntries(now);
        endOverdueCalls(openLists, now);
        endOverdueCalls(openWatches, now);
        retireWatches(now);
        openWatches.stream().filter(Call::isAnswered).forEach(watch -> watchSchedule.stillOpen(watch.startedAt(), now));
        if (listSchedule.isDue(now)) {
            startList(now);
        }
        if (members.hasList() && watchSchedule.isDue(now)) {
            startWatch(now);
        }
        return takeActions();
    }

    /** Handles the answer to {@link StartList}. */
    public List<Action> onListed(int callId, Listing listing, Instant now) {
        Call call = remove(openLists, callId);
        if (call == null) {
            return takeActions();
        }
        listSchedule.succeeded(now);
        boolean isFirst = !members.hasList();
        ListOutcome outcome = members.applyListing(listing, call.knownRevision(), now);
        if (outcome != ListOutcome.DOUBTFUL) {
            confirm(call);
            compactRevision = 0;
        }
        if (outcome == ListOutcome.REPLACED_HISTORY) {
            endCallsOfReplacedHistory(call);
            watchSchedule.hasten(now);
        }
        if (isFirst) {
            startWatch(now);
        }
        return takeActions();
    }

    /** Handles a response of a watch, also one without events. */
    public List<Action> onWatchResponse(int callId, WatchResponse response, Instant now) {
        Call call = find(openWatches, callId);
        if (call == null) {
            return takeActions();
        }
        if (!call.isAnswered()) {
            openWatches.set(openWatches.indexOf(call), call.answered());
            watchSchedule.answered(now);
        }
        if (members.applyEvents(response, call.knownRevision() + 1, now)) {
            hastenList(now);
        } else if (response.storeRevision() == members.revision()) {
            confirm(call);
        }
        return takeActions();
    }

    /**
     * Handles the end of a watch from a revision that the store no longer has. The next watch begins at {@code compactRevision},
     * the first one that it has; the changes before it are left to the next list.
     */
    public List<Action> onCompacted(int callId, long compactRevision, Instant now) {
        this.compactRevision = compactRevision;
        return onFailure(callId, now);
    }

    /** Handles the end of a call that has failed, was refused or broke. */
    public List<Action> onFailure(int callId, Instant now) {
        Call list = remove(openLists, callId);
        Call watch = remove(openWatches, callId);
        if (list != null && callId == newestList) {
            listSchedule.failed(list.startedAt(), now);
        }
        if (watch != null) {
            hastenList(now);
        }
        if (watch != null && callId == newestWatch) {
            watchSchedule.failed(watch.startedAt(), now);
        }
        return takeActions();
    }

    /** Has the full list published again, because an earlier change could not be passed on. */
    public void publishAgain() {
        members.publishNextList();
    }

    /** Whether a list has been received. */
    public boolean hasList() {
        return members.hasList();
    }

    /** The list is known to have been complete at this time; null before the first list. */
    public Instant confirmedAt() {
        return confirmedAt;
    }

    /** Makes the next list due now, unless lists are late: more of them would end those that are about to be answered. */
    private void hastenList(Instant now) {
        if (openLists.size() <= 1) {
            listSchedule.hasten(now);
        }
    }

    private void confirm(Call call) {
        if (confirmedAt == null || confirmedAt.isBefore(call.startedAt())) {
            confirmedAt = call.startedAt();
        }
    }

    private List<Action> takeActions() {
        List<Action> taken = new ArrayList<>();
        members.takeChanges().forEach(change -> taken.add(new Publish(change)));
        taken.addAll(actions);
        actions.clear();
        return taken;
    }

    private void startList(Instant now) {
        makeRoom(openLists, MAX_OPEN_LISTS);
        boolean isLate = !openLists.isEmpty();
        newestList = ++lastCallId;
        openLists.add(new Call(newestList, now, members.revision(), false));
        listSchedule.started(now, watchSchedule, isLate);
        actions.add(new StartList(newestList));
    }

    private void startWatch(Instant now) {
        makeRoom(openWatches, MAX_OPEN_WATCHES);
        newestWatch = ++lastCallId;
        long fromRevision = Math.max(members.revision() + 1, compactRevision);
        openWatches.add(new Call(newestWatch, now, fromRevision - 1, false));
        watchSchedule.started(now, listSchedule, false);
        actions.add(new StartWatch(newestWatch, fromRevision));
    }

    /** Ends an unanswered call if there are too many, but not the oldest: with a slow store none would ever be answered. */
    private void makeRoom(List<Call> openCalls, int maxCalls) {
        if (openCalls.size() >= maxCalls) {
            List<Call> unanswered =
                    openCalls.stream().filter(call -> !call.isAnswered()).toList();
            cancel(openCalls, unanswered.size() > 1 ? unanswered.get(1) : openCalls.get(0));
        }
    }

    private void endOverdueCalls(List<Call> openCalls, Instant now) {
        for (Call call : List.copyOf(openCalls)) {
            if (!call.isAnswered() && isOlderThan(call, CALL_TIMEOUT, now)) {
                cancel(openCalls, call);
            }
        }
    }

    private void retireWatches(Instant now) {
        int newestAnswered = openWatches.stream()
                .filter(Call::isAnswered)
                .mapToInt(Call::id)
                .max()
                .orElse(0);
        for (Call watch : List.copyOf(openWatches)) {
            if (watch.isAnswered() && watch.id() < newestAnswered && isOlderThan(watch, MIN_WATCH_AGE, now)) {
                cancel(openWatches, watch);
            }
        }
    }

    /** Ends the calls whose answers may belong to the history before; lists that were asked for later than this one stay open. */
    private void endCallsOfReplacedHistory(Call firstOfNewHistory) {
        List.copyOf(openWatches).forEach(watch -> cancel(openWatches, watch));
        for (Call list : List.copyOf(openLists)) {
            if (list.id() < firstOfNewHistory.id()) {
                cancel(openLists, list);
            }
        }
        openLists.replaceAll(list -> new Call(list.id(), list.startedAt(), members.revision(), false));
    }

    private static boolean isOlderThan(Call call, Duration age, Instant now) {
        return !now.isBefore(call.startedAt().plus(age));
    }

    private void cancel(List<Call> openCalls, Call call) {
        openCalls.remove(call);
        actions.add(new CancelCall(call.id()));
    }

    private static Call find(List<Call> openCalls, int callId) {
        return openCalls.stream()
                .filter(call -> call.id() == callId)
                .findFirst()
                .orElse(null);
    }

    private static Call remove(List<Call> openCalls, int callId) {
        Call call = find(openCalls, callId);
        openCalls.remove(call);
        return call;
    }
}

package copperbeam.membership;

import copperbeam.routing.MembershipSource.Change;
import copperbeam.routing.MembershipSource.Entry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Decides which calls a watch on the server list makes: the full list once, unless one is known from before, then one
 * long poll for changes after another, each right after the previous answer.
 *
 * <p>If a call isn't answered within its time, another one is made on a new connection while the first stays open, so
 * that no single connection can hide a drain. The time runs from the start of the call, so a partial or trickling answer
 * doesn't extend it. After a failure, calls are retried with {@link Backoff} and don't wait for changes until one is
 * answered, because a call that may wait can't be told from one that hangs.
 *
 * <p>When the address of the list service moves, calls at the old address stay open until the new one has given its full
 * list and {@link #MOVE_OVERLAP} has passed: the service counts an answer sent there as received.
 *
 * <p>Bounded by {@link #MAX_CALLS_PER_ADDRESS} and {@link #MAX_OLD_ADDRESSES}.
 */
public final class WatchPlan {
    /** What the caller, who does the I/O, has to do; actions are to be carried out in order. */
    public sealed interface Action permits StartCall, CancelCall, StartTimer, Publish {}

    /**
     * Starts a call.
     *
     * @param sinceVersion negative: ask for the full list; else for the changes since this version
     * @param maxWait how long the service may wait for a change before it answers
     */
    public record StartCall(int callId, InetSocketAddress address, long sinceVersion, Duration maxWait)
            implements Action {
        /** How long after its start the call is of no use any more; an answer may be late beyond the wait. */
        public Duration timeout() {
            return maxWait.plus(INFORMED_AFTER);
        }
    }

    /** Cancels a call, whose answer is no longer needed. */
    public record CancelCall(int callId) implements Action {}

    /** Asks for a call of {@link #onTimer} with this token after the delay. */
    public record StartTimer(Duration delay, int token) implements Action {}

    /** Publishes a change of the merged list. */
    public record Publish(Change change) implements Action {}

    /** An answer of the list service: the full list, or the changes since the version asked for. */
    public record Listing(long version, boolean full, List<Entry> entries) {}

    // The first two durations are set by the protocol, and all others here follow from them; see docs/design-watch.md.
    /**
     * The protocol counts a change as known to us this long after the list service could be asked for it or, if a call
     * hangs, this long after the call went silent.
     */
    public static final Duration INFORMED_AFTER = Duration.ofSeconds(6);
    /** The protocol counts what the new address knows as known to us this long after a move of the address. */
    static final Duration INFORMED_AFTER_MOVE = Duration.ofSeconds(4);
    /** Part of {@link #INFORMED_AFTER} reserved for delays of this machine, such as a busy core or a garbage collection. */
    private static final Duration LOCAL_DELAY_MARGIN = Duration.ofSeconds(1);
    /**
     * Time limit for establishing a connection. Below the 1 s after which an operating system sends a lost SYN again,
     * since a new call does so sooner.
     */
    public static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    /** How long after its wait a call may stay unanswered before it counts as silent; for an agent see {@link WatchPace}. */
    public static final Duration SILENCE_TIMEOUT = Duration.ofMillis(500);
    /**
     * Longest delay from a failure to the next call. A call may fail just before the list service is reachable again; the
     * next one is then still connected and answered within {@link #INFORMED_AFTER}. Not shorter, as an overloaded service
     * needs the time.
     */
    static final Duration MAX_RETRY_DELAY =
            INFORMED_AFTER.minus(LOCAL_DELAY_MARGIN).minus(CONNECT_TIMEOUT).minus(SILENCE_TIMEOUT);
    /** Longest time from one call to the next, whatever became of the first: a silence timeout and a retry delay. */
    static final Duration MAX_CALL_INTERVAL = MAX_RETRY_DELAY.plus(SILENCE_TIMEOUT);
    /**
     * How long a call to a service that all processes ask may wait for a change. This is {@link #INFORMED_AFTER} minus
     * three times {@link #SILENCE_TIMEOUT} and minus the first two retry delays of 0.5 s and 1 s, so that three more calls
     * have been made in time, of which two may be silent too. If a waiting call falls silent, the protocol counts its change
     * as known 2 s after the wait if that is later than {@link #INFORMED_AFTER}; for waits of up to 4 s it is not.
     */
    public static final Duration MAX_POLL_WAIT = Duration.ofSeconds(3);
    /**
     * Shortest time from one call to the next if the first brought nothing new. Guards against a busy loop with a service
     * that answers each long poll at once with nothing; below the 200 ms after which the service counts a watch as new.
     */
    static final Duration MIN_CALL_INTERVAL = Duration.ofMillis(100);
    /** How long a call after a failure may wait: practically not at all. Not 0, which would not be a long poll. */
    static final Duration RETRY_POLL_WAIT = Duration.ofMillis(1);

    /**
     * How long an old address is kept after the new one has given its list. The service closes the connections at an
     * old address 1.5 s after a move.
     */
    public static final Duration MOVE_OVERLAP = Duration.ofSeconds(2);
    /** By how much one address may lag behind another; after that the new one has every change that counts as known. */
    public static final Duration MAX_SOURCE_LAG = INFORMED_AFTER.plus(INFORMED_AFTER_MOVE);

    static final int MAX_CALLS_PER_ADDRESS = 3;
    static final int MAX_OLD_ADDRESSES = 2;

    private static final class AddressState {
        final InetSocketAddress address;
        int source; // number of this address as a source of the list; a new one whenever its versions go back
        boolean hasList;
        int failures; // consecutive; a call that timed out counts as one
        long version = -1;
        boolean minIntervalPassed; // MIN_CALL_INTERVAL has passed since the newest call
        boolean nextCallDeferred; // the next call is due once minIntervalPassed
        final List<Integer> openCalls = new ArrayList<>();
        int newestCall; // the newest call; all other open calls have timed out, or were begun before a late answer
        boolean newestWaits; // the newest call may wait for a change

        AddressState(InetSocketAddress address, int source) {
            this.address = address;
            this.source = source;
        }
    }

    private enum TimerKind {
        NEXT_CALL,
        MIN_INTERVAL,
        AFTER_MOVE,
        LEAVE_OLD_ADDRESS,
        HELD_ENTRIES
    }

    private record Timer(TimerKind kind, AddressState address, int callId) {}

    private final MergedMembers mergedMembers;
    private final Backoff backoff;
    private final WatchPace pace;
    private final List<AddressState> oldAddresses = new ArrayList<>();
    private final TreeMap<Integer, Timer> timers = new TreeMap<>();
    private AddressState current;
    private int lastSource;
    private int lastCallId;
    private int lastToken;
    private List<Action> actions = new ArrayList<>();

    public WatchPlan(Backoff backoff) {
        this(backoff, WatchPace.ofService(), false);
    }

    /** {@code serversExpected}: the last known list had servers, so an empty first list is not accepted at once. */
    public WatchPlan(Backoff backoff, WatchPace pace, boolean serversExpected) {
        this.pace = pace;
        this.backoff = backoff.cappedAt(MAX_RETRY_DELAY);
        mergedMembers = new MergedMembers(MAX_SOURCE_LAG, serversExpected);
    }

    /**
     * Starts from a list known from before, and asks only for the changes since. Guards against many processes that start
     * at once and all ask for the full list: as the work of the list service grows with each entry it sends, most of them
     * would wait for many seconds.
     */
    public List<Action> startFrom(InetSocketAddress address, Listing known, Instant now) {
        current = new AddressState(address, ++lastSource);
        current.hasList = true;
        current.version = known.version();
        mergedMembers.applyFullList(current.source, known.entries(), now);
        startCall(current);
        return takeActions();
    }

    /** Starts without a known list, or goes on at another address. */
    public List<Action> moveTo(InetSocketAddress address) {
        if (current != null && current.address.equals(address)) {
            return takeActions();
        }
        if (current != null && current.hasList) {
            oldAddresses.add(current);
            if (oldAddresses.size() > MAX_OLD_ADDRESSES) {
                abandon(oldAddresses.get(0));
            }
        } else if (current != null) {
            abandon(current);
        }
        boolean moved = current != null;
        current = new AddressState(address, ++lastSource);
        startCall(current);
        if (moved) {
            // what the new address knows by then counts as known to us, however long the backoff has grown
            startTimer(INFORMED_AFTER_MOVE.plus(backoff.delayAfter(1)), TimerKind.AFTER_MOVE, current, 0);
        }
        return takeActions();
    }

    /** Handles the answer to a call. */
    public List<Action> onAnswer(int callId, Listing listing, Instant now) {
        AddressState address = addressOf(callId);
        if (address == null) {
            return takeActions();
        }
        if (!address.hasList && !listing.full()) {
            return onFailure(callId, false); // with a delay: without one, the same answer might come again and again
        }
        if (listing.full() && listing.version() < address.version && address == current) {
            address.source = ++lastSource; // the service has lost changes there: treated like a source that lags
        }
        if (listing.full() && mergedMembers.isDoubtfulEmptyList(address.source, listing.entries(), now)) {
            // the next call asks for the full list again: changes would omit the servers that are gone already
            address.hasList = false;
            return onFailure(callId, false);
        }
        boolean hasNews =
                listing.version() > address.version && !listing.entries().isEmpty();
        address.openCalls.remove((Integer) callId);
        address.failures = 0;
        cancelOlder(address, callId);
        if (!listing.full() && listing.version() < address.version) {
            address.hasList = false; // the service has restarted: its changes refer to a list that we don't have
            hasNews = true;
        } else {
            boolean isFirstList = !address.hasList;
            address.hasList = true;
            address.version = listing.version();
            Change change = listing.full()
                    ? mergedMembers.applyFullList(address.source, listing.entries(), now)
                    : mergedMembers.applyDelta(address.source, listing.entries(), now);
            publish(change, listing.full() && address == current);
            if (isFirstList && address == current) {
                oldAddresses.forEach(o -> startTimer(MOVE_OVERLAP, TimerKind.LEAVE_OLD_ADDRESS, o, 0));
            }
            Instant nextDueAt = mergedMembers.nextDueAt();
            if (nextDueAt != null) {
                startTimer(Duration.between(now, nextDueAt), TimerKind.HELD_ENTRIES, null, 0);
            }
        }
        boolean isWaiting = address.newestWaits && address.openCalls.contains(address.newestCall);
        address.nextCallDeferred = !isWaiting && !hasNews && !address.minIntervalPassed;
        if (!isWaiting && !address.nextCallDeferred) {
            startCall(address);
        }
        return takeActions();
    }

    /** Handles a failed call. {@code versionGone}: the service no longer has the version that was asked for. */
    public List<Action> onFailure(int callId, boolean versionGone) {
        AddressState address = addressOf(callId);
        if (address != null) {
            address.openCalls.remove((Integer) callId);
            address.hasList &= !versionGone || address != current;
            if (callId == address.newestCall) {
                // even if other calls are open: they have timed out, and as long as one trickles nothing else would
                // retry
                startTimer(backoff.delayAfter(++address.failures), TimerKind.NEXT_CALL, address, callId);
            }
        }
        return takeActions();
    }

    /** Handles a timer that has run out. */
    public List<Action> onTimer(int token, Instant now) {
        Timer timer = timers.remove(token);
        if (timer != null) {
            switch (timer.kind()) {
                case NEXT_CALL -> {
                    AddressState address = timer.address();
                    if (isInUse(address) && timer.callId() == address.newestCall) {
                        // a call that has failed is already counted
                        address.failures += address.openCalls.contains(timer.callId()) ? 1 : 0;
                        startCall(address);
                    }
                }
                case MIN_INTERVAL -> {
                    AddressState address = timer.address();
                    address.minIntervalPassed = timer.callId() == address.newestCall;
                    if (isInUse(address) && address.minIntervalPassed && address.nextCallDeferred) {
                        startCall(address);
                    }
                }
                case AFTER_MOVE -> {
                    if (timer.address() == current && (!current.hasList || current.failures > 0)) {
                        startCall(current);
                    }
                }
                case LEAVE_OLD_ADDRESS -> abandon(timer.address());
                case HELD_ENTRIES -> publish(mergedMembers.takeDueEntries(now), false);
                default -> throw new AssertionError(timer.kind());
            }
        }
        return takeActions();
    }

    /** Makes another call now; for a caller that has lost a timer, so that no call would follow. */
    public List<Action> callAgain() {
        if (current != null) {
            startCall(current);
        }
        return takeActions();
    }

    /** Whether the full list of the current address has been received. */
    public boolean hasList() {
        return current != null && current.hasList;
    }

    private List<Action> takeActions() {
        List<Action> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    private void startCall(AddressState address) {
        if (address.openCalls.size() >= MAX_CALLS_PER_ADDRESS) {
            // not the first: with a slow service no call would ever complete
            cancel(address, address.openCalls.get(1));
        }
        int callId = ++lastCallId;
        address.openCalls.add(callId);
        address.newestCall = callId;
        address.minIntervalPassed = false;
        address.nextCallDeferred = false;
        Duration pollWait = address.failures == 0 ? pace.pollWait() : RETRY_POLL_WAIT;
        Duration maxWait = address.hasList ? pollWait : Duration.ZERO;
        address.newestWaits = address.hasList && address.failures == 0;
        Duration silenceTimeout = address.hasList ? pace.silenceTimeout() : SILENCE_TIMEOUT;
        actions.add(new StartCall(callId, address.address, address.hasList ? address.version : -1, maxWait));
        startTimer(MIN_CALL_INTERVAL, TimerKind.MIN_INTERVAL, address, callId);
        // this timer stays in force if the call fails: a failed attempt to connect may take long, and the retry delay
        // is added to it
        Duration silentAfter = maxWait.plus(silenceTimeout)
                .plus(address.failures > 0 ? backoff.delayAfter(address.failures) : Duration.ZERO);
        startTimer(
                silentAfter.compareTo(MAX_CALL_INTERVAL) < 0 ? silentAfter : MAX_CALL_INTERVAL,
                TimerKind.NEXT_CALL,
                address,
                callId);
    }

    private void publish(Change change, boolean evenIfEmpty) {
        if (evenIfEmpty || !change.entries().isEmpty()) {
            actions.add(new Publish(change));
        }
    }

    private void startTimer(Duration delay, TimerKind kind, AddressState address, int callId) {
        // earlier timers of this kind are obsolete; so are NEXT_CALL timers of calls that another call has followed
        timers.values()
                .removeIf(timer -> timer.kind() == kind
                        && timer.address() == address
                        && (kind != TimerKind.NEXT_CALL || timer.callId() != address.newestCall));
        timers.put(++lastToken, new Timer(kind, address, callId));
        actions.add(new StartTimer(delay.isNegative() ? Duration.ZERO : delay, lastToken));
    }

    private boolean isInUse(AddressState address) {
        return address == current || oldAddresses.contains(address);
    }

    private void abandon(AddressState address) {
        cancelAll(address);
        oldAddresses.remove(address);
        timers.values().removeIf(t -> t.address() == address);
    }

    /** Cancels the calls that began before this one; the answers of later ones may have changes that this one's hasn't. */
    private void cancelOlder(AddressState address, int callId) {
        for (int openCall : List.copyOf(address.openCalls)) {
            if (openCall < callId) {
                cancel(address, openCall);
            }
        }
    }

    private void cancelAll(AddressState address) {
        while (!address.openCalls.isEmpty()) {
            cancel(address, address.openCalls.get(0));
        }
    }

    private void cancel(AddressState address, int callId) {
        address.openCalls.remove((Integer) callId);
        actions.add(new CancelCall(callId));
    }

    private AddressState addressOf(int callId) {
        if (current != null && current.openCalls.contains(callId)) {
            return current;
        }
        return oldAddresses.stream()
                .filter(a -> a.openCalls.contains(callId))
                .findFirst()
                .orElse(null);
    }
}

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
    public sealed interface Step permits Ask, Drop, Wake, Tell {}

    /**
     * Starts a call.
     *
     * @param sinceVersion negative: ask for the full list; else for the changes since this version
     * @param maxWait how long the service may wait for a change before it answers
     */
    public record Ask(int call, InetSocketAddress at, long from, Duration hold) implements Step {}

    /** Cancels a call, whose answer is no longer needed. */
    public record Drop(int call) implements Step {}

    /** Asks for a call of {@link #onTimer} with this token after the delay. */
    public record Wake(Duration after, int token) implements Step {}

    /** Publishes a change of the merged list. */
    public record Tell(Change change) implements Step {}

    /** An answer of the list service: the full list, or the changes since the version asked for. */
    public record Listing(long version, boolean full, List<Entry> entries) {}

    // The first two durations are set by the protocol, and all others here follow from them; see docs/design-watch.md.
    /**
     * The protocol counts a change as known to us this long after the list service could be asked for it or, if a call
     * hangs, this long after the call went silent.
     */
    public static final Duration TOLD = Duration.ofSeconds(6);
    /** The protocol counts what the new address knows as known to us this long after a move of the address. */
    static final Duration MOVED = Duration.ofSeconds(4);
    /** Part of {@link #INFORMED_AFTER} reserved for delays of this machine, such as a busy core or a garbage collection. */
    private static final Duration MARGIN = Duration.ofSeconds(1);
    /**
     * Time limit for establishing a connection. Below the 1 s after which an operating system sends a lost SYN again,
     * since a new call does so sooner.
     */
    public static final Duration CONNECT = Duration.ofMillis(500);
    /**
     * How long after its wait a call may stay unanswered before it counts as silent. After an outage, what a local agent
     * has counts as known to us at once, and the last call may have been lost in that outage: this timeout, a retry delay
     * of 0.1 s and the next answer fit into the 1 s within which a change must be acted on.
     */
    public static final Duration SILENCE = Duration.ofMillis(500);
    /**
     * Longest delay from a failure to the next call. A call may fail just before the list service is reachable again; the
     * next one is then still connected and answered within {@link #INFORMED_AFTER}. Not shorter, as an overloaded service
     * needs the time.
     */
    static final Duration PAUSE = TOLD.minus(MARGIN).minus(CONNECT).minus(SILENCE);
    /** Longest time from one call to the next, whatever became of the first: a silence timeout and a retry delay. */
    static final Duration NEXT = PAUSE.plus(SILENCE);
    /**
     * How long a call may wait for a change. This is {@link #INFORMED_AFTER} minus three times {@link #SILENCE_TIMEOUT}
     * and minus the first two retry delays of 0.5 s and 1 s, so that three more calls have been made in time, of which
     * two may be silent too. If a waiting call falls silent, the protocol counts its change as known 2 s after the wait if
     * that is later than {@link #INFORMED_AFTER}; for waits of up to 4 s it is not.
     */
    public static final Duration HOLD = Duration.ofSeconds(3);
    /**
     * Shortest time from one call to the next if the first brought nothing new. Guards against a busy loop with a service
     * that answers each long poll at once with nothing; below the 200 ms after which the service counts a watch as new.
     */
    static final Duration SPACE = Duration.ofMillis(100);
    /** How long a call after a failure may wait: practically not at all. Not 0, which would not be a long poll. */
    static final Duration BRIEF = Duration.ofMillis(1);

    /** How long an old address is kept after the new one has given its list; it closes its connections 1.5 s after a move. */
    public static final Duration OVERLAP = Duration.ofSeconds(2);
    /** By how much one address may lag behind another; after that the new one has every change that counts as known. */
    public static final Duration CARE = TOLD.plus(MOVED);

    static final int MOST_CALLS = 3;
    static final int MOST_OLD = 2;

    private static final class Address {
        final InetSocketAddress at;
        int teller; // a new number whenever its versions go back
        boolean listed;
        int failures; // consecutive; a call that timed out counts as one
        long version = -1;
        boolean spaced; // MIN_CALL_INTERVAL has passed since the newest call
        boolean waits; // the next call is due once minIntervalPassed
        final List<Integer> calls = new ArrayList<>();
        int last; // the newest call; all other open calls have timed out

        Address(InetSocketAddress at, int teller) {
            this.at = at;
            this.teller = teller;
        }
    }

    private enum Due {
        NEXT,
        SPACE,
        MOVED,
        LEAVE,
        CARE
    }

    private record Timer(Due what, Address address, int call) {}

    private final MemberBook book;
    private final Backoff backoff;
    private final List<Address> old = new ArrayList<>();
    private final TreeMap<Integer, Timer> timers = new TreeMap<>();
    private Address current;
    private int tellers;
    private int calls;
    private int tokens;
    private List<Step> steps = new ArrayList<>();

    public WatchPlan(Backoff backoff) {
        this(backoff, false);
    }

    /** {@code serversExpected}: the last known list had servers, so an empty first list is not accepted at once. */
    public WatchPlan(Backoff backoff, boolean servers) {
        this.backoff = backoff.atMost(PAUSE);
        book = new MemberBook(CARE, servers);
    }

    /**
     * Starts from a list known from before, and asks only for the changes since. Guards against many processes that start
     * at once and all ask for the full list: as the work of the list service grows with each entry it sends, most of them
     * would wait for many seconds.
     */
    public List<Step> begin(InetSocketAddress at, Listing known, Instant now) {
        current = new Address(at, ++tellers);
        current.listed = true;
        current.version = known.version();
        book.whole(current.teller, known.entries(), now);
        ask(current);
        return done();
    }

    /** Starts without a known list, or goes on at another address. */
    public List<Step> move(InetSocketAddress to) {
        if (current != null && current.at.equals(to)) {
            return done();
        }
        if (current != null && current.listed) {
            old.add(current);
            if (old.size() > MOST_OLD) {
                leave(old.get(0));
            }
        } else if (current != null) {
            leave(current);
        }
        boolean moves = current != null;
        current = new Address(to, ++tellers);
        ask(current);
        if (moves) {
            // what the new address knows by then counts as known to us, however long the backoff has grown
            wake(MOVED.plus(backoff.after(1)), Due.MOVED, current, 0);
        }
        return done();
    }

    /** Handles the answer to a call. */
    public List<Step> answered(int call, Listing listing, Instant now) {
        Address a = of(call);
        if (a == null) {
            return done();
        }
        if (!a.listed && !listing.full()) {
            return failed(call, false); // retried at once, it might be answered like this forever
        }
        if (listing.full() && listing.version() < a.version && a == current) {
            a.teller = ++tellers; // it has lost changes, and is treated like a source that lags
        }
        if (listing.full() && book.doubts(a.teller, listing.entries(), now)) {
            a.listed =
                    false; // asks for the full list until it is accepted: changes would omit servers already gone
            return failed(call, false);
        }
        boolean news = listing.version() > a.version && !listing.entries().isEmpty();
        a.calls.remove((Integer) call);
        a.failures = 0;
        dropAll(a);
        if (!listing.full() && listing.version() < a.version) {
            a.listed = false; // the service has restarted: its changes refer to a list that we don't have
            news = true;
        } else {
            boolean first = !a.listed;
            a.listed = true;
            a.version = listing.version();
            Change change = listing.full()
                    ? book.whole(a.teller, listing.entries(), now)
                    : book.changes(a.teller, listing.entries(), now);
            tell(change, listing.full() && a == current);
            if (first && a == current) {
                old.forEach(o -> wake(OVERLAP, Due.LEAVE, o, 0));
            }
            Instant next = book.next();
            if (next != null) {
                wake(Duration.between(now, next), Due.CARE, null, 0);
            }
        }
        a.waits = !news && !a.spaced;
        if (!a.waits) {
            ask(a);
        }
        return done();
    }

    /** Handles a failed call. {@code versionGone}: the service no longer has the version that was asked for. */
    public List<Step> failed(int call, boolean gone) {
        Address a = of(call);
        if (a != null) {
            a.calls.remove((Integer) call);
            a.listed &= !gone || a != current;
            if (call == a.last) {
                // even if other calls are open: they have timed out, and as long as one trickles nothing else would retry
                wake(backoff.after(++a.failures), Due.NEXT, a, call);
            }
        }
        return done();
    }

    /** Handles a timer that has run out. */
    public List<Step> woken(int token, Instant now) {
        Timer t = timers.remove(token);
        if (t != null) {
            switch (t.what()) {
                case NEXT -> {
                    Address a = t.address();
                    if (lives(a) && t.call() == a.last) {
                        // a call that has failed is already counted
                        a.failures += a.calls.contains(t.call()) ? 1 : 0;
                        ask(a);
                    }
                }
                case SPACE -> {
                    Address a = t.address();
                    a.spaced = t.call() == a.last;
                    if (lives(a) && a.spaced && a.waits) {
                        ask(a);
                    }
                }
                case MOVED -> {
                    if (t.address() == current && (!current.listed || current.failures > 0)) {
                        ask(current);
                    }
                }
                case LEAVE -> leave(t.address());
                case CARE -> tell(book.due(now), false);
                default -> throw new AssertionError(t.what());
            }
        }
        return done();
    }

    /** Whether the full list of the current address has been received. */
    public boolean listed() {
        return current != null && current.listed;
    }

    private List<Step> done() {
        List<Step> all = steps;
        steps = new ArrayList<>();
        return all;
    }

    private void ask(Address a) {
        if (a.calls.size() >= MOST_CALLS) {
            // not the first: with a slow service no call would ever complete
            drop(a, a.calls.get(1));
        }
        int call = ++calls;
        a.calls.add(call);
        a.last = call;
        a.spaced = false;
        a.waits = false;
        Duration hold = !a.listed ? Duration.ZERO : a.failures == 0 ? HOLD : BRIEF;
        steps.add(new Ask(call, a.at, a.listed ? a.version : -1, hold));
        wake(SPACE, Due.SPACE, a, call);
        // this timer also applies if the call fails: a connection that can't be established takes its time, and the retry
        // delay comes on top
        Duration silent = hold.plus(SILENCE).plus(a.failures > 0 ? backoff.after(a.failures) : Duration.ZERO);
        wake(silent.compareTo(NEXT) < 0 ? silent : NEXT, Due.NEXT, a, call);
    }

    private void tell(Change change, boolean always) {
        if (always || !change.entries().isEmpty()) {
            steps.add(new Tell(change));
        }
    }

    private void wake(Duration after, Due what, Address address, int call) {
        // earlier timers of this kind are obsolete; so are NEXT_CALL timers of calls that another call has followed
        timers.values()
                .removeIf(t ->
                        t.what() == what && t.address() == address && (what != Due.NEXT || t.call() != address.last));
        timers.put(++tokens, new Timer(what, address, call));
        steps.add(new Wake(after.isNegative() ? Duration.ZERO : after, tokens));
    }

    private boolean lives(Address a) {
        return a == current || old.contains(a);
    }

    private void leave(Address a) {
        dropAll(a);
        old.remove(a);
        timers.values().removeIf(t -> t.address() == a);
    }

    private void dropAll(Address a) {
        while (!a.calls.isEmpty()) {
            drop(a, a.calls.get(0));
        }
    }

    private void drop(Address a, int call) {
        a.calls.remove((Integer) call);
        steps.add(new Drop(call));
    }

    private Address of(int call) {
        if (current != null && current.calls.contains(call)) {
            return current;
        }
        return old.stream().filter(a -> a.calls.contains(call)).findFirst().orElse(null);
    }
}

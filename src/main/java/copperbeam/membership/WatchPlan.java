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
 * Which calls a watch on the list has out: the whole list once, unless one is known from before, then one watch after
 * another, each at once after the last answer. A call that is silent beyond what it may take is asked beside itself on
 * a new connection, so that no single connection can hide a drain: its time runs from when it was asked, so that half
 * an answer, or one that dribbles, gains none. After failures it asks again by {@link Backoff}, and only for what is
 * there, until something is answered: who may wait cannot be told from who is silent.
 * During a move the old address is listened to until the new one has given its list and {@link #OVERLAP} more has
 * passed: an answer on its way there is told, whoever reads it.
 *
 * <p>Bounded: {@link #MOST_CALLS} calls an address, {@link #MOST_OLD} addresses beside the current one.
 */
public final class WatchPlan {
    /** What a step asks of whoever does the calling, in order. */
    public sealed interface Step permits Ask, Drop, Wake, Tell {}

    /** {@code from} below 0: the whole list; else what has changed since, waited for {@code hold} at most. */
    public record Ask(int call, InetSocketAddress at, long from, Duration hold) implements Step {}

    /** The call's answer is no longer wanted. */
    public record Drop(int call) implements Step {}

    /** {@link #woken} wants to be called after this time. */
    public record Wake(Duration after, int token) implements Step {}

    /** The list has changed. */
    public record Tell(Change change) implements Step {}

    /** An answer of discovery. */
    public record Listing(long version, boolean full, List<Entry> entries) {}

    // the protocol's clock, from which all other times here are worked out; docs/design-watch.md has the cases
    /** What discovery has counts as told so long after it could be asked, and what a silence hides after its begin. */
    public static final Duration TOLD = Duration.ofSeconds(6);
    /** After a move of the address, what is there counts as told. */
    static final Duration MOVED = Duration.ofSeconds(4);
    /** Of {@link #TOLD} for this machine: a busy core, a garbage collection. */
    private static final Duration MARGIN = Duration.ofSeconds(1);
    /**
     * Until a connection is up, or the call has failed. Below the 1 s after which a system asks for one again: a new call
     * does so sooner.
     */
    public static final Duration CONNECT = Duration.ofMillis(500);
    /**
     * Beyond what an answer may take. What an agent has after an outage counts as told at once, and the last call may
     * have been lost in that outage: this, a pause of 0.1 s and the next answer fit into the 1 s in which to act.
     */
    public static final Duration SILENCE = Duration.ofMillis(500);
    /**
     * From a failure to the next call at most: the last may come just before discovery can be reached, and the next is
     * then connected and answered within {@link #TOLD}. Not less, as an overrun service needs the time.
     */
    static final Duration PAUSE = TOLD.minus(MARGIN).minus(CONNECT).minus(SILENCE);
    /** From a call to the next at most, whatever became of it: a silent one is found out, and paused after. */
    static final Duration NEXT = PAUSE.plus(SILENCE);
    /**
     * {@link #TOLD} less three times {@link #SILENCE} and the first two pauses of 0.5 and 1 s: by then three more calls
     * are out, of which two may be silent too. A call that may wait counts 2 s after its wait if that is later than
     * {@link #TOLD}; up to 4 s it is not.
     */
    public static final Duration HOLD = Duration.ofSeconds(3);
    /**
     * From a call to the next where nothing new came of it. Guards against an address that answers each watch at once with
     * nothing; below the 200 ms after which a watch is new.
     */
    static final Duration SPACE = Duration.ofMillis(100);
    /** After a failure: what is there, at once. Not 0, which is no watch. */
    static final Duration BRIEF = Duration.ofMillis(1);

    public static final Duration OVERLAP = Duration.ofSeconds(2); // an old address closes 1.5 s after a move
    /** What one address may know later than another: what counts as told at the new one is there by then. */
    public static final Duration CARE = TOLD.plus(MOVED);

    static final int MOST_CALLS = 3;
    static final int MOST_OLD = 2;

    private static final class Address {
        final InetSocketAddress at;
        int teller; // anew whenever its versions go back
        boolean listed;
        int failures; // in a row; a call that is silent too long is one
        long version = -1;
        boolean spaced; // SPACE has passed since the newest call
        boolean waits; // for that with the next
        final List<Integer> calls = new ArrayList<>();
        int last; // the newest call; all others that are out have been silent for too long

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

    /** {@code servers}: there were some when a list was last had, so that an empty first one is not believed at once. */
    public WatchPlan(Backoff backoff, boolean servers) {
        this.backoff = backoff.atMost(PAUSE);
        book = new MemberBook(CARE, servers);
    }

    /**
     * Begins with a list from before, of which it asks what has changed since. Guards against whole lists asked for by
     * all that start at once: where discovery works for each line, most of them wait for many seconds.
     */
    public List<Step> begin(InetSocketAddress at, Listing known, Instant now) {
        current = new Address(at, ++tellers);
        current.listed = true;
        current.version = known.version();
        book.whole(current.teller, known.entries(), now);
        ask(current);
        return done();
    }

    /** Begins with nothing, or goes on at another address. */
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
            // what is there by then counts at once, however long the backoff has grown
            wake(MOVED.plus(backoff.after(1)), Due.MOVED, current, 0);
        }
        return done();
    }

    /** {@code listing} is what the call was answered with. */
    public List<Step> answered(int call, Listing listing, Instant now) {
        Address a = of(call);
        if (a == null) {
            return done();
        }
        if (!a.listed && !listing.full()) {
            return failed(call, false); // made anew at once it might be answered so for ever
        }
        if (listing.full() && listing.version() < a.version && a == current) {
            a.teller = ++tellers; // it remembers less than it did, and is as one that lags
        }
        if (listing.full() && book.doubts(a.teller, listing.entries(), now)) {
            a.listed =
                    false; // asked for whole until it is believed: what it would say of changes leaves out who has left
            return failed(call, false);
        }
        boolean news = listing.version() > a.version && !listing.entries().isEmpty();
        a.calls.remove((Integer) call);
        a.failures = 0;
        dropAll(a);
        if (!listing.full() && listing.version() < a.version) {
            a.listed = false; // discovery began anew: changes against a list that we do not hold say nothing
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

    /** {@code gone}: the address no longer takes the version that was asked for. */
    public List<Step> failed(int call, boolean gone) {
        Address a = of(call);
        if (a != null) {
            a.calls.remove((Integer) call);
            a.listed &= !gone || a != current;
            if (call == a.last) {
                // though others are out: they are silent, and as long as one of them dribbles nobody else would ask
                wake(backoff.after(++a.failures), Due.NEXT, a, call);
            }
        }
        return done();
    }

    /** A time that was asked for has come. */
    public List<Step> woken(int token, Instant now) {
        Timer t = timers.remove(token);
        if (t != null) {
            switch (t.what()) {
                case NEXT -> {
                    Address a = t.address();
                    if (lives(a) && t.call() == a.last) {
                        a.failures += a.calls.contains(t.call()) ? 1 : 0; // one that failed has been counted
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

    /** Whether a list of the current address is in. */
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
            drop(a, a.calls.get(1)); // not the first: an address may be slow, and would never be heard out
        }
        int call = ++calls;
        a.calls.add(call);
        a.last = call;
        a.spaced = false;
        a.waits = false;
        Duration hold = !a.listed ? Duration.ZERO : a.failures == 0 ? HOLD : BRIEF;
        steps.add(new Ask(call, a.at, a.listed ? a.version : -1, hold));
        wake(SPACE, Due.SPACE, a, call);
        // stands also where the call fails: a connection that does not come up takes its time, and the pause after it
        // more
        Duration silent = hold.plus(SILENCE).plus(a.failures > 0 ? backoff.after(a.failures) : Duration.ZERO);
        wake(silent.compareTo(NEXT) < 0 ? silent : NEXT, Due.NEXT, a, call);
    }

    private void tell(Change change, boolean always) {
        if (always || !change.entries().isEmpty()) {
            steps.add(new Tell(change));
        }
    }

    private void wake(Duration after, Due what, Address address, int call) {
        // those of calls that have been followed by another tell nothing
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

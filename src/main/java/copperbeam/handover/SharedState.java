package copperbeam.handover;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Collections;
import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * What the processes of one conductor know in common; immutable. Each process holds one, merges what it reads into it
 * and writes it: whoever writes last over the other's file loses nothing, as the other still holds its own and merges.
 *
 * <p>At most {@value #MOST_BANS} bans are remembered: put-backs, oldest first, are forgotten before bans in force,
 * which stay even where a merge finds more of them than that. At most {@value #MOST_LIVES} lives are: the latest
 * started. A put-back that is forgotten no longer overrides an older ban that another process still holds.
 *
 * @param bans by server; those put back are kept, so that an older ban does not come back in a merge
 * @param lives by incarnation, a name that no other process of this conductor ever has
 */
public record SharedState(SortedMap<String, Ban> bans, Drain drain, SortedMap<String, Life> lives) {
    static final int MOST_BANS = 4096;
    static final int MOST_LIVES = 8;

    private static final BinaryOperator<Ban> LATER_BAN = BinaryOperator.maxBy(
            Comparator.comparingLong(Ban::turn).thenComparing(Ban::at).thenComparing(Ban::out));
    private static final BinaryOperator<Drain> LATER_DRAIN = BinaryOperator.maxBy(
            Comparator.comparingLong(Drain::turn).thenComparing(Drain::at).thenComparing(Drain::drained));
    private static final Comparator<Map.Entry<String, Life>> BY_START = Comparator.comparing(
                    (Map.Entry<String, Life> life) -> life.getValue().started())
            .thenComparing(Map.Entry::getKey);

    /** Nothing by hand, and no process. */
    public static final SharedState EMPTY =
            new SharedState(new TreeMap<>(), new Drain(0, false, Instant.EPOCH), new TreeMap<>());

    /**
     * A server left out by hand, or put back.
     *
     * @param turn from 1, one more with each change
     * @param at by the machine's wall clock; decides only between equal turns
     */
    public record Ban(long turn, boolean out, Instant at) {
        public Ban {
            require(turn >= 1, "a ban's turn below 1");
            Objects.requireNonNull(at);
        }
    }

    /**
     * The conductor drained by hand, or back at work.
     *
     * @param turn from 0, which is before any word by hand
     * @param at as in {@link Ban}
     */
    public record Drain(long turn, boolean drained, Instant at) {
        public Drain {
            require(turn >= 0, "a drain's turn below 0");
            Objects.requireNonNull(at);
        }
    }

    /** In order; a process never goes back. */
    public enum Phase {
        STARTING,
        SERVING,
        LEAVING
    }

    /**
     * One process.
     *
     * @param started by the machine's wall clock; the same all the life long
     * @param slot which lock byte it holds as long as it lives
     */
    public record Life(Instant started, Phase phase, int slot) {
        public Life {
            require(slot >= 0, "a slot below 0");
            Objects.requireNonNull(started);
            Objects.requireNonNull(phase);
        }

        private Life merge(Life other) {
            return new Life(later(started, other.started), later(phase, other.phase), Math.max(slot, other.slot));
        }

        private static <T extends Comparable<? super T>> T later(T a, T b) {
            return a.compareTo(b) >= 0 ? a : b;
        }
    }

    /** Copies the maps and forgets what is beyond the bounds; an IllegalArgumentException on a name not in Unicode. */
    public SharedState {
        Objects.requireNonNull(drain);
        bans = bounded(bans, MOST_BANS, ban -> !ban.out(), Ban::at);
        lives = bounded(lives, MOST_LIVES, life -> true, Life::started);
    }

    /**
     * Both as one: of each ban and of the drain the higher turn, then the later time, then out or drained; of each life
     * the later phase. Commutative and idempotent; associative too as long as no put-back is forgotten and each life
     * is told with one start.
     */
    public SharedState merge(SharedState other) {
        return new SharedState(
                union(bans, other.bans, LATER_BAN),
                LATER_DRAIN.apply(drain, other.drain),
                union(lives, other.lives, Life::merge));
    }

    /**
     * A server left out or put back by hand; the same state where it is so already, also for one never heard of put
     * back.
     *
     * @throws IllegalStateException where {@value #MOST_BANS} servers are out already
     * @throws IllegalArgumentException on a name that is not Unicode
     */
    public SharedState ban(String server, boolean out, Instant at) {
        if (out(server) == out) {
            return this;
        }
        if (out && banned().size() >= MOST_BANS) {
            throw new IllegalStateException(MOST_BANS + " servers are left out by hand already");
        }
        long turn = bans.containsKey(server) ? bans.get(server).turn() + 1 : 1;
        return merge(new SharedState(single(server, new Ban(turn, out, at)), drain, lives));
    }

    /** The conductor drained by hand or back at work; the same state where it is so already. */
    public SharedState drain(boolean drained, Instant at) {
        return drain.drained() == drained
                ? this
                : new SharedState(bans, new Drain(drain.turn() + 1, drained, at), lives);
    }

    /** With what a process says of itself; an earlier phase than is known changes nothing. */
    public SharedState life(String incarnation, Life life) {
        return merge(new SharedState(bans, drain, single(incarnation, life)));
    }

    /**
     * Without the lives that are over: those whose slot is not in use, and those whose slot a later one has, as a
     * process that crashed while it served would else pass for a successor as soon as the next holds its slot.
     *
     * @param slots whose lock bytes are held, the caller's own included
     */
    public SharedState living(Set<Integer> slots) {
        SortedMap<String, Life> alive = new TreeMap<>(lives);
        alive.entrySet()
                .removeIf(life -> !slots.contains(life.getValue().slot())
                        || lives.entrySet().stream()
                                .anyMatch(o ->
                                        o.getValue().slot() == life.getValue().slot()
                                                && BY_START.compare(o, life) > 0));
        return new SharedState(bans, drain, alive);
    }

    /** Whether a server is left out by hand. */
    public boolean out(String server) {
        return bans.containsKey(server) && bans.get(server).out();
    }

    /** The servers left out by hand. */
    public Set<String> banned() {
        Set<String> banned = new TreeSet<>(bans.keySet());
        banned.removeIf(server -> !out(server));
        return banned;
    }

    /**
     * The latest started of the processes that serve and started after this one (of two that started at once the one
     * with the later name counts as later); none where this one is not known itself.
     */
    public Optional<Life> successor(String incarnation) {
        Life own = lives.get(incarnation);
        return lives.entrySet().stream()
                .filter(life -> own != null && BY_START.compare(life, Map.entry(incarnation, own)) > 0)
                .filter(life -> life.getValue().phase() == Phase.SERVING)
                .max(BY_START)
                .map(Map.Entry::getValue);
    }

    /** Whether any other process is known. */
    public boolean others(String incarnation) {
        return lives.keySet().stream().anyMatch(name -> !name.equals(incarnation));
    }

    private static <T> SortedMap<String, T> single(String name, T value) {
        return new TreeMap<>(Map.of(name, value));
    }

    private static <T> SortedMap<String, T> union(
            SortedMap<String, T> a, SortedMap<String, T> b, BinaryOperator<T> join) {
        SortedMap<String, T> all = new TreeMap<>(a);
        b.forEach((name, value) -> all.merge(name, value, join));
        return all;
    }

    /** A copy, in the order of names whatever the given one's, without the oldest that may be forgotten. */
    private static <T> SortedMap<String, T> bounded(
            Map<String, T> all, int most, Predicate<T> forgettable, Function<T, Instant> time) {
        SortedMap<String, T> kept = new TreeMap<>();
        kept.putAll(all);
        // half a surrogate pair would come back from the file as another name
        require(
                StandardCharsets.UTF_8.newEncoder().canEncode(String.join("\n", kept.keySet())),
                "a name not in Unicode");
        if (all.size() > most) {
            all.entrySet().stream()
                    .filter(e -> forgettable.test(e.getValue()))
                    .sorted(Comparator.comparing((Map.Entry<String, T> e) -> time.apply(e.getValue()))
                            .thenComparing(Map.Entry::getKey))
                    .limit(all.size() - most)
                    .forEach(e -> kept.remove(e.getKey()));
        }
        return Collections.unmodifiableSortedMap(kept);
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }
}

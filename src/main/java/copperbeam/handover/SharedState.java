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
 * State shared by the processes of one conductor; immutable. Each process holds its own copy, merges what it reads from
 * the shared file into it, and writes the result. If one process overwrites the other's file nothing is lost, as the
 * other still has its copy and merges again.
 *
 * <p>At most {@value #MAX_BANS} ban entries are remembered. Lifted bans are forgotten first, oldest first; bans in force
 * are kept even if a merge finds more of them than that. At most {@value #MAX_PROCESSES} processes are remembered, those
 * started last. A lifted ban that is forgotten no longer overrides an older ban that another process still holds.
 *
 * @param bans by server; lifted bans are kept, so that an older ban does not reappear in a merge
 * @param processes by incarnation, a name unique among all processes of this conductor
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

    /** No bans, no drain, no processes. */
    public static final SharedState EMPTY =
            new SharedState(new TreeMap<>(), new Drain(0, false, Instant.EPOCH), new TreeMap<>());

    /**
     * The latest ban of a server, in force or lifted.
     *
     * @param revision starts at 1 and grows by one with each change
     * @param changedAt by the machine's wall clock; decides only between equal revisions
     */
    public record Ban(long turn, boolean out, Instant at) {
        public Ban {
            require(turn >= 1, "ban revision below 1");
            Objects.requireNonNull(at);
        }
    }

    /**
     * Whether operators have drained the conductor.
     *
     * @param revision starts at 0, before any command, and grows by one with each change
     * @param changedAt as in {@link Ban}
     */
    public record Drain(long turn, boolean drained, Instant at) {
        public Drain {
            require(turn >= 0, "drain revision below 0");
            Objects.requireNonNull(at);
        }
    }

    /** The phases of a process, in order; a process never returns to an earlier one. */
    public enum Phase {
        STARTING,
        SERVING,
        LEAVING
    }

    /**
     * One process of the conductor.
     *
     * @param startedAt by the machine's wall clock; never changes
     * @param lockSlot index of the byte of the lock file that the process keeps locked as long as it runs
     */
    public record Life(Instant started, Phase phase, int slot) {
        public Life {
            require(slot >= 0, "lock slot below 0");
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

    /**
     * Copies the maps and drops what exceeds the bounds.
     *
     * @throws IllegalArgumentException if a name is not valid Unicode
     */
    public SharedState {
        Objects.requireNonNull(drain);
        bans = bounded(bans, MOST_BANS, ban -> !ban.out(), Ban::at);
        lives = bounded(lives, MOST_LIVES, life -> true, Life::started);
    }

    /**
     * Merges two states. Of each ban and of the drain, the higher revision wins, then the later time, then banned or
     * drained; of each process, the later phase. Commutative and idempotent; also associative as long as no lifted ban is
     * forgotten and each process is always reported with the same start time.
     */
    public SharedState merge(SharedState other) {
        return new SharedState(
                union(bans, other.bans, LATER_BAN),
                LATER_DRAIN.apply(drain, other.drain),
                union(lives, other.lives, Life::merge));
    }

    /**
     * Bans a server or lifts its ban. Returns this state if nothing changes, also when lifting the ban of an unknown
     * server.
     *
     * @throws IllegalStateException if {@value #MAX_BANS} servers are banned already
     * @throws IllegalArgumentException if the name is not valid Unicode
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

    /** Starts or ends a drain of the conductor. Returns this state if nothing changes. */
    public SharedState drain(boolean drained, Instant at) {
        return drain.drained() == drained
                ? this
                : new SharedState(bans, new Drain(drain.turn() + 1, drained, at), lives);
    }

    /** Adds or updates a process; a phase earlier than the known one has no effect. */
    public SharedState life(String incarnation, Life life) {
        return merge(new SharedState(bans, drain, single(incarnation, life)));
    }

    /**
     * Removes processes that no longer run: those whose lock slot is not held, and those whose slot a process started
     * later has taken. Without the second rule, a process that crashed while serving would count as a successor as soon as
     * a new process holds its slot.
     *
     * @param heldSlots the slots whose lock bytes are held, including the caller's own
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

    /** Whether a server is banned. */
    public boolean out(String server) {
        return bans.containsKey(server) && bans.get(server).out();
    }

    /** The servers whose ban is in force. */
    public Set<String> banned() {
        Set<String> banned = new TreeSet<>(bans.keySet());
        banned.removeIf(server -> !out(server));
        return banned;
    }

    /**
     * The process started last among those that are serving and started after this one. Of two with the same start time,
     * the one whose name sorts last counts as later. Empty if this process itself is unknown.
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

    /** A copy in the natural order of names, without the oldest evictable entries beyond {@code max}. */
    private static <T> SortedMap<String, T> bounded(
            Map<String, T> all, int most, Predicate<T> forgettable, Function<T, Instant> time) {
        SortedMap<String, T> kept = new TreeMap<>();
        kept.putAll(all);
        // an unpaired surrogate would be read back from the file as a different name
        require(
                StandardCharsets.UTF_8.newEncoder().canEncode(String.join("\n", kept.keySet())),
                "name is not valid Unicode");
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

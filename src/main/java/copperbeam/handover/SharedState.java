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
public record SharedState(SortedMap<String, Ban> bans, Drain drain, SortedMap<String, ProcessInfo> processes) {
    static final int MAX_BANS = 4096;
    static final int MAX_PROCESSES = 8;

    private static final BinaryOperator<Ban> LATER_BAN = BinaryOperator.maxBy(Comparator.comparingLong(Ban::revision)
            .thenComparing(Ban::changedAt)
            .thenComparing(Ban::banned));
    private static final BinaryOperator<Drain> LATER_DRAIN =
            BinaryOperator.maxBy(Comparator.comparingLong(Drain::revision)
                    .thenComparing(Drain::changedAt)
                    .thenComparing(Drain::drained));
    private static final Comparator<Map.Entry<String, ProcessInfo>> BY_START = Comparator.comparing(
                    (Map.Entry<String, ProcessInfo> process) ->
                            process.getValue().startedAt())
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
    public record Ban(long revision, boolean banned, Instant changedAt) {
        public Ban {
            require(revision >= 1, "ban revision below 1");
            Objects.requireNonNull(changedAt);
        }
    }

    /**
     * Whether operators have drained the conductor.
     *
     * @param revision starts at 0, before any command, and grows by one with each change
     * @param changedAt as in {@link Ban}
     */
    public record Drain(long revision, boolean drained, Instant changedAt) {
        public Drain {
            require(revision >= 0, "drain revision below 0");
            Objects.requireNonNull(changedAt);
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
    public record ProcessInfo(Instant startedAt, Phase phase, int lockSlot) {
        public ProcessInfo {
            require(lockSlot >= 0, "lock slot below 0");
            Objects.requireNonNull(startedAt);
            Objects.requireNonNull(phase);
        }

        private ProcessInfo merge(ProcessInfo other) {
            return new ProcessInfo(
                    latest(startedAt, other.startedAt), latest(phase, other.phase), Math.max(lockSlot, other.lockSlot));
        }

        private static <T extends Comparable<? super T>> T latest(T first, T second) {
            return first.compareTo(second) >= 0 ? first : second;
        }
    }

    /**
     * Copies the maps and drops what exceeds the bounds.
     *
     * @throws IllegalArgumentException if a name is not valid Unicode
     */
    public SharedState {
        Objects.requireNonNull(drain);
        bans = bounded(bans, MAX_BANS, ban -> !ban.banned(), Ban::changedAt);
        processes = bounded(processes, MAX_PROCESSES, process -> true, ProcessInfo::startedAt);
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
                union(processes, other.processes, ProcessInfo::merge));
    }

    /**
     * Bans a server or lifts its ban. Returns this state if nothing changes, also when lifting the ban of an unknown
     * server.
     *
     * @throws IllegalStateException if {@value #MAX_BANS} servers are banned already
     * @throws IllegalArgumentException if the name is not valid Unicode
     */
    public SharedState withBan(String server, boolean banned, Instant changedAt) {
        if (isBanned(server) == banned) {
            return this;
        }
        if (banned && bannedServers().size() >= MAX_BANS) {
            throw new IllegalStateException(MAX_BANS + " servers are left out by hand already");
        }
        long revision = bans.containsKey(server) ? bans.get(server).revision() + 1 : 1;
        return merge(new SharedState(singletonMap(server, new Ban(revision, banned, changedAt)), drain, processes));
    }

    /** Starts or ends a drain of the conductor. Returns this state if nothing changes. */
    public SharedState withDrain(boolean drained, Instant changedAt) {
        return drain.drained() == drained
                ? this
                : new SharedState(bans, new Drain(drain.revision() + 1, drained, changedAt), processes);
    }

    /** Adds or updates a process; a phase earlier than the known one has no effect. */
    public SharedState withProcess(String incarnation, ProcessInfo process) {
        return merge(new SharedState(bans, drain, singletonMap(incarnation, process)));
    }

    /**
     * Removes processes that no longer run: those whose lock slot is not held, and those whose slot a process started
     * later has taken. Without the second rule, a process that crashed while serving would count as a successor as soon as
     * a new process holds its slot.
     *
     * @param heldSlots the slots whose lock bytes are held, including the caller's own
     */
    public SharedState withoutDead(Set<Integer> heldSlots) {
        SortedMap<String, ProcessInfo> live = new TreeMap<>(processes);
        live.entrySet()
                .removeIf(process -> !heldSlots.contains(process.getValue().lockSlot())
                        || processes.entrySet().stream()
                                .anyMatch(other -> other.getValue().lockSlot()
                                                == process.getValue().lockSlot()
                                        && BY_START.compare(other, process) > 0));
        return new SharedState(bans, drain, live);
    }

    /** Whether a server is banned. */
    public boolean isBanned(String server) {
        return bans.containsKey(server) && bans.get(server).banned();
    }

    /** The servers whose ban is in force. */
    public Set<String> bannedServers() {
        Set<String> banned = new TreeSet<>(bans.keySet());
        banned.removeIf(server -> !isBanned(server));
        return banned;
    }

    /**
     * The process started last among those that are serving and started after this one. Of two with the same start time,
     * the one whose name sorts last counts as later. Empty if this process itself is unknown.
     */
    public Optional<ProcessInfo> successor(String incarnation) {
        ProcessInfo own = processes.get(incarnation);
        return processes.entrySet().stream()
                .filter(process -> own != null && BY_START.compare(process, Map.entry(incarnation, own)) > 0)
                .filter(process -> process.getValue().phase() == Phase.SERVING)
                .max(BY_START)
                .map(Map.Entry::getValue);
    }

    /** Whether any other process is known. */
    public boolean hasOthers(String incarnation) {
        return processes.keySet().stream().anyMatch(name -> !name.equals(incarnation));
    }

    private static <T> SortedMap<String, T> singletonMap(String name, T value) {
        return new TreeMap<>(Map.of(name, value));
    }

    private static <T> SortedMap<String, T> union(
            SortedMap<String, T> first, SortedMap<String, T> second, BinaryOperator<T> merger) {
        SortedMap<String, T> union = new TreeMap<>(first);
        second.forEach((name, value) -> union.merge(name, value, merger));
        return union;
    }

    /** A copy in the natural order of names, without the oldest evictable entries beyond {@code max}. */
    private static <T> SortedMap<String, T> bounded(
            Map<String, T> entries, int max, Predicate<T> evictable, Function<T, Instant> timeOf) {
        SortedMap<String, T> kept = new TreeMap<>();
        kept.putAll(entries);
        // an unpaired surrogate would be read back from the file as a different name
        require(
                StandardCharsets.UTF_8.newEncoder().canEncode(String.join("\n", kept.keySet())),
                "name is not valid Unicode");
        if (entries.size() > max) {
            entries.entrySet().stream()
                    .filter(e -> evictable.test(e.getValue()))
                    .sorted(Comparator.comparing((Map.Entry<String, T> e) -> timeOf.apply(e.getValue()))
                            .thenComparing(Map.Entry::getKey))
                    .limit(entries.size() - max)
                    .forEach(e -> kept.remove(e.getKey()));
        }
        return Collections.unmodifiableSortedMap(kept);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}

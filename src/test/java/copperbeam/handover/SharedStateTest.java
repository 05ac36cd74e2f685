package copperbeam.handover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import copperbeam.handover.SharedState.Ban;
import copperbeam.handover.SharedState.Drain;
import copperbeam.handover.SharedState.Phase;
import copperbeam.handover.SharedState.ProcessInfo;
import java.time.Instant;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Merging, bounds and queries of the state shared by the processes of a conductor. */
public class SharedStateTest {
    /** Draws from few names, revisions and times, so that all merge rules are exercised, and more processes than the bound. */
    static SharedState random(Random random) {
        SortedMap<String, Ban> bans = new TreeMap<>();
        SortedMap<String, ProcessInfo> processes = new TreeMap<>();
        for (int i = random.nextInt(12); i > 0; i--) {
            bans.put(
                    "server \"é\"" + random.nextInt(5),
                    new Ban(1 + random.nextInt(2), random.nextBoolean(), time(random)));
            int number = random.nextInt(12);
            processes.put(
                    "life" + number,
                    new ProcessInfo(
                            Instant.ofEpochSecond(number * 7 % 6),
                            Phase.values()[random.nextInt(3)],
                            random.nextInt(3)));
        }
        return new SharedState(bans, new Drain(random.nextInt(3), random.nextBoolean(), time(random)), processes);
    }

    private static Instant time(Random random) {
        return Instant.ofEpochSecond(random.nextInt(2), random.nextInt(2));
    }

    @Test
    public void mergeIsAJoin() {
        Random random = new Random(1);
        for (int run = 0; run < 5000; run++) {
            SharedState a = random(random);
            SharedState b = random(random);
            SharedState c = random(random);
            assertEquals(a.merge(a), a);
            assertEquals(a.merge(SharedState.EMPTY).bans(), a.bans());
            assertEquals(a.merge(b), b.merge(a));
            assertEquals(a.merge(b).merge(c), a.merge(b.merge(c)));
            assertEquals(a.merge(b).merge(a), a.merge(b));
        }
    }

    /** Words: revision, {@code o} if banned or drained, and time. */
    @DataProvider
    public Object[][] bans() {
        return new Object[][] {
            {"2 8", "1o9", "2 8"}, {"1 8", "1o9", "1o9"}, {"1o8", "1 9", "1 9"}, {"1 9", "1o9", "1o9"}
        };
    }

    @Test(dataProvider = "bans")
    public void higherRevisionThenLaterThenBannedWins(String a, String b, String expected) {
        assertEquals(parseWords(a).merge(parseWords(b)), parseWords(expected));
    }

    private static SharedState parseWords(String words) {
        long revision = words.charAt(0) - '0';
        boolean banned = words.charAt(1) == 'o';
        Instant at = Instant.ofEpochSecond(words.charAt(2) - '0');
        return new SharedState(
                new TreeMap<>(Map.of("s", new Ban(revision, banned, at))),
                new Drain(revision, banned, at),
                new TreeMap<>());
    }

    /**
     * Two processes and one file. Every change increments a revision, and bans and lifts alternate, so the oracle only
     * counts revisions: of the drain (index 0) and of three servers, as known to process 0, process 1 and the file (2).
     * Odd means banned or drained; the higher revision wins.
     */
    private static final class Pair {
        final SharedState[] states = {SharedState.EMPTY, SharedState.EMPTY};
        final int[][] revisions = new int[3][4];
        byte[] file = StateCodec.encode("c", SharedState.EMPTY, Instant.EPOCH);

        void read(int process) throws StateCodec.InvalidStateException {
            states[process] = states[process].merge(StateCodec.decode("c", file));
            Arrays.setAll(revisions[process], i -> Math.max(revisions[process][i], revisions[2][i]));
        }

        void write(int process) {
            file = StateCodec.encode("c", states[process], Instant.EPOCH);
            revisions[2] = revisions[process].clone();
        }

        void command(int process, int target, boolean banned, Instant at) {
            SharedState before = states[process];
            states[process] = target == 0 ? before.withDrain(banned, at) : before.withBan("s" + target, banned, at);
            assertEquals(
                    states[process] == before,
                    revisions[process][target] % 2 == 1 == banned,
                    "repeating a command changes nothing");
            revisions[process][target] += states[process] == before ? 0 : 1;
        }

        void check(int process) {
            assertEquals(states[process].drain().drained(), revisions[process][0] % 2 == 1);
            assertEquals(
                    states[process].bannedServers(),
                    IntStream.range(1, 4)
                            .filter(i -> revisions[process][i] % 2 == 1)
                            .mapToObj(i -> "s" + i)
                            .collect(Collectors.toSet()));
        }
    }

    @Test
    public void twoProcessesAgreeOnceEachHasReadTheOther() throws StateCodec.InvalidStateException {
        Random random = new Random(2);
        for (int run = 0; run < 1000; run++) {
            Pair pair = new Pair();
            for (int step = random.nextInt(40); step > 0; step--) {
                int process = random.nextInt(2);
                switch (random.nextInt(4)) {
                    case 0 -> pair.read(process);
                    case 1 -> pair.write(process); // often over what the other wrote since the last read
                    default -> pair.command(process, random.nextInt(4), random.nextBoolean(), time(random));
                }
                pair.check(process);
            }
            pair.write(0);
            pair.read(1);
            pair.write(1);
            pair.read(0);
            pair.check(0);
            pair.check(1);
            assertEquals(pair.states[0], pair.states[1]);
        }
    }

    @Test
    public void bansAreBoundedAndThoseInForceStay() {
        SortedMap<String, Ban> many = new TreeMap<>();
        for (int i = 0; i < SharedState.MAX_BANS; i++) {
            many.put("s" + i, new Ban(1, i >= 2, Instant.ofEpochSecond(i)));
        }
        SharedState state = new SharedState(many, SharedState.EMPTY.drain(), new TreeMap<>());
        assertEquals(state.bans().size(), SharedState.MAX_BANS);
        state = state.withBan("a", true, Instant.EPOCH);
        assertFalse(state.bans().containsKey("s0"), "the lifted ban that is oldest is forgotten first");
        assertTrue(state.bans().containsKey("s1"));
        SharedState full = state.withBan("b", true, Instant.EPOCH);
        assertEquals(full.bannedServers().size(), SharedState.MAX_BANS);
        assertThrows(IllegalStateException.class, () -> full.withBan("c", true, Instant.EPOCH));
        assertSame(full.withBan("a", true, Instant.MAX), full);
        assertTrue(full.withBan("a", false, Instant.EPOCH)
                .withBan("c", true, Instant.EPOCH)
                .isBanned("c"));
        assertEquals(
                full.merge(state.withBan("c", true, Instant.EPOCH))
                        .bannedServers()
                        .size(),
                SharedState.MAX_BANS + 1);
        assertThrows(IllegalArgumentException.class, () -> SharedState.EMPTY.withBan("\ud800", true, Instant.EPOCH));
    }

    @Test
    public void theLatestProcessesAreRemembered() {
        SharedState state = SharedState.EMPTY;
        for (int i = 0; i < 10; i++) {
            state = state.withProcess("life" + i, new ProcessInfo(Instant.ofEpochSecond(i), Phase.STARTING, i));
        }
        assertEquals(state.processes().size(), SharedState.MAX_PROCESSES);
        assertEquals(state.processes().firstKey(), "life2");
    }

    /**
     * Processes: name, start, phase (T: STARTING, S: SERVING, L: LEAVING) and slot; then the slots in use, the asking
     * process, its expected successor and whether other processes are alive.
     */
    @DataProvider
    public Object[][] lives() {
        return new Object[][] {
            {"a1S0", "0", "a", "", false},
            {"a1S0 b2S1", "01", "a", "b", true},
            {"a1S0 b2S1", "01", "b", "", true},
            {"a1S0 b2T1", "01", "a", "", true},
            {"a1S0 b2L1", "01", "a", "", true},
            {"a1S0 b2S1 c3S2", "012", "a", "c", true},
            {"a1S0 b1S1", "01", "a", "b", true},
            {"a1S0 b1S1", "01", "b", "", true},
            {"a1S0 b2S1", "0", "a", "", false},
            {"a1S0 b2S1 c3T1", "01", "a", "", true}, // b has crashed, and c holds its slot
            {"a1S0 b2T1 b2S1 b2T1", "01", "a", "b", true},
            {"a1S0 b2S1 b2L1 b2S1", "01", "a", "", true},
            {"b2S1", "01", "a", "", true},
        };
    }

    @Test(dataProvider = "lives")
    public void successors(String processes, String slotDigits, String own, String successor, boolean others) {
        SharedState state = SharedState.EMPTY;
        for (String word : processes.split(" ")) {
            Phase phase = Phase.values()["TSL".indexOf(word.charAt(2))];
            state = state.withProcess(
                    word.substring(0, 1),
                    new ProcessInfo(Instant.ofEpochSecond(word.charAt(1) - '0'), phase, word.charAt(3) - '0'));
        }
        Set<Integer> heldSlots = slotDigits.chars().mapToObj(c -> c - '0').collect(Collectors.toSet());
        SharedState living = state.withoutDead(heldSlots);
        assertEquals(
                living.successor(own), Optional.ofNullable(living.processes().get(successor)));
        assertEquals(living.hasOthers(own), others);
    }
}

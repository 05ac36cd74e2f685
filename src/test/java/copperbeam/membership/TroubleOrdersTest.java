package copperbeam.membership;

import static copperbeam.membership.MemberBookTest.entries;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import copperbeam.Api.ServerState;
import copperbeam.membership.WatchPlan.Ask;
import copperbeam.membership.WatchPlan.Drop;
import copperbeam.membership.WatchPlan.Listing;
import copperbeam.membership.WatchPlan.Step;
import copperbeam.membership.WatchPlan.Tell;
import copperbeam.membership.WatchPlan.Wake;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates the watch in virtual time (ms) over every sequence of call failures: each of the first calls fails in one
 * way, and right after the last of them began, the list service learns of a drain and answers every new call. That is the
 * worst moment for its recovery, as none of the open calls will report the drain.
 */
public class TroubleOrdersTest {
    private static final InetSocketAddress[] AT = {
        new InetSocketAddress("127.0.0.1", 1), new InetSocketAddress("127.0.0.1", 2)
    };
    private static final int ORDER = 5;
    private static final int OUTAGE = 6; // more refusals than the backoff needs to reach its longest delay
    private static final int MACHINE = 150; // part of GRACE_MS that actors and sockets may take
    private static final int TOLD = 6000;
    private static final int MOVED = 4000;
    private static final int GRACE = 1000;

    /** What becomes of a call, and after how many ms; 100,000 if only the watch's own timeout ends it. */
    private enum Trouble {
        REFUSED(0),
        RESET(100),
        SILENT(TOLD),
        HALF(100_000),
        GARBLED(1),
        NOT_TAKEN(1),
        LATE(400),
        LATER(1500),
        NO_CONNECTION(750); // one select interval after WatchPlan.CONNECT_TIMEOUT

        final int after;

        Trouble(int after) {
            this.after = after;
        }

        boolean answers() {
            return this == LATE || this == LATER;
        }

        /** Whether the failure can be told from a call that waits for a change. */
        boolean says(Ask ask) {
            return ask.hold().compareTo(WatchPlan.BRIEF) <= 0 || after <= 100;
        }
    }

    private record Event(int time, int order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return time != o.time ? Integer.compare(time, o.time) : Integer.compare(order, o.order);
        }
    }

    private static final class Play {
        final Trouble[] troubles;
        final boolean moves;
        final WatchPlan plan;
        final PriorityQueue<Event> events = new PriorityQueue<>();
        final Set<Integer> out = new HashSet<>();
        int now;
        int order;
        int asked;
        int back; // when the last failing call began
        boolean seen; // whether that call's failure can be told from waiting
        int known = -1;

        Play(Trouble[] troubles, boolean pushed, boolean moves, int seed) {
            this.troubles = troubles;
            this.moves = moves;
            Duration first = Duration.ofMillis(pushed ? 100 : 500);
            plan = new WatchPlan(
                    new Backoff(first, pushed ? first : Duration.ofSeconds(10), new SplittableRandom(seed)));
            take(plan.begin(AT[0], new Listing(10, true, entries("a+0")), Instant.EPOCH));
            if (moves) {
                take(plan.move(AT[1]));
            }
            while (known < 0) {
                Event e = events.poll();
                now = e.time();
                e.what().run();
            }
        }

        void at(int after, Runnable what) {
            events.add(new Event(now + after, order++, what));
        }

        void take(List<Step> steps) {
            for (Step s : steps) {
                if (s instanceof Ask a) {
                    ask(a);
                } else if (s instanceof Drop d) {
                    out.remove(d.call());
                } else if (s instanceof Wake w) {
                    at((int) w.after().toMillis(), () -> take(plan.woken(w.token(), Instant.EPOCH.plusMillis(now))));
                } else if (s instanceof Tell t
                        && t.change().entries().stream()
                                .anyMatch(e -> e.member().state() == ServerState.DRAINING)) {
                    known = now;
                }
            }
        }

        void ask(Ask a) {
            out.add(a.call());
            if (moves && a.at().equals(AT[0])) {
                return; // the old address answers no more
            }
            Trouble trouble = asked < troubles.length ? troubles[asked++] : null;
            if (trouble != null) {
                back = now;
                seen = trouble.says(a);
            }
            at(trouble == null ? 1 : trouble.after, () -> {
                if (!out.remove(a.call())) {
                    return;
                }
                if (trouble == null || trouble.answers()) {
                    boolean whole = a.from() < 0;
                    take(plan.answered(
                            a.call(),
                            trouble == null
                                    ? new Listing(11, whole, entries("a-0"))
                                    : new Listing(10, whole, entries(whole ? "a+0" : "")),
                            Instant.EPOCH.plusMillis(now)));
                } else {
                    take(plan.failed(a.call(), trouble == Trouble.NOT_TAKEN));
                }
            });
        }
    }

    @DataProvider
    public Object[][] modes() {
        return new Object[][] {{true, false}, {true, true}, {false, false}, {false, true}};
    }

    @Test(dataProvider = "modes")
    public void aDrainIsKnownInTimeAfterEveryOrderOfTroubles(boolean pushed, boolean moves) {
        int days = (int) Math.pow(Trouble.values().length, ORDER);
        for (int day = 0; day < 2 * days; day++) {
            // every other scenario begins with a longer outage, after which the backoff has grown
            Trouble[] troubles = new Trouble[day % 2 * OUTAGE + ORDER];
            Arrays.fill(troubles, Trouble.REFUSED);
            for (int i = troubles.length - ORDER, rest = day / 2;
                    i < troubles.length;
                    i++, rest /= Trouble.values().length) {
                troubles[i] = Trouble.values()[rest % Trouble.values().length];
            }
            Play play = new Play(troubles, pushed, moves, day);
            int by = play.back + (pushed && play.seen ? GRACE - MACHINE : TOLD - GRACE);
            if (moves && play.seen && play.back <= MOVED) {
                by = Math.min(by, Math.max(MOVED, pushed ? play.back : 0) + GRACE - MACHINE);
            }
            if (play.known > by) {
                fail(Arrays.toString(troubles) + ": back at " + play.back + ", drain applied at " + play.known + ", limit " + by);
            }
        }
        assertEquals(days, 59_049);
    }

    /** The purpose of exponential backoff: in an outage of a minute, a service that may be overloaded gets few calls. */
    @Test
    public void anOutageCostsFewCallsWhereTheListIsAskedFor() {
        for (Trouble trouble : Trouble.values()) {
            if (!trouble.answers()) {
                Trouble[] minute = new Trouble[40];
                Arrays.fill(minute, trouble);
                Play play = new Play(minute, false, false, 1);
                assertTrue(play.back > 60_000, trouble + ": 40 calls in " + play.back + " ms");
            }
        }
    }
}

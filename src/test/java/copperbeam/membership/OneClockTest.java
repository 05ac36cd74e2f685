package copperbeam.membership;

import static copperbeam.membership.MemberBookTest.entries;
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
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulates the watch in virtual time (ms) and checks it against the protocol's deadlines: an address has two outages and
 * reports one drain, over all kinds and lengths of outages and all orders of their ends, the drain and the calls. The time
 * at which the drain counts as known to us is computed here from the protocol's rules and the calls that fell silent,
 * independently of the plan.
 */
public class OneClockTest {
    private static final InetSocketAddress[] AT = {
        new InetSocketAddress("127.0.0.1", 1), new InetSocketAddress("127.0.0.1", 2)
    };
    private static final int GRACE = 1000 - 150; // to act on a known change, less the time for actors and the machine
    private static final int MOVE = 1000;
    private static final int CALL = 5000; // longest from a call to the end of the next, if the service must be polled
    private static final int NEVER = 100_000;

    /** An outage: calls that are open when it begins or made during it are refused, or are never answered. */
    private record Spell(boolean refuses, int from, int length) {
        boolean at(int time) {
            return time >= from && time < from + length;
        }
    }

    /**
     * One scenario.
     *
     * @param pushed a local agent reports changes by itself; else a shared service must be polled
     * @param moves the address moves, and the new one has the outages
     * @param trickles a byte comes now and then on silent calls
     * @param answerMs time that an answer takes
     * @param drainAtMs when the service learns of the drain
     */
    private record Day(
            boolean pushed, boolean moves, Spell first, Spell second, boolean dribbles, int late, int drain) {
        /** The earliest moment, not before {@code time}, from which new calls are answered for {@code span} ms. */
        int reached(int time, int span) {
            for (Spell s : List.of(first, second)) {
                int end = s.from() + s.length();
                time = time < end && time > s.from() - span ? end : time;
            }
            return time;
        }
    }

    private record Silent(Ask ask, int asked, int since) {
        /** Six seconds after the silence began, or two seconds after the end of the call's wait, if that is later. */
        int told() {
            return (int) Math.max(since + 6000, asked + ask.hold().toMillis() + 2000);
        }
    }

    private record Event(int time, int order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return time != o.time ? Integer.compare(time, o.time) : Integer.compare(order, o.order);
        }
    }

    /** Runs one scenario. */
    private static final class Play {
        final Day day;
        final WatchPlan plan;
        final PriorityQueue<Event> events = new PriorityQueue<>();
        final Map<Integer, Ask> out = new LinkedHashMap<>();
        final Map<Integer, Integer> asked = new LinkedHashMap<>();
        final List<Silent> silent = new ArrayList<>(); // since the last answer
        int now;
        int order;
        int asks;
        int known = NEVER;
        boolean refused; // since the last answer

        Play(Day day) {
            this.day = day;
            Duration first = Duration.ofMillis(day.pushed() ? 100 : 500);
            plan = new WatchPlan(new Backoff(
                    first, day.pushed() ? first : Duration.ofSeconds(10), new SplittableRandom(day.drain())));
            at(day.first().from(), () -> trouble(day.first()));
            at(day.second().from(), () -> trouble(day.second()));
            at(
                    0,
                    () -> take(
                            day.pushed()
                                    ? plan.move(AT[0])
                                    : plan.begin(AT[0], new Listing(10, true, entries("a+0")), instant())));
            if (day.moves()) {
                at(MOVE, () -> take(plan.move(AT[1])));
            }
            while (known == NEVER && !events.isEmpty() && events.peek().time() < NEVER) {
                Event e = events.poll();
                now = e.time();
                e.what().run();
            }
        }

        void at(int time, Runnable what) {
            events.add(new Event(time, order++, what));
        }

        boolean troubled(Ask a) {
            return a.at().equals(AT[day.moves() ? 1 : 0]);
        }

        void take(List<Step> steps) {
            for (Step s : steps) {
                if (s instanceof Ask a) {
                    ask(a);
                } else if (s instanceof Drop d) {
                    out.remove(d.call());
                } else if (s instanceof Wake w) {
                    at(now + (int) w.after().toMillis(), () -> take(plan.woken(w.token(), instant())));
                } else if (s instanceof Tell t
                        && t.change().entries().stream()
                                .anyMatch(e -> e.member().state() == ServerState.DRAINING)) {
                    known = now;
                }
            }
            assertTrue(out.size() <= WatchPlan.MOST_CALLS * 2, "calls are bounded");
        }

        Instant instant() {
            return Instant.EPOCH.plusMillis(now);
        }

        void ask(Ask a) {
            asks++;
            out.put(a.call(), a);
            asked.put(a.call(), now);
            if (troubled(a) && day.first().at(now)) {
                trouble(day.first(), a);
            } else if (troubled(a) && day.second().at(now)) {
                trouble(day.second(), a);
            } else {
                int hears = troubled(a) ? day.drain() : NEVER;
                boolean news = a.from() < 0 || hears <= now && a.from() < 11;
                int wait = news ? 0 : (int) Math.min(a.hold().toMillis(), hears > now ? hears - now : NEVER);
                at(now + wait + day.late(), () -> {
                    if (out.remove(a.call()) != null) {
                        boolean drains = hears <= now - day.late();
                        answered(
                                a,
                                new Listing(
                                        drains ? 11 : 10,
                                        a.from() < 0,
                                        entries(drains ? "a-0" : a.from() < 0 ? "a+0" : "")));
                    }
                });
            }
        }

        void answered(Ask a, Listing listing) {
            take(plan.answered(a.call(), listing, instant()));
            if (troubled(a) && known == NEVER) {
                silent.clear();
                refused = false;
            }
        }

        void trouble(Spell spell) {
            List.copyOf(out.values()).stream().filter(this::troubled).forEach(a -> trouble(spell, a));
        }

        void trouble(Spell spell, Ask a) {
            int call = a.call();
            Runnable fail = () -> {
                if (out.remove(call) != null || asked.containsKey(-call)) {
                    take(plan.failed(call, false));
                }
            };
            if (spell.refuses()) {
                refused = true;
                at(now, fail);
            } else if (asked.put(-call, now) == null) { // only once, as the call is never answered afterwards
                out.remove(call);
                silent.add(new Silent(a, asked.get(call), now));
                if (!day.dribbles()) {
                    at(now + (int) WatchPlan.TOLD.toMillis(), fail);
                }
            }
        }

        int told() {
            // a silent call can't be told from one that waits before that wait is over
            int wait = silent.isEmpty()
                    ? 0
                    : silent.get(0).asked() + (int) silent.get(0).ask().hold().toMillis();
            int last = Math.max(wait, day.drain());
            int moved = day.moves() ? MOVE + 4000 : 0;
            int told = Math.max(day.reached(last, GRACE), moved);
            if (refused && !day.pushed()) {
                told += 40_000; // after a failed call, four times rules.ask_within_s
            }
            if (!silent.isEmpty()) {
                // the first silence counts; if the service is polled and more than three calls in a row were silent, each
                // counts by itself: a client that must not overload the service can't always make three more in time
                int n = silent.size();
                told = Math.max(
                        told, silent.get(day.pushed() || n <= 3 ? 0 : n - 1).told());
            }
            if (!day.pushed()) {
                // whatever became of the calls, six seconds after the service has been reachable for long enough
                told = Math.min(told, Math.max(day.reached(last, CALL) + 6000, moved));
            }
            return told;
        }
    }

    @DataProvider
    public Object[][] modes() {
        return new Object[][] {{true, false}, {true, true}, {false, false}, {false, true}};
    }

    @Test(dataProvider = "modes")
    public void noDrainIsKnownLaterThanTheClockAllows(boolean pushed, boolean moves) {
        int[] most = new int[2];
        for (int kinds = 0; kinds < 16; kinds++) {
            for (int from : new int[] {0, MOVE, 1300, 3900}) {
                for (int length : new int[] {0, 300, 1000, 2700, 8000}) {
                    for (int gap : new int[] {0, 60, 700, 3300}) {
                        for (int again : new int[] {0, 300, 1000, 4000}) {
                            Spell first = new Spell((kinds & 1) > 0, from, length);
                            Spell second = new Spell((kinds & 2) > 0, from + length + gap, again);
                            for (int drain = 200; drain < 16_000; drain += 790) {
                                Day day = new Day(
                                        pushed,
                                        moves,
                                        first,
                                        second,
                                        (kinds & 4) > 0,
                                        (kinds & 8) > 0 ? 200 : 1,
                                        drain);
                                Play play = new Play(day);
                                if (play.known > play.told() + GRACE) {
                                    fail(day + ": drain applied at " + play.known + ", known at " + play.told() + ", silent "
                                            + play.silent);
                                }
                                most[0]++;
                                most[1] = Math.max(most[1], play.asks);
                            }
                        }
                    }
                }
            }
        }
        assertTrue(most[0] == 102_400, most[0] + " scenarios");
        assertTrue(most[1] < (pushed ? 200 : 30), most[1] + " calls in one scenario");
    }
}

package copperbeam.membership;

import static copperbeam.membership.MergedMembersTest.entries;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import copperbeam.Api.ServerState;
import copperbeam.membership.WatchPlan.Action;
import copperbeam.membership.WatchPlan.CancelCall;
import copperbeam.membership.WatchPlan.Listing;
import copperbeam.membership.WatchPlan.Publish;
import copperbeam.membership.WatchPlan.StartCall;
import copperbeam.membership.WatchPlan.StartTimer;
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
    private static final InetSocketAddress[] ADDRESSES = {
        new InetSocketAddress("127.0.0.1", 1), new InetSocketAddress("127.0.0.1", 2)
    };
    private static final int GRACE_MS =
            1000 - 150; // to act on a known change, less the time for actors and the machine
    private static final int MOVE_AT_MS = 1000;
    private static final int MAX_CALL_MS =
            5000; // longest from a call to the end of the next, if the service must be polled
    private static final int NEVER_MS = 100_000;

    /** An outage: calls that are open when it begins or made during it are refused, or are never answered. */
    private record Outage(boolean refuses, int startMs, int lengthMs) {
        boolean covers(int time) {
            return time >= startMs && time < startMs + lengthMs;
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
    private record Scenario(
            boolean pushed, boolean moves, Outage first, Outage second, boolean trickles, int answerMs, int drainAtMs) {
        /** The earliest moment, not before {@code time}, from which new calls are answered for {@code span} ms. */
        int reachableFrom(int time, int span) {
            for (Outage outage : List.of(first, second)) {
                int end = outage.startMs() + outage.lengthMs();
                time = time < end && time > outage.startMs() - span ? end : time;
            }
            return time;
        }
    }

    private record SilentCall(StartCall call, int startedAt, int since) {
        /** Six seconds after the silence began, or two seconds after the end of the call's wait, if that is later. */
        int knownAt() {
            return (int) Math.max(since + 6000, startedAt + call.maxWait().toMillis() + 2000);
        }
    }

    private record Event(int time, int order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return time != o.time ? Integer.compare(time, o.time) : Integer.compare(order, o.order);
        }
    }

    /** Runs one scenario. */
    private static final class Simulation {
        final Scenario scenario;
        final WatchPlan plan;
        final PriorityQueue<Event> events = new PriorityQueue<>();
        final Map<Integer, StartCall> openCalls = new LinkedHashMap<>();
        final Map<Integer, Integer> startedAt = new LinkedHashMap<>();
        final List<SilentCall> silent = new ArrayList<>(); // since the last answer
        int now;
        int order;
        int callCount;
        int appliedAt = NEVER_MS;
        boolean refused; // since the last answer

        Simulation(Scenario scenario) {
            this.scenario = scenario;
            Duration first = Duration.ofMillis(scenario.pushed() ? 100 : 500);
            plan = new WatchPlan(
                    new Backoff(
                            first,
                            scenario.pushed() ? first : Duration.ofSeconds(10),
                            new SplittableRandom(scenario.drainAtMs())),
                    scenario.pushed() ? WatchPace.ofAgent(Duration.ofSeconds(1)) : WatchPace.ofService(),
                    false);
            schedule(scenario.first().startMs(), () -> applyOutage(scenario.first()));
            schedule(scenario.second().startMs(), () -> applyOutage(scenario.second()));
            schedule(
                    0,
                    () -> carryOut(
                            scenario.pushed()
                                    ? plan.moveTo(ADDRESSES[0])
                                    : plan.startFrom(ADDRESSES[0], new Listing(10, true, entries("a+0")), instant())));
            if (scenario.moves()) {
                schedule(MOVE_AT_MS, () -> carryOut(plan.moveTo(ADDRESSES[1])));
            }
            while (appliedAt == NEVER_MS && !events.isEmpty() && events.peek().time() < NEVER_MS) {
                Event event = events.poll();
                now = event.time();
                event.task().run();
            }
        }

        void schedule(int time, Runnable task) {
            events.add(new Event(time, order++, task));
        }

        boolean hasOutages(StartCall startCall) {
            return startCall.address().equals(ADDRESSES[scenario.moves() ? 1 : 0]);
        }

        void carryOut(List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof StartCall startCall) {
                    startCall(startCall);
                } else if (action instanceof CancelCall cancelCall) {
                    openCalls.remove(cancelCall.callId());
                } else if (action instanceof StartTimer startTimer) {
                    schedule(
                            now + (int) startTimer.delay().toMillis(),
                            () -> carryOut(plan.onTimer(startTimer.token(), instant())));
                } else if (action instanceof Publish publish
                        && publish.change().entries().stream()
                                .anyMatch(e -> e.member().state() == ServerState.DRAINING)) {
                    appliedAt = now;
                }
            }
            assertTrue(openCalls.size() <= WatchPlan.MAX_CALLS_PER_ADDRESS * 2, "calls are bounded");
        }

        Instant instant() {
            return Instant.EPOCH.plusMillis(now);
        }

        void startCall(StartCall startCall) {
            callCount++;
            openCalls.put(startCall.callId(), startCall);
            startedAt.put(startCall.callId(), now);
            if (hasOutages(startCall) && scenario.first().covers(now)) {
                applyOutage(scenario.first(), startCall);
            } else if (hasOutages(startCall) && scenario.second().covers(now)) {
                applyOutage(scenario.second(), startCall);
            } else {
                int drainAt = hasOutages(startCall) ? scenario.drainAtMs() : NEVER_MS;
                boolean answersAtOnce = startCall.sinceVersion() < 0 || drainAt <= now && startCall.sinceVersion() < 11;
                int wait = answersAtOnce
                        ? 0
                        : (int) Math.min(startCall.maxWait().toMillis(), drainAt > now ? drainAt - now : NEVER_MS);
                schedule(now + wait + scenario.answerMs(), () -> {
                    if (openCalls.remove(startCall.callId()) != null) {
                        boolean drains = drainAt <= now - scenario.answerMs();
                        answered(
                                startCall,
                                new Listing(
                                        drains ? 11 : 10,
                                        startCall.sinceVersion() < 0,
                                        entries(drains ? "a-0" : startCall.sinceVersion() < 0 ? "a+0" : "")));
                    }
                });
                schedule(now + (int) startCall.timeout().toMillis(), () -> {
                    if (openCalls.remove(startCall.callId()) != null) {
                        carryOut(plan.onFailure(startCall.callId(), false));
                    }
                });
            }
        }

        void answered(StartCall startCall, Listing listing) {
            carryOut(plan.onAnswer(startCall.callId(), listing, instant()));
            if (hasOutages(startCall) && appliedAt == NEVER_MS) {
                silent.clear();
                refused = false;
            }
        }

        void applyOutage(Outage outage) {
            List.copyOf(openCalls.values()).stream()
                    .filter(this::hasOutages)
                    .forEach(startCall -> applyOutage(outage, startCall));
        }

        void applyOutage(Outage outage, StartCall startCall) {
            int call = startCall.callId();
            Runnable reportFailure = () -> {
                if (openCalls.remove(call) != null || startedAt.containsKey(-call)) {
                    carryOut(plan.onFailure(call, false));
                }
            };
            if (outage.refuses()) {
                refused = true;
                schedule(now, reportFailure);
            } else if (startedAt.put(-call, now) == null) { // only once, as the call is never answered afterwards
                openCalls.remove(call);
                silent.add(new SilentCall(startCall, startedAt.get(call), now));
                if (!scenario.trickles()) {
                    schedule(now + (int) WatchPlan.INFORMED_AFTER.toMillis(), reportFailure);
                }
            }
        }

        int knownAt() {
            if (scenario.pushed()) {
                // what an agent has counts at once, whether or not a call is open, and whatever became of earlier ones
                int moved = scenario.moves() ? MOVE_AT_MS + 4000 : 0;
                return Math.max(scenario.reachableFrom(scenario.drainAtMs(), GRACE_MS), moved);
            }
            // a silent call can't be told from one that waits before that wait is over
            int wait = silent.isEmpty()
                    ? 0
                    : silent.get(0).startedAt()
                            + (int) silent.get(0).call().maxWait().toMillis();
            int last = Math.max(wait, scenario.drainAtMs());
            int moved = scenario.moves() ? MOVE_AT_MS + 4000 : 0;
            int knownAt = Math.max(scenario.reachableFrom(last, GRACE_MS), moved);
            if (refused) {
                knownAt += 40_000; // after a failed call, four times rules.ask_within_s
            }
            if (!silent.isEmpty()) {
                // the first silence counts; if more than three calls in a row were silent, each counts by itself: a
                // client
                // that must not overload the service can't always make three more in time
                int silentCount = silent.size();
                knownAt = Math.max(
                        knownAt,
                        silent.get(silentCount <= 3 ? 0 : silentCount - 1).knownAt());
            }
            // whatever became of the calls, six seconds after the service has been reachable for long enough
            return Math.min(knownAt, Math.max(scenario.reachableFrom(last, MAX_CALL_MS) + 6000, moved));
        }
    }

    /**
     * One outage of an agent, which has a drain at its return. Guards against a call that is lost in it, however short it is and
     * whenever in the call's wait it begins, and keeps the next call back for longer than the drain's grace.
     */
    @Test
    public void aDrainAfterAnyShortOutageOfAnAgentIsAppliedInTime() {
        Outage none = new Outage(false, NEVER_MS, 0);
        for (int start = 1000; start < 1700; start += 10) {
            for (int length : new int[] {1, 10, 50, 100, 200, 300, 500, 700, 1000, 2000, 4000, 8000}) {
                for (int kinds = 0; kinds < 4; kinds++) {
                    for (int answerMs : new int[] {1, 50, 200}) {
                        Outage outage = new Outage((kinds & 1) > 0, start, length);
                        Scenario scenario =
                                new Scenario(true, false, outage, none, (kinds & 2) > 0, answerMs, start + length);
                        Simulation simulation = new Simulation(scenario);
                        assertTrue(
                                simulation.appliedAt <= start + length + GRACE_MS,
                                scenario + ": drain applied at " + simulation.appliedAt);
                    }
                }
            }
        }
    }

    @DataProvider
    public Object[][] lateAnswers() {
        return new Object[][] {{true, 1000}, {false, 1500}, {false, 3500}, {false, 5000}};
    }

    /** Guards against a service that is late with each answer, and whose calls are all given up before they are answered. */
    @Test(dataProvider = "lateAnswers")
    public void aDrainFromASlowServiceIsAppliedInTime(boolean pushed, int answerMs) {
        Outage none = new Outage(false, NEVER_MS, 0);
        for (int drainAt = 200; drainAt < 40_000; drainAt += 130) {
            Scenario scenario = new Scenario(pushed, false, none, none, false, answerMs, drainAt);
            Simulation simulation = new Simulation(scenario);
            assertTrue(
                    simulation.appliedAt <= Math.max(drainAt, pushed ? answerMs : 0) + 6000 + GRACE_MS,
                    scenario + ": drain applied at " + simulation.appliedAt);
        }
    }

    @DataProvider
    public Object[][] modes() {
        return new Object[][] {{true, false}, {true, true}, {false, false}, {false, true}};
    }

    @Test(dataProvider = "modes")
    public void noDrainIsAppliedAfterItsDeadline(boolean pushed, boolean moves) {
        int[] totals = new int[2];
        for (int kinds = 0; kinds < 16; kinds++) {
            for (int from : new int[] {0, MOVE_AT_MS, 1300, 3900}) {
                for (int length : new int[] {0, 300, 1000, 2700, 8000}) {
                    for (int gap : new int[] {0, 60, 700, 3300}) {
                        for (int again : new int[] {0, 300, 1000, 4000}) {
                            Outage first = new Outage((kinds & 1) > 0, from, length);
                            Outage second = new Outage((kinds & 2) > 0, from + length + gap, again);
                            for (int drain = 200; drain < 16_000; drain += 790) {
                                Scenario scenario = new Scenario(
                                        pushed,
                                        moves,
                                        first,
                                        second,
                                        (kinds & 4) > 0,
                                        (kinds & 8) > 0 ? 200 : 1,
                                        drain);
                                Simulation simulation = new Simulation(scenario);
                                if (simulation.appliedAt > simulation.knownAt() + GRACE_MS) {
                                    fail(scenario + ": drain applied at " + simulation.appliedAt + ", known at "
                                            + simulation.knownAt() + ", silent " + simulation.silent);
                                }
                                totals[0]++;
                                totals[1] = Math.max(totals[1], simulation.callCount);
                            }
                        }
                    }
                }
            }
        }
        assertTrue(totals[0] == 102_400, totals[0] + " scenarios");
        assertTrue(totals[1] < (pushed ? 200 : 30), totals[1] + " calls in one scenario");
    }
}

package copperbeam.membership;

import static copperbeam.membership.MergedMembersTest.entries;
import static org.testng.Assert.assertEquals;
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
    private static final InetSocketAddress[] ADDRESSES = {
        new InetSocketAddress("127.0.0.1", 1), new InetSocketAddress("127.0.0.1", 2)
    };
    private static final int FAILING_CALLS = 5;
    private static final int REFUSALS_BEFORE = 6; // more refusals than the backoff needs to reach its longest delay
    private static final int LOCAL_DELAY_MS = 150; // part of GRACE_MS that actors and sockets may take
    private static final int INFORMED_AFTER_MS = 6000;
    private static final int INFORMED_AFTER_MOVE_MS = 4000;
    private static final int GRACE_MS = 1000;

    /** What becomes of a call, and after how many ms; 100,000 if only the watch's own timeout ends it. */
    private enum CallFailure {
        REFUSED(0),
        RESET(100),
        SILENT(INFORMED_AFTER_MS),
        HALF(100_000),
        GARBLED(1),
        NOT_TAKEN(1),
        LATE(400),
        LATER(1500),
        NO_CONNECTION(750); // one select interval after WatchPlan.CONNECT_TIMEOUT

        final int afterMs;

        CallFailure(int afterMs) {
            this.afterMs = afterMs;
        }

        boolean answers() {
            return this == LATE || this == LATER;
        }

        /** Whether the failure can be told from a call that waits for a change. */
        boolean isDetectable(StartCall call) {
            return call.maxWait().compareTo(WatchPlan.RETRY_POLL_WAIT) <= 0 || afterMs <= 100;
        }
    }

    private record Event(int time, int order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return time != o.time ? Integer.compare(time, o.time) : Integer.compare(order, o.order);
        }
    }

    private static final class Simulation {
        final CallFailure[] failures;
        final boolean moves;
        final WatchPlan plan;
        final PriorityQueue<Event> events = new PriorityQueue<>();
        final Set<Integer> openCalls = new HashSet<>();
        int now;
        int order;
        int failuresStarted;
        int recoveredAt; // when the last failing call began
        boolean lastDetectable; // whether that call's failure can be told from waiting
        int appliedAt = -1;

        Simulation(CallFailure[] failures, boolean pushed, boolean moves, int seed) {
            this.failures = failures;
            this.moves = moves;
            Duration first = Duration.ofMillis(pushed ? 100 : 500);
            plan = new WatchPlan(
                    new Backoff(first, pushed ? first : Duration.ofSeconds(10), new SplittableRandom(seed)),
                    pushed ? WatchPace.ofAgent(Duration.ofMillis(GRACE_MS)) : WatchPace.ofService(),
                    false);
            carryOut(plan.startFrom(ADDRESSES[0], new Listing(10, true, entries("a+0")), Instant.EPOCH));
            if (moves) {
                carryOut(plan.moveTo(ADDRESSES[1]));
            }
            while (appliedAt < 0) {
                Event event = events.poll();
                now = event.time();
                event.task().run();
            }
        }

        void schedule(int afterMs, Runnable task) {
            events.add(new Event(now + afterMs, order++, task));
        }

        void carryOut(List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof StartCall startCall) {
                    startCall(startCall);
                } else if (action instanceof CancelCall cancelCall) {
                    openCalls.remove(cancelCall.callId());
                } else if (action instanceof StartTimer startTimer) {
                    schedule(
                            (int) startTimer.delay().toMillis(),
                            () -> carryOut(plan.onTimer(startTimer.token(), Instant.EPOCH.plusMillis(now))));
                } else if (action instanceof Publish publish
                        && publish.change().entries().stream()
                                .anyMatch(e -> e.member().state() == ServerState.DRAINING)) {
                    appliedAt = now;
                }
            }
        }

        void startCall(StartCall startCall) {
            openCalls.add(startCall.callId());
            if (moves && startCall.address().equals(ADDRESSES[0])) {
                return; // the old address answers no more
            }
            CallFailure failure = failuresStarted < failures.length ? failures[failuresStarted++] : null;
            if (failure != null) {
                recoveredAt = now;
                lastDetectable = failure.isDetectable(startCall);
            }
            schedule(failure == null ? 1 : failure.afterMs, () -> {
                if (!openCalls.remove(startCall.callId())) {
                    return;
                }
                if (failure == null || failure.answers()) {
                    boolean fullList = startCall.sinceVersion() < 0;
                    carryOut(plan.onAnswer(
                            startCall.callId(),
                            failure == null
                                    ? new Listing(11, fullList, entries("a-0"))
                                    : new Listing(10, fullList, entries(fullList ? "a+0" : "")),
                            Instant.EPOCH.plusMillis(now)));
                } else {
                    carryOut(plan.onFailure(startCall.callId(), failure == CallFailure.NOT_TAKEN));
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
        int scenarios = (int) Math.pow(CallFailure.values().length, FAILING_CALLS);
        for (int scenario = 0; scenario < 2 * scenarios; scenario++) {
            // every other scenario begins with a longer outage, after which the backoff has grown
            CallFailure[] failures = new CallFailure[scenario % 2 * REFUSALS_BEFORE + FAILING_CALLS];
            Arrays.fill(failures, CallFailure.REFUSED);
            for (int i = failures.length - FAILING_CALLS, rest = scenario / 2;
                    i < failures.length;
                    i++, rest /= CallFailure.values().length) {
                failures[i] = CallFailure.values()[rest % CallFailure.values().length];
            }
            Simulation simulation = new Simulation(failures, pushed, moves, scenario);
            int deadlineMs = simulation.recoveredAt
                    + (pushed && simulation.lastDetectable ? GRACE_MS - LOCAL_DELAY_MS : INFORMED_AFTER_MS - GRACE_MS);
            if (moves && simulation.lastDetectable && simulation.recoveredAt <= INFORMED_AFTER_MOVE_MS) {
                deadlineMs = Math.min(
                        deadlineMs,
                        Math.max(INFORMED_AFTER_MOVE_MS, pushed ? simulation.recoveredAt : 0)
                                + GRACE_MS
                                - LOCAL_DELAY_MS);
            }
            if (simulation.appliedAt > deadlineMs) {
                fail(Arrays.toString(failures) + ": back at " + simulation.recoveredAt + ", drain applied at "
                        + simulation.appliedAt + ", limit " + deadlineMs);
            }
        }
        assertEquals(scenarios, 59_049);
    }

    /** The purpose of exponential backoff: in an outage of a minute, a service that may be overloaded gets few calls. */
    @Test
    public void anOutageCostsFewCallsWhereTheListIsAskedFor() {
        for (CallFailure failure : CallFailure.values()) {
            if (!failure.answers()) {
                CallFailure[] minute = new CallFailure[40];
                Arrays.fill(minute, failure);
                Simulation simulation = new Simulation(minute, false, false, 1);
                assertTrue(
                        simulation.recoveredAt > 60_000, failure + ": 40 calls in " + simulation.recoveredAt + " ms");
            }
        }
    }
}

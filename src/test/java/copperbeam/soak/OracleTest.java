package copperbeam.soak;

import static org.testng.Assert.assertEquals;

import copperbeam.soak.Observation.Answered;
import copperbeam.soak.Observation.AttemptArrived;
import copperbeam.soak.Observation.AttemptEnded;
import copperbeam.soak.Observation.AttemptOpened;
import copperbeam.soak.Observation.ClientGone;
import copperbeam.soak.Observation.ClosedUnanswered;
import copperbeam.soak.Observation.CutOffFromAll;
import copperbeam.soak.Observation.DrainAnnounced;
import copperbeam.soak.Observation.Exited;
import copperbeam.soak.Observation.Killed;
import copperbeam.soak.Observation.NeverAnswered;
import copperbeam.soak.Observation.NotReady;
import copperbeam.soak.Observation.OddStreamBegun;
import copperbeam.soak.Observation.Overstayed;
import copperbeam.soak.Observation.ReadingPaused;
import copperbeam.soak.Observation.ReadingResumed;
import copperbeam.soak.Observation.Sent;
import copperbeam.soak.Observation.ServerStarted;
import copperbeam.soak.Observation.SlowStreamDelivered;
import copperbeam.soak.Observation.StateFreed;
import copperbeam.soak.Observation.StateHeld;
import copperbeam.soak.Observation.Streamed;
import copperbeam.soak.Violation.Rule;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The oracle accepts histories that keep the rules, and finds each way of breaking one of them. */
public class OracleTest {
    private static final long NANOS_PER_MS = 1_000_000;
    private static final Oracle.Terms TERMS = new Oracle.Terms(4, 1000, 1500, false, 50, null);

    /** One request that is read by a reader and answered by a writer, from 0 to 120 ms. */
    private static List<Observation> served(RequestKind kind) {
        return List.of(
                new Sent(0, "r", kind, "n0", 1000),
                new AttemptOpened(4 * NANOS_PER_MS, "r", "reader", "n0"),
                new AttemptArrived(5 * NANOS_PER_MS, "r", "reader", Role.READER, "n0", 1, 990, 5 * NANOS_PER_MS, 0),
                new StateHeld(20 * NANOS_PER_MS, "r", "reader"),
                new AttemptEnded(20 * NANOS_PER_MS, "r", 1, AttemptEnd.SERVED),
                new AttemptOpened(24 * NANOS_PER_MS, "r", "writer", "n0"),
                new AttemptArrived(25 * NANOS_PER_MS, "r", "writer", Role.WRITER, "n0", 2, 970, 25 * NANOS_PER_MS, 0),
                new StateFreed(25 * NANOS_PER_MS, "r"),
                new Streamed(110 * NANOS_PER_MS, "r", 2, true, "abc"),
                new AttemptEnded(110 * NANOS_PER_MS, "r", 2, AttemptEnd.SERVED),
                new Answered(120 * NANOS_PER_MS, "r", 200, true, "abc", 120 * NANOS_PER_MS));
    }

    private static Observation sentAt(long ms, RequestKind kind) {
        return new Sent(ms * NANOS_PER_MS, "r", kind, "n0", 1000);
    }

    private static Observation attemptArrives(long ms, Role role, long attempt) {
        return new AttemptArrived(ms * NANOS_PER_MS, "r", "again", role, "n0", attempt, 100, ms * NANOS_PER_MS, 0);
    }

    private static Observation attemptEnds(long ms, long attempt, AttemptEnd end) {
        return new AttemptEnded(ms * NANOS_PER_MS, "r", attempt, end);
    }

    private static Observation answered(long ms, int status) {
        return new Answered(ms * NANOS_PER_MS, "r", status, true, "", ms * NANOS_PER_MS);
    }

    /** A stream whose last byte came at 10 ms. */
    private static Observation cutOff(long ms, String body) {
        return new Answered(ms * NANOS_PER_MS, "r", 200, false, body, 10 * NANOS_PER_MS);
    }

    /** An event comes slowly until {@code deliveredMs}, the rest never does, and the stream ends at {@code endedMs}. */
    private static Observation[] slowStream(long deliveredMs, long endedMs) {
        return new Observation[] {
            sentAt(0, RequestKind.SAFE),
            attemptArrives(5, Role.WRITER, 1),
            new OddStreamBegun(6 * NANOS_PER_MS, "r", 1),
            new SlowStreamDelivered(deliveredMs * NANOS_PER_MS, "r", 1),
            new Streamed(4500 * NANOS_PER_MS, "r", 1, false, "ab"),
            attemptEnds(endedMs, 1, AttemptEnd.FAILED),
            cutOff(endedMs, "a")
        };
    }

    @DataProvider
    public Object[][] histories() {
        RequestKind safe = RequestKind.SAFE;
        RequestKind unsafe = RequestKind.UNSAFE;
        RequestKind keyed = RequestKind.KEYED;
        return new Object[][] {
            row(null, served(unsafe)),
            row(null, sentAt(0, unsafe), answered(900, 429)),
            row(
                    null,
                    sentAt(0, unsafe),
                    new Killed(9 * NANOS_PER_MS, "n0"),
                    new ClosedUnanswered(60 * NANOS_PER_MS, "r", true)),
            row(
                    null,
                    sentAt(0, unsafe),
                    new ClosedUnanswered(9 * NANOS_PER_MS, "r", false),
                    sentAt(10, unsafe),
                    answered(90, 504)),
            row(
                    null,
                    sentAt(0, unsafe),
                    attemptArrives(5, Role.WRITER, 1),
                    attemptEnds(9, 1, AttemptEnd.TURNED_AWAY),
                    answered(10, 503)),
            row(
                    null,
                    sentAt(0, safe),
                    attemptArrives(5, Role.WRITER, 1),
                    attemptEnds(9, 1, AttemptEnd.FAILED),
                    answered(10, 503)),
            row(
                    null,
                    sentAt(0, keyed),
                    attemptArrives(5, Role.WRITER, 1),
                    attemptEnds(9, 1, AttemptEnd.FAILED),
                    attemptArrives(50, Role.WRITER, 2),
                    attemptEnds(60, 2, AttemptEnd.FAILED),
                    answered(70, 502)),
            row(Rule.LOST, sentAt(0, unsafe), new ClosedUnanswered(60 * NANOS_PER_MS, "r", true)),
            row(Rule.LOST, sentAt(0, unsafe), new NeverAnswered(6000 * NANOS_PER_MS, "r")),
            row(Rule.LOST, sentAt(0, unsafe), answered(1600, 504)),
            row(
                    Rule.LOST,
                    sentAt(0, unsafe),
                    attemptArrives(5, Role.READER, 1),
                    attemptEnds(6, 1, AttemptEnd.FAILED),
                    sentAt(10, unsafe),
                    answered(90, 504)),
            row(
                    Rule.LOST,
                    sentAt(0, safe),
                    attemptArrives(5, Role.WRITER, 1),
                    new Streamed(9 * NANOS_PER_MS, "r", 1, false, "ab"),
                    attemptEnds(9, 1, AttemptEnd.GIVEN_UP),
                    cutOff(10, "a")),
            row(
                    Rule.LOST,
                    sentAt(0, safe),
                    attemptArrives(5, Role.WRITER, 1),
                    new Streamed(9 * NANOS_PER_MS, "r", 1, true, "ab"),
                    attemptEnds(9, 1, AttemptEnd.SERVED),
                    cutOff(10, "a")),
            row(
                    null,
                    sentAt(0, safe),
                    attemptArrives(5, Role.WRITER, 1),
                    new Streamed(9 * NANOS_PER_MS, "r", 1, false, "ab"),
                    attemptEnds(4900, 1, AttemptEnd.SPOILT),
                    cutOff(5050, "ab")),
            row(
                    null,
                    sentAt(0, safe),
                    attemptArrives(5, Role.WRITER, 1),
                    new OddStreamBegun(6 * NANOS_PER_MS, "r", 1),
                    new Streamed(9 * NANOS_PER_MS, "r", 1, false, "ab"),
                    new Overstayed(4000 * NANOS_PER_MS, "n0", 100 * NANOS_PER_MS),
                    attemptEnds(4900, 1, AttemptEnd.SPOILT),
                    cutOff(5050, "ab")),
            row(
                    Rule.OVERSTAYED,
                    sentAt(0, safe),
                    attemptArrives(5, Role.WRITER, 1),
                    new OddStreamBegun(6 * NANOS_PER_MS, "r", 1),
                    new Streamed(9 * NANOS_PER_MS, "r", 1, false, "ab"),
                    attemptEnds(3900, 1, AttemptEnd.SPOILT),
                    cutOff(3950, "ab"),
                    new Overstayed(4000 * NANOS_PER_MS, "n0", 100 * NANOS_PER_MS)),
            row(
                    Rule.LEFT_WAITING,
                    sentAt(0, safe),
                    attemptArrives(5, Role.WRITER, 1),
                    new Streamed(9 * NANOS_PER_MS, "r", 1, false, "ab"),
                    attemptEnds(5100, 1, AttemptEnd.SPOILT),
                    cutOff(5100, "ab")),
            row(null, slowStream(4000, 8000)),
            row(Rule.LEFT_WAITING, slowStream(4000, 9100)),
            row(
                    Rule.WRONG_ANSWER,
                    sentAt(0, safe),
                    attemptArrives(5, Role.WRITER, 1),
                    new Streamed(9 * NANOS_PER_MS, "r", 1, false, "ab"),
                    attemptEnds(9, 1, AttemptEnd.FAILED),
                    new Answered(10 * NANOS_PER_MS, "r", 200, true, "ab", 10 * NANOS_PER_MS)),
            row(
                    Rule.WRONG_ANSWER,
                    sentAt(0, safe),
                    new Answered(10 * NANOS_PER_MS, "r", 200, true, "ab", 10 * NANOS_PER_MS)),
            row(Rule.WRONG_ANSWER, attemptArrives(5, Role.READER, 1)),
            row(
                    Rule.TWO_AT_ONCE,
                    sentAt(0, safe),
                    attemptArrives(5, Role.READER, 1),
                    attemptArrives(6, Role.READER, 2),
                    attemptEnds(70, 1, AttemptEnd.FAILED),
                    attemptEnds(80, 2, AttemptEnd.FAILED),
                    answered(90, 502)),
            row(
                    Rule.REPEATED_RUN,
                    sentAt(0, unsafe),
                    attemptArrives(5, Role.WRITER, 1),
                    attemptEnds(9, 1, AttemptEnd.FAILED),
                    attemptArrives(70, Role.WRITER, 2),
                    attemptEnds(80, 2, AttemptEnd.FAILED),
                    answered(90, 502)),
            row(
                    Rule.REPEATED_RUN,
                    new Sent(0, "r", keyed, "n0", 3000),
                    attemptArrives(5, Role.WRITER, 1),
                    attemptEnds(9, 1, AttemptEnd.FAILED),
                    attemptArrives(1600, Role.WRITER, 2),
                    attemptEnds(1610, 2, AttemptEnd.FAILED),
                    answered(1700, 502)),
            row(
                    Rule.REFUSED_AFTER_RUN,
                    sentAt(0, unsafe),
                    attemptArrives(5, Role.WRITER, 1),
                    attemptEnds(9, 1, AttemptEnd.FAILED),
                    answered(10, 503)),
            row(
                    Rule.SENT_AFTER_END,
                    sentAt(0, safe),
                    answered(10, 502),
                    attemptArrives(100, Role.READER, 1),
                    attemptEnds(110, 1, AttemptEnd.FAILED)),
            row(
                    Rule.SENT_AFTER_CLIENT_LEFT,
                    sentAt(0, safe),
                    new ClientGone(10 * NANOS_PER_MS, "r"),
                    attemptArrives(200, Role.READER, 1),
                    attemptEnds(210, 1, AttemptEnd.FAILED)),
            row(
                    Rule.SENT_TO_DRAINING,
                    new DrainAnnounced(0, "n0", "again"),
                    sentAt(1100, safe),
                    new AttemptOpened(1200 * NANOS_PER_MS, "r", "again", "n0"),
                    answered(1300, 502)),
            held(Rule.PINNED, answered(900, 502), new StateFreed(1500 * NANOS_PER_MS, "r")),
            heldWhenKilled(null, 900),
            heldWhenKilled(Rule.PINNED, 1500),
            heldWhileCutOff(Rule.PINNED, "n1"),
            heldWhileCutOff(null, "n0"),
            row(
                    null,
                    sentAt(0, safe),
                    new Killed(10 * NANOS_PER_MS, "n0"),
                    new ClientGone(20 * NANOS_PER_MS, "r"),
                    attemptArrives(500, Role.READER, 1),
                    attemptEnds(510, 1, AttemptEnd.GIVEN_UP)),
            row(
                    Rule.DEADLINE_TOLD,
                    sentAt(0, safe),
                    new AttemptArrived(5 * NANOS_PER_MS, "r", "again", Role.READER, "n0", 1, 1300, 5 * NANOS_PER_MS, 0),
                    attemptEnds(9, 1, AttemptEnd.FAILED),
                    answered(10, 502)),
            row(Rule.CRASHED, new Exited(0, "n0", 1, false, 0)),
            row(Rule.CRASHED, new Exited(0, "n0", 143, true, 0)),
            row(Rule.OVERSTAYED, new Overstayed(0, "n0", 0)),
            overstayedWhilePaused(null, "n0", 0, 3000),
            overstayedWhilePaused(Rule.OVERSTAYED, "n1", 0, 3000),
            overstayedWhilePaused(Rule.OVERSTAYED, "n0", 800, 3000),
            overstayedWhilePaused(Rule.OVERSTAYED, "n0", 0, 2000),
            row(Rule.NOT_READY, new NotReady(0, "n0", 12_000)),
        };
    }

    /** A client stops reading an answer of {@code conductor} at 1000 ms; n0 gets SIGTERM at 0 and is still there at 2200 ms. */
    private static Object[] overstayedWhilePaused(Rule rule, String conductor, long sentMs, long resumedMs) {
        return row(
                rule,
                new Sent(sentMs * NANOS_PER_MS, "r", RequestKind.SAFE, conductor, 1000),
                new ReadingPaused(1000 * NANOS_PER_MS, "r", conductor),
                new ReadingResumed(resumedMs * NANOS_PER_MS, "r"),
                new ClientGone(3000 * NANOS_PER_MS, "r"),
                new Overstayed(2200 * NANOS_PER_MS, "n0", 0));
    }

    /** A read state that is never released, as its conductor is killed after the answer. */
    private static Object[] heldWhenKilled(Rule rule, long killedMs) {
        return held(
                rule,
                answered(800, 502),
                new Killed(killedMs * NANOS_PER_MS, "n0"),
                new CutOffFromAll(5000 * NANOS_PER_MS, "n1", true));
    }

    /** A read state that is held for too long; {@code conductor} is cut off from all servers for 1 s of that time. */
    private static Object[] heldWhileCutOff(Rule rule, String conductor) {
        return held(
                rule,
                new CutOffFromAll(400 * NANOS_PER_MS, conductor, true),
                answered(900, 502),
                new CutOffFromAll(1400 * NANOS_PER_MS, conductor, false),
                new StateFreed(1500 * NANOS_PER_MS, "r"));
    }

    /** A history in which a read state is held from 10 ms on. */
    private static Object[] held(Rule rule, Observation... further) {
        List<Observation> history = new ArrayList<>(List.of(
                sentAt(0, RequestKind.SAFE),
                attemptArrives(5, Role.READER, 1),
                new StateHeld(10 * NANOS_PER_MS, "r", "again"),
                attemptEnds(10, 1, AttemptEnd.SERVED)));
        history.addAll(List.of(further));
        return row(rule, history);
    }

    private static Object[] row(Rule rule, Observation... history) {
        return row(rule, Arrays.asList(history));
    }

    private static Object[] row(Rule rule, List<Observation> history) {
        return new Object[] {rule, history};
    }

    @Test(dataProvider = "histories")
    public void eachBrokenRuleIsFoundAndNoOther(Rule rule, List<Observation> history) {
        List<Observation> ordered = new ArrayList<>(history);
        ordered.sort(Comparator.comparingLong(Observation::at));
        List<Rule> found = Oracle.judge(ordered, TERMS).stream()
                .map(Violation::rule)
                .distinct()
                .toList();
        assertEquals(found, rule == null ? List.of() : List.of(rule), history.toString());
    }

    @DataProvider
    public Object[][] slowStarts() {
        return new Object[][] {
            // served of 60 requests of the usual class, served of 20 of the heavy class, heavy requests sent to one
            // server at once
            {60, 20, 8, null},
            {60, 10, 8, null},
            {60, 9, 8, Rule.CLASS_STARVED},
            {60, 20, 30, Rule.SLOW_START_EXCEEDED}
        };
    }

    /**
     * A reader starts at 0, and 80 requests are sent, one every 50 ms. At 20 a second the budget of the first window is 33.6 mean
     * requests (3 times 20 a second for 2 s at a capacity of 0.28), not counting the small growth of the capacity within it.
     */
    @Test(dataProvider = "slowStarts")
    public void slowStartIsJudged(int servedUsual, int servedHeavy, int sentAtOnce, Rule rule) {
        List<Observation> history = new ArrayList<>(List.of(new ServerStarted(0, "reader", Role.READER)));
        int[] served = {servedUsual, servedHeavy};
        for (int i = 0; i < 80; i++) {
            int classIndex = i % 4 == 3 ? 1 : 0;
            RequestKind kind = classIndex == 1 ? RequestKind.UNSAFE : RequestKind.SAFE;
            history.add(new Sent(50 * i * NANOS_PER_MS + 1, "r" + i, kind, "n0", 1000));
            history.add(new Answered(
                    50 * i * NANOS_PER_MS + 40 * NANOS_PER_MS,
                    "r" + i,
                    served[classIndex]-- > 0 ? 200 : 429,
                    true,
                    "",
                    50 * i * NANOS_PER_MS + 40 * NANOS_PER_MS));
        }
        for (int i = 0; i < sentAtOnce; i++) {
            String id = "r" + (4 * i + 3) % 80;
            history.add(new AttemptArrived(
                    2000 * NANOS_PER_MS, id, "reader", Role.READER, "n0", i, 0, 2000 * NANOS_PER_MS, 0));
        }
        Oracle.SlowStart rules = new Oracle.SlowStart(0.28, 13, 3, 2);
        List<Rule> found = new SlowStartJudge(new Oracle.Terms(4, 1000, 1500, false, 50, rules))
                .judge(history).stream().map(Violation::rule).distinct().toList();
        assertEquals(found, rule == null ? List.of() : List.of(rule));
    }

    @Test
    public void moreThanFourAttemptsAreFound() {
        List<Observation> history = new ArrayList<>(List.of(sentAt(0, RequestKind.SAFE)));
        for (int i = 1; i <= 5; i++) {
            history.add(attemptArrives(10 * i, Role.READER, i));
            history.add(attemptEnds(10 * i + 5, i, AttemptEnd.FAILED));
        }
        history.add(answered(90, 502));
        assertEquals(Oracle.judge(history, TERMS).get(0).rule(), Rule.TOO_MANY_ATTEMPTS);
    }
}

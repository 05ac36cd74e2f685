package copperbeam.soak;

import static org.testng.Assert.assertEquals;

import copperbeam.soak.Observation.Answered;
import copperbeam.soak.Observation.AttemptArrived;
import copperbeam.soak.Observation.AttemptEnded;
import copperbeam.soak.Observation.AttemptOpened;
import copperbeam.soak.Observation.ClientGone;
import copperbeam.soak.Observation.ClosedUnanswered;
import copperbeam.soak.Observation.CutOffFromAll;
import copperbeam.soak.Observation.DrainTold;
import copperbeam.soak.Observation.Exited;
import copperbeam.soak.Observation.Killed;
import copperbeam.soak.Observation.NeverAnswered;
import copperbeam.soak.Observation.NotReady;
import copperbeam.soak.Observation.Overstayed;
import copperbeam.soak.Observation.Sent;
import copperbeam.soak.Observation.ServerStarted;
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
    private static final long MS = 1_000_000;
    private static final Oracle.Terms TERMS = new Oracle.Terms(4, 1000, 1500, false, 50, null);

    /** One request that is read by a reader and answered by a writer, from 0 to 120 ms. */
    private static List<Observation> served(RequestKind kind) {
        return List.of(
                new Sent(0, "r", kind, "n0", 1000),
                new AttemptOpened(4 * MS, "r", "reader", "n0"),
                new AttemptArrived(5 * MS, "r", "reader", Role.READER, "n0", 1, 990, 5 * MS, 0),
                new StateHeld(20 * MS, "r", "reader"),
                new AttemptEnded(20 * MS, "r", 1, AttemptEnd.SERVED),
                new AttemptOpened(24 * MS, "r", "writer", "n0"),
                new AttemptArrived(25 * MS, "r", "writer", Role.WRITER, "n0", 2, 970, 25 * MS, 0),
                new StateFreed(25 * MS, "r"),
                new Streamed(110 * MS, "r", 2, true, "abc"),
                new AttemptEnded(110 * MS, "r", 2, AttemptEnd.SERVED),
                new Answered(120 * MS, "r", 200, true, "abc"));
    }

    private static Observation at(long ms, RequestKind kind) {
        return new Sent(ms * MS, "r", kind, "n0", 1000);
    }

    private static Observation arrives(long ms, Role role, long attempt) {
        return new AttemptArrived(ms * MS, "r", "again", role, "n0", attempt, 100, ms * MS, 0);
    }

    private static Observation ends(long ms, long attempt, AttemptEnd end) {
        return new AttemptEnded(ms * MS, "r", attempt, end);
    }

    private static Observation answered(long ms, int status) {
        return new Answered(ms * MS, "r", status, true, "");
    }

    @DataProvider
    public Object[][] histories() {
        RequestKind safe = RequestKind.SAFE;
        RequestKind unsafe = RequestKind.UNSAFE;
        RequestKind keyed = RequestKind.KEYED;
        return new Object[][] {
            row(null, served(unsafe)),
            row(null, at(0, unsafe), answered(900, 429)),
            row(null, at(0, unsafe), new Killed(9 * MS, "n0"), new ClosedUnanswered(60 * MS, "r", true)),
            row(null, at(0, unsafe), new ClosedUnanswered(9 * MS, "r", false), at(10, unsafe), answered(90, 504)),
            row(null, at(0, unsafe), arrives(5, Role.WRITER, 1), ends(9, 1, AttemptEnd.TURNED_AWAY), answered(10, 503)),
            row(null, at(0, safe), arrives(5, Role.WRITER, 1), ends(9, 1, AttemptEnd.FAILED), answered(10, 503)),
            row(
                    null,
                    at(0, keyed),
                    arrives(5, Role.WRITER, 1),
                    ends(9, 1, AttemptEnd.FAILED),
                    arrives(50, Role.WRITER, 2),
                    ends(60, 2, AttemptEnd.FAILED),
                    answered(70, 502)),
            row(Rule.LOST, at(0, unsafe), new ClosedUnanswered(60 * MS, "r", true)),
            row(Rule.LOST, at(0, unsafe), new NeverAnswered(6000 * MS, "r")),
            row(Rule.LOST, at(0, unsafe), answered(1600, 504)),
            row(
                    Rule.LOST,
                    at(0, unsafe),
                    arrives(5, Role.READER, 1),
                    ends(6, 1, AttemptEnd.FAILED),
                    at(10, unsafe),
                    answered(90, 504)),
            row(
                    Rule.LOST,
                    at(0, safe),
                    arrives(5, Role.WRITER, 1),
                    new Streamed(9 * MS, "r", 1, false, "ab"),
                    ends(9, 1, AttemptEnd.GIVEN_UP),
                    new Answered(10 * MS, "r", 200, false, "a")),
            row(
                    Rule.WRONG_ANSWER,
                    at(0, safe),
                    arrives(5, Role.WRITER, 1),
                    new Streamed(9 * MS, "r", 1, false, "ab"),
                    ends(9, 1, AttemptEnd.FAILED),
                    new Answered(10 * MS, "r", 200, true, "ab")),
            row(Rule.WRONG_ANSWER, at(0, safe), new Answered(10 * MS, "r", 200, true, "ab")),
            row(Rule.WRONG_ANSWER, arrives(5, Role.READER, 1)),
            row(
                    Rule.TWO_AT_ONCE,
                    at(0, safe),
                    arrives(5, Role.READER, 1),
                    arrives(6, Role.READER, 2),
                    ends(70, 1, AttemptEnd.FAILED),
                    ends(80, 2, AttemptEnd.FAILED),
                    answered(90, 502)),
            row(
                    Rule.REPEATED_RUN,
                    at(0, unsafe),
                    arrives(5, Role.WRITER, 1),
                    ends(9, 1, AttemptEnd.FAILED),
                    arrives(70, Role.WRITER, 2),
                    ends(80, 2, AttemptEnd.FAILED),
                    answered(90, 502)),
            row(
                    Rule.REPEATED_RUN,
                    new Sent(0, "r", keyed, "n0", 3000),
                    arrives(5, Role.WRITER, 1),
                    ends(9, 1, AttemptEnd.FAILED),
                    arrives(1600, Role.WRITER, 2),
                    ends(1610, 2, AttemptEnd.FAILED),
                    answered(1700, 502)),
            row(
                    Rule.REFUSED_AFTER_RUN,
                    at(0, unsafe),
                    arrives(5, Role.WRITER, 1),
                    ends(9, 1, AttemptEnd.FAILED),
                    answered(10, 503)),
            row(
                    Rule.SENT_AFTER_END,
                    at(0, safe),
                    answered(10, 502),
                    arrives(100, Role.READER, 1),
                    ends(110, 1, AttemptEnd.FAILED)),
            row(
                    Rule.SENT_AFTER_CLIENT_LEFT,
                    at(0, safe),
                    new ClientGone(10 * MS, "r"),
                    arrives(200, Role.READER, 1),
                    ends(210, 1, AttemptEnd.FAILED)),
            row(
                    Rule.SENT_TO_DRAINING,
                    new DrainTold(0, "n0", "again"),
                    at(1100, safe),
                    new AttemptOpened(1200 * MS, "r", "again", "n0"),
                    answered(1300, 502)),
            held(Rule.PINNED, answered(900, 502), new StateFreed(1500 * MS, "r")),
            heldAtAKill(null, 900),
            heldAtAKill(Rule.PINNED, 1500),
            heldWhileCutOff(Rule.PINNED, "n1"),
            heldWhileCutOff(null, "n0"),
            row(
                    null,
                    at(0, safe),
                    new Killed(10 * MS, "n0"),
                    new ClientGone(20 * MS, "r"),
                    arrives(500, Role.READER, 1),
                    ends(510, 1, AttemptEnd.GIVEN_UP)),
            row(
                    Rule.DEADLINE_TOLD,
                    at(0, safe),
                    new AttemptArrived(5 * MS, "r", "again", Role.READER, "n0", 1, 1300, 5 * MS, 0),
                    ends(9, 1, AttemptEnd.FAILED),
                    answered(10, 502)),
            row(Rule.CRASHED, new Exited(0, "n0", 1, false, 0)),
            row(Rule.CRASHED, new Exited(0, "n0", 143, true, 0)),
            row(Rule.OVERSTAYED, new Overstayed(0, "n0")),
            row(Rule.NOT_READY, new NotReady(0, "n0", 12_000)),
        };
    }

    /** A read state that is never released, as its conductor is killed after the answer. */
    private static Object[] heldAtAKill(Rule rule, long killedMs) {
        return held(
                rule, answered(800, 502), new Killed(killedMs * MS, "n0"), new CutOffFromAll(5000 * MS, "n1", true));
    }

    /** A read state that is held for too long; {@code conductor} is cut off from all servers for 1 s of that time. */
    private static Object[] heldWhileCutOff(Rule rule, String conductor) {
        return held(
                rule,
                new CutOffFromAll(400 * MS, conductor, true),
                answered(900, 502),
                new CutOffFromAll(1400 * MS, conductor, false),
                new StateFreed(1500 * MS, "r"));
    }

    /** A history in which a read state is held from 10 ms on. */
    private static Object[] held(Rule rule, Observation... then) {
        List<Observation> history = new ArrayList<>(List.of(
                at(0, RequestKind.SAFE),
                arrives(5, Role.READER, 1),
                new StateHeld(10 * MS, "r", "again"),
                ends(10, 1, AttemptEnd.SERVED)));
        history.addAll(List.of(then));
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
            // served of 60 requests of the usual class, served of 20 of the heavy class, heavy requests sent to one server at once
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
    public void slowStartIsJudged(int usual, int heavy, int atOnce, Rule rule) {
        List<Observation> history = new ArrayList<>(List.of(new ServerStarted(0, "reader", Role.READER)));
        int[] served = {usual, heavy};
        for (int i = 0; i < 80; i++) {
            int which = i % 4 == 3 ? 1 : 0;
            RequestKind kind = which == 1 ? RequestKind.UNSAFE : RequestKind.SAFE;
            history.add(new Sent(50 * i * MS + 1, "r" + i, kind, "n0", 1000));
            history.add(new Answered(50 * i * MS + 40 * MS, "r" + i, served[which]-- > 0 ? 200 : 429, true, ""));
        }
        for (int i = 0; i < atOnce; i++) {
            String id = "r" + (4 * i + 3) % 80;
            history.add(new AttemptArrived(2000 * MS, id, "reader", Role.READER, "n0", i, 0, 2000 * MS, 0));
        }
        Oracle.SlowStart rules = new Oracle.SlowStart(0.28, 13, 3, 2);
        List<Rule> found = new SlowStartJudge(new Oracle.Terms(4, 1000, 1500, false, 50, rules))
                .judge(history).stream().map(Violation::rule).distinct().toList();
        assertEquals(found, rule == null ? List.of() : List.of(rule));
    }

    @Test
    public void moreThanFourAttemptsAreFound() {
        List<Observation> history = new ArrayList<>(List.of(at(0, RequestKind.SAFE)));
        for (int i = 1; i <= 5; i++) {
            history.add(arrives(10 * i, Role.READER, i));
            history.add(ends(10 * i + 5, i, AttemptEnd.FAILED));
        }
        history.add(answered(90, 502));
        assertEquals(Oracle.judge(history, TERMS).get(0).rule(), Rule.TOO_MANY_ATTEMPTS);
    }
}

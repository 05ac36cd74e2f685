package copperbeam.routing;

import static org.testng.Assert.assertEquals;

import copperbeam.Api;
import copperbeam.Api.Outcome;
import copperbeam.Api.Repeats;
import copperbeam.routing.RequestRules.Rule;
import java.time.Instant;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** {@link RequestRules} derives from attempts and outcomes what may have run, and reports the rule that an action would break. */
public class RequestRulesTest {
    private static final Instant START = Instant.EPOCH;
    private static final Instant DEADLINE = START.plusSeconds(5);

    private static RequestRules rules(Repeats repeats, boolean resumed) {
        return new RequestRules(
                new Api.RequestClass("c", 1, 0, 1, repeats, Api.DedupScope.ZONE, 2), 4, DEADLINE, resumed);
    }

    /**
     * How the class's requests may be repeated, the outcome of a first write and whether it had a connection; then the
     * rules that another write one second later, one three seconds later and a refusal would break. The class's repeat
     * window is two seconds.
     */
    @DataProvider
    public Object[][] ends() {
        Rule none = null;
        return new Object[][] {
            {Repeats.SAFE, Outcome.RESET, true, none, none, none},
            {Repeats.UNSAFE, Outcome.RESET, true, Rule.REPEATED_RUN, Rule.REPEATED_RUN, Rule.REFUSED_AFTER_RUN},
            {Repeats.UNSAFE, Outcome.STALE, true, Rule.REPEATED_RUN, Rule.REPEATED_RUN, Rule.REFUSED_AFTER_RUN},
            {Repeats.UNSAFE, Outcome.TIMED_OUT, true, Rule.REPEATED_RUN, Rule.REPEATED_RUN, Rule.REFUSED_AFTER_RUN},
            {Repeats.UNSAFE, Outcome.ERROR, true, Rule.REPEATED_RUN, Rule.REPEATED_RUN, Rule.REFUSED_AFTER_RUN},
            {Repeats.UNSAFE, Outcome.CANCELLED, true, Rule.REPEATED_RUN, Rule.REPEATED_RUN, Rule.REFUSED_AFTER_RUN},
            {Repeats.UNSAFE, Outcome.CANCELLED, false, none, none, none},
            {Repeats.UNSAFE, Outcome.FULL, true, none, none, none},
            {Repeats.UNSAFE, Outcome.CONNECT_FAILED, false, none, none, none},
            {Repeats.UNSAFE, Outcome.NOT_SENT, true, none, none, none},
            {Repeats.KEYED, Outcome.RESET, true, none, Rule.REPEATED_RUN, Rule.REFUSED_AFTER_RUN},
        };
    }

    @Test(dataProvider = "ends")
    public void whatMayHaveRunIsNotRepeated(
            Repeats repeats,
            Outcome outcome,
            boolean connected,
            Rule writeRuleAfterOneSecond,
            Rule writeRuleAfterThreeSeconds,
            Rule refusalRule) {
        RequestRules rules = rules(repeats, false);
        rules.attemptBegan(false, START);
        rules.attemptEnded(Outcome.READ, true);
        rules.attemptBegan(true, START);
        rules.attemptEnded(outcome, connected);
        assertEquals(rules.checkAttempt(true, START.plusSeconds(1)).orElse(null), writeRuleAfterOneSecond);
        assertEquals(rules.checkAttempt(true, START.plusSeconds(3)).orElse(null), writeRuleAfterThreeSeconds);
        assertEquals(rules.checkRefusal().orElse(null), refusalRule);
    }

    @Test
    public void oneAttemptAtATimeFourInAllAndNoneAfterTheEnd() {
        RequestRules rules = rules(Repeats.SAFE, false);
        for (int i = 0; i < 4; i++) {
            assertEquals(rules.checkAttempt(true, START).orElse(null), null);
            rules.attemptBegan(true, START);
            assertEquals(rules.checkAttempt(true, START).orElse(null), Rule.ATTEMPT_BESIDE_ANOTHER);
            rules.attemptEnded(Outcome.FULL, true);
        }
        assertEquals(rules.checkAttempt(true, START).orElse(null), Rule.TOO_MANY_ATTEMPTS);
        rules.requestEnded();
        assertEquals(rules.checkAttempt(true, START).orElse(null), Rule.ATTEMPT_AFTER_END);
    }

    @Test
    public void whatRunsOrRanElsewhereIsNotRefused() {
        RequestRules running = rules(Repeats.UNSAFE, false);
        running.attemptBegan(true, START);
        assertEquals(running.checkRefusal().orElse(null), Rule.REFUSED_AFTER_RUN);
        RequestRules resumed = rules(Repeats.UNSAFE, true);
        assertEquals(resumed.checkRefusal().orElse(null), Rule.REFUSED_AFTER_RUN);
        assertEquals(resumed.checkAttempt(true, START).orElse(null), null);
    }

    @Test
    public void anAnswerHasItsGrace() {
        RequestRules rules = rules(Repeats.SAFE, false);
        assertEquals(rules.checkFinalAnswer(DEADLINE.plusMillis(100)).orElse(null), null);
        assertEquals(rules.checkFinalAnswer(DEADLINE.plusMillis(101)).orElse(null), Rule.LATE_ANSWER);
    }
}

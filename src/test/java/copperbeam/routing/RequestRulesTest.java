package copperbeam.routing;

import static org.testng.Assert.assertEquals;

import copperbeam.Api;
import copperbeam.Api.Effect;
import copperbeam.Api.Outcome;
import copperbeam.routing.RequestRules.Rule;
import java.time.Instant;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** {@link RequestRules} derives from attempts and outcomes what may have run, and reports the rule that an action would break. */
public class RequestRulesTest {
    private static final Instant START = Instant.EPOCH;
    private static final Instant DEADLINE = START.plusSeconds(5);

    private static RequestRules rules(Effect effect, boolean resumed) {
        return new RequestRules(new Api.RequestClass("c", 1, 0, 1, effect, Api.Group.ZONE, 2), 4, DEADLINE, resumed);
    }

    /**
     * Effect of the class, outcome of a first write and whether it had a connection; then the expected broken rules of another
     * write one second and three seconds after the first, and of a refusal. The class's repeat window is two seconds.
     */
    @DataProvider
    public Object[][] ends() {
        Rule no = null;
        return new Object[][] {
            {Effect.SAFE, Outcome.RESET, true, no, no, no},
            {Effect.UNSAFE, Outcome.RESET, true, Rule.REPEATED_RUN, Rule.REPEATED_RUN, Rule.REFUSED_AFTER_RUN},
            {Effect.UNSAFE, Outcome.STALE, true, Rule.REPEATED_RUN, Rule.REPEATED_RUN, Rule.REFUSED_AFTER_RUN},
            {Effect.UNSAFE, Outcome.TIMED_OUT, true, Rule.REPEATED_RUN, Rule.REPEATED_RUN, Rule.REFUSED_AFTER_RUN},
            {Effect.UNSAFE, Outcome.ERROR, true, Rule.REPEATED_RUN, Rule.REPEATED_RUN, Rule.REFUSED_AFTER_RUN},
            {Effect.UNSAFE, Outcome.CANCELLED, true, Rule.REPEATED_RUN, Rule.REPEATED_RUN, Rule.REFUSED_AFTER_RUN},
            {Effect.UNSAFE, Outcome.CANCELLED, false, no, no, no},
            {Effect.UNSAFE, Outcome.FULL, true, no, no, no},
            {Effect.UNSAFE, Outcome.CONNECT_FAILED, false, no, no, no},
            {Effect.UNSAFE, Outcome.NOT_SENT, true, no, no, no},
            {Effect.KEYED, Outcome.RESET, true, no, Rule.REPEATED_RUN, Rule.REFUSED_AFTER_RUN},
        };
    }

    @Test(dataProvider = "ends")
    public void whatMayHaveRunIsNotRepeated(
            Effect effect, Outcome outcome, boolean reached, Rule soon, Rule late, Rule refusal) {
        RequestRules rules = rules(effect, false);
        rules.begun(false, START);
        rules.outcome(Outcome.READ, true);
        rules.begun(true, START);
        rules.outcome(outcome, reached);
        assertEquals(rules.againstAttempt(true, START.plusSeconds(1)).orElse(null), soon);
        assertEquals(rules.againstAttempt(true, START.plusSeconds(3)).orElse(null), late);
        assertEquals(rules.againstRefusal().orElse(null), refusal);
    }

    @Test
    public void oneAttemptAtATimeFourInAllAndNoneAfterTheEnd() {
        RequestRules rules = rules(Effect.SAFE, false);
        for (int i = 0; i < 4; i++) {
            assertEquals(rules.againstAttempt(true, START).orElse(null), null);
            rules.begun(true, START);
            assertEquals(rules.againstAttempt(true, START).orElse(null), Rule.ATTEMPT_BESIDE_ANOTHER);
            rules.outcome(Outcome.FULL, true);
        }
        assertEquals(rules.againstAttempt(true, START).orElse(null), Rule.TOO_MANY_ATTEMPTS);
        rules.ended();
        assertEquals(rules.againstAttempt(true, START).orElse(null), Rule.ATTEMPT_AFTER_END);
    }

    @Test
    public void whatRunsOrRanElsewhereIsNotRefused() {
        RequestRules running = rules(Effect.UNSAFE, false);
        running.begun(true, START);
        assertEquals(running.againstRefusal().orElse(null), Rule.REFUSED_AFTER_RUN);
        RequestRules resumed = rules(Effect.UNSAFE, true);
        assertEquals(resumed.againstRefusal().orElse(null), Rule.REFUSED_AFTER_RUN);
        assertEquals(resumed.againstAttempt(true, START).orElse(null), null);
    }

    @Test
    public void anAnswerHasItsGrace() {
        RequestRules rules = rules(Effect.SAFE, false);
        assertEquals(rules.againstAnswer(DEADLINE.plusMillis(100)).orElse(null), null);
        assertEquals(rules.againstAnswer(DEADLINE.plusMillis(101)).orElse(null), Rule.LATE_ANSWER);
    }
}

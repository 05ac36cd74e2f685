package copperbeam;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import copperbeam.TurnSchedule.Turn;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that no turn is lost to its owner, and that the turns of a cycle are spread over the processes. */
class TurnScheduleTest {
    private static final Api.Rules RULES = new Api.Rules(0.28, 13, 3, 2, 1, 10);
    private static final double STEP_S = 0.01;
    private static final double NEARLY_ONE_CYCLE_S = 2.16; // a little less than a whole cycle

    /**
     * Two turns of one process must not overlap, or one of them is lost: a turn counts as used if it began before the
     * process used another one.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4})
    void turnsDoNotOverlap(int nodes) {
        for (int index = 0; index < nodes; index++) {
            double lastStartedAt = 0;
            for (double ageS = 0; ageS < 2 * NEARLY_ONE_CYCLE_S; ageS += STEP_S) {
                Turn turn = new TurnSchedule(RULES, nodes, index).currentTurn(ageS, 0, 1);
                double startedAt = turn == null ? lastStartedAt : ageS - turn.elapsedS();
                assertTrue(startedAt >= lastStartedAt - STEP_S / 2, index + " at " + ageS + ": " + turn);
                lastStartedAt = startedAt;
            }
        }
    }

    /** Guards against cycles whose turns all belong to a few processes, which may be the ones with the most traffic. */
    @ParameterizedTest
    @ValueSource(ints = {5, 14, 30, 40, 60, 100})
    void theTurnsOfACycleHaveDifferentOwners(int nodes) {
        Set<Integer> owners = new HashSet<>();
        for (int index = 0; index < nodes; index++) {
            for (double ageS = 0; ageS < NEARLY_ONE_CYCLE_S; ageS += STEP_S) {
                if (new TurnSchedule(RULES, nodes, index).currentTurn(ageS, 0, 1) != null) {
                    owners.add(index);
                }
            }
        }
        assertEquals(Math.min(nodes, TurnSchedule.TURNS_PER_CYCLE), owners.size());
    }
}

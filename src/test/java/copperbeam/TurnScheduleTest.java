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
    private static final double LOOK_S = 0.01;
    private static final double CYCLE_S = 2.16; // a little less than a whole cycle

    /**
     * Two turns of one process must not overlap, or one of them is lost: a turn counts as used if it began before the
     * process used another one.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4})
    void turnsFollowOneAnother(int nodes) {
        for (int index = 0; index < nodes; index++) {
            double last = 0;
            for (double age = 0; age < 2 * CYCLE_S; age += LOOK_S) {
                Turn turn = new TurnSchedule(RULES, nodes, index).at(age, 0, 1);
                double begun = turn == null ? last : age - turn.sinceS();
                assertTrue(begun >= last - LOOK_S / 2, index + " at " + age + ": " + turn);
                last = begun;
            }
        }
    }

    /** Guards against cycles whose turns all belong to a few processes, which may be the ones with the most traffic. */
    @ParameterizedTest
    @ValueSource(ints = {5, 14, 30, 40, 60, 100})
    void theTurnsOfACycleHaveDifferentOwners(int nodes) {
        Set<Integer> owners = new HashSet<>();
        for (int index = 0; index < nodes; index++) {
            for (double age = 0; age < CYCLE_S; age += LOOK_S) {
                if (new TurnSchedule(RULES, nodes, index).at(age, 0, 1) != null) {
                    owners.add(index);
                }
            }
        }
        assertEquals(Math.min(nodes, TurnSchedule.MOST), owners.size());
    }
}

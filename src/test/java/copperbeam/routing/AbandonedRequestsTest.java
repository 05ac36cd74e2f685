package copperbeam.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.testng.annotations.Test;

public class AbandonedRequestsTest {
    private static final Instant START = Instant.EPOCH;

    @Test
    public void anIdIsForbiddenForAMinuteOnceItsRepeatsAreNotDroppedAnyMore() {
        AbandonedRequests abandoned = new AbandonedRequests();
        abandoned.add("unsafe", Instant.MIN, START);
        abandoned.add("keyed", START.plusSeconds(5), START);
        assertTrue(abandoned.forbids("unsafe", START));
        assertFalse(abandoned.forbids("keyed", START.plusSeconds(5)));
        assertTrue(abandoned.forbids("keyed", START.plusSeconds(6)));
        assertTrue(abandoned.forbids("unsafe", START.plusSeconds(60)));
        assertFalse(abandoned.forbids("unsafe", START.plusSeconds(61)));
        assertFalse(abandoned.forbids("other", START));
    }

    /** Clients that leave again and again, each time under a new name, take a limited amount of memory. */
    @Test
    public void theNumberOfIdsIsLimited() {
        AbandonedRequests abandoned = new AbandonedRequests();
        for (int i = 0; i < 10_000; i++) {
            abandoned.add("id" + i, Instant.MIN, START);
        }
        int forbidden = 0;
        for (int i = 0; i < 10_000; i++) {
            forbidden += abandoned.forbids("id" + i, START) ? 1 : 0;
        }
        assertEquals(forbidden, 4096);
        assertTrue(abandoned.forbids("id9999", START));
    }
}

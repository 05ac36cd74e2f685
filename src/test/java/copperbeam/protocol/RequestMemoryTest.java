package copperbeam.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Guards the count of the memory that requests hold: it must be neither lower than what is held nor kept for good. */
public class RequestMemoryTest {
    @Test
    public void aBodyIsHeldUntilItsLastUserHasEnded() {
        MemoryBudget budget = new MemoryBudget(100);
        assertTrue(budget.tryReserve(60));
        RequestBody body = new RequestBody(new byte[60], budget, 60);
        assertTrue(body.beginUse());
        body.release();
        body.release();
        assertEquals(body.bytes().length, 60, "an attempt is sending it");
        assertEquals(budget.reservedBytes(), 60);
        body.endUse();
        assertEquals(body.bytes().length, 0);
        assertEquals(budget.reservedBytes(), 0);
        assertFalse(body.beginUse());
    }

    @Test
    public void otherBytesInPlaceOfABodyAreCounted() {
        MemoryBudget budget = new MemoryBudget(100);
        assertTrue(budget.tryReserve(60));
        RequestBody body = new RequestBody(new byte[60], budget, 60);
        assertFalse(body.replaceBytes(new byte[101]));
        assertTrue(body.replaceBytes(new byte[90]));
        assertEquals(budget.reservedBytes(), 90);
        body.release();
        assertEquals(budget.reservedBytes(), 0);
    }

    @Test
    public void onlyWhatExceedsTheFreePartIsCharged() {
        MemoryBudget budget = new MemoryBudget(10);
        MemoryShare large = new MemoryShare(budget, 5);
        MemoryShare small = new MemoryShare(budget, 5);
        assertTrue(large.add(15));
        assertFalse(large.add(1));
        assertTrue(small.add(5), "small holders stay free beside a large one");
        assertFalse(small.add(1));
        large.remove(12);
        assertEquals(budget.reservedBytes(), 0);
        assertTrue(small.set(9));
        assertEquals(budget.reservedBytes(), 4);
        small.close();
        small.remove(9);
        assertEquals(budget.reservedBytes(), 0);
    }
}

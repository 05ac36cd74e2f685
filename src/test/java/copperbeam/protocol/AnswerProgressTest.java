package copperbeam.protocol;

import static org.testng.Assert.assertEquals;

import copperbeam.protocol.AnswerProgress.Part;
import java.time.Duration;
import java.util.Arrays;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What counts as progress, in virtual time: each row gives parts, one each {@code pause}, and the time without progress at their end. */
public class AnswerProgressTest {
    private static final long BEGAN_NS = Long.MAX_VALUE - 1_000_000; // overflows, as the clock may

    private static Part[] times(int count, Part part) {
        Part[] parts = new Part[count];
        Arrays.fill(parts, part);
        return parts;
    }

    private static Part[] after(Part first, Part[] rest) {
        Part[] parts = Arrays.copyOf(new Part[] {first}, rest.length + 1);
        System.arraycopy(rest, 0, parts, 1, rest.length);
        return parts;
    }

    @DataProvider
    public Object[][] sequences() {
        return new Object[][] {
            {after(Part.EVENT, times(9, Part.FRAMING)), 3000, 0},
            {after(Part.EVENT, times(9, Part.EVENT_TEXT)), 3000, 0},
            {after(Part.EVENT, times(9, Part.PADDING)), 1000, 9000},
            {after(Part.EVENT, times(9000, Part.PADDING)), 1, 9000},
            {after(Part.EVENT, after(Part.FRAMING, times(2, Part.PADDING))), 2000, 6000},
            {after(Part.EVENT, after(Part.EVENT_TEXT, times(2, Part.PADDING))), 2000, 4000},
            {after(Part.PADDING, times(1, Part.EVENT)), 3000, 0},
            {after(Part.EVENT, times(60, Part.EVENT_TEXT)), 1000, 0},
            {after(Part.EVENT, times(61, Part.EVENT_TEXT)), 1000, 61_000},
        };
    }

    @Test(dataProvider = "sequences")
    public void onlyWhatMayBelongToAnEventCounts(Part[] parts, int pauseMs, long expectedMs) {
        AnswerProgress progress = new AnswerProgress(BEGAN_NS);
        long now = BEGAN_NS;
        for (Part part : parts) {
            now += Duration.ofMillis(pauseMs).toNanos();
            progress.received(part, now);
        }
        assertEquals(progress.withoutProgress(now).toMillis(), expectedMs);
    }

    @Test
    public void aPauseOfTheClientDoesNotCount() {
        AnswerProgress progress = new AnswerProgress(BEGAN_NS);
        progress.received(Part.EVENT, BEGAN_NS);
        long resumedAt = BEGAN_NS + Duration.ofMinutes(5).toNanos();
        progress.windowFreed(resumedAt);
        assertEquals(progress.withoutProgress(resumedAt + 1_000_000), Duration.ofMillis(1));
    }
}

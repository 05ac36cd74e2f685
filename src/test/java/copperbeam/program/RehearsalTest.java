package copperbeam.program;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class RehearsalTest {
    /** The build archives the classes that this loads. If it failed unnoticed, starts would take twice as long. */
    @Test
    public void aRehearsalRunsToItsEnd() throws Exception {
        assertEquals(Main.run(new String[] {"rehearse"}, null), 0);
    }
}

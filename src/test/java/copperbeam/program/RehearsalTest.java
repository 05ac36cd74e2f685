package copperbeam.program;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class RehearsalTest {
    /** The build stores what this loads; where it fails, starts take twice as long and nobody is told. */
    @Test
    public void aRehearsalRunsToItsEnd() throws Exception {
        assertEquals(Main.run(new String[] {"rehearse"}, null), 0);
    }
}

package copperbeam.sockets;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.testng.annotations.Test;

/** Addresses for the processes of the tests. */
public class FreeAddressTest {
    private static final int CALLS = 500;

    /** Of two processes that got the same port before either bound it, one could not start. */
    @Test
    public void noPortIsGivenToTwoProcesses() throws IOException {
        Set<Integer> ports = new HashSet<>();
        for (int i = 0; i < CALLS; i++) {
            ports.add(Conductor.freeAddress().getPort());
        }
        assertEquals(ports.size(), CALLS);
    }
}

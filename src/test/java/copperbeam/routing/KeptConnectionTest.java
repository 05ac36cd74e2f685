package copperbeam.routing;

import static org.testng.Assert.assertEquals;

import copperbeam.routing.UnwantedTest.Ahead;
import copperbeam.routing.UnwantedTest.Server;
import java.time.Duration;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** When a kept connection is reused for another call. */
public class KeptConnectionTest {
    /** Idle time in milliseconds before the second call, and the expected actions on the server. */
    @DataProvider
    public Object[][] rests() {
        return new Object[][] {
            {0, "connect call connect "},
            {29, "connect call connect "},
            {30, "connect call call "},
            {59_000, "connect call call "},
            {60_000, "connect call close connect "},
        };
    }

    /**
     * A faulty server may send a second answer some milliseconds after the first; on a connection that was reused by then, it
     * would be taken for the answer to the next call.
     */
    @Test(dataProvider = "rests")
    public void aKeptConnectionSettlesBeforeItsNextCall(int restMs, String done) throws Exception {
        ScheduledThreadPoolExecutor turns = new ScheduledThreadPoolExecutor(1);
        try {
            Ahead clock = new Ahead();
            Server server = new Server();
            PeerActor peer = UnwantedTest.peer(turns, clock, server);
            turn(turns, () -> peer.tell(new PeerActor.Probe()));
            turn(turns, () -> server.watcher.up(server));
            turn(turns, () -> {
                server.listener.word(Connector.Word.HEARD, null);
                server.listener.end(true, Double.NaN);
            });
            clock.by = Duration.ofMillis(restMs);
            turn(turns, () -> peer.tell(new PeerActor.Probe()));
            assertEquals(turns.submit(() -> server.done).get(), done);
        } finally {
            turns.shutdownNow();
        }
    }

    private static void turn(ScheduledThreadPoolExecutor turns, Runnable step) throws Exception {
        turns.submit(step).get();
        turns.submit(() -> {}).get(); // returns after the actor's turn
    }
}

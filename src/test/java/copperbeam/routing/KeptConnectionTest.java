package copperbeam.routing;

import static org.testng.Assert.assertEquals;

import copperbeam.routing.UnwantedTest.Ahead;
import copperbeam.routing.UnwantedTest.Server;
import java.time.Duration;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** When a connection that has carried a call carries the next. */
public class KeptConnectionTest {
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

    /** A second answer comes some milliseconds behind the first: on a call made by then it would be taken for that call's. */
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
        turns.submit(() -> {}).get(); // the actor's turn has come before this one
    }
}

package copperbeam.routing;

import static org.testng.Assert.assertEquals;

import copperbeam.routing.UnwantedTest.ManualClock;
import copperbeam.routing.UnwantedTest.ScriptedServer;
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
    public void aKeptConnectionSettlesBeforeItsNextCall(int idleMs, String expectedActions) throws Exception {
        ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(1);
        try {
            ManualClock clock = new ManualClock();
            ScriptedServer server = new ScriptedServer();
            PeerActor peer = UnwantedTest.newPeer(scheduler, clock, server);
            runTurn(scheduler, () -> peer.tell(new PeerActor.Probe()));
            runTurn(scheduler, () -> server.connectionListener.connected(server));
            runTurn(scheduler, () -> {
                server.callListener.answerClassified(Connector.AnswerKind.HEARD, null);
                server.callListener.end(true, Double.NaN);
            });
            clock.offset = Duration.ofMillis(idleMs);
            runTurn(scheduler, () -> peer.tell(new PeerActor.Probe()));
            assertEquals(scheduler.submit(() -> server.actions).get(), expectedActions);
        } finally {
            scheduler.shutdownNow();
        }
    }

    private static void runTurn(ScheduledThreadPoolExecutor scheduler, Runnable step) throws Exception {
        scheduler.submit(step).get();
        scheduler.submit(() -> {}).get(); // returns after the actor's turn
    }
}

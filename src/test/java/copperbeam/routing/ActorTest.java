package copperbeam.routing;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ActorTest {
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {new IllegalStateException("a fault")}, {new NoClassDefFoundError("no descriptor is left")}
        };
    }

    /**
     * An actor keeps handling messages after one has failed, also with an Error as the JVM throws it when no file
     * descriptor is left. Otherwise it and all its requests would stop for good.
     */
    @Test(dataProvider = "faults")
    public void anActorOutlivesFailingMessages(Throwable fault) throws Exception {
        ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(1);
        CompletableFuture<String> received = new CompletableFuture<>();
        Actor<String> actor = new Actor<>(scheduler) {
            @Override
            protected void receive(String message) {
                if (!message.equals("faulty")) {
                    received.complete(message);
                } else if (fault instanceof Error e) {
                    throw e;
                } else {
                    throw (RuntimeException) fault;
                }
            }
        };
        actor.tell("faulty");
        actor.tell("next");
        assertEquals(received.get(5, TimeUnit.SECONDS), "next");
        scheduler.shutdownNow();
    }
}

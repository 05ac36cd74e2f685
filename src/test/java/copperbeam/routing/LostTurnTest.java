package copperbeam.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;

/** Guards against an actor that stops for good because an Error, as of a full heap, hit the request for its turn. */
public class LostTurnTest {
    /** An executor that fails once. */
    private static final class FailingExecutor extends ScheduledThreadPoolExecutor {
        final AtomicBoolean failsNext = new AtomicBoolean();

        FailingExecutor() {
            super(1);
        }

        @Override
        public void execute(Runnable command) {
            if (failsNext.getAndSet(false)) {
                throw new OutOfMemoryError("thrown by the test");
            }
            super.execute(command);
        }
    }

    private static final class Recorder extends Actor<Integer> {
        final List<Integer> received = new ArrayList<>();

        Recorder(ScheduledThreadPoolExecutor executor) {
            super(executor);
        }

        @Override
        protected void receive(Integer message) {
            received.add(message);
        }
    }

    @Test
    public void theNextMessageIsHandledWithTheOneWhoseTurnWasLost() throws Exception {
        FailingExecutor executor = new FailingExecutor();
        Recorder actor = new Recorder(executor);
        executor.failsNext.set(true);
        expectThrows(OutOfMemoryError.class, () -> actor.tell(1));
        actor.tell(2);
        executor.shutdown();
        executor.awaitTermination(5, TimeUnit.SECONDS);
        assertEquals(actor.received, List.of(1, 2));
    }
}

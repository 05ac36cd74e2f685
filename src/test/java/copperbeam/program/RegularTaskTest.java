package copperbeam.program;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class RegularTaskTest {
    @Test
    public void itRunsAgainAfterFailures() throws Exception {
        ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1);
        CountDownLatch runs = new CountDownLatch(3);
        RegularTask.start(executor, Duration.ofMillis(1), "a task", () -> {
            runs.countDown();
            throw new InternalError("no descriptor is left");
        });
        assertTrue(runs.await(10, TimeUnit.SECONDS), "runs left: " + runs.getCount());
        executor.shutdownNow();
    }
}

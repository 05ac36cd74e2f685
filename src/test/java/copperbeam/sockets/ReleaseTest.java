package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** What is held is let go in time though servers are silent or cut off; each order forced. */
public class ReleaseTest {
    /** Asked one after another the eleventh would hear it after 1.2 s; what failed has one second. */
    @Test
    public void aReleaseIsHeardThoughTheFirstTenAreSilent() throws Exception {
        try (Site site = new Site(1, 14);
                Line client = site.client()) {
            AtomicInteger asked = new AtomicInteger();
            AtomicLong failed = new AtomicLong();
            AtomicLong heard = new AtomicLong();
            StandIn.Script late = (m, line) -> {
                if (asked.incrementAndGet() > 10 && heard.compareAndSet(0, System.nanoTime())) {
                    line.answer(204, "");
                }
            };
            site.readers.get(0).script =
                    (m, line) -> (m.method().equals("DELETE") ? late : (StandIn.Script) Site::read).run(m, line);
            site.writers.forEach(w -> w.script = (m, line) -> {
                if (m.method().equals("DELETE")) {
                    late.run(m, line);
                } else {
                    failed.set(System.nanoTime());
                    line.answer(500, "");
                }
            });
            assertEquals(client.send(request("send", 4000)).read().status(), 502);
            await("heard", () -> heard.get() != 0);
            assertTrue(heard.get() - failed.get() < 1_000_000_000L, "after " + (heard.get() - failed.get()) + " ns");
        }
    }

    /**
     * The reader knows nothing of its client's going, and its read may yet end well: it is told once it can be, whoever heard
     * the release before, and once more for a read that ends just then.
     */
    @Test
    public void aReaderThatIsCutOffIsToldOnceItIsBack() throws Exception {
        try (Site site = new Site(1, 1)) {
            CountDownLatch back = new CountDownLatch(1);
            AtomicInteger told = new AtomicInteger();
            StandIn reader = site.readers.get(0);
            reader.script = (m, line) -> {
                boolean cutOff = back.getCount() > 0;
                back.await();
                if (!cutOff && m.method().equals("DELETE")) {
                    told.incrementAndGet();
                    line.answer(204, "");
                }
            };
            try (Line client = site.client()) {
                client.send(request("ask", 60_000));
                await("read", () -> reader.attempts() == 1);
            }
            await("heard twice elsewhere", () -> site.writers.get(0).releases() >= 2);
            back.countDown();
            await("told, and once more", () -> told.get() >= 2);
        }
    }
}

package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Read states are released in time although servers are silent or unreachable. The order of events is forced. */
public class ReleaseTest {
    /**
     * After a failed request, a server must get the release within one second. If servers were asked one after another, the
     * eleventh would get it only after 1.2 s.
     */
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
            await("a server has confirmed the release", () -> heard.get() != 0);
            assertTrue(heard.get() - failed.get() < 1_000_000_000L, "after " + (heard.get() - failed.get()) + " ns");
        }
    }

    /**
     * The reader didn't learn that the client has left, and its read may still succeed. It gets the release as soon as it can
     * be reached, even if another server has confirmed the release before, and once more in case its read ends just then.
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
                await("the reader has the attempt", () -> reader.attempts() == 1);
            }
            await("the writer got the release twice", () -> site.writers.get(0).releases() >= 2);
            back.countDown();
            await("the reader got the release twice", () -> told.get() >= 2);
        }
    }
}

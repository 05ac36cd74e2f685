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
    public void aReleaseSucceedsThoughTheFirstTenServersAreSilent() throws Exception {
        try (Site site = new Site(1, 14);
                RawConnection client = site.client()) {
            AtomicInteger releaseCalls = new AtomicInteger();
            AtomicLong failedNs = new AtomicLong();
            AtomicLong confirmedNs = new AtomicLong();
            StandIn.Script releaseScript = (request, connection) -> {
                if (releaseCalls.incrementAndGet() > 10 && confirmedNs.compareAndSet(0, System.nanoTime())) {
                    connection.respond(204, "");
                }
            };
            site.readers.get(0).script = (request, connection) -> (request.method()
                                    .equals("DELETE")
                            ? releaseScript
                            : (StandIn.Script) Site::answerAsReader)
                    .run(request, connection);
            site.writers.forEach(writer -> writer.script = (request, connection) -> {
                if (request.method().equals("DELETE")) {
                    releaseScript.run(request, connection);
                } else {
                    failedNs.set(System.nanoTime());
                    connection.respond(500, "");
                }
            });
            assertEquals(client.send(request("send", 4000)).read().status(), 502);
            await("a server has confirmed the release", () -> confirmedNs.get() != 0);
            assertTrue(
                    confirmedNs.get() - failedNs.get() < 1_000_000_000L,
                    "after " + (confirmedNs.get() - failedNs.get()) + " ns");
        }
    }

    /**
     * The reader didn't learn that the client has left, and its read may still succeed. It gets the release as soon as it can
     * be reached, even if another server has confirmed the release before, and once more in case its read ends just then.
     */
    @Test
    public void anUnreachableReaderGetsTheReleaseOnceItIsBack() throws Exception {
        try (Site site = new Site(1, 1)) {
            CountDownLatch reachable = new CountDownLatch(1);
            AtomicInteger releasesReceived = new AtomicInteger();
            StandIn reader = site.readers.get(0);
            reader.script = (request, connection) -> {
                boolean wasCutOff = reachable.getCount() > 0;
                reachable.await();
                if (!wasCutOff && request.method().equals("DELETE")) {
                    releasesReceived.incrementAndGet();
                    connection.respond(204, "");
                }
            };
            try (RawConnection client = site.client()) {
                client.send(request("ask", 60_000));
                await("the reader has the attempt", () -> reader.attempts() == 1);
            }
            await("the writer got the release twice", () -> site.writers.get(0).releases() >= 2);
            reachable.countDown();
            await("the reader got the release twice", () -> releasesReceived.get() >= 2);
        }
    }
}

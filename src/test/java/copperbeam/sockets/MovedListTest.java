package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;

/** SIGHUP changes the address of the server list while servers drain. */
public class MovedListTest {
    private static String list(long version, boolean full, String... entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }

    /**
     * The old address reports a drain while the address changes; the new one lags behind and lists the server as active.
     * Guards against requests to the draining server.
     */
    @Test
    public void aDrainIsKeptThroughAMove() throws Exception {
        CountDownLatch moved = new CountDownLatch(1);
        try (StandIn reader = new StandIn(Site::read);
                StandIn drains = new StandIn(Site::write);
                StandIn stays = new StandIn(Site::write);
                StandIn first = new StandIn((m, line) -> {
                    if (!m.path().contains("from=")) {
                        line.answer(
                                200,
                                list(
                                        7,
                                        true,
                                        Site.entry(reader, "prefill", "active"),
                                        Site.entry(drains, "decode", "active")));
                    } else if (m.path().contains("from=7&")) {
                        moved.await(); // answered only after the address has changed
                        line.answer(200, list(8, false, Site.entry(drains, "decode", "leaving")));
                    } else {
                        line.close();
                    }
                });
                StandIn second = new StandIn((m, line) -> {
                    boolean watch = m.path().contains("from=");
                    if (watch) {
                        Thread.sleep(500);
                    }
                    line.answer(
                            200,
                            watch
                                    ? list(7, false)
                                    : list(
                                            7,
                                            true,
                                            Site.entry(reader, "prefill", "active"),
                                            Site.entry(drains, "decode", "active"),
                                            Site.entry(stays, "decode", "active")));
                });
                Conductor conductor = new Conductor(first, 1024, 192)) {
            conductor.awaitHealthy();
            await("the old address is watched", () -> first.count(m -> m.path().contains("from=7&")) > 0);
            conductor.configure(second.host());
            conductor.signal("HUP");
            await("asked at the new address", () -> second.count(m -> m.path().contains("from=7&")) > 0);
            moved.countDown();
            await("the drain was received", () -> first.count(m -> m.path().contains("from=8&")) > 0);
            try (Line client = new Line(conductor.address)) {
                for (int i = 0; i < 20; i++) {
                    assertEquals(client.send(request("ask", 5000)).read().status(), 200);
                }
            }
            assertEquals(drains.attempts(), 0);
            assertEquals(stays.attempts(), 20);
        }
    }

    /** Guards against a new address that accepts connections but never answers on the first of them. */
    @Test
    public void aSilentConnectionHidesNoList() throws Exception {
        try (StandIn reader = new StandIn(Site::read);
                StandIn old = new StandIn(Site::write);
                StandIn next = new StandIn(Site::write);
                StandIn first = Conductor.discovery(reader, old)) {
            StandIn list = Conductor.discovery(reader, next);
            StandIn.Script whole = list.script;
            AtomicBoolean givenUp = new AtomicBoolean();
            AtomicBoolean beside = new AtomicBoolean();
            list.script = (m, line) -> {
                if (list.seen.size() > 1) {
                    beside.compareAndSet(false, !givenUp.get());
                    whole.run(m, line);
                } else {
                    try {
                        line.read();
                    } finally {
                        givenUp.set(true); // the call has ended, answered or not
                    }
                }
            };
            try (list;
                    Conductor conductor = new Conductor(first, 1024, 192)) {
                conductor.awaitHealthy();
                conductor.configure(list.host());
                conductor.signal("HUP");
                await("called again during the silent call", beside::get);
                await("the new address is watched", () -> list.count(m -> m.path().contains("from=7&")) > 0);
                try (Line client = new Line(conductor.address)) {
                    assertEquals(client.send(request("ask", 5000)).read().status(), 200);
                }
                assertEquals(next.attempts(), 1);
            }
        }
    }
}

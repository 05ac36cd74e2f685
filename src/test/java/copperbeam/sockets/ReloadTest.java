package copperbeam.sockets;

import static copperbeam.sockets.Site.attempts;
import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** Signals to the program, which runs in a process of its own. */
public class ReloadTest {
    /** The JVM does not handle a signal that its parent ignores: the program logs this at the start, before operators rely on it. */
    @Test
    public void anIgnoredHangupIsToldAtTheStart() throws Exception {
        for (String shell : List.of(":", "trap '' HUP")) {
            try (StandIn server = new StandIn(Site::read);
                    StandIn discovery = Conductor.discovery(server, server);
                    Conductor conductor = new Conductor(discovery, 1024, 192, List.of(), shell)) {
                conductor.awaitHealthy();
                assertEquals(conductor.logged("SIGHUP is ignored"), !shell.equals(":"), shell);
            }
        }
    }

    /** Guards against a JVM that ends on SIGHUP, and against a list that is still followed at the old address. */
    @SuppressWarnings("try") // the first discovery address is closed in the middle of the test
    @Test
    public void aHangupMovesDiscoveryAndDisturbsNothing() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StandIn reader = new StandIn(Site::read);
                StandIn old = new StandIn(attempts((m, line) -> {
                    go.await();
                    Site.write(m, line);
                }));
                StandIn next = new StandIn(Site::write);
                StandIn first = Conductor.discovery(reader, old);
                StandIn second = Conductor.discovery(reader, next);
                StandIn third = Conductor.discovery(reader, next);
                Conductor conductor = new Conductor(first, 1024, 192)) {
            conductor.awaitHealthy();
            try (Line open = new Line(conductor.address);
                    Line client = new Line(conductor.address)) {
                open.send(request("ask", 60_000));
                await("written", () -> old.attempts() == 1);

                conductor.configure(second.host());
                conductor.signal("HUP");
                await(
                        "watched at the new address",
                        () -> second.count(m -> m.path().contains("from=7&")) > 0);
                first.close();
                assertEquals(client.send(request("send", 5000)).read().status(), 200);
                assertEquals(next.attempts(), 1);

                conductor.configure("nowhere");
                conductor.signal("HUP");
                await("the faulty key is logged", () -> conductor.logged("discovery: 'nowhere'"));
                assertEquals(client.send(request("send", 5000)).read().status(), 200);

                conductor.configure(third.host());
                conductor.signal("HUP");
                await("discovery has moved again", () -> third.seen.size() > 0);
                conductor.signal("HUP");
                conductor.signal("TERM");
                go.countDown();
                assertEquals(open.read().text(), Site.EVENTS);
            }
            assertTrue(conductor.process.waitFor(Line.PATIENCE_MS, java.util.concurrent.TimeUnit.MILLISECONDS));
            assertEquals(conductor.process.exitValue(), 0);
        }
    }
}

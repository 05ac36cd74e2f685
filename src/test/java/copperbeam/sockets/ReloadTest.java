package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.forAttempts;
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
    public void anIgnoredHangupIsLoggedAtTheStart() throws Exception {
        for (String shellPrelude : List.of(":", "trap '' HUP")) {
            try (StandIn server = new StandIn(Site::answerAsReader);
                    StandIn discovery = Conductor.discovery(server, server);
                    Conductor conductor = new Conductor(discovery, 1024, 192, List.of(), shellPrelude)) {
                conductor.awaitHealthy();
                assertEquals(conductor.hasLogged("SIGHUP is ignored"), !shellPrelude.equals(":"), shellPrelude);
            }
        }
    }

    /** Guards against a JVM that ends on SIGHUP, and against a list that is still followed at the old address. */
    @SuppressWarnings("try") // the first discovery address is closed in the middle of the test
    @Test
    public void aHangupMovesDiscoveryAndDisturbsNothing() throws Exception {
        CountDownLatch unblock = new CountDownLatch(1);
        try (StandIn reader = new StandIn(Site::answerAsReader);
                StandIn oldWriter = new StandIn(forAttempts((request, connection) -> {
                    unblock.await();
                    Site.answerAsWriter(request, connection);
                }));
                StandIn newWriter = new StandIn(Site::answerAsWriter);
                StandIn firstDiscovery = Conductor.discovery(reader, oldWriter);
                StandIn secondDiscovery = Conductor.discovery(reader, newWriter);
                StandIn thirdDiscovery = Conductor.discovery(reader, newWriter);
                Conductor conductor = new Conductor(firstDiscovery, 1024, 192)) {
            conductor.awaitHealthy();
            try (RawConnection openClient = new RawConnection(conductor.address);
                    RawConnection client = new RawConnection(conductor.address)) {
                openClient.send(request("ask", 60_000));
                await("written", () -> oldWriter.attempts() == 1);

                conductor.configure(secondDiscovery.hostAndPort());
                conductor.signal("HUP");
                await(
                        "watched at the new address",
                        () -> secondDiscovery.count(request -> request.path().contains("from=7&")) > 0);
                firstDiscovery.close();
                assertEquals(client.send(request("send", 5000)).read().status(), 200);
                assertEquals(newWriter.attempts(), 1);

                conductor.configure("nowhere");
                conductor.signal("HUP");
                await("the faulty key is logged", () -> conductor.hasLogged("discovery: 'nowhere'"));
                assertEquals(client.send(request("send", 5000)).read().status(), 200);

                conductor.configure(thirdDiscovery.hostAndPort());
                conductor.signal("HUP");
                await("discovery has moved again", () -> thirdDiscovery.requests.size() > 0);
                conductor.signal("HUP");
                conductor.signal("TERM");
                unblock.countDown();
                assertEquals(openClient.read().text(), Site.EVENTS);
            }
            assertTrue(conductor.process.waitFor(RawConnection.TIMEOUT_MS, java.util.concurrent.TimeUnit.MILLISECONDS));
            assertEquals(conductor.process.exitValue(), 0);
        }
    }
}

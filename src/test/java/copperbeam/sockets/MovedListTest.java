package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;

/** SIGHUP changes the address of the server list while servers drain. */
public class MovedListTest {
    private static String listJson(long version, boolean full, String... entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }

    /**
     * The old address reports a drain while the address changes; the new one lags behind and lists the server as active.
     * Guards against requests to the draining server.
     */
    @Test
    public void aDrainIsKeptThroughAMove() throws Exception {
        CountDownLatch moved = new CountDownLatch(1);
        try (StandIn reader = new StandIn(Site::answerAsReader);
                StandIn drainingWriter = new StandIn(Site::answerAsWriter);
                StandIn stayingWriter = new StandIn(Site::answerAsWriter);
                StandIn oldAgent = new StandIn((request, connection) -> {
                    if (!request.path().contains("from=")) {
                        connection.respond(
                                200,
                                listJson(
                                        7,
                                        true,
                                        Site.entry(reader, "prefill", "active"),
                                        Site.entry(drainingWriter, "decode", "active")));
                    } else if (request.path().contains("from=7&")) {
                        moved.await(); // answered only after the address has changed
                        connection.respond(200, listJson(8, false, Site.entry(drainingWriter, "decode", "leaving")));
                    } else {
                        connection.close();
                    }
                });
                StandIn newAgent = new StandIn((request, connection) -> {
                    boolean isWatch = request.path().contains("from=");
                    if (isWatch) {
                        Thread.sleep(500);
                    }
                    connection.respond(
                            200,
                            isWatch
                                    ? listJson(7, false)
                                    : listJson(
                                            7,
                                            true,
                                            Site.entry(reader, "prefill", "active"),
                                            Site.entry(drainingWriter, "decode", "active"),
                                            Site.entry(stayingWriter, "decode", "active")));
                });
                Conductor conductor = new Conductor(oldAgent, 1024, 192)) {
            conductor.awaitHealthy();
            await(
                    "the old address is watched",
                    () -> oldAgent.count(request -> request.path().contains("from=7&")) > 0);
            conductor.configure(newAgent.hostAndPort());
            conductor.signal("HUP");
            await(
                    "asked at the new address",
                    () -> newAgent.count(request -> request.path().contains("from=7&")) > 0);
            moved.countDown();
            await(
                    "the drain was received",
                    () -> oldAgent.count(request -> request.path().contains("from=8&")) > 0);
            try (RawConnection client = new RawConnection(conductor.address)) {
                for (int i = 0; i < 20; i++) {
                    assertEquals(client.send(request("ask", 5000)).read().status(), 200);
                }
            }
            assertEquals(drainingWriter.attempts(), 0);
            assertEquals(stayingWriter.attempts(), 20);
        }
    }

    /** Guards against a new address that accepts connections but never answers on the first of them. */
    @Test
    public void aSilentConnectionHidesNoList() throws Exception {
        try (StandIn reader = new StandIn(Site::answerAsReader);
                StandIn oldWriter = new StandIn(Site::answerAsWriter);
                StandIn newWriter = new StandIn(Site::answerAsWriter);
                StandIn oldAgent = Conductor.discovery(reader, oldWriter)) {
            StandIn newAgent = Conductor.discovery(reader, newWriter);
            StandIn.Script normalScript = newAgent.script;
            AtomicBoolean firstCallEnded = new AtomicBoolean();
            AtomicBoolean calledDuringFirst = new AtomicBoolean();
            newAgent.script = (request, connection) -> {
                if (newAgent.requests.size() > 1) {
                    calledDuringFirst.compareAndSet(false, !firstCallEnded.get());
                    normalScript.run(request, connection);
                } else {
                    try {
                        connection.read();
                    } finally {
                        firstCallEnded.set(true); // the call has ended, answered or not
                    }
                }
            };
            try (newAgent;
                    Conductor conductor = new Conductor(oldAgent, 1024, 192)) {
                conductor.awaitHealthy();
                conductor.configure(newAgent.hostAndPort());
                conductor.signal("HUP");
                await("called again during the silent call", calledDuringFirst::get);
                await(
                        "the new address is watched",
                        () -> newAgent.count(request -> request.path().contains("from=7&")) > 0);
                try (RawConnection client = new RawConnection(conductor.address)) {
                    assertEquals(client.send(request("ask", 5000)).read().status(), 200);
                }
                assertEquals(newWriter.attempts(), 1);
            }
        }
    }
}

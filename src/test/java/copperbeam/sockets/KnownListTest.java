package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;

import copperbeam.program.Config;
import copperbeam.program.Node;
import copperbeam.protocol.discovery.ServerList;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What a start makes of the list that its configuration knows, where the list is pushed. */
public class KnownListTest {
    /** What the agent has counts as told from the first moment, so that nothing goes by an older list before its own is in. */
    @Test
    public void nothingGoesByAnOlderListBeforeTheAgentsIsIn() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        try (StandIn reader = new StandIn(Site::read);
                StandIn drains = new StandIn(Site::write);
                StandIn writer = new StandIn(Site::write);
                StandIn discovery = new StandIn((m, line) -> {
                    if (m.path().contains("from=")) {
                        Thread.sleep(500);
                    } else {
                        told.await();
                    }
                    line.answer(
                            200,
                            list(
                                    9,
                                    !m.path().contains("from="),
                                    Site.entry(reader, "prefill", "active"),
                                    Site.entry(drains, "decode", "leaving"),
                                    Site.entry(writer, "decode", "active")));
                })) {
            String known =
                    list(1, true, Site.entry(reader, "prefill", "active"), Site.entry(drains, "decode", "active"));
            try (Node node = node(discovery, known);
                    Line client = new Line(node.address())) {
                client.send(request("send", 8000));
                await("asked for the list", () -> !discovery.seen.isEmpty());
                await("a while of the request's time", new java.util.function.BooleanSupplier() {
                    private final long until =
                            System.nanoTime() + Duration.ofMillis(400).toNanos();

                    @Override
                    public boolean getAsBoolean() {
                        return System.nanoTime() > until;
                    }
                });
                assertEquals(reader.attempts(), 0);
                told.countDown();
                assertEquals(client.read().status(), 200);
                assertEquals(drains.attempts(), 0);
                assertEquals(writer.attempts(), 1);
            }
        }
    }

    @DataProvider
    public Object[][] starts() {
        return new Object[][] {{"empty"}, {"silent"}};
    }

    /** An agent that has heard of nobody yet is as one that says nothing: the list known before has to do. */
    @Test(dataProvider = "starts")
    public void nobodyIsTurnedAwayForAnAgentThatHasHeardOfNobody(String how) throws Exception {
        CountDownLatch heard = new CountDownLatch(1);
        try (StandIn reader = new StandIn(Site::read);
                StandIn old = new StandIn(Site::write);
                StandIn writer = new StandIn(Site::write);
                StandIn discovery = new StandIn((m, line) -> {
                    if (heard.getCount() > 0 && how.equals("silent")) {
                        heard.await();
                    }
                    boolean watch = m.path().contains("from=");
                    if (watch) {
                        Thread.sleep(500);
                    }
                    line.answer(
                            200,
                            watch
                                    ? list(2, false)
                                    : heard.getCount() > 0
                                            ? list(1, true)
                                            : list(
                                                    2,
                                                    true,
                                                    Site.entry(reader, "prefill", "active"),
                                                    Site.entry(writer, "decode", "active")));
                })) {
            String known = list(1, true, Site.entry(reader, "prefill", "active"), Site.entry(old, "decode", "active"));
            try (Node node = node(discovery, known);
                    Line client = new Line(node.address())) {
                assertEquals(client.send(request("send", 8000)).read().status(), 200);
                assertEquals(old.attempts(), 1);
                heard.countDown();
                await("its own list", () -> discovery.count(m -> m.path().contains("from=2&")) > 0);
                assertEquals(client.send(request("send", 8000)).read().status(), 200);
                assertEquals(writer.attempts(), 1);
                assertEquals(old.attempts(), 1);
            }
        }
    }

    /** Nor does a list known before that names nobody: the front would send clients here, to be turned away. */
    @Test
    public void nobodyIsReadyByAListWithoutServers() throws Exception {
        CountDownLatch heard = new CountDownLatch(1);
        try (StandIn reader = new StandIn(Site::read);
                StandIn discovery = new StandIn((m, line) -> {
                    heard.await();
                    boolean watch = m.path().contains("from=");
                    Thread.sleep(watch ? 500 : 0);
                    line.answer(200, watch ? list(2, false) : list(2, true, Site.entry(reader, "prefill", "active")));
                });
                Node node = node(discovery, list(1, true))) {
            for (long until = System.nanoTime() + Duration.ofMillis(2500).toNanos(); System.nanoTime() < until; ) {
                assertEquals(health(node), 503);
                Thread.sleep(50);
            }
            heard.countDown();
            await("ready", () -> health(node) == 200);
        }
    }

    private static int health(Node node) {
        try (Line line = new Line(node.address())) {
            return line.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").read().status();
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static Node node(StandIn discovery, String known) throws Exception {
        return new Node(new Config(
                "n0",
                new InetSocketAddress("127.0.0.1", 0),
                null,
                null,
                discovery.address(),
                7,
                Site.settings(30),
                ServerList.parse(known),
                Duration.ofMillis(250),
                Duration.ofSeconds(30),
                Config.Limits.USUAL,
                new Config.Operator(null, null, null, List.of())));
    }

    private static String list(int version, boolean full, String... entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }
}

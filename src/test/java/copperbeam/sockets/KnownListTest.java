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

/** How a starting router uses the server list in its configuration, if a local discovery agent pushes the current list to it. */
public class KnownListTest {
    /**
     * The agent's list counts as known from the router's start, so that no request is routed by an older list before the
     * agent's list has arrived.
     */
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
                await("the list was requested", () -> !discovery.seen.isEmpty());
                await("400 ms have passed", new java.util.function.BooleanSupplier() {
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

    /** An agent that knows no servers yet is treated like a silent one: the configured list is used. */
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
                await("the agent's list was received", () -> discovery.count(m -> m.path().contains("from=2&")) > 0);
                assertEquals(client.send(request("send", 8000)).read().status(), 200);
                assertEquals(writer.attempts(), 1);
                assertEquals(old.attempts(), 1);
            }
        }
    }

    /** A configured list without servers makes no router ready: clients would be sent to it only to be refused. */
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

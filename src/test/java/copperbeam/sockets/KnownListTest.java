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
    public void noRequestIsRoutedBeforeTheAgentsListArrives() throws Exception {
        CountDownLatch agentMayAnswer = new CountDownLatch(1);
        try (StandIn reader = new StandIn(Site::answerAsReader);
                StandIn drainingWriter = new StandIn(Site::answerAsWriter);
                StandIn writer = new StandIn(Site::answerAsWriter);
                StandIn discovery = new StandIn((request, connection) -> {
                    if (request.path().contains("from=")) {
                        Thread.sleep(500);
                    } else {
                        agentMayAnswer.await();
                    }
                    connection.respond(
                            200,
                            listJson(
                                    9,
                                    !request.path().contains("from="),
                                    Site.entry(reader, "prefill", "active"),
                                    Site.entry(drainingWriter, "decode", "leaving"),
                                    Site.entry(writer, "decode", "active")));
                })) {
            String knownList = listJson(
                    1, true, Site.entry(reader, "prefill", "active"), Site.entry(drainingWriter, "decode", "active"));
            try (Node node = node(discovery, knownList);
                    RawConnection client = new RawConnection(node.address())) {
                client.send(request("send", 8000));
                await("the list was requested", () -> !discovery.requests.isEmpty());
                await("400 ms have passed", new java.util.function.BooleanSupplier() {
                    private final long until =
                            System.nanoTime() + Duration.ofMillis(400).toNanos();

                    @Override
                    public boolean getAsBoolean() {
                        return System.nanoTime() > until;
                    }
                });
                assertEquals(reader.attempts(), 0);
                agentMayAnswer.countDown();
                assertEquals(client.read().status(), 200);
                assertEquals(drainingWriter.attempts(), 0);
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
    public void theKnownListServesWhileTheAgentHasNoServers(String agentState) throws Exception {
        CountDownLatch agentHasServers = new CountDownLatch(1);
        try (StandIn reader = new StandIn(Site::answerAsReader);
                StandIn oldWriter = new StandIn(Site::answerAsWriter);
                StandIn writer = new StandIn(Site::answerAsWriter);
                StandIn discovery = new StandIn((request, connection) -> {
                    if (agentHasServers.getCount() > 0 && agentState.equals("silent")) {
                        agentHasServers.await();
                    }
                    boolean isWatch = request.path().contains("from=");
                    if (isWatch) {
                        Thread.sleep(500);
                    }
                    connection.respond(
                            200,
                            isWatch
                                    ? listJson(2, false)
                                    : agentHasServers.getCount() > 0
                                            ? listJson(1, true)
                                            : listJson(
                                                    2,
                                                    true,
                                                    Site.entry(reader, "prefill", "active"),
                                                    Site.entry(writer, "decode", "active")));
                })) {
            String knownList = listJson(
                    1, true, Site.entry(reader, "prefill", "active"), Site.entry(oldWriter, "decode", "active"));
            try (Node node = node(discovery, knownList);
                    RawConnection client = new RawConnection(node.address())) {
                assertEquals(client.send(request("send", 8000)).read().status(), 200);
                assertEquals(oldWriter.attempts(), 1);
                agentHasServers.countDown();
                await(
                        "the agent's list was received",
                        () -> discovery.count(request -> request.path().contains("from=2&")) > 0);
                assertEquals(client.send(request("send", 8000)).read().status(), 200);
                assertEquals(writer.attempts(), 1);
                assertEquals(oldWriter.attempts(), 1);
            }
        }
    }

    /** A configured list without servers makes no router ready: clients would be sent to it only to be refused. */
    @Test
    public void aListWithoutServersMakesNoRouterReady() throws Exception {
        CountDownLatch agentHasServers = new CountDownLatch(1);
        try (StandIn reader = new StandIn(Site::answerAsReader);
                StandIn discovery = new StandIn((request, connection) -> {
                    agentHasServers.await();
                    boolean isWatch = request.path().contains("from=");
                    Thread.sleep(isWatch ? 500 : 0);
                    connection.respond(
                            200,
                            isWatch ? listJson(2, false) : listJson(2, true, Site.entry(reader, "prefill", "active")));
                });
                Node node = node(discovery, listJson(1, true))) {
            for (long untilNs = System.nanoTime() + Duration.ofMillis(2500).toNanos(); System.nanoTime() < untilNs; ) {
                assertEquals(healthStatus(node), 503);
                Thread.sleep(50);
            }
            agentHasServers.countDown();
            await("ready", () -> healthStatus(node) == 200);
        }
    }

    private static int healthStatus(Node node) {
        try (RawConnection connection = new RawConnection(node.address())) {
            return connection
                    .send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                    .read()
                    .status();
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static Node node(StandIn discovery, String knownList) throws Exception {
        return new Node(new Config(
                "n0",
                new InetSocketAddress("127.0.0.1", 0),
                null,
                null,
                discovery.address(),
                7,
                Site.settings(30),
                ServerList.parse(knownList),
                Duration.ofMillis(250),
                Duration.ofSeconds(30),
                Config.Limits.DEFAULT,
                new Config.OperatorSettings(null, null, null, List.of())));
    }

    private static String listJson(int version, boolean full, String... entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }
}

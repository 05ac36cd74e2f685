package copperbeam.sockets;

import static copperbeam.sockets.Site.attempts;
import static copperbeam.sockets.Site.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.program.Config;
import copperbeam.routing.Ask;
import copperbeam.routing.RequestHook;
import copperbeam.transport.ClientRoom;
import copperbeam.transport.HttpFrontServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A request that is waiting when its client leaves is never sent to a server, according to the servers' own records. What
 * it waits for becomes available only after the conductor has noticed that the client left, so that even one attempt is an
 * error.
 *
 * <p>That the conductor has noticed is established by the order of events and not by a delay, so that a busy machine gives the
 * same verdict: requests that reached the reactor and the module after the close have been answered. A turn of either takes
 * less than a tenth of a second.
 */
public class ClientGoneTest {
    private static final long KNOWN_NS = 1_000_000_000L; // limit for noticing the close; shorter than every timeout
    // turns of the reactor: HttpCore reads a close in one turn and acts on it in the next, in which another connection's
    // bytes may be handled first
    private static final int TURNS = 2;
    private static final int MANY = 300;
    private static final String MORE = Site.request("more", "ask", "5000m", "prompt_len=9", "{\"a\":\"gone\"}");
    private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final int READ = 4096; // what a turn of the reactor reads from one connection
    private static final String LARGE = "\",\"b\":\"" + "x".repeat(240 * 1024);

    /** What the request waits for when its client leaves. */
    private enum Waits {
        FOR_A_SERVER,
        FOR_A_CONNECTION,
        FOR_ITS_READ,
        FOR_A_PLUGIN,
        FOR_ITS_BODY_TO_LEAVE
    }

    private interface Going {
        void go(Line client) throws Exception;
    }

    private static final Going CLOSES = Line::close;

    private static final Object[][] GOINGS = {
        {"closes", CLOSES},
        {"resets", (Going) Line::reset},
        {"ends its sending", (Going) Line::halfClose},
        {"half a head, then closes", (Going) c -> c.send("POST /v1/ch").close()},
        {
            "half a body, then closes",
            (Going) c -> c.send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + "Content-Length: 9\r\n\r\n{")
                    .close()
        },
        {"no head, then closes", (Going) c -> c.send("nonsense\r\n\r\n").close()},
        {
            "too much, then closes",
            (Going) c -> c.send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + "Content-Length: 900000\r\n\r\n{")
                    .close()
        },
        {
            "hundreds more, then closes",
            (Going) c -> {
                StringBuilder more = new StringBuilder();
                for (int i = 0; i < MANY; i++) {
                    more.append(MORE.replace("more", "more" + i));
                }
                c.send(more.toString()).close();
            }
        },
    };

    /** A plug-in that blocks each request until the test opens it. */
    private static final class Gate implements RequestHook {
        final AtomicBoolean entered = new AtomicBoolean();
        final CountDownLatch open = new CountDownLatch(1);

        @Override
        public String name() {
            return "gate";
        }

        @Override
        public Verdict onRequest(Ask ask) throws InterruptedException {
            entered.set(true);
            open.await();
            return Verdict.PASS;
        }
    }

    @DataProvider
    public Object[][] paths() {
        List<Object[]> rows = new ArrayList<>();
        for (boolean chat : new boolean[] {false, true}) {
            for (Waits waits : Waits.values()) {
                for (boolean cancel : new boolean[] {true, false}) {
                    // bytes in the kernel's send buffer can be discarded only where the settings allow cancels
                    if (cancel || waits != Waits.FOR_ITS_BODY_TO_LEAVE) {
                        // the module doesn't know requests that are at a plug-in; instead the client stays open for reading
                        // and sees that the conductor closes the connection
                        rows.add(new Object[] {
                            chat,
                            waits,
                            cancel,
                            "closes",
                            waits == Waits.FOR_A_PLUGIN ? (Going) Line::halfClose : CLOSES
                        });
                    }
                }
            }
            for (Object[] going : GOINGS) {
                rows.add(new Object[] {chat, Waits.FOR_A_SERVER, true, going[0], going[1]});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    @Test(dataProvider = "paths")
    public void nothingBeginsOnceItsClientHasGone(boolean chat, Waits waits, boolean cancel, String how, Going going)
            throws Exception {
        Gate gate = new Gate();
        boolean listed = waits != Waits.FOR_A_SERVER;
        String settings = String.format(Site.SETTINGS, "30").replace("\"cancel\":true", "\"cancel\":" + cancel);
        try (Site site = new Site(
                0,
                0,
                30,
                null,
                waits == Waits.FOR_A_PLUGIN ? List.of(gate) : List.of(),
                Config.Limits.USUAL,
                Site.parsed(settings),
                Duration.ofSeconds(4))) {
            CountDownLatch served = new CountDownLatch(1);
            CountDownLatch met = new CountDownLatch(1);
            CountDownLatch letGo =
                    new CountDownLatch(2); // received heads: the read's, and after its cancellation the release's
            StandIn.Script reads = attempts((m, line) -> {
                met.countDown();
                served.await();
                Site.read(m, line);
            });
            boolean late = waits == Waits.FOR_A_CONNECTION;
            StandIn reader = new StandIn(waits == Waits.FOR_ITS_READ ? reads : Site::read, late ? 1 : 50);
            StandIn writer = new StandIn(Site::write);
            site.readers.add(reader);
            site.writers.add(writer);
            List<Line> others = new ArrayList<>();
            for (int i = 0; late && i < 2; i++) {
                others.add(new Line(reader.address())); // they fill the listener's accept queue
            }
            if (waits == Waits.FOR_ITS_BODY_TO_LEAVE) {
                reader.opening = line -> {
                    Line.Message head = line.head();
                    met.countDown();
                    letGo.countDown();
                    served.await();
                    reader.seen.add(line.rest(head));
                    throw new IOException("it reads again only on a new connection");
                };
            }
            if (!late) {
                reader.open();
            }
            String list = Site.entry(reader, "prefill", "active") + "," + Site.entry(writer, "decode", "active");
            if (listed) {
                site.changes.add(list);
                await("listed", () -> site.discovery.count(m -> m.path().contains("from=2&")) > 0);
            }
            Line client = chat ? site.chatClient() : site.client();
            String word = "gone" + (waits == Waits.FOR_ITS_BODY_TO_LEAVE ? LARGE : "");
            client.send(
                    chat
                            ? Site.chat("m-ask", true, ",\"a\":\"" + word + "\"")
                            : Site.request("id", "ask", "5000m", "prompt_len=40", "{\"a\":\"" + word + "\"}"));
            if (waits == Waits.FOR_ITS_READ || waits == Waits.FOR_ITS_BODY_TO_LEAVE) {
                met.await();
            } else if (waits == Waits.FOR_A_PLUGIN) {
                await("the request is at the plug-in", gate.entered::get);
            } else {
                await("the request is open", () -> open(site) > 0);
            }
            long from = System.nanoTime();
            going.go(client);
            int turns = TURNS
                    + (how.startsWith("hundreds") ? MANY * (MORE.length() + 3) / READ : 0)
                    + (how.startsWith("half a head")
                            ? 1
                            : 0); // HttpCore handles a close after half a head one turn later
            for (int i = 0; i < turns; i++) {
                // through the client's own front: each front has a reactor, and turns of another one prove nothing
                assertEquals(status(chat ? site.chatClient() : site.client(), HEALTH), 200);
            }
            if (waits == Waits.FOR_A_PLUGIN) {
                assertTrue(client.isClosed(), how + ": close not noticed");
            } else {
                // expired on arrival; it reaches the module after the notice of the close, whichever front that came from
                assertTrue(status(site.client(), Site.request("over", "ask", "1u", "", "{}")) != 200);
            }
            assertEquals(open(site), 0, waits + ", " + how + ": close not noticed");
            long left = KNOWN_NS - (System.nanoTime() - from);
            // the module learns of the close before the reader's connection is reset, which other threads do
            assertTrue(
                    left > 0 && (waits != Waits.FOR_ITS_BODY_TO_LEAVE || letGo.await(left, TimeUnit.NANOSECONDS)),
                    waits + ", " + how + ": close noticed late");
            long before = begun(reader, "gone") + begun(writer, "gone");
            served.countDown();
            gate.open.countDown();
            if (late) {
                reader.open();
            }
            if (!listed) {
                site.changes.add(list);
            }
            reader.opening = line -> {};
            // the same id is accepted again only after its first request was removed and everything before was handled
            await("the id is free", () -> asked(site) == 200);
            await("nothing is open", () -> open(site) == 0);
            assertEquals(begun(reader, "gone") + begun(writer, "gone"), before, waits + ", " + how);
            if (before > 0) {
                await("the read state is released", () -> released(reader) + released(writer) > 0);
            }
        }
    }

    /**
     * A request and the close of its connection have both arrived before the reactor reads them: the request is not passed
     * on to the handler.
     */
    @Test
    public void aRequestWithItsCloseIsNotBegun() throws Exception {
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        List<String> heard = new CopyOnWriteArrayList<>();
        ClientRoom room = new ClientRoom(100, 1 << 20);
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> {
                    heard.add(call.path());
                    if (call.path().equals("/first")) {
                        busy.countDown();
                        try {
                            go.await(); // blocks the reactor's thread
                        } catch (InterruptedException e) {
                            throw new AssertionError(e);
                        }
                    }
                    return () -> {};
                },
                Clock.systemUTC(),
                room,
                (c, status) -> {})) {
            InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            try (Line first = new Line(at);
                    Line half = new Line(at);
                    Line last = new Line(at)) {
                Line many = new Line(at);
                Line large = new Line(at);
                await("connected", () -> room.size() == 5);
                first.send("GET /first HTTP/1.1\r\nHost: x\r\n\r\n");
                busy.await();
                half.send("GET /half HTTP/1.1\r\nHost: x\r\n\r\n").halfClose();
                many.send("GET /many HTTP/1.1\r\nHost: x\r\n\r\n".repeat(200)).close();
                large.send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n" + Site.post("x".repeat(9000)))
                        .close();
                last.send("GET /last HTTP/1.1\r\nHost: x\r\n\r\n");
                go.countDown();
                await("the last request is handled", () -> heard.contains("/last"));
                await("the other connections are closed", () -> room.size() == 2);
                assertEquals(heard, List.of("/first", "/last"));
            }
        }
    }

    private static int asked(Site site) {
        try {
            return status(site.client(), Site.request("id", "ask", "5000m", "prompt_len=40", "{}"));
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    private static int status(Line fresh, String request) throws IOException {
        try (fresh) {
            return fresh.send(request).read().status();
        }
    }

    private static long open(Site site) {
        return OperatorsTest.metrics(site.node.door()).get("current");
    }

    /** Counts releases, except that of the request that was expired on arrival. */
    private static long released(StandIn at) {
        return at.count(m -> m.method().equals("DELETE") && !m.path().endsWith("/over"));
    }

    private static long begun(StandIn at, String word) {
        return at.count(m -> m.method().equals("POST") && m.whole() && m.text().contains(word));
    }
}

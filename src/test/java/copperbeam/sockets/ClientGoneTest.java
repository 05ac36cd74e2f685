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
 * What waits anywhere when its client goes is never begun, by the servers' own records. What it waits for comes only
 * after the client has gone and the conductor has seen it, so that one attempt is one too many. That it has seen it is
 * told in turns and not in time, so that a busy core gives the same verdict: what came behind the close to the reactor and
 * to the module was answered, and a turn takes neither a tenth of a second.
 */
public class ClientGoneTest {
    private static final long KNOWN_NS = 1_000_000_000L; // in any case; short of any time-out
    // of the reactor: HttpCore reads a close in one and acts on it in the next, where another connection's bytes may
    // come up first
    private static final int TURNS = 2;
    private static final int MANY = 300;
    private static final String MORE = Site.request("more", "ask", "5000m", "prompt_len=9", "{\"a\":\"gone\"}");
    private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final int READ = 4096; // of a connection a turn
    private static final String LARGE = "\",\"b\":\"" + "x".repeat(240 * 1024);

    /** Where the request waits as its client goes; {@code cancel}: the settings allow to give up attempts. */
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

    /** Holds each request with the word in it until it is let go. */
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
                    // what the system has taken can only be ended where that is allowed
                    if (cancel || waits != Waits.FOR_ITS_BODY_TO_LEAVE) {
                        // the module knows nothing of what is at a plug-in, but the conductor's own close can be seen
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
                    new CountDownLatch(2); // heads: of the read, and of what lets go of it once it is cut
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
                others.add(new Line(reader.address())); // they fill the kernel's queue
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
                await("at the plug-in", gate.entered::get);
            } else {
                await("taken", () -> open(site) > 0);
            }
            long from = System.nanoTime();
            going.go(client);
            int turns = TURNS
                    + (how.startsWith("hundreds") ? MANY * (MORE.length() + 3) / READ : 0)
                    + (how.startsWith("half a head")
                            ? 1
                            : 0); // HttpCore looks at a close behind one a turn after its read
            for (int i = 0; i < turns; i++) {
                // of the reactor that reads this client: each front has its own, and another's turns tell nothing of it
                assertEquals(status(chat ? site.chatClient() : site.client(), HEALTH), 200);
            }
            if (waits == Waits.FOR_A_PLUGIN) {
                assertTrue(client.isClosed(), how + ": not seen");
            } else {
                // over as it comes; through the module behind word of the close, from whichever front that came
                assertTrue(status(site.client(), Site.request("over", "ask", "1u", "", "{}")) != 200);
            }
            assertEquals(open(site), 0, waits + ", " + how + ": not seen");
            long left = KNOWN_NS - (System.nanoTime() - from);
            // the module knows it before its reader's connection is reset, on other threads
            assertTrue(
                    left > 0 && (waits != Waits.FOR_ITS_BODY_TO_LEAVE || letGo.await(left, TimeUnit.NANOSECONDS)),
                    waits + ", " + how + ": known late");
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
            // the same id again: it is free, and all that came before it has had its turn
            await("the id is free", () -> asked(site) == 200);
            await("nothing is open", () -> open(site) == 0);
            assertEquals(begun(reader, "gone") + begun(writer, "gone"), before, waits + ", " + how);
            if (before > 0) {
                await("let go", () -> released(reader) + released(writer) > 0);
            }
        }
    }

    /** Both are there before the reactor looks: a request is not even begun where its client has closed behind it. */
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
                            go.await(); // the reactor does nothing else meanwhile
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
                await("the last is heard", () -> heard.contains("/last"));
                await("the others have left", () -> room.size() == 2);
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

    /** All but the one that was over as it came. */
    private static long released(StandIn at) {
        return at.count(m -> m.method().equals("DELETE") && !m.path().endsWith("/over"));
    }

    private static long begun(StandIn at, String word) {
        return at.count(m -> m.method().equals("POST") && m.whole() && m.text().contains(word));
    }
}

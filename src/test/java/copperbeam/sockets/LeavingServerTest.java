package copperbeam.sockets;

import static copperbeam.sockets.Site.attempts;
import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;

import copperbeam.program.Config;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Attempts at a server that the list reports as leaving, gone or moved. */
public class LeavingServerTest {
    private static Site site(String settings) throws Exception {
        return new Site(0, 0, 30, null, List.of(), Config.Limits.USUAL, Site.parsed(settings), Duration.ofSeconds(4));
    }

    private static void tell(Site site, String entries) throws Exception {
        long version = site.discovery.seen.size();
        site.changes.add(entries);
        await("the list change was received", () -> site.changes.isEmpty() && site.discovery.seen.size() > version);
    }

    @DataProvider
    public Object[][] words() {
        return new Object[][] {{"leaving"}, {"left"}};
    }

    /** The drain becomes known while the connection for an attempt is still being established. */
    @Test(dataProvider = "words")
    public void whatHasNotBegunBeginsNoMore(String word) throws Exception {
        try (Site site = site(String.format(Site.SETTINGS, "30"));
                StandIn late = new StandIn(Site::read, 1);
                StandIn other = new StandIn(Site::read);
                StandIn writer = new StandIn(Site::write)) {
            List<Line> queue = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                queue.add(new Line(late.address()));
            }
            tell(site, Site.entry(late, "prefill", "active") + "," + Site.entry(writer, "decode", "active"));
            Line client = site.client().send(request("ask", 8000));
            await("the connect is under way", () -> site.get("/healthz").status() == 200 && connecting(late));
            tell(site, Site.entry(late, "prefill", word) + "," + Site.entry(other, "prefill", "active"));
            late.open();
            assertEquals(client.read().status(), 200);
            assertEquals(late.attempts(), 0);
            assertEquals(other.attempts(), 1);
            client.close();
            for (Line line : queue) {
                line.close();
            }
        }
    }

    /** A silent server is removed from the list while it has an attempt: its silence is still detected, and another gets it. */
    @Test
    public void aSilentServerThatHasLeftHoldsNoRequest() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (Site site = site(String.format(Site.SETTINGS, "30").replace("\"probing\":false", "\"probing\":true"));
                StandIn silent = new StandIn(attempts((m, line) -> never.await()));
                StandIn other = new StandIn(Site::read);
                StandIn writer = new StandIn(Site::write)) {
            tell(site, Site.entry(silent, "prefill", "active") + "," + Site.entry(writer, "decode", "active"));
            Line client = site.client().send(request("ask", 9000));
            await("the silent server has the attempt", () -> silent.attempts() == 1);
            tell(site, Site.entry(silent, "prefill", "left") + "," + Site.entry(other, "prefill", "active"));
            assertEquals(client.read().status(), 200);
            assertEquals(other.attempts(), 1);
            client.close();
        }
    }

    /** A list change gives a server another address while a read is in flight at the old one, which still answers. */
    @Test
    public void aServerAtANewAddressIsSentToThere() throws Exception {
        CountDownLatch moved = new CountDownLatch(1);
        try (Site site = site(String.format(Site.SETTINGS, "30"));
                StandIn first = new StandIn(attempts((m, line) -> {
                    moved.await();
                    Site.read(m, line);
                }));
                StandIn next = new StandIn(Site::read);
                StandIn writer = new StandIn(Site::write)) {
            String entry = Site.entry(first, "prefill", "active");
            tell(site, entry + "," + Site.entry(writer, "decode", "active"));
            try (Line client = site.client().send(request("ask", 9000))) {
                await("the old address has the attempt", () -> first.attempts() == 1);
                tell(site, entry.replace(first.host(), next.host()));
                moved.countDown();
                assertEquals(client.read().status(), 200);
                assertEquals(client.send(request("ask", 9000)).read().status(), 200);
            }
            assertEquals(first.attempts(), 1);
            assertEquals(next.attempts(), 1);
        }
    }

    /** Whether a connect to the server is pending: the kernel lists a socket to its port in state SYN_SENT. */
    private static boolean connecting(StandIn to) {
        try {
            String sent = String.format(
                    ".*:[0-9A-F]{4} [0-9A-F]+:%04X 02 .*", to.address().getPort());
            for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
                if (java.nio.file.Files.readAllLines(java.nio.file.Path.of(table)).stream()
                        .anyMatch(l -> l.matches(sent))) {
                    return true;
                }
            }
            return false;
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}

package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.forAttempts;
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
        return new Site(
                0, 0, 30, null, List.of(), Config.Limits.DEFAULT, Site.parseSettings(settings), Duration.ofSeconds(4));
    }

    private static void changeList(Site site, String entries) throws Exception {
        long callsBefore = site.discovery.requests.size();
        site.listChanges.add(entries);
        await(
                "the list change was received",
                () -> site.listChanges.isEmpty() && site.discovery.requests.size() > callsBefore);
    }

    @DataProvider
    public Object[][] words() {
        return new Object[][] {{"leaving"}, {"left"}};
    }

    /** The drain becomes known while the connection for an attempt is still being established. */
    @Test(dataProvider = "words")
    public void anUnsentAttemptIsNotSentToALeavingServer(String state) throws Exception {
        try (Site site = site(String.format(Site.SETTINGS_FORMAT, "30"));
                StandIn lateReader = new StandIn(Site::answerAsReader, 1);
                StandIn otherReader = new StandIn(Site::answerAsReader);
                StandIn writer = new StandIn(Site::answerAsWriter)) {
            List<RawConnection> queueFillers = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                queueFillers.add(new RawConnection(lateReader.address()));
            }
            changeList(
                    site, Site.entry(lateReader, "prefill", "active") + "," + Site.entry(writer, "decode", "active"));
            RawConnection client = site.client().send(request("ask", 8000));
            await("the connect is under way", () -> site.get("/healthz").status() == 200 && isConnecting(lateReader));
            changeList(
                    site,
                    Site.entry(lateReader, "prefill", state) + "," + Site.entry(otherReader, "prefill", "active"));
            lateReader.startAccepting();
            assertEquals(client.read().status(), 200);
            assertEquals(lateReader.attempts(), 0);
            assertEquals(otherReader.attempts(), 1);
            client.close();
            for (RawConnection connection : queueFillers) {
                connection.close();
            }
        }
    }

    /** A silent server is removed from the list while it has an attempt: its silence is still detected, and another gets it. */
    @Test
    public void aSilentServerThatHasLeftHoldsNoRequest() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (Site site = site(
                        String.format(Site.SETTINGS_FORMAT, "30").replace("\"probing\":false", "\"probing\":true"));
                StandIn silentReader = new StandIn(forAttempts((request, connection) -> never.await()));
                StandIn otherReader = new StandIn(Site::answerAsReader);
                StandIn writer = new StandIn(Site::answerAsWriter)) {
            changeList(
                    site, Site.entry(silentReader, "prefill", "active") + "," + Site.entry(writer, "decode", "active"));
            RawConnection client = site.client().send(request("ask", 9000));
            await("the silent server has the attempt", () -> silentReader.attempts() == 1);
            changeList(
                    site,
                    Site.entry(silentReader, "prefill", "left") + "," + Site.entry(otherReader, "prefill", "active"));
            assertEquals(client.read().status(), 200);
            assertEquals(otherReader.attempts(), 1);
            client.close();
        }
    }

    /** A list change gives a server another address while a read is in flight at the old one, which still answers. */
    @Test
    public void aMovedServerGetsRequestsAtItsNewAddress() throws Exception {
        CountDownLatch moved = new CountDownLatch(1);
        try (Site site = site(String.format(Site.SETTINGS_FORMAT, "30"));
                StandIn oldReader = new StandIn(forAttempts((request, connection) -> {
                    moved.await();
                    Site.answerAsReader(request, connection);
                }));
                StandIn newReader = new StandIn(Site::answerAsReader);
                StandIn writer = new StandIn(Site::answerAsWriter)) {
            String entry = Site.entry(oldReader, "prefill", "active");
            changeList(site, entry + "," + Site.entry(writer, "decode", "active"));
            try (RawConnection client = site.client().send(request("ask", 9000))) {
                await("the old address has the attempt", () -> oldReader.attempts() == 1);
                changeList(site, entry.replace(oldReader.hostAndPort(), newReader.hostAndPort()));
                moved.countDown();
                assertEquals(client.read().status(), 200);
                assertEquals(client.send(request("ask", 9000)).read().status(), 200);
            }
            assertEquals(oldReader.attempts(), 1);
            assertEquals(newReader.attempts(), 1);
        }
    }

    /** Whether a connect to the server is pending: the kernel lists a socket to its port in state SYN_SENT. */
    private static boolean isConnecting(StandIn server) {
        try {
            String synSentRow = String.format(
                    ".*:[0-9A-F]{4} [0-9A-F]+:%04X 02 .*", server.address().getPort());
            for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
                if (java.nio.file.Files.readAllLines(java.nio.file.Path.of(table)).stream()
                        .anyMatch(l -> l.matches(synSentRow))) {
                    return true;
                }
            }
            return false;
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}

package copperbeam.sockets;

import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.Api;
import copperbeam.program.Config;
import copperbeam.routing.RequestHook;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * What other installations may have: class names beyond ASCII (UTF-8, like the settings), classes with idempotency keys, short
 * connect timeouts, tenant quotas, and servers that send interim answers.
 */
public class OtherSitesTest {
    @DataProvider
    public Object[][] names() {
        return new Object[][] {
            {"n"},
            {"two words"},
            {"long-".repeat(200)},
            {"a.b_c--d~0"},
            {"größer"},
            {"ĝis-antaŭe"},
            {"問い合わせ"},
            {"приём"},
            {"e\u0301te\u0301"},
            {"\uD83D\uDC1F"}
        };
    }

    @Test(dataProvider = "names")
    public void aRequestOfTheClassIsServedAndItsNameGoesOnUnchanged(String name) throws Exception {
        Api.Settings settings =
                Site.parseSettings(String.format(Site.SETTINGS_FORMAT, 30.0).replace("\"ask\"", '"' + name + '"'));
        try (Site site = new Site(1, 1, 30, null, List.of(), Config.Limits.DEFAULT, settings, Duration.ofMillis(250));
                RawConnection client = site.client()) {
            assertEquals(client.send(request(name, 5000)).read().status(), 200);
            for (StandIn server : List.of(site.readers.get(0), site.writers.get(0))) {
                String forwarded =
                        server.requests.get(0).header("X-Priority-Class"); // decoded as ISO-8859-1, one char per byte
                assertEquals(new String(forwarded.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8), name);
            }
            assertEquals(client.send(request(name + "?", 5000)).read().status(), 400, "no such class");
        }
    }

    /** The Idempotency-Key, by which servers recognise repeats, is forwarded unchanged to the reader and the writer. */
    @Test
    public void theIdempotencyKeyIsForwardedToReaderAndWriter() throws Exception {
        Api.Settings settings = Site.parseSettings(
                String.format(Site.SETTINGS_FORMAT, 30.0).replace("\"safe\"", "\"keyed\",\"window_s\":1.6"));
        try (Site site = new Site(1, 1, 30, null, List.of(), Config.Limits.DEFAULT, settings, Duration.ofMillis(250));
                RawConnection client = site.client()) {
            client.send(request("ask", 5000).replace("X-Route-Key", "idempotency-key: 369b60ebb8\r\nX-Route-Key"));
            assertEquals(client.read().status(), 200);
            assertEquals(site.readers.get(0).requests.get(0).header("Idempotency-Key"), "369b60ebb8");
            assertEquals(site.writers.get(0).requests.get(0).header("Idempotency-Key"), "369b60ebb8");
        }
    }

    /**
     * The connect timeout must not limit the wait for an answer: otherwise a short one makes releases time out and probes look
     * unanswered.
     */
    @SuppressWarnings("try") // the first client is closed in the middle of the test
    @Test
    public void anAnswerMayTakeLongerThanTheConnectTimeout() throws Exception {
        Api.Settings settings = Site.parseSettings(
                String.format(Site.SETTINGS_FORMAT, 30.0).replace("\"probing\":false", "\"probing\":true"));
        try (Site site = new Site(2, 2, 30, null, List.of(), Config.Limits.DEFAULT, settings, Duration.ofMillis(20));
                RawConnection client = site.client();
                RawConnection other = site.client()) {
            site.readers.forEach(server -> server.script = delayedExceptAttempts(Site::answerAsReader));
            site.writers.forEach(server -> server.script = delayedExceptAttempts(
                    (request, connection) -> connection.read())); // reads until the connection ends, without an answer
            client.send(request("ask", 5000));
            Site.await("written", () -> site.countAttempts(site.writers) == 1);
            client.close();
            Site.await("released", () -> site.releases() > 0);
            Thread.sleep(1000); // a release that timed out would be retried within this time
            assertTrue(site.releases() <= 2, "releases: " + site.releases());
            site.writers.forEach(server -> server.script = delayedExceptAttempts(Site::answerAsWriter));
            assertEquals(other.send(request("send", 5000)).read().status(), 200);
        }
    }

    /** Answers all but attempts after 60 ms: more than the connect timeout, and far less than the time for an answer. */
    private static StandIn.Script delayedExceptAttempts(StandIn.Script attempts) {
        return (request, connection) -> {
            if (request.method().equals("POST")) {
                attempts.run(request, connection);
            } else {
                Thread.sleep(60);
                connection.respond(request.method().equals("DELETE") ? 204 : 200, "");
            }
        };
    }

    /** If servers are full, requests above their tenant's quota are refused first, even those of the class of highest worth. */
    @Test
    public void requestsOverATenantsQuotaAreRefusedFirst() throws Exception {
        assertTenantOverQuotaIsRefusedFirst(List.of());
    }

    static void assertTenantOverQuotaIsRefusedFirst(List<RequestHook> hooks) throws Exception {
        Api.Settings settings = Site.parseSettings(String.format(Site.SETTINGS_FORMAT, 30.0)
                .replace(
                        "\"balancers\"", "\"customers\":[{\"name\":\"größer AG\",\"quota_per_s\":0.001}],\"balancers\"")
                .replace("on_probe", "inline"));
        try (Site site = new Site(2, 2, 30, null, hooks, Config.Limits.DEFAULT, settings, Duration.ofMillis(250));
                RawConnection client = site.client()) {
            String fullReport = "X-Server-Load: inflight=1,x0=4.4\r\n";
            site.readers.forEach(server -> server.script = Site.forAttempts(
                    (request, connection) -> connection.respond(202, "{\"cached_tokens\":0}", fullReport)));
            for (String tenant : List.of("another", "größer AG", "another")) {
                int refused = 0;
                for (int i = 0; i < 12; i++) {
                    client.send(
                            request("ask", 5000).replace("X-Route-Key", "X-Tenant-Id: " + tenant + "\r\nX-Route-Key"));
                    refused += client.read().status() == 429 ? 1 : 0;
                }
                assertTrue(tenant.equals("another") ? refused == 0 : refused >= 8, refused + " of " + tenant);
            }
        }
    }

    @DataProvider
    public Object[][] interim() {
        return new Object[][] {{100, true}, {100, false}, {102, true}, {103, false}, {199, true}, {199, false}};
    }

    /** Interim 1xx answers are skipped, from readers and writers and in any number. */
    @Test(dataProvider = "interim")
    public void anInterimAnswerIsPassedOver(int status, boolean isReader) throws Exception {
        try (Site site = new Site(1, 1);
                RawConnection client = site.client()) {
            StandIn server = (isReader ? site.readers : site.writers).get(0);
            server.script = Site.forAttempts((request, connection) -> {
                connection
                        .send("HTTP/1.1 " + status + " x\r\nLink: y\r\n\r\n")
                        .send(("HTTP/1.1 " + status + " x\r\n\r\n").repeat(3));
                if (isReader) {
                    Site.answerAsReader(request, connection);
                } else {
                    Site.answerAsWriter(request, connection);
                }
            });
            for (int i = 0; i < 2; i++) { // again on the kept connection
                RawConnection.Message answer =
                        client.send(request("send", 5000)).read();
                assertEquals(answer.status(), 200);
                assertEquals(answer.text(), Site.EVENTS);
            }
            assertEquals(server.attempts(), 2);
        }
    }

    /** No answer follows a 101: the attempt has failed, and the request may have run. */
    @Test
    public void aServerThatSwitchesProtocolsHasFailed() throws Exception {
        for (String requestClass : List.of("ask", "send")) {
            try (Site site = new Site(1, 2);
                    RawConnection client = site.client()) {
                java.util.concurrent.atomic.AtomicInteger attemptCount =
                        new java.util.concurrent.atomic.AtomicInteger();
                site.writers.forEach(writer -> writer.script = Site.forAttempts((request, connection) -> {
                    if (attemptCount.getAndIncrement() == 0) {
                        connection
                                .send("HTTP/1.1 101 x\r\nUpgrade: y\r\nConnection: Upgrade\r\n\r\n")
                                .read();
                    } else {
                        Site.answerAsWriter(request, connection);
                    }
                }));
                int status = client.send(request(requestClass, 4000)).read().status();
                assertEquals(status / 100, requestClass.equals("ask") ? 2 : 5, "" + status);
                assertEquals(attemptCount.get(), requestClass.equals("ask") ? 2 : 1);
            }
        }
    }
}

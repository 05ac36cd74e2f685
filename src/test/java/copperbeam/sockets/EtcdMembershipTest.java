package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.program.Config;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.Test;

/** The server list from etcd, by its JSON gateway, for which the test has a stand-in. */
public class EtcdMembershipTest {
    private static final String PREFIX = "/s/";

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String keyValueJson(StandIn server, String kind, String state) {
        String entry = Site.entry(server, kind, state);
        return "{\"key\":\"" + base64(PREFIX + "s" + server.address().getPort()) + "\",\"value\":\"" + base64(entry)
                + "\"}";
    }

    private static String watchLine(int revision, String events) {
        return "{\"result\":{\"header\":{\"revision\":\"" + revision + "\"},\"events\":[" + events + "]}}\n";
    }

    private static void awaitStatus(Site site, int status) throws Exception {
        await("serves with " + status, () -> {
            try (RawConnection client = site.client()) {
                return client.send(request("ask", 300)).read().status() == status;
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
    }

    @Test
    public void listsWatchesReconnectsAndListsAnewAfterACompaction() throws Exception {
        LinkedBlockingQueue<String> watchLines = new LinkedBlockingQueue<>();
        List<String> rangeAnswers = new java.util.concurrent.CopyOnWriteArrayList<>();
        try (StandIn etcd = new StandIn((request, connection) -> {
            if (request.path().equals("/v3/kv/range")) {
                connection.respond(200, rangeAnswers.remove(0));
                return;
            }
            connection.beginStream().sendChunk("{\"result\":{\"header\":{\"revision\":\"7\"},\"created\":true}}\n");
            for (String next = watchLines.take(); !next.isEmpty(); next = watchLines.take()) {
                // in two pieces, as JSON lines need not coincide with chunks
                connection.sendChunk(next.substring(0, 9)).sendChunk(next.substring(9));
            }
            connection.reset();
        })) {
            rangeAnswers.add("{\"header\":{\"revision\":\"7\"}}");
            try (Site site = new Site(1, 1, 30, new Config.Etcd(etcd.address(), PREFIX), List.of())) {
                await("watch", () -> countWatches(etcd, 8) == 1);
                watchLines.add(watchLine(
                        8,
                        "{\"kv\":" + keyValueJson(site.readers.get(0), "prefill", "active") + "},{\"kv\":"
                                + keyValueJson(site.writers.get(0), "decode", "active") + "}"));
                awaitStatus(site, 200);
                watchLines.add(""); // makes the stand-in reset the watch
                await("watches again from the revision after the last", () -> countWatches(etcd, 9) == 1);

                watchLines.add(watchLine(
                        9,
                        "{\"type\":\"DELETE\",\"kv\":{\"key\":\""
                                + base64(PREFIX + "s"
                                        + site.writers.get(0).address().getPort()) + "\"}}"));
                await("deleted", () -> {
                    long attemptsBefore = site.countAttempts(site.writers);
                    try (RawConnection client = site.client()) {
                        return client.send(request("ask", 300)).read().status() != 200
                                && site.countAttempts(site.writers) == attemptsBefore;
                    } catch (Exception e) {
                        throw new AssertionError(e);
                    }
                });

                rangeAnswers.add("{\"header\":{\"revision\":\"40\"},\"kvs\":["
                        + keyValueJson(site.readers.get(0), "prefill", "active") + ","
                        + keyValueJson(site.writers.get(0), "decode", "active") + "]}");
                watchLines.add("{\"result\":{\"canceled\":true,\"compact_revision\":\"30\"}}\n");
                await("lists again, then watches", () -> countWatches(etcd, 41) == 1);
                awaitStatus(site, 200);
                assertTrue(rangeAnswers.isEmpty());
            }
        }
    }

    /** Guards against a watch that is resumed after the store's revision, and so skips events that a break has cut off. */
    @Test
    public void aWatchThatBreaksBetweenTwoEventsLosesNone() throws Exception {
        LinkedBlockingQueue<String> firstWatch = new LinkedBlockingQueue<>();
        LinkedBlockingQueue<String> rangeAnswers = new LinkedBlockingQueue<>();
        try (StandIn etcd = new StandIn((request, connection) -> {
            if (request.path().equals("/v3/kv/range")) {
                connection.respond(200, rangeAnswers.take()); // the first one only; others find no answer
                return;
            }
            connection.beginStream().sendChunk("{\"result\":{\"header\":{\"revision\":\"7\"},\"created\":true}}\n");
            if (request.text().contains("\"start_revision\":\"8\"")) {
                connection.sendChunk(firstWatch.take());
                Thread.sleep(100);
                connection.reset();
            } else if (request.text().contains("\"start_revision\":\"9\"")) {
                connection.sendChunk(watchLine(9, deletion("s2", 9)));
            }
            Thread.sleep(10_000);
        })) {
            try (Site site = new Site(1, 1, 30, new Config.Etcd(etcd.address(), PREFIX), List.of())) {
                String reader = keyValueJson(site.readers.get(0), "prefill", "active");
                String writer = keyValueJson(site.writers.get(0), "decode", "active");
                rangeAnswers.add("{\"header\":{\"revision\":\"7\"},\"kvs\":[" + reader + "," + writer + "]}");
                awaitStatus(site, 200);
                firstWatch.add(watchLine(9, deletion("s1", 8))); // the store has revision 9 already
                await("watches from the revision after the event's", () -> countWatches(etcd, 9) > 0);
                assertEquals(countWatches(etcd, 10), 0);
            }
        }
    }

    private static String deletion(String server, int revision) {
        return "{\"type\":\"DELETE\",\"kv\":{\"key\":\"" + base64(PREFIX + server) + "\",\"mod_revision\":\"" + revision
                + "\"}}";
    }

    private static long countWatches(StandIn etcd, int startRevision) {
        return etcd.count(request -> request.path().equals("/v3/watch")
                && request.text().contains("\"start_revision\":\"" + startRevision + "\"")
                && request.text().contains(base64(PREFIX)));
    }
}

package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
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

    private static String kv(StandIn server, String kind, String state) {
        String entry = Site.entry(server, kind, state);
        return "{\"key\":\"" + base64(PREFIX + "s" + server.address().getPort()) + "\",\"value\":\"" + base64(entry)
                + "\"}";
    }

    private static String event(int revision, String event) {
        return "{\"result\":{\"header\":{\"revision\":\"" + revision + "\"},\"events\":[" + event + "]}}\n";
    }

    private static void serves(Site site, int status) throws Exception {
        await("serves with " + status, () -> {
            try (Line client = site.client()) {
                return client.send(request("ask", 300)).read().status() == status;
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
    }

    @Test
    public void listsWatchesReconnectsAndListsAnewAfterACompaction() throws Exception {
        LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();
        List<String> ranges = new java.util.concurrent.CopyOnWriteArrayList<>();
        try (StandIn etcd = new StandIn((m, line) -> {
            if (m.path().equals("/v3/kv/range")) {
                line.answer(200, ranges.remove(0));
                return;
            }
            line.beginStream().chunk("{\"result\":{\"header\":{\"revision\":\"7\"},\"created\":true}}\n");
            for (String next = told.take(); !next.isEmpty(); next = told.take()) {
                // in two pieces, as JSON lines need not coincide with chunks
                line.chunk(next.substring(0, 9)).chunk(next.substring(9));
            }
            line.reset();
        })) {
            ranges.add("{\"header\":{\"revision\":\"7\"}}");
            try (Site site = new Site(1, 1, 30, new Config.Etcd(etcd.address(), PREFIX), List.of())) {
                await("watch", () -> watches(etcd, 8) == 1);
                told.add(event(
                        8,
                        "{\"kv\":" + kv(site.readers.get(0), "prefill", "active") + "},{\"kv\":"
                                + kv(site.writers.get(0), "decode", "active") + "}"));
                serves(site, 200);
                told.add(""); // makes the stand-in reset the watch
                await("watches again from the revision after the last", () -> watches(etcd, 9) == 1);

                told.add(event(
                        9,
                        "{\"type\":\"DELETE\",\"kv\":{\"key\":\""
                                + base64(PREFIX + "s"
                                        + site.writers.get(0).address().getPort()) + "\"}}"));
                await("deleted", () -> {
                    long at = site.attempts(site.writers);
                    try (Line client = site.client()) {
                        return client.send(request("ask", 300)).read().status() != 200
                                && site.attempts(site.writers) == at;
                    } catch (Exception e) {
                        throw new AssertionError(e);
                    }
                });

                ranges.add("{\"header\":{\"revision\":\"40\"},\"kvs\":[" + kv(site.readers.get(0), "prefill", "active")
                        + "," + kv(site.writers.get(0), "decode", "active") + "]}");
                told.add("{\"result\":{\"canceled\":true,\"compact_revision\":\"30\"}}\n");
                await("lists again, then watches", () -> watches(etcd, 41) == 1);
                serves(site, 200);
                assertTrue(ranges.isEmpty());
            }
        }
    }

    private static long watches(StandIn etcd, int from) {
        return etcd.count(m -> m.path().equals("/v3/watch")
                && m.text().contains("\"start_revision\":\"" + from + "\"")
                && m.text().contains(base64(PREFIX)));
    }
}

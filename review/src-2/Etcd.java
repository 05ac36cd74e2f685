import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** etcd's JSON gateway, as far as a list of servers needs it: a range, and watches from a revision. */
final class Etcd {
    static final String PREFIX = "/copperbeam/servers/";

    private record Event(long revision, String server, String value) {}

    private final Rig rig;
    final Rig.Listener listener;
    private final Map<String, String> values = new LinkedHashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 1;
    volatile int delayMs; // from a call until the store begins to answer it

    Etcd(Rig rig) throws IOException {
        this.rig = rig;
        listener = rig.new Listener() {
            @Override
            void serve(Socket connection, InputStream in) throws Exception {
                answer(connection, in);
            }
        };
        listener.begin();
    }

    synchronized void put(Rig.ModelServer server, String state) {
        values.put(server.id, server.entry(state));
        events.add(new Event(++revision, server.id, server.entry(state)));
        rig.note("etcd: " + server.id + " is " + state + ", revision " + revision);
        notifyAll();
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String pair(String server, String value) {
        return "{\"key\":\"" + base64(PREFIX + server) + "\",\"value\":\"" + base64(value) + "\"}";
    }

    private synchronized String range() {
        List<String> pairs = new ArrayList<>();
        values.forEach((server, value) -> pairs.add(pair(server, value)));
        return "{\"header\":{\"revision\":\"" + revision + "\"},\"kvs\":[" + String.join(",", pairs) + "],\"count\":\""
                + pairs.size() + "\"}";
    }

    private void answer(Socket connection, InputStream in) throws Exception {
        while (true) {
            Rig.Message call = Rig.Message.read(in);
            int delay = delayMs;
            rig.note("etcd: call " + call.path() + (delay == 0 ? "" : ", answered after " + delay + " ms"));
            Rig.sleep(delay);
            if (call.path().equals("/v3/kv/range")) {
                String body = range();
                Rig.send(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body);
            } else {
                Matcher start = Pattern.compile("\"start_revision\":\"(\\d+)\"").matcher(call.body());
                watch(connection, start.find() ? Long.parseLong(start.group(1)) : Long.MAX_VALUE);
                return;
            }
        }
    }

    private void watch(Socket connection, long fromRevision) throws Exception {
        Rig.send(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        line(connection, "{\"result\":{\"header\":{\"revision\":\"" + revision + "\"},\"created\":true}}");
        for (long next = fromRevision; ; ) {
            List<String> lines = new ArrayList<>();
            synchronized (this) {
                while (revision < next) {
                    wait();
                }
                for (Event event : events) {
                    if (event.revision() >= next) {
                        lines.add("{\"result\":{\"header\":{\"revision\":\"" + event.revision()
                                + "\"},\"events\":[{\"kv\":" + pair(event.server(), event.value()) + "}]}}");
                    }
                }
                next = revision + 1;
            }
            for (String text : lines) {
                line(connection, text);
            }
        }
    }

    private static void line(Socket connection, String text) throws IOException {
        Rig.send(connection, Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
    }
}

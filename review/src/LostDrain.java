import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/** Case: etcd can't be reached for some seconds, and the first watch after that breaks while it catches up. */
final class LostDrain {
    private static final String PREFIX = "/copperbeam/servers/";
    private static final int OUTAGE_MS = 3000;
    private static final int TOLD_AFTER_MS = 6000; // what could be learnt counts as told 6 s later at the latest
    private static final int DRAIN_GRACE_MS = 1000 + 50;

    /** One change of a key. {@code revision}: of the store after the change. */
    private record Event(long revision, String key, String value) {}

    /** etcd's JSON gateway: range, and watch from a revision. */
    private static final class Etcd extends Stand.Listener {
        private static final Object LOCK = new Object();
        private static final List<Event> HISTORY = new ArrayList<>();
        private static volatile boolean reachable = true;
        private static volatile boolean breakNextWatch;
        private static final AtomicLong DRAIN_TOLD = new AtomicLong(-1); // when the drain was written to the conductor
        private static Stand.Record log;

        Etcd(Stand.Record record) throws IOException {
            super(Etcd::serve);
            log = record;
        }

        long put(String id, String entry) {
            synchronized (LOCK) {
                HISTORY.add(new Event(HISTORY.size() + 1, PREFIX + id, entry));
                LOCK.notifyAll();
                log.note("etcd: revision " + HISTORY.size() + ": " + id + " " + entry.replaceAll(".*\"state\":", ""));
                return HISTORY.size();
            }
        }

        void cut() {
            reachable = false;
            closeConnections(true);
            log.note("etcd can't be reached");
        }

        void restore() {
            breakNextWatch = true;
            reachable = true;
            log.note("etcd can be reached again");
        }

        private static void serve(Socket socket) throws Exception {
            if (!reachable) {
                socket.setSoLinger(true, 0);
                return;
            }
            var in = new BufferedInputStream(socket.getInputStream());
            for (Stand.Message m = Stand.request(in); m != null; m = Stand.request(in)) {
                String body = new String(m.body(), StandardCharsets.UTF_8);
                if (m.first().startsWith("POST /v3/kv/range ")) {
                    Stand.answer(socket.getOutputStream(), 200, "Content-Type: application/json\r\n", range());
                } else if (m.first().startsWith("POST /v3/watch ")) {
                    watch(socket, Long.parseLong(body.replaceAll("(?s).*\"start_revision\":\"?(\\d+).*", "$1")));
                    return;
                }
            }
        }

        private static String range() {
            synchronized (LOCK) {
                Map<String, Event> latest = new TreeMap<>();
                HISTORY.forEach(e -> latest.put(e.key(), e));
                List<String> kvs = new ArrayList<>();
                latest.values().forEach(e -> kvs.add(kv(e)));
                log.note("etcd: the whole list is read, revision " + HISTORY.size());
                return "{\"header\":" + header() + ",\"kvs\":[" + String.join(",", kvs) + "],\"count\":\"" + kvs.size()
                        + "\"}";
            }
        }

        /**
         * As etcd's API tells it: each response carries the events of one or more whole revisions, in order, and in its
         * header the revision of the store at that moment.
         */
        private static void watch(Socket socket, long from) throws Exception {
            log.note("etcd: a watch from revision " + from);
            OutputStream out = socket.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
            synchronized (LOCK) {
                Stand.chunk(out, "{\"result\":{\"header\":" + header() + ",\"created\":true}}\n");
            }
            long next = from;
            while (true) {
                Event event;
                String line;
                synchronized (LOCK) {
                    while (HISTORY.size() < next) {
                        LOCK.wait();
                    }
                    event = HISTORY.get((int) next - 1);
                    line = "{\"result\":{\"header\":" + header() + ",\"events\":[{\"kv\":" + kv(event) + "}]}}\n";
                }
                Stand.chunk(out, line);
                log.note("etcd: revision " + event.revision() + " is written to the watch, header "
                        + line.replaceAll(".*?\"revision\":\"(\\d+).*\n", "$1"));
                if (event.value().contains("\"leaving\"")) {
                    DRAIN_TOLD.compareAndSet(-1, log.now());
                }
                next++;
                if (breakNextWatch) {
                    breakNextWatch = false;
                    Thread.sleep(100);
                    socket.setSoLinger(true, 0);
                    log.note("etcd: the connection of the watch breaks");
                    return;
                }
            }
        }

        private static String header() {
            return "{\"cluster_id\":\"1\",\"member_id\":\"2\",\"revision\":\"" + HISTORY.size() + "\",\"raft_term\":\"3\"}";
        }

        private static String kv(Event e) {
            return "{\"key\":\"" + base64(e.key()) + "\",\"mod_revision\":\"" + e.revision() + "\",\"value\":\""
                    + base64(e.value()) + "\"}";
        }

        private static String base64(String text) {
            return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    public static void main(String[] args) throws Exception {
        Stand.main(args, (root, record, parts) -> {
            Etcd etcd = new Etcd(record);
            parts.add(etcd);
            Stand.Work work = new Stand.Work();
            work.events = 5;
            work.gapMs = 60;
            List<Stand.Server> servers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                Stand.Server server = new Stand.Server("s-" + i, i < 3, record, work);
                parts.add(server);
                servers.add(server);
                etcd.put(server.id, server.entry("active"));
            }
            Stand.Server draining = servers.get(5);
            Stand.Server other = servers.get(4);
            Stand.Conductor conductor = new Stand.Conductor(root, record);
            parts.add(conductor);
            conductor.start(
                    Stand.settings(2, true),
                    null,
                    "{\"etcd\":{\"endpoint\":\"" + etcd.address() + "\",\"prefix\":\"" + PREFIX + "\"}}");
            if (!conductor.awaitReady()) {
                return 2;
            }
            long reachableAt = 0;
            List<Thread> clients = new ArrayList<>();
            for (int n = 0; n < 300; n++) {
                int number = n;
                clients.add(Stand.daemon(() -> ask(conductor.port, number)));
                if (n == 40 && Stand.TROUBLE) {
                    etcd.cut();
                }
                if (n == 50) {
                    etcd.put(other.id, other.entry("active").replace("\"weight\":1.0", "\"weight\":0.9"));
                }
                if (n == 60) {
                    etcd.put(draining.id, draining.entry("leaving"));
                    reachableAt = record.now();
                }
                if (n == 40 + OUTAGE_MS / 100 && Stand.TROUBLE) {
                    etcd.restore();
                    reachableAt = record.now();
                }
                Thread.sleep(100);
            }
            for (Thread client : clients) {
                client.join(10_000);
            }
            long told = reachableAt + TOLD_AFTER_MS;
            told = Etcd.DRAIN_TOLD.get() < 0 ? told : Math.min(told, Etcd.DRAIN_TOLD.get());
            long bound = told + DRAIN_GRACE_MS;
            List<Long> late = draining.attemptsAt.stream().filter(at -> at > bound).toList();
            List<Long> before = draining.attemptsAt.stream().filter(at -> at <= bound).toList();
            record.note(draining.id + " counts as told to drain at " + told + " ms; attempts there: " + before.size()
                    + " up to " + bound + " ms, " + late.size() + " later"
                    + (late.isEmpty() ? "" : ", from " + late.get(0) + " to " + late.get(late.size() - 1) + " ms"));
            return before.isEmpty() ? 2 : late.isEmpty() ? 0 : 1;
        });
    }

    private static void ask(int port, int number) throws Exception {
        String id = String.format("%016x", 0x9b1f03aa00000000L + number);
        try (Stand.Client client = new Stand.Client(port)) {
            Stand.Message head = client.call(Stand.request(id, "ask", 6000, "", "word ".repeat(80)), 10_000);
            if (head.status() == 200) {
                client.chunks();
            }
        }
    }
}

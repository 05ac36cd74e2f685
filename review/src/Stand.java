import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** Stand-ins that the cases share: the record, servers, discovery, a conductor's process and a client's connection. */
final class Stand {
    private Stand() {}

    /** Whether the disruption takes place; TROUBLE=0 leaves it out. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    // ---- the record -----------------------------------------------------------------------------

    /** What was sent, answered and run, with the milliseconds since the start. */
    static final class Record implements AutoCloseable {
        private final PrintWriter out;
        private final long start = System.nanoTime();

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
            note("record of a run with TROUBLE=" + (TROUBLE ? "1" : "0"));
        }

        long now() {
            return (System.nanoTime() - start) / 1_000_000;
        }

        synchronized void note(String text) {
            out.printf("%7d %s%n", now(), text);
            out.flush();
        }

        @Override
        public synchronized void close() {
            out.close();
        }
    }

    // ---- HTTP -----------------------------------------------------------------------------------

    /** A head and a body; for an answer, {@code first} is its status line. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** Reads one line without its line break; null at the end of the input. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        return null;
    }

    /** Reads a head; null at the end of the input. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            headers.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).strip());
        }
        return new Message(first, headers, new byte[0]);
    }

    /** Reads a request with a Content-Length or without a body. */
    static Message request(InputStream in) throws IOException {
        Message head = head(in);
        if (head == null) {
            return null;
        }
        int length = head.header("Content-Length").isEmpty() ? 0 : Integer.parseInt(head.header("Content-Length"));
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new Message(head.first(), head.headers(), body);
    }

    static void answer(OutputStream out, int status, String extra, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 " + status + " X\r\n" + extra
                        + (status == 204 ? "" : "Content-Length: " + bytes.length + "\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        all.write(bytes);
        all.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.write(all.toByteArray());
        out.flush();
    }

    interface Handler {
        void handle(Socket socket) throws Exception;
    }

    /** Accepts connections on a free port of 127.0.0.1 and handles each on a thread of its own. */
    static class Listener implements AutoCloseable {
        final ServerSocket listener;
        private final List<Socket> open = new ArrayList<>();

        Listener(Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
            daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (open) {
                        open.add(socket);
                    }
                    daemon(() -> {
                        try (socket) {
                            handler.handle(socket);
                        } finally {
                            synchronized (open) {
                                open.remove(socket);
                            }
                        }
                    });
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** Ends all open connections; with a reset, if {@code reset}. */
        void closeConnections(boolean reset) {
            List<Socket> all;
            synchronized (open) {
                all = List.copyOf(open);
            }
            for (Socket socket : all) {
                try {
                    if (reset) {
                        socket.setSoLinger(true, 0);
                    }
                    socket.close();
                } catch (IOException e) {
                    // it has ended
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            closeConnections(false);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // a connection or a listener has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket()) {
            probe.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            return probe.getLocalPort();
        }
    }

    // ---- servers --------------------------------------------------------------------------------

    /** The read states that wait at readers, by request. */
    static final Map<String, String> STATES = new ConcurrentHashMap<>();

    /** How servers work; the defaults lie within the ranges of the brief (4.1, 4.2, 2.1). */
    static final class Work {
        int tokensPerS = 18_000; // what a reader reads
        int slots = 80; // answers that a writer writes at once
        int memoryTokens = 200_000; // for the prompts of the answers that a writer writes
        int queue = 45; // requests that may wait at a server beside those
        int events = 40; // of an answer, one for each four tokens
        int gapMs = 240; // between two events: four tokens of 60 ms
    }

    /** A sound server by the protocol's page: a reader (prefill) or a writer (decode). */
    static final class Server extends Listener {
        final String id;
        final boolean reader;
        final List<Long> attemptsAt; // when the attempts' first bytes came, by the record

        Server(String id, boolean reader, Record record, Work work) throws IOException {
            this(id, reader, new Serving(id, reader, record, work));
        }

        private Server(String id, boolean reader, Serving serving) throws IOException {
            super(serving);
            this.id = id;
            this.reader = reader;
            attemptsAt = serving.attemptsAt;
        }

        private static final class Serving implements Handler {
            private final String id;
            private final boolean reader;
            private final Record record;
            private final Work work;
            private final Semaphore places;
            private final Semaphore slots;
            private final Semaphore memory;
            final List<Long> attemptsAt = new CopyOnWriteArrayList<>();
            private final Map<String, Boolean> kept = new ConcurrentHashMap<>(); // shared openings read here before

            Serving(String id, boolean reader, Record record, Work work) {
                this.id = id;
                this.reader = reader;
                this.record = record;
                this.work = work;
                int atOnce = reader ? 1 : work.slots; // one prompt is read after another
                slots = new Semaphore(atOnce, true);
                memory = new Semaphore(work.memoryTokens);
                places = new Semaphore(atOnce + work.queue);
            }

            @Override
            public void handle(Socket socket) throws Exception {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    in.mark(1);
                    in.read(); // waits for the first byte of a request
                    in.reset();
                    final long begunAt = record.now();
                    Message m = request(in);
                    if (m == null) {
                        return;
                    }
                    String[] words = m.first().split(" ");
                    if (words[0].equals("DELETE")) {
                        STATES.remove(words[1].substring("/state/".length()));
                        answer(out, 204, "", "");
                        continue;
                    }
                    if (words[0].equals("GET")) {
                        String report = "inflight=" + (slots.getQueueLength() + 1) + ",x0=0.05";
                        answer(out, 200, "X-Server-Load: " + report + "\r\n", report);
                        continue;
                    }
                    attemptsAt.add(begunAt);
                    if (!places.tryAcquire()) {
                        answer(out, 503, "X-Not-Processed: 1\r\n", "");
                    } else {
                        try {
                            slots.acquire();
                            try {
                                if (isGone(socket, in)) {
                                    return; // given up while it waited: never run
                                }
                                attempt(m, out);
                            } finally {
                                slots.release();
                            }
                        } finally {
                            places.release();
                        }
                    }
                }
            }

            private static int attribute(Message m, String name) {
                int at = m.header("X-Attrs").indexOf(name + "=");
                return at < 0 ? 0 : Integer.parseInt(m.header("X-Attrs").substring(at + name.length() + 1).split(",")[0]);
            }

            private static boolean isGone(Socket socket, InputStream in) {
                try {
                    socket.setSoTimeout(1);
                    in.mark(1);
                    boolean ended = in.read() < 0;
                    in.reset();
                    return ended;
                } catch (SocketTimeoutException e) {
                    return false;
                } catch (IOException e) {
                    return true;
                } finally {
                    try {
                        socket.setSoTimeout(0);
                    } catch (IOException e) {
                        // it has ended
                    }
                }
            }

            private void attempt(Message m, OutputStream out) throws Exception {
                String request = m.header("X-Request-ID");
                if (reader) {
                    record.note(id + " reads " + request);
                    int prefix = attribute(m, "prefix_len");
                    boolean cached = kept.put(m.header("X-Attrs").split("prompt_len")[0], true) != null;
                    int tokens = Math.max(0, m.body().length / 4 - (cached ? prefix : 0));
                    Thread.sleep(10 + tokens * 1000L / work.tokensPerS);
                    STATES.put(request, id);
                    answer(out, 202, "", "{\"cached_tokens\":" + (cached ? prefix : 0) + "}");
                } else if (STATES.remove(request) == null) {
                    record.note(id + " has no state for " + request);
                    answer(out, 410, "X-Not-Processed: 1\r\n", "");
                } else {
                    int tokens = m.body().length / 4;
                    memory.acquire(tokens); // the request waits until there is room
                    try {
                        record.note(id + " runs " + request);
                        stream(out, request);
                    } finally {
                        memory.release(tokens);
                    }
                }
            }

            private void stream(OutputStream out, String request) throws Exception {
                try {
                    out.write("HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.ISO_8859_1));
                    for (int i = 0; i < work.events; i++) {
                        chunk(out, event(request, i, i == work.events - 1));
                        Thread.sleep(work.gapMs);
                    }
                    chunk(
                            out,
                            "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":"
                                    + work.events * 4 + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n");
                    chunk(out, "data: [DONE]\n\n");
                    out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    out.flush();
                    record.note(id + " has written the whole answer to " + request);
                } catch (IOException e) {
                    record.note(id + " can't write on to " + request + ": the connection has ended");
                    throw e;
                }
            }
        }

        static String event(String request, int number, boolean last) {
            return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + request + "-" + number
                    + " \"},\"finish_reason\":" + (last ? "\"stop\"" : "null") + "}]}\n\n";
        }

        String entry(String state) {
            return "{\"id\":\"" + id + "\",\"addr\":\"" + address() + "\",\"zone\":\"sala-a\",\"kind\":\""
                    + (reader ? "prefill" : "decode") + "\",\"cell\":0,\"state\":\"" + state
                    + "\",\"weight\":1.0,\"started_ms\":0}";
        }
    }

    /** Discovery by the protocol's page: the whole list, and watches for its changes. */
    static final class Discovery extends Listener {
        private static final Object LOCK = new Object();
        private static long version = 1;
        private static final TreeMap<Long, String> CHANGES = new TreeMap<>();
        private static final Map<String, String> LIST = new TreeMap<>();
        private static int outages; // how many have begun
        private static boolean silent;
        private static long lastWatchAt; // when the last watch was opened, System.nanoTime

        Discovery() throws IOException {
            super(Discovery::serve);
        }

        void put(String id, String entry) {
            synchronized (LOCK) {
                CHANGES.put(++version, entry);
                LIST.put(id, entry);
                LOCK.notifyAll();
            }
        }

        /** The agent is silent: connections stay open, and calls get no answer, also not later. */
        void beginOutage() {
            synchronized (LOCK) {
                silent = true;
                outages++;
            }
        }

        /** The agent answers new calls; a watch that fell silent is broken. */
        void endOutage() {
            synchronized (LOCK) {
                silent = false;
            }
        }

        /** Waits until a watch has just been opened. */
        void awaitWatch() throws InterruptedException {
            synchronized (LOCK) {
                long before = lastWatchAt;
                while (lastWatchAt == before) {
                    LOCK.wait();
                }
            }
        }

        private static void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Message m = request(in); m != null; m = request(in)) {
                String target = m.first().split(" ")[1];
                long from = number(target, "from=");
                long until = System.nanoTime() + Math.max(0, number(target, "hold_ms=")) * 1_000_000;
                String body;
                synchronized (LOCK) {
                    int outagesBefore = outages;
                    if (from >= version && !silent) {
                        lastWatchAt = System.nanoTime();
                        LOCK.notifyAll();
                    }
                    while (from >= version && !silent && outages == outagesBefore && System.nanoTime() < until) {
                        TimeUnit.NANOSECONDS.timedWait(LOCK, Math.max(1_000_000, until - System.nanoTime()));
                    }
                    if (silent || outages != outagesBefore) {
                        body = null;
                    } else {
                        body = "{\"version\":" + version + ",\"full\":" + (from < 0) + ",\"servers\":["
                                + String.join(",", from < 0 ? LIST.values() : CHANGES.tailMap(from, false).values())
                                + "]}";
                    }
                }
                if (body == null) {
                    in.readAllBytes(); // silent until the conductor closes the connection
                    return;
                }
                answer(socket.getOutputStream(), 200, "Content-Type: application/json\r\n", body);
            }
        }

        private static long number(String target, String key) {
            int at = target.indexOf(key);
            return at < 0 ? -1 : Long.parseLong(target.substring(at + key.length()).split("&")[0]);
        }
    }

    // ---- a conductor ----------------------------------------------------------------------------

    /** Settings of a small deployment with the figures of palermo-main; {@code extra}: more keys of "extra". */
    static String settings(int conductors, boolean resume) {
        return "{\"balancers\":" + conductors + ",\"self_index\":0,\"discovery\":\"automatic\",\"family\":\"twostage\","
                + "\"kinds\":[\"prefill\",\"decode\"],\"zone\":\"sala-a\",\"zones\":[\"sala-a\",\"sala-b\"],"
                + "\"clients\":{\"marks_retry\":true},\"counted_by\":\"work\",\"customers\":[],\"layer\":0,"
                + "\"stages\":[\"model-fleet\"],\"tick_s\":0.002,\"weight_source\":\"off\","
                + "\"extra\":{\"ahead\":false,\"aim_us_per_1000_prompt_tokens\":[40000.0,40000.0],"
                + "\"cross_cell_price\":0.03,\"local_read\":false,\"memory_tokens\":[225677,142841],"
                + "\"release_s\":1.0,\"resume\":" + resume + ",\"role_by_kind\":[\"read\",\"write\"],"
                + "\"token_aim_s\":[0.06,0.08]},"
                + "\"limits\":{\"cancel\":true,\"conn_idle_s\":30.0,\"connect_timeout_s\":0.25,"
                + "\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":500000,\"max_retry_after_s\":2.0,\"multiplex\":100,"
                + "\"open_cap\":20000,\"peer_messages\":false,\"probing\":true,\"retry_after\":true,"
                + "\"second_copies\":false,\"send_cap\":4},"
                + "\"penalties\":{\"probe\":0.0024,\"waste\":0.08},"
                + "\"report\":{\"fields\":[\"active\",\"x0\"],\"via\":\"on_probe\"},"
                + "\"rules\":{\"answer_slack_s\":0.008,\"ask_within_s\":10.0,\"cold_from\":0.28,"
                + "\"drain_grace_s\":1.0,\"fall_multiple\":3.0,\"fall_s\":2.0,\"warm_within_s\":13.0},"
                + "\"services\":[{\"give_up_s\":6.0,\"group\":\"all\",\"late_share\":0.1,\"name\":\"ask\","
                + "\"promise_s\":1.5,\"semantics\":\"safe\",\"stream\":true,\"window_s\":5.0,\"worth\":3.0},"
                + "{\"give_up_s\":15.0,\"group\":\"all\",\"late_share\":0.2,\"name\":\"send\",\"promise_s\":3.0,"
                + "\"semantics\":\"unsafe\",\"stream\":true,\"window_s\":5.0,\"worth\":2.0}]}";
    }

    /** A conductor's process, begun with the command {@code run} of the deploy file. */
    static final class Conductor implements AutoCloseable {
        final int port = freePort();
        private final Path root;
        private final Path folder = Files.createTempDirectory("review-");
        private final Record record;
        private Process process;

        Conductor(Path root, Record record) throws IOException {
            this.root = root;
            this.record = record;
        }

        /** {@code operator}: the operator's file, or null; {@code discovery}: null if the operator's file replaces it. */
        void start(String settings, String discovery, String operator) throws IOException {
            Files.createDirectories(folder.resolve("tmp"));
            Files.writeString(
                    folder.resolve("config.json"),
                    "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\","
                            + (discovery == null ? "" : "\"discovery\":\"" + discovery + "\",")
                            + "\"seed\":\"8c1f30d27a5be964\","
                            + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"settings\":" + settings
                            + "}");
            String command = runCommand();
            if (operator != null) {
                Files.writeString(folder.resolve("operator.json"), operator);
                command += " --operator " + folder.resolve("operator.json");
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command)
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(folder.resolve("log").toFile());
            builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
            builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
            process = builder.start();
            Process started = process;
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                started.destroyForcibly();
                deleteFolder();
            })); // also if the case is ended early
            record.note("conductor begun, process " + process.pid());
        }

        private String runCommand() throws IOException {
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    return line.substring("run = \"".length(), line.lastIndexOf('"'));
                }
            }
            throw new IOException("deploy/balancer.toml has no command 'run'");
        }

        /** Waits until the conductor says that it is ready; false if it doesn't within 30 s. */
        boolean awaitReady() throws InterruptedException {
            for (int i = 0; i < 300 && process.isAlive(); i++) {
                try (Client client = new Client(port)) {
                    if (client.call("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", 1000).status() == 200) {
                        record.note("conductor is ready");
                        return true;
                    }
                } catch (IOException e) {
                    // not yet
                }
                Thread.sleep(100);
            }
            return false;
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void signal(String name) throws IOException, InterruptedException {
            record.note("SIG" + name + " to the conductor");
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        boolean awaitEnd(long ms) throws InterruptedException {
            return process.waitFor(ms, TimeUnit.MILLISECONDS);
        }

        private void deleteFolder() {
            try (var files = Files.walk(folder)) {
                for (Path path : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.deleteIfExists(path);
                }
            } catch (IOException | java.io.UncheckedIOException e) {
                // deleted already
            }
        }

        private void kill() throws IOException {
            try {
                process.destroyForcibly().waitFor();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        String log() throws IOException {
            return Files.readString(folder.resolve("log"), StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() throws IOException {
            if (process != null) {
                kill();
                record.note("conductor ended");
                for (String line : log().split("\n")) {
                    if (line.startsWith("\tat ") || line.isBlank()) {
                        continue; // of a stack trace
                    }
                    record.note("log: " + line.substring(0, Math.min(200, line.length())));
                }
            }
            deleteFolder();
        }
    }

    // ---- a client -------------------------------------------------------------------------------

    /** One connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }

        /** Sends a request and reads the head of its answer. */
        Message call(String text, int timeoutMs) throws IOException {
            send(text);
            socket.setSoTimeout(timeoutMs);
            Message head = head(in);
            if (head == null) {
                throw new IOException("closed without an answer");
            }
            return head;
        }

        /** Reads a chunked body; null if it ends without the last chunk. */
        String chunks() throws IOException {
            StringBuilder text = new StringBuilder();
            while (true) {
                String size = line(in);
                if (size == null) {
                    return null;
                }
                int length = Integer.parseInt(size.strip(), 16);
                byte[] bytes = in.readNBytes(length);
                if (bytes.length < length || line(in) == null) {
                    return null;
                }
                if (length == 0) {
                    return text.toString();
                }
                text.append(new String(bytes, StandardCharsets.UTF_8));
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A request of a client. {@code opening}: the part of the prompt that it shares with others, or "". */
    static String request(String id, String requestClass, long timeoutMs, String opening, String rest) {
        String body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":200,\"messages\":["
                + (opening.isEmpty() ? "" : "{\"role\":\"system\",\"content\":\"" + opening + "\"},")
                + "{\"role\":\"user\",\"content\":\"" + rest + "\"}]}";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + requestClass + "\r\nX-Route-Key: k" + id + "\r\nX-Timeout: " + timeoutMs
                + "m\r\nX-Attrs: " + (opening.isEmpty() ? "" : "prefix=5c0f6e1a2b3d4c59,") + "prompt_len="
                + (opening.length() + rest.length()) / 4 + ",prefix_len=" + opening.length() / 4 + ",max_out=200\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Runs a case: {@code args} are the repository's root and the file for the record. */
    static void main(String[] args, Case test) throws IOException {
        int code = 2;
        try (Record record = new Record(Path.of(args[1]))) {
            List<AutoCloseable> parts = new ArrayList<>();
            daemon(() -> {
                Thread.sleep(MAX_CASE_MS);
                record.note("the case took too long; exit code 2");
                System.exit(2);
            });
            try {
                code = test.run(Path.of(args[0]), record, parts);
            } catch (Throwable e) { // an Error too: the case says nothing then
                record.note("the case could not run: " + e);
                code = 2;
            }
            for (int i = parts.size() - 1; i >= 0; i--) {
                try {
                    parts.get(i).close();
                } catch (Exception e) {
                    record.note("not closed: " + e);
                }
            }
            record.note("exit code " + code);
        }
        System.exit(code == 1 ? BROKEN : code);
    }

    private static final int BROKEN = 10; // run.sh makes it 1, the code with which java ends if it can't start
    private static final int MAX_CASE_MS = 112_000;

    interface Case {
        /** Returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. {@code parts}: closed at the end. */
        int run(Path root, Record record, List<AutoCloseable> parts) throws Exception;
    }
}

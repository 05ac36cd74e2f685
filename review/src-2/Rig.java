import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What the cases share: the conductor's process, and stand-ins of model servers, discovery and clients. Loopback only. */
final class Rig implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    static final int CANNOT_RUN = 2;
    static final int BROKEN = 10; // run.sh makes it 1, which a JVM that fails may return too
    private static final int LONGEST_MS = 112_000;
    private static final int LOG_LINES = 30;
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    final Path folder; // of the case
    final Path root; // of the repository
    final Path temp;
    final List<Process> processes = new CopyOnWriteArrayList<>();
    final List<AutoCloseable> resources = new CopyOnWriteArrayList<>();
    private final List<Path> logs = new CopyOnWriteArrayList<>();
    final Map<String, Boolean> readStates = new ConcurrentHashMap<>(); // ids of requests whose read state is held
    private final PrintWriter record;
    private final long startNs = System.nanoTime();

    Rig(String caseFolder) throws IOException {
        folder = Path.of(caseFolder).toAbsolutePath().normalize();
        root = folder.getParent().getParent();
        temp = Files.createTempDirectory("review-");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        note("trouble: " + TROUBLE);
        start("watchdog", () -> {
            sleep(LONGEST_MS);
            note("the case took too long");
            System.exit(CANNOT_RUN);
        });
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    long ms() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void note(String text) {
        record.printf(Locale.ROOT, "%7d %s%n", ms(), text);
    }

    /** A free port of the loopback address, below the ports that the system assigns to connections. */
    static int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = 10_000 + (int) (Math.random() * 20_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                return port;
            } catch (IOException e) {
                // taken
            }
        }
        throw new IOException("no free port");
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // the connection has ended
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Runs a case: exits with BROKEN if it returns true, with 0 if false, with CANNOT_RUN if it throws. */
    static void run(String caseFolder, Case test) {
        int code = CANNOT_RUN;
        try (Rig rig = new Rig(caseFolder)) {
            try {
                boolean broken = test.isRuleBroken(rig);
                code = broken ? BROKEN : 0;
                rig.note(broken ? "RULE BROKEN" : "the rule held");
                System.out.println(broken ? "rule broken" : "the rule held");
            } catch (Exception e) {
                rig.note("cannot run: " + e);
                System.out.println("cannot run: " + e);
            }
        } catch (IOException e) {
            System.out.println("cannot run: " + e);
        }
        System.exit(code);
    }

    interface Case {
        boolean isRuleBroken(Rig rig) throws Exception;
    }

    interface Task {
        void run() throws Exception;
    }

    @Override
    public synchronized void close() {
        for (Process process : processes) {
            if (process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        processes.clear();
        for (Path log : logs) {
            try {
                List<String> lines = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
                note("the last lines of " + log.getFileName() + ":");
                lines.subList(Math.max(0, lines.size() - LOG_LINES), lines.size()).forEach(this::note);
            } catch (IOException e) {
                note("no log: " + e);
            }
        }
        logs.clear();
        resources.forEach(resource -> {
            try {
                resource.close();
            } catch (Exception e) {
                // closed already
            }
        });
        resources.clear();
        try (Stream<Path> files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // removed already
        }
    }

    // ---- the conductor -------------------------------------------------------------------------

    /** The value of a key of the deploy file. */
    String deployCommand(String key) throws IOException {
        Matcher line = Pattern.compile("(?m)^" + key + " = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!line.find()) {
            throw new IOException("deploy/balancer.toml has no " + key);
        }
        return line.group(1);
    }

    final class Conductor {
        final String name;
        final int port;
        final Path config;
        Process process;
        Path log;
        private final String options;
        private int starts;

        /** {@code options}: appended to the deploy file's command. */
        Conductor(String name, int port, String configJson, String options) throws IOException {
            this.name = name;
            this.port = port;
            this.options = options;
            config = temp.resolve(name + ".json");
            Files.writeString(config, configJson);
            Files.createDirectories(temp.resolve(name + ".tmp"));
        }

        void start() throws IOException {
            log = temp.resolve(name + "-" + ++starts + ".log");
            logs.add(log);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run") + options);
            builder.directory(root.toFile());
            builder.environment().put("GW_CONFIG", config.toString());
            builder.environment().put("TMPDIR", temp.resolve(name + ".tmp").toString());
            for (String key : List.of("GW_NAME", "GW_LISTEN", "GW_CONTROL", "GW_DISCOVERY")) {
                builder.environment().remove(key);
            }
            process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
            processes.add(process);
            note(name + ": started");
        }

        /** Waits for the first 200 of GET /healthz; false if it does not come within 30 s. */
        void awaitReady(int atPort) throws IOException {
            if (!isReady(atPort)) {
                throw new IOException(name + " is not ready");
            }
        }

        private boolean isReady(int atPort) {
            long until = ms() + 30_000;
            while (ms() < until && process.isAlive()) {
                try (Socket socket = new Socket()) {
                    socket.connect(new InetSocketAddress(HOST, atPort), 500);
                    socket.setSoTimeout(1000);
                    send(socket, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
                    if (Message.read(socket.getInputStream()).status() == 200) {
                        note(name + ": ready");
                        return true;
                    }
                } catch (IOException e) {
                    // not yet
                }
                sleep(50);
            }
            return false;
        }

        /** Sends SIGTERM. */
        void terminate() {
            note(name + ": SIGTERM");
            process.destroy();
        }
    }

    // ---- HTTP ----------------------------------------------------------------------------------

    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException();
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }

    /** A request or an answer. {@code whole}: false if it ended before its length or its last chunk. */
    record Message(String first, Map<String, String> headers, String body, boolean whole) {
        static Message read(InputStream raw) throws IOException {
            return read(raw, chunk -> {});
        }

        /** {@code onChunk} gets each chunk of the body as it comes. */
        static Message read(InputStream raw, java.util.function.Consumer<String> onChunk) throws IOException {
            InputStream in = raw instanceof BufferedInputStream ? raw : new BufferedInputStream(raw);
            String first = readLine(in);
            Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
            }
            StringBuilder body = new StringBuilder();
            boolean whole = true;
            try {
                if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
                    for (int size = Integer.parseInt(readLine(in), 16); size > 0; ) {
                        String chunk = new String(readFully(in, size), StandardCharsets.UTF_8);
                        readLine(in);
                        body.append(chunk);
                        onChunk.accept(chunk);
                        size = Integer.parseInt(readLine(in), 16);
                    }
                    readLine(in);
                } else if (headers.containsKey("Content-Length")) {
                    int length = Integer.parseInt(headers.get("Content-Length"));
                    body.append(new String(readFully(in, length), StandardCharsets.UTF_8));
                }
            } catch (IOException | NumberFormatException e) {
                whole = false;
            }
            return new Message(first, headers, body.toString(), whole);
        }

        private static byte[] readFully(InputStream in, int length) throws IOException {
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException();
            }
            return bytes;
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String method() {
            return first.split(" ")[0];
        }

        String path() {
            return first.split(" ")[1];
        }
    }

    /** Accepts connections on a free port of the loopback address and handles each on a thread of its own. */
    abstract class Listener implements AutoCloseable {
        final ServerSocket socket;

        Listener() throws IOException {
            socket = new ServerSocket(0, 200, InetAddress.getByName(HOST));
            resources.add(this);
        }

        void begin() {
            Rig.start("listener", () -> {
                while (!socket.isClosed()) {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    Rig.start("connection", () -> {
                        try (connection) {
                            serve(connection, new BufferedInputStream(connection.getInputStream()));
                        }
                    });
                }
            });
        }

        abstract void serve(Socket connection, InputStream in) throws Exception;

        String address() {
            return HOST + ":" + socket.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // ---- model servers -------------------------------------------------------------------------

    /** A reader or writer by the protocol's page. */
    class ModelServer extends Listener {
        final String id;
        final boolean reader;
        volatile int readMs = 20;
        volatile int firstMs = 20; // from the arrival of a write to its first event
        volatile int events = 10;
        volatile int eventMs = 20; // between two events
        volatile long startedMs; // of its last start, as the list says; 0: long ago
        final List<Long> arrivals = new CopyOnWriteArrayList<>(); // when the attempts have arrived, by Rig.ms()
        final List<String> ran = new CopyOnWriteArrayList<>(); // ids of the attempts that have arrived

        ModelServer(String id, boolean reader) throws IOException {
            this.id = id;
            this.reader = reader;
            begin();
        }

        @Override
        void serve(Socket connection, InputStream in) throws Exception {
            while (true) {
                Message request = Message.read(in);
                if (!request.whole()) {
                    return;
                }
                if (request.method().equals("DELETE")) {
                    readStates.remove(request.path().substring("/state/".length()));
                    Rig.send(connection, "HTTP/1.1 204 No Content\r\n\r\n");
                } else if (request.method().equals("GET")) {
                    String load = "inflight=0,x0=0.01";
                    Rig.send(connection, "HTTP/1.1 200 OK\r\nX-Server-Load: " + load + "\r\nContent-Length: " + load.length()
                            + "\r\n\r\n" + load);
                } else if (!attempt(connection, request)) {
                    return;
                }
            }
        }

        /** Returns false if the connection is of no further use. */
        boolean attempt(Socket connection, Message request) throws Exception {
            String requestId = request.headers().get("X-Request-ID");
            if (requestId == null) {
                Rig.send(connection, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
            ran.add(requestId);
            arrivals.add(ms());
            note(id + ": got " + requestId + (reader ? " to read" : " to write"));
            if (reader) {
                Rig.sleep(readMs);
                readStates.put(requestId, true);
                String body = "{\"cached_tokens\":0}";
                Rig.send(connection, "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body);
                return true;
            }
            if (readStates.remove(requestId) == null) {
                Rig.send(connection, "HTTP/1.1 410 Gone\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
            Rig.sleep(firstMs);
            Rig.send(connection, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            try {
                for (int i = 0; i < events; i++) {
                    String finish = i == events - 1 ? "\"stop\"" : "null";
                    chunk(connection, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w" + i
                            + " \"},\"finish_reason\":" + finish + "}]}\n\n");
                    if (i < events - 1) {
                        Rig.sleep(eventMs);
                    }
                }
                chunk(connection, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":" + events
                        + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n");
                chunk(connection, "data: [DONE]\n\n");
                Rig.send(connection, "0\r\n\r\n");
                note(id + ": wrote " + requestId + " to its end");
                return true;
            } catch (IOException e) {
                note(id + ": the connection of " + requestId + " was ended by the conductor within its stream");
                return false;
            }
        }

        void chunk(Socket connection, String text) throws IOException {
            Rig.send(connection, Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n");
        }

        String entry(String state) {
            return "{\"id\":\"" + id + "\",\"addr\":\"" + address() + "\",\"zone\":\"a\",\"kind\":\""
                    + (reader ? "prefill" : "decode") + "\",\"cell\":1,\"state\":\"" + state
                    + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
        }
    }

    // ---- discovery -----------------------------------------------------------------------------

    /** The agent at a conductor: the whole list, and watches that wait for a change. */
    final class Discovery extends Listener {
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Integer> changedAt = new LinkedHashMap<>();
        private int version = 1;

        Discovery(List<ModelServer> servers) throws IOException {
            servers.forEach(server -> set(server, "active"));
            begin();
        }

        synchronized void set(ModelServer server, String state) {
            entries.put(server.id, server.entry(state));
            changedAt.put(server.id, ++version);
            notifyAll();
        }

        @Override
        void serve(Socket connection, InputStream in) throws Exception {
            while (true) {
                Message request = Message.read(in);
                String body = answer(request.path());
                Rig.send(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body);
            }
        }

        private synchronized String answer(String path) throws InterruptedException {
            Matcher watch = Pattern.compile("from=(\\d+)&hold_ms=(\\d+)").matcher(path);
            if (!watch.find()) {
                return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + String.join(",", entries.values()) + "]}";
            }
            int from = Integer.parseInt(watch.group(1));
            long until = ms() + Long.parseLong(watch.group(2));
            while (version <= from && ms() < until) {
                wait(Math.max(1, until - ms()));
            }
            List<String> changed = new ArrayList<>();
            changedAt.forEach((server, at) -> {
                if (at > from) {
                    changed.add(entries.get(server));
                }
            });
            return "{\"version\":" + version + ",\"full\":false,\"servers\":[" + String.join(",", changed) + "]}";
        }
    }

    // ---- configuration -------------------------------------------------------------------------

    /** Settings like those of a small deployment: one conductor, a class that may be repeated and one that must not. */
    static String settings(boolean resume, double askDeadlineS, double sendDeadlineS) {
        return "{\"balancers\":1,\"self_index\":0,\"kinds\":[\"prefill\",\"decode\"],\"zone\":\"a\",\"zones\":[\"a\"],"
                + "\"discovery\":\"automatic\",\"services\":["
                + "{\"name\":\"ask\",\"promise_s\":1.5,\"give_up_s\":" + askDeadlineS
                + ",\"semantics\":\"safe\",\"stream\":true,\"window_s\":5.0,\"late_share\":0.1,\"group\":\"all\",\"worth\":3.0},"
                + "{\"name\":\"send\",\"promise_s\":3.0,\"give_up_s\":" + sendDeadlineS
                + ",\"semantics\":\"unsafe\",\"stream\":true,\"window_s\":5.0,\"late_share\":0.2,\"group\":\"all\",\"worth\":2.0}],"
                + "\"limits\":{\"send_cap\":4,\"cancel\":true,\"probing\":true,\"retry_after\":true,\"max_retry_after_s\":2.0,"
                + "\"conn_idle_s\":30.0,\"connect_timeout_s\":0.25,\"second_copies\":false},"
                + "\"rules\":{\"answer_slack_s\":0.008,\"ask_within_s\":10.0,\"cold_from\":0.28,\"drain_grace_s\":1.0,"
                + "\"fall_multiple\":3.0,\"fall_s\":2.0,\"warm_within_s\":13.0},"
                + "\"report\":{\"fields\":[\"active\",\"x0\"],\"via\":\"on_probe\"},"
                + "\"extra\":{\"ahead\":false,\"local_read\":false,\"memory_tokens\":[225677,142841],\"release_s\":1.0,"
                + "\"resume\":" + resume + ",\"role_by_kind\":[\"read\",\"write\"],\"token_aim_s\":[0.06,0.08]}}";
    }

    static String config(String name, int port, String discovery, int memoryMb, int sockets, String settings) {
        return "{\"name\":\"" + name + "\",\"listen\":\"" + HOST + ":" + port + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":" + sockets + "},\"settings\":" + settings + "}";
    }

    // ---- clients -------------------------------------------------------------------------------

    /** One request by the platform's protocol; {@code prefix} null: none. A token is four characters. */
    static String platformRequest(String id, String requestClass, long timeoutMs, long promptTokens, String prefix, int bodyTokens) {
        String body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":800,\"messages\":[{\"role\":\"user\",\"content\":\""
                + "abc ".repeat(bodyTokens) + "\"}]}";
        return "POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id
                + "\r\nX-Priority-Class: " + requestClass + "\r\nX-Route-Key: " + id + "\r\nX-Timeout: " + timeoutMs
                + "m\r\nX-Attrs: " + (prefix == null ? "" : "prefix=" + prefix + ",") + "prompt_len=" + promptTokens
                + ",prefix_len=0,max_out=800\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    static String platformRequest(String id, String requestClass, long timeoutMs) {
        return platformRequest(id, requestClass, timeoutMs, 100, null, 100);
    }

    /**
     * What one client saw. {@code answer}: null where the connection ended without one, or none came in time. {@code silent}: the
     * request was written whole, and its connection stayed open without an answer.
     */
    record Seen(Message answer, long afterMs, String failure, boolean silent) {
        /** Whether the answer is a 200 that came to its end. */
        boolean served() {
            return answer != null && answer.status() == 200 && answer.whole();
        }

        @Override
        public String toString() {
            return answer == null
                    ? "no answer after " + afterMs + " ms: " + failure
                    : answer.first() + (answer.whole() ? ", whole" : ", BROKEN OFF") + " after " + afterMs + " ms";
        }
    }

    /** Sends one request on a new connection and reads its answer; {@code waitMs}: the longest pause without a byte. */
    Seen call(int port, String request, int waitMs) {
        long begin = ms();
        boolean written = false;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, port), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(waitMs);
            send(socket, request);
            written = true;
            return new Seen(Message.read(socket.getInputStream()), ms() - begin, null, false);
        } catch (IOException e) {
            return new Seen(null, ms() - begin, e.toString(), written && e instanceof java.net.SocketTimeoutException);
        }
    }
}

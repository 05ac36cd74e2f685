package copperbeam.program;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * Runs a conductor for a short time on the loopback interface during the build, so that the JVM can archive the classes
 * that a start and the first requests need (AppCDS); loading and verifying them took half of the start time. The conductor
 * works with stand-ins for discovery, for a reader and a writer that serve every call, and for a writer that is always full.
 */
final class Rehearsal {
    private static final int REQUESTS = 20;
    private static final int READ_TIMEOUT_MS = 5000;
    private static final String ENTRY = """
            {"id":"%s","addr":"127.0.0.1:%d","zone":"z","kind":"%s","cell":0,"state":"active","started_ms":0}""";
    private static final String LIST = """
            {"version":1,"full":true,"servers":[%s]}""";
    private static final String CONFIG = """
            {"name":"rehearsal","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d",
             "limits":{"memory_mb":192,"sockets":1024},"known":%s,
             "settings":{"balancers":1,"kinds":["read","write"],
               "services":[{"name":"c","promise_s":1,"semantics":"safe","worth":1},
                           {"name":"once","promise_s":1,"semantics":"unsafe","worth":1}],
               "limits":{"send_cap":4,"cancel":true,"probing":true,"retry_after":true,"max_retry_after_s":2},
               "rules":{},"report":{"via":"on_probe"},"extra":{"role_by_kind":["read","write"],"release_s":1}}}
            """;
    private static final String EVENTS = """
            data: {"choices":[{"index":0,"delta":{"content":"ab"},"finish_reason":null}]}

            data: {"choices":[{"index":0,"delta":{"content":"c"},"finish_reason":"stop"}]}

            data: [DONE]

            """;

    private Rehearsal() {}

    static int run() throws IOException, InterruptedException {
        Path file = Files.createTempFile("rehearsal", ".json");
        try (ServerSocket discovery = listen();
                ServerSocket reader = listen();
                ServerSocket writer = listen();
                ServerSocket fullWriter = listen()) {
            String list = String.format(
                    LIST,
                    String.join(
                            ",",
                            entry("r", reader, "read"),
                            entry("w", writer, "write"),
                            entry("f", fullWriter, "write")));
            serve(discovery, response("200 OK", list));
            serve(reader, response("202 Accepted", "{\"cached_tokens\":0}"));
            serve(
                    writer,
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + Integer.toHexString(EVENTS.length()) + "\r\n" + EVENTS + "\r\n0\r\n\r\n");
            serve(fullWriter, response("503 Full\r\nX-Not-Processed: 1", ""));
            int freePort;
            try (ServerSocket probeSocket = listen()) {
                freePort = probeSocket.getLocalPort();
            }
            Files.writeString(file, String.format(CONFIG, freePort, discovery.getLocalPort(), list));
            // copied, so that all other variables are read as at a real start
            Map<String, String> environment = new HashMap<>(System.getenv());
            environment.keySet().removeIf(name -> name.startsWith("GW_"));
            environment.put("GW_CONFIG", file.toString());
            runConductor(environment);
            return 0;
        } finally {
            Files.delete(file);
        }
    }

    private static void runConductor(Map<String, String> environment) throws IOException, InterruptedException {
        Reload reload = Reload.onHangup();
        try (Node node = new Node(Config.read(environment, null))) {
            reload.start(() -> Config.reread(environment, null), node);
            node.awaitWarmUp();
            int served = 0;
            for (int i = 0; i < REQUESTS; i++) {
                served += request(node.address(), i, i % 2 == 0 ? "c" : "once");
            }
            if (served == 0) {
                throw new IllegalStateException("no request was served"); // the archive would lack classes for serving
            }
            node.reload(Config.reread(environment, null));
            node.stop();
        } catch (Config.Invalid e) {
            throw new IllegalStateException(e);
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    }

    private static String entry(String id, ServerSocket socket, String kind) {
        return String.format(ENTRY, id, socket.getLocalPort(), kind);
    }

    private static String response(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Answers each call with {@code answer}, and releases (DELETE) with 204, until the socket is closed. */
    private static void serve(ServerSocket socket, String answer) {
        startDaemon(() -> {
            while (true) {
                Socket connection = socket.accept();
                startDaemon(() -> answer(connection, answer));
            }
        });
    }

    private static void answer(Socket connection, String answer) throws IOException {
        try (connection) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            for (String requestLine = in.readLine(); requestLine != null; requestLine = in.readLine()) {
                int length = 0;
                for (String header = in.readLine(); !header.isEmpty(); header = in.readLine()) {
                    if (header.regionMatches(true, 0, "content-length:", 0, 15)) {
                        length = Integer.parseInt(header.substring(15).strip());
                    }
                }
                for (int i = 0; i < length; i++) {
                    in.read();
                }
                connection
                        .getOutputStream()
                        .write((requestLine.startsWith("DELETE") ? "HTTP/1.1 204 Gone\r\n\r\n" : answer)
                                .getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startDaemon(IoTask task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // the connection was closed by its peer, or the socket at the end of the rehearsal
                    }
                },
                "rehearsal");
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends a request; returns 1 if it is answered with status 200, else 0. */
    private static int request(InetSocketAddress to, int number, String requestClass) throws IOException {
        try (Socket client = new Socket(to.getAddress(), to.getPort())) {
            client.setSoTimeout(READ_TIMEOUT_MS);
            client.getOutputStream()
                    .write(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-ID: i" + number
                                    + "\r\nX-Priority-Class: " + requestClass + "\r\nX-Route-Key: k\r\nX-Timeout: 2000m"
                                    + "\r\nX-Attrs: prefix=p,prompt_len=9,max_out=9\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
                            .getBytes(StandardCharsets.US_ASCII));
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                            .startsWith("HTTP/1.1 200")
                    ? 1
                    : 0;
        }
    }
}

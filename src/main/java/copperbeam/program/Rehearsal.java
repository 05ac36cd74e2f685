package copperbeam.program;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * A short life of a conductor on the loopback, at build time, so that the JVM can store the classes that a start
 * needs (AppCDS): half of a start's time went into reading and checking them. The conductor is its own and only
 * server, which turns every attempt away, and its own discovery, which has no list.
 */
final class Rehearsal {
    private static final int REQUESTS = 20;
    private static final int PATIENCE_MS = 5000;
    private static final String CONFIG = """
            {"name":"rehearsal","listen":"127.0.0.1:%1$d","discovery":"127.0.0.1:%1$d",
             "limits":{"memory_mb":192,"sockets":1024},
             "known":{"version":1,"full":true,"servers":[
               {"id":"r","addr":"127.0.0.1:%1$d","zone":"z","kind":"read","cell":0,"state":"active","started_ms":0},
               {"id":"w","addr":"127.0.0.1:%1$d","zone":"z","kind":"write","cell":0,"state":"active","started_ms":0}]},
             "settings":{"balancers":1,"kinds":["read","write"],
               "services":[{"name":"c","promise_s":1,"semantics":"safe","worth":1}],
               "limits":{"send_cap":4,"cancel":true,"probing":true,"retry_after":true,"max_retry_after_s":2},
               "rules":{},"report":{"via":"on_probe"},"extra":{"role_by_kind":["read","write"],"release_s":1}}}
            """;

    private Rehearsal() {}

    static int run() throws IOException, InterruptedException {
        Path file = Files.createTempFile("rehearsal", ".json");
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Files.writeString(file, String.format(CONFIG, free.getLocalPort()));
        }
        try (Node node = new Node(Config.read(Map.of("GW_CONFIG", file.toString()), null))) {
            node.awaitWarm();
            for (int i = 0; i < REQUESTS; i++) {
                request(node.address(), i);
            }
            node.reload(Config.reread(Map.of("GW_CONFIG", file.toString()), null));
            node.stop();
            return 0;
        } catch (Config.Invalid e) {
            throw new IllegalStateException(e);
        } finally {
            Files.delete(file);
        }
    }

    private static void request(InetSocketAddress to, int number) throws IOException {
        try (Socket client = new Socket(to.getAddress(), to.getPort())) {
            client.setSoTimeout(PATIENCE_MS);
            client.getOutputStream().write(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-ID: i" + number
                    + "\r\nX-Priority-Class: c\r\nX-Route-Key: k\r\nX-Timeout: 2000m\r\nX-Attrs: prefix=p,prompt_len=9"
                    + "\r\nContent-Length: 2\r\n\r\n{}").getBytes(StandardCharsets.US_ASCII));
            client.getInputStream().read();
        }
    }
}

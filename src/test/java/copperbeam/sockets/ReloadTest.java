package copperbeam.sockets;

import static copperbeam.sockets.Site.attempts;
import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.program.Main;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/** Signals to the program itself, in a process of its own. */
public class ReloadTest {
    /** One conductor as `run` starts it, with discovery in its file and an older word on it in the environment. */
    private static final class Conductor implements AutoCloseable {
        final Path folder = Files.createTempDirectory("conductor");
        final Path log = folder.resolve("log");
        final InetSocketAddress address = new InetSocketAddress("127.0.0.1", freePort());
        final Process process;

        Conductor(StandIn discovery) throws IOException {
            configure(discovery.host());
            ProcessBuilder java = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-cp", System.getProperty("java.class.path"), Main.class.getName(), "serve");
            java.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
            java.environment().put("GW_DISCOVERY", discovery.host());
            process = java.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        }

        private static int freePort() throws IOException {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            }
        }

        /** Replaces the file whole, as operators do. */
        void configure(String discovery) throws IOException {
            Path next = folder.resolve("next");
            Files.writeString(next, "{\"listen\":\"127.0.0.1:" + address.getPort() + "\",\"discovery\":\"" + discovery
                    + "\",\"settings\":" + String.format(Site.SETTINGS, 30) + "}");
            Files.move(next, folder.resolve("config.json"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        boolean healthy() {
            try (Line line = new Line(address)) {
                return line.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").read().status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean logged(String text) {
            try {
                return Files.readString(log).contains(text);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void close() {
            process.destroyForcibly();
        }
    }

    private static StandIn discovery(StandIn reader, StandIn writer) throws IOException {
        return new StandIn((m, line) -> {
            boolean watch = m.path().contains("from=");
            if (watch) {
                Thread.sleep(500);
            }
            line.answer(200, "{\"version\":7,\"full\":" + !watch + ",\"servers\":["
                    + (watch ? "" : Site.entry(reader, "prefill", "active") + "," + Site.entry(writer, "decode", "active"))
                    + "]}");
        });
    }

    /** Guards against the JVM's end on SIGHUP, and against a list that goes on coming from the old address. */
    @Test
    public void aHangupMovesDiscoveryAndDisturbsNothing() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        try (StandIn reader = new StandIn(Site::read); StandIn old = new StandIn(attempts((m, line) -> {
            go.await();
            Site.write(m, line);
        })); StandIn next = new StandIn(Site::write); StandIn first = discovery(reader, old);
                StandIn second = discovery(reader, next); StandIn third = discovery(reader, next);
                Conductor conductor = new Conductor(first)) {
            await("healthy", conductor::healthy);
            try (Line open = new Line(conductor.address); Line client = new Line(conductor.address)) {
                open.send(request("ask", 60_000));
                await("written", () -> old.attempts() == 1);

                conductor.configure(second.host());
                conductor.signal("HUP");
                await("watched at the new address", () -> second.count(m -> m.path().contains("from=7&")) > 0);
                first.close();
                assertEquals(client.send(request("send", 5000)).read().status(), 200);
                assertEquals(next.attempts(), 1);

                conductor.configure("nowhere");
                conductor.signal("HUP");
                await("told by its key", () -> conductor.logged("discovery: 'nowhere'"));
                assertEquals(client.send(request("send", 5000)).read().status(), 200);

                conductor.configure(third.host());
                conductor.signal("HUP");
                await("moved again", () -> third.seen.size() > 0);
                conductor.signal("HUP");
                conductor.signal("TERM");
                go.countDown();
                assertEquals(open.read().text(), Site.EVENTS);
            }
            assertTrue(conductor.process.waitFor(Line.PATIENCE_MS, java.util.concurrent.TimeUnit.MILLISECONDS));
            assertEquals(conductor.process.exitValue(), 0);
        }
    }
}

package copperbeam.soak;

import copperbeam.program.Main;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** One conductor under test: its address, its folder and its current process, over restarts and upgrades. */
final class ConductorProcess implements AutoCloseable {
    private static final List<String> OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms24m",
            "-Xmx64m",
            "-Xss512k",
            "-XX:MaxMetaspaceSize=48m",
            "-XX:ReservedCodeCacheSize=24m");
    private static final int CONNECT_MS = 500;
    private static final int LOOK_MS = 10;
    private static final int FIRST_PORT = 10_000;
    private static final int LAST_PORT = 16_384;

    final String name;
    final InetSocketAddress address;
    final FaultShim shim;
    private final boolean operated; // listens for operators' commands, without which a process can't be upgraded
    private final Path folder;
    private final Function<String, String> file; // the configuration file's text for an address of discovery
    private volatile String discovery;
    private volatile InetSocketAddress door;
    private volatile Process process;
    private volatile boolean takesClients;
    private int starts;

    ConductorProcess(String name, Path folder, boolean operated, String settings) throws IOException {
        this.name = name;
        this.folder = Files.createDirectories(folder);
        this.operated = operated;
        address = freeAddress();
        shim = new FaultShim(folder);
        file = at -> "{\"name\":\"" + name + "\",\"listen\":\"" + host(address) + "\",\"discovery\":\"" + at
                + "\",\"limits\":{\"memory_mb\":192,\"sockets\":512},\"settings\":" + settings + "}";
    }

    /**
     * A free port below the range from which the system assigns ports to connections and stand-ins, so that none of them takes it
     * while the conductor isn't listening.
     */
    private static InetSocketAddress freeAddress() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return (InetSocketAddress) socket.getLocalSocketAddress();
            } catch (BindException e) {
                continue; // the port is taken
            }
        }
    }

    private static String host(InetSocketAddress at) {
        return "127.0.0.1:" + at.getPort();
    }

    /** Whether clients should open connections to this conductor. */
    boolean takesClients() {
        return takesClients;
    }

    void takesClients(boolean now) {
        takesClients = now;
    }

    boolean operated() {
        return operated;
    }

    Process process() {
        return process;
    }

    void configure(String newDiscovery) throws IOException {
        discovery = newDiscovery;
        Path next = folder.resolve("next");
        Files.writeString(next, file.apply(newDiscovery));
        Files.move(next, folder.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts a process; a previous process, if any, keeps running beside it, as in an upgrade. */
    Process start() throws IOException {
        starts++;
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(OPTIONS);
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "serve",
                "--record",
                folder.resolve("recorded-" + starts).toString()));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("GW_DISCOVERY", discovery);
        builder.environment().put("TMPDIR", folder.toString());
        if (operated) {
            door = freeAddress();
            builder.environment().put("GW_CONTROL", host(door));
        }
        shim.preload(builder.environment());
        process =
                builder.redirectErrorStream(true).redirectOutput(log().toFile()).start();
        return process;
    }

    /** Waits until the conductor is ready; returns the time that took in milliseconds, or -1 if it exceeded {@code withinMs}. */
    long awaitReady(long withinMs) throws InterruptedException {
        long began = System.nanoTime();
        for (long passed = 0; passed < withinMs; passed = (System.nanoTime() - began) / 1_000_000) {
            if (operated ? says("PING", "ACK") : healthy()) {
                return passed;
            }
            Thread.sleep(LOOK_MS);
        }
        return -1;
    }

    private boolean healthy() {
        try (HttpConnection connection = HttpConnection.to(address, CONNECT_MS)) {
            connection.timeout(CONNECT_MS);
            connection.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            HttpConnection.Message answer = connection.read();
            return answer != null && answer.word(1).equals("200");
        } catch (IOException e) {
            return false;
        }
    }

    /** The log of the process that was started last. */
    Path log() {
        return folder.resolve("log-" + starts);
    }

    /** Opens a connection to the address for operators' commands. */
    Socket caller() throws IOException {
        Socket socket = new Socket();
        socket.connect(door, CONNECT_MS);
        return socket;
    }

    /** Sends an operators' command; returns whether the first line of the answer starts with {@code answer}. */
    boolean says(String line, String answer) {
        try (Socket socket = caller()) {
            socket.setSoTimeout(CONNECT_MS);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String first = in.readLine();
            return first != null && first.startsWith(answer);
        } catch (IOException e) {
            return false;
        }
    }

    static void signal(Process to, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(to.pid()))
                .start()
                .waitFor();
    }

    /** Waits for the process to exit; returns whether it did so within {@code withinMs}. */
    static boolean awaitEnd(Process which, long withinMs) throws InterruptedException {
        return which.waitFor(withinMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}

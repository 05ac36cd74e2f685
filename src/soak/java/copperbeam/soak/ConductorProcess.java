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
    private static final List<String> JVM_OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms24m",
            "-Xmx64m",
            "-Xss512k",
            "-XX:MaxMetaspaceSize=48m",
            "-XX:ReservedCodeCacheSize=24m");
    private static final int CONNECT_MS = 500;
    private static final int POLL_MS = 10;
    private static final int FIRST_NET = 128; // second byte of the conductors' loopback addresses, at least
    private static final int FIRST_PORT = 10_000;
    private static final int LAST_PORT = 16_384;

    final String name;
    final InetSocketAddress address;
    final FaultShim shim;
    private final boolean hasControl; // listens for operators' commands, without which a process can't be upgraded
    private final Path folder;
    private final Function<String, String> configText; // the configuration file's text for an address of discovery
    private volatile String discovery;
    private volatile Path operatorFile; // null: the list comes from discovery
    private volatile InetSocketAddress controlAddress;
    private volatile Process process;
    private volatile boolean takesClients;
    private int startCount;

    ConductorProcess(String name, Path folder, boolean hasControl, String settings) throws IOException {
        this.name = name;
        this.folder = Files.createDirectories(folder);
        this.hasControl = hasControl;
        address = freeAddress();
        shim = new FaultShim(folder);
        configText = discoveryAddress -> "{\"name\":\"" + name + "\",\"listen\":\"" + hostAndPort(address)
                + "\",\"discovery\":\"" + discoveryAddress
                + "\",\"limits\":{\"memory_mb\":192,\"sockets\":512},\"settings\":" + settings + "}";
    }

    /**
     * A free address that no other run on this machine uses, not even while the conductor isn't listening: its host is drawn from
     * eight million, and its port is below the range from which the system assigns ports to connections.
     */
    private static InetSocketAddress freeAddress() throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        while (true) {
            InetAddress host = InetAddress.getByAddress(new byte[] {
                127, (byte) random.nextInt(FIRST_NET, 256), (byte) random.nextInt(256), (byte) random.nextInt(1, 255)
            });
            int port = random.nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, host)) {
                return (InetSocketAddress) socket.getLocalSocketAddress();
            } catch (BindException e) {
                continue; // the address is taken
            }
        }
    }

    private static String hostAndPort(InetSocketAddress socketAddress) {
        return socketAddress.getAddress().getHostAddress() + ":" + socketAddress.getPort();
    }

    /** Whether clients should open connections to this conductor. */
    boolean takesClients() {
        return takesClients;
    }

    void setTakesClients(boolean accepting) {
        takesClients = accepting;
    }

    boolean hasControl() {
        return hasControl;
    }

    Process process() {
        return process;
    }

    void configure(String newDiscovery) throws IOException {
        discovery = newDiscovery;
        Path next = folder.resolve("next");
        Files.writeString(next, configText.apply(newDiscovery));
        Files.move(next, folder.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
    }

    /** The list comes from an etcd at this address instead of discovery; to be called before the start. */
    void useEtcd(String hostAndPort, String prefix) throws IOException {
        operatorFile = folder.resolve("operator.json");
        Files.writeString(
                operatorFile, "{\"etcd\":{\"endpoint\":\"" + hostAndPort + "\",\"prefix\":\"" + prefix + "\"}}");
    }

    /** Starts a process; a previous process, if any, keeps running beside it, as in an upgrade. */
    Process start() throws IOException {
        startCount++;
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of(
                "-cp",
                ProgramClassPath.get(),
                Main.class.getName(),
                "serve",
                "--record",
                folder.resolve("recorded-" + startCount).toString()));
        if (operatorFile != null) {
            command.addAll(List.of("--operator", operatorFile.toString()));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("GW_DISCOVERY", discovery);
        builder.environment().put("TMPDIR", folder.toString());
        if (hasControl) {
            controlAddress = freeAddress();
            builder.environment().put("GW_CONTROL", hostAndPort(controlAddress));
        }
        shim.preload(builder.environment());
        process =
                builder.redirectErrorStream(true).redirectOutput(log().toFile()).start();
        return process;
    }

    /** Waits until the conductor is ready; returns the time that took in milliseconds, or -1 if it exceeded {@code withinMs}. */
    long awaitReady(long withinMs) throws InterruptedException {
        long startNs = System.nanoTime();
        for (long elapsedMs = 0; elapsedMs < withinMs; elapsedMs = (System.nanoTime() - startNs) / 1_000_000) {
            if (hasControl ? controlAnswers("PING", "ACK") : healthy()) {
                return elapsedMs;
            }
            Thread.sleep(POLL_MS);
        }
        return -1;
    }

    private boolean healthy() {
        try (HttpConnection connection = HttpConnection.connect(address, CONNECT_MS)) {
            connection.setReadTimeout(CONNECT_MS);
            connection.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
            HttpConnection.Message answer = connection.read();
            return answer != null && answer.word(1).equals("200");
        } catch (IOException e) {
            return false;
        }
    }

    /** The log of the process that was started last. */
    Path log() {
        return folder.resolve("log-" + startCount);
    }

    /** Opens a connection to the address for operators' commands. */
    Socket connectToControl() throws IOException {
        Socket socket = new Socket();
        socket.connect(controlAddress, CONNECT_MS);
        return socket;
    }

    /** Sends an operators' command; returns whether the first line of the answer starts with {@code answer}. */
    boolean controlAnswers(String line, String answer) {
        try (Socket socket = connectToControl()) {
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

    static void signal(Process target, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(target.pid()))
                .start()
                .waitFor();
    }

    /** Waits for the process to exit; returns whether it did so within {@code withinMs}. */
    static boolean awaitEnd(Process target, long withinMs) throws InterruptedException {
        return target.waitFor(withinMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}

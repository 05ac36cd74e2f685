package copperbeam.sockets;

import copperbeam.program.Main;
import copperbeam.soak.ProgramClassPath;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BinaryOperator;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One conductor process, started through a shell as the {@code run} line of deploy/balancer.toml does. The config file holds
 * the current discovery address; the environment variable GW_DISCOVERY keeps the one from the start.
 */
final class Conductor implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Conductor.class.getName());
    static final String NAME = "n0";
    private static final int CLOCK_TICKS_PER_S = 100; // unit of the CPU times in /proc/PID/stat on Linux
    static final int START_TIMEOUT_MS =
            30_000; // the platform's limit for a start; on a busy core a process gets a tenth of the CPU

    private static final int PORTS_PER_FORK = 3192; // Surefire runs two test JVMs beside each other
    private static final int FIRST_PORT = 10_000 + Integer.getInteger("test.fork", 1) % 2 * PORTS_PER_FORK;
    private static final AtomicInteger NEXT_PORT_INDEX =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(PORTS_PER_FORK));

    final Path folder; // also holds the state file that the processes of this conductor share
    final Path logFile;
    final InetSocketAddress address;
    final InetSocketAddress adminAddress; // null: no admin server
    final Process process;
    private final BinaryOperator<String> configText; // config text for a listen address and a discovery address

    Conductor(StandIn discovery, int sockets, int memoryMb) throws IOException {
        this(discovery, sockets, memoryMb, List.of());
    }

    /** {@code extraArguments}: JVM options (those that begin with -X) and arguments of {@code serve}. */
    Conductor(StandIn discovery, int sockets, int memoryMb, List<String> extraArguments) throws IOException {
        this(discovery, sockets, memoryMb, extraArguments, ":");
    }

    /** {@code shellPrelude}: a command that the shell runs before it replaces itself with the conductor (exec). */
    Conductor(StandIn discovery, int sockets, int memoryMb, List<String> extraArguments, String shellPrelude)
            throws IOException {
        this(
                discovery,
                sockets,
                memoryMb,
                extraArguments,
                shellPrelude,
                Files.createTempDirectory("conductor"),
                freeAddress(),
                null,
                configTemplate(sockets, memoryMb, s -> s));
    }

    /** {@code settings}: turns the default settings text into the one to use. */
    Conductor(StandIn discovery, UnaryOperator<String> settings) throws IOException {
        this(discovery, settings, List.of());
    }

    Conductor(StandIn discovery, UnaryOperator<String> settings, List<String> extraArguments) throws IOException {
        this(discovery, settings, extraArguments, 1024, 192);
    }

    Conductor(StandIn discovery, UnaryOperator<String> settings, List<String> extraArguments, int sockets, int memoryMb)
            throws IOException {
        this(
                discovery,
                sockets,
                memoryMb,
                extraArguments,
                ":",
                Files.createTempDirectory("conductor"),
                freeAddress(),
                null,
                configTemplate(sockets, memoryMb, settings));
    }

    /** The first process of a conductor, with an admin address. */
    Conductor(StandIn discovery, Path folder, String... extraArguments) throws IOException {
        this(
                discovery,
                1024,
                192,
                List.of(extraArguments),
                ":",
                folder,
                freeAddress(),
                freeAddress(),
                configTemplate(1024, 192, Conductor::withLongPromises));
    }

    /** A further process of the same conductor, with an admin address of its own. */
    Conductor(StandIn discovery, Conductor earlier, String... extraArguments) throws IOException {
        this(
                discovery,
                1024,
                192,
                List.of(extraArguments),
                ":",
                earlier.folder,
                earlier.address,
                freeAddress(),
                configTemplate(1024, 192, Conductor::withLongPromises));
    }

    /** With an admin address; {@code configText} makes the config text from the listen address and the discovery address. */
    Conductor(StandIn discovery, BinaryOperator<String> configText, List<String> extraArguments) throws IOException {
        this(
                discovery,
                1024,
                192,
                extraArguments,
                ":",
                Files.createTempDirectory("conductor"),
                freeAddress(),
                freeAddress(),
                configText);
    }

    private Conductor(
            StandIn discovery,
            int sockets,
            int memoryMb,
            List<String> extraArguments,
            String shellPrelude,
            Path folder,
            InetSocketAddress address,
            InetSocketAddress adminAddress,
            BinaryOperator<String> configText)
            throws IOException {
        this.configText = configText;
        this.folder = folder;
        this.address = address;
        this.adminAddress = adminAddress;
        logFile = folder.resolve(adminAddress == null ? "log" : "log" + adminAddress.getPort());
        configure(discovery.hostAndPort());
        List<String> command = new ArrayList<>(List.of(
                "sh",
                "-c",
                "ulimit -n " + sockets + " && " + shellPrelude + " && exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m"));
        extraArguments.stream().filter(option -> option.startsWith("-X")).forEach(command::add);
        command.addAll(List.of("-cp", ProgramClassPath.get(), Main.class.getName(), "serve"));
        extraArguments.stream().filter(option -> !option.startsWith("-X")).forEach(command::add);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("GW_DISCOVERY", discovery.hostAndPort());
        builder.environment().put("GW_NAME", NAME);
        builder.environment().put("TMPDIR", folder.toString());
        if (adminAddress != null) {
            builder.environment().put("GW_CONTROL", "127.0.0.1:" + adminAddress.getPort());
        }
        process = builder.redirectErrorStream(true)
                .redirectOutput(logFile.toFile())
                .start();
    }

    /**
     * An address that stays free until the process binds it: no other caller gets its port, and it lies below the ephemeral range
     * (from 32768 on, or 16384 on some machines), as the tests open thousands of connections.
     */
    static InetSocketAddress freeAddress() throws IOException {
        InetAddress local = InetAddress.getByName("127.0.0.1");
        while (true) {
            int port = FIRST_PORT + NEXT_PORT_INDEX.getAndIncrement() % PORTS_PER_FORK;
            try (ServerSocket socket = new ServerSocket(port, 1, local)) {
                return (InetSocketAddress) socket.getLocalSocketAddress();
            } catch (BindException e) {
                LOG.fine(() -> "port in use: " + port);
            }
        }
    }

    /** Replaces the config file atomically, as operators do. */
    void configure(String discovery) throws IOException {
        replaceFile(configText.apply("127.0.0.1:" + address.getPort(), discovery));
    }

    private static BinaryOperator<String> configTemplate(int sockets, int memoryMb, UnaryOperator<String> settings) {
        String limits = "{\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "}";
        return (listen, discovery) -> "{\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery + "\",\"limits\":"
                + limits + ",\"settings\":" + settings.apply(String.format(Site.SETTINGS_FORMAT, 30)) + "}";
    }

    void replaceFile(String text) throws IOException {
        Path temporary = folder.resolve("next");
        Files.writeString(temporary, text);
        Files.move(temporary, folder.resolve("config.json"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /**
     * Raises the promised answer times to 60 s: on a busy machine answers would otherwise miss them, and the module then refuses
     * part of the requests.
     */
    static String withLongPromises(String settings) {
        return settings.replaceAll("\"promise_s\":[0-9.]+", "\"promise_s\":60");
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    boolean isHealthy() {
        try (RawConnection connection = new RawConnection(address)) {
            return connection
                            .send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                            .read()
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** The answer to an operator's call at the admin address; empty if the connection fails. */
    String call(String command) {
        try {
            return OperatorsTest.call(adminAddress, command);
        } catch (UncheckedIOException e) {
            return "";
        }
    }

    Conductor awaitHealthy() throws InterruptedException {
        return await("healthy", this::isHealthy);
    }

    Conductor awaitReady() throws InterruptedException {
        return await("ready", this::isReady);
    }

    private Conductor await(String description, BooleanSupplier condition) throws InterruptedException {
        try {
            Site.await(description, START_TIMEOUT_MS, condition);
        } catch (AssertionError e) {
            throw new AssertionError(
                    e.getMessage()
                            + (process.isAlive() ? ", and the process is alive: " : ", and the process has ended: ")
                            + readLog(),
                    e);
        }
        return this;
    }

    boolean isReady() {
        return call("PING").equals("ACK\n");
    }

    long cpuMs() throws IOException {
        return cpuMs(process);
    }

    /** CPU time of all threads so far, user and system, in ms. */
    static long cpuMs(Process process) throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * 1000 / CLOCK_TICKS_PER_S;
    }

    /** The number of sockets that listen at the clients' address, from the kernel's TCP tables. */
    int listenerCount() {
        String listeningRow =
                String.format(".* (0000000000000000FFFF0000)?0100007F:%04X [0:]+ 0A .*", address.getPort());
        return Stream.of("/proc/net/tcp", "/proc/net/tcp6")
                .map(Path::of)
                .filter(Files::exists)
                .mapToInt(table -> {
                    try {
                        return (int) Files.readAllLines(table).stream()
                                .filter(l -> l.matches(listeningRow))
                                .count();
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                })
                .sum();
    }

    boolean hasLogged(String text) {
        return readLog().contains(text);
    }

    private String readLog() {
        try {
            return Files.readString(logFile);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    /** A discovery service that answers with the full server list at once and reports no change after that. */
    static StandIn discovery(StandIn reader, StandIn... writers) throws IOException {
        return discovery(List.of(reader), List.of(writers));
    }

    static StandIn discovery(List<StandIn> readers, List<StandIn> writers) throws IOException {
        String entries = Stream.concat(
                        readers.stream().map(reader -> Site.entry(reader, "prefill", "active")),
                        writers.stream().map(writer -> Site.entry(writer, "decode", "active")))
                .collect(Collectors.joining(","));
        return new StandIn((request, connection) -> {
            boolean watch = request.path().contains("from=");
            if (watch) {
                Thread.sleep(500);
            }
            connection.respond(
                    200, "{\"version\":7,\"full\":" + !watch + ",\"servers\":[" + (watch ? "" : entries) + "]}");
        });
    }
}

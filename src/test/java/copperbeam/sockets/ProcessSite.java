package copperbeam.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/** A conductor process with both fronts, and stand-ins for discovery, readers and writers, in the test's own process. */
final class ProcessSite implements AutoCloseable {
    static final String ASK_MODEL = "m-ask";
    static final String SEND_MODEL = "m-send";
    private static final int CHAT_TIMEOUT_S = 10;

    /** What the conductor may use: file descriptors, and memory in MB. */
    record Limits(int sockets, int memoryMb) {
        static final Limits DEFAULT = new Limits(1024, 192);
    }

    final List<StandIn> readers = new ArrayList<>();
    final List<StandIn> writers = new ArrayList<>();
    final Conductor conductor;
    private final StandIn discovery;
    private final InetSocketAddress chatAddress = Conductor.freeAddress();

    /** Starts {@code serversPerRole} readers and as many writers, which run these scripts, and waits until the conductor is healthy. */
    ProcessSite(int serversPerRole, StandIn.Script readerScript, StandIn.Script writerScript) throws Exception {
        this(serversPerRole, readerScript, writerScript, settings -> settings);
    }

    /** {@code settings}: turns the default settings text into the one to use. */
    ProcessSite(
            int serversPerRole,
            StandIn.Script readerScript,
            StandIn.Script writerScript,
            UnaryOperator<String> settings)
            throws Exception {
        this(serversPerRole, readerScript, writerScript, settings, Limits.DEFAULT, List.of());
    }

    /** With long promises, these limits, and further options of the conductor's JVM. */
    ProcessSite(
            int serversPerRole,
            StandIn.Script readerScript,
            StandIn.Script writerScript,
            Limits limits,
            List<String> jvmOptions)
            throws Exception {
        this(serversPerRole, readerScript, writerScript, ProcessSite::withLongPromises, limits, jvmOptions);
    }

    private ProcessSite(
            int serversPerRole,
            StandIn.Script readerScript,
            StandIn.Script writerScript,
            UnaryOperator<String> settings,
            Limits limits,
            List<String> jvmOptions)
            throws Exception {
        for (int i = 0; i < serversPerRole; i++) {
            readers.add(StandIn.forCrowds(readerScript));
            writers.add(StandIn.forCrowds(writerScript));
        }
        discovery = Conductor.discovery(readers, writers);
        List<String> arguments = new ArrayList<>(jvmOptions);
        arguments.addAll(List.of("--operator", operatorFile().toString()));
        conductor = new Conductor(discovery, settings, arguments, limits.sockets(), limits.memoryMb());
        conductor.awaitHealthy();
    }

    private Path operatorFile() throws IOException {
        String model = "\"%s\":{\"class\":\"%s\",\"timeout_s\":" + CHAT_TIMEOUT_S + "}";
        return Files.writeString(
                Files.createTempFile("operator", ".json"),
                "{\"openai\":{\"listen\":\"127.0.0.1:" + chatAddress.getPort() + "\",\"models\":{"
                        + String.format(model, ASK_MODEL, "ask") + "," + String.format(model, SEND_MODEL, "send")
                        + "}}}");
    }

    /** Settings with promises so long that no request is refused for slow service. */
    static String withLongPromises(String settings) {
        return Conductor.withLongPromises(settings);
    }

    /** Connects to one of the fronts. */
    RawConnection client(boolean chat) throws IOException {
        return new RawConnection(address(chat));
    }

    InetSocketAddress address(boolean chat) {
        return chat ? chatAddress : conductor.address;
    }

    /** A request for a stream, of a class that may be repeated ("ask") or not ("send"). */
    static String request(boolean chat, String requestClass) {
        return chat
                ? Site.chatRequest(requestClass.equals("ask") ? ASK_MODEL : SEND_MODEL, true, "")
                : Site.request(requestClass, CHAT_TIMEOUT_S * 1000);
    }

    long attempts(List<StandIn> servers) {
        return servers.stream().mapToLong(StandIn::attempts).sum();
    }

    @Override
    public void close() throws IOException {
        conductor.close();
        discovery.close();
        for (StandIn server : readers) {
            server.close();
        }
        for (StandIn server : writers) {
            server.close();
        }
    }
}

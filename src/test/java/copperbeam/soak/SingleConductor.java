package copperbeam.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.soak.HttpConnection.Message;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** One conductor process between stand-ins, for tests that send it a few requests and have the oracle judge the whole run. */
final class SingleConductor implements AutoCloseable {
    static final long LONGEST_DEADLINE_MS = 3000;
    private static final long DEADLINE_MS = 2900; // of each request
    private static final int ANSWER_TIMEOUT_MS = 5000;
    private static final long SLACK_MS = 150;

    final SoakSite site = new SoakSite(new Random(1), null);
    private final SoakSettings settings;
    private final Lateness lateness = Lateness.start();

    /** Starts the conductor with {@code serversPerRole} readers and as many writers. */
    SingleConductor(SoakSettings settings, int serversPerRole) throws IOException, InterruptedException {
        this.settings = settings;
        site.addConductor(Files.createTempDirectory("single"), false, settings.toJson());
        for (int i = 0; i < serversPerRole; i++) {
            site.addServer(Role.READER, 0);
            site.addServer(Role.WRITER, 0);
        }
        site.start();
    }

    List<ServerStandIn> servers(Role role) {
        return site.servers.values().stream().filter(s -> s.role == role).toList();
    }

    long count(Class<? extends Observation> type) {
        return site.history.inOrder().stream().filter(type::isInstance).count();
    }

    /** Starts clients that send one request each; they end with its answer. */
    List<Thread> sendAtOnce(RequestKind kind, int requests, String name) {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            String id = name + i;
            clients.add(Daemon.start("client", () -> send(kind, id)));
        }
        return clients;
    }

    private void send(RequestKind kind, String id) throws IOException {
        ConductorProcess conductor = site.conductors.get(0);
        try (HttpConnection connection = HttpConnection.connect(conductor.address, ANSWER_TIMEOUT_MS)) {
            connection.setReadTimeout(ANSWER_TIMEOUT_MS);
            site.history.add(new Observation.Sent(System.nanoTime(), id, kind, conductor.name, DEADLINE_MS));
            connection.send(ClientDriver.requestText(id, kind, RequestKind.USUAL_TOKENS, id, DEADLINE_MS, "{}"));
            Message answer = connection.read();
            site.history.add(Observation.Answered.now(id, answer, connection));
        }
    }

    static void join(List<Thread> clients) throws InterruptedException {
        for (Thread client : clients) {
            client.join();
        }
    }

    /** Stops the conductor, which has to end before its kill, and asserts that no rule was broken since its start. */
    void stopAndJudge() throws IOException, InterruptedException {
        ConductorProcess conductor = site.conductors.get(0);
        ConductorProcess.signal(conductor.process(), "TERM");
        assertTrue(ConductorProcess.awaitEnd(conductor.process(), settings.killMs()), "ended before the kill");
        assertEquals(
                Oracle.judge(site.history.inOrder(), settings.oracleTerms(SLACK_MS + lateness.worstMs()))
                        .toString(),
                "[]");
    }

    @Override
    public void close() {
        site.close();
        lateness.close();
    }
}

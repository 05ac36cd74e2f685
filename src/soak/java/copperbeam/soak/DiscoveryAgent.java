package copperbeam.soak;

import copperbeam.soak.HttpConnection.Message;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Stand-in of the discovery service for one conductor, listening at an address of its own. */
final class DiscoveryAgent implements AutoCloseable {
    /** How calls are answered. */
    enum Mode {
        UP,
        /** No call is answered until the mode changes. */
        SILENT,
        /** Each call is answered with status 500. */
        FAILS,
        /** Each answer carries only the first half of its JSON. */
        GARBLES
    }

    private static final int POLL_MS = 10;

    private final String conductor;
    private final Fleet fleet;
    private final Function<String, String> addresses;
    private final History history;
    private final ServerSocket listener;
    volatile Mode mode = Mode.UP;

    /** {@code addresses}: gives the address of a server, by its id, for this conductor. */
    DiscoveryAgent(String conductor, Fleet fleet, Function<String, String> addresses, History history)
            throws IOException {
        this.conductor = conductor;
        this.fleet = fleet;
        this.addresses = addresses;
        this.history = history;
        listener = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Daemon.start("discovery", this::accept);
    }

    String hostAndPort() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket next = listener.accept();
            Daemon.start("discovery", () -> serve(next));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (HttpConnection connection = new HttpConnection(socket)) {
            for (Message call = connection.read(); call != null; call = connection.read()) {
                String target = call.word(1);
                boolean watch = target.contains("from=");
                long from = watch ? Long.parseLong(target.replaceAll(".*from=(\\d+).*", "$1")) : -1;
                long holdMs = watch ? Long.parseLong(target.replaceAll(".*hold_ms=(\\d+).*", "$1")) : 0;
                Map<String, Fleet.Entry> changes = fleet.changesSince(from, holdMs);
                while (mode == Mode.SILENT) {
                    Thread.sleep(POLL_MS);
                }
                answer(connection, changes, from);
            }
        }
    }

    private void answer(HttpConnection connection, Map<String, Fleet.Entry> changes, long from) throws IOException {
        if (mode == Mode.FAILS) {
            connection.sendAnswer(500, "", "");
            return;
        }
        boolean full = from < 0;
        long version =
                changes.values().stream().mapToLong(Fleet.Entry::version).max().orElse(from);
        String servers = changes.values().stream()
                .filter(e -> !full || !e.state().equals("left"))
                .map(e -> e.toJson(addresses.apply(e.id())))
                .collect(Collectors.joining(","));
        String body = "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + servers + "]}";
        connection.sendAnswer(200, "", mode == Mode.GARBLES ? body.substring(0, body.length() / 2) : body);
        if (mode != Mode.GARBLES) {
            changes.values().stream()
                    .filter(e -> !e.state().equals("active"))
                    .forEach(e -> history.add(new Observation.DrainAnnounced(System.nanoTime(), conductor, e.id())));
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}

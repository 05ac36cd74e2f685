package copperbeam.soak;

import copperbeam.soak.HttpConnection.Message;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of an etcd behind its JSON gateway, by the public description of its API: ranges, and watches from a revision. What it
 * does late, or not at all, is set from outside at any time.
 */
public final class EtcdStandIn implements AutoCloseable {
    /** How late each part of an answer is, in milliseconds. */
    public record Lateness(int head, int firstLine, int event, int list) {
        /** Nothing is late. */
        public static final Lateness NONE = new Lateness(0, 0, 0, 0);
    }

    /** How answers are written. {@code byteMs}: pause between two bytes, in milliseconds; 0 for no pauses. */
    public record Style(boolean indented, boolean newlineLate, int headPieceMs, int byteMs) {
        /** As etcd writes them. */
        public static final Style USUAL = new Style(false, false, 0, 0);
    }

    /** A change of a key. {@code value} null: it was deleted. */
    private record Change(long revision, String key, String value) {}

    private static final Pattern START_REVISION = Pattern.compile("\"start_revision\":\"(\\d+)\"");
    private static final int POLL_MS = 10;
    private static final int BREAK_DELAY_MS = 100; // time to read an event, which a reset would discard
    private static final int NEWLINE_LATE_MS = 60_000;

    private final ServerSocket listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final BiConsumer<String, String> onWritten;
    private List<Change> history = new ArrayList<>(); // guarded by this
    private long revision; // guarded by this
    private long compactedBelow; // guarded by this
    private int generation; // guarded by this; of the history
    private volatile Lateness lateness = Lateness.NONE;
    private volatile Style style = Style.USUAL;
    private volatile boolean silent;
    private volatile boolean silencesOpenConnections;
    private volatile boolean refusesLists;
    private volatile boolean refusesWatches;
    private volatile int eventsUntilBreak = Integer.MAX_VALUE;

    /** {@code onWritten}: receives each key and value that was written to a client; null for a deleted key's value. */
    public EtcdStandIn(long firstRevision, BiConsumer<String, String> onWritten) throws IOException {
        revision = firstRevision;
        this.onWritten = onWritten;
        Daemon.start("etcd", this::accept);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    // ---- the store ------------------------------------------------------------------------------

    /** Sets a key; null deletes it. */
    public synchronized void put(String key, String value) {
        history.add(new Change(++revision, key, value));
        notifyAll();
    }

    /** Forgets the changes so far, and ends the watches. */
    public synchronized void compact() throws IOException {
        compactedBelow = revision + 1;
        resetConnections();
    }

    /** Goes on from an earlier revision, without the last {@code changes}, as after a restore from a backup. */
    public synchronized void restore(int changes) throws IOException {
        int kept = Math.max(0, history.size() - changes);
        revision = kept == 0 ? 1 : history.get(kept - 1).revision();
        history = new ArrayList<>(history.subList(0, kept));
        generation++;
        resetConnections();
    }

    // ---- troubles -------------------------------------------------------------------------------

    /** Sets how late calls and events are from now on. */
    public void setLateness(Lateness newLateness) {
        lateness = newLateness;
    }

    /** Sets how answers are written from now on. */
    public void setStyle(Style newStyle) {
        style = newStyle;
    }

    /** While silent, no call gets a byte, nor do calls that were open then, for good. */
    public void setSilent(boolean isSilent) {
        silent = isSilent;
        if (isSilent) {
            silenceOpenConnections();
        }
    }

    /** Nothing more comes on the connections that are open now. */
    public synchronized void silenceOpenConnections() {
        silencesOpenConnections = true;
        connections.clear();
    }

    /** Answers calls of a kind with status 503. */
    public void refuse(boolean lists, boolean watches) throws IOException {
        refusesLists = lists;
        refusesWatches = watches;
        resetConnections();
    }

    /** Resets the connection of a watch after so many further events. */
    public void breakWatchAfter(int events) {
        eventsUntilBreak = events;
    }

    /** Resets all connections. */
    public void resetConnections() throws IOException {
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
        connections.clear();
    }

    // ---- the gateway ----------------------------------------------------------------------------

    private void accept() throws IOException {
        while (true) {
            Socket next = listener.accept();
            connections.add(next);
            Daemon.start("etcd", () -> serve(next));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (HttpConnection connection = new HttpConnection(socket)) {
            for (Message call = connection.read(); call != null; call = connection.read()) {
                awaitVoice(socket);
                boolean isList = call.word(1).equals("/v3/kv/range");
                if (isList ? refusesLists : refusesWatches) {
                    connection.sendAnswer(503, "", "");
                } else if (isList) {
                    answerList(connection);
                } else {
                    Matcher start = START_REVISION.matcher(call.body());
                    answerWatch(connection, start.find() ? Long.parseLong(start.group(1)) : 0);
                    return;
                }
            }
        } finally {
            connections.remove(socket);
        }
    }

    /** Waits for good if the connection has been silenced. */
    private void awaitVoice(Socket socket) throws InterruptedException {
        while (silent || silencesOpenConnections && !connections.contains(socket)) {
            Thread.sleep(POLL_MS);
        }
    }

    private void answerList(HttpConnection connection) throws IOException, InterruptedException {
        Thread.sleep(lateness.list());
        awaitVoice(connection.socket);
        Map<String, Change> latest = new TreeMap<>();
        String header;
        synchronized (this) {
            history.forEach(change -> latest.put(change.key(), change));
            header = header();
        }
        latest.values().removeIf(change -> change.value() == null);
        List<String> keyValues =
                latest.values().stream().map(EtcdStandIn::keyValue).toList();
        sendHead(connection);
        sendObject(
                connection,
                "{" + header + ",\"kvs\":[" + String.join(",", keyValues) + "],\"count\":\"" + keyValues.size()
                        + "\"}");
        connection.sendChunk("");
        latest.values().forEach(change -> onWritten.accept(change.key(), change.value()));
    }

    private void answerWatch(HttpConnection connection, long fromRevision) throws IOException, InterruptedException {
        Thread.sleep(lateness.head());
        awaitVoice(connection.socket);
        sendHead(connection);
        Thread.sleep(lateness.firstLine());
        awaitVoice(connection.socket);
        int startGeneration;
        String created;
        boolean isCompacted;
        synchronized (this) {
            startGeneration = generation;
            isCompacted = fromRevision < compactedBelow;
            created = "{\"result\":{" + header() + ",\"created\":true}}" + (isCompacted ? "\n" + canceled() : "");
        }
        sendLine(connection, created);
        if (isCompacted) {
            connection.read(); // the stream stays open, without events
            return;
        }
        long next = fromRevision;
        while (true) {
            Change change = awaitChange(next, startGeneration);
            next = change.revision() + 1;
            Thread.sleep(lateness.event());
            awaitVoice(connection.socket);
            sendLine(connection, eventLine(change));
            onWritten.accept(change.key(), change.value());
            if (--eventsUntilBreak <= 0) {
                eventsUntilBreak = Integer.MAX_VALUE;
                Thread.sleep(BREAK_DELAY_MS);
                connection.reset();
                return;
            }
        }
    }

    private synchronized Change awaitChange(long fromRevision, int startGeneration) throws InterruptedException {
        while (true) {
            for (Change change : generation == startGeneration ? history : List.<Change>of()) {
                if (change.revision() >= fromRevision) {
                    return change;
                }
            }
            wait();
        }
    }

    private synchronized String canceled() {
        return "{\"result\":{" + header() + ",\"canceled\":true,\"compact_revision\":\"" + compactedBelow + "\"}}";
    }

    private synchronized String eventLine(Change change) {
        String type = change.value() == null ? "\"type\":\"DELETE\"," : "";
        return "{\"result\":{" + header() + ",\"events\":[{" + type + "\"kv\":" + keyValue(change) + "}]}}";
    }

    /** The revision is that of the whole store, which may be ahead of the events that are sent. */
    private synchronized String header() {
        return "\"header\":{\"cluster_id\":\"1\",\"member_id\":\"2\",\"revision\":\"" + revision
                + "\",\"raft_term\":\"3\"}";
    }

    private static String keyValue(Change change) {
        String value = change.value() == null ? "" : ",\"value\":\"" + base64(change.value()) + "\"";
        return "{\"key\":\"" + base64(change.key()) + "\",\"mod_revision\":\"" + change.revision() + "\"" + value + "}";
    }

    private static String base64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    // ---- writing --------------------------------------------------------------------------------

    private void sendHead(HttpConnection connection) throws IOException, InterruptedException {
        String[] pieces = {
            "HTTP/1.1 200 OK\r\n", "Content-Type: application/json\r\n", "Transfer-Encoding: chunked\r\n\r\n"
        };
        for (String piece : pieces) {
            connection.send(piece);
            Thread.sleep(style.headPieceMs());
        }
    }

    private void sendLine(HttpConnection connection, String line) throws IOException, InterruptedException {
        sendObject(connection, line);
        Thread.sleep(style.newlineLate() ? NEWLINE_LATE_MS : 0);
        connection.sendChunk("\n");
    }

    private void sendObject(HttpConnection connection, String object) throws IOException, InterruptedException {
        String text = style.indented() ? object.replaceAll("([{\\[,])\"", "$1\r\n    \"") : object;
        if (style.byteMs() == 0) {
            connection.sendChunk(text);
            return;
        }
        for (char character : text.toCharArray()) {
            connection.sendChunk(String.valueOf(character));
            Thread.sleep(style.byteMs());
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        resetConnections();
    }
}

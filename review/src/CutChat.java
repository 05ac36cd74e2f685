import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: a planned restart while streams of the chat API run that end before the kill. */
final class CutChat {
    private static final int STREAMS = 12;
    private static final int KILL_AFTER_MS = 3700; // the longest deadline, counted as 3 s, and 0.7 s

    public static void main(String[] args) throws Exception {
        Stand.main(args, (root, record, parts) -> {
            Stand.Discovery discovery = new Stand.Discovery();
            parts.add(discovery);
            Stand.Work work = new Stand.Work();
            work.events = 14; // 56 tokens, one event for each four
            work.gapMs = 240;
            for (int i = 0; i < 4; i++) {
                Stand.Server server = new Stand.Server("s-" + i, i < 2, record, work);
                parts.add(server);
                discovery.put(server.id, server.entry("active"));
            }
            Stand.Conductor conductor = new Stand.Conductor(root, record);
            parts.add(conductor);
            int chatPort = Stand.freePort();
            conductor.start(
                    Stand.settings(2, true),
                    discovery.address(),
                    "{\"openai\":{\"listen\":\"127.0.0.1:" + chatPort + "\",\"models\":{"
                            + "\"alumni-ask\":{\"class\":\"ask\",\"timeout_s\":6,\"max_tokens\":500},"
                            + "\"alumni-send\":{\"class\":\"send\",\"timeout_s\":15,\"max_tokens\":400}}}}");
            if (!conductor.awaitReady()) {
                return 2;
            }
            Thread.sleep(1500);
            AtomicInteger cut = new AtomicInteger();
            AtomicInteger whole = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int n = 0; n < STREAMS; n++) {
                int number = n;
                clients.add(Stand.daemon(() -> chat(chatPort, number, cut, whole, record)));
                Thread.sleep(20);
            }
            Thread.sleep(100);
            if (Stand.TROUBLE) {
                conductor.signal("TERM");
                boolean ended = conductor.awaitEnd(KILL_AFTER_MS);
                record.note(ended ? "the conductor has ended by itself" : "SIGKILL is due");
                if (!ended) {
                    conductor.signal("KILL");
                }
            }
            for (Thread client : clients) {
                client.join(10_000);
            }
            record.note(whole + " streams whole, " + cut + " cut off by the conductor while their events came");
            return cut.get() > 0 ? 1 : whole.get() == STREAMS ? 0 : 2;
        });
    }

    private static void chat(int port, int number, AtomicInteger cut, AtomicInteger whole, Stand.Record record) {
        String body = "{\"model\":\"" + (number % 3 == 0 ? "alumni-send" : "alumni-ask") + "\",\"stream\":true,"
                + "\"max_tokens\":100,\"messages\":[{\"role\":\"user\",\"content\":\"question " + number + "\"}]}";
        long begun = record.now();
        long lastEvent = begun;
        boolean started = false;
        String end;
        try (Stand.Client client = new Stand.Client(port)) {
            Stand.Message head = client.call(
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: "
                            + body.length() + "\r\n\r\n" + body,
                    10_000);
            end = "status " + head.status();
            if (head.status() == 200) {
                started = true;
                String text = "";
                for (String line = Stand.line(client.in); line != null; line = Stand.line(client.in)) {
                    if (line.startsWith("data: {\"id\"")) {
                        lastEvent = record.now();
                    }
                    text += line + "\n";
                    if (line.equals("0")) {
                        break;
                    }
                }
                if (text.contains("data: [DONE]") && text.endsWith("\n0\n")) {
                    whole.incrementAndGet();
                    end += ", whole";
                } else {
                    cut.incrementAndGet();
                    end += ", CUT OFF, its last event came " + (record.now() - lastEvent) + " ms before";
                }
            }
        } catch (IOException e) {
            end = e.toString();
            cut.addAndGet(started ? 1 : 0);
        }
        record.note("chat request " + number + " after " + (record.now() - begun) + " ms: " + end);
    }
}

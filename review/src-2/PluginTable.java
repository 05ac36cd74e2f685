import java.io.ByteArrayOutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A plug-in that exhausts the memory by a table far larger than all the memory that it may have. */
final class PluginTable {
    private static final int MEMORY_MB = 96; // halved
    private static final int SOCKETS = 512; // halved
    private static final int ENTRIES = 2_850_000;
    private static final int CLIENTS = 100;
    private static final int PROMPT_TOKENS = 50_000; // 200 KB
    private static final int TIME_MS = 6000; // X-Timeout
    private static final int LATE_MS = 500 + 1000; // later than that an answer is lost; and slack for a busy machine
    private static final int END_MS = 20_000;

    private static final String TYPES = "01 0a 01 60 06 7f 7f 7f 7f 7e 7e 01 7f";
    private static final String FUNCTIONS = "03 02 01 00";
    private static final String EXPORTS = "07 0e 01 0a 6f 6e 5f 72 65 71 75 65 73 74 00 00"; // on_request
    private static final String CODE = "0a 06 01 04 00 41 00 0b"; // which returns 0

    /** A plug-in that lets each request pass, with a table of so many functions, none of which is set. */
    private static byte[] module(int entries) {
        String size = unsignedLeb(entries);
        String table = String.format("04 %02x 01 70 00 ", 3 + size.split(" ").length) + size;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (String b : String.join(" ", "00 61 73 6d 01 00 00 00", TYPES, FUNCTIONS, table, EXPORTS, CODE).split(" ")) {
            bytes.write(Integer.parseInt(b, 16));
        }
        return bytes.toByteArray();
    }

    private static String unsignedLeb(int value) {
        StringBuilder text = new StringBuilder();
        int rest = value;
        for (; rest > 0x7f; rest >>= 7) {
            text.append(String.format("%02x ", rest & 0x7f | 0x80));
        }
        return text.append(String.format("%02x", rest)).toString();
    }

    private static boolean isRuleBroken(Rig rig) throws Exception {
        Rig.ModelServer reader = rig.new ModelServer("s-r1", true);
        Rig.ModelServer writer = rig.new ModelServer("s-w1", false);
        Rig.ModelServer writer2 = rig.new ModelServer("s-w2", false);
        Rig.Discovery discovery = rig.new Discovery(List.of(reader, writer, writer2));
        int port = Rig.freePort();
        Path operator = rig.temp.resolve("operator.json");
        Files.write(rig.temp.resolve("plugin.wasm"), module(Rig.TROUBLE ? ENTRIES : 1));
        Files.writeString(operator, "{\"plugins\":[{\"file\":\"plugin.wasm\",\"time_ms\":5,\"memory_pages\":16}]}");
        Rig.Conductor conductor = rig.new Conductor("n1", port,
                Rig.config("n1", port, discovery.address(), MEMORY_MB, SOCKETS, Rig.settings(false, 6, 15)),
                " --operator " + operator);
        conductor.start();
        conductor.awaitReady(port);
        long begin = rig.ms();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            clients[i] = Rig.start("client", () -> {
                while (rig.ms() < begin + END_MS) {
                    int n = sent.incrementAndGet();
                    Rig.Seen seen = rig.call(port,
                            Rig.platformRequest("q" + n, n % 3 == 0 ? "send" : "ask", TIME_MS, PROMPT_TOKENS, null, PROMPT_TOKENS),
                            TIME_MS + LATE_MS);
                    rig.note("q" + n + ": " + seen);
                    served.addAndGet(seen.served() ? 1 : 0);
                    lost.addAndGet(seen.silent() ? 1 : 0);
                    Rig.sleep(500);
                }
            });
        }
        for (Thread client : clients) {
            client.join();
        }
        String result = served + " of " + sent + " served, " + lost + " without an answer; the process "
                + (conductor.process.isAlive() ? "runs" : "has ended");
        rig.note(result);
        System.out.println(result);
        if (served.get() == 0 && lost.get() == 0) {
            throw new IllegalStateException("nothing was served");
        }
        return lost.get() > 0 || !conductor.process.isAlive();
    }

    public static void main(String[] args) {
        Rig.run(args[0], PluginTable::isRuleBroken);
    }
}

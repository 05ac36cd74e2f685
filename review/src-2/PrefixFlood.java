import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients name ever new prefixes of almost a header line's length, and send each again when they are turned away. */
final class PrefixFlood {
    private static final int MEMORY_MB = 96; // halved
    private static final int SOCKETS = 512; // halved
    private static final int CLIENTS = 20; // each with a request in each half second at most
    private static final int PROMPT_TOKENS = 5120;
    private static final int TIME_MS = 6000; // X-Timeout of the usual clients
    private static final int LATE_MS = 500 + 1000; // later than that an answer is lost; and slack for a busy machine
    private static final int BAD_CLIENTS = 8;
    private static final int PREFIX_CHARS = 7900; // a header line may have 8 KiB
    private static final int CALM_MS = 3000;
    private static final int BAD_MS = 12_000;
    private static final int END_MS = 32_000;

    private static boolean isRuleBroken(Rig rig) throws Exception {
        Rig.ModelServer reader = rig.new ModelServer("s-r1", true);
        Rig.ModelServer writer = rig.new ModelServer("s-w1", false);
        Rig.ModelServer writer2 = rig.new ModelServer("s-w2", false);
        Rig.Discovery discovery = rig.new Discovery(List.of(reader, writer, writer2));
        int port = Rig.freePort();
        Rig.Conductor conductor = rig.new Conductor("n1", port,
                Rig.config("n1", port, discovery.address(), MEMORY_MB, SOCKETS, Rig.settings(false, 6, 15)), "");
        conductor.start();
        conductor.awaitReady(port);
        long begin = rig.ms();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger lostAfterwards = new AtomicInteger();
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            clients[i] = Rig.start("client", () -> {
                while (rig.ms() < begin + END_MS) {
                    int n = sent.incrementAndGet();
                    long at = rig.ms();
                    Rig.Seen seen = rig.call(port,
                            Rig.platformRequest("q" + n, n % 3 == 0 ? "send" : "ask", TIME_MS, PROMPT_TOKENS, null, PROMPT_TOKENS),
                            TIME_MS + LATE_MS);
                    rig.note("q" + n + ": " + seen);
                    served.addAndGet(seen.served() ? 1 : 0);
                    if (seen.silent()) {
                        lost.incrementAndGet();
                        lostAfterwards.addAndGet(at > begin + CALM_MS + BAD_MS + 2000 ? 1 : 0);
                    }
                    Rig.sleep(500);
                }
            });
        }
        AtomicInteger bad = new AtomicInteger();
        AtomicInteger prefixes = new AtomicInteger();
        for (int i = 0; i < BAD_CLIENTS && Rig.TROUBLE; i++) {
            Rig.start("bad client", () -> {
                Rig.sleep(CALM_MS);
                while (rig.ms() < begin + CALM_MS + BAD_MS) {
                    try (Socket socket = new Socket()) {
                        socket.connect(new InetSocketAddress(Rig.HOST, port), 1000);
                        socket.setSoTimeout(3000);
                        flood(socket, prefixes, bad, rig, begin + CALM_MS + BAD_MS);
                    } catch (IOException e) {
                        rig.note("a bad client: " + e);
                        Rig.sleep(100);
                    }
                }
            });
        }
        for (Thread client : clients) {
            client.join();
        }
        String result = served + " of " + sent + " served, " + lost + " without an answer, of which " + lostAfterwards
                + " were sent 2 s after the last bad request or later; " + bad + " bad requests answered; the process "
                + (conductor.process.isAlive() ? "runs" : "has ended");
        rig.note(result);
        System.out.println(result);
        if (served.get() == 0 && lost.get() == 0) {
            throw new IllegalStateException("nothing was served");
        }
        return lost.get() > 0 || !conductor.process.isAlive();
    }

    private static void flood(Socket socket, AtomicInteger prefixes, AtomicInteger bad, Rig rig, long until)
            throws IOException {
        BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
        while (rig.ms() < until) {
            int n = prefixes.incrementAndGet();
            // one letter that is not Latin makes the JVM keep two bytes for each
            String prefix = n + "x".repeat(PREFIX_CHARS) + "\u0436";
            for (int i = 0; i < 2; i++) {
                Rig.send(socket, Rig.platformRequest("bad" + n + "-" + i, "ask", 60, 100, prefix, 1));
                Rig.Message.read(in);
                bad.incrementAndGet();
            }
        }
    }

    public static void main(String[] args) {
        Rig.run(args[0], PrefixFlood::isRuleBroken);
    }
}

import java.util.List;

/** A planned restart while a long answer streams, and a platform that waits for its end. */
final class StopLong {
    private static final int EVENTS = 800; // one a token: max_tokens of the request
    private static final int EVENT_MS = 80; // the aim of the class for a token
    private static final int KILL_MS = 80_000; // after SIGTERM

    private static boolean isRuleBroken(Rig rig) throws Exception {
        Rig.ModelServer reader = rig.new ModelServer("s-r1", true);
        Rig.ModelServer writer = rig.new ModelServer("s-w1", false);
        writer.events = EVENTS;
        writer.eventMs = EVENT_MS;
        Rig.Discovery discovery = rig.new Discovery(List.of(reader, writer));
        int port = Rig.freePort();
        Rig.Conductor conductor = rig.new Conductor("n1", port,
                Rig.config("n1", port, discovery.address(), 192, 1024, Rig.settings(false, 6, 15)), "");
        conductor.start();
        conductor.awaitReady(port);
        Rig.Seen[] seen = new Rig.Seen[1];
        Thread client = Rig.start("client", () -> seen[0] = rig.call(port, Rig.platformRequest("q1", "send", 6000), 8000));
        Rig.sleep(1000);
        long stoppedAt = rig.ms();
        if (Rig.TROUBLE) {
            conductor.terminate();
            Rig.start("exit", () -> {
                conductor.process.waitFor();
                rig.note("n1: ended with " + conductor.process.exitValue() + " " + (rig.ms() - stoppedAt) + " ms after SIGTERM");
            });
        }
        client.join(KILL_MS);
        Rig.sleep(300);
        rig.note("q1: " + seen[0]);
        System.out.println("q1: " + seen[0]);
        if (seen[0] == null || seen[0].answer() == null || seen[0].answer().status() != 200 || writer.ran.isEmpty()) {
            throw new IllegalStateException("no stream began, or it has no end");
        }
        return !seen[0].served();
    }

    public static void main(String[] args) {
        Rig.run(args[0], StopLong::isRuleBroken);
    }
}

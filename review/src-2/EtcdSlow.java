import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** An etcd that is slow to answer new calls, while a writer begins to drain. */
final class EtcdSlow {
    private static final int DELAY_MS = 3500;
    private static final int TOLD_MS = 6000; // a change counts as told by then, whether or not it arrived
    private static final int GRACE_MS = 1000 + 50;
    private static final int SLACK_MS = 500; // for a busy machine
    private static final int DRAIN_AT_MS = 10_000;
    private static final int WATCHED_MS = 12_000; // after the bound

    private static boolean isRuleBroken(Rig rig) throws Exception {
        Rig.ModelServer reader = rig.new ModelServer("s-r1", true);
        Rig.ModelServer writer = rig.new ModelServer("s-w1", false);
        Rig.ModelServer writer2 = rig.new ModelServer("s-w2", false);
        Etcd etcd = new Etcd(rig);
        for (Rig.ModelServer server : List.of(reader, writer, writer2)) {
            etcd.put(server, "active");
        }
        int port = Rig.freePort();
        Path operator = rig.temp.resolve("operator.json");
        Files.writeString(operator, "{\"etcd\":{\"endpoint\":\"" + etcd.listener.address() + "\",\"prefix\":\""
                + Etcd.PREFIX + "\"}}");
        Rig.Conductor conductor = rig.new Conductor("n1", port,
                Rig.config("n1", port, etcd.listener.address(), 192, 1024, Rig.settings(true, 6, 15)),
                " --operator " + operator);
        conductor.start();
        conductor.awaitReady(port);
        long drainAt = rig.ms() + DRAIN_AT_MS;
        long bound = drainAt + TOLD_MS + GRACE_MS + SLACK_MS;
        Rig.start("trouble", () -> {
            Rig.sleep(DRAIN_AT_MS / 2);
            if (Rig.TROUBLE) {
                rig.note("etcd: begins to answer each further call after " + DELAY_MS + " ms");
                etcd.delayMs = DELAY_MS;
            }
            Rig.sleep(drainAt - rig.ms());
            etcd.put(writer, "leaving");
        });
        int served = 0;
        int sent = 0;
        for (; rig.ms() < bound + WATCHED_MS; sent++) {
            Rig.Seen seen = rig.call(port, Rig.platformRequest("q" + sent, "ask", 6000), 8000);
            rig.note("q" + sent + ": " + seen);
            served += seen.served() ? 1 : 0;
        }
        long late = writer.arrivals.stream().filter(at -> at > bound).count();
        String result = served + " of " + sent + " served; s-w1 drains from " + drainAt + " ms on; after " + bound
                + " ms it got " + late + " requests, s-w2 "
                + writer2.arrivals.stream().filter(at -> at > bound).count();
        rig.note(result);
        System.out.println(result);
        if (served == 0) {
            throw new IllegalStateException("nothing was served");
        }
        return late > 0;
    }

    public static void main(String[] args) {
        Rig.run(args[0], EtcdSlow::isRuleBroken);
    }
}

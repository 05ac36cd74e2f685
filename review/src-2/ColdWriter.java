import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One request of a bad client that tells a huge length, and 15 s later a release: a writer comes back cold. */
final class ColdWriter {
    private static final int PER_SECOND = 60;
    private static final double WARM_PER_SECOND = PER_SECOND / 2 / 0.8; // a warm writer; in calm it is loaded to 0.8
    private static final double COLD_FROM = 0.28;
    private static final double WARM_WITHIN_MS = 13_000;
    private static final double FALL_MULTIPLE = 3;
    private static final int FALL_MS = 2000;
    private static final int BAD_AT_MS = 5000;
    private static final int CALM_MS = 20_000;
    private static final int DRAIN_MS = 1500; // of the writer that is then started anew

    private static boolean isRuleBroken(Rig rig) throws Exception {
        Rig.ModelServer reader = rig.new ModelServer("s-r1", true);
        Rig.ModelServer reader2 = rig.new ModelServer("s-r2", true);
        Rig.ModelServer writer = rig.new ModelServer("s-w1", false);
        Rig.ModelServer writer2 = rig.new ModelServer("s-w2", false);
        Rig.Discovery discovery = rig.new Discovery(List.of(reader, reader2, writer, writer2));
        int port = Rig.freePort();
        Rig.Conductor conductor = rig.new Conductor("n1", port,
                Rig.config("n1", port, discovery.address(), 192, 1024, Rig.settings(false, 6, 15)), "");
        conductor.start();
        conductor.awaitReady(port);
        long begin = rig.ms();
        if (Rig.TROUBLE) {
            Rig.start("bad client", () -> {
                Rig.sleep(BAD_AT_MS);
                rig.note("bad client: " + rig.call(port,
                        Rig.platformRequest("bad", "ask", 60, 999_999_999_999_999L, null, 1), 5000));
            });
        }
        long[] coldAt = {Long.MAX_VALUE};
        Rig.start("release", () -> {
            Rig.sleep(CALM_MS - DRAIN_MS);
            discovery.set(writer2, "leaving");
            Rig.sleep(DRAIN_MS);
            writer2.startedMs = System.currentTimeMillis();
            coldAt[0] = rig.ms();
            discovery.set(writer2, "active");
            rig.note("s-w2 has started anew");
            discovery.set(writer, "leaving");
        });
        Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();
        for (int n = 0; rig.ms() < begin + CALM_MS + 6000; n++) {
            String id = "q" + n;
            String requestClass = n % 3 == 0 ? "send" : "ask";
            Rig.start("client", () -> {
                Rig.Seen seen = rig.call(port, Rig.platformRequest(id, requestClass, 3000), 8000);
                rig.note(id + ": " + seen);
                String end = seen.answer() == null ? "none" : seen.answer().status() + (seen.answer().whole() ? "" : " broken");
                ends.computeIfAbsent(end, e -> new AtomicInteger()).incrementAndGet();
            });
            Rig.sleep(Math.max(0, begin + (n + 1) * 1000L / PER_SECOND - rig.ms()));
        }
        Rig.sleep(3000);
        List<Long> arrivals = writer2.arrivals.stream().filter(at -> at >= coldAt[0]).toList();
        double worst = 0;
        String worstWindow = "none";
        for (long from : arrivals) {
            long count = arrivals.stream().filter(at -> at >= from && at < from + FALL_MS).count();
            // the capacity at the window's end, if the writer warms up evenly
            double warm = Math.min(1, (from + FALL_MS - coldAt[0]) / WARM_WITHIN_MS);
            double allowed = FALL_MULTIPLE * (COLD_FROM + (1 - COLD_FROM) * warm) * WARM_PER_SECOND * FALL_MS / 1000;
            double limit = allowed + 2 * Math.sqrt(allowed) + 2;
            if (count / limit > worst) {
                worst = count / limit;
                worstWindow = String.format("%d requests in %d ms from %d ms after its start on; N is %.0f, the limit %.0f",
                        count, FALL_MS, from - coldAt[0], allowed, limit);
            }
        }
        rig.note("the cold writer's fullest window: " + worstWindow + "; ends: " + new TreeMap<>(ends));
        System.out.println("the cold writer's fullest window: " + worstWindow + "; ends: " + new TreeMap<>(ends));
        if (!ends.containsKey("200") || arrivals.isEmpty()) {
            throw new IllegalStateException("nothing was served");
        }
        return worst > 1;
    }

    public static void main(String[] args) {
        Rig.run(args[0], ColdWriter::isRuleBroken);
    }
}

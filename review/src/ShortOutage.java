import java.util.ArrayList;
import java.util.List;

/** Case: discovery is down for two seconds, just after a watch was opened; servers begin to drain meanwhile. */
final class ShortOutage {
    private static final int OUTAGE_MS = Integer.getInteger("outage", 2000);
    private static final int DRAIN_GRACE_MS = 1000 + 50;

    public static void main(String[] args) throws Exception {
        Stand.main(args, (root, record, parts) -> {
            Stand.Discovery discovery = new Stand.Discovery();
            parts.add(discovery);
            Stand.Work work = new Stand.Work();
            work.events = 5;
            work.gapMs = 60;
            List<Stand.Server> servers = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                Stand.Server server = new Stand.Server("s-" + i, i % 2 == 0, record, work);
                parts.add(server);
                servers.add(server);
                discovery.put(server.id, server.entry("active"));
            }
            Stand.Conductor conductor = new Stand.Conductor(root, record);
            parts.add(conductor);
            conductor.start(Stand.settings(2, true), discovery.address(), null);
            if (!conductor.awaitReady()) {
                return 2;
            }
            Stand.daemon(() -> {
                for (int n = 0; ; n++) {
                    int number = n;
                    Stand.daemon(() -> ask(conductor.port, number));
                    Thread.sleep(50);
                }
            });
            Thread.sleep(5000);
            if (Stand.TROUBLE) {
                discovery.awaitWatch();
                discovery.beginOutage();
                record.note("discovery is down: its agent is silent");
                Thread.sleep(OUTAGE_MS);
            }
            List<Stand.Server> draining = servers.subList(0, 6); // three readers and three writers of twelve servers
            for (Stand.Server server : draining) {
                discovery.put(server.id, server.entry("leaving"));
            }
            discovery.endOutage();
            long told = record.now();
            record.note("discovery is there; the agent has the drain of s-0 to s-5");
            Thread.sleep(8000);
            long bound = told + DRAIN_GRACE_MS;
            int late = 0;
            int inTime = 0;
            for (Stand.Server server : draining) {
                List<Long> after = server.attemptsAt.stream().filter(at -> at > bound).toList();
                record.note(server.id + ": " + (server.attemptsAt.size() - after.size()) + " attempts up to " + bound
                        + " ms, later ones at " + after.stream().map(at -> "+" + (at - told)).toList());
                late += after.size();
                inTime += server.attemptsAt.size() - after.size();
            }
            record.note(late + " attempts at draining servers more than " + DRAIN_GRACE_MS + " ms after the drain was told");
            return late > 0 ? 1 : inTime > 0 ? 0 : 2; // without attempts before it, the case tells nothing
        });
    }

    private static void ask(int port, int number) throws Exception {
        String id = String.format("%016x", 0x9b1f03aa00000000L + number);
        try (Stand.Client client = new Stand.Client(port)) {
            Stand.Message head = client.call(Stand.request(id, "ask", 6000, "", "word ".repeat(80)), 10_000);
            if (head.status() == 200) {
                client.chunks();
            }
        }
    }
}

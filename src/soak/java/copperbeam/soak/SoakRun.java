package copperbeam.soak;

import copperbeam.soak.ServerStandIn.Behavior;
import copperbeam.soak.TroublePlan.Trouble;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;

/**
 * One run of the soak, determined by its seed: conductor processes between stand-ins of clients, servers and discovery, with the
 * injected faults ("troubles") of a {@link TroublePlan}, judged by the {@link Oracle}.
 */
public final class SoakRun implements AutoCloseable {
    /** Where conductors read the server list. */
    public enum ListSource {
        DISCOVERY,
        /** An etcd that is in one trouble after another. */
        ETCD
    }

    /**
     * Number of parties and length of a run. {@code defect}: a defect that is injected on purpose to check that the oracle finds
     * it, or null.
     */
    public record Size(
            int conductors,
            int clients,
            int readers,
            int writers,
            long lengthMs,
            Defect defect,
            ListSource listSource) {
        /** With the list from discovery. */
        public Size(int conductors, int clients, int readers, int writers, long lengthMs, Defect defect) {
            this(conductors, clients, readers, writers, lengthMs, defect, ListSource.DISCOVERY);
        }
    }

    /** A deliberate defect: the proxies alter what conductors send to servers, which the oracle must detect. */
    public enum Defect {
        /** The remaining time announced to servers is too long: a 2 is put before its digits (300 ms become 2300 ms). */
        OVERSTATED_DEADLINE(Behavior.HEALTHY, text -> text.replaceAll("X-Timeout: (\\d+)m", "X-Timeout: 2$1m")),
        /** Releases of read states name another request. */
        MISPLACED_RELEASES(Behavior.REFUSES, text -> text.replace("DELETE /state/", "DELETE /state/x")),
        /** Requests reach servers under an id other than the client's. */
        CHANGED_REQUEST_IDS(Behavior.HEALTHY, text -> text.replace("X-Request-ID: ", "X-Request-ID: other-"));

        private final Behavior writerBehavior; // makes writers behave so that the defect has an effect
        private final UnaryOperator<String> requestChange;

        Defect(Behavior writerBehavior, UnaryOperator<String> requestChange) {
            this.writerBehavior = writerBehavior;
            this.requestChange = requestChange;
        }
    }

    // tolerance of the oracle: with ten JVMs on one machine events are seen late
    private static final long SLACK_MS = 150;
    private static final int FALSE_LENGTHS_INTERVAL = 8; // every 8th client tells false lengths
    // the first letter of a client's name, and so of its requests' ids
    private static final String USUAL_CLIENT = "r";
    private static final String FALSE_LENGTHS_CLIENT = "f";
    private static final int CROWD_SEED_INTERVAL = 4; // in every 4th seed there are idle clients throughout
    // in every 6th seed one class is heavy, and all servers restart together
    private static final int UNEVEN_SEED_INTERVAL = 6;
    private static final int UNEVEN_SEED_REMAINDER = 2;
    // in every 4th seed writers have writes wait, and connections to some servers are lossy
    private static final int SLOW_WRITERS_SEED_INTERVAL = 4;
    // in every 3rd seed writers spoil some of their streams and write some slowly
    private static final int ODD_STREAMS_SEED_INTERVAL = 3;
    private static final int ODD_STREAM_INTERVAL = 12;
    // idle clients per conductor: more than it has file descriptors for
    private static final int IDLE_CLIENTS = 400;
    private static final long EVIDENCE_MARGIN_NS =
            2_000_000_000L; // evidence includes troubles this long before and after

    private final long seed;
    private final Size size;
    private final Random random;
    private final boolean slowWriters;
    private final SoakSettings settings;
    private final SoakSite site;
    private final AtomicBoolean finished = new AtomicBoolean();
    private final Lateness lateness = Lateness.start();
    private final Map<String, ConductorLife> conductorLives = new HashMap<>(); // by the conductor's name

    /** {@code folder}: where the processes keep their logs and recordings. */
    public SoakRun(long seed, Size size, Path folder) throws IOException {
        this.seed = seed;
        this.size = size;
        random = new Random(seed);
        slowWriters = seed % SLOW_WRITERS_SEED_INTERVAL == 0
                && seed % UNEVEN_SEED_INTERVAL != UNEVEN_SEED_REMAINDER
                && size.defect() == null;
        settings = size.defect() == null ? drawSettings() : SoakSettings.defaults(size.conductors(), seed % 2 == 0);
        site = new SoakSite(new Random(random.nextLong()), size.defect() == null ? null : size.defect().requestChange);
        for (int i = 0; i < size.conductors(); i++) {
            ConductorProcess conductor = site.addConductor(folder, i % 2 == 1, settings.toJson());
            conductorLives.put(conductor.name, new ConductorLife(conductor, site, settings.killMs()));
        }
        site.setWriterBehavior(
                size.defect() != null
                        ? size.defect().writerBehavior
                        : slowWriters ? Behavior.QUEUES : Behavior.HEALTHY);
        if (seed % ODD_STREAMS_SEED_INTERVAL == 0 && size.defect() == null) {
            site.setOddStreamInterval(ODD_STREAM_INTERVAL);
        }
        for (int i = 0; i < size.readers() + size.writers(); i++) {
            site.addServer(i < size.readers() ? Role.READER : Role.WRITER, 0);
        }
    }

    private SoakSettings drawSettings() {
        boolean streamsResume = seed % 2 == 0;
        if (seed % UNEVEN_SEED_INTERVAL == UNEVEN_SEED_REMAINDER) {
            return SoakSettings.uneven(size.conductors(), streamsResume);
        }
        return slowWriters
                ? SoakSettings.drawReleaseTime(random, size.conductors(), streamsResume)
                : SoakSettings.draw(random, size.conductors(), streamsResume);
    }

    private TroublePlan drawPlan() {
        if (settings.uneven()) {
            return TroublePlan.drawAfterRestart(random, size.lengthMs(), settings.warmWithinMs());
        }
        return slowWriters
                ? TroublePlan.drawWithLosses(random, size.lengthMs())
                : TroublePlan.draw(random, size.lengthMs());
    }

    /** Executes the run and returns the rules that were broken. */
    public List<Violation> execute() throws IOException, InterruptedException {
        if (size.listSource() == ListSource.ETCD) {
            site.useEtcd(seed);
        }
        site.start();
        TroublePlan plan = drawPlan();
        site.startEtcdTroubles(settings.uneven() ? TroublePlan.warmFromMs(settings.warmWithinMs()) : 0);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < size.clients(); i++) {
            boolean tellsFalseLengths =
                    size.defect() == null && i % FALSE_LENGTHS_INTERVAL == FALSE_LENGTHS_INTERVAL - 1;
            ClientDriver client = new ClientDriver(
                    (tellsFalseLengths ? FALSE_LENGTHS_CLIENT : USUAL_CLIENT) + seed + "-" + i,
                    tellsFalseLengths,
                    site.conductors,
                    settings,
                    site.history,
                    new Random(random.nextLong()),
                    finished);
            clients.add(Daemon.start("client", client::run));
        }
        if (seed % CROWD_SEED_INTERVAL == 1 && size.defect() == null) {
            site.conductors.forEach(
                    c -> Daemon.start("crowd", () -> new IdleClients(c, IDLE_CLIENTS).keepConnecting(finished::get)));
        }
        TroubleInjector injector = new TroubleInjector(site, conductorLives);
        long startNs = System.nanoTime();
        List<Thread> injections = new ArrayList<>();
        for (Trouble trouble : plan.troubles()) {
            sleepUntil(startNs, trouble.fromMs());
            injections.add(Daemon.start("trouble", () -> injector.carryOut(trouble)));
        }
        sleepUntil(startNs, size.lengthMs());
        for (Thread thread : injections) {
            thread.join();
        }
        finished.set(true);
        for (Thread thread : clients) {
            thread.join();
        }
        for (ConductorProcess conductor : site.conductors) {
            conductorLives.get(conductor.name).stop();
        }
        return Oracle.judge(site.history.inOrder(), settings.oracleTerms(SLACK_MS + lateness.worstMs()));
    }

    /**
     * All observations of a violation's subject together with the troubles of that time, one a line; times are in milliseconds
     * since the subject's first observation.
     */
    public List<String> evidence(Violation violation) {
        List<Observation> all = site.history.inOrder();
        List<Observation> related = all.stream()
                .filter(o -> !(o instanceof Observation.Troubled)
                        && o.toString().matches("(?s).*[=]" + violation.subject() + "[],].*"))
                .toList();
        if (related.isEmpty()) {
            return List.of();
        }
        long from = related.get(0).at() - EVIDENCE_MARGIN_NS;
        long to = related.get(related.size() - 1).at() + EVIDENCE_MARGIN_NS;
        return all.stream()
                .filter(o -> related.contains(o) || o instanceof Observation.Troubled && o.at() > from && o.at() < to)
                .map(o -> String.format("%9.3f %s", (o.at() - related.get(0).at()) / 1e6, o))
                .toList();
    }

    /** The longest scheduling delay measured on this machine during the run; the oracle adds it to its tolerance. */
    public long worstLatenessMs() {
        return lateness.worstMs();
    }

    /** The number of requests of usual clients that were answered by a complete 200. */
    public long servedCount() {
        return site.history.inOrder().stream()
                .filter(o -> o instanceof Observation.Answered a
                        && a.id().startsWith(USUAL_CLIENT)
                        && a.status() == 200
                        && a.complete())
                .count();
    }

    /** The number of answers to usual clients by their status. */
    public Map<Integer, Long> answersByStatus() {
        return site.history.inOrder().stream()
                .filter(o -> o instanceof Observation.Answered a && a.id().startsWith(USUAL_CLIENT))
                .collect(Collectors.groupingBy(
                        o -> ((Observation.Answered) o).status(), TreeMap::new, Collectors.counting()));
    }

    /** The number of requests that usual clients sent. */
    public long sentCount() {
        return site.history.inOrder().stream()
                .filter(o -> o instanceof Observation.Sent sent && sent.id().startsWith(USUAL_CLIENT))
                .count();
    }

    private static void sleepUntil(long startNs, long offsetMs) throws InterruptedException {
        Thread.sleep(Math.max(0, offsetMs - (System.nanoTime() - startNs) / 1_000_000));
    }

    @Override
    public void close() {
        finished.set(true);
        lateness.close();
        site.close();
    }
}

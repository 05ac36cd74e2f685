package copperbeam.soak;

import copperbeam.soak.ServerStandIn.Mood;
import copperbeam.soak.TroublePlan.Trouble;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.UnaryOperator;

/**
 * One run of the soak, determined by its seed: conductor processes between stand-ins of clients, servers and discovery, with the
 * injected faults ("troubles") of a {@link TroublePlan}, judged by the {@link Oracle}.
 */
public final class SoakRun implements AutoCloseable {
    /**
     * Number of parties and length of a run. {@code defect}: a defect that is injected on purpose to check that the oracle finds
     * it, or null.
     */
    public record Size(int conductors, int clients, int readers, int writers, long lengthMs, Plant plant) {}

    /** A deliberate defect: the proxies alter what conductors send to servers, which the oracle must detect. */
    public enum Plant {
        /** The remaining time announced to servers is too long: a 2 is put before its digits (300 ms become 2300 ms). */
        TELL_TOO_MUCH(Mood.WELL, text -> text.replaceAll("X-Timeout: (\\d+)m", "X-Timeout: 2$1m")),
        /** Releases of read states name another request. */
        MISPLACED_RELEASES(Mood.TURNS_AWAY, text -> text.replace("DELETE /state/", "DELETE /state/x")),
        /** Requests reach servers under an id other than the client's. */
        OTHER_IDS(Mood.WELL, text -> text.replace("X-Request-ID: ", "X-Request-ID: other-"));

        private final Mood writers; // makes writers behave so that the defect has an effect
        private final UnaryOperator<String> change;

        Plant(Mood writers, UnaryOperator<String> change) {
            this.writers = writers;
            this.change = change;
        }
    }

    // tolerance of the oracle: with ten JVMs on one machine events are seen late
    private static final long SLACK_MS = 150;
    private static final int CROWD_EACH = 4; // in every 4th seed there are idle clients throughout
    // in every 6th seed one class is heavy, and all servers restart together
    private static final int UNEVEN_EACH = 6;
    // idle clients per conductor: more than it has file descriptors for
    private static final int LARGE_CROWD = 400;
    private static final long AROUND_NS = 2_000_000_000L; // evidence includes troubles this long before and after

    private final long seed;
    private final Size size;
    private final Random random;
    private final SoakSettings settings;
    private final SoakSite site;
    private final AtomicBoolean over = new AtomicBoolean();
    private final Lateness lateness = Lateness.start();
    private final Map<String, ConductorLife> lives = new HashMap<>(); // by the conductor's name

    /** {@code folder}: where the processes keep their logs and recordings. */
    public SoakRun(long seed, Size size, Path folder) throws IOException {
        this.seed = seed;
        this.size = size;
        random = new Random(seed);
        settings = size.plant() == null ? drawSettings() : SoakSettings.usual(size.conductors(), seed % 2 == 0);
        site = new SoakSite(new Random(random.nextLong()), size.plant() == null ? null : size.plant().change);
        for (int i = 0; i < size.conductors(); i++) {
            ConductorProcess conductor = site.addConductor(folder, i % 2 == 1, settings.text());
            lives.put(conductor.name, new ConductorLife(conductor, site, settings.killMs()));
        }
        for (int i = 0; i < size.readers() + size.writers(); i++) {
            Role role = i < size.readers() ? Role.READER : Role.WRITER;
            ServerStandIn server = site.addServer(role, 0);
            server.mood = size.plant() != null && role == Role.WRITER ? size.plant().writers : Mood.WELL;
        }
    }

    private SoakSettings drawSettings() {
        return seed % UNEVEN_EACH == 2
                ? SoakSettings.uneven(size.conductors(), seed % 2 == 0)
                : SoakSettings.draw(random, size.conductors(), seed % 2 == 0);
    }

    /** Executes the run and returns the rules that were broken. */
    public List<Violation> play() throws IOException, InterruptedException {
        site.start();
        TroublePlan plan = settings.uneven()
                ? TroublePlan.drawBehindStart(random, size.lengthMs(), settings.warmWithinMs())
                : TroublePlan.draw(random, size.lengthMs());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < size.clients(); i++) {
            ClientDriver client = new ClientDriver(
                    "r" + seed + "-" + i, site.conductors, settings, site.history, new Random(random.nextLong()), over);
            clients.add(Daemon.start("client", client::run));
        }
        if (seed % CROWD_EACH == 1 && size.plant() == null) {
            site.conductors.forEach(
                    c -> Daemon.start("crowd", () -> new IdleClients(c, LARGE_CROWD).keepComing(over::get)));
        }
        TroubleInjector injector = new TroubleInjector(site, lives);
        long began = System.nanoTime();
        List<Thread> running = new ArrayList<>();
        for (Trouble trouble : plan.troubles()) {
            sleepUntil(began, trouble.fromMs());
            running.add(Daemon.start("trouble", () -> injector.carryOut(trouble)));
        }
        sleepUntil(began, size.lengthMs());
        for (Thread thread : running) {
            thread.join();
        }
        over.set(true);
        for (Thread thread : clients) {
            thread.join();
        }
        for (ConductorProcess conductor : site.conductors) {
            lives.get(conductor.name).stop();
        }
        return Oracle.judge(site.history.inOrder(), settings.terms(SLACK_MS + lateness.worstMs()));
    }

    /**
     * All observations of a violation's subject together with the troubles of that time, one a line; times are in milliseconds
     * since the subject's first observation.
     */
    public List<String> evidence(Violation violation) {
        List<Observation> all = site.history.inOrder();
        List<Observation> own = all.stream()
                .filter(o -> !(o instanceof Observation.Troubled)
                        && o.toString().matches("(?s).*[=]" + violation.subject() + "[],].*"))
                .toList();
        if (own.isEmpty()) {
            return List.of();
        }
        long from = own.get(0).at() - AROUND_NS;
        long to = own.get(own.size() - 1).at() + AROUND_NS;
        return all.stream()
                .filter(o -> own.contains(o) || o instanceof Observation.Troubled && o.at() > from && o.at() < to)
                .map(o -> String.format("%9.3f %s", (o.at() - own.get(0).at()) / 1e6, o))
                .toList();
    }

    /** The longest scheduling delay measured on this machine during the run; the oracle adds it to its tolerance. */
    public long worstLatenessMs() {
        return lateness.worstMs();
    }

    /** The number of requests that were answered by a complete 200. */
    public long served() {
        return site.history.inOrder().stream()
                .filter(o -> o instanceof Observation.Answered a && a.status() == 200 && a.whole())
                .count();
    }

    /** The number of requests that clients sent. */
    public long sent() {
        return site.history.inOrder().stream()
                .filter(Observation.Sent.class::isInstance)
                .count();
    }

    private static void sleepUntil(long began, long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms - (System.nanoTime() - began) / 1_000_000));
    }

    @Override
    public void close() {
        over.set(true);
        lateness.close();
        site.close();
    }
}

package copperbeam;

import copperbeam.Api.*;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Extends {@link ModuleDay} by servers with queues. Readers read one prompt after another and keep each read state
 * until a writer has fetched it; writers have a limited number of slots and limited memory. Load reports have the
 * site's delay. The module can be replaced by a reference policy that sees the true state of every server.
 */
final class LoadedDay extends ModuleDay {
    /**
     * Properties of the servers and their network that are not part of the settings.
     *
     * @param readPerS prompt tokens that a reader reads per second
     * @param fetchPerS tokens of a read state that a writer fetches per second
     * @param slots answers that a writer writes at the same time
     * @param tokenS seconds that a writer takes for one token of an answer
     * @param networkS one-way network delay in seconds
     * @param handshakeS additional delay, in seconds, of a node's first attempt at a server
     * @param reportDelayS age of the load reports in seconds
     * @param reportFields names of the fields that the reports contain
     */
    record Site(
            double readPerS,
            double fetchPerS,
            int slots,
            double tokenS,
            double networkS,
            double handshakeS,
            double reportDelayS,
            Set<String> reportFields) {}

    private static final double SNAPSHOT_S = 0.1;

    private static final class Job {
        final Node node;
        final Attempt attempt;
        final int number;
        final Arrival asked;
        final double since;
        final boolean streams;
        Due timeout;
        boolean running;
        boolean over;

        Job(Node node, Attempt attempt, int number, Arrival asked, double since, boolean streams) {
            this.node = node;
            this.attempt = attempt;
            this.number = number;
            this.asked = asked;
            this.since = since;
            this.streams = streams;
        }
    }

    private final class Host {
        final Machine machine;
        final Role role;
        final double memory;
        final double speed;
        final ArrayDeque<Job> waiting = new ArrayDeque<>();
        final Set<Job> running = new HashSet<>();
        final Map<Long, Double> kept = new HashMap<>(); // tokens of the read states held, by request
        final Set<String> prefixes = new HashSet<>();
        final ArrayDeque<Report> reports = new ArrayDeque<>();

        Host(Machine machine, double speed) {
            this.machine = machine;
            this.speed = speed;
            Kind kind = kind(machine.entry);
            role = kind.role();
            memory = kind.memoryTokens();
        }

        double held() {
            return kept.values().stream().mapToDouble(t -> t).sum()
                    + running.stream().mapToDouble(LoadedDay.this::needs).sum();
        }

        double waitingTokens() {
            return waiting.stream().mapToDouble(j -> j.asked.promptTokens()).sum();
        }

        void serve() {
            waiting.removeIf(j -> j.over);
            while (!waiting.isEmpty()) {
                Job next = waiting.peekFirst();
                boolean slot = running.size() < (role == Role.READER ? 1 : site.slots);
                boolean room = memory <= 0 || held() <= 0 || held() + needs(next) <= memory;
                if (!slot || !room) {
                    return;
                }
                waiting.pollFirst();
                next.running = true;
                running.add(next);
                begin(this, next);
            }
        }

        Report snapshot() {
            Set<String> f = site.reportFields;
            return new Report(
                    f.contains("cpu") ? running.size() / (double) site.slots : Double.NaN,
                    f.contains("waiting") ? waiting.size() : Double.NaN,
                    f.contains("active") ? waiting.size() + running.size() + kept.size() : Double.NaN,
                    f.contains("x0") && memory > 0 ? Math.min(1, held() / memory) : Double.NaN,
                    f.contains("x1") ? waitingTokens() / 1000 : Double.NaN);
        }
    }

    final Site site;
    private final Map<String, Host> hosts = new HashMap<>();
    private final Map<Long, Host> readAt = new HashMap<>();
    private final Map<Long, Job> jobs = new HashMap<>();
    private final Set<String> connected = new HashSet<>();
    final Map<Long, Double> firstToken = new HashMap<>();
    final Map<Long, String> whys = new HashMap<>();

    LoadedDay(Settings settings, Site site, long seed) {
        super(settings, seed);
        this.site = site;
    }

    void open(double at, double speedSpread) {
        machines.values()
                .forEach(m ->
                        hosts.put(m.entry.server(), new Host(m, 1 + speedSpread * (2 * random.nextDouble() - 1))));
        snapshots(at);
    }

    private void snapshots(double at) {
        at(at, () -> {
            for (Host h : hosts.values()) {
                h.reports.add(h.snapshot());
                if (h.reports.size() > 1 + site.reportDelayS / SNAPSHOT_S) {
                    h.reports.pollFirst();
                }
            }
            snapshots(at + SNAPSHOT_S);
        });
    }

    private Kind kind(Member m) {
        return settings.kinds().stream()
                .filter(k -> k.name().equals(m.kind()))
                .findFirst()
                .orElseThrow();
    }

    private double needs(Job j) {
        return j.asked.promptTokens() + (j.streams ? j.asked.maxAnswerTokens() : 0);
    }

    @Override
    Report report(Machine m) {
        Host h = hosts.get(m.entry.server());
        return h.reports.isEmpty() ? h.snapshot() : h.reports.peekFirst();
    }

    @Override
    void act(Node n, Action action) {
        if (action instanceof Refuse x) {
            whys.put(x.request(), "refused " + x.why());
        } else if (action instanceof Fail x) {
            whys.put(x.request(), "failed " + x.why());
        }
        if (action instanceof Cancel c) {
            Job j = jobs.get(c.request());
            if (j != null && !j.over && j.number == c.attempt()) {
                over(j, Outcome.CANCELLED, 2 * site.networkS);
            }
        } else if (action instanceof Release r) {
            release(r.request());
        } else {
            super.act(n, action);
        }
    }

    private void release(long request) {
        Host h = readAt.remove(request);
        if (h != null) {
            h.kept.remove(request);
            h.serve();
        }
    }

    @Override
    void attempt(Node n, Attempt a, Machine m, int number) {
        Host h = hosts.get(a.server());
        Job j = new Job(n, a, number, fates.get(a.request()).asked, now, h.role != Role.READER);
        jobs.put(a.request(), j);
        boolean fresh = connected.add(nodes.indexOf(n) + " " + a.server());
        at(now + site.networkS + (fresh ? site.handshakeS : 0), () -> {
            if (!j.over) {
                h.waiting.add(j);
                h.serve();
            }
        });
        at(a.until(), () -> {
            if (!j.over) {
                over(j, Outcome.TIMED_OUT, 0);
            }
        });
    }

    private void over(Job j, Outcome outcome, double after) {
        j.over = true;
        Host h = hosts.get(j.attempt.server());
        // work that can't be cancelled goes on at the server
        if (h.running.contains(j) && settings.limits().cancel()) {
            h.running.remove(j);
        }
        boolean over = outcome == Outcome.OK;
        Report report = settings.reports() == Reports.WITH_OUTCOMES ? report(h.machine) : null;
        tell(
                now + after,
                j.node,
                new AttemptEnded(
                        j.attempt.request(),
                        j.number,
                        j.attempt.server(),
                        outcome,
                        now + after - j.since,
                        over,
                        false,
                        report,
                        Double.NaN));
        h.serve();
    }

    private void begin(Host h, Job j) {
        Arrival asked = j.asked;
        double tokens = asked.promptTokens();
        if (h.role == Role.READER) {
            boolean kept = asked.prefix() != null && !h.prefixes.add(asked.prefix());
            double anew = tokens - (kept ? asked.prefixTokens() : 0);
            at(now + anew / (site.readPerS * h.speed), () -> {
                h.running.remove(j);
                if (!j.over) {
                    h.kept.put(asked.request(), tokens);
                    readAt.put(asked.request(), h);
                    over(j, Outcome.READ, site.networkS);
                }
                h.serve();
            });
            return;
        }
        boolean fetched = readAt.containsKey(asked.request());
        double prefill = tokens / (fetched ? site.fetchPerS : site.readPerS * h.speed);
        at(now + prefill + site.tokenS, () -> first(h, j));
    }

    private void first(Host h, Job j) {
        if (!j.over) {
            tell(
                    now + site.networkS,
                    j.node,
                    new StreamStarted(
                            j.attempt.request(), j.number, j.attempt.server(), now + site.networkS - j.since));
            firstToken.put(j.attempt.request(), now + site.networkS);
            release(j.attempt.request());
        }
        boolean streaming = !j.over;
        j.over = true;
        double answer = j.asked.maxAnswerTokens() * site.tokenS;
        at(now + answer, () -> {
            h.running.remove(j);
            if (streaming) {
                over(j, Outcome.OK, site.networkS);
            }
            h.serve();
        });
    }

    /** Sends each request at once to the reader that would finish its read first, then to the least loaded writer. */
    Decider reference() {
        return (time, event) -> {
            if (event instanceof Arrival a) {
                Host h = bestReader(a);
                return h == null ? toWriter(a) : send(a, h);
            }
            if (event instanceof AttemptEnded e && e.outcome() == Outcome.READ) {
                return toWriter(fates.get(e.request()).asked);
            }
            return List.of();
        };
    }

    private List<Action> send(Arrival a, Host h) {
        List<Action> actions = new ArrayList<>();
        actions.add(
                new Attempt(a.request(), h.machine.entry.server(), a.deadline(), Double.POSITIVE_INFINITY, Why.HOME));
        return actions;
    }

    private Host bestReader(Arrival a) {
        return hosts.values().stream()
                .filter(h -> h.role == Role.READER)
                .min(Comparator.comparingDouble(h -> readDone(h, a)))
                .orElse(null);
    }

    private double readDone(Host h, Arrival a) {
        double tokens = h.waitingTokens()
                + h.running.stream().mapToDouble(j -> j.asked.promptTokens()).sum();
        boolean kept = a.prefix() != null && h.prefixes.contains(a.prefix());
        return (tokens + a.promptTokens() - (kept ? a.prefixTokens() : 0)) / h.speed;
    }

    private List<Action> toWriter(Arrival a) {
        return hosts.values().stream()
                .filter(h -> h.role != Role.READER)
                .min(Comparator.comparingDouble(h -> (h.waitingTokens() + h.held()) / Math.max(1, h.memory)
                        + 10.0 * h.waiting.size()
                        + h.running.size() / (double) site.slots))
                .map(h -> send(a, h))
                .orElse(List.of());
    }
}

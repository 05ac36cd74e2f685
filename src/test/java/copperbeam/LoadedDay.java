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

    private static final double SNAPSHOT_INTERVAL_S = 0.1;

    private static final class Job {
        final Node node;
        final Attempt attempt;
        final int number;
        final Arrival arrival;
        final double sentAt;
        final boolean streams;
        ScheduledEvent timeout;
        boolean running;
        boolean ended;

        Job(Node node, Attempt attempt, int number, Arrival arrival, double sentAt, boolean streams) {
            this.node = node;
            this.attempt = attempt;
            this.number = number;
            this.arrival = arrival;
            this.sentAt = sentAt;
            this.streams = streams;
        }
    }

    private final class QueuedServer {
        final SimulatedServer simulated;
        final Role role;
        final double memoryTokens;
        final double speedFactor;
        final ArrayDeque<Job> waiting = new ArrayDeque<>();
        final Set<Job> running = new HashSet<>();
        final Map<Long, Double> readStates = new HashMap<>(); // tokens of the read states held, by request
        final Set<String> prefixes = new HashSet<>();
        final ArrayDeque<Report> reports = new ArrayDeque<>();

        QueuedServer(SimulatedServer simulated, double speedFactor) {
            this.simulated = simulated;
            this.speedFactor = speedFactor;
            ServerKind kind = kindOf(simulated.member);
            role = kind.role();
            memoryTokens = kind.memoryTokens();
        }

        double heldTokens() {
            return readStates.values().stream().mapToDouble(t -> t).sum()
                    + running.stream()
                            .mapToDouble(LoadedDay.this::requiredTokens)
                            .sum();
        }

        double waitingTokens() {
            return waiting.stream().mapToDouble(j -> j.arrival.promptTokens()).sum();
        }

        void startWaitingJobs() {
            waiting.removeIf(j -> j.ended);
            while (!waiting.isEmpty()) {
                Job job = waiting.peekFirst();
                boolean slotFree = running.size() < (role == Role.READER ? 1 : site.slots);
                boolean fitsMemory =
                        memoryTokens <= 0 || heldTokens() <= 0 || heldTokens() + requiredTokens(job) <= memoryTokens;
                if (!slotFree || !fitsMemory) {
                    return;
                }
                waiting.pollFirst();
                job.running = true;
                running.add(job);
                startJob(this, job);
            }
        }

        Report takeReport() {
            Set<String> fields = site.reportFields;
            return new Report(
                    fields.contains("cpu") ? running.size() / (double) site.slots : Double.NaN,
                    fields.contains("waiting") ? waiting.size() : Double.NaN,
                    fields.contains("active") ? waiting.size() + running.size() + readStates.size() : Double.NaN,
                    fields.contains("x0") && memoryTokens > 0 ? Math.min(1, heldTokens() / memoryTokens) : Double.NaN,
                    fields.contains("x1") ? waitingTokens() / 1000 : Double.NaN);
        }
    }

    final Site site;
    private final Map<String, QueuedServer> queuedServers = new HashMap<>();
    private final Map<Long, QueuedServer> readerByRequest = new HashMap<>();
    private final Map<Long, Job> jobs = new HashMap<>();
    private final Set<String> connected = new HashSet<>();
    final Map<Long, Double> firstTokenAt = new HashMap<>();
    final Map<Long, String> endReasons = new HashMap<>();

    LoadedDay(Settings settings, Site site, long seed) {
        super(settings, seed);
        this.site = site;
    }

    void startServers(double at, double speedSpread) {
        servers.values()
                .forEach(m -> queuedServers.put(
                        m.member.server(), new QueuedServer(m, 1 + speedSpread * (2 * random.nextDouble() - 1))));
        scheduleSnapshots(at);
    }

    private void scheduleSnapshots(double at) {
        scheduleTask(at, () -> {
            for (QueuedServer server : queuedServers.values()) {
                server.reports.add(server.takeReport());
                if (server.reports.size() > 1 + site.reportDelayS / SNAPSHOT_INTERVAL_S) {
                    server.reports.pollFirst();
                }
            }
            scheduleSnapshots(at + SNAPSHOT_INTERVAL_S);
        });
    }

    private ServerKind kindOf(Member member) {
        return settings.kinds().stream()
                .filter(k -> k.name().equals(member.kind()))
                .findFirst()
                .orElseThrow();
    }

    private double requiredTokens(Job job) {
        return job.arrival.promptTokens() + (job.streams ? job.arrival.maxAnswerTokens() : 0);
    }

    @Override
    Report loadReport(SimulatedServer simulated) {
        QueuedServer server = queuedServers.get(simulated.member.server());
        return server.reports.isEmpty() ? server.takeReport() : server.reports.peekFirst();
    }

    @Override
    void perform(Node node, Action action) {
        if (action instanceof Refuse x) {
            endReasons.put(x.request(), "refused " + x.reason());
        } else if (action instanceof Fail x) {
            endReasons.put(x.request(), "failed " + x.reason());
        }
        if (action instanceof Cancel c) {
            Job job = jobs.get(c.request());
            if (job != null && !job.ended && job.number == c.attempt()) {
                endJob(job, Outcome.CANCELLED, 2 * site.networkS);
            }
        } else if (action instanceof Release r) {
            releaseState(r.request());
        } else {
            super.perform(node, action);
        }
    }

    private void releaseState(long request) {
        QueuedServer server = readerByRequest.remove(request);
        if (server != null) {
            server.readStates.remove(request);
            server.startWaitingJobs();
        }
    }

    @Override
    void startAttempt(Node node, Attempt attempt, SimulatedServer simulated, int number) {
        QueuedServer server = queuedServers.get(attempt.server());
        Job job = new Job(
                node, attempt, number, requests.get(attempt.request()).arrival, now, server.role != Role.READER);
        jobs.put(attempt.request(), job);
        boolean newConnection = connected.add(nodes.indexOf(node) + " " + attempt.server());
        scheduleTask(now + site.networkS + (newConnection ? site.handshakeS : 0), () -> {
            if (!job.ended) {
                server.waiting.add(job);
                server.startWaitingJobs();
            }
        });
        scheduleTask(attempt.timeoutAt(), () -> {
            if (!job.ended) {
                endJob(job, Outcome.TIMED_OUT, 0);
            }
        });
    }

    private void endJob(Job job, Outcome outcome, double delayS) {
        job.ended = true;
        QueuedServer server = queuedServers.get(job.attempt.server());
        // work that can't be cancelled goes on at the server
        if (server.running.contains(job) && settings.limits().cancel()) {
            server.running.remove(job);
        }
        boolean requestOver = outcome == Outcome.OK;
        Report report = settings.reportTiming() == ReportTiming.WITH_OUTCOMES ? loadReport(server.simulated) : null;
        scheduleEvent(
                now + delayS,
                job.node,
                new AttemptEnded(
                        job.attempt.request(),
                        job.number,
                        job.attempt.server(),
                        outcome,
                        now + delayS - job.sentAt,
                        requestOver,
                        false,
                        report,
                        Double.NaN));
        server.startWaitingJobs();
    }

    private void startJob(QueuedServer server, Job job) {
        Arrival arrival = job.arrival;
        double tokens = arrival.promptTokens();
        if (server.role == Role.READER) {
            boolean prefixCached = arrival.prefix() != null && !server.prefixes.add(arrival.prefix());
            double newTokens = tokens - (prefixCached ? arrival.prefixTokens() : 0);
            scheduleTask(now + newTokens / (site.readPerS * server.speedFactor), () -> {
                server.running.remove(job);
                if (!job.ended) {
                    server.readStates.put(arrival.request(), tokens);
                    readerByRequest.put(arrival.request(), server);
                    endJob(job, Outcome.READ, site.networkS);
                }
                server.startWaitingJobs();
            });
            return;
        }
        boolean hasReadState = readerByRequest.containsKey(arrival.request());
        double prefillS = tokens / (hasReadState ? site.fetchPerS : site.readPerS * server.speedFactor);
        scheduleTask(now + prefillS + site.tokenS, () -> emitFirstToken(server, job));
    }

    private void emitFirstToken(QueuedServer server, Job job) {
        if (!job.ended) {
            scheduleEvent(
                    now + site.networkS,
                    job.node,
                    new StreamStarted(
                            job.attempt.request(), job.number, job.attempt.server(), now + site.networkS - job.sentAt));
            firstTokenAt.put(job.attempt.request(), now + site.networkS);
            releaseState(job.attempt.request());
        }
        boolean streaming = !job.ended;
        job.ended = true;
        double answerS = job.arrival.maxAnswerTokens() * site.tokenS;
        scheduleTask(now + answerS, () -> {
            server.running.remove(job);
            if (streaming) {
                endJob(job, Outcome.OK, site.networkS);
            }
            server.startWaitingJobs();
        });
    }

    /** Sends each request at once to the reader that would finish its read first, then to the least loaded writer. */
    Decider referencePolicy() {
        return (time, event) -> {
            if (event instanceof Arrival a) {
                QueuedServer server = bestReader(a);
                return server == null ? sendToWriter(a) : attemptAt(a, server);
            }
            if (event instanceof AttemptEnded e && e.outcome() == Outcome.READ) {
                return sendToWriter(requests.get(e.request()).arrival);
            }
            return List.of();
        };
    }

    private List<Action> attemptAt(Arrival arrival, QueuedServer server) {
        List<Action> actions = new ArrayList<>();
        actions.add(new Attempt(
                arrival.request(),
                server.simulated.member.server(),
                arrival.deadline(),
                Double.POSITIVE_INFINITY,
                Reason.HOME));
        return actions;
    }

    private QueuedServer bestReader(Arrival arrival) {
        return queuedServers.values().stream()
                .filter(server -> server.role == Role.READER)
                .min(Comparator.comparingDouble(server -> estimatedReadEnd(server, arrival)))
                .orElse(null);
    }

    private double estimatedReadEnd(QueuedServer server, Arrival arrival) {
        double tokens = server.waitingTokens()
                + server.running.stream()
                        .mapToDouble(job -> job.arrival.promptTokens())
                        .sum();
        boolean prefixCached = arrival.prefix() != null && server.prefixes.contains(arrival.prefix());
        return (tokens + arrival.promptTokens() - (prefixCached ? arrival.prefixTokens() : 0)) / server.speedFactor;
    }

    private List<Action> sendToWriter(Arrival arrival) {
        return queuedServers.values().stream()
                .filter(server -> server.role != Role.READER)
                .min(Comparator.comparingDouble(
                        server -> (server.waitingTokens() + server.heldTokens()) / Math.max(1, server.memoryTokens)
                                + 10.0 * server.waiting.size()
                                + server.running.size() / (double) site.slots))
                .map(server -> attemptAt(arrival, server))
                .orElse(List.of());
    }
}

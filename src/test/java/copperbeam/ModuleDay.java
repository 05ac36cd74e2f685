package copperbeam;

import copperbeam.Api.*;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Runs several decision modules against simulated servers in virtual time, each observed by {@link RulesTest.Checker}.
 * Readers read one prompt after another; writers start at once, whatever their load. Shows which requests are sent,
 * refused, held or never answered, not how servers behave under load.
 */
class ModuleDay {
    /** An event for a node, or a task to run, at a point in virtual time. */
    record ScheduledEvent(double time, long order, Node node, Event event, Runnable task) {}

    /** The decision module, or a policy that takes its place. */
    interface Decider {
        List<Action> onEvent(double now, Event event);
    }

    /** A process: its decision module, the checker that observes it, and its pending outcomes. */
    static final class Node {
        final Decider decider;
        final RulesTest.Checker checker;
        final Map<Long, List<ScheduledEvent>> pendingOutcomes = new HashMap<>();
        final Map<Long, Integer> attemptCounts = new HashMap<>();
        int consecutiveRefusals; // requests refused or failed since the last attempt
        int maxConsecutiveRefusals;
        double firstAttemptAt = Double.MAX_VALUE;

        Node(Settings settings, Decider decider) {
            this.decider = decider;
            checker = new RulesTest.Checker(settings);
        }
    }

    /** A server: its entry in the server list, its speed and its injected faults. */
    static final class SimulatedServer {
        Member member;
        double tokensPerS = 15_000;
        double freeAt;
        double hungFrom = Double.MAX_VALUE;
        double hungUntil;
        Outcome injectedOutcome; // outcome of an attempt with probability faultChance, or null for no fault
        double faultChance = 1;

        boolean isHung(double time) {
            return time >= hungFrom && time < hungUntil;
        }
    }

    /** An attempt that some node has sent. */
    record SentAttempt(double at, String server, long request) {}

    /** A request and what has become of it so far. */
    static final class RequestRecord {
        final Arrival arrival;
        final double arrivedAt;
        boolean answered;
        boolean refused;
        int attempts;

        RequestRecord(Arrival arrival, double arrivedAt) {
            this.arrival = arrival;
            this.arrivedAt = arrivedAt;
        }
    }

    final Settings settings;
    final SplittableRandom random;
    final List<Node> nodes = new ArrayList<>();
    final Map<String, SimulatedServer> servers = new TreeMap<>();
    final Map<Long, RequestRecord> requests = new TreeMap<>();
    final List<SentAttempt> sentAttempts = new ArrayList<>();
    private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
    boolean rulesAreChecked = true; // whether the checker of the module's rules observes the nodes
    private long nextOrder;
    double now;

    ModuleDay(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
    }

    SimulatedServer putServer(Member member) {
        SimulatedServer server = servers.computeIfAbsent(member.server(), n -> new SimulatedServer());
        server.member = member;
        return server;
    }

    /** Adds a node that starts at this time, with the present server list. */
    Node addNode(double at) {
        return addNode(at, new Brain(settings, nodes.size() + 1)::onEvent);
    }

    /** Adds a node with its own settings that starts at this time. */
    Node addNode(double at, Settings settings, long seed) {
        return addNode(at, new Brain(settings, seed)::onEvent);
    }

    Node addNode(double at, Decider decider) {
        Node node = new Node(settings, decider);
        nodes.add(node);
        scheduleEvent(at, node, memberList(ListKind.CACHED));
        return node;
    }

    ServerListUpdate memberList(ListKind kind) {
        return new ServerListUpdate(
                kind, servers.values().stream().map(m -> m.member).toList());
    }

    ScheduledEvent scheduleEvent(double at, Node node, Event event) {
        ScheduledEvent due = new ScheduledEvent(at, nextOrder++, node, event, null);
        queue.add(due);
        return due;
    }

    void scheduleTask(double time, Runnable task) {
        queue.add(new ScheduledEvent(time, nextOrder++, null, null, task));
    }

    void unschedule(ScheduledEvent due) {
        queue.remove(due);
    }

    RequestRecord submit(
            double at,
            Node node,
            RequestClass requestClass,
            String session,
            String prefix,
            double tokens,
            double prefixTokens,
            double timeoutS) {
        return submit(at, node, requestClass, session, prefix, tokens, prefixTokens, timeoutS, 100);
    }

    RequestRecord submit(
            double at,
            Node node,
            RequestClass requestClass,
            String session,
            String prefix,
            double tokens,
            double prefixTokens,
            double timeoutS,
            double maxAnswerTokens) {
        Arrival arrival = new Arrival(
                requests.size() + 1,
                requestClass.name(),
                null,
                session,
                prefix,
                tokens,
                prefixTokens,
                maxAnswerTokens,
                at + timeoutS);
        RequestRecord request = new RequestRecord(arrival, at);
        requests.put(arrival.request(), request);
        scheduleEvent(at, node, arrival);
        return request;
    }

    long count(Predicate<RequestRecord> predicate) {
        return requests.values().stream().filter(predicate).count();
    }

    void run(double until) {
        double lastCheckedAt = now;
        while (!queue.isEmpty() && queue.peek().time <= until) {
            ScheduledEvent scheduled = queue.poll();
            now = scheduled.time;
            if (rulesAreChecked && now > lastCheckedAt + 0.1) {
                nodes.forEach(n -> n.checker.checkDeadlines(now));
                lastCheckedAt = now;
            }
            if (scheduled.task != null) {
                scheduled.task.run();
                continue;
            }
            if (scheduled.event instanceof AttemptEnded e) {
                scheduled.node.pendingOutcomes.remove(e.request());
                requests.get(e.request()).answered |= e.outcome() == Outcome.OK;
            }
            if (rulesAreChecked) {
                scheduled.node.checker.onEvent(now, scheduled.event);
            }
            List<Action> actions = scheduled.node.decider.onEvent(now, scheduled.event);
            if (rulesAreChecked) {
                scheduled.node.checker.onActions(now, actions);
            }
            actions.forEach(a -> perform(scheduled.node, a));
        }
        now = until;
        if (rulesAreChecked) {
            nodes.forEach(n -> n.checker.checkDeadlines(now));
        }
    }

    void perform(Node node, Action action) {
        if (action instanceof Timer t) {
            scheduleEvent(now + t.delayS(), node, new TimerFired(t.tag()));
        } else if (action instanceof Probe p) {
            probe(node, servers.get(p.server()));
        } else if (action instanceof Cancel c) {
            List<ScheduledEvent> scheduled = node.pendingOutcomes.get(c.request());
            if (scheduled != null && queue.remove(scheduled.get(scheduled.size() - 1))) {
                queue.removeAll(scheduled);
                AttemptEnded e = (AttemptEnded) scheduled.get(scheduled.size() - 1).event;
                scheduleAttemptEnd(node, now + 0.002, e.request(), e.attempt(), e.server(), Outcome.CANCELLED, false);
            }
        } else if (action instanceof Attempt a) {
            node.consecutiveRefusals = 0;
            node.firstAttemptAt = Math.min(node.firstAttemptAt, now);
            requests.get(a.request()).attempts++;
            sentAttempts.add(new SentAttempt(now, a.server(), a.request()));
            startAttempt(node, a, servers.get(a.server()), node.attemptCounts.merge(a.request(), 1, Integer::sum) - 1);
        } else if (action instanceof Refuse a) {
            recordRefusal(node, a.request());
        } else if (action instanceof Fail a) {
            recordRefusal(node, a.request());
        }
    }

    private void recordRefusal(Node node, long request) {
        requests.get(request).refused = true;
        node.maxConsecutiveRefusals = Math.max(node.maxConsecutiveRefusals, ++node.consecutiveRefusals);
    }

    private void probe(Node node, SimulatedServer server) {
        boolean hung = server.isHung(now);
        boolean reportsLoad = settings.reportTiming() != ReportTiming.NEVER;
        scheduleEvent(
                now + (hung ? 0.25 : 0.004),
                node,
                new ProbeEnded(
                        server.member.server(),
                        hung ? Outcome.TIMED_OUT : Outcome.OK,
                        0.004,
                        hung || !reportsLoad ? null : loadReport(server)));
    }

    Report loadReport(SimulatedServer server) {
        return new Report(
                Double.NaN, Double.NaN, Double.NaN, 0.3, Math.max(0, server.freeAt - now) * server.tokensPerS / 1000);
    }

    private void scheduleAttemptEnd(
            Node node, double at, long request, int number, String server, Outcome outcome, boolean requestOver) {
        Report report = settings.reportTiming() == ReportTiming.WITH_OUTCOMES ? loadReport(servers.get(server)) : null;
        node.pendingOutcomes
                .computeIfAbsent(request, r -> new ArrayList<>())
                .add(scheduleEvent(
                        at,
                        node,
                        new AttemptEnded(
                                request, number, server, outcome, at - now, requestOver, false, report, Double.NaN)));
    }

    void startAttempt(Node node, Attempt attempt, SimulatedServer server, int number) {
        Arrival arrival = requests.get(attempt.request()).arrival;
        Role role = settings.kinds().stream()
                .filter(k -> k.name().equals(server.member.kind()))
                .findFirst()
                .orElseThrow()
                .role();
        double endsAt = now + 0.05;
        if (role != Role.WRITER && !server.isHung(now)) {
            server.freeAt = Math.max(server.freeAt, now) + arrival.promptTokens() / server.tokensPerS;
            endsAt = server.freeAt + 0.001;
        }
        Outcome outcome = role == Role.READER ? Outcome.READ : Outcome.OK;
        if (server.injectedOutcome != null && random.nextDouble() < server.faultChance) {
            outcome = server.injectedOutcome;
            endsAt = now + 0.005;
        }
        if (server.isHung(now) || endsAt > attempt.timeoutAt()) {
            outcome = Outcome.TIMED_OUT;
            endsAt = attempt.timeoutAt();
        } else if (outcome == Outcome.OK) {
            node.pendingOutcomes
                    .computeIfAbsent(attempt.request(), r -> new ArrayList<>())
                    .add(scheduleEvent(
                            endsAt,
                            node,
                            new StreamStarted(attempt.request(), number, attempt.server(), endsAt - now)));
            endsAt += 0.3;
        }
        scheduleAttemptEnd(node, endsAt, attempt.request(), number, attempt.server(), outcome, outcome == Outcome.OK);
    }
}

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
    record Due(double time, long order, Node node, Event event, Runnable other) {}

    /** The decision module, or a policy that takes its place. */
    interface Decider {
        List<Action> on(double now, Event event);
    }

    /** A process: its decision module, the checker that observes it, and its pending outcomes. */
    static final class Node {
        final Decider decider;
        final RulesTest.Checker checker;
        final Map<Long, List<Due>> out = new HashMap<>();
        final Map<Long, Integer> attempts = new HashMap<>();
        int turned; // requests refused or failed since the last attempt
        int mostTurned;
        double firstAttempt = Double.MAX_VALUE;

        Node(Settings settings, Decider decider) {
            this.decider = decider;
            checker = new RulesTest.Checker(settings);
        }
    }

    /** A server: its entry in the server list, its speed and its injected faults. */
    static final class Machine {
        Member entry;
        double tokensPerS = 15_000;
        double freeAt;
        double hungFrom = Double.MAX_VALUE;
        double hungUntil;
        Outcome fault; // outcome of an attempt with probability faultChance, or null for no fault
        double faultChance = 1;

        boolean hung(double at) {
            return at >= hungFrom && at < hungUntil;
        }
    }

    /** An attempt that some node has sent. */
    record Send(double at, String server, long request) {}

    /** A request and what has become of it so far. */
    static final class Fate {
        final Arrival asked;
        final double at;
        boolean answered;
        boolean refused;
        int attempts;

        Fate(Arrival asked, double at) {
            this.asked = asked;
            this.at = at;
        }
    }

    final Settings settings;
    final SplittableRandom random;
    final List<Node> nodes = new ArrayList<>();
    final Map<String, Machine> machines = new TreeMap<>();
    final Map<Long, Fate> fates = new TreeMap<>();
    final List<Send> sends = new ArrayList<>();
    private final PriorityQueue<Due> queue = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
    boolean ruled = true; // whether the checker of the module's rules observes the nodes
    private long order;
    double now;

    ModuleDay(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
    }

    Machine machine(Member entry) {
        Machine m = machines.computeIfAbsent(entry.server(), n -> new Machine());
        m.entry = entry;
        return m;
    }

    /** Adds a node that starts at this time, with the present server list. */
    Node node(double at) {
        return node(at, new Brain(settings, nodes.size() + 1)::on);
    }

    /** Adds a node with its own settings that starts at this time. */
    Node node(double at, Settings settings, long seed) {
        return node(at, new Brain(settings, seed)::on);
    }

    Node node(double at, Decider decider) {
        Node n = new Node(settings, decider);
        nodes.add(n);
        tell(at, n, list(ListKind.CACHED));
        return n;
    }

    Members list(ListKind kind) {
        return new Members(kind, machines.values().stream().map(m -> m.entry).toList());
    }

    Due tell(double at, Node n, Event event) {
        Due due = new Due(at, order++, n, event, null);
        queue.add(due);
        return due;
    }

    void at(double time, Runnable what) {
        queue.add(new Due(time, order++, null, null, what));
    }

    void forget(Due due) {
        queue.remove(due);
    }

    Fate ask(
            double at,
            Node n,
            RequestClass c,
            String session,
            String prefix,
            double tokens,
            double prefixTokens,
            double within) {
        return ask(at, n, c, session, prefix, tokens, prefixTokens, within, 100);
    }

    Fate ask(
            double at,
            Node n,
            RequestClass c,
            String session,
            String prefix,
            double tokens,
            double prefixTokens,
            double within,
            double answer) {
        Arrival a = new Arrival(
                fates.size() + 1, c.name(), null, session, prefix, tokens, prefixTokens, answer, at + within);
        Fate f = new Fate(a, at);
        fates.put(a.request(), f);
        tell(at, n, a);
        return f;
    }

    long count(Predicate<Fate> what) {
        return fates.values().stream().filter(what).count();
    }

    void run(double until) {
        double checked = now;
        while (!queue.isEmpty() && queue.peek().time <= until) {
            Due d = queue.poll();
            now = d.time;
            if (ruled && now > checked + 0.1) {
                nodes.forEach(n -> n.checker.check(now));
                checked = now;
            }
            if (d.other != null) {
                d.other.run();
                continue;
            }
            if (d.event instanceof AttemptEnded e) {
                d.node.out.remove(e.request());
                fates.get(e.request()).answered |= e.outcome() == Outcome.OK;
            }
            if (ruled) {
                d.node.checker.told(now, d.event);
            }
            List<Action> actions = d.node.decider.on(now, d.event);
            if (ruled) {
                d.node.checker.did(now, actions);
            }
            actions.forEach(a -> act(d.node, a));
        }
        now = until;
        if (ruled) {
            nodes.forEach(n -> n.checker.check(now));
        }
    }

    void act(Node n, Action action) {
        if (action instanceof Timer t) {
            tell(now + t.afterS(), n, new TimerFired(t.tag()));
        } else if (action instanceof Probe p) {
            probe(n, machines.get(p.server()));
        } else if (action instanceof Cancel c) {
            List<Due> due = n.out.get(c.request());
            if (due != null && queue.remove(due.get(due.size() - 1))) {
                queue.removeAll(due);
                AttemptEnded e = (AttemptEnded) due.get(due.size() - 1).event;
                end(n, now + 0.002, e.request(), e.attempt(), e.server(), Outcome.CANCELLED, false);
            }
        } else if (action instanceof Attempt a) {
            n.turned = 0;
            n.firstAttempt = Math.min(n.firstAttempt, now);
            fates.get(a.request()).attempts++;
            sends.add(new Send(now, a.server(), a.request()));
            attempt(n, a, machines.get(a.server()), n.attempts.merge(a.request(), 1, Integer::sum) - 1);
        } else if (action instanceof Refuse a) {
            turned(n, a.request());
        } else if (action instanceof Fail a) {
            turned(n, a.request());
        }
    }

    private void turned(Node n, long request) {
        fates.get(request).refused = true;
        n.mostTurned = Math.max(n.mostTurned, ++n.turned);
    }

    private void probe(Node n, Machine m) {
        boolean hung = m.hung(now);
        boolean told = settings.reports() != Reports.NEVER;
        tell(
                now + (hung ? 0.25 : 0.004),
                n,
                new Probed(
                        m.entry.server(),
                        hung ? Outcome.TIMED_OUT : Outcome.OK,
                        0.004,
                        hung || !told ? null : report(m)));
    }

    Report report(Machine m) {
        return new Report(Double.NaN, Double.NaN, Double.NaN, 0.3, Math.max(0, m.freeAt - now) * m.tokensPerS / 1000);
    }

    private void end(Node n, double at, long request, int number, String server, Outcome o, boolean over) {
        Report report = settings.reports() == Reports.WITH_OUTCOMES ? report(machines.get(server)) : null;
        n.out.computeIfAbsent(request, r -> new ArrayList<>())
                .add(tell(
                        at,
                        n,
                        new AttemptEnded(request, number, server, o, at - now, over, false, report, Double.NaN)));
    }

    void attempt(Node n, Attempt a, Machine m, int number) {
        Arrival asked = fates.get(a.request()).asked;
        Role role = settings.kinds().stream()
                .filter(k -> k.name().equals(m.entry.kind()))
                .findFirst()
                .orElseThrow()
                .role();
        double at = now + 0.05;
        if (role != Role.WRITER && !m.hung(now)) {
            m.freeAt = Math.max(m.freeAt, now) + asked.promptTokens() / m.tokensPerS;
            at = m.freeAt + 0.001;
        }
        Outcome o = role == Role.READER ? Outcome.READ : Outcome.OK;
        if (m.fault != null && random.nextDouble() < m.faultChance) {
            o = m.fault;
            at = now + 0.005;
        }
        if (m.hung(now) || at > a.until()) {
            o = Outcome.TIMED_OUT;
            at = a.until();
        } else if (o == Outcome.OK) {
            n.out.computeIfAbsent(a.request(), r -> new ArrayList<>())
                    .add(tell(at, n, new StreamStarted(a.request(), number, a.server(), at - now)));
            at += 0.3;
        }
        end(n, at, a.request(), number, a.server(), o, o == Outcome.OK);
    }
}

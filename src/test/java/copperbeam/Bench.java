package copperbeam;

import copperbeam.Api.*;
import java.util.ArrayList;
import java.util.List;

/** Test fixture: a decision module with default settings, and helpers that send it events and collect its actions. */
final class Bench {
    static final Limits LIMITS = new Limits(6, true, false, 0.5);
    static final Rules RULES = new Rules(0.3, 10, 3, 2, 0.5, 10);
    static final RequestClass LOW = cls("low", 2, 1, Effect.SAFE, Group.ALL);
    static final RequestClass TOP = cls("top", 3, 3, Effect.SAFE, Group.ALL);
    static final RequestClass ONCE = cls("once", 3, 3, Effect.UNSAFE, Group.ALL);
    static final RequestClass ZONED = cls("zoned", 3, 3, Effect.KEYED, Group.ZONE);

    final Brain brain;
    final List<Action> all = new ArrayList<>();
    double now = 100;

    Bench(Settings settings, long seed) {
        brain = new Brain(settings, seed);
    }

    static RequestClass cls(String name, double aim, double worth, Effect effect, Group group) {
        return new RequestClass(name, aim, 0.04, worth, effect, group, 5);
    }

    static Settings settings(Limits limits, Reports reports, boolean writersRead, RequestClass... classes) {
        return settings(limits, reports, writersRead, List.of(), classes);
    }

    static Settings settings(
            Limits limits, Reports reports, boolean writersRead, List<Customer> customers, RequestClass... classes) {
        return new Settings(
                2,
                -1,
                List.of(classes),
                customers,
                List.of(
                        new Kind("r", Role.READER, 1e5),
                        new Kind("w", Role.WRITER, 1e5),
                        new Kind("m", Role.MIXED, 1e5)),
                limits,
                RULES,
                reports,
                false,
                0.003,
                writersRead,
                true);
    }

    static Settings usual(RequestClass... classes) {
        return settings(LIMITS, Reports.WITH_OUTCOMES, false, classes);
    }

    static Member server(String id, String kind, int cell) {
        return server(id, kind, cell, ServerState.READY, 0);
    }

    static Member server(String id, String kind, int cell, ServerState state, double launchedAt) {
        return new Member(id, "zone" + cell, kind, cell, state, 1, launchedAt);
    }

    static Members full(Member... members) {
        return new Members(ListKind.FULL, List.of(members));
    }

    /** Two readers and two writers in one cell. */
    static Members fleet() {
        return full(server("r1", "r", 0), server("r2", "r", 0), server("w1", "w", 0), server("w2", "w", 0));
    }

    List<Action> at(double time, Event event) {
        now = time;
        List<Action> actions = brain.on(time, event);
        all.addAll(actions);
        return actions;
    }

    List<Action> arrive(double time, long id, RequestClass c, double tokens) {
        return at(time, new Arrival(id, c.name(), null, "s" + id, "p" + id % 3, tokens, tokens / 2, 100, time + 8));
    }

    List<Action> end(double time, long id, int attempt, String server, Outcome outcome) {
        return at(time, new AttemptEnded(id, attempt, server, outcome, 0.1, outcome == Outcome.OK, false, null));
    }

    List<Action> start(double time, long id, int attempt, String server) {
        return at(time, new StreamStarted(id, attempt, server, 0.1));
    }

    static Report report(double waiting, double memory) {
        return new Report(0.5, waiting, Double.NaN, memory, Double.NaN);
    }

    /** Makes every server of {@link #smallFleet} report this load in a probe answer. */
    void load(double time, double waiting, double memory) {
        for (String s : List.of("r1", "r2", "w1", "w2")) {
            at(time, new Probed(s, Outcome.OK, 0.01, report(waiting, memory)));
        }
    }

    static <T extends Action> List<T> of(Class<T> type, List<Action> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static Attempt sent(List<Action> actions) {
        List<Attempt> sends = of(Attempt.class, actions);
        if (sends.size() != 1) {
            throw new AssertionError("exactly one attempt expected: " + actions);
        }
        return sends.get(0);
    }
}

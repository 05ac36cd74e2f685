package copperbeam;

import copperbeam.Api.*;
import java.util.ArrayList;
import java.util.List;

/** Test fixture: a decision module with default settings, and helpers that send it events and collect its actions. */
final class ModuleFixture {
    static final Limits LIMITS = new Limits(6, true, false, 0.5);
    static final Rules RULES = new Rules(0.3, 10, 3, 2, 0.5, 10);
    static final RequestClass LOW = requestClass("low", 2, 1, Repeats.SAFE, DedupScope.ALL);
    static final RequestClass TOP = requestClass("top", 3, 3, Repeats.SAFE, DedupScope.ALL);
    static final RequestClass ONCE = requestClass("once", 3, 3, Repeats.UNSAFE, DedupScope.ALL);
    static final RequestClass ZONED = requestClass("zoned", 3, 3, Repeats.KEYED, DedupScope.ZONE);

    final Brain brain;
    final List<Action> allActions = new ArrayList<>();
    double now = 100;

    ModuleFixture(Settings settings, long seed) {
        brain = new Brain(settings, seed);
    }

    static RequestClass requestClass(String name, double aimS, double worth, Repeats repeats, DedupScope dedupScope) {
        return new RequestClass(name, aimS, 0.04, worth, repeats, dedupScope, 5);
    }

    static Settings settings(Limits limits, ReportTiming reportTiming, boolean writersRead, RequestClass... classes) {
        return settings(limits, reportTiming, writersRead, List.of(), classes);
    }

    static Settings settings(
            Limits limits,
            ReportTiming reportTiming,
            boolean writersRead,
            List<Customer> customers,
            RequestClass... classes) {
        return new Settings(
                2,
                -1,
                List.of(classes),
                customers,
                List.of(
                        new ServerKind("r", Role.READER, 1e5),
                        new ServerKind("w", Role.WRITER, 1e5),
                        new ServerKind("m", Role.MIXED, 1e5)),
                limits,
                RULES,
                reportTiming,
                false,
                0.003,
                writersRead,
                true);
    }

    static Settings defaultSettings(RequestClass... classes) {
        return settings(LIMITS, ReportTiming.WITH_OUTCOMES, false, classes);
    }

    static Member member(String id, String kind, int cell) {
        return member(id, kind, cell, ServerState.READY, 0);
    }

    static Member member(String id, String kind, int cell, ServerState state, double launchedAt) {
        return new Member(id, "zone" + cell, kind, cell, state, 1, launchedAt);
    }

    static ServerListUpdate fullList(Member... members) {
        return new ServerListUpdate(ListKind.FULL, List.of(members));
    }

    /** Two readers and two writers in one cell. */
    static ServerListUpdate smallFleet() {
        return fullList(member("r1", "r", 0), member("r2", "r", 0), member("w1", "w", 0), member("w2", "w", 0));
    }

    List<Action> onEvent(double time, Event event) {
        now = time;
        List<Action> actions = brain.onEvent(time, event);
        allActions.addAll(actions);
        return actions;
    }

    List<Action> onArrival(double time, long id, RequestClass requestClass, double tokens) {
        return onEvent(
                time,
                new Arrival(id, requestClass.name(), null, "s" + id, "p" + id % 3, tokens, tokens / 2, 100, time + 8));
    }

    List<Action> onAttemptEnded(double time, long id, int attempt, String server, Outcome outcome) {
        return onEvent(time, new AttemptEnded(id, attempt, server, outcome, 0.1, outcome == Outcome.OK, false, null));
    }

    List<Action> onStreamStarted(double time, long id, int attempt, String server) {
        return onEvent(time, new StreamStarted(id, attempt, server, 0.1));
    }

    static Report report(double waiting, double memory) {
        return new Report(0.5, waiting, Double.NaN, memory, Double.NaN);
    }

    /** Makes every server of {@link #smallFleet} report this load in a probe answer. */
    void reportLoad(double time, double waiting, double memory) {
        for (String s : List.of("r1", "r2", "w1", "w2")) {
            onEvent(time, new ProbeEnded(s, Outcome.OK, 0.01, report(waiting, memory)));
        }
    }

    static <T extends Action> List<T> actionsOf(Class<T> type, List<Action> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static Attempt onlyAttempt(List<Action> actions) {
        List<Attempt> attempts = actionsOf(Attempt.class, actions);
        if (attempts.size() != 1) {
            throw new AssertionError("exactly one attempt expected: " + actions);
        }
        return attempts.get(0);
    }
}

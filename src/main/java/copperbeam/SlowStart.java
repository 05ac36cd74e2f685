package copperbeam;

import copperbeam.Api.Arrival;
import copperbeam.Api.Role;
import copperbeam.Api.Settings;
import copperbeam.State.Permits;
import copperbeam.State.Rate;
import copperbeam.State.Request;
import copperbeam.State.Server;
import java.util.List;

/**
 * Slow start: what this process may send to servers that have started lately, so that all processes together
 * stay within the rule's budget of each without a word between them.
 *
 * <p>Each process has permits in the measure of its own demand ({@link ColdBudget}). A request that weighs more
 * than its permits ever add up to goes in a turn of its process ({@link TurnSchedule}), at a reader and a writer
 * together, as a state that was read finds no writer's turn in the time for which it may be held.
 */
final class SlowStart {
    private static final double DEMAND_SPAN_S = 20; // over which the process's own demand is averaged
    private static final double MOST_SKEW = 3; // times the mean demand of all processes, at one
    private static final double DEMAND_KNOWN_S = 1; // before which a process's own demand tells little
    private static final double WHOLE = 0.5; // part of a node's traffic, for its turns
    private static final double BETWEEN_LOOKS_S = 0.15; // a held request looks again within it
    private static final double WRITE_WITHIN_S = 1; // of a turn's begin, the reading included

    /** Where a heavy request may go out of its turn's right; a server of a stage that needs no turn is null. */
    record Grant(Server reader, Server writer, double readUntil, double writeUntil) {
        boolean covers(Server s, double now) {
            return s == reader && now <= readUntil || s == writer && now <= writeUntil;
        }
    }

    private final Settings settings;
    private final ColdBudget budget;
    private final TurnSchedule schedule;
    private final WorkWeights weights;
    private final Rate demand = new Rate(DEMAND_SPAN_S);
    private final Stage readers = new Stage();
    private final Stage writers = new Stage();
    private double heavierWaitedAt = Double.NEGATIVE_INFINITY; // when one above the mean last looked for a turn in vain
    private double part = 1; // of the node's own demand that is for this process

    /** The ready servers of one stage, in the order of their ids. */
    private static final class Stage {
        private List<Server> ready = List.of();
        private int most; // seen ready at a time: the few that a release leaves are no measure of one's load

        void set(List<Server> servers) {
            ready = servers;
            most = Math.max(most, servers.size());
        }

        int peers() {
            return Math.max(most, 1);
        }
    }

    /** {@code place}: the process's own in the row of all, from 0 to 1. */
    SlowStart(Settings settings, double place) {
        this.settings = settings;
        budget = new ColdBudget(settings.rules(), place);
        int index = settings.index() < 0 ? (int) (place * settings.nodes()) : settings.index();
        schedule = new TurnSchedule(settings.rules(), settings.nodes(), index);
        weights = new WorkWeights(settings.kinds());
    }

    void begin(double now) {
        demand.from = now; // not the first request's time: chance
    }

    void beside(double itsPart) {
        part = itsPart;
    }

    /** The ready servers of both stages, in the order of their ids. */
    void servers(List<Server> ofReaders, List<Server> ofWriters) {
        readers.set(List.copyOf(ofReaders));
        writers.set(List.copyOf(ofWriters));
    }

    Permits permits(String id, double launchedAt) {
        return budget.permits(id, launchedAt, demand.from);
    }

    void arrived(Arrival a) {
        weights.arrived(a.requestClass(), a.promptTokens());
    }

    /** One request that is to be sent: it counts as 1, which is what all weigh in the mean. */
    void admitted(double now) {
        demand.add(now, 1);
    }

    /** Whether the request may go to this server now. */
    boolean room(Server s, Request r, double now) {
        return permitted(s, r, now) || r.grant != null && r.grant.covers(s, now);
    }

    /**
     * Whether a read may begin now. That of a light request waits for both stages, as its state may find no permit
     * in the time for which it is held. One too heavy for permits gets the turn that is under way, if there is one.
     * {@code inPlace}: writers can read it themselves.
     */
    boolean mayRead(Request r, boolean inPlace, double now) {
        if (r.grant != null && r.sends == 0 && now <= r.grant.readUntil()) {
            return true; // it has its turn, and has waited since for its servers to be asked for their load
        }
        boolean written = takes(writers, r, now);
        boolean read = inPlace && written || takes(readers, r, now);
        if (read && written || now - demand.from < DEMAND_KNOWN_S) {
            return true;
        }
        boolean heavier = weight(r) > 1;
        if (!heavy(r, now)) {
            return heavier; // what it needs comes at one stage while it waits for the other
        }
        boolean first = heavier || now - heavierWaitedAt > BETWEEN_LOOKS_S; // light ones would take all turns
        r.grant = first ? grant(r, read, written, now) : null;
        if (r.grant == null && heavier) {
            heavierWaitedAt = now;
        }
        return r.grant != null;
    }

    void sent(Server s, Request r, double now) {
        if (s.permits.launchedAt <= 0) {
            return;
        }
        if (permitted(s, r, now)) {
            s.permits.used += weight(r);
        } else {
            budget.borrow(s.permits, demand, share(s), weight(r), now);
        }
    }

    private double weight(Request r) {
        return weights.of(r.asked.requestClass());
    }

    private boolean permitted(Server s, Request r, double now) {
        return s.permits.launchedAt <= 0 || budget.room(s.permits, demand, share(s), weight(r), now);
    }

    private boolean takes(Stage stage, Request r, double now) {
        return stage.ready.isEmpty() || stage.ready.stream().anyMatch(s -> permitted(s, r, now));
    }

    /** Whether permits add up to its weight at no server of a stage before its deadline. */
    private boolean heavy(Request r, double now) {
        return outOfReach(readers, r, now) || outOfReach(writers, r, now);
    }

    private boolean outOfReach(Stage stage, Request r, double now) {
        return !stage.ready.isEmpty() && stage.ready.stream().noneMatch(s -> inReach(s, r, now));
    }

    private boolean inReach(Server s, Request r, double now) {
        return budget.warm(s.permits, now)
                || budget.reaches(s.permits, demand, share(s), weight(r), r.asked.deadline(), now);
    }

    private Grant grant(Request r, boolean read, boolean written, double now) {
        if (part < WHOLE) {
            return null;
        }
        List<Server> reading = read ? List.of() : readers.ready;
        List<Server> writing = written ? List.of() : writers.ready;
        int pairs = read ? writing.size() : written ? reading.size() : Math.min(reading.size(), writing.size());
        for (int i = 0; i < pairs; i++) {
            Server reader = read ? null : reading.get(i);
            Server writer = written ? null : writing.get(i);
            Grant grant = grant(reader, writer, i, pairs, weight(r), now);
            if (grant != null) {
                return grant;
            }
        }
        return null;
    }

    /** The turn at a pair of servers, if it is this process's, usable and not used yet. */
    private Grant grant(Server reader, Server writer, int rank, int pairs, double weight, double now) {
        Server first = reader == null ? writer : reader;
        double since = Math.max(first.permits.launchedAt, writer == null ? 0 : writer.permits.launchedAt);
        TurnSchedule.Turn turn = schedule.at(now - since, rank, pairs);
        if (turn == null || usedAfter(reader, now - turn.sinceS()) || usedAfter(writer, now - turn.sinceS())) {
            return null;
        }
        if (turn.place() >= Math.min(turns(reader, weight, now), turns(writer, weight, now))) {
            return null;
        }
        use(reader, now);
        use(writer, now);
        double begun = now - turn.sinceS();
        return new Grant(reader, writer, begun + TurnSchedule.TURN_S, begun + WRITE_WITHIN_S);
    }

    private static boolean usedAfter(Server s, double begun) {
        return s != null && s.permits.lastTurnAt >= begun;
    }

    private static void use(Server s, double now) {
        if (s != null) {
            s.permits.lastTurnAt = now;
        }
    }

    /**
     * Turns of a cycle that the slack of this server bears, by the least that the fleet's demand can be, as this
     * process may have far more than its part. The first also as if all had as much, at a process with so little that
     * its permits never pay for such a request: else it would have no turn, and so little is seldom more than a part.
     */
    private int turns(Server s, double weight, double now) {
        if (s == null) {
            return TurnSchedule.MOST;
        }
        if (budget.lent(s.permits, demand, share(s), now)) {
            return 0;
        }
        double heaviest = weights.most(weight);
        double demandIfAllAreAlike = demand.perS(now) * settings.nodes() / stage(s).peers();
        double leastDemand = demandIfAllAreAlike / Math.min(settings.nodes(), MOST_SKEW);
        int turns = (int) (budget.beyond(s.permits, leastDemand, now) / heaviest);
        boolean firstFits = budget.beyond(s.permits, demandIfAllAreAlike, now) >= heaviest
                && !budget.everReach(s.permits, demand, share(s), weight, now);
        return Math.max(turns, firstFits ? 1 : 0);
    }

    private double share(Server s) {
        return part / stage(s).peers();
    }

    private Stage stage(Server s) {
        return s.role == Role.READER ? readers : writers;
    }
}

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
 * Slow start: limits what this process sends to recently started servers, so that all processes together stay within
 * each server's slow-start budget without communicating with each other.
 *
 * <p>Each process earns permits in proportion to its own demand ({@link ColdBudget}). A request that weighs more than
 * the permits can ever add up to is sent in one of the turns of this process ({@link TurnSchedule}). A turn covers a
 * reader and a writer together, because a writer's turn would seldom come while the read state may still be held.
 */
final class SlowStart {
    private static final double DEMAND_SPAN_S = 20; // time constant of this process's averaged demand

    /** Upper bound assumed for the ratio of one process's demand to the mean demand of all processes. */
    private static final double MOST_SKEW = 3;

    /** No read is held before the demand has been measured for this time, as it says little until then. */
    private static final double DEMAND_KNOWN_S = 1;

    /** Only a process that gets at least this share of its node's traffic uses the node's turns. */
    private static final double WHOLE = 0.5;

    private static final double BETWEEN_LOOKS_S = 0.15; // a held request is checked again within this time
    private static final double WRITE_WITHIN_S = 1; // from a turn's start to the latest write, after the read

    /**
     * The servers that a heavy request may be sent to by its turn, and until when. The server is null for a stage
     * that needs no turn.
     */
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

    /** When a request above the mean weight last got no turn. */
    private double heavierWaitedAt = Double.NEGATIVE_INFINITY;

    private double part = 1; // share of the node's traffic that this process gets

    /** The ready servers of one stage, in the order of their ids. */
    private static final class Stage {
        private List<Server> ready = List.of();

        /** Highest number ready at once: the few that remain in a rollout would overstate the usual load of each. */
        private int most;

        void set(List<Server> servers) {
            ready = servers;
            most = Math.max(most, servers.size());
        }

        int peers() {
            return Math.max(most, 1);
        }
    }

    /** {@code phase}: position of this process among all processes, from 0 to 1. */
    SlowStart(Settings settings, double place) {
        this.settings = settings;
        budget = new ColdBudget(settings.rules(), place);
        int index = settings.index() < 0 ? (int) (place * settings.nodes()) : settings.index();
        schedule = new TurnSchedule(settings.rules(), settings.nodes(), index);
        weights = new WorkWeights(settings.kinds());
    }

    void begin(double now) {
        demand.from = now; // the time of the first request is random and would bias the rate
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

    /** Counts one request to be sent towards the demand. It counts as 1, the mean weight of all requests. */
    void admitted(double now) {
        demand.add(now, 1);
    }

    /** Whether the request may go to this server now. */
    boolean room(Server s, Request r, double now) {
        return permitted(s, r, now) || r.grant != null && r.grant.covers(s, now);
    }

    /**
     * Whether a read may begin now. The read of a light request waits until both stages have permits, as otherwise its
     * read state could expire before a writer has one. A request too heavy for permits gets the current turn, if this
     * process has one. {@code writersCanRead}: writers can read the prompt themselves.
     */
    boolean mayRead(Request r, boolean inPlace, double now) {
        if (r.grant != null && r.sends == 0 && now <= r.grant.readUntil()) {
            return true; // it got its turn earlier and has since waited for the servers' load probes
        }
        boolean written = takes(writers, r, now);
        boolean read = inPlace && written || takes(readers, r, now);
        if (read && written || now - demand.from < DEMAND_KNOWN_S) {
            return true;
        }
        boolean heavier = weight(r) > 1;
        if (!heavy(r, now)) {
            return heavier; // above the mean, permits of one stage may accrue while it waits for the other
        }
        // lighter requests wait while one above the mean weight does: else they would take all turns
        boolean first = heavier || now - heavierWaitedAt > BETWEEN_LOOKS_S;
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

    /** Whether there is a stage at which no server's permits add up to the request's weight before its deadline. */
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

    /** Takes the current turn at a pair of servers; null unless this process owns it, may use it and hasn't used it. */
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
     * How many turns of a cycle fit into the room that this server's budget leaves beside permits. The room is computed
     * from the lowest plausible demand of the fleet, as this process's own demand may be far above the mean. A process
     * whose permits never pay for such a request also gets the first turn if that fits under the assumption that all
     * processes have equal demand: it would have no turn otherwise, and so low a demand is seldom above the mean.
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

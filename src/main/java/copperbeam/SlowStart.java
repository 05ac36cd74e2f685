package copperbeam;

import copperbeam.Api.Arrival;
import copperbeam.Api.Role;
import copperbeam.Api.Settings;
import copperbeam.State.Permits;
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
    /** Upper bound assumed for the ratio of one process's demand to the mean demand of all processes. */
    private static final double MAX_DEMAND_SKEW_RATIO = 3;

    /** No read has to wait before demand was measured for so long: the measured rate says little until then. */
    private static final double MIN_DEMAND_HISTORY_S = 1;

    /** Only a process that gets at least this share of its node's traffic uses the node's turns. */
    private static final double MIN_TURN_TRAFFIC_SHARE = 0.5;

    private static final double RECHECK_INTERVAL_S = 0.15; // a held request is checked again within this time
    private static final double MAX_WRITE_DELAY_S = 1; // from a turn's start to the latest write, after the read

    /**
     * The servers that a heavy request may be sent to by its turn, and until when. The server is null for a stage
     * that needs no turn.
     */
    record Grant(Server reader, Server writer, double readUntil, double writeUntil) {
        boolean covers(Server server, double now) {
            return server == reader && now <= readUntil || server == writer && now <= writeUntil;
        }
    }

    private final Settings settings;
    private final ColdBudget budget;
    private final TurnSchedule schedule;
    private final WorkWeights weights;
    private final DemandEstimate demand = new DemandEstimate();
    private final Stage readers = new Stage();
    private final Stage writers = new Stage();

    /** When a request above the mean weight last got no turn. */
    private double aboveMeanDeniedAt = Double.NEGATIVE_INFINITY;

    private double trafficShare = 1; // share of the node's traffic that this process gets

    /** The ready servers of one stage, in the order of their ids. */
    private static final class Stage {
        private List<Server> readyServers = List.of();

        /** Highest number ready at once: the few that remain in a rollout would overstate the usual load of each. */
        private int maxReadyCount;

        void setReady(List<Server> servers) {
            readyServers = servers;
            maxReadyCount = Math.max(maxReadyCount, servers.size());
        }

        int maxServerCount() {
            return Math.max(maxReadyCount, 1);
        }
    }

    /** {@code phase}: position of this process among all processes, from 0 to 1. */
    SlowStart(Settings settings, double phase) {
        this.settings = settings;
        budget = new ColdBudget(settings.rules(), phase);
        int index = settings.index() < 0 ? (int) (phase * settings.nodes()) : settings.index();
        schedule = new TurnSchedule(settings.rules(), settings.nodes(), index);
        weights = new WorkWeights(settings.kinds());
    }

    void startDemandMeasurement(double now) {
        demand.start(now);
    }

    void setTrafficShare(double newShare) {
        trafficShare = newShare;
    }

    /** The ready servers of both stages, in the order of their ids. */
    void setServers(List<Server> newReaders, List<Server> newWriters) {
        readers.setReady(List.copyOf(newReaders));
        writers.setReady(List.copyOf(newWriters));
    }

    Permits newPermits(String serverId, double launchedAt) {
        return budget.newPermits(serverId, launchedAt, demand.startedAt());
    }

    void recordArrival(Arrival arrival, double now) {
        weights.recordArrival(arrival.requestClass(), arrival.promptTokens(), now);
    }

    /** Counts one request to be sent towards the demand. */
    void recordAdmission(double now) {
        demand.add(now);
    }

    /** Whether the request may go to this server now. */
    boolean maySend(Server server, Request request, double now) {
        return hasPermits(server, request, now) || request.grant != null && request.grant.covers(server, now);
    }

    /**
     * Whether a read may begin now. The read of a light request waits until both stages have permits, as otherwise its
     * read state could expire before a writer has one. A request too heavy for permits gets the current turn, if this
     * process has one. {@code writersCanRead}: writers can read the prompt themselves.
     */
    boolean mayStartRead(Request request, boolean writersCanRead, double now) {
        if (request.grant != null && request.sendCount == 0 && now <= request.grant.readUntil()) {
            return true; // it got its turn earlier and has since waited for the servers' load probes
        }
        boolean writePermitted = anyHasPermits(writers, request, now);
        boolean readPermitted = writersCanRead && writePermitted || anyHasPermits(readers, request, now);
        if (readPermitted && writePermitted || now - demand.startedAt() < MIN_DEMAND_HISTORY_S) {
            return true;
        }
        boolean aboveMean = weightOf(request) > 1;
        if (!needsTurn(request, now)) {
            return aboveMean; // above the mean, permits of one stage may accrue while it waits for the other
        }
        // lighter requests wait while one above the mean weight does: else they would take all turns
        boolean mayTakeTurn = aboveMean || now - aboveMeanDeniedAt > RECHECK_INTERVAL_S;
        request.grant = mayTakeTurn ? claimTurn(request, readPermitted, writePermitted, now) : null;
        if (request.grant == null && aboveMean) {
            aboveMeanDeniedAt = now;
        }
        return request.grant != null;
    }

    void recordSend(Server server, Request request, double now) {
        if (server.permits.launchedAt <= 0) {
            return;
        }
        if (hasPermits(server, request, now)) {
            server.permits.used += weightOf(request);
        } else {
            budget.borrow(server.permits, demand, demandShare(server), weightOf(request), now);
        }
    }

    private double weightOf(Request request) {
        return weights.weightOf(request.arrival.requestClass());
    }

    private boolean hasPermits(Server server, Request request, double now) {
        return server.permits.launchedAt <= 0
                || budget.hasPermits(server.permits, demand, demandShare(server), weightOf(request), now);
    }

    private boolean anyHasPermits(Stage stage, Request request, double now) {
        return stage.readyServers.isEmpty()
                || stage.readyServers.stream().anyMatch(server -> hasPermits(server, request, now));
    }

    /** Whether there is a stage at which no server's permits add up to the request's weight before its deadline. */
    private boolean needsTurn(Request request, double now) {
        return exceedsPermits(readers, request, now) || exceedsPermits(writers, request, now);
    }

    private boolean exceedsPermits(Stage stage, Request request, double now) {
        return !stage.readyServers.isEmpty()
                && stage.readyServers.stream().noneMatch(server -> permitsSuffice(server, request, now));
    }

    private boolean permitsSuffice(Server server, Request request, double now) {
        return budget.isWarm(server.permits, now)
                || budget.canAfford(
                        server.permits,
                        demand,
                        demandShare(server),
                        weightOf(request),
                        request.arrival.deadline(),
                        now);
    }

    private Grant claimTurn(Request request, boolean readPermitted, boolean writePermitted, double now) {
        if (trafficShare < MIN_TURN_TRAFFIC_SHARE) {
            return null;
        }
        List<Server> candidateReaders = readPermitted ? List.of() : readers.readyServers;
        List<Server> candidateWriters = writePermitted ? List.of() : writers.readyServers;
        int pairCount = readPermitted
                ? candidateWriters.size()
                : writePermitted ? candidateReaders.size() : Math.min(candidateReaders.size(), candidateWriters.size());
        for (int i = 0; i < pairCount; i++) {
            Server reader = readPermitted ? null : candidateReaders.get(i);
            Server writer = writePermitted ? null : candidateWriters.get(i);
            Grant grant = claimTurn(reader, writer, i, pairCount, weightOf(request), now);
            if (grant != null) {
                return grant;
            }
        }
        return null;
    }

    /** Takes the current turn at a pair of servers; null unless this process owns it, may use it and hasn't used it. */
    private Grant claimTurn(Server reader, Server writer, int rank, int pairCount, double weight, double now) {
        Server server = reader == null ? writer : reader;
        double launchedAt = Math.max(server.permits.launchedAt, writer == null ? 0 : writer.permits.launchedAt);
        TurnSchedule.Turn turn = schedule.currentTurn(now - launchedAt, rank, pairCount);
        if (turn == null
                || usedTurnSince(reader, now - turn.elapsedS())
                || usedTurnSince(writer, now - turn.elapsedS())) {
            return null;
        }
        if (turn.index() >= Math.min(affordableTurns(reader, weight, now), affordableTurns(writer, weight, now))) {
            return null;
        }
        markTurnUsed(reader, now);
        markTurnUsed(writer, now);
        double turnStartedAt = now - turn.elapsedS();
        return new Grant(
                reader, writer, turnStartedAt + TurnSchedule.TURN_DURATION_S, turnStartedAt + MAX_WRITE_DELAY_S);
    }

    private static boolean usedTurnSince(Server server, double turnStartedAt) {
        return server != null && server.permits.lastTurnAt >= turnStartedAt;
    }

    private static void markTurnUsed(Server server, double now) {
        if (server != null) {
            server.permits.lastTurnAt = now;
        }
    }

    /**
     * How many turns of a cycle fit into the room that this server's budget leaves beside permits. The room is computed
     * from the lowest plausible demand of the fleet, as this process's own demand may be far above the mean. A process
     * whose permits never pay for such a request also gets the first turn if that fits under the assumption that all
     * processes have equal demand: it would have no turn otherwise, and so low a demand is seldom above the mean.
     */
    private int affordableTurns(Server server, double weight, double now) {
        if (server == null) {
            return TurnSchedule.TURNS_PER_CYCLE;
        }
        if (budget.isInDebt(server.permits, demand, demandShare(server), now)) {
            return 0;
        }
        double maxWeight = weights.upperBound(weight);
        double demandIfUniform =
                demand.ratePerS(now) * settings.nodes() / stageOf(server).maxServerCount();
        double minDemand = demandIfUniform / Math.min(settings.nodes(), MAX_DEMAND_SKEW_RATIO);
        int turnCount = (int) (budget.roomBesidePermits(server.permits, minDemand, now) / maxWeight);
        boolean firstTurnFits = budget.roomBesidePermits(server.permits, demandIfUniform, now) >= maxWeight
                && !budget.canEverAfford(server.permits, demand, demandShare(server), weight, now);
        return Math.max(turnCount, firstTurnFits ? 1 : 0);
    }

    private double demandShare(Server server) {
        return trafficShare / stageOf(server).maxServerCount();
    }

    private Stage stageOf(Server server) {
        return server.role == Role.READER ? readers : writers;
    }
}

package copperbeam;

import java.util.List;

/**
 * What a node tells the decision module and what the module asks of the node, in the field's terms.
 * Times are seconds of the node's clock, spans are seconds, sizes are tokens. A number that is not
 * known is NaN. This file holds no logic.
 */
public final class Api {
    private Api() {}

    /** What a server can do: read prompts, write answers, or both. */
    public enum Role {
        READER,
        WRITER,
        MIXED
    }

    /** Whether repeating a request can do harm. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which servers drop the repeats of a keyed request. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** How load reports arrive. */
    public enum Reports {
        WITH_OUTCOMES,
        WITH_PROBES,
        NEVER
    }

    /** What a message from the list of servers holds. */
    public enum ListKind {
        FULL,
        CACHED,
        DELTA,
        FAILED
    }

    /** Whether a server takes new work; GONE removes it from the list. */
    public enum ServerState {
        GONE,
        READY,
        DRAINING
    }

    /** How an attempt or a probe ended. STALE: reset where a kept connection ends, which tells nothing of its server. */
    public enum Outcome {
        OK,
        READ,
        ERROR,
        FULL,
        TIMED_OUT,
        CONNECT_FAILED,
        RESET,
        STALE,
        CANCELLED,
        NOT_SENT;

        /** The server has answered, which proves that the attempt had arrived; of the others nobody can tell. */
        public boolean answered() {
            return this == OK || this == READ || this == ERROR || this == FULL;
        }
    }

    // ---- settings ------------------------------------------------------------------------------

    /** {@code index}: the node's own place among all, from 0; below 0 where it is not told. */
    public record Settings(
            int nodes,
            int index,
            List<RequestClass> classes,
            List<Customer> customers,
            List<Kind> kinds,
            Limits limits,
            Rules rules,
            Reports reports,
            boolean listMustBeAsked,
            double probePrice,
            boolean writersRead,
            boolean streamsResume) {}

    /** {@code aimPerThousandS} is added to the aim for each 1,000 prompt tokens. */
    public record RequestClass(
            String name,
            double aimS,
            double aimPerThousandS,
            double worth,
            Effect effect,
            Group group,
            double windowS) {

        /** Whether a repeat anywhere does no harm. */
        public boolean dropsRepeats() {
            return effect == Effect.SAFE || effect == Effect.KEYED && group == Group.ALL;
        }
    }

    /** {@code quotaPerS} counts requests a second over all nodes together. */
    public record Customer(String name, double quotaPerS) {}

    /** A kind of server and the tokens of read state (KV cache) that one holds. */
    public record Kind(String name, Role role, double memoryTokens) {}

    /** What the site allows: attempts of a request in all, cancels, probes, and the longest retry advice. */
    public record Limits(int maxAttempts, boolean cancel, boolean probes, double maxRetryAfterS) {}

    /** {@code askWithinS}: who has not asked for the list for so long counts as told of what was there to ask for. */
    public record Rules(
            double coldFrom,
            double warmWithinS,
            double fallMultiple,
            double fallS,
            double releaseS,
            double askWithinS) {}

    // ---- events --------------------------------------------------------------------------------

    /** What a node tells the module. */
    public sealed interface Event
            permits Members,
                    Arrival,
                    StreamStarted,
                    AttemptEnded,
                    StateReleased,
                    StateDue,
                    ClientLeft,
                    TimerFired,
                    Probed,
                    Beside {}

    /** The list of servers, or a change of it. */
    public record Members(ListKind kind, List<Member> members) implements Event {}

    /** {@code launchedAt} is 0 for a server that started long ago. */
    public record Member(
            String server, String zone, String kind, long cell, ServerState state, double weight, double launchedAt) {}

    /**
     * {@code prefix} is null where the prompt shares no beginning; {@code customer} may be null. {@code resumed}:
     * the rest of a stream that broke is asked for, so that an attempt of it has run, here or elsewhere.
     */
    public record Arrival(
            long request,
            String requestClass,
            String customer,
            String session,
            String prefix,
            double promptTokens,
            double prefixTokens,
            double maxAnswerTokens,
            double deadline,
            boolean resumed)
            implements Event {

        public Arrival(
                long request,
                String requestClass,
                String customer,
                String session,
                String prefix,
                double promptTokens,
                double prefixTokens,
                double maxAnswerTokens,
                double deadline) {
            this(
                    request,
                    requestClass,
                    customer,
                    session,
                    prefix,
                    promptTokens,
                    prefixTokens,
                    maxAnswerTokens,
                    deadline,
                    false);
        }
    }

    /** The first event of an answer came, {@code latencyS} after the attempt began. */
    public record StreamStarted(long request, int attempt, String server, double latencyS) implements Event {}

    /**
     * {@code stateMissing}: FULL because there was no read state to fetch. {@code report} may be null. {@code keptTokens}:
     * those of the prompt that a read found kept.
     */
    public record AttemptEnded(
            long request,
            int attempt,
            String server,
            Outcome outcome,
            double latencyS,
            boolean requestOver,
            boolean stateMissing,
            Report report,
            double keptTokens)
            implements Event {

        public AttemptEnded(
                long request,
                int attempt,
                String server,
                Outcome outcome,
                double latencyS,
                boolean requestOver,
                boolean stateMissing,
                Report report) {
            this(request, attempt, server, outcome, latencyS, requestOver, stateMissing, report, Double.NaN);
        }
    }

    /** The node has let go of the request's read state, whose time was over: what comes next for the request is a read. */
    public record StateReleased(long request) implements Event {}

    /**
     * The time of the request's read state runs out while an attempt is out that has no answer; {@code arrived}: other calls to its server
     * show that the attempt has arrived.
     */
    public record StateDue(long request, boolean arrived) implements Event {}

    /** The client closed its connection before the end of its answer. */
    public record ClientLeft(long request) implements Event {}

    /** Another process decides for the same node beside this one, or does no more: {@code part} of the node's is for this one. */
    public record Beside(double part) implements Event {}

    /** A {@link Timer} has run out. */
    public record TimerFired(String tag) implements Event {}

    /** How a health probe ended; {@code report} may be null. */
    public record Probed(String server, Outcome outcome, double latencyS, Report report) implements Event {}

    /** A server's own word on its load; each value may be NaN. */
    public record Report(
            double slotShare,
            double waitingRequests,
            double heldRequests,
            double memoryShare,
            double waitingThousandTokens) {}

    // ---- actions -------------------------------------------------------------------------------

    /** What the module asks of a node. */
    public sealed interface Action
            permits Attempt, Refuse, Fail, Cancel, Transfer, Release, ReleaseBeside, Probe, Timer, FollowList, Remark {}

    /** For people: HOME and SPILL are readers, by hash and for their lighter load; the last four are of cancels. */
    public enum Why {
        HOME,
        SPILL,
        WRITER,
        DOOR,
        SLOW,
        RAN,
        NO_ATTEMPT_LEFT,
        NO_TIME,
        NOT_SENT,
        OVERTAKEN,
        SILENT,
        OVER
    }

    /**
     * {@code until}: the time at which the attempt times out; {@code latest}: its last byte may not leave after this
     * (infinite: at any time), which ends it as NOT_SENT.
     */
    public record Attempt(long request, String server, double until, double latest, Why why) implements Action {}

    /** {@code retryAfterS} 0: no advice. */
    public record Refuse(long request, double retryAfterS, Why why) implements Action {}

    /** Gives the request its final answer: it can not be completed. */
    public record Fail(long request, Why why) implements Action {}

    /** Closes an attempt that is out. */
    public record Cancel(long request, int attempt, Why why) implements Action {}

    /** Ends a running stream in good order, so that its client resumes it elsewhere. */
    public record Transfer(long request) implements Action {}

    /** Lets go of every read state held for the request. */
    public record Release(long request) implements Action {}

    /** The same at once, though an attempt is out: it may not have arrived. */
    public record ReleaseBeside(long request) implements Action {}

    /** Sends a health probe to the server. */
    public record Probe(String server) implements Action {}

    /** Asks for a {@link TimerFired} with the same tag after the span. */
    public record Timer(double afterS, String tag) implements Action {}

    /** Subscribes to the list of servers. */
    public record FollowList() implements Action {}

    /** A line for the log. */
    public record Remark(String text) implements Action {}
}

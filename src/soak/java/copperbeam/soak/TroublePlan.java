package copperbeam.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The schedule of the faults ("troubles") that are injected in a run, drawn from its seed; usually several overlap. */
record TroublePlan(List<Trouble> troubles) {
    /** What is made to fail. */
    enum Kind {
        /** A server treats requests by a drawn {@link ServerStandIn.Behavior} for a while. */
        SERVER_MOOD,
        SERVER_CUT_OFF,
        SERVER_REPLACED,
        CONDUCTOR_CUT_OFF,
        /** No new connection to one server is established. */
        NETWORK_LATE,
        /** Bytes to and from one server are forwarded in pieces of a few bytes. */
        NETWORK_TRICKLES,
        CONNECTIONS_RESET,
        DISCOVERY,
        CONDUCTOR_STOPPED,
        CONDUCTOR_KILLED,
        CONDUCTOR_UPGRADED,
        RELOAD,
        CLOCK_STEP,
        SYSTEM_CALLS,
        /** Reads from and writes to a conductor's sockets transfer at most 100 to 2099 bytes each. */
        SHORT_IO,
        /** A conductor's writes to files fail. */
        DISK,
        /** Many clients connect to a conductor and send nothing. */
        CLIENT_CROWD,
        /** 80 % of the servers of one role become unreachable together, for all conductors. */
        ROLE_CUT_OFF,
        /** A conductor is suspended (SIGSTOP) for a moment, as if it got no processor time. */
        HELD_UP,
        /** The existing connections to one server carry nothing any more, without an error at either end; new ones work. */
        CONNECTIONS_SILENT,
        /** All servers restart at once. Not drawn at random, as nothing else may fail during their slow start. */
        ALL_RESTARTED,
        /**
         * Connections to one server fall silent one by one, as they are used, while the others and new ones work. Not drawn at
         * random, but part of every plan with losses.
         */
        CONNECTIONS_LOSSY;

        private static final List<Kind> DRAWN = List.of(values()).subList(0, ALL_RESTARTED.ordinal());
    }

    /**
     * One fault. {@code target}: selects the conductor or server concerned, modulo their number; {@code draw}: a random number that
     * decides its details; {@code fromMs}: its beginning, since the start of the run.
     */
    record Trouble(Kind kind, int target, int draw, long fromMs, long lengthMs) {}

    private static final int FIRST_TROUBLE_MS = 1500; // since the start of the run
    private static final int QUIET_END_MS = 5000; // no trouble begins in this last part of a run
    private static final int MAX_PAUSE_MS = 900; // between the beginnings of two troubles
    private static final int LOSSY_SERVERS = 3; // in a plan with losses
    private static final int MIN_LENGTH_MS = 200;
    private static final int MAX_LENGTH_MS = 3500;

    static TroublePlan draw(Random random, long lengthMs) {
        return new TroublePlan(drawTroubles(random, FIRST_TROUBLE_MS, lengthMs));
    }

    /** A plan that first restarts all servers together and has no other trouble until they are warm. */
    static TroublePlan drawAfterRestart(Random random, long lengthMs, long warmWithinMs) {
        List<Trouble> troubles = new ArrayList<>();
        troubles.add(new Trouble(Kind.ALL_RESTARTED, 0, 0, FIRST_TROUBLE_MS, 0));
        troubles.addAll(drawTroubles(random, warmFromMs(warmWithinMs), lengthMs));
        return new TroublePlan(troubles);
    }

    /** When the servers are warm in a plan that restarts all of them, since the start of the run. */
    static long warmFromMs(long warmWithinMs) {
        return FIRST_TROUBLE_MS + warmWithinMs;
    }

    /** A plan in which the connections to some servers are lossy throughout, besides the usual troubles. */
    static TroublePlan drawWithLosses(Random random, long lengthMs) {
        List<Trouble> troubles = new ArrayList<>();
        long lossyMs = Math.max(0, lengthMs - QUIET_END_MS - FIRST_TROUBLE_MS);
        for (int i = 0; i < LOSSY_SERVERS; i++) {
            troubles.add(new Trouble(
                    Kind.CONNECTIONS_LOSSY,
                    random.nextInt(1 << 20),
                    random.nextInt(1 << 20),
                    FIRST_TROUBLE_MS,
                    lossyMs));
        }
        troubles.addAll(drawTroubles(random, FIRST_TROUBLE_MS, lengthMs));
        return new TroublePlan(troubles);
    }

    private static List<Trouble> drawTroubles(Random random, long fromMs, long lengthMs) {
        List<Trouble> troubles = new ArrayList<>();
        for (long at = fromMs; at < lengthMs - QUIET_END_MS; at += random.nextInt(MAX_PAUSE_MS)) {
            troubles.add(new Trouble(
                    Kind.DRAWN.get(random.nextInt(Kind.DRAWN.size())),
                    random.nextInt(1 << 20),
                    random.nextInt(1 << 20),
                    at,
                    MIN_LENGTH_MS + random.nextInt(MAX_LENGTH_MS - MIN_LENGTH_MS)));
        }
        return troubles;
    }
}

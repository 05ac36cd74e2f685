package copperbeam.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Which troubles come when in a run, drawn from its seed; several overlap at most times. */
record TroublePlan(List<Trouble> troubles) {
    /** What goes wrong. */
    enum Kind {
        SERVER_MOOD,
        SERVER_CUT_OFF,
        SERVER_REPLACED,
        CONDUCTOR_CUT_OFF,
        NETWORK_LATE,
        NETWORK_TRICKLES,
        CONNECTIONS_RESET,
        DISCOVERY,
        CONDUCTOR_STOPPED,
        CONDUCTOR_KILLED,
        CONDUCTOR_UPGRADED,
        RELOAD,
        CLOCK_STEP,
        SYSTEM_CALLS,
        SHORT_IO,
        DISK,
        CLIENT_CROWD,
        /** Four in five servers of one role fall silent together, for all conductors. */
        ROLE_CUT_OFF,
        /** A conductor gets no processor for a moment. */
        HELD_UP,
        /** Connections that are open to one server carry nothing any more, and nobody is told; new ones come up. */
        CONNECTIONS_SILENT,
        /** All servers start anew at once; never drawn among the others, as nothing else may go wrong meanwhile. */
        ALL_RESTARTED;

        private static final List<Kind> DRAWN = List.of(values()).subList(0, ALL_RESTARTED.ordinal());
    }

    /** {@code target}: of whatever the kind has several, to be taken modulo their number; {@code draw}: for its details. */
    record Trouble(Kind kind, int target, int draw, long fromMs, long lengthMs) {}

    private static final int FIRST_MS = 1500;
    private static final int QUIET_END_MS = 5000;
    private static final int MOST_PAUSE_MS = 900;
    private static final int LEAST_LENGTH_MS = 200;
    private static final int MOST_LENGTH_MS = 3500;

    static TroublePlan draw(Random random, long lengthMs) {
        return new TroublePlan(drawn(random, FIRST_MS, lengthMs));
    }

    /** Begins with a start of all servers together, and has no other trouble until they are warm. */
    static TroublePlan drawBehindStart(Random random, long lengthMs, long warmWithinMs) {
        List<Trouble> troubles = new ArrayList<>();
        troubles.add(new Trouble(Kind.ALL_RESTARTED, 0, 0, FIRST_MS, 0));
        troubles.addAll(drawn(random, FIRST_MS + warmWithinMs, lengthMs));
        return new TroublePlan(troubles);
    }

    private static List<Trouble> drawn(Random random, long fromMs, long lengthMs) {
        List<Trouble> troubles = new ArrayList<>();
        for (long at = fromMs; at < lengthMs - QUIET_END_MS; at += random.nextInt(MOST_PAUSE_MS)) {
            troubles.add(new Trouble(
                    Kind.DRAWN.get(random.nextInt(Kind.DRAWN.size())),
                    random.nextInt(1 << 20),
                    random.nextInt(1 << 20),
                    at,
                    LEAST_LENGTH_MS + random.nextInt(MOST_LENGTH_MS - LEAST_LENGTH_MS)));
        }
        return troubles;
    }
}

package copperbeam;

import copperbeam.Api.Rules;
import java.math.BigInteger;

/**
 * Turns of a fleet's processes at a server in slow start, for requests that weigh more than one process's
 * permits.
 *
 * <p>Every process reckons the same schedule from the settings, the list and the server's start, without a word
 * between them. A server's time runs in cycles, a little longer than the window of the rule. Turn p of each cycle
 * begins at the p-th point of the van der Corput sequence, and the processes take the turns of that number one
 * after another. Where nobody uses more than the first n turns of a cycle, no window has more than n of them.
 */
final class TurnSchedule {
    /** Turns in a cycle. */
    static final int MOST = 16;

    static final double TURN_S = 0.12; // longer than the pause between two looks at a held request
    private static final double ARRIVAL_SPREAD_S = 0.05; // by which one request may reach its server later
    private static final double STRIDE = 0.618; // of the processes, between the owners of places p and p + 1

    private final Rules rules;
    private final int nodes;
    private final int index;
    private final int stride;

    TurnSchedule(Rules rules, int nodes, int index) {
        this.rules = rules;
        this.nodes = nodes;
        this.index = index;
        stride = coprime((int) Math.round(nodes * STRIDE), nodes);
    }

    /** The least number from this one on that shares no factor with the nodes: else few of them own a cycle. */
    private static int coprime(int from, int nodes) {
        BigInteger all = BigInteger.valueOf(nodes);
        int number = from;
        while (!BigInteger.valueOf(number).gcd(all).equals(BigInteger.ONE)) {
            number++;
        }
        return number;
    }

    /** A turn that is under way: which of its cycle, and the time since its begin. */
    record Turn(int place, double sinceS) {}

    /**
     * The turn of this process that is under way now, or null. {@code age}: since the server's start.
     * {@code rank}: the server's, among {@code servers}.
     */
    Turn at(double age, int rank, int servers) {
        double cycle = cycleS();
        double cycles = age / cycle - rank / (double) servers;
        long whole = (long) Math.floor(cycles);
        for (int place = 0; place < MOST; place++) {
            double since = (cycles - whole - point(place)) * cycle;
            if (since >= 0 && since < TURN_S && owner(whole, place, rank, servers) == index) {
                return new Turn(place, since);
            }
        }
        return null;
    }

    private double cycleS() {
        return Math.max(rules.fallS(), TURN_S) + TURN_S + ARRIVAL_SPREAD_S;
    }

    private long owner(long cycle, int place, int rank, int servers) {
        return Math.floorMod(cycle * servers + rank + place * stride, (long) nodes);
    }

    /** The van der Corput sequence of base 2 below {@link #MOST}: 0, 1/2, 1/4, 3/4, 1/8 and so on. */
    private static double point(int place) {
        return Integer.toUnsignedLong(Integer.reverse(place)) / (double) (1L << Integer.SIZE);
    }
}

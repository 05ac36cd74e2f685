package copperbeam;

import copperbeam.Api.Rules;
import java.math.BigInteger;

/**
 * Time slots ("turns") in which one process of the fleet may send a server in slow start a request that weighs more
 * than the permits of the process.
 *
 * <p>Every process computes the same schedule from the settings, the server list and the server's start time, so that
 * no communication is needed. A server's time is divided into cycles a little longer than the window of the slow-start
 * rule. Turn p of each cycle begins at the p-th point of the van der Corput sequence, and the processes own the turns
 * of that index in rotation. If no process uses more than the first n turns of a cycle, any window has at most n turns.
 */
final class TurnSchedule {
    /** Number of turns in a cycle. */
    static final int MOST = 16;

    /** Longer than the interval at which a held request is checked again, so that no turn is missed. */
    static final double TURN_S = 0.12;

    /** Allowance for the different delays with which two requests reach a server. */
    private static final double ARRIVAL_SPREAD_S = 0.05;

    /** Distance between the owners of turns p and p + 1 of a cycle, as a share of the node count. */
    private static final double STRIDE = 0.618;

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

    /**
     * The smallest number not below {@code start} that is coprime to the node count. With a common factor only a few
     * nodes would own all turns of a cycle.
     */
    private static int coprime(int from, int nodes) {
        BigInteger all = BigInteger.valueOf(nodes);
        int number = from;
        while (!BigInteger.valueOf(number).gcd(all).equals(BigInteger.ONE)) {
            number++;
        }
        return number;
    }

    /** A current turn: its index in the cycle and the time since it began. */
    record Turn(int place, double sinceS) {}

    /**
     * The current turn if this process owns it, else null.
     *
     * @param ageS time since the server's start
     * @param rank index of the server, or pair of servers, among {@code serverCount}; it shifts the cycle
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

    /** Start of a turn as fraction of the cycle, by the van der Corput sequence of base 2: 0, 1/2, 1/4, 3/4, 1/8... */
    private static double point(int place) {
        return Integer.toUnsignedLong(Integer.reverse(place)) / (double) (1L << Integer.SIZE);
    }
}

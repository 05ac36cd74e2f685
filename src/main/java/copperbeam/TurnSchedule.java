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
    static final int TURNS_PER_CYCLE = 16;

    /** Longer than the interval at which a held request is checked again, so that no turn is missed. */
    static final double TURN_DURATION_S = 0.12;

    /** Allowance for the different delays with which two requests reach a server. */
    private static final double ARRIVAL_JITTER_S = 0.05;

    /** Distance between the owners of turns p and p + 1 of a cycle, as a share of the node count. */
    private static final double OWNER_STRIDE_SHARE = 0.618;

    private final Rules rules;
    private final int nodeCount;
    private final int nodeIndex;
    private final int stride;

    TurnSchedule(Rules rules, int nodeCount, int nodeIndex) {
        this.rules = rules;
        this.nodeCount = nodeCount;
        this.nodeIndex = nodeIndex;
        stride = nextCoprime((int) Math.round(nodeCount * OWNER_STRIDE_SHARE), nodeCount);
    }

    /**
     * The smallest number not below {@code start} that is coprime to the node count. With a common factor only a few
     * nodes would own all turns of a cycle.
     */
    private static int nextCoprime(int start, int modulus) {
        BigInteger bigModulus = BigInteger.valueOf(modulus);
        int number = start;
        while (!BigInteger.valueOf(number).gcd(bigModulus).equals(BigInteger.ONE)) {
            number++;
        }
        return number;
    }

    /** A current turn: its index in the cycle and the time since it began. */
    record Turn(int index, double elapsedS) {}

    /**
     * The current turn if this process owns it, else null.
     *
     * @param ageS time since the server's start
     * @param rank index of the server, or pair of servers, among {@code serverCount}; it shifts the cycle
     */
    Turn currentTurn(double ageS, int rank, int serverCount) {
        double cycleLengthS = cycleLengthS();
        double cyclesElapsed = ageS / cycleLengthS - rank / (double) serverCount;
        long cycleNumber = (long) Math.floor(cyclesElapsed);
        for (int turnIndex = 0; turnIndex < TURNS_PER_CYCLE; turnIndex++) {
            double elapsedS = (cyclesElapsed - cycleNumber - startFraction(turnIndex)) * cycleLengthS;
            if (elapsedS >= 0
                    && elapsedS < TURN_DURATION_S
                    && owner(cycleNumber, turnIndex, rank, serverCount) == nodeIndex) {
                return new Turn(turnIndex, elapsedS);
            }
        }
        return null;
    }

    private double cycleLengthS() {
        return Math.max(rules.overloadWindowS(), TURN_DURATION_S) + TURN_DURATION_S + ARRIVAL_JITTER_S;
    }

    private long owner(long cycleNumber, int turnIndex, int rank, int serverCount) {
        return Math.floorMod(cycleNumber * serverCount + rank + turnIndex * stride, (long) nodeCount);
    }

    /** Start of a turn as fraction of the cycle, by the van der Corput sequence of base 2: 0, 1/2, 1/4, 3/4, 1/8... */
    private static double startFraction(int turnIndex) {
        return Integer.toUnsignedLong(Integer.reverse(turnIndex)) / (double) (1L << Integer.SIZE);
    }
}

package copperbeam;

import copperbeam.Api.*;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.TreeMap;

/** The data that the decision module keeps between events: records, averages and counters, without decisions. */
final class State {
    private State() {}

    /** The value, or 0 for one that is not known. */
    static double or0(double value) {
        return Double.isNaN(value) ? 0 : value;
    }

    /** A hash of two names, evenly spread over 0 to 1 and the same on all nodes. */
    static double hashToUnit(String first, String second) {
        long bits = 31L * first.hashCode() + second.hashCode() * 0x9E3779B97F4A7C15L;
        bits = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
        bits = (bits ^ bits >>> 27) * 0x94D049BB133111EBL;
        return ((bits ^ bits >>> 31) >>> 11) * 0x1p-53;
    }

    /**
     * An exponentially weighted moving average. Starts as the plain mean of the first samples, until a new one weighs
     * no more than {@code minWeight}, which is the weight of all later ones.
     */
    static final class Ewma {
        final double minWeight;
        double value;
        boolean known;
        int count;

        Ewma(double minWeight) {
            this.minWeight = minWeight;
        }

        void add(double sample) {
            count++;
            value += Math.max(minWeight, 1.0 / count) * (sample - value);
            known = true;
        }

        /** Whether as many samples are in as the average extends over. */
        boolean isSettled() {
            return count * minWeight >= 1;
        }
    }

    /** The moving mean and mean deviation of a latency, in seconds, as for TCP's retransmission timeout. */
    static final class LatencyStats {
        final Ewma mean;
        final Ewma deviation;

        LatencyStats(double weight) {
            mean = new Ewma(weight);
            deviation = new Ewma(weight);
        }

        void add(double latency) {
            deviation.add(mean.known ? Math.abs(latency - mean.value) : latency / 2);
            mean.add(latency);
        }

        /** The latency that lies {@code deviations} mean deviations above the mean. */
        double upper(double deviations) {
            return mean.value + deviations * deviation.value;
        }
    }

    /**
     * The minimum of recent samples. While all new samples are greater, it rises by at most a factor of e in each
     * {@code growthS} seconds. From the first samples on it falls by at most a factor of e in each {@link #FALL_S}, as
     * a client may say that its request is longer than it is.
     */
    private static final class RecentMinimum {
        private static final double FALL_S = SlewLimiter.TIME_CONSTANT_S;
        private static final int FIRST_SAMPLES = 50;

        private final double growthS;
        private double value = Double.POSITIVE_INFINITY;
        private double updatedAt;
        private int sampleCount;

        RecentMinimum(double growthS) {
            this.growthS = growthS;
        }

        void add(double now, double sample) {
            double elapsedS = now - updatedAt;
            double lowest = sampleCount < FIRST_SAMPLES ? 0 : value * Math.exp(-elapsedS / FALL_S);
            value = Math.max(lowest, Math.min(sample, value * Math.exp(elapsedS / growthS)));
            updatedAt = now;
            sampleCount++;
        }

        /** 0 before the first sample. */
        double value() {
            return Double.isInfinite(value) ? 0 : value;
        }
    }

    /**
     * Estimates the seconds that work takes without queueing, from the recent minima: by its tokens, and no less than
     * the shortest work took.
     */
    static final class ServiceTime {
        private final RecentMinimum shortestS;
        private final RecentMinimum shortestPerTokenS; // of work above the mean size: fixed costs prevail in smaller
        private final Ewma meanTokens;

        ServiceTime(double growthS, double weight) {
            shortestS = new RecentMinimum(growthS);
            shortestPerTokenS = new RecentMinimum(growthS);
            meanTokens = new Ewma(weight);
        }

        void add(double now, double latency, double workTokens) {
            meanTokens.add(workTokens);
            shortestS.add(now, latency);
            if (workTokens >= meanTokens.value) {
                shortestPerTokenS.add(now, latency / Math.max(workTokens, 1));
            }
        }

        double of(double workTokens) {
            return Math.max(shortestS.value(), shortestPerTokenS.value() * workTokens);
        }
    }

    /** A moving average that decays to 0 without new samples, by a factor of e in each {@code decayS} seconds. */
    static final class DecayingAverage {
        final double weight;
        final double decayS;
        double value;
        double updatedAt = Double.NEGATIVE_INFINITY;

        DecayingAverage(double weight, double decayS) {
            this.weight = weight;
            this.decayS = decayS;
        }

        void add(double now, double sample) {
            value += weight * (sample - value);
            updatedAt = now;
        }

        double valueAt(double now) {
            return value * Math.exp((updatedAt - now) / decayS);
        }
    }

    /** A decaying count of events in total and for each name. */
    static final class DecayingCounts {
        final double decayS;
        final int maxNames;
        final DecayingCount sum;
        final Map<String, DecayingCount> byName = new LinkedHashMap<>();

        DecayingCounts(double decayS, int maxNames) {
            this.decayS = decayS;
            this.maxNames = maxNames;
            sum = new DecayingCount(decayS);
        }

        void add(double now, String name) {
            sum.add(now, 1);
            if (byName.size() >= maxNames) {
                byName.values().removeIf(c -> c.count(now) < 1);
            }
            if (name != null) {
                byName.computeIfAbsent(name, n -> new DecayingCount(decayS)).add(now, 1);
            }
        }

        double of(double now, String name) {
            DecayingCount counter = name == null ? null : byName.get(name);
            return counter == null ? 0 : counter.count(now);
        }
    }

    /** An estimate of how many events come in a second. */
    interface RateEstimate {
        double ratePerS(double now);
    }

    /** A count that decays by a factor of e in each {@code decayS} seconds. */
    static final class DecayingCount implements RateEstimate {
        final double decayS;
        double count;
        double updatedAt;
        double since = -1; // start of the measurement or time of the first event; below 0 before both

        DecayingCount(double decayS) {
            this.decayS = decayS;
        }

        void add(double now, double weight) {
            count = count(now) + weight;
            updatedAt = now;
            since = since < 0 ? now : since;
        }

        double count(double now) {
            return count * Math.exp(-(now - updatedAt) / decayS);
        }

        /** Events a second, corrected for a time since the start that is short compared with {@code decayS}. */
        @Override
        public double ratePerS(double now) {
            return since < 0 ? 0 : count(now) / averagedTimeS(now);
        }

        /** Forgets events beyond this rate. */
        void capRate(double now, double maxPerS) {
            count = Math.min(count(now), maxPerS * averagedTimeS(now));
            updatedAt = now;
        }

        private double averagedTimeS(double now) {
            return decayS * (1 - Math.exp(-Math.max(1, now - since) / decayS));
        }
    }

    /** The servers with the highest scores of those offered, in descending order. Only positive scores count. */
    static final class Candidates {
        final Server[] server;
        final double[] score;
        final double[] fit; // how far each server is usable at present: from 0 to 1
        int size;

        Candidates(int capacity) {
            server = new Server[capacity];
            score = new double[capacity];
            fit = new double[capacity];
        }

        void offer(Server candidate, double candidateScore, double candidateFit) {
            if (candidateScore <= 0 || size == server.length && candidateScore <= score[size - 1]) {
                return;
            }
            int i = size < server.length ? size++ : size - 1;
            for (; i > 0 && score[i - 1] < candidateScore; i--) {
                server[i] = server[i - 1];
                score[i] = score[i - 1];
                fit[i] = fit[i - 1];
            }
            server[i] = candidate;
            score[i] = candidateScore;
            fit[i] = candidateFit;
        }

        /** Adds a server at the end, without a score. */
        void append(Server candidate, double candidateFit) {
            server[size] = candidate;
            fit[size++] = candidateFit;
        }

        /** The server's position, or -1. */
        int rank(Server candidate) {
            return Arrays.asList(server).indexOf(candidate);
        }
    }

    /** A cell's shares of the whole fleet: of the reads that its readers do and of the writes that its writers do. */
    static final class Cell {
        final Zone zone;
        double readShare;
        double writeShare;

        Cell(Zone zone) {
            this.zone = zone;
        }

        /**
         * The weight of writers in {@code target} for a read state from this cell. As many states stay in the cell as
         * its writers can take; the others go to cells with spare writers, in the same zone as far as these can take
         * them. Computed from the server list, so that all nodes together load links little and writers evenly; a
         * node's own traffic doesn't show the total load.
         *
         * @param keepInCell whether this state stays in the cell
         * @param keepInZone whether it stays in the zone, if it leaves the cell
         * @param minWeight the weight of cells to be used only where there is no other
         */
        double transferWeight(Cell target, boolean keepInCell, boolean keepInZone, double minWeight) {
            if (keepInCell) {
                return target == this ? 1 : minWeight;
            }
            double spare = Math.max(0, target.writeShare - target.readShare) / target.writeShare;
            return Math.max(minWeight, target.zone == zone == keepInZone ? spare : 0);
        }
    }

    /** Sums over a zone's cells: of reads in excess of writes, and of writes in excess of reads. */
    static final class Zone {
        double excess;
        double spare;
    }

    /** The cells and zones of the listed servers. */
    static final class Cells {
        private final Map<Long, Cell> byNumber = new TreeMap<>();
        private final Map<String, Zone> zonesByName = new TreeMap<>();

        Cell cellOf(Member member) {
            return byNumber.computeIfAbsent(
                    member.cell(),
                    n -> new Cell(zonesByName.computeIfAbsent(String.valueOf(member.zone()), z -> new Zone())));
        }

        /** Turns the sums of servers into shares of the fleet. To be called once, after all servers were added. */
        void normalize() {
            double reads = 0;
            double writes = 0;
            for (Cell cell : byNumber.values()) {
                reads += cell.readShare;
                writes += cell.writeShare;
            }
            for (Cell cell : byNumber.values()) {
                cell.readShare /= reads > 0 ? reads : 1;
                cell.writeShare /= writes > 0 ? writes : 1;
                cell.zone.excess += Math.max(0, cell.readShare - cell.writeShare);
                cell.zone.spare += Math.max(0, cell.writeShare - cell.readShare);
            }
        }
    }

    /** A token bucket that enforces this node's part of a customer's quota. */
    static final class TokenBucket {
        final double refillPerS;
        final double capacity;
        double available;
        double refilledAt;

        TokenBucket(double refillPerS, double capacity, double available) {
            this.refillPerS = refillPerS;
            this.capacity = capacity;
            this.available = available;
        }

        /** Takes one request off the bucket; false if none is left. */
        boolean tryTake(double now) {
            available = Math.min(available + (now - refilledAt) * refillPerS, capacity);
            refilledAt = now;
            boolean allowed = available >= 1;
            available -= allowed ? 1 : 0;
            return allowed;
        }
    }

    /** What this process may send to a server while it is cold, in requests of mean weight. */
    static final class Permits {
        final double launchedAt;
        double updatedAt;
        double accrued; // permits earned up to updatedAt; only whole permits may be used
        double used; // permits spent or expired
        double lastTurnAt = Double.NEGATIVE_INFINITY; // when this process last used one of its turns

        Permits(double launchedAt, double updatedAt, double accrued) {
            this.launchedAt = launchedAt;
            this.updatedAt = updatedAt;
            this.accrued = accrued;
        }
    }

    /** A server, with this node's attempts at it and what is known of its load and health. Times in seconds. */
    static final class Server {
        final String id;
        Member member; // its entry in the server list, or null
        Role role = Role.MIXED;
        double inFlightTokens; // prompt tokens of this node's attempts in flight
        double waitingTokens; // the part of them in attempts without an answer yet
        double unreportedTokens; // the part of waitingTokens that was sent too late to be in the last report
        final ArrayDeque<SentAttempt> unreported = new ArrayDeque<>(); // sent too late to be in the last report
        final LinkedHashSet<SentAttempt> inFlight = new LinkedHashSet<>(); // attempts in flight
        final LinkedHashSet<SentAttempt> unanswered = new LinkedHashSet<>(); // neither read nor streaming yet
        final DecayingAverage waitTime; // seconds that recent attempts queued until the read or the first token
        double lastAnsweredSentAt; // send time of the newest attempt that was read or has begun to stream
        double memoryTokens; // tokens of read state that its memory holds
        Report report;
        double reportedAt;
        double heardAt; // last sign of life: an answer of any kind
        double probedAt;
        double failShare; // moving average of outcomes: 1 a failure, 0 a success
        int silenceCount; // missing answers in a row
        boolean ejected; // gets attempts only as a trial, or where there is no other server
        boolean errorEjected; // why it was last ejected: for errors, else for missing answers
        double ejectedUntil; // from then on it gets one attempt as a trial
        double ejectionS; // length of the last ejection, in seconds
        double ejectedAt;
        double fullUntil; // gets no attempts until then, as it answered FULL
        Permits permits;

        Server(String id, DecayingAverage waitTime) {
            this.id = id;
            this.waitTime = waitTime;
        }

        boolean isReady() {
            return member != null && member.state() == ServerState.READY;
        }

        /** Whether a probe was sent and no sign of life has come since. */
        boolean probePending() {
            return probedAt > Math.max(reportedAt, heardAt);
        }

        void addAttempt(SentAttempt attempt) {
            inFlight.add(attempt);
            unanswered.add(attempt);
            inFlightTokens += attempt.tokens;
            waitingTokens += attempt.tokens;
            unreportedTokens += attempt.tokens;
            while (!unreported.isEmpty() && !unreported.peekFirst().isUnreported) {
                unreported.pollFirst();
            }
            unreported.add(attempt);
        }

        /** The attempt has been read or has begun to stream: its prompt no longer waits. */
        void markAnswered(SentAttempt attempt) {
            markReported(attempt);
            if (unanswered.remove(attempt)) {
                waitingTokens -= attempt.tokens;
            }
        }

        void removeAttempt(SentAttempt attempt) {
            markAnswered(attempt);
            inFlightTokens -= attempt.tokens;
            inFlight.remove(attempt);
        }

        /** Memory in use by the last report, in tokens. */
        double heldTokens() {
            return or0(report.memoryShare()) * memoryTokens;
        }

        /** Stores a report, which is assumed to count the attempts sent more than {@code lagS} seconds ago. */
        void storeReport(Report newReport, double now, double lagS) {
            report = newReport;
            reportedAt = now;
            while (!unreported.isEmpty() && unreported.peekFirst().sentAt <= now - lagS) {
                markReported(unreported.pollFirst());
            }
        }

        private void markReported(SentAttempt attempt) {
            unreportedTokens -= attempt.isUnreported ? attempt.tokens : 0;
            attempt.isUnreported = false;
        }
    }

    /** An open request. Times in seconds. */
    static final class Request {
        final Arrival arrival;
        final RequestClass type;
        SentAttempt attempt; // the one in flight, or null
        int sendCount; // attempts so far
        boolean closed; // has its final answer, was given up by the client, or its stream is transferred
        Api.Reason closeReason; // of the final answer that is given once the attempt in flight has ended, or null
        boolean holdsState; // a reader holds its read state
        Server reader; // that did its last read
        double lastAnswerAt; // when its last answered attempt ended
        Member ranOn; // where it may have run first (reads aside), as listed when that attempt was sent
        double ranSince; // when that attempt, or the one in flight, was sent
        String triedId; // the last attempt's server, which the next one avoids; null after a read
        Candidates candidates; // servers for the next attempt, or null
        boolean reselected; // candidates were chosen a second time, as the first did not answer their probes
        boolean countedInDemand; // in the node's demand for slow start
        SlowStart.Grant grant; // turn at servers in slow start, or null

        Request(Arrival arrival, RequestClass type) {
            this.arrival = arrival;
            this.type = type;
        }

        /** Drops the candidates too: with a read state held they are writers, which have nothing to fetch now. */
        void dropReadState() {
            candidates = holdsState ? null : candidates;
            holdsState = false;
        }
    }

    /** An attempt that was sent. */
    static final class SentAttempt {
        final Request request;
        final Server server;
        final Member memberWhenSent; // the server's list entry: the server may leave the list before the outcome
        final int number;
        final boolean isRead; // sent to a reader, to read the prompt
        final int rank; // of its server among the candidates; for a read, 0 is the home reader
        final double sentAt;
        final double tokens; // prompt tokens: those a reader has to read; at other servers all of the prompt
        final ServiceTime serviceTime; // the estimate for attempts of the same sort
        double queuedAheadTokens; // tokens queued before it at the server, as far as known when it was sent
        boolean isUnreported = true; // is in its server's unreportedTokens
        boolean streaming; // its stream has begun
        boolean cancelled;

        SentAttempt(
                Request request,
                Server server,
                int number,
                int rank,
                double tokens,
                ServiceTime serviceTime,
                double sentAt) {
            this.request = request;
            this.server = server;
            memberWhenSent = server.member;
            this.number = number;
            this.rank = rank;
            this.tokens = tokens;
            this.serviceTime = serviceTime;
            this.sentAt = sentAt;
            isRead = server.role == Role.READER;
        }
    }
}

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
    static double hash(String a, String b) {
        long h = 31L * a.hashCode() + b.hashCode() * 0x9E3779B97F4A7C15L;
        h = (h ^ h >>> 30) * 0xBF58476D1CE4E5B9L;
        h = (h ^ h >>> 27) * 0x94D049BB133111EBL;
        return ((h ^ h >>> 31) >>> 11) * 0x1p-53;
    }

    /**
     * An exponentially weighted moving average. Starts as the plain mean of the first samples, until a new one weighs
     * no more than {@code minWeight}, which is the weight of all later ones.
     */
    static final class Mean {
        final double weight;
        double value;
        boolean known;
        int count;

        Mean(double weight) {
            this.weight = weight;
        }

        void add(double sample) {
            count++;
            value += Math.max(weight, 1.0 / count) * (sample - value);
            known = true;
        }
    }

    /** The moving mean and mean deviation of a latency, in seconds, as for TCP's retransmission timeout. */
    static final class Pace {
        final Mean mean;
        final Mean deviation;

        Pace(double weight) {
            mean = new Mean(weight);
            deviation = new Mean(weight);
        }

        void add(double latency) {
            deviation.add(mean.known ? Math.abs(latency - mean.value) : latency / 2);
            mean.add(latency);
        }

        /** The latency that lies {@code deviations} mean deviations above the mean. */
        double most(double deviations) {
            return mean.value + deviations * deviation.value;
        }
    }

    /**
     * The minimum of recent samples. While all new samples are greater, it rises by at most a factor of e in each
     * {@code growthS} seconds.
     */
    private static final class Least {
        private final double span;
        private double value = Double.POSITIVE_INFINITY;
        private double at;

        Least(double span) {
            this.span = span;
        }

        void add(double now, double sample) {
            value = Math.min(sample, value * Math.exp((now - at) / span));
            at = now;
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
        private final Least seconds;
        private final Least perToken; // of work above the mean size: fixed costs prevail in smaller
        private final Mean tokens;

        ServiceTime(double span, double learn) {
            seconds = new Least(span);
            perToken = new Least(span);
            tokens = new Mean(learn);
        }

        void add(double now, double latency, double its) {
            tokens.add(its);
            seconds.add(now, latency);
            if (its >= tokens.value) {
                perToken.add(now, latency / Math.max(its, 1));
            }
        }

        double of(double its) {
            return Math.max(seconds.value(), perToken.value() * its);
        }
    }

    /** A moving average that decays to 0 without new samples, by a factor of e in each {@code decayS} seconds. */
    static final class Fading {
        final double weight;
        final double span;
        double value;
        double seenAt = Double.NEGATIVE_INFINITY;

        Fading(double weight, double span) {
            this.weight = weight;
            this.span = span;
        }

        void add(double now, double sample) {
            value += weight * (sample - value);
            seenAt = now;
        }

        double at(double now) {
            return value * Math.exp((seenAt - now) / span);
        }
    }

    /** A decaying count of events in total and for each name. */
    static final class Counts {
        final double span;
        final int most;
        final Rate all;
        final Map<String, Rate> named = new LinkedHashMap<>();

        Counts(double span, int most) {
            this.span = span;
            this.most = most;
            all = new Rate(span);
        }

        void add(double now, String name) {
            all.add(now, 1);
            if (named.size() >= most) {
                named.values().removeIf(c -> c.count(now) < 1);
            }
            if (name != null) {
                named.computeIfAbsent(name, n -> new Rate(span)).add(now, 1);
            }
        }

        double of(double now, String name) {
            Rate r = name == null ? null : named.get(name);
            return r == null ? 0 : r.count(now);
        }
    }

    /** A count that decays by a factor of e in each {@code decayS} seconds. */
    static final class Rate {
        final double span;
        double count;
        double at;
        double from = -1; // start of the measurement or time of the first event; below 0 before both

        Rate(double span) {
            this.span = span;
        }

        void add(double now, double weight) {
            count = count(now) + weight;
            at = now;
            from = from < 0 ? now : from;
        }

        double count(double now) {
            return count * Math.exp(-(now - at) / span);
        }

        /** Events a second, corrected for a time since the start that is short compared with {@code decayS}. */
        double perS(double now) {
            return from < 0 ? 0 : count(now) / (span * (1 - Math.exp(-Math.max(1, now - from) / span)));
        }
    }

    /** The servers with the highest scores of those offered, in descending order. Only positive scores count. */
    static final class Top {
        final Server[] server;
        final double[] score;
        final double[] fit; // how far each server is usable at present: from 0 to 1
        int size;

        Top(int most) {
            server = new Server[most];
            score = new double[most];
            fit = new double[most];
        }

        void offer(Server s, double its, double itsFit) {
            if (its <= 0 || size == server.length && its <= score[size - 1]) {
                return;
            }
            int i = size < server.length ? size++ : size - 1;
            for (; i > 0 && score[i - 1] < its; i--) {
                server[i] = server[i - 1];
                score[i] = score[i - 1];
                fit[i] = fit[i - 1];
            }
            server[i] = s;
            score[i] = its;
            fit[i] = itsFit;
        }

        /** Adds a server at the end, without a score. */
        void add(Server s, double itsFit) {
            server[size] = s;
            fit[size++] = itsFit;
        }

        /** The server's position, or -1. */
        int rank(Server s) {
            return Arrays.asList(server).indexOf(s);
        }
    }

    /** A cell's shares of the whole fleet: of the reads that its readers do and of the writes that its writers do. */
    static final class Cell {
        final Zone zone;
        double reads;
        double writes;

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
        double nearness(Cell to, boolean stays, boolean zoneStays, double least) {
            if (stays) {
                return to == this ? 1 : least;
            }
            double spare = Math.max(0, to.writes - to.reads) / to.writes;
            return Math.max(least, to.zone == zone == zoneStays ? spare : 0);
        }
    }

    /** Sums over a zone's cells: of reads in excess of writes, and of writes in excess of reads. */
    static final class Zone {
        double wants;
        double spare;
    }

    /** The cells and zones of the listed servers. */
    static final class Cells {
        private final Map<Long, Cell> cells = new TreeMap<>();
        private final Map<String, Zone> zones = new TreeMap<>();

        Cell of(Member m) {
            return cells.computeIfAbsent(
                    m.cell(), n -> new Cell(zones.computeIfAbsent(String.valueOf(m.zone()), z -> new Zone())));
        }

        /** Turns the sums of servers into shares of the fleet. To be called once, after all servers were added. */
        void share() {
            double reads = 0;
            double writes = 0;
            for (Cell c : cells.values()) {
                reads += c.reads;
                writes += c.writes;
            }
            for (Cell c : cells.values()) {
                c.reads /= reads > 0 ? reads : 1;
                c.writes /= writes > 0 ? writes : 1;
                c.zone.wants += Math.max(0, c.reads - c.writes);
                c.zone.spare += Math.max(0, c.writes - c.reads);
            }
        }
    }

    /** A token bucket that enforces this node's part of a customer's quota. */
    static final class Quota {
        final double perS;
        final double most;
        double credit;
        double at;

        Quota(double perS, double most, double credit) {
            this.perS = perS;
            this.most = most;
            this.credit = credit;
        }

        /** Takes one request off the bucket; false if none is left. */
        boolean take(double now) {
            credit = Math.min(credit + (now - at) * perS, most);
            at = now;
            boolean left = credit >= 1;
            credit -= left ? 1 : 0;
            return left;
        }
    }

    /** What this process may send to a server while it is cold, in requests of mean weight. */
    static final class Permits {
        final double launchedAt;
        double at;
        double due; // permits earned up to updatedAt; only whole permits may be used
        double used; // permits spent or expired
        double lastTurnAt = Double.NEGATIVE_INFINITY; // when this process last used one of its turns

        Permits(double launchedAt, double at, double due) {
            this.launchedAt = launchedAt;
            this.at = at;
            this.due = due;
        }
    }

    /** A server, with this node's attempts at it and what is known of its load and health. Times in seconds. */
    static final class Server {
        final String id;
        Member listed; // its entry in the server list, or null
        Role role = Role.MIXED;
        double tokens; // prompt tokens of this node's attempts in flight
        double waitingTokens; // the part of them in attempts without an answer yet
        double unseenTokens; // the part of waitingTokens that was sent too late to be in the last report
        final ArrayDeque<Try> unseen = new ArrayDeque<>(); // sent too late to be in the last report
        final LinkedHashSet<Try> out = new LinkedHashSet<>(); // attempts in flight
        final LinkedHashSet<Try> waiting = new LinkedHashSet<>(); // neither read nor streaming yet
        final Fading delay; // seconds that recent attempts queued until the read or the first token
        double answeredSentAt; // send time of the newest attempt that was read or has begun to stream
        double memoryTokens; // tokens of read state that its memory holds
        Report report;
        double reportAt;
        double lastWord; // last sign of life: an answer of any kind
        double lastProbe;
        double failures; // moving average of outcomes: 1 a failure, 0 a success
        int strikes; // missing answers in a row
        boolean resting; // gets attempts only as a trial, or where there is no other server
        boolean restForErrors; // why it was last ejected: for errors, else for missing answers
        double restUntil; // from then on it gets one attempt as a trial
        double rest; // length of the last ejection, in seconds
        double benchedAt;
        double fullUntil; // gets no attempts until then, as it answered FULL
        Permits permits;

        Server(String id, Fading delay) {
            this.id = id;
            this.delay = delay;
        }

        boolean ready() {
            return listed != null && listed.state() == ServerState.READY;
        }

        /** Whether a probe was sent and no sign of life has come since. */
        boolean unheard() {
            return lastProbe > Math.max(reportAt, lastWord);
        }

        void sent(Try t) {
            out.add(t);
            waiting.add(t);
            tokens += t.tokens;
            waitingTokens += t.tokens;
            unseenTokens += t.tokens;
            while (!unseen.isEmpty() && !unseen.peekFirst().counted) {
                unseen.pollFirst();
            }
            unseen.add(t);
        }

        /** The attempt has been read or has begun to stream: its prompt no longer waits. */
        void answered(Try t) {
            seen(t);
            if (waiting.remove(t)) {
                waitingTokens -= t.tokens;
            }
        }

        void settled(Try t) {
            answered(t);
            tokens -= t.tokens;
            out.remove(t);
        }

        /** Memory in use by the last report, in tokens. */
        double heldTokens() {
            return or0(report.memoryShare()) * memoryTokens;
        }

        /** Stores a report, which is assumed to count the attempts sent more than {@code lagS} seconds ago. */
        void heard(Report word, double now, double lag) {
            report = word;
            reportAt = now;
            while (!unseen.isEmpty() && unseen.peekFirst().sentAt <= now - lag) {
                seen(unseen.pollFirst());
            }
        }

        private void seen(Try t) {
            unseenTokens -= t.counted ? t.tokens : 0;
            t.counted = false;
        }
    }

    /** An open request. Times in seconds. */
    static final class Request {
        final Arrival asked;
        final RequestClass kind;
        Try out; // the one in flight, or null
        int sends; // attempts so far
        boolean closed; // has its final answer, was given up by the client, or its stream is transferred
        Api.Why closing; // of the final answer that is given once the attempt in flight has ended, or null
        boolean holdsState; // a reader holds its read state
        Server reader; // that did its last read
        double lastEnd; // when its last answered attempt ended
        Member ranAt; // where it may have run first (reads aside), as listed when that attempt was sent
        double ranSince; // when that attempt, or the one in flight, was sent
        String lastTried; // the last attempt's server, which the next one avoids; null after a read
        Top options; // servers for the next attempt, or null
        boolean lookedAgain; // candidates were chosen a second time, as the first did not answer their probes
        boolean counted; // in the node's demand for slow start
        SlowStart.Grant grant; // turn at servers in slow start, or null

        Request(Arrival asked, RequestClass kind) {
            this.asked = asked;
            this.kind = kind;
        }

        /** Drops the candidates too: with a read state held they are writers, which have nothing to fetch now. */
        void forgetState() {
            options = holdsState ? null : options;
            holdsState = false;
        }
    }

    /** An attempt that was sent. */
    static final class Try {
        final Request request;
        final Server server;
        final Member entry; // the server's list entry: the server may leave the list before the outcome
        final int number;
        final boolean reading; // sent to a reader, to read the prompt
        final int rank; // of its server among the candidates: 0 is the home reader
        final double sentAt;
        final double tokens; // of the prompt that the server has to read, or whose state it has to hold
        final ServiceTime service; // the estimate for attempts of the same sort
        double ahead; // tokens queued before it at the server, as far as known when it was sent
        boolean counted = true; // is in its server's unreportedTokens
        boolean started; // its stream has begun
        boolean cancelled;

        Try(Request request, Server server, int number, int rank, double tokens, ServiceTime service, double sentAt) {
            this.request = request;
            this.server = server;
            entry = server.listed;
            this.number = number;
            this.rank = rank;
            this.tokens = tokens;
            this.service = service;
            this.sentAt = sentAt;
            reading = server.role == Role.READER;
        }
    }
}

package copperbeam;

import copperbeam.Api.*;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.TreeMap;

/** What the module remembers: records and counters, no decision. */
final class State {
    private State() {}

    static double or0(double value) {
        return Double.isNaN(value) ? 0 : value;
    }

    /** From 0 to 1 by two names, alike on all nodes. */
    static double hash(String a, String b) {
        long h = 31L * a.hashCode() + b.hashCode() * 0x9E3779B97F4A7C15L;
        h = (h ^ h >>> 30) * 0xBF58476D1CE4E5B9L;
        h = (h ^ h >>> 27) * 0x94D049BB133111EBL;
        return ((h ^ h >>> 31) >>> 11) * 0x1p-53;
    }

    /** The plain mean of the first samples; from then on each new one has this weight. */
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

    /** Latency's mean and deviation. */
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

        double most(double deviations) {
            return mean.value + deviations * deviation.value;
        }
    }

    /** The least lately seen. It grows by no more than a factor of e in each span, however much greater all is. */
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

        /** 0 before any was seen. */
        double value() {
            return Double.isInfinite(value) ? 0 : value;
        }
    }

    /** How long work takes that waits for none: by its tokens, and no less than the shortest took. */
    static final class ServiceTime {
        private final Least seconds;
        private final Least perToken; // of works above the mean: in short ones it is little of the time
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

    /** A mean that fades to 0 without new samples. */
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

    /** Decaying counts of what came under each name. */
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

    /** A decaying count. */
    static final class Rate {
        final double span;
        double count;
        double at;
        double from = -1;

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

        /** A second, over the time since the first. */
        double perS(double now) {
            return from < 0 ? 0 : count(now) / (span * (1 - Math.exp(-Math.max(1, now - from) / span)));
        }
    }

    /** The highest of what was offered, in order; what has no score is left out. */
    static final class Top {
        final Server[] server;
        final double[] score;
        final double[] fit;
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

        /** Behind all that it has. */
        void add(Server s, double itsFit) {
            server[size] = s;
            fit[size++] = itsFit;
        }

        int rank(Server s) {
            return Arrays.asList(server).indexOf(s);
        }
    }

    /** Shares of all reads sent by its readers and of all answers written by its writers. */
    static final class Cell {
        final Zone zone;
        double reads;
        double writes;

        Cell(Zone zone) {
            this.zone = zone;
        }

        /**
         * A state stays in its reader's cell as far as the cell's writers can take what its readers send; the
         * rest goes to cells with writers to spare, of the same zone as far as they can take it. By the list, so
         * that all nodes together load links little and writers evenly, which no node's own traffic shows.
         */
        double nearness(Cell to, boolean stays, boolean zoneStays, double least) {
            if (stays) {
                return to == this ? 1 : least;
            }
            double spare = Math.max(0, to.writes - to.reads) / to.writes;
            return Math.max(least, to.zone == zone == zoneStays ? spare : 0);
        }
    }

    /** Sums over its cells of what is sent beyond what is taken, and the reverse. */
    static final class Zone {
        double wants;
        double spare;
    }

    /** The listed cells by number. */
    static final class Cells {
        private final Map<Long, Cell> cells = new TreeMap<>();
        private final Map<String, Zone> zones = new TreeMap<>();

        Cell of(Member m) {
            return cells.computeIfAbsent(
                    m.cell(), n -> new Cell(zones.computeIfAbsent(String.valueOf(m.zone()), z -> new Zone())));
        }

        /** From sums to shares. */
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

        /** Whether one more was left. */
        boolean take(double now) {
            credit = Math.min(credit + (now - at) * perS, most);
            at = now;
            boolean left = credit >= 1;
            credit -= left ? 1 : 0;
            return left;
        }
    }

    /** To send to a server while it is cold, in requests of mean work. */
    static final class Permits {
        final double launchedAt;
        double at;
        double due; // what has come by then; the whole ones are permits
        double used; // spent or lapsed
        double lastTurnAt = Double.NEGATIVE_INFINITY; // when this process last used one of its turns

        Permits(double launchedAt, double at, double due) {
            this.launchedAt = launchedAt;
            this.at = at;
            this.due = due;
        }
    }

    static final class Server {
        final String id;
        Member listed;
        Role role = Role.MIXED;
        double tokens; // prompt tokens of this node's attempts under way
        double waitingTokens; // the part of them whose stream has not begun
        double unseenTokens; // the part of those sent too lately for the last report
        final ArrayDeque<Try> unseen = new ArrayDeque<>();
        final LinkedHashSet<Try> out = new LinkedHashSet<>();
        final LinkedHashSet<Try> waiting = new LinkedHashSet<>();
        final Fading delay; // what its attempts lately waited for a read or a first token
        double answeredSentAt; // send time of the newest attempt that was read or has begun to stream
        double memoryTokens;
        Report report;
        double reportAt;
        double lastWord;
        double lastProbe;
        double failures;
        int strikes;
        boolean resting;
        boolean restForErrors;
        double restUntil;
        double rest;
        double benchedAt;
        double fullUntil;
        Permits permits;

        Server(String id, Fading delay) {
            this.id = id;
            this.delay = delay;
        }

        boolean ready() {
            return listed != null && listed.state() == ServerState.READY;
        }

        /** A probe is out, and no word has come since. */
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

        /** Its prompt no longer waits here. */
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

        /** Memory held by its report, in tokens. */
        double heldTokens() {
            return or0(report.memoryShare()) * memoryTokens;
        }

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

    static final class Request {
        final Arrival asked;
        final RequestClass kind;
        Try out;
        int sends;
        boolean closed;
        Api.Why closing; // given up, and answered as soon as its attempt has ended
        boolean holdsState;
        Server reader;
        double lastEnd;
        Member ranAt; // where a writer's attempt may have run first, as listed when it was sent
        double ranSince; // when that was sent, or what is out
        String lastTried;
        Top options; // of which one takes the next attempt
        boolean lookedAgain; // as those asked first gave no answer
        boolean counted; // in the node's demand
        SlowStart.Grant grant; // of a turn at servers in slow start, or null

        Request(Arrival asked, RequestClass kind) {
            this.asked = asked;
            this.kind = kind;
        }

        /** The options of one whose state was held are writers, which have nothing to fetch now. */
        void forgetState() {
            options = holdsState ? null : options;
            holdsState = false;
        }
    }

    static final class Try {
        final Request request;
        final Server server;
        final Member entry; // the server's when it was sent: it may leave the list before the outcome
        final int number;
        final boolean reading;
        final int rank; // of its server among the options: 0 is the home
        final double sentAt;
        final double tokens; // to be read there, or held
        final ServiceTime service; // of attempts of its sort
        double ahead; // to be read at its server before it, as far as known when it was sent
        boolean counted = true; // among its server's unseen tokens
        boolean started;
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

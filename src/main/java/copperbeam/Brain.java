// The types, events and actions are declared in Api.java.
package copperbeam;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import copperbeam.Api.*;
import copperbeam.State.*;

/**
 * All decisions of one node. Low-worth requests are refused on arrival with a probability that grows with
 * the fifth power of mean server saturation. Readers are chosen by hash of the prompt's prefix; writers once
 * the read has ended, as the less loaded of two random ones, by this node's tokens in flight.
 * Not thread-safe. Reads no clock: each event carries the time; randomness comes from the seed alone.
 */
public final class Brain {
    // Admission control: the chance of a refusal is REFUSAL_FACTOR * saturation ^ REFUSAL_EXPONENT.
    private static final double CURVE_FACTOR = 300;
    private static final double CURVE_POWER = 5; // steep: hardly any refusals at moderate load
    private static final double WAITING_THRESHOLD = 60_000; // waiting prompt tokens of a saturated server
    private static final double WAITING_PROMPTS = 5; // the same in typical prompts, if that is more
    private static final double MEMORY_THRESHOLD = 4.5; // memory share at saturation 1 (full memory: 0.22)
    private static final double CERTAIN = 0.32; // mean saturation from which the chance is 1
    private static final double QUIET_WAITS = 3; // a normal wait, in service times of typical prompts
    private static final double SERVICE_SPAN_S = 300; // s in which a minimum service time may grow e-fold
    private static final double DELAY_LEARN = 0.25; // weight of a new sample in mean waiting times
    private static final double DELAY_FADE_S = 2; // s in which these fall e-fold without new samples
    private static final double RETRY_ADVICE_S = 0.25; // s; for refused clients: new reports come by then
    private static final double REPORT_LIFE_S = 2; // s; load changes within the time of a few answers
    private static final double FEW_HEARD = 3; // reports in the mean saturation; missing ones count as idle
    private static final double REPORT_LAG_S = 0.3; // s; a report may miss attempts sent this shortly before
    private static final double QUOTA_BURST_S = 2; // s of its quota that a customer may save up
    private static final double QUOTA_LEAST = 4; // minimum; the few requests of a node come in bursts
    private static final double LEARN = 0.02; // weight of a new sample in other averages
    private static final double PACE_LEARN = 0.125; // the same for latencies, as in TCP's timeout
    // Attempts.
    private static final double ANSWER_MARGIN_S = 0.05; // s before the client's deadline, left to answer
    private static final double FIRST_PATIENCE_S = 1; // s; answer timeout before any latency is known
    private static final double MIN_PATIENCE_S = 0.6; // s; shorter silences are normal
    private static final double BLIND_PATIENCE_S = 1.5; // s; minimum where no probe can prove a silence
    private static final double DEVIATIONS = 4; // mean deviations over the mean latency, as in TCP's timeout
    private static final double ATTEMPT_SHARE = 0.5; // share of the time left, if a repeat is possible
    private static final double MIXED_HEARD = 0.5; // share of a mixed server that reads, with a fresh report
    private static final double MIXED_UNHEARD = 0.2; // the same without: reading in place slows its answers
    private static final double READ_SLOTS = 0.5; // slots in use at which a mixed server takes no reads
    private static final double HOT_SPAN_S = 30; // s in which a prefix's count of arrivals falls e-fold
    private static final double FEW = 10; // arrivals added to the total: a share of few tells little
    private static final int MOST_BEGINNINGS = 2000; // prefixes counted at a time
    private static final double ROOM_MEMORY = 0.88; // memory share from which a writer has no room
    private static final double OVERTAKEN_BY = 1; // timeouts from a lost write to a later, answered one
    private static final double OVERDUE = 3; // timeouts after which a live server's answer counts as lost
    private static final double LAST = 1e-4; // weight of a server that is used only where there is no other
    private static final double HOLD_S = 0.1; // s until a request that found no server looks again
    private static final double STATE_HOLD_SHARE = 0.5; // share of its lease for which a read state is held
    // Outlier ejection.
    private static final double FAILURE_WEIGHT = 0.3; // weight of an outcome in the failure share
    private static final double OUTLIVED = 0.1; // failure share: a failure and then four successes
    private static final double BENCH_SHARE = 0.4; // failure share from which a server is ejected
    private static final double RELAPSE = 0.7; // share of EJECT_SHARE kept at most on readmission
    private static final double FIRST_BENCH_S = 1; // s; doubled at each further ejection
    private static final double LONGEST_BENCH_S = 8; // s; about the time of a restart
    private static final int SILENT_STRIKES = 2; // missing answers in a row until streams are transferred
    private static final double FULL_S = 0.2; // s without attempts for a server that answered FULL
    // Probes.
    private static final double PROBE_TICK_S = 0.25; // s between checks which servers are due for a probe
    private static final double PROBE_ANSWER_S = 0.3; // s after which a probe counts as unanswered
    private static final double PROBE_QUIET_S = 0.5; // s without a sign of life until a server is probed
    private static final double ASK_S = 0.015; // s; round trip in a site and an idle server's answer
    private static final int ASKS_KEPT = 5; // probes kept back for one request's candidates
    private static final double PROBE_SPEND = 0.01; // most points of service spent on probes per request
    // Server list.
    private static final double FOLLOW_AGAIN_S = 0.5; // s until a failed subscription is retried first
    private static final double LONGEST_FOLLOW_S = 8; // s; the delay doubles up to this

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, RequestClass> classes = new LinkedHashMap<>();
    private final Map<String, Kind> kinds = new LinkedHashMap<>();
    private final Map<String, Quota> quotas = new LinkedHashMap<>();
    private final Map<String, Server> servers = new TreeMap<>();
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final List<Server> readers = new ArrayList<>();
    private final List<Server> writers = new ArrayList<>();
    private final List<Server> reading = new ArrayList<>();
    private Cells cells = new Cells();
    private final Mean promptTokens = new Mean(LEARN);
    private final Mean promptSquares = new Mean(LEARN);
    private final Mean readTokens = new Mean(LEARN); // of one read, without the cached part
    private final Mean readWork = new Mean(LEARN);   // the same and what was queued ahead of it
    private final Mean readSeconds = new Mean(LEARN);
    private final Mean keptShare = new Mean(LEARN); // of prefixes, at home readers
    // seconds to the end of a read; to a writer's first token, from a read state or with the read in place
    private final ServiceTime readTime = new ServiceTime(SERVICE_SPAN_S, LEARN);
    private final ServiceTime fetchTime = new ServiceTime(SERVICE_SPAN_S, LEARN);
    private final ServiceTime bothTime = new ServiceTime(SERVICE_SPAN_S, LEARN);
    private final Pace askPace = new Pace(PACE_LEARN);
    private final Pace readPace = new Pace(PACE_LEARN);
    private final Pace writePace = new Pace(PACE_LEARN);
    private final Fading readDelay = new Fading(DELAY_LEARN, DELAY_FADE_S);
    private final Fading writeDelay = new Fading(DELAY_LEARN, DELAY_FADE_S);
    private final SlowStart slowStart;
    private final Counts beginnings = new Counts(HOT_SPAN_S, MOST_BEGINNINGS);
    private List<Action> actions = new ArrayList<>();
    private double now;
    private boolean begun;
    private double followAgain = FOLLOW_AGAIN_S;
    private double probeCredit; // probes that may be sent now

    public Brain(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        int i = settings.index();
        double place = i < 0 ? random.nextDouble() : i / (double) settings.nodes();
        slowStart = new SlowStart(settings, place);
        settings.classes().forEach(c -> classes.put(c.name(), c));
        settings.kinds().forEach(k -> kinds.put(k.name(), k));
        for (Customer c : settings.customers()) {
            double perS = c.quotaPerS() / settings.nodes();
            double most = Math.max(perS * QUOTA_BURST_S, QUOTA_LEAST);
            quotas.put(c.name(), new Quota(perS, most, random.nextDouble() * most));
        }
    }

    /** The number of servers and requests held in memory. */
    int records() {
        return servers.size() + requests.size();
    }

    /** The number of listed servers that get no attempts now: draining, banned by an operator, or ejected. */
    public int avoided() {
        return (int) servers.values().stream().filter(s -> s.listed != null
                && s.listed.state() != ServerState.GONE && (s.resting || !s.ready())).count();
    }

    /** Handles one event, at {@code clock} seconds, and returns the actions to carry out, in order. */
    public List<Action> on(double clock, Event event) {
        now = clock;
        actions = new ArrayList<>();
        begin();
        if (event instanceof Members e) {
            members(e);
        } else if (event instanceof Arrival e) {
            arrive(e);
        } else if (event instanceof StreamStarted e) {
            started(e);
        } else if (event instanceof AttemptEnded e) {
            ended(e);
        } else if (event instanceof StateReleased e && requests.containsKey(e.request())) {
            requests.get(e.request()).forgetState();
        } else if (event instanceof StateDue e && requests.containsKey(e.request())) {
            stateDue(requests.get(e.request()), e.arrived());
        } else if (event instanceof ClientLeft e) {
            left(e.request());
        } else if (event instanceof TimerFired e) {
            fired(e.tag());
        } else if (event instanceof Probed e) {
            probed(e);
        } else if (event instanceof Beside e) {
            slowStart.beside(e.part());
        }
        return actions;
    }

    private void begin() {
        if (!begun) {
            slowStart.begin(now);
        }
        if (!begun && settings.listMustBeAsked()) {
            actions.add(new FollowList());
        }
        if (!begun && settings.limits().probes()) {
            actions.add(new Timer(PROBE_TICK_S, "probes"));
        }
        begun = true;
    }

    private void fired(String tag) {
        if (tag.equals("probes")) {
            probeQuiet();
        } else if (tag.equals("follow")) {
            actions.add(new FollowList());
        } else {
            int dot = tag.indexOf('.');
            Request r = dot < 0 ? null : requests.get(Long.parseLong(tag.substring(1, dot)));
            if (r == null || r.closed) {
                return;
            }
            switch (tag.charAt(0)) {
                case 'd' -> { // the deadline is near
                    if (r.out == null || !r.out.started) {
                        close(r, Why.NO_TIME);
                    }
                }
                case 'h' -> advance(r); // held, or waiting for load probes
                default -> checkSilence(r, Integer.parseInt(tag.substring(dot + 1)));
            }
        }
    }

    private void timer(double after, char what, Request r, int number) {
        actions.add(new Timer(Math.max(0, after), what + "" + r.asked.request() + "." + number));
    }

    // ---- server list ---------------------------------------------------------------------------

    private void members(Members m) {
        if (m.kind() == ListKind.FAILED) {
            actions.add(new Timer(followAgain, "follow"));
            followAgain = Math.min(followAgain * 2, LONGEST_FOLLOW_S);
            return;
        }
        followAgain = m.kind() == ListKind.CACHED ? followAgain : FOLLOW_AGAIN_S;
        if (m.kind() != ListKind.DELTA) {
            servers.values().forEach(s -> s.listed = null);
        }
        m.members().forEach(this::member);
        // forgets unlisted servers without attempts in flight: new ones have new ids, the map would only grow
        servers.values().removeIf(s -> s.out.isEmpty()
                && (s.listed == null || s.listed.state() == ServerState.GONE));
        readers.clear();
        writers.clear();
        reading.clear();
        cells = new Cells();
        for (Server s : servers.values()) {
            if (s.ready()) {
                (s.role == Role.READER ? readers : writers).add(s);
                if (s.role != Role.WRITER) {
                    reading.add(s);
                }
                Cell c = cells.of(s.listed);
                c.reads += s.role == Role.READER ? 1 : 0;
                c.writes += 1 - reads(s);
            }
        }
        cells.share();
        slowStart.servers(readers, writers);
    }

    private void member(Member e) {
        Server s = servers.computeIfAbsent(e.server(),
                n -> new Server(n, new Fading(DELAY_LEARN, DELAY_FADE_S)));
        // taken from the permits, as a full list has cleared the server's member
        double before = s.permits == null ? 0 : s.permits.launchedAt;
        s.listed = e;
        Kind kind = kinds.get(e.kind());
        s.role = kind == null ? Role.MIXED : kind.role();
        s.memoryTokens = kind == null ? 0 : kind.memoryTokens();
        s.lastWord = s.lastWord == 0 ? now : s.lastWord;
        if (s.permits == null || s.permits.launchedAt != e.launchedAt()) {
            s.permits = slowStart.permits(s.id, e.launchedAt());
        }
        if (e.launchedAt() > before) {
            s.report = null;
            if (!s.restForErrors) {
                recover(s);
            }
        }
    }

    // ---- admission -----------------------------------------------------------------------------

    private void arrive(Arrival a) {
        // a class unknown to the settings: never repeated once it may have run, and refused first
        RequestClass careful = new RequestClass(a.requestClass(), 0, 0, 0, Effect.UNSAFE, Group.ALL, 0);
        Request r = new Request(a, classes.getOrDefault(a.requestClass(), careful));
        requests.put(a.request(), r);
        promptTokens.add(a.promptTokens());
        promptSquares.add(a.promptTokens() * a.promptTokens());
        beginnings.add(now, a.prefix());
        slowStart.arrived(a);
        timer(a.deadline() - now - ANSWER_MARGIN_S, 'd', r, 0);
        boolean droppable = mayRefuse(r) && (overShare(a.customer()) || droppable(r.kind));
        if (droppable && random.nextDouble() < refusalChance(saturation())) {
            close(r, Why.DOOR);
            return;
        }
        advance(r);
    }

    /**
     * The probability of refusing a request whose wait would make it miss its aim, by the same curve as on
     * arrival: where all answers would be late, refusing some lets others be in time. Applies to top classes
     * too, against overload that shedding low worth cannot lift. Refusals do not shorten the work itself:
     * where the aim leaves little time beside it, a normal wait is tolerated, within the deadline.
     */
    private double slowChance(Request r, Server first, int rank) {
        double prompt = r.asked.promptTokens();
        double aim = Math.max(r.kind.aimS() + r.kind.aimPerThousandS() * prompt / 1000, MIN_PATIENCE_S);
        double work = workS(first, anew(r, rank), prompt);
        double left = r.asked.deadline() - ANSWER_MARGIN_S - now;
        double usual = QUIET_WAITS * workS(first, usualPrompt(), usualPrompt());
        double room = Math.max(aim - work, Math.min(left - work, usual));
        return refusalChance(CERTAIN * waitS(first) / Math.max(room, 0.001));
    }

    /** Seconds to the first token without other requests; {@code anew}: prompt tokens not in the cache. */
    private double workS(Server first, double anew, double prompt) {
        return first.role != Role.READER ? bothTime.of(prompt) : readTime.of(anew) + fetchTime.of(prompt);
    }

    /** The mean prompt length weighted by tokens, so that long prompts count for more. */
    private double usualPrompt() {
        return promptSquares.value / Math.max(promptTokens.value, 1);
    }

    /** Expected seconds of waiting before the first token, by this node's recent attempts and by reports. */
    private double waitS(Server first) {
        double writing = writers.stream().filter(s -> !s.resting && hasRoom(s))
                .mapToDouble(s -> waitS(s, writeDelay)).average().orElse(0);
        // a node of a large fleet uses each reader too seldom for its own latencies alone; reports may be old
        boolean told = first.role == Role.READER && fresh(first) && readWork.value > 0;
        double most = told ? ahead(first) * readSeconds.value / readWork.value : Double.MAX_VALUE;
        return Math.min(most, waitS(first, readDelay)) + writing;
    }

    /**
     * Seconds that attempts wait at a server, without their service time: the recent average or, if longer,
     * what the oldest unanswered one has waited since the newest answered one was sent. Attempts whose answer
     * seems lost tell nothing of a queue and are left out. A server with neither recent samples nor
     * unanswered attempts takes the average of its stage.
     */
    private double waitS(Server s, Fading stage) {
        Try oldest = s.waiting.stream().filter(t -> !lost(t)).findFirst().orElse(null);
        if (oldest == null && now - s.delay.seenAt >= DELAY_FADE_S) {
            return stage.at(now);
        }
        double age = oldest == null ? 0
                : now - Math.max(oldest.sentAt, s.answeredSentAt) - oldest.service.of(oldest.tokens);
        return Math.max(age, s.delay.at(now));
    }

    /**
     * Whether an answer seems lost on its way: later attempts were answered, or the server shows signs of
     * life and far more time has passed than answers take. Readers work first in, first out.
     */
    private boolean lost(Try t) {
        double age = now - t.sentAt;
        double patience = patience(t);
        boolean overtaken = t.server.answeredSentAt > t.sentAt + (t.reading ? 0 : OVERTAKEN_BY * patience);
        boolean heard = t.server.lastWord > t.sentAt + patience;
        return overtaken && age >= patience || heard && age >= OVERDUE * patience;
    }

    private void sawDelay(Try t, double latency) {
        (t.reading ? readPace : writePace).add(latency);
        t.service.add(now, latency, t.tokens);
        double waited = latency - t.service.of(t.tokens);
        (t.reading ? readDelay : writeDelay).add(now, waited);
        t.server.answeredSentAt = Math.max(t.server.answeredSentAt, t.sentAt);
        t.server.delay.add(now, waited);
    }

    static double refusalChance(double saturation) {
        return Math.min(CURVE_FACTOR * Math.pow(saturation, CURVE_POWER), 1);
    }

    /** Whether the class is below the top worth or, where all are worth the same, has the loosest aim. */
    private boolean droppable(RequestClass c) {
        List<RequestClass> all = settings.classes();
        return all.stream().anyMatch(o -> c.worth() < o.worth())
                || all.stream().allMatch(o -> c.worth() == o.worth() && c.aimS() >= o.aimS());
    }

    /** Whether the customer's quota is used up; if not, uses it. Each node enforces an equal part of it. */
    private boolean overShare(String customer) {
        Quota q = quotas.get(customer);
        return q != null && q.perS > 0 && !q.take(now);
    }

    /**
     * The mean over ready servers with a report, older reports weighing less. Up to MIN_REPORTS the missing
     * ones count as idle servers: the curve is so steep that a mean of few would refuse by chance.
     */
    private double saturation() {
        double sum = 0;
        double heard = 0;
        for (Server s : servers.values()) {
            if (s.ready() && s.report != null && !s.resting) {
                double weight = Math.exp((s.reportAt - now) / REPORT_LIFE_S);
                sum += weight * saturation(s);
                heard += weight;
            }
        }
        return sum / Math.max(heard, FEW_HEARD);
    }

    private double saturation(Server s) {
        double most = Math.max(WAITING_THRESHOLD, WAITING_PROMPTS * usualPrompt());
        return Math.max((reportedTokens(s) + s.unseenTokens) / most,
                State.or0(s.report.memoryShare()) / MEMORY_THRESHOLD);
    }

    /** Waiting prompt tokens by the last report: as told, or estimated from its numbers of requests. */
    private double reportedTokens(Server s) {
        double told = s.report.waitingThousandTokens() * 1000;
        double queue = s.report.waitingRequests() * promptTokens.value;
        double all = s.report.heldRequests() * promptTokens.value / Math.max(s.tokens, 1);
        double seen = s.waitingTokens - s.unseenTokens; // the rest is added by the caller
        seen *= Double.isNaN(all) ? 1 : all;
        return !Double.isNaN(told) ? told : !Double.isNaN(queue) ? queue : seen;
    }

    // ---- next step of a request ----------------------------------------------------------------

    private void advance(Request r) {
        if (r.closed || r.out != null) {
            return;
        }
        letGoAt(r, now);
        int most = settings.limits().maxAttempts();
        boolean lastSend = r.sends + 1 >= most;
        boolean noTaker = lastSend && !r.holdsState && !readInPlace();
        boolean ran = r.ranAt != null && (r.kind.effect() == Effect.UNSAFE || windowOver(r));
        boolean over = r.asked.deadline() - now <= ANSWER_MARGIN_S; // no answer could be in time
        if (over || ran || r.sends >= most || noTaker) {
            close(r, over ? Why.NO_TIME : ran ? Why.RAN : Why.NO_ATTEMPT_LEFT);
            return;
        }
        if (!r.holdsState && !slowStart.mayRead(r, readInPlace(), now)) {
            count(r);
            hold(r);
            return;
        }
        if (r.options == null) {
            r.options = r.holdsState || lastSend ? new Top(2) : readers(r);
            r.options = r.options.size > 0 ? r.options : writers(r);
            if (ask(r.options)) {
                timer(ASK_S, 'h', r, 0);
                return;
            }
        }
        Server s = best(r);
        int rank = r.options.rank(s);
        boolean late = s != null && s.unheard() && !mute(s);
        if (late || s != null && mute(s) && !r.lookedAgain) {
            // the probe may be answered soon, or other candidates chosen
            r.options = late ? r.options : null;
            r.lookedAgain = !late;
            timer(late ? ASK_S : 0, 'h', r, 0);
            return;
        }
        r.options = null;
        boolean slow = s != null && r.sends == 0 && mayRefuse(r)
                && random.nextDouble() < slowChance(r, s, rank);
        if (!slow) {
            count(r);
        }
        if (s == null) {
            hold(r);
        } else if (slow) {
            close(r, Why.SLOW);
        } else {
            send(r, s, rank, s.role != Role.READER ? Why.WRITER : rank == 0 ? Why.HOME : Why.SPILL);
        }
    }

    /**
     * Counts the request in the demand for slow start once, even if it is held: else a process that starts
     * among cold servers alone would never get a share of them.
     */
    private void count(Request r) {
        if (!r.counted) {
            r.counted = true;
            slowStart.admitted(now);
        }
    }

    /** No server can take the request now: looks for one again after a delay. */
    private void hold(Request r) {
        letGoAt(r, now + HOLD_S);
        timer(HOLD_S, 'h', r, 0);
    }

    private boolean readInPlace() {
        return settings.writersRead() || writers.stream().anyMatch(s -> s.role == Role.MIXED);
    }

    /**
     * Probes the candidates for their load, as far as the probe budget allows; true if one was probed. Guards
     * against old reports, where a node seldom uses a server, and against servers that just fell silent.
     */
    private boolean ask(Top options) {
        boolean asked = false;
        for (int i = 0; i < options.size && settings.limits().probes(); i++) {
            Server s = options.server[i];
            if (probeCredit >= 1 && now - Math.max(s.reportAt, s.lastProbe) > REPORT_LAG_S) {
                probe(s);
                asked = true;
            }
        }
        return asked;
    }

    private Server best(Request r) {
        Top o = r.options;
        for (int i = 0; i < o.size; i++) {
            o.fit[i] = Math.min(o.fit[i], fitness(o.server[i], r));
        }
        return Math.max(o.fit[0], o.fit[1]) <= 0 ? null
                : o.fit[1] <= 10 * LAST * o.fit[0] ? o.server[0]
                : o.fit[0] <= 10 * LAST * o.fit[1] ? o.server[1] : lighter(o.server[0], o.server[1], r);
    }

    /**
     * The less loaded of two candidates by this node's tokens, with what each would read of this prompt.
     * Fresh reports decide, else it is the first, where the tokens are equal, where both servers were just
     * probed and, for a read, where the home has fewer tokens.
     */
    private Server lighter(Server a, Server b, Request r) {
        double more = r.holdsState ? 0 : anew(r, 1) - anew(r, 0);
        double mine = r.holdsState ? b.tokens - a.tokens
                : Math.min(0, b.waitingTokens + more - a.waitingTokens);
        return mine != 0 && now - Math.min(a.lastProbe, b.lastProbe) > REPORT_LAG_S ? mine < 0 ? b : a
                : fresh(a) && fresh(b) && ahead(b) + more < ahead(a) ? b : a;
    }

    /**
     * Prompt tokens that a reader of this rank has to read: at home, less the share of prefixes lately found
     * cached there; else all, as counting on a prefix that the spill has read would make it one more home.
     */
    private double anew(Request r, int rank) {
        double share = rank > 0 ? 0 : keptShare.known ? keptShare.value : 1;
        return r.asked.promptTokens() - share * r.asked.prefixTokens();
    }

    /**
     * Whether a probe has been unanswered for longer than answers take. A merely late answer is no reason to
     * leave the home reader: any other would have to read the whole prompt.
     */
    private boolean mute(Server s) {
        return s.unheard() && now >= s.lastProbe + Math.max(ASK_S, askPace.most(DEVIATIONS));
    }

    /** Tokens queued at the server: of all nodes by a fresh report, else those that this node waits for. */
    private double ahead(Server s) {
        if (!fresh(s)) {
            return s.waitingTokens;
        }
        boolean reader = s.role == Role.READER;
        double each = reader && readTokens.known ? readTokens.value : promptTokens.value;
        // a reader's memory holds mostly prompts already read: not used where the report counts requests
        double waits = (reader && !Double.isNaN(s.report.heldRequests()) ? 0 : s.heldTokens())
                + State.or0(s.report.waitingRequests()) * each;
        return Math.max(waits, State.or0(s.report.heldRequests()) * each) + s.unseenTokens;
    }

    /** Releases a read state that by {@code time} will have been held for LEASE_HOLD_SHARE of its lease. */
    private void letGoAt(Request r, double then) {
        if (r.holdsState && then - r.lastEnd >= settings.rules().releaseS() * STATE_HOLD_SHARE) {
            r.forgetState();
            actions.add(new Release(r.asked.request()));
        }
    }

    // ---- reader choice -------------------------------------------------------------------------

    /**
     * The prefix's home reader by rendezvous hashing, and the next in hash order for the spill. One home is
     * enough for most prefixes, and each reads it only once; of several, the session's hash chooses. Mixed
     * servers are homes too while they can take reads.
     */
    private Top readers(Request r) {
        String session = String.valueOf(r.asked.session());
        String beginning = r.asked.prefix() != null ? r.asked.prefix() : session;
        int most = homes(r.asked.prefix());
        Top homes = new Top(most + 1);
        for (Server s : reading) {
            double fit = s.role == Role.READER || readers.isEmpty() || readsFreely(s) ? fitness(s, r) : 0;
            homes.offer(s, fit * reads(s) / -Math.log(State.hash(beginning, s.id)), fit);
        }
        int own = (int) (State.hash(session, beginning) * Math.min(most, homes.size));
        Top options = new Top(2);
        if (homes.size > 0) {
            options.add(homes.server[own], homes.fit[own]);
        }
        if (homes.size > most) {
            options.add(homes.server[most], homes.fit[most]);
        }
        return options;
    }

    /**
     * The number of homes: one, and more for a prefix with a large share of this node's arrivals, which are a
     * sample of all: so many that each gets at most half of an average reader's load by this prefix.
     */
    private int homes(String prefix) {
        double share = Math.max(0, beginnings.of(now, prefix) - 1) / (beginnings.all.count(now) + FEW);
        return Math.max(1, Math.min((int) Math.ceil(2 * share * readers.size()), readers.size() - 1));
    }

    /** The share of a server's capacity that reads; the rest writes. */
    private double reads(Server s) {
        return s.role == Role.READER ? 1 : s.role == Role.WRITER ? 0 : fresh(s) ? MIXED_HEARD : MIXED_UNHEARD;
    }

    /** Whether a mixed server has room for reads, each of which slows the answers that it is writing. */
    private boolean readsFreely(Server s) {
        return hasRoom(s) && !(fresh(s) && s.report.slotShare() >= READ_SLOTS);
    }

    // ---- writer choice -------------------------------------------------------------------------

    /**
     * Two by weighted random sampling in one pass. Writers without room, ejected or just tried weigh so
     * little that they are drawn only where there is no other. So do those that lately failed, for requests
     * that may not be repeated: a large fleet's node meets each too seldom to eject it in time.
     */
    private Top writers(Request r) {
        Cell from = r.holdsState && r.reader.listed != null ? cells.of(r.reader.listed) : null;
        boolean stays = from != null && random.nextDouble() * from.reads < from.writes;
        boolean zoneStays = from != null && random.nextDouble() * from.zone.wants < from.zone.spare;
        Top pair = new Top(2);
        for (Server s : writers) {
            double fit = r.holdsState || settings.writersRead() || s.role == Role.MIXED ? fitness(s, r) : 0;
            if (fit > 0) {
                fit *= (1 - reads(s)) * (hasRoom(s) ? 1 : LAST * LAST);
                fit *= s.failures < OUTLIVED || r.kind.dropsRepeats() ? 1 : LAST * LAST;
                fit *= from == null ? 1 : from.nearness(cells.of(s.listed), stays, zoneStays, LAST);
                pair.offer(s, fit / -Math.log(1 - random.nextDouble()), fit);
            }
        }
        return pair;
    }

    private boolean hasRoom(Server s) {
        return !fresh(s) || !(s.report.memoryShare() >= ROOM_MEMORY || s.report.waitingRequests() >= 1);
    }

    /** Whether the server's last report is recent enough to rely on. */
    private boolean fresh(Server s) {
        return s.report != null && now - s.reportAt <= REPORT_LIFE_S;
    }

    /** 1 for a usable server, a tiny weight for one to be used only where there is no other, else 0. */
    private double fitness(Server s, Request r) {
        return !s.ready() || now < s.fullUntil || !allowed(r, s) || !slowStart.room(s, r, now) ? 0
            : s.resting && now < s.restUntil || mute(s) || s.id.equals(r.lastTried) ? LAST * LAST * LAST : 1;
    }

    /** A keyed request that may have run is repeated only at servers that drop its repeats. */
    private boolean allowed(Request r, Server s) {
        if (r.ranAt == null || r.kind.effect() != Effect.KEYED) {
            return true;
        }
        return !windowOver(r) && switch (r.kind.group()) {
            case ALL -> true;
            case ZONE -> String.valueOf(r.ranAt.zone()).equals(s.listed.zone());
            case CELL -> r.ranAt.cell() == s.listed.cell();
        };
    }

    /** Whether servers no longer drop the request's repeats: only an attempt in flight can still succeed. */
    private boolean windowOver(Request r) {
        return r.ranSince > 0 && now >= windowEnd(r);
    }

    private static double windowEnd(Request r) {
        return r.kind.effect() == Effect.KEYED ? r.ranSince + r.kind.windowS() : Double.POSITIVE_INFINITY;
    }

    // ---- attempts ------------------------------------------------------------------------------

    private void send(Request r, Server s, int rank, Why why) {
        boolean reading = s.role == Role.READER;
        ServiceTime service = reading ? readTime : r.holdsState ? fetchTime : bothTime;
        double tokens = reading ? anew(r, rank) : r.asked.promptTokens();
        Try t = new Try(r, s, r.sends++, rank, tokens, service, now);
        t.ahead = reading ? ahead(s) : 0;
        r.out = t;
        r.lastTried = s.id;
        r.ranSince = reading || r.ranAt != null ? r.ranSince : now;
        s.sent(t);
        slowStart.sent(s, r, now);
        if (s.resting && now >= s.restUntil) {
            s.restUntil = now + s.rest;
        }
        int more = reading && !readInPlace() ? 2 : 1; // after a read one must be left for a writer
        boolean another = r.sends + more <= settings.limits().maxAttempts();
        boolean redo = (reading || r.kind.dropsRepeats()) && another;
        double until = r.asked.deadline() - ANSWER_MARGIN_S;
        double left = until - now;
        if (redo) {
            if (!settings.limits().cancel()) {
                double cut = now + Math.max(left * ATTEMPT_SHARE, Math.min(left, patience(t)));
                until = reading || cut < windowEnd(r) ? cut : until;
            } else if (now + patience(t) < until) {
                timer(patience(t), 's', r, t.number);
            }
        }
        double latest = r.ranAt == null ? Double.POSITIVE_INFINITY : windowEnd(r);
        actions.add(new Attempt(r.asked.request(), s.id, until, latest, why));
    }

    /** Seconds without an answer after which an attempt is checked, or may be given up for a repeat. */
    private double patience(Try t) {
        return Math.max(usual(t), settings.limits().probes() ? MIN_PATIENCE_S : BLIND_PATIENCE_S);
    }

    /** The latency that few answers exceed, in proportion to the prompt where it is longer than the mean. */
    private double usual(Try t) {
        double size = Math.max(1, t.request.asked.promptTokens() / Math.max(promptTokens.value, 1));
        Pace pace = t.reading ? readPace : writePace;
        return size * (pace.mean.known ? pace.most(DEVIATIONS) : FIRST_PATIENCE_S);
    }

    /** Releases the read state unless it is for an attempt that has arrived and is not late yet. */
    private void stateDue(Request r, boolean arrived) {
        if (r.out == null || !arrived || now - r.out.sentAt >= usual(r.out)) {
            r.forgetState();
            actions.add(new ReleaseBeside(r.asked.request()));
        }
    }

    /**
     * Guards against silent servers, without a sign of life since the attempt went out, and against single
     * lost attempts, where later ones were answered. Only the former counts against the server.
     */
    private void checkSilence(Request r, int number) {
        Try t = r.out;
        if (t == null || t.number != number || t.started || t.cancelled || !t.reading && windowOver(r)) {
            return; // in the last case no repeat would be allowed
        }
        boolean silent = t.server.lastWord <= t.sentAt;
        if (lost(t)) {
            cancel(t, Why.OVERTAKEN);
        } else if (silent && settings.limits().probes() && t.server.lastProbe <= t.sentAt) {
            probe(t.server);
            timer(PROBE_ANSWER_S, 's', r, number);
        } else if (silent) {
            (t.reading ? readPace : writePace).add(now - t.sentAt);
            strike(t.server, settings.limits().probes());
            cancel(t, Why.SILENT);
        } else {
            timer(patience(t) / 4, 's', r, number);
        }
    }

    // ---- outcomes ------------------------------------------------------------------------------

    private void started(StreamStarted e) {
        Request r = requests.get(e.request());
        Server s = servers.get(e.server());
        if (s != null) {
            word(s);
        }
        if (r == null || r.out == null || r.out.number != e.attempt()) {
            return;
        }
        r.out.started = true;
        r.holdsState = false;
        sawDelay(r.out, e.latencyS());
        r.out.server.answered(r.out);
        succeed(r.out.server);
    }

    private void ended(AttemptEnded e) {
        Server s = servers.get(e.server());
        report(s, e.report());
        Request r = requests.get(e.request());
        if (r == null || r.out == null || r.out.number != e.attempt()) {
            if (e.outcome() == Outcome.READ) {
                actions.add(new Release(e.request()));
            }
            return;
        }
        Try t = r.out;
        t.server.settled(t);
        r.out = null;
        judge(t, e);
        if (e.requestOver() || r.closed) {
            requests.remove(e.request());
            r.closed = true;
            if (e.outcome() != Outcome.OK) {
                actions.add(new Release(e.request()));
            }
            return;
        }
        // unanswered attempts may not have reached a server: they do not restart the state's hold time
        r.lastEnd = e.outcome().answered() ? now : r.lastEnd;
        switch (e.outcome()) {
            case READ -> {
                r.holdsState = true;
                r.reader = t.server;
                r.lastTried = null;
                sawDelay(t, e.latencyS());
                double anew = r.asked.promptTokens() - e.keptTokens();
                if (!Double.isNaN(anew)) {
                    readTokens.add(anew);
                    readWork.add(t.ahead + anew);
                    readSeconds.add(e.latencyS());
                    if (t.rank == 0 && r.asked.prefixTokens() > 0) {
                        keptShare.add(Math.min(1, e.keptTokens() / r.asked.prefixTokens()));
                    }
                }
            }
            case FULL -> {
                r.holdsState &= !e.stateMissing();
                t.server.fullUntil = e.stateMissing() ? t.server.fullUntil : now + FULL_S;
            }
            case NOT_SENT -> r.closing = Why.NOT_SENT;
            case CONNECT_FAILED -> { }
            default -> r.ranAt = t.reading || r.ranAt != null ? r.ranAt : t.entry;
        }
        if (r.closing != null) {
            close(r, r.closing);
        } else {
            advance(r);
        }
    }

    private void report(Server s, Report report) {
        if (s != null && report != null) {
            s.heard(report, now, REPORT_LAG_S);
        }
    }

    // ---- end of a request ----------------------------------------------------------------------

    /** Gives the final answer: a refusal where the client may safely retry, else a failure. */
    private void close(Request r, Why why) {
        long id = r.asked.request();
        if (r.out != null && mayRefuse(r) && !r.kind.dropsRepeats() && settings.limits().cancel()) {
            // an attempt in flight, even a read, may still run: it is cancelled before the refusal
            if (!r.out.cancelled) {
                cancel(r.out, Why.OVER);
            }
            r.closing = why;
            return;
        }
        r.closed = true;
        double advice = Math.min(RETRY_ADVICE_S, settings.limits().maxRetryAfterS());
        actions.add(mayRefuse(r) ? new Refuse(id, advice, why) : new Fail(id, why));
        drop(r);
    }

    /**
     * Whether a retry by the client does no harm: no write can have run, a read in flight can be cancelled,
     * and the client resumes no stream; or else the servers drop the request's repeats.
     */
    private boolean mayRefuse(Request r) {
        boolean out = r.out != null && (!r.out.reading || !settings.limits().cancel());
        boolean ran = r.asked.resumed() || r.ranAt != null || out;
        return !ran || r.kind.dropsRepeats() && !windowOver(r);
    }

    /** Cancels the unanswered attempt of a request that has ended, and releases its read states. */
    private void drop(Request r) {
        long id = r.asked.request();
        if (r.out != null && !r.out.started && !r.out.cancelled && settings.limits().cancel()) {
            cancel(r.out, Why.OVER);
        }
        if (r.sends > 0) {
            actions.add(new Release(id));
        }
        if (r.out == null) {
            requests.remove(id);
        }
    }

    private void cancel(Try t, Why why) {
        t.cancelled = true;
        actions.add(new Cancel(t.request.asked.request(), t.number, why));
    }

    private void left(long id) {
        Request r = requests.get(id);
        if (r != null && !r.closed) {
            r.closed = true;
            drop(r);
        }
    }

    // ---- outlier ejection ----------------------------------------------------------------------

    private void word(Server s) {
        s.lastWord = now;
        s.strikes = 0;
    }

    private void judge(Try t, AttemptEnded e) {
        Server s = t.server;
        switch (e.outcome()) {
            case OK, READ -> {
                word(s);
                succeed(s);
            }
            case FULL -> word(s);
            case ERROR, RESET -> {
                word(s);
                fail(s, true);
            }
            case CONNECT_FAILED -> fail(s, false);
            default -> {
                if (e.outcome() == Outcome.TIMED_OUT && s.lastWord <= t.sentAt) {
                    strike(s, false);
                }
            }
        }
    }

    private void succeed(Server s) {
        s.failures *= 1 - FAILURE_WEIGHT;
        if (s.resting && s.failures < BENCH_SHARE && (!s.restForErrors || now >= s.benchedAt + s.rest)) {
            recover(s);
        }
    }

    private void fail(Server s, boolean errors) {
        s.failures += FAILURE_WEIGHT * (1 - s.failures);
        if (!errors || s.failures >= BENCH_SHARE) {
            bench(s, errors);
        }
    }

    private void bench(Server s, boolean errors) {
        if (s.resting && now < s.restUntil) {
            return;
        }
        boolean again = s.rest > 0 && now - s.restUntil < LONGEST_BENCH_S;
        s.rest = again ? Math.min(s.rest * 2, LONGEST_BENCH_S) : FIRST_BENCH_S;
        s.benchedAt = now;
        s.resting = true;
        s.restForErrors = errors;
        s.restUntil = now + s.rest;
        s.report = null;
        actions.add(new Remark("rests " + s.id + (errors ? ": errors" : ": no answer")));
    }

    private void recover(Server s) {
        if (s.resting) {
            actions.add(new Remark("back " + s.id));
        }
        s.resting = false;
        s.strikes = 0;
        s.failures = Math.min(s.failures, BENCH_SHARE * RELAPSE);
    }

    /**
     * Records a missing answer. Unless a probe confirms it, only the second in a row ejects the server, as
     * one may be due to a queue. At the second its streams are transferred, where they can resume.
     */
    private void strike(Server s, boolean sure) {
        s.strikes++;
        if (sure || s.strikes >= SILENT_STRIKES) {
            bench(s, false);
        }
        if (s.strikes >= SILENT_STRIKES && settings.streamsResume()) {
            s.out.stream().filter(t -> t.started && !t.request.closed).forEach(t -> {
                t.request.closed = true;
                actions.add(new Transfer(t.request.asked.request()));
            });
        }
    }

    // ---- probes --------------------------------------------------------------------------------

    /** Probes servers that gave no sign of life for a while, as far as the probe budget allows. */
    private void probeQuiet() {
        actions.add(new Timer(PROBE_TICK_S, "probes"));
        int due = readers.size() + writers.size();
        double perS = settings.probePrice() <= 0 ? due / PROBE_QUIET_S
                : PROBE_SPEND / settings.probePrice() * beginnings.all.perS(now);
        probeCredit = Math.min(probeCredit + perS * PROBE_TICK_S, due);
        boolean probesOnly = settings.reports() == Reports.WITH_PROBES;
        for (Server s : servers.values()) {
            double heard = probesOnly ? s.lastProbe : Math.max(s.lastWord, s.lastProbe);
            boolean matters = s.resting || !s.out.isEmpty();
            if (s.ready() && matters && probeCredit >= ASKS_KEPT && now - heard >= PROBE_QUIET_S) {
                probe(s);
            }
        }
    }

    private void probe(Server s) {
        s.lastProbe = now;
        probeCredit--;
        actions.add(new Probe(s.id));
    }

    private void probed(Probed e) {
        Server s = servers.get(e.server());
        if (s == null) {
            return;
        }
        if (e.outcome() == Outcome.OK) {
            word(s);
            askPace.add(e.latencyS());
            report(s, e.report());
            if (s.resting && !s.restForErrors) {
                recover(s);
            }
        } else if (e.outcome() == Outcome.TIMED_OUT || e.outcome() == Outcome.CONNECT_FAILED) {
            strike(s, true);
        }
    }
}

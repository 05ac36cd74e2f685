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
    private static final double REFUSAL_FACTOR = 300;
    private static final double REFUSAL_EXPONENT = 5; // steep: hardly any refusals at moderate load
    private static final double SATURATED_TOKENS = 60_000; // waiting prompt tokens of a saturated server
    private static final double SATURATED_PROMPTS = 5; // the same in typical prompts, if that is more
    private static final double SATURATED_MEMORY = 4.5; // memory share at saturation 1 (full memory: 0.22)
    private static final double CERTAIN_SATURATION = 0.32; // mean saturation from which the chance is 1
    private static final double NORMAL_WAIT_PROMPTS = 3; // a normal wait, in service times of typical prompts
    private static final double SERVICE_GROWTH_S = 300; // s in which a minimum service time may grow e-fold
    private static final double WAIT_EWMA_WEIGHT = 0.25; // weight of a new sample in mean waiting times
    private static final double WAIT_DECAY_S = 2; // s in which these fall e-fold without new samples
    private static final double RETRY_AFTER_S = 0.25; // s; for refused clients: new reports come by then
    private static final double REPORT_MAX_AGE_S = 2; // s; load changes within the time of a few answers
    private static final double MIN_REPORTS = 3; // reports in the mean saturation; missing ones count as idle
    private static final double REPORT_LAG_S = 0.3; // s; a report may miss attempts sent this shortly before
    private static final double QUOTA_BURST_S = 2; // s of its quota that a customer may save up
    private static final double MIN_BURST_REQUESTS = 4; // minimum; the few requests of a node come in bursts
    private static final double MEAN_WEIGHT = 0.02; // weight of a new sample in other averages
    private static final double LATENCY_EWMA_WEIGHT = 0.125; // the same for latencies, as in TCP's timeout
    // Attempts.
    private static final double DEADLINE_MARGIN_S = 0.05; // s before the client's deadline, left to answer
    private static final double INITIAL_TIMEOUT_S = 1; // s; answer timeout before any latency is known
    private static final double MIN_TIMEOUT_S = 0.6; // s; shorter silences are normal
    private static final double UNPROBED_TIMEOUT_S = 1.5; // s; minimum where no probe can prove a silence
    private static final double DEVIATIONS = 4; // mean deviations over the mean latency, as in TCP's timeout
    private static final double ATTEMPT_TIME_SHARE = 0.5; // share of the time left, if a repeat is possible
    private static final double MIXED_FRESH = 0.5; // share of a mixed server that reads, with a fresh report
    private static final double MIXED_STALE = 0.2; // without one: lower, as reads slow its answers
    private static final double BUSY_SLOT_SHARE = 0.5; // slots in use at which a mixed server takes no reads
    private static final double PREFIX_DECAY_S = 30; // s in which a prefix's count of arrivals falls e-fold
    private static final double PRIOR = 10; // arrivals added to the total, so that a few make no large share
    private static final int MAX_PREFIXES = 2000; // prefixes counted at a time
    private static final double FULL_MEMORY_SHARE = 0.88; // memory share from which a writer has no room
    private static final double OVERTAKEN_BY = 1; // timeouts from a lost write to a later, answered one
    private static final double OVERDUE_BY = 3; // timeouts after which a live server's answer counts as lost
    private static final double TINY = 1e-4; // weight of a server that is used only where there is no other
    private static final double NO_SERVER_RETRY_S = 0.1; // s until a request that found no server looks again
    private static final double LEASE_HOLD_SHARE = 0.5; // share of its lease for which a read state is held
    // Outlier ejection.
    private static final double FAILURE_EWMA_WEIGHT = 0.3; // weight of an outcome in the failure share
    private static final double HEALTHY_FAIL_SHARE = 0.1; // healthy below it: 1 failure, then 4 successes
    private static final double EJECT_SHARE = 0.4; // failure share from which a server is ejected
    private static final double READMISSION_SHARE = 0.7; // share of EJECT_SHARE kept at most on readmission
    private static final double FIRST_EJECTION_S = 1; // s; doubled at each further ejection
    private static final double MAX_EJECTION_S = 8; // s; about the time of a restart
    private static final int MAX_SILENCES = 2; // missing answers in a row until streams are transferred
    private static final double FULL_PAUSE_S = 0.2; // s without attempts for a server that answered FULL
    // Probes.
    private static final double PROBE_INTERVAL_S = 0.25; // s between checks which servers are due for a probe
    private static final double PROBE_TIMEOUT_S = 0.3; // s after which a probe counts as unanswered
    private static final double SILENCE_S = 0.5; // s without a sign of life until a server is probed
    private static final double LOAD_PROBE_S = 0.015; // s that a request waits for load probe answers
    private static final int RESERVED_PROBES = 5; // probes kept back for one request's candidates
    private static final double PROBE_BUDGET = 0.01; // most points of service spent on probes per request
    // Server list.
    private static final double FIRST_RESUBSCRIBE_S = 0.5; // s until a failed subscription is retried first
    private static final double MAX_RESUBSCRIBE_S = 8; // s; the delay doubles up to this

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, RequestClass> classes = new LinkedHashMap<>();
    private final Map<String, ServerKind> kinds = new LinkedHashMap<>();
    private final Map<String, TokenBucket> quotas = new LinkedHashMap<>();
    private final Map<String, Server> servers = new TreeMap<>();
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final List<Server> readers = new ArrayList<>();
    private final List<Server> writers = new ArrayList<>();
    private final List<Server> readCapable = new ArrayList<>();
    private Cells cells = new Cells();
    private final PromptLengths promptLengths = new PromptLengths();
    private final Ewma uncachedTokens = new Ewma(MEAN_WEIGHT); // of one read, without the cached part
    private final Ewma readBacklog = new Ewma(MEAN_WEIGHT);   // the same and what was queued ahead of it
    private final Ewma readDurationS = new Ewma(MEAN_WEIGHT);
    private final Ewma cachedPrefixShare = new Ewma(MEAN_WEIGHT); // of prefixes, at home readers
    // seconds to the end of a read; to a writer's first token, from a read state or with the read in place
    private final ServiceTime readTime = new ServiceTime(SERVICE_GROWTH_S, MEAN_WEIGHT);
    private final ServiceTime fetchTime = new ServiceTime(SERVICE_GROWTH_S, MEAN_WEIGHT);
    private final ServiceTime inPlaceTime = new ServiceTime(SERVICE_GROWTH_S, MEAN_WEIGHT);
    private final LatencyStats probeLatency = new LatencyStats(LATENCY_EWMA_WEIGHT);
    private final LatencyStats readLatency = new LatencyStats(LATENCY_EWMA_WEIGHT);
    private final LatencyStats writeLatency = new LatencyStats(LATENCY_EWMA_WEIGHT);
    private final DecayingAverage readWait = new DecayingAverage(WAIT_EWMA_WEIGHT, WAIT_DECAY_S);
    private final DecayingAverage writeWait = new DecayingAverage(WAIT_EWMA_WEIGHT, WAIT_DECAY_S);
    private final SlowStart slowStart;
    private final DecayingCounts prefixCounts = new DecayingCounts(PREFIX_DECAY_S, MAX_PREFIXES);
    private List<Action> actions = new ArrayList<>();
    private double now;
    private boolean initialized;
    private double resubscribeS = FIRST_RESUBSCRIBE_S;
    private double probeCredit; // probes that may be sent now

    public Brain(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        int index = settings.index();
        double phase = index < 0 ? random.nextDouble() : index / (double) settings.nodes();
        slowStart = new SlowStart(settings, phase);
        settings.classes().forEach(c -> classes.put(c.name(), c));
        settings.kinds().forEach(k -> kinds.put(k.name(), k));
        for (Customer customer : settings.customers()) {
            double quotaPerS = customer.quotaPerS() / settings.nodes();
            double capacity = Math.max(quotaPerS * QUOTA_BURST_S, MIN_BURST_REQUESTS);
            quotas.put(customer.name(), new TokenBucket(quotaPerS, capacity, random.nextDouble() * capacity));
        }
    }

    /** The number of servers and requests held in memory. */
    int trackedRecordCount() {
        return servers.size() + requests.size();
    }

    /** The number of listed servers that get no attempts now: draining, banned by an operator, or ejected. */
    public int avoidedServerCount() {
        return (int) servers.values().stream().filter(s -> s.member != null
                && s.member.state() != ServerState.GONE && (s.ejected || !s.isReady())).count();
    }

    /** Handles an event at {@code eventTime}, in seconds; returns the actions to carry out, in order. */
    public List<Action> onEvent(double eventTime, Event event) {
        now = eventTime;
        actions = new ArrayList<>();
        initialize();
        if (event instanceof ServerListUpdate e) {
            onListUpdate(e);
        } else if (event instanceof Arrival e) {
            onArrival(e);
        } else if (event instanceof StreamStarted e) {
            onStreamStarted(e);
        } else if (event instanceof AttemptEnded e) {
            onAttemptEnded(e);
        } else if (event instanceof StateReleased e && requests.containsKey(e.request())) {
            requests.get(e.request()).dropReadState();
        } else if (event instanceof ClientLeft e) {
            onClientLeft(e.request());
        } else if (event instanceof TimerFired e) {
            onTimer(e.tag());
        } else if (event instanceof ProbeEnded e) {
            onProbeEnded(e);
        } else if (event instanceof AnswerProgress e && servers.containsKey(e.server())) {
            markHeard(servers.get(e.server()));
        } else if (event instanceof TrafficShare e) {
            slowStart.setTrafficShare(e.share());
        }
        return actions;
    }

    private void initialize() {
        if (!initialized) {
            slowStart.startDemandMeasurement(now);
        }
        if (!initialized && settings.mustSubscribe()) {
            actions.add(new SubscribeToList());
        }
        if (!initialized && settings.limits().probes()) {
            actions.add(new Timer(PROBE_INTERVAL_S, "probes"));
        }
        initialized = true;
    }

    private void onTimer(String tag) {
        if (tag.equals("probes")) {
            probeSilentServers();
        } else if (tag.equals("follow")) {
            actions.add(new SubscribeToList());
        } else {
            int dot = tag.indexOf('.');
            Request request = dot < 0 ? null : requests.get(Long.parseLong(tag.substring(1, dot)));
            if (request == null || request.closed) {
                return;
            }
            switch (tag.charAt(0)) {
                case 'd' -> { // the deadline is near
                    if (request.attempt == null || !request.attempt.streaming) {
                        finish(request, Reason.NO_TIME);
                    }
                }
                case 'h' -> advance(request); // held, or waiting for load probes
                default -> checkUnanswered(request, Integer.parseInt(tag.substring(dot + 1)));
            }
        }
    }

    private void startTimer(double delayS, char kind, Request request, int number) {
        actions.add(new Timer(Math.max(0, delayS), kind + "" + request.arrival.request() + "." + number));
    }

    // ---- server list ---------------------------------------------------------------------------

    private void onListUpdate(ServerListUpdate update) {
        if (update.kind() == ListKind.FAILED) {
            actions.add(new Timer(resubscribeS, "follow"));
            resubscribeS = Math.min(resubscribeS * 2, MAX_RESUBSCRIBE_S);
            return;
        }
        resubscribeS = update.kind() == ListKind.CACHED ? resubscribeS : FIRST_RESUBSCRIBE_S;
        if (update.kind() != ListKind.DELTA) {
            servers.values().forEach(server -> server.member = null);
        }
        update.members().forEach(this::updateServer);
        // forgets unlisted servers without attempts in flight: new ones have new ids, the map would only grow
        servers.values().removeIf(server -> server.inFlight.isEmpty()
                && (server.member == null || server.member.state() == ServerState.GONE));
        readers.clear();
        writers.clear();
        readCapable.clear();
        cells = new Cells();
        for (Server server : servers.values()) {
            if (server.isReady()) {
                (server.role == Role.READER ? readers : writers).add(server);
                if (server.role != Role.WRITER) {
                    readCapable.add(server);
                }
                Cell cell = cells.cellOf(server.member);
                cell.readShare += server.role == Role.READER ? 1 : 0;
                cell.writeShare += 1 - readShare(server);
            }
        }
        cells.normalize();
        slowStart.setServers(readers, writers);
    }

    private void updateServer(Member entry) {
        Server server = servers.computeIfAbsent(entry.server(),
                n -> new Server(n, new DecayingAverage(WAIT_EWMA_WEIGHT, WAIT_DECAY_S)));
        // taken from the permits, as a full list has cleared the server's member
        double previousLaunch = server.permits == null ? 0 : server.permits.launchedAt;
        server.member = entry;
        ServerKind kind = kinds.get(entry.kind());
        server.role = kind == null ? Role.MIXED : kind.role();
        server.memoryTokens = kind == null ? 0 : kind.memoryTokens();
        server.heardAt = server.heardAt == 0 ? now : server.heardAt;
        if (server.permits == null || server.permits.launchedAt != entry.launchedAt()) {
            server.permits = slowStart.newPermits(server.id, entry.launchedAt());
        }
        if (entry.launchedAt() > previousLaunch) {
            server.report = null;
            if (!server.errorEjected) {
                readmit(server);
            }
        }
    }

    // ---- admission -----------------------------------------------------------------------------

    private void onArrival(Arrival a) {
        // a class unknown to the settings: never repeated once it may have run, and refused first
        RequestClass strict = new RequestClass(a.requestClass(), 0, 0, 0, Repeats.UNSAFE, DedupScope.ALL, 0);
        Request request = new Request(a, classes.getOrDefault(a.requestClass(), strict));
        requests.put(a.request(), request);
        promptLengths.add(now, a.promptTokens());
        prefixCounts.add(now, a.prefix());
        slowStart.recordArrival(a, now);
        startTimer(a.deadline() - now - DEADLINE_MARGIN_S, 'd', request, 0);
        boolean sheddable = mayRefuse(request) && (exceedsQuota(a.customer()) || isSheddable(request.type));
        if (sheddable && random.nextDouble() < refusalChance(saturation())) {
            finish(request, Reason.DOOR);
            return;
        }
        advance(request);
    }

    /**
     * The probability of refusing a request whose wait would make it miss its aim, by the same curve as on
     * arrival: where all answers would be late, refusing some lets others be in time. Applies to top classes
     * too, as overload may remain where all requests of low worth are refused. Refusals don't shorten the
     * service time: where the aim leaves little more, a normal wait is tolerated, within the deadline.
     */
    private double lateRefusalChance(Request r, Server server, int rank) {
        double prompt = r.arrival.promptTokens();
        double aimS = Math.max(r.type.aimS() + r.type.aimPerThousandS() * prompt / 1000, MIN_TIMEOUT_S);
        double idleS = idleLatencyS(server, tokensToRead(r, rank), prompt);
        double leftS = r.arrival.deadline() - DEADLINE_MARGIN_S - now;
        double typical = promptLengths.typical();
        double normalWaitS = NORMAL_WAIT_PROMPTS * idleLatencyS(server, typical, typical);
        double maxWaitS = Math.max(aimS - idleS, Math.min(leftS - idleS, normalWaitS));
        return refusalChance(CERTAIN_SATURATION * expectedWaitS(server) / Math.max(maxWaitS, 0.001));
    }

    /** Seconds to the first token without other requests; {@code anew}: tokens a reader has to read. */
    private double idleLatencyS(Server first, double anew, double prompt) {
        return first.role != Role.READER ? inPlaceTime.of(prompt) : readTime.of(anew) + fetchTime.of(prompt);
    }

    /** Expected seconds of waiting before the first token, by this node's recent attempts and by reports. */
    private double expectedWaitS(Server first) {
        double writeWaitS = writers.stream().filter(s -> !s.ejected && hasRoom(s))
                .mapToDouble(s -> expectedWaitS(s, writeWait)).average().orElse(0);
        // a node of a large fleet uses each reader too seldom for its own latencies alone; reports may be old
        boolean known = first.role == Role.READER && fresh(first) && readBacklog.value > 0;
        double max = known ? queuedTokens(first) * readDurationS.value / readBacklog.value : Double.MAX_VALUE;
        return Math.min(max, expectedWaitS(first, readWait)) + writeWaitS;
    }

    /**
     * Seconds that attempts wait at a server, without their service time: the recent average or, if longer,
     * what the oldest unanswered one has waited since the newest answered one was sent. Attempts whose answer
     * seems lost tell nothing of a queue and are left out. A server with neither recent samples nor
     * unanswered attempts takes the average of its stage.
     */
    private double expectedWaitS(Server s, DecayingAverage stageWait) {
        SentAttempt oldest = s.unanswered.stream().filter(t -> !seemsLost(t)).findFirst().orElse(null);
        if (oldest == null && now - s.waitTime.updatedAt >= WAIT_DECAY_S) {
            return stageWait.valueAt(now);
        }
        double age = oldest == null ? 0
                : now - Math.max(oldest.sentAt, s.lastAnsweredSentAt) - oldest.serviceTime.of(oldest.tokens);
        return Math.max(age, s.waitTime.valueAt(now));
    }

    /**
     * Whether an answer seems lost on its way: later attempts were answered, or the server shows signs of
     * life and far more time has passed than answers take. Readers work first in, first out.
     */
    private boolean seemsLost(SentAttempt t) {
        double age = now - t.sentAt;
        double timeout = timeoutS(t);
        boolean overtaken = t.server.lastAnsweredSentAt > t.sentAt + (t.isRead ? 0 : OVERTAKEN_BY * timeout);
        boolean heard = t.server.heardAt > t.sentAt + timeout;
        return overtaken && age >= timeout || heard && age >= OVERDUE_BY * timeout;
    }

    private void recordLatency(SentAttempt attempt, double latency) {
        (attempt.isRead ? readLatency : writeLatency).add(latency);
        attempt.serviceTime.add(now, latency, attempt.tokens);
        double waitedS = latency - attempt.serviceTime.of(attempt.tokens);
        (attempt.isRead ? readWait : writeWait).add(now, waitedS);
        attempt.server.lastAnsweredSentAt = Math.max(attempt.server.lastAnsweredSentAt, attempt.sentAt);
        attempt.server.waitTime.add(now, waitedS);
    }

    static double refusalChance(double saturation) {
        return Math.min(REFUSAL_FACTOR * Math.pow(saturation, REFUSAL_EXPONENT), 1);
    }

    /** Whether the class is below the top worth or, where all are worth the same, has the loosest aim. */
    private boolean isSheddable(RequestClass c) {
        List<RequestClass> all = settings.classes();
        return all.stream().anyMatch(o -> c.worth() < o.worth())
                || all.stream().allMatch(o -> c.worth() == o.worth() && c.aimS() >= o.aimS());
    }

    /** Whether the customer's quota is used up; if not, uses it. Each node enforces an equal part of it. */
    private boolean exceedsQuota(String customer) {
        TokenBucket bucket = quotas.get(customer);
        return bucket != null && bucket.refillPerS > 0 && !bucket.tryTake(now);
    }

    /**
     * The mean over ready servers with a report, older reports weighing less. Up to MIN_REPORTS the missing
     * ones count as idle servers: the curve is so steep that a mean of few would refuse by chance.
     */
    private double saturation() {
        double sum = 0;
        double weightSum = 0;
        for (Server server : servers.values()) {
            if (server.isReady() && server.report != null && !server.ejected) {
                double weight = Math.exp((server.reportedAt - now) / REPORT_MAX_AGE_S);
                sum += weight * saturation(server);
                weightSum += weight;
            }
        }
        return sum / Math.max(weightSum, MIN_REPORTS);
    }

    private double saturation(Server server) {
        double limit = Math.max(SATURATED_TOKENS, SATURATED_PROMPTS * promptLengths.typical());
        return Math.max((reportedWaitingTokens(server) + server.unreportedTokens) / limit,
                State.or0(server.report.memoryShare()) / SATURATED_MEMORY);
    }

    /** Waiting prompt tokens by the last report: as told, or estimated from its numbers of requests. */
    private double reportedWaitingTokens(Server server) {
        double reported = server.report.waitingThousandTokens() * 1000;
        double mean = promptLengths.mean();
        double queued = server.report.waitingRequests() * mean;
        double scale = server.report.openRequests() * mean / Math.max(server.inFlightTokens, 1);
        double waiting = server.waitingTokens - server.unreportedTokens; // the rest is added by the caller
        waiting *= Double.isNaN(scale) ? 1 : scale;
        return !Double.isNaN(reported) ? reported : !Double.isNaN(queued) ? queued : waiting;
    }

    // ---- next step of a request ----------------------------------------------------------------

    private void advance(Request r) {
        if (r.closed || r.attempt != null) {
            return;
        }
        releaseStateIfDue(r, now);
        int maxSends = settings.limits().maxAttempts();
        boolean isLastSend = r.sendCount + 1 >= maxSends;
        boolean noWriteLeft = isLastSend && !r.holdsState && !canReadInPlace();
        boolean unrepeatable = r.ranOn != null && (r.type.repeats() == Repeats.UNSAFE || dedupExpired(r));
        boolean expired = r.arrival.deadline() - now <= DEADLINE_MARGIN_S; // no answer could be in time
        if (expired || unrepeatable || r.sendCount >= maxSends || noWriteLeft) {
            finish(r, expired ? Reason.NO_TIME : unrepeatable ? Reason.RAN : Reason.NO_ATTEMPT_LEFT);
            return;
        }
        if (!r.holdsState && !slowStart.mayStartRead(r, canReadInPlace(), now)) {
            countDemand(r);
            retryLater(r);
            return;
        }
        if (r.candidates == null) {
            r.candidates = r.holdsState || isLastSend ? new Candidates(2) : readerCandidates(r);
            r.candidates = r.candidates.size > 0 ? r.candidates : writerCandidates(r);
            if (probeCandidates(r.candidates)) {
                startTimer(LOAD_PROBE_S, 'h', r, 0);
                return;
            }
        }
        Server s = chooseServer(r);
        int rank = r.candidates.rank(s);
        boolean awaitsProbe = s != null && s.probePending() && !hung(s);
        if (awaitsProbe || s != null && hung(s) && !r.reselected) {
            // the probe may be answered soon, or other candidates chosen
            r.candidates = awaitsProbe ? r.candidates : null;
            r.reselected = !awaitsProbe;
            startTimer(awaitsProbe ? LOAD_PROBE_S : 0, 'h', r, 0);
            return;
        }
        r.candidates = null;
        boolean tooLate = s != null && r.sendCount == 0 && mayRefuse(r)
                && random.nextDouble() < lateRefusalChance(r, s, rank);
        if (!tooLate) {
            countDemand(r);
        }
        if (s == null) {
            retryLater(r);
        } else if (tooLate) {
            finish(r, Reason.SLOW);
        } else {
            send(r, s, rank, s.role != Role.READER ? Reason.WRITER : rank == 0 ? Reason.HOME : Reason.SPILL);
        }
    }

    /**
     * Counts the request in the demand for slow start once, even if it is held: else a process that starts
     * among cold servers alone would never get a share of them.
     */
    private void countDemand(Request request) {
        if (!request.countedInDemand) {
            request.countedInDemand = true;
            slowStart.recordAdmission(now);
        }
    }

    /** No server can take the request now: looks for one again after a delay. */
    private void retryLater(Request request) {
        releaseStateIfDue(request, now + NO_SERVER_RETRY_S);
        startTimer(NO_SERVER_RETRY_S, 'h', request, 0);
    }

    private boolean canReadInPlace() {
        return settings.writersRead() || writers.stream().anyMatch(server -> server.role == Role.MIXED);
    }

    /**
     * Probes the candidates for their load, as far as the probe budget allows; true if one was probed. Guards
     * against old reports, where a node seldom uses a server, and against servers that just fell silent.
     */
    private boolean probeCandidates(Candidates candidates) {
        boolean probed = false;
        for (int i = 0; i < candidates.size && settings.limits().probes(); i++) {
            Server server = candidates.server[i];
            if (probeCredit >= 1 && now - Math.max(server.reportedAt, server.probedAt) > REPORT_LAG_S) {
                probe(server);
                probed = true;
            }
        }
        return probed;
    }

    private Server chooseServer(Request request) {
        Candidates o = request.candidates;
        for (int i = 0; i < o.size; i++) {
            o.fit[i] = Math.min(o.fit[i], fitness(o.server[i], request));
        }
        return Math.max(o.fit[0], o.fit[1]) <= 0 ? null
                : o.fit[1] <= 10 * TINY * o.fit[0] ? o.server[0]
                : o.fit[0] <= 10 * TINY * o.fit[1] ? o.server[1] : lighter(o.server[0], o.server[1], request);
    }

    /**
     * The less loaded of two candidates by this node's tokens, with what each would read of this prompt. If
     * the tokens are equal, if both servers were just probed or if, for a read, the home has fewer tokens,
     * the reports decide where both are fresh; else it is the first.
     */
    private Server lighter(Server a, Server b, Request request) {
        double extra = request.holdsState ? 0 : tokensToRead(request, 1) - tokensToRead(request, 0);
        double diff = request.holdsState ? b.inFlightTokens - a.inFlightTokens
                : Math.min(0, b.waitingTokens + extra - a.waitingTokens);
        return diff != 0 && now - Math.min(a.probedAt, b.probedAt) > REPORT_LAG_S ? diff < 0 ? b : a
                : fresh(a) && fresh(b) && queuedTokens(b) + extra < queuedTokens(a) ? b : a;
    }

    /**
     * Prompt tokens that a reader of this rank has to read: at home, less the share of prefixes lately found
     * cached there; else all, as counting on a prefix that the spill has read would make it one more home.
     */
    private double tokensToRead(Request request, int rank) {
        double share = rank > 0 ? 0 : cachedPrefixShare.known ? cachedPrefixShare.value : 1;
        return Math.max(0, request.arrival.promptTokens() - share * request.arrival.prefixTokens());
    }

    /**
     * Whether a probe has been unanswered for longer than answers take. A merely late answer is no reason to
     * leave the home reader: any other would have to read the whole prompt.
     */
    private boolean hung(Server s) {
        return s.probePending() && now >= s.probedAt + Math.max(LOAD_PROBE_S, probeLatency.upper(DEVIATIONS));
    }

    /** Tokens queued at the server: of all nodes by a fresh report, else those that this node waits for. */
    private double queuedTokens(Server server) {
        if (!fresh(server)) {
            return server.waitingTokens;
        }
        boolean isReader = server.role == Role.READER;
        double mean = isReader && uncachedTokens.known ? uncachedTokens.value : promptLengths.mean();
        // a reader's memory holds mostly prompts already read: not used where the report counts requests
        double queued = (isReader && !Double.isNaN(server.report.openRequests()) ? 0 : server.heldTokens())
                + State.or0(server.report.waitingRequests()) * mean;
        return Math.max(queued, State.or0(server.report.openRequests()) * mean) + server.unreportedTokens;
    }

    /** Releases a read state that by {@code time} will have been held for LEASE_HOLD_SHARE of its lease. */
    private void releaseStateIfDue(Request r, double time) {
        if (r.holdsState && time - r.lastAnswerAt >= settings.rules().stateLeaseS() * LEASE_HOLD_SHARE) {
            r.dropReadState();
            actions.add(new Release(r.arrival.request()));
        }
    }

    // ---- reader choice -------------------------------------------------------------------------

    /**
     * The prefix's home reader by rendezvous hashing, and the next in hash order for the spill. One home is
     * enough for most prefixes, and each reads it only once; of several, the session's hash chooses. Mixed
     * servers are homes too while they can take reads.
     */
    private Candidates readerCandidates(Request r) {
        String session = String.valueOf(r.arrival.session());
        String prefixKey = r.arrival.prefix() != null ? r.arrival.prefix() : session;
        int homeLimit = homeCount(r.arrival.prefix());
        Candidates homes = new Candidates(homeLimit + 1);
        for (Server s : readCapable) {
            double fit = s.role == Role.READER || readers.isEmpty() || canTakeReads(s) ? fitness(s, r) : 0;
            homes.offer(s, fit * readShare(s) / -Math.log(State.hashToUnit(prefixKey, s.id)), fit);
        }
        int homeIndex = (int) (State.hashToUnit(session, prefixKey) * Math.min(homeLimit, homes.size));
        Candidates candidates = new Candidates(2);
        if (homes.size > 0) {
            candidates.append(homes.server[homeIndex], homes.fit[homeIndex]);
        }
        if (homes.size > homeLimit) {
            candidates.append(homes.server[homeLimit], homes.fit[homeLimit]);
        }
        return candidates;
    }

    /**
     * The number of homes: one, and more for a prefix with a large share of this node's arrivals, which are a
     * sample of all: so many that each gets at most half of an average reader's load by this prefix.
     */
    private int homeCount(String prefix) {
        double share = Math.max(0, prefixCounts.of(now, prefix) - 1) / (prefixCounts.sum.count(now) + PRIOR);
        return Math.max(1, Math.min((int) Math.ceil(2 * share * readers.size()), readers.size() - 1));
    }

    /** The share of a server's capacity that reads; the rest writes. */
    private double readShare(Server s) {
        return s.role == Role.READER ? 1 : s.role == Role.WRITER ? 0 : fresh(s) ? MIXED_FRESH : MIXED_STALE;
    }

    /** Whether a mixed server has room for reads, each of which slows the answers that it is writing. */
    private boolean canTakeReads(Server server) {
        return hasRoom(server) && !(fresh(server) && server.report.slotShare() >= BUSY_SLOT_SHARE);
    }

    // ---- writer choice -------------------------------------------------------------------------

    /**
     * Two by weighted random sampling in one pass. Writers without room, ejected or just tried weigh so
     * little that they are drawn only where there is no other. So do those that lately failed, for requests
     * that may not be repeated: a large fleet's node meets each too seldom to eject it in time.
     */
    private Candidates writerCandidates(Request r) {
        Cell cell = r.holdsState && r.reader.member != null ? cells.cellOf(r.reader.member) : null;
        boolean inCell = cell != null && random.nextDouble() * cell.readShare < cell.writeShare;
        boolean inZone = cell != null && random.nextDouble() * cell.zone.excess < cell.zone.spare;
        Candidates pair = new Candidates(2);
        for (Server s : writers) {
            double fit = r.holdsState || settings.writersRead() || s.role == Role.MIXED ? fitness(s, r) : 0;
            if (fit > 0) {
                fit *= (1 - readShare(s)) * (hasRoom(s) ? 1 : TINY * TINY);
                fit *= s.failShare < HEALTHY_FAIL_SHARE || r.type.isRepeatable() ? 1 : TINY * TINY;
                fit *= cell == null ? 1 : cell.transferWeight(cells.cellOf(s.member), inCell, inZone, TINY);
                pair.offer(s, fit / -Math.log(1 - random.nextDouble()), fit);
            }
        }
        return pair;
    }

    private boolean hasRoom(Server s) {
        return !fresh(s) || !(s.report.memoryShare() >= FULL_MEMORY_SHARE || s.report.waitingRequests() >= 1);
    }

    /** Whether the server's last report is recent enough to rely on. */
    private boolean fresh(Server server) {
        return server.report != null && now - server.reportedAt <= REPORT_MAX_AGE_S;
    }

    /** 1 for a usable server, a tiny weight for one to be used only where there is no other, else 0. */
    private double fitness(Server s, Request r) {
        return !s.isReady() || now < s.fullUntil || !mayRunOn(r, s) || !slowStart.maySend(s, r, now) ? 0
            : s.ejected && now < s.ejectedUntil || hung(s) || s.id.equals(r.triedId) ? TINY * TINY * TINY : 1;
    }

    /** A keyed request that may have run is repeated only at servers that drop its repeats. */
    private boolean mayRunOn(Request request, Server server) {
        if (request.ranOn == null || request.type.repeats() != Repeats.KEYED) {
            return true;
        }
        return !dedupExpired(request) && switch (request.type.dedupScope()) {
            case ALL -> true;
            case ZONE -> String.valueOf(request.ranOn.zone()).equals(server.member.zone());
            case CELL -> request.ranOn.cell() == server.member.cell();
        };
    }

    /** Whether servers no longer drop the request's repeats: only an attempt in flight can still succeed. */
    private boolean dedupExpired(Request request) {
        return request.ranSince > 0 && now >= dedupEnd(request);
    }

    private static double dedupEnd(Request r) {
        return r.type.repeats() == Repeats.KEYED ? r.ranSince + r.type.dedupS() : Double.POSITIVE_INFINITY;
    }

    // ---- attempts ------------------------------------------------------------------------------

    private void send(Request request, Server server, int rank, Reason reason) {
        boolean isRead = server.role == Role.READER;
        ServiceTime serviceTime = isRead ? readTime : request.holdsState ? fetchTime : inPlaceTime;
        double tokens = isRead ? tokensToRead(request, rank) : request.arrival.promptTokens();
        SentAttempt t = new SentAttempt(request, server, request.sendCount++, rank, tokens, serviceTime, now);
        t.queuedAheadTokens = isRead ? queuedTokens(server) : 0;
        request.attempt = t;
        request.triedId = server.id;
        request.ranSince = isRead || request.ranOn != null ? request.ranSince : now;
        server.addAttempt(t);
        slowStart.recordSend(server, request, now);
        if (server.ejected && now >= server.ejectedUntil) {
            server.ejectedUntil = now + server.ejectionS;
        }
        int reserved = isRead && !canReadInPlace() ? 2 : 1; // after a read one must be left for a writer
        boolean attemptsLeft = request.sendCount + reserved <= settings.limits().maxAttempts();
        boolean repeatable = (isRead || request.type.isRepeatable()) && attemptsLeft;
        double timeoutAt = request.arrival.deadline() - DEADLINE_MARGIN_S;
        double leftS = timeoutAt - now;
        if (repeatable) {
            if (!settings.limits().cancel()) {
                double earlierAt = now + Math.max(leftS * ATTEMPT_TIME_SHARE, Math.min(leftS, timeoutS(t)));
                timeoutAt = isRead || earlierAt < dedupEnd(request) ? earlierAt : timeoutAt;
            } else if (now + timeoutS(t) < timeoutAt) {
                startTimer(timeoutS(t), 's', request, t.number);
            }
        }
        double latestSendAt = request.ranOn == null ? Double.POSITIVE_INFINITY : dedupEnd(request);
        actions.add(new Attempt(request.arrival.request(), server.id, timeoutAt, latestSendAt, reason));
    }

    /**
     * Seconds without an answer after which an attempt is checked, or may be given up for a repeat: the
     * latency that few answers exceed, in proportion to the prompt where it is longer than the mean.
     */
    private double timeoutS(SentAttempt t) {
        double scale = Math.max(1, t.request.arrival.promptTokens() / Math.max(promptLengths.mean(), 1));
        LatencyStats latency = t.isRead ? readLatency : writeLatency;
        double usualS = scale * (latency.mean.known ? latency.upper(DEVIATIONS) : INITIAL_TIMEOUT_S);
        return Math.max(usualS, settings.limits().probes() ? MIN_TIMEOUT_S : UNPROBED_TIMEOUT_S);
    }

    /**
     * Guards against silent servers, without a sign of life since the attempt went out, and against single
     * lost attempts, where later ones were answered. Only the former counts against the server.
     */
    private void checkUnanswered(Request r, int number) {
        SentAttempt t = r.attempt;
        if (t == null || t.number != number || t.streaming || t.cancelled || !t.isRead && dedupExpired(r)) {
            return; // in the last case no repeat would be allowed
        }
        boolean silent = t.server.heardAt <= t.sentAt;
        if (seemsLost(t)) {
            cancel(t, Reason.OVERTAKEN);
        } else if (silent && settings.limits().probes() && t.server.probedAt <= t.sentAt) {
            probe(t.server);
            startTimer(PROBE_TIMEOUT_S, 's', r, number);
        } else if (silent) {
            (t.isRead ? readLatency : writeLatency).add(now - t.sentAt);
            recordSilence(t.server, settings.limits().probes());
            cancel(t, Reason.SILENT);
        } else {
            startTimer(timeoutS(t) / 4, 's', r, number);
        }
    }

    // ---- outcomes ------------------------------------------------------------------------------

    private void onStreamStarted(StreamStarted event) {
        Request request = requests.get(event.request());
        Server server = servers.get(event.server());
        if (server != null) {
            markHeard(server);
        }
        if (request == null || request.attempt == null || request.attempt.number != event.attempt()) {
            return;
        }
        request.attempt.streaming = true;
        request.holdsState = false;
        recordLatency(request.attempt, event.latencyS());
        request.attempt.server.markAnswered(request.attempt);
        recordSuccess(request.attempt.server);
    }

    private void onAttemptEnded(AttemptEnded e) {
        Server server = servers.get(e.server());
        storeReport(server, e.report());
        Request r = requests.get(e.request());
        if (r == null || r.attempt == null || r.attempt.number != e.attempt()) {
            if (e.outcome() == Outcome.READ) {
                actions.add(new Release(e.request()));
            }
            return;
        }
        SentAttempt attempt = r.attempt;
        attempt.server.removeAttempt(attempt);
        r.attempt = null;
        recordOutcome(attempt, e);
        if (e.requestOver() || r.closed) {
            requests.remove(e.request());
            r.closed = true;
            if (e.outcome() != Outcome.OK) {
                actions.add(new Release(e.request()));
            }
            return;
        }
        // unanswered attempts may not have reached a server: they do not restart the state's hold time
        r.lastAnswerAt = e.outcome().answered() ? now : r.lastAnswerAt;
        switch (e.outcome()) {
            case READ -> {
                r.holdsState = true;
                r.reader = attempt.server;
                r.triedId = null;
                recordLatency(attempt, e.latencyS());
                double uncached = Math.max(0, r.arrival.promptTokens() - e.cachedTokens());
                if (!Double.isNaN(uncached)) {
                    uncachedTokens.add(uncached);
                    readBacklog.add(attempt.queuedAheadTokens + uncached);
                    readDurationS.add(e.latencyS());
                    if (attempt.rank == 0 && r.arrival.prefixTokens() > 0) {
                        cachedPrefixShare.add(Math.min(1, e.cachedTokens() / r.arrival.prefixTokens()));
                    }
                }
            }
            case FULL -> {
                r.holdsState &= !e.stateMissing();
                attempt.server.fullUntil = e.stateMissing() ? attempt.server.fullUntil : now + FULL_PAUSE_S;
            }
            case NOT_SENT -> r.closeReason = Reason.NOT_SENT;
            case CONNECT_FAILED -> { }
            default -> r.ranOn = attempt.isRead || r.ranOn != null ? r.ranOn : attempt.memberWhenSent;
        }
        if (r.closeReason != null) {
            finish(r, r.closeReason);
        } else {
            advance(r);
        }
    }

    private void storeReport(Server server, Report report) {
        if (server != null && report != null) {
            server.storeReport(report, now, REPORT_LAG_S);
        }
    }

    // ---- end of a request ----------------------------------------------------------------------

    /** Gives the final answer: a refusal where the client may safely retry, else a failure. */
    private void finish(Request r, Reason reason) {
        long id = r.arrival.request();
        if (r.attempt != null && mayRefuse(r) && !r.type.isRepeatable() && settings.limits().cancel()) {
            // an attempt in flight, even a read, may still run: it is cancelled before the refusal
            if (!r.attempt.cancelled) {
                cancel(r.attempt, Reason.OVER);
            }
            r.closeReason = reason;
            return;
        }
        r.closed = true;
        double retryAfterS = Math.min(RETRY_AFTER_S, settings.limits().maxRetryAfterS());
        actions.add(mayRefuse(r) ? new Refuse(id, retryAfterS, reason) : new Fail(id, reason));
        abandon(r);
    }

    /**
     * Whether a retry by the client does no harm: no write can have run, a read in flight can be cancelled,
     * and the client resumes no stream; or else the servers drop the request's repeats.
     */
    private boolean mayRefuse(Request request) {
        boolean mayRun = request.attempt != null && (!request.attempt.isRead || !settings.limits().cancel());
        boolean mayHaveRun = request.arrival.resumed() || request.ranOn != null || mayRun;
        return !mayHaveRun || request.type.isRepeatable() && !dedupExpired(request);
    }

    /** Cancels the unanswered attempt of a request that has ended, and releases its read states. */
    private void abandon(Request r) {
        long id = r.arrival.request();
        if (r.attempt != null && !r.attempt.streaming && !r.attempt.cancelled && settings.limits().cancel()) {
            cancel(r.attempt, Reason.OVER);
        }
        if (r.sendCount > 0) {
            actions.add(new Release(id));
        }
        if (r.attempt == null) {
            requests.remove(id);
        }
    }

    private void cancel(SentAttempt attempt, Reason reason) {
        attempt.cancelled = true;
        actions.add(new Cancel(attempt.request.arrival.request(), attempt.number, reason));
    }

    private void onClientLeft(long id) {
        Request request = requests.get(id);
        if (request != null && !request.closed) {
            request.closed = true;
            abandon(request);
        }
    }

    // ---- outlier ejection ----------------------------------------------------------------------

    private void markHeard(Server server) {
        server.heardAt = now;
        server.silenceCount = 0;
    }

    private void recordOutcome(SentAttempt attempt, AttemptEnded event) {
        Server server = attempt.server;
        switch (event.outcome()) {
            case OK, READ -> {
                markHeard(server);
                recordSuccess(server);
            }
            case FULL -> markHeard(server);
            case ERROR, RESET -> {
                markHeard(server);
                recordFailure(server, true);
            }
            case CONNECT_FAILED -> recordFailure(server, false);
            default -> {
                boolean silent = server.heardAt <= attempt.sentAt;
                if (event.outcome() == Outcome.TIMED_OUT && silent && hadUsualTime(attempt)) {
                    recordSilence(server, false);
                }
            }
        }
    }

    /**
     * Whether the attempt has waited as long as answers may usually take, or for the aim of its class if that
     * is less. One that its client's deadline has cut shorter shows nothing of the server.
     */
    private boolean hadUsualTime(SentAttempt attempt) {
        return now - attempt.sentAt >= Math.min(timeoutS(attempt), attempt.request.type.aimS());
    }

    private void recordSuccess(Server s) {
        s.failShare *= 1 - FAILURE_EWMA_WEIGHT;
        if (s.ejected && s.failShare < EJECT_SHARE && (!s.errorEjected || now >= s.ejectedAt + s.ejectionS)) {
            readmit(s);
        }
    }

    private void recordFailure(Server server, boolean isError) {
        server.failShare += FAILURE_EWMA_WEIGHT * (1 - server.failShare);
        if (!isError || server.failShare >= EJECT_SHARE) {
            eject(server, isError);
        }
    }

    private void eject(Server server, boolean forErrors) {
        if (server.ejected && now < server.ejectedUntil) {
            return;
        }
        boolean repeated = server.ejectionS > 0 && now - server.ejectedUntil < MAX_EJECTION_S;
        server.ejectionS = repeated ? Math.min(server.ejectionS * 2, MAX_EJECTION_S) : FIRST_EJECTION_S;
        server.ejectedAt = now;
        server.ejected = true;
        server.errorEjected = forErrors;
        server.ejectedUntil = now + server.ejectionS;
        server.report = null;
        actions.add(new Remark("rests " + server.id + (forErrors ? ": errors" : ": no answer")));
    }

    private void readmit(Server server) {
        if (server.ejected) {
            actions.add(new Remark("back " + server.id));
        }
        server.ejected = false;
        server.silenceCount = 0;
        server.failShare = Math.min(server.failShare, EJECT_SHARE * READMISSION_SHARE);
    }

    /**
     * Records a missing answer. Unless a probe confirms it, only the second in a row ejects the server, as
     * one may be due to a queue. At the second its streams are transferred, where they can resume.
     */
    private void recordSilence(Server server, boolean confirmed) {
        server.silenceCount++;
        if (confirmed || server.silenceCount >= MAX_SILENCES) {
            eject(server, false);
        }
        if (server.silenceCount >= MAX_SILENCES && settings.streamsResumable()) {
            server.inFlight.stream().filter(t -> t.streaming && !t.request.closed).forEach(t -> {
                t.request.closed = true;
                actions.add(new Transfer(t.request.arrival.request()));
            });
        }
    }

    // ---- probes --------------------------------------------------------------------------------

    /** Probes servers that gave no sign of life for a while, as far as the probe budget allows. */
    private void probeSilentServers() {
        actions.add(new Timer(PROBE_INTERVAL_S, "probes"));
        int serverCount = readers.size() + writers.size();
        double probesPerS = settings.probeCost() <= 0 ? serverCount / SILENCE_S
                : PROBE_BUDGET / settings.probeCost() * prefixCounts.sum.ratePerS(now);
        probeCredit = Math.min(probeCredit + probesPerS * PROBE_INTERVAL_S, serverCount);
        boolean probesOnly = settings.reportTiming() == ReportTiming.WITH_PROBES;
        for (Server server : servers.values()) {
            double seenAt = probesOnly ? server.probedAt : Math.max(server.heardAt, server.probedAt);
            boolean relevant = server.ejected || !server.inFlight.isEmpty();
            if (server.isReady() && relevant && probeCredit >= RESERVED_PROBES && now - seenAt >= SILENCE_S) {
                probe(server);
            }
        }
    }

    private void probe(Server server) {
        server.probedAt = now;
        probeCredit--;
        actions.add(new Probe(server.id));
    }

    private void onProbeEnded(ProbeEnded event) {
        Server server = servers.get(event.server());
        if (server == null) {
            return;
        }
        if (event.outcome() == Outcome.OK) {
            markHeard(server);
            probeLatency.add(event.latencyS());
            storeReport(server, event.report());
            if (server.ejected && !server.errorEjected) {
                readmit(server);
            }
        } else if (event.outcome() == Outcome.TIMED_OUT || event.outcome() == Outcome.CONNECT_FAILED) {
            recordSilence(server, true);
        }
    }
}

package copperbeam.routing;

import copperbeam.Api;
import copperbeam.Api.AttemptEnded;
import copperbeam.Api.ListKind;
import copperbeam.Api.Outcome;
import copperbeam.Api.Report;
import copperbeam.Brain;
import copperbeam.routing.OpenRequest.Phase;
import copperbeam.routing.RequestRules.Rule;
import copperbeam.routing.StageTimes.Stage;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Sole owner of the decision module, its timers and the open requests. Translates incoming messages into events of the
 * module, and the module's actions into messages to other actors. All routing decisions are left to the module.
 */
public final class ModuleActor extends Actor<ModuleActor.Message> implements Intake {
    /** Messages of this actor. */
    public sealed interface Message
            permits Listed,
                    Arrive,
                    Left,
                    FirstEvent,
                    Ended,
                    ProbeDone,
                    Fired,
                    StateDue,
                    ArrivalShown,
                    Drain,
                    TakeNoMore,
                    HandOver,
                    Cut,
                    Census,
                    Sweep,
                    Beside {}

    /** The server list or a change of it; {@code onApplied} runs once the module has processed it and may be null. */
    public record Listed(ListKind kind, List<Api.Member> members, Map<String, PeerActor> peers, Runnable acted)
            implements Message {}

    /** A client's request has arrived. */
    public record Arrive(Ask ask, Answer answer) implements Message {}

    /** The client has gone away; ignored where its request is unknown or has ended. */
    public record Left(Answer answer) implements Message {}

    /** The first event of an attempt's stream; {@code onDrained} runs once the client's connection has taken it. */
    public record FirstEvent(
            long request, int number, String server, byte[] raw, Duration after, Runnable drained, PeerActor at)
            implements Message {}

    /**
     * An attempt has ended. {@code connected}: it had a connection; without one, nothing ran. {@code endedAt}: when the last
     * message came on that connection or it was closed here, regardless of how long this message waited in the mailbox.
     */
    public record Ended(
            long request,
            int number,
            String server,
            Outcome outcome,
            Duration after,
            boolean stateMissing,
            Report report,
            double keptTokens,
            boolean up,
            Instant at)
            implements Message {}

    /** A peer's reply to {@link PeerActor.CheckArrival}; {@code confirmed}: answers to other calls show that the attempt arrived. */
    public record ArrivalShown(long request, int number, boolean shown) implements Message {}

    /** A health probe has ended. */
    public record ProbeDone(String server, Outcome outcome, Duration after, Report report) implements Message {}

    /** Runs {@code onIdle} as soon as no request is open. */
    public record Drain(Runnable idle) implements Message {}

    /** New requests get their final answer at once, as if their deadline had passed; open requests continue. */
    public record TakeNoMore() implements Message {}

    /** The shutdown may wait no longer: open requests without a stream, and new requests, get their final answer now. */
    public record HandOver() implements Message {}

    /** The process is about to exit: ends the running streams too, so that their clients resume them elsewhere. */
    public record Cut() implements Message {}

    /** Updates the server counts in {@link Metrics}, and does so again every {@link #SERVER_COUNT_INTERVAL}. */
    public record Census() implements Message {}

    /** This process's share (0 to 1) of the work that the conductor may send to cold servers. */
    public record Beside(double part) implements Message {}

    private record Fired(String tag) implements Message {}

    private record StateDue(long request, int attempts) implements Message {}

    /** Looks for requests without a final answer after their deadline, and for attempts whose outcome never came. */
    private record Sweep() implements Message {}

    /** Reason for releasing a read state. */
    private enum ReleaseCause {
        /** The module has asked for the release. */
        ASKED,
        /** No attempt has used the state before its lease ran out. */
        UNTAKEN,
        /** An attempt is in flight, and no answer shows that it has arrived at its server. */
        UNANSWERED
    }

    private static final Logger LOG = Logger.getLogger(ModuleActor.class.getName());
    private static final Duration CENSUS = Duration.ofMillis(200); // between counts; metrics are allowed to lag by 0.5 s
    // time after a request's deadline at which this actor fails the request, if the module has not given a final answer
    private static final Duration OVERDUE = Duration.ofMillis(150);
    // time after an attempt's deadline at which its outcome counts as lost
    private static final Duration LOST = Duration.ofSeconds(1);
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100); // between checks for both

    private final Clock clock;
    private final Brain brain;
    private final Api.Settings settings;
    private final ReleaseActor releases;
    private final Recorder recorder;
    private final Metrics metrics;
    private final RequestLog log;
    private final Map<Long, OpenRequest> requests = new HashMap<>();
    private final Map<Answer, OpenRequest> byAnswer = new IdentityHashMap<>();
    private final Set<String> ids = new HashSet<>();
    private final Map<String, Api.Role> roles = new HashMap<>();
    private final List<OpenRequest> closing = new ArrayList<>();
    private Map<String, PeerActor> peers = Map.of();
    private long keys;
    private boolean takesNoMore;
    private boolean sweeping;
    private Runnable idle;

    public ModuleActor(
            ScheduledExecutorService turns,
            Clock clock,
            Api.Settings settings,
            long seed,
            ReleaseActor releases,
            Recorder recorder,
            Metrics metrics) {
        super(turns);
        this.metrics = metrics;
        this.recorder = recorder;
        this.clock = clock;
        this.settings = settings;
        this.releases = releases;
        log = new RequestLog(clock);
        brain = new Brain(settings, seed);
    }

    @Override
    protected void receive(Message m) {
        if (m instanceof Listed e) {
            listed(e);
        } else if (m instanceof Arrive e) {
            arrive(e);
        } else if (m instanceof Left e) {
            left(e);
        } else if (m instanceof FirstEvent e) {
            firstEvent(e);
        } else if (m instanceof Ended e) {
            ended(e);
        } else if (m instanceof ProbeDone e) {
            recorder.note(Recorder.What.PROBED, 0, 0, e.server(), e.outcome().name(), e.after());
            feed(new Api.Probed(e.server(), e.outcome(), ModuleTime.seconds(e.after()), e.report()));
        } else if (m instanceof Fired e) {
            feed(new Api.TimerFired(e.tag()));
        } else if (m instanceof StateDue e) {
            stateDue(e);
        } else if (m instanceof ArrivalShown e) {
            arrivalShown(e);
        } else if (m instanceof Drain e) {
            idle = e.idle();
        } else if (m instanceof TakeNoMore) {
            takesNoMore = true;
        } else if (m instanceof HandOver) {
            takesNoMore = true;
            List.copyOf(requests.values()).forEach(this::handOver);
        } else if (m instanceof Cut) {
            List.copyOf(requests.values()).forEach(this::transfer);
        } else if (m instanceof Beside e) {
            feed(new Api.Beside(e.part()));
        } else if (m instanceof Census) {
            metrics.cluster(new Metrics.Cluster(peers.size(), brain.avoided()));
            tellLater(CENSUS, m);
        } else if (m instanceof Sweep) {
            sweep();
        }
        if (idle != null && requests.isEmpty()) {
            idle.run();
            idle = null;
        }
    }

    @Override
    public void arrive(Ask ask, Answer answer) {
        tell(new Arrive(ask, answer));
    }

    @Override
    public void left(Answer answer) {
        tellFirst(new Left(answer)); // queued behind many new requests, it would come after attempts that it should prevent
    }

    /**
     * Passes an event to the module and carries out the resulting actions. Never throws: one failed action must not prevent
     * the final answers after it, nor what the caller does next. {@link #sweep} ends requests that miss an action this way.
     */
    private void feed(Api.Event event) {
        try {
            for (Api.Action action : brain.on(ModuleTime.seconds(clock.instant()), event)) {
                tryAction(action);
            }
        } catch (RuntimeException | Error e) {
            LOG.log(Level.SEVERE, "the decision module failed on " + event, e);
        }
        // only after all actions: a release may follow the final answer of the same request
        closing.forEach(this::forget);
        closing.clear();
    }

    private void tryAction(Api.Action action) {
        try {
            act(action);
        } catch (RuntimeException | Error e) {
            LOG.log(Level.SEVERE, "an action of the decision module failed: " + action, e);
        }
    }

    /** Guards against requests that would never get a final answer because the module failed on them or lost track of them. */
    private void sweep() {
        Instant now = clock.instant();
        for (OpenRequest r : List.copyOf(requests.values())) {
            if (r.phase == Phase.OPEN && r.ask.deadline().plus(OVERDUE).isBefore(now)) {
                overdue(r);
            }
            if (r.phase != Phase.STREAMING && r.out && r.until.plus(LOST).isBefore(now)) {
                outcomeLost(r, now);
            }
        }
        sweeping = false;
        scheduleSweep();
    }

    private void scheduleSweep() {
        if (!sweeping && !requests.isEmpty()) {
            sweeping = true;
            tellFirstLater(SWEEP_INTERVAL, new Sweep());
        }
    }

    private void overdue(OpenRequest r) {
        LOG.warning("the module gave no final answer by the deadline: request " + r.ask.id());
        ruleBroken(r, Rule.LATE_ANSWER);
        over(r, Metrics.End.ERRORED);
        try {
            r.answer.fail(Answer.Failure.TOO_LATE);
        } catch (RuntimeException | Error e) {
            LOG.log(Level.SEVERE, "sending the final answer failed: request " + r.ask.id(), e);
        }
        feed(new Api.ClientLeft(r.key)); // makes the module cancel the attempt in flight and release held state
        forget(r);
    }

    /**
     * Ends an attempt whose outcome never came because its peer failed. Otherwise the server would count as busy forever, and a
     * shutdown would wait for the attempt.
     */
    private void outcomeLost(OpenRequest r, Instant now) {
        LOG.warning("no outcome of an attempt by its deadline: request " + r.ask.id() + " at " + r.at.id());
        int number = r.attempts - 1;
        r.at.tell(new PeerActor.Stop(r.key, number));
        Duration after = Duration.between(r.until, now);
        ended(new Ended(r.key, number, r.at.id(), Outcome.TIMED_OUT, after, false, null, Double.NaN, true, now));
    }

    // ---- incoming messages ---------------------------------------------------------------------

    private void listed(Listed e) {
        peers = e.peers();
        for (Api.Member member : e.members()) {
            if (recorder != Recorder.NONE) {
                recorder.note(
                        Recorder.What.LISTED, 0, 0, member.server(), member.state() + " " + member.launchedAt(), null);
            }
            settings.kinds().stream()
                    .filter(k -> k.name().equals(member.kind()))
                    .findFirst()
                    .ifPresent(k -> roles.put(member.server(), k.role()));
        }
        roles.keySet().retainAll(peers.keySet());
        feed(new Api.Members(e.kind(), e.members()));
        if (e.acted() != null) {
            e.acted().run();
        }
    }

    private RequestRules rules(Ask ask) {
        Api.RequestClass requestClass = settings.classes().stream()
                .filter(c -> c.name().equals(ask.requestClass()))
                .findFirst()
                .orElse(null);
        return new RequestRules(requestClass, settings.limits().maxAttempts(), ask.deadline(), ask.resumed());
    }

    private void arrive(Arrive e) {
        metrics.taken();
        if (e.answer().gone()) {
            metrics.ended(e.ask().requestClass(), Metrics.End.LEFT);
            return;
        }
        if (!ids.add(e.ask().id())) {
            // servers can't tell two requests with one id apart: each would release the other's read state
            e.answer().fail(Answer.Failure.ID_IN_USE);
            metrics.ended(e.ask().requestClass(), Metrics.End.ERRORED);
            return;
        }
        OpenRequest r = new OpenRequest(
                ++keys,
                e.ask(),
                e.answer(),
                rules(e.ask()),
                new StateLease(settings.rules().releaseS()),
                clock.instant());
        requests.put(r.key, r);
        byAnswer.put(r.answer, r);
        scheduleSweep();
        Ask a = r.ask;
        if (recorder != Recorder.NONE) {
            note(
                    Recorder.What.ARRIVED,
                    r,
                    null,
                    a.id() + " " + a.requestClass() + " " + a.session() + " " + (long) a.promptTokens()
                            + (a.resumed() ? " rest" : ""),
                    Duration.between(clock.instant(), a.deadline()));
        }
        feed(new Api.Arrival(
                r.key,
                a.requestClass(),
                a.customer(),
                a.session(),
                a.prefix(),
                a.promptTokens(),
                a.prefixTokens(),
                a.maxAnswerTokens(),
                ModuleTime.seconds(takesNoMore ? clock.instant() : a.deadline()),
                a.resumed()));
    }

    /**
     * Ends an open request as if its deadline had passed: the module knows whether it may be refused and what must be released.
     */
    private void handOver(OpenRequest r) {
        if (r.phase == Phase.OPEN) {
            feed(new Api.TimerFired("d" + r.key + ".0"));
        }
    }

    private void left(Left e) {
        OpenRequest r = byAnswer.get(e.answer());
        if (r == null || r.phase == Phase.OVER) {
            return;
        }
        boolean streaming = r.phase == Phase.STREAMING;
        note(Recorder.What.LEFT, r, null, r.phase.name(), null);
        over(r, Metrics.End.LEFT);
        feed(new Api.ClientLeft(r.key));
        if (streaming && r.out) {
            // nobody reads the stream any more: closing its connection also ends it at the server
            r.at.tell(new PeerActor.Stop(r.key, r.attempts - 1));
        }
        forget(r);
    }

    private void firstEvent(FirstEvent e) {
        OpenRequest r = requests.get(e.request());
        PeerActor peer = e.at();
        boolean current = r != null && r.out && r.attempts - 1 == e.number();
        if (!current || r.phase != Phase.OPEN) {
            // the attempt or the request ended while this message was queued: nobody wants the stream
            peer.tell(new PeerActor.Stop(e.request(), e.number()));
            return;
        }
        note(Recorder.What.FIRST, r, e.server(), null, e.after());
        r.phase = Phase.STREAMING;
        enter(r, Stage.WRITING);
        r.rules.ended();
        r.lease.ended();
        r.answer.begin();
        boolean passed = r.answer.event(e.raw(), e.drained());
        feed(new Api.StreamStarted(r.key, e.number(), e.server(), ModuleTime.seconds(e.after())));
        peer.tell(passed ? new PeerActor.Proceed(r.key, e.number()) : new PeerActor.Stop(r.key, e.number()));
    }

    private void ended(Ended e) {
        OpenRequest r = requests.get(e.request());
        if (r == null || !r.out || r.attempts - 1 != e.number()) {
            return;
        }
        r.out = false;
        r.lastOutcome = e.outcome();
        r.rules.outcome(e.outcome(), e.up());
        metrics.causes().add(CauseCounts.Kind.ATTEMPT_ENDED, e.outcome());
        r.lease.attemptEnded(e.outcome(), e.server(), e.up(), e.at());
        if (r.phase == Phase.OPEN) {
            enter(r, r.lease.held() ? Stage.WAITS_FOR_WRITER : Stage.WAITS_FOR_READER);
        }
        r.releaseWanted |= e.outcome() == Outcome.OK && !r.lease.cutReaders().isEmpty();
        note(Recorder.What.ENDED, r, e.server(), e.outcome().name(), e.after());
        if (!e.outcome().answered() && r.phase != Phase.OVER) {
            log.note(
                    r.ask.id(),
                    "no answer: " + e.outcome() + " after " + e.after().toMillis() + " ms, " + attemptOf(r));
        }
        if (r.phase == Phase.STREAMING) {
            over(r, e.outcome() == Outcome.OK ? Metrics.End.ANSWERED : Metrics.End.ERRORED);
            if (e.outcome() == Outcome.OK) {
                note(Recorder.What.SERVED, r, null, null, null);
                r.answer.end();
            } else {
                note(Recorder.What.BROKEN, r, null, e.outcome() == Outcome.CANCELLED ? "cut here" : null, null);
                r.answer.broken();
            }
        }
        boolean over = r.phase == Phase.OVER;
        feed(new AttemptEnded(
                r.key,
                e.number(),
                e.server(),
                e.outcome(),
                ModuleTime.seconds(e.after()),
                over,
                e.stateMissing(),
                e.report(),
                e.keptTokens()));
        if (r.releaseWanted && !r.out) {
            release(r, ReleaseCause.ASKED);
        }
        if (!r.out && r.phase == Phase.OPEN) {
            watchLease(r);
        }
        forget(r);
    }

    /** Schedules the release of the held state for the end of its lease, unless another attempt has begun by then. */
    private void watchLease(OpenRequest r) {
        if (r.lease.held()) {
            Duration left = Duration.between(clock.instant(), r.lease.releaseBy(r.out));
            if (left.isNegative()) {
                leaseOver(r); // the message handled now was queued for too long: no time is left for a timer
            } else {
                lookLater(r, left);
            }
        }
    }

    /**
     * Schedules the check of a lease that runs out after this delay. While an attempt is in flight, its peer checks first whether
     * the attempt has arrived: waiting for a turn of this actor might use up the time that is left for a release.
     */
    private void lookLater(OpenRequest r, Duration left) {
        if (r.out && r.phase != Phase.OVER) {
            r.at.tellFirstLater(left, new PeerActor.AskArrival(r.key, r.attempts - 1));
        } else {
            tellFirstLater(left, new StateDue(r.key, r.attempts));
        }
    }

    private void stateDue(StateDue e) {
        OpenRequest r = requests.get(e.request());
        if (r != null && r.phase != Phase.STREAMING && r.attempts == e.attempts() && r.lease.held()) {
            leaseOver(r);
        }
    }

    private void arrivalShown(ArrivalShown e) {
        OpenRequest r = requests.get(e.request());
        boolean out = r != null && r.phase != Phase.STREAMING && r.out && r.attempts - 1 == e.number();
        if (!out || !r.lease.held()) {
            return;
        }
        if (r.phase == Phase.OVER) {
            leaseOver(r);
            return;
        }
        feed(new Api.StateDue(r.key, e.shown()));
        if (!r.lease.held()) {
            return;
        }
        Duration left = Duration.between(clock.instant(), r.lease.end());
        if (left.compareTo(Duration.ZERO) > 0) {
            lookLater(r, left); // the state is kept; check once more
        }
    }

    /**
     * Releases the held state because its lease has run out. Covers two cases that the module doesn't: a read that succeeded
     * just as its connection closed, which was reported as failed; and, for a request that is over, an attempt that can't be
     * cancelled and has not arrived.
     */
    private void leaseOver(OpenRequest r) {
        release(r, r.out ? ReleaseCause.UNANSWERED : ReleaseCause.UNTAKEN);
        feed(new Api.StateReleased(r.key));
    }

    // ---- actions of the module -----------------------------------------------------------------

    private void act(Api.Action action) {
        if (action instanceof Api.Attempt a) {
            attempt(a);
        } else if (action instanceof Api.Refuse a) {
            finish(a.request(), Recorder.What.REFUSED, a.why(), r -> refuse(r, ModuleTime.span(a.retryAfterS())));
        } else if (action instanceof Api.Fail a) {
            finish(
                    a.request(),
                    Recorder.What.FAILED,
                    a.why(),
                    r -> r.answer.fail(
                            clock.instant().plusMillis(100).isAfter(r.ask.deadline())
                                    ? Answer.Failure.TOO_LATE
                                    : Answer.Failure.SERVERS_FAILED));
        } else if (action instanceof Api.Cancel a) {
            OpenRequest r = requests.get(a.request());
            if (r != null && r.out && r.attempts - 1 == a.attempt()) {
                note(Recorder.What.CANCEL, r, null, a.why().name(), null);
                metrics.causes().add(CauseCounts.Kind.CANCELLED, a.why());
                if (a.why() != Api.Why.OVER) {
                    log.note(r.ask.id(), "cancelled: " + a.why() + ", " + attemptOf(r));
                }
                r.at.tell(new PeerActor.Stop(a.request(), a.attempt()));
            }
        } else if (action instanceof Api.Transfer a) {
            transfer(requests.get(a.request()));
        } else if (action instanceof Api.Release a) {
            OpenRequest r = requests.get(a.request());
            if (r != null) {
                r.releaseWanted = true;
                if (!r.out) {
                    release(r, ReleaseCause.ASKED);
                }
            }
        } else if (action instanceof Api.ReleaseBeside a) {
            release(requests.get(a.request()), ReleaseCause.UNANSWERED);
        } else if (action instanceof Api.Probe a) {
            peer(a.server()).tell(new PeerActor.Probe());
        } else if (action instanceof Api.Timer a) {
            tellLater(ModuleTime.span(a.afterS()), new Fired(a.tag()));
        } else if (action instanceof Api.Remark a) {
            recorder.note(Recorder.What.REMARK, 0, 0, null, a.text(), null);
            LOG.info(a.text());
        }
    }

    /** Also finds the peer of a server that has left the list: the module may probe it while an attempt there is in flight. */
    private PeerActor peer(String server) {
        PeerActor listed = peers.get(server);
        return listed != null
                ? listed
                : requests.values().stream()
                        .filter(r -> r.out && r.at.id().equals(server))
                        .map(r -> r.at)
                        .findFirst()
                        .orElseThrow();
    }

    private void attempt(Api.Attempt a) {
        OpenRequest r = requests.get(a.request());
        PeerActor peer = peers.get(a.server());
        if (r == null || peer == null) {
            recorder.note(Recorder.What.RULE, a.request(), 0, a.server(), "an attempt that can't be made", null);
            throw new IllegalStateException(
                    "attempt for " + (r == null ? "an unknown request" : "an unknown server: " + a.server()));
        }
        boolean reading = roles.get(a.server()) == Api.Role.READER;
        Optional<Rule> broken = r.rules.againstAttempt(!reading, clock.instant());
        if (broken.isPresent()) {
            ruleBroken(r, broken.get());
            throw new IllegalStateException("attempt forbidden by rule " + broken.get());
        }
        if (r.lease.tooLateToConnect(clock.instant())) {
            release(r, ReleaseCause.UNTAKEN); // the end of the read was reported late
        }
        if (!r.lease.cutReaders().isEmpty()) {
            releases.tell(new ReleaseActor.Taken(r.ask.id()));
        }
        if (r.lastOutcome != null && r.lastOutcome != Outcome.READ) {
            metrics.causes().add(CauseCounts.Kind.RETRIED, r.lastOutcome);
        }
        r.out = true;
        r.until = ModuleTime.time(a.until());
        r.at = peer;
        r.releaseWanted = false;
        Instant connectBy = r.lease.connectBy(clock.instant());
        r.lease.attemptBegan(a.server(), reading, clock.instant());
        enter(r, reading ? Stage.READING : Stage.WRITING);
        r.rules.begun(!reading, clock.instant());
        boolean once = !reading
                && settings.classes().stream()
                        .anyMatch(c -> c.name().equals(r.ask.requestClass()) && c.effect() != Api.Effect.SAFE);
        recorder.note(
                Recorder.What.ATTEMPT,
                r.key,
                r.attempts,
                a.server(),
                a.why().name(),
                Duration.between(clock.instant(), ModuleTime.time(a.until())));
        peer.tell(new PeerActor.Send(
                r.key,
                r.attempts++,
                r.ask,
                r.answer,
                r.until,
                Double.isInfinite(a.latest()) ? Instant.MAX : ModuleTime.time(a.latest()),
                connectBy,
                once,
                reading,
                () -> r.phase == Phase.OVER));
        watchLease(r);
    }

    private void note(Recorder.What what, OpenRequest r, String server, String text, Duration span) {
        recorder.note(what, r.key, Math.max(0, r.attempts - 1), server, text, span);
    }

    private void finish(long key, Recorder.What what, Api.Why why, java.util.function.Consumer<OpenRequest> answer) {
        OpenRequest r = requests.get(key);
        if (r != null && r.phase == Phase.OPEN) {
            note(what, r, null, why.name(), null);
            metrics.causes()
                    .add(what == Recorder.What.REFUSED ? CauseCounts.Kind.REFUSED : CauseCounts.Kind.FAILED, why);
            if (r.attempts > 0) {
                log.note(r.ask.id(), what.name().toLowerCase(Locale.ROOT) + ": " + why + ", " + attemptOf(r));
            }
            metrics.stages().ended(r.ask.requestClass(), r.stage(), why);
            enter(r, r.stage());
            r.rules.againstAnswer(clock.instant()).ifPresent(rule -> ruleBroken(r, rule));
            over(r, what == Recorder.What.REFUSED ? Metrics.End.DEFERRED : Metrics.End.ERRORED);
            closing.add(r); // before the answer, which may throw
            answer.accept(r);
        }
    }

    /** Fails the request where the rules forbid a refusal, which would tell the client that a retry is harmless. */
    private void refuse(OpenRequest r, Duration retryAfter) {
        Optional<Rule> broken = r.rules.againstRefusal();
        if (broken.isPresent()) {
            ruleBroken(r, broken.get());
            r.answer.fail(Answer.Failure.SERVERS_FAILED);
        } else {
            r.answer.refuse(retryAfter, r.attempts > 0);
        }
    }

    private void ruleBroken(OpenRequest r, Rule rule) {
        metrics.causes().add(CauseCounts.Kind.RULE_BROKEN, rule);
        note(Recorder.What.RULE, r, null, rule.name(), null);
        LOG.warning("rule broken: " + rule + ", request " + r.ask.id() + " of class " + r.ask.requestClass() + ", attempts "
                + r.attempts);
    }

    /**
     * Ends a stream so that its client resumes elsewhere. A stream whose end has already come in from the server is passed on
     * whole instead.
     */
    private void transfer(OpenRequest r) {
        if (r != null && r.phase == Phase.STREAMING) {
            r.at.tell(new PeerActor.Cut(r.key, r.attempts - 1));
        }
    }

    /** Marks a request as over; the only place where its end is counted. */
    private void over(OpenRequest r, Metrics.End end) {
        boolean streamed = r.phase == Phase.STREAMING;
        r.phase = Phase.OVER;
        r.rules.ended();
        r.until = streamed ? clock.instant() : r.until; // the outcome of a stream is due from now on
        metrics.ended(r.ask.requestClass(), end);
    }

    private void release(OpenRequest r, ReleaseCause cause) {
        note(Recorder.What.RELEASE, r, r.lease.lastReader(), cause.name(), null);
        metrics.causes().add(CauseCounts.Kind.STATE_RELEASED, cause);
        if (cause != ReleaseCause.ASKED && r.lease.held()) {
            Duration held = r.lease.heldFor(clock.instant());
            log.note(
                    r.ask.id(),
                    "read state released: " + cause + ", held for " + held.toMillis() + " ms, " + attemptOf(r));
        }
        String first = r.lease.lastReader();
        if (r.lease.cutReaders().isEmpty()) {
            releases.tell(new ReleaseActor.Release(r.ask.id(), first, null));
        }
        Instant last = clock.instant().isAfter(r.ask.deadline()) ? clock.instant() : r.ask.deadline();
        Instant until = last.plus(ModuleTime.span(settings.rules().releaseS()));
        r.lease.cutReaders().forEach(reader -> releases.tell(new ReleaseActor.Release(r.ask.id(), reader, until)));
        r.releaseWanted = false;
        r.lease.ended();
    }

    private void enter(OpenRequest r, Stage stage) {
        r.enter(stage, clock.instant(), metrics.stages());
    }

    private static String attemptOf(OpenRequest r) {
        return "attempt " + Math.max(0, r.attempts - 1) + (r.out ? " out at " : " ended at ") + r.at.id();
    }

    /** Removes a request that is over, but not while an attempt is in flight or a release is due. */
    private void forget(OpenRequest r) {
        if (r.phase == Phase.OVER) {
            byAnswer.remove(r.answer);
            if (!r.out && !r.releaseWanted) {
                requests.remove(r.key);
                ids.remove(r.ask.id());
            }
        }
    }
}

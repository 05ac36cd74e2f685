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
 * Alone owns the decision module, its timers and the requests that it knows. Turns what happens into the
 * module's events and its actions into messages; decides nothing that the module decides.
 */
public final class ModuleActor extends Actor<ModuleActor.Message> implements Intake {
    /** What this actor is told. */
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

    /** {@code acted} runs once the module has it; may be null. */
    public record Listed(ListKind kind, List<Api.Member> members, Map<String, PeerActor> peers, Runnable acted)
            implements Message {}

    /** A request has come. */
    public record Arrive(Ask ask, Answer answer) implements Message {}

    /** The client has gone away; an answer that is unknown or over is passed over. */
    public record Left(Answer answer) implements Message {}

    /** The first event of an attempt's stream; {@code drained} runs once the client has taken it. */
    public record FirstEvent(
            long request, int number, String server, byte[] raw, Duration after, Runnable drained, PeerActor at)
            implements Message {}

    /**
     * {@code up}: it had a connection, else nothing ran. {@code at}: when that connection's last word came or it was closed
     * here, however long this message has waited.
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

    /** The answer to {@link PeerActor.AskArrival}. */
    public record ArrivalShown(long request, int number, boolean shown) implements Message {}

    /** A health probe has ended. */
    public record ProbeDone(String server, Outcome outcome, Duration after, Report report) implements Message {}

    /** Runs {@code idle} as soon as no request is open. */
    public record Drain(Runnable idle) implements Message {}

    /** What still comes gets its final answer at once, as if its time were up; what is open goes on. */
    public record TakeNoMore() implements Message {}

    /** The stop may wait no longer: what is open, and what still comes, gets its final answer. */
    public record HandOver() implements Message {}

    /** The process ends: streams end too, so that their clients go on elsewhere. */
    public record Cut() implements Message {}

    /** Counts the servers for {@link Metrics}, and again each {@link #CENSUS}. */
    public record Census() implements Message {}

    /** Of what the conductor may send to cold servers, this part is for this process. */
    public record Beside(double part) implements Message {}

    private record Fired(String tag) implements Message {}

    private record StateDue(long request, int attempts) implements Message {}

    /** Looks for requests that are open beyond their deadline. */
    private record Sweep() implements Message {}

    /** Why a read state is released. */
    private enum ReleaseCause {
        /** The module has asked for it. */
        ASKED,
        /** No attempt has taken it in time. */
        UNTAKEN,
        /** An attempt is out, and no answer says that it has arrived. */
        UNANSWERED
    }

    private static final Logger LOG = Logger.getLogger(ModuleActor.class.getName());
    private static final Duration CENSUS = Duration.ofMillis(200); // figures may be half a second late
    // after its deadline a request is failed here, as the module has not answered it; and how often that is looked at
    private static final Duration OVERDUE = Duration.ofMillis(150);
    private static final Duration LOST = Duration.ofSeconds(1); // an outcome that has not come so long after its time
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);

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
    private boolean sweeping; // the next sweep is scheduled
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
        tellFirst(new Left(answer)); // behind a crowd's requests it would come after attempts that it forbids
    }

    /**
     * Never throws: one failed action must not lose the final answers behind it, nor what its caller does next. What a
     * request misses by it is made good by {@link #sweep}.
     */
    private void feed(Api.Event event) {
        try {
            for (Api.Action action : brain.on(ModuleTime.seconds(clock.instant()), event)) {
                tryAction(action);
            }
        } catch (RuntimeException | Error e) {
            LOG.log(Level.SEVERE, "the module failed on " + event, e);
        }
        // not before all actions are done: a release may follow the final answer of the same request
        closing.forEach(this::forget);
        closing.clear();
    }

    private void tryAction(Api.Action action) {
        try {
            act(action);
        } catch (RuntimeException | Error e) {
            LOG.log(Level.SEVERE, "an action failed: " + action, e);
        }
    }

    /** Guards against requests that would never get a final answer, as the module failed on them or lost count of them. */
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
        LOG.warning("no final answer by its deadline: " + r.ask.id());
        ruleBroken(r, Rule.LATE_ANSWER);
        over(r, Metrics.End.ERRORED);
        try {
            r.answer.fail(Answer.Failure.TOO_LATE);
        } catch (RuntimeException | Error e) {
            LOG.log(Level.SEVERE, "an answer failed: " + r.ask.id(), e);
        }
        feed(new Api.ClientLeft(r.key)); // the module calls off what is out, and lets go of what is held
        forget(r);
    }

    /** Guards against a server that counts as busy for good, and a stop that waits: its peer failed on the outcome. */
    private void outcomeLost(OpenRequest r, Instant now) {
        LOG.warning("no outcome of an attempt by its time: " + r.ask.id() + " at " + r.at.id());
        int number = r.attempts - 1;
        r.at.tell(new PeerActor.Stop(r.key, number));
        Duration after = Duration.between(r.until, now);
        ended(new Ended(r.key, number, r.at.id(), Outcome.TIMED_OUT, after, false, null, Double.NaN, true, now));
    }

    // ---- what happens --------------------------------------------------------------------------

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
            // two requests of one id can't be told apart at servers, where each would let go of the other's state
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

    /** As if its time were up: the module knows what may be refused, and what must be let go. */
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
            // nobody reads it: its connection is closed, which ends it at the server
            r.at.tell(new PeerActor.Stop(r.key, r.attempts - 1));
        }
        forget(r);
    }

    private void firstEvent(FirstEvent e) {
        OpenRequest r = requests.get(e.request());
        PeerActor peer = e.at();
        boolean current = r != null && r.out && r.attempts - 1 == e.number();
        if (!current || r.phase != Phase.OPEN) {
            // ended while the event was on its way: its stream is nobody's
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

    /** Has what is held for the request released when its lease is over, unless another attempt has begun by then. */
    private void watchLease(OpenRequest r) {
        if (r.lease.held()) {
            Duration left = Duration.between(clock.instant(), r.lease.releaseBy(r.out));
            if (left.isNegative()) {
                leaseOver(r); // the word that it follows on has waited: no time is left for a timer's way
            } else {
                lookLater(r, left);
            }
        }
    }

    /** The peer of an attempt that is out has a look itself first: another turn here might take all the time that is left. */
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
            lookLater(r, left); // kept, and looked at once more
        }
    }

    /**
     * Guards against a read that ended well just as its connection closed, of which the module was told otherwise; and once a
     * request is over, against an attempt that can't be called off and has not arrived.
     */
    private void leaseOver(OpenRequest r) {
        release(r, r.out ? ReleaseCause.UNANSWERED : ReleaseCause.UNTAKEN);
        feed(new Api.StateReleased(r.key));
    }

    // ---- what the module asks ------------------------------------------------------------------

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

    /** Also of a server that has left the list: one at which an attempt is out may be probed. */
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
                    "an attempt for " + (r == null ? "no request" : "no server: " + a.server()));
        }
        boolean reading = roles.get(a.server()) == Api.Role.READER;
        Optional<Rule> broken = r.rules.againstAttempt(!reading, clock.instant());
        if (broken.isPresent()) {
            ruleBroken(r, broken.get());
            throw new IllegalStateException("an attempt that the rules forbid: " + broken.get());
        }
        if (r.lease.tooLateToConnect(clock.instant())) {
            release(r, ReleaseCause.UNTAKEN); // the word of a read's end has waited
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
            closing.add(r); // first, as the answer may fail
            answer.accept(r);
        }
    }

    /** Where the rules forbid a refusal, a failure is the final answer: its client must not take a retry for harmless. */
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
        LOG.warning("rule " + rule + ": request " + r.ask.id() + " of class " + r.ask.requestClass() + ", attempts "
                + r.attempts);
    }

    /** The peer has the last word: a stream whose end is there by then, read or not, is passed on whole. */
    private void transfer(OpenRequest r) {
        if (r != null && r.phase == Phase.STREAMING) {
            r.at.tell(new PeerActor.Cut(r.key, r.attempts - 1));
        }
    }

    /** The one place where a request's end is counted. */
    private void over(OpenRequest r, Metrics.End end) {
        boolean streamed = r.phase == Phase.STREAMING;
        r.phase = Phase.OVER;
        r.rules.ended();
        r.until = streamed ? clock.instant() : r.until; // a stream's end is to come from now on
        metrics.ended(r.ask.requestClass(), end);
    }

    private void release(OpenRequest r, ReleaseCause cause) {
        note(Recorder.What.RELEASE, r, r.lease.lastReader(), cause.name(), null);
        metrics.causes().add(CauseCounts.Kind.STATE_RELEASED, cause);
        if (cause != ReleaseCause.ASKED && r.lease.held()) {
            Duration held = r.lease.heldFor(clock.instant());
            log.note(
                    r.ask.id(),
                    "its read state is released: " + cause + ", held for " + held.toMillis() + " ms, " + attemptOf(r));
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

    /** A request that is over is kept while an attempt of it is out. */
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

package copperbeam.routing;

import copperbeam.Api;
import copperbeam.Api.AttemptEnded;
import copperbeam.Api.ListKind;
import copperbeam.Api.Outcome;
import copperbeam.Api.Report;
import copperbeam.Brain;
import copperbeam.routing.OpenRequest.Phase;
import copperbeam.routing.RequestRules.Rule;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
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

    private static final Logger LOG = Logger.getLogger(ModuleActor.class.getName());
    private static final Duration CENSUS = Duration.ofMillis(200); // figures may be half a second late
    private static final double LET_GO_SHARE = 0.5; // of the time in which what is held must be taken or let go
    private static final double LEAST_CONNECT_S = 0.1; // with the time that the protocol gives beyond release_s
    private static final double CONNECT_SHARE = 0.6; // the same, until a connection for an attempt must be up
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
        OpenRequest r = new OpenRequest(++keys, e.ask(), e.answer(), rules(e.ask()));
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
        r.rules.ended();
        r.mayHold = false;
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
        r.rules.outcome(e.outcome(), e.up());
        metrics.causes().add(CauseCounts.Kind.ATTEMPT_ENDED, e.outcome());
        boolean mayEndWell = e.up()
                && r.reading
                && (e.outcome() == Outcome.CANCELLED
                        || e.outcome() == Outcome.TIMED_OUT
                        || e.outcome() == Outcome.RESET
                        || e.outcome() == Outcome.STALE
                        || e.outcome() == Outcome.ERROR);
        if (mayEndWell) {
            r.cutReaders.add(e.server());
        }
        boolean reached = e.up() && e.outcome() != Outcome.CONNECT_FAILED && e.outcome() != Outcome.NOT_SENT;
        r.lastEnd = reached || r.lastEnd == null ? e.at() : r.lastEnd;
        r.mayHold |= e.outcome() == Outcome.READ || !r.cutReaders.isEmpty();
        r.releaseWanted |= e.outcome() == Outcome.OK && !r.cutReaders.isEmpty();
        note(Recorder.What.ENDED, r, e.server(), e.outcome().name(), e.after());
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
            release(r);
        }
        if (r.mayHold && !r.out && r.phase == Phase.OPEN) {
            Duration left = Duration.between(clock.instant(), due(r, LET_GO_SHARE));
            if (left.isNegative()) {
                release(r); // this word has waited: no time is left for a timer's way
            } else {
                tellFirstLater(left, new StateDue(r.key, r.attempts));
            }
        }
        forget(r);
    }

    /**
     * When the connection of the next attempt must be up, as what is held waits for it. Guards against a cut read that ends well
     * behind its release, while a server that is silent lets a connection hang.
     */
    private Instant upBy(OpenRequest r) {
        if (r.mayHold) {
            return due(r, CONNECT_SHARE);
        }
        Duration within =
                ModuleTime.span(Math.max(LEAST_CONNECT_S, settings.rules().releaseS() * CONNECT_SHARE));
        return r.cutReaders.isEmpty() ? Instant.MAX : clock.instant().plus(within);
    }

    /** {@code share}: of the time in which what is held must be taken or let go. */
    private Instant due(OpenRequest r, double share) {
        return r.lastEnd.plus(ModuleTime.span(settings.rules().releaseS() * share));
    }

    /**
     * Guards against a read that ended well just as its connection closed: its state is held though the module
     * was told otherwise, and while no attempt is out it counts as pinned.
     */
    private void stateDue(StateDue e) {
        OpenRequest r = requests.get(e.request());
        if (r != null && r.phase == Phase.OPEN && !r.out && r.attempts == e.attempts() && r.mayHold) {
            release(r);
        }
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
                r.at.tell(new PeerActor.Stop(a.request(), a.attempt()));
            }
        } else if (action instanceof Api.Transfer a) {
            transfer(requests.get(a.request()));
        } else if (action instanceof Api.Release a) {
            OpenRequest r = requests.get(a.request());
            if (r != null) {
                r.releaseWanted = true;
                if (!r.out) {
                    release(r);
                }
            }
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
        // no connection could come up by then: the word of a read's end has waited
        if (r.mayHold && !clock.instant().isBefore(due(r, r.cutReaders.isEmpty() ? CONNECT_SHARE : LET_GO_SHARE))) {
            release(r);
        }
        if (!r.cutReaders.isEmpty()) {
            releases.tell(new ReleaseActor.Taken(r.ask.id()));
        }
        r.out = true;
        r.until = ModuleTime.time(a.until());
        r.at = peer;
        r.releaseWanted = false;
        r.reading = reading;
        r.rules.begun(!reading, clock.instant());
        if (r.reading) {
            r.lastReader = a.server();
        }
        boolean once = !r.reading
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
                upBy(r),
                once,
                r.reading,
                () -> r.phase == Phase.OVER));
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

    private void release(OpenRequest r) {
        note(Recorder.What.RELEASE, r, r.lastReader, null, null);
        if (r.cutReaders.isEmpty()) {
            releases.tell(new ReleaseActor.Release(r.ask.id(), r.lastReader, null));
        }
        Instant last = clock.instant().isAfter(r.ask.deadline()) ? clock.instant() : r.ask.deadline();
        Instant until = last.plus(ModuleTime.span(settings.rules().releaseS()));
        r.cutReaders.forEach(reader -> releases.tell(new ReleaseActor.Release(r.ask.id(), reader, until)));
        r.releaseWanted = false;
        r.mayHold = false;
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

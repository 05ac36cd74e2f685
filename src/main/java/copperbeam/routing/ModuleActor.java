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
import java.util.logging.Logger;

/**
 * Sole owner of the decision module, its timers and the open requests. Translates incoming messages into events of the
 * module, and the module's actions into messages to other actors. All routing decisions are left to the module.
 */
public final class ModuleActor extends Actor<ModuleActor.Message> implements Intake {
    /** Messages of this actor. */
    public sealed interface Message
            permits ServersListed,
                    RequestArrived,
                    ClientGone,
                    FirstEvent,
                    AttemptFinished,
                    ProbeDone,
                    AnswerProgress,
                    ModuleTimerFired,
                    LeaseCheck,
                    Drain,
                    StopAccepting,
                    ExpireOpenRequests,
                    TransferStreams,
                    CountServers,
                    SweepOverdue,
                    ColdWorkShare {}

    /** The server list or a change of it; {@code onApplied} runs once the module has processed it and may be null. */
    public record ServersListed(
            ListKind kind, List<Api.Member> members, Map<String, PeerActor> peers, Runnable onApplied)
            implements Message {}

    /** A client's request has arrived. */
    public record RequestArrived(RequestSpec spec, ResponseSink response) implements Message {}

    /** The client has gone away; ignored where its request is unknown or has ended. */
    public record ClientGone(ResponseSink response) implements Message {}

    /** The first event of an attempt's stream; {@code onDrained} runs once the client's connection has taken it. */
    public record FirstEvent(
            long request,
            int attempt,
            String server,
            byte[] eventBytes,
            Duration latency,
            Runnable onDrained,
            PeerActor peer)
            implements Message {}

    /**
     * An attempt has ended. {@code connected}: it had a connection; without one, nothing ran. {@code endedAt}: when the last
     * message came on that connection or it was closed here, regardless of how long this message waited in the mailbox.
     */
    public record AttemptFinished(
            long request,
            int attempt,
            String server,
            Outcome outcome,
            Duration elapsed,
            boolean stateMissing,
            Report report,
            double cachedTokens,
            boolean connected,
            Instant endedAt)
            implements Message {}

    /** A health probe has ended. */
    public record ProbeDone(String server, Outcome outcome, Duration elapsed, Report report) implements Message {}

    /** Bytes of the answer to an attempt have come from the server, and the answer isn't complete yet. */
    public record AnswerProgress(String server) implements Message {}

    /** Runs {@code onIdle} as soon as no request is open. */
    public record Drain(Runnable onIdle) implements Message {}

    /** New requests get their final answer at once, as if their deadline had passed; open requests continue. */
    public record StopAccepting() implements Message {}

    /** The shutdown may wait no longer: open requests without a stream, and new requests, get their final answer now. */
    public record ExpireOpenRequests() implements Message {}

    /** The process is about to exit: ends the running streams too, so that their clients resume them elsewhere. */
    public record TransferStreams() implements Message {}

    /** Updates the server counts in {@link Metrics}, and does so again every {@link #SERVER_COUNT_INTERVAL}. */
    public record CountServers() implements Message {}

    /** This process's share (0 to 1) of the work that the conductor may send to cold servers. */
    public record ColdWorkShare(double share) implements Message {}

    private record ModuleTimerFired(String tag) implements Message {}

    private record LeaseCheck(long request, int attempts) implements Message {}

    /** Looks for requests without a final answer after their deadline, and for attempts whose outcome never came. */
    private record SweepOverdue() implements Message {}

    /** Reason for releasing a read state. */
    private enum ReleaseCause {
        /** The module has asked for the release. */
        ASKED,
        /** No attempt has used the state before its lease ran out. */
        UNTAKEN,
        /** An attempt is in flight without an answer, so that it may not have arrived at its server. */
        UNANSWERED
    }

    private static final Logger LOG = Logger.getLogger(ModuleActor.class.getName());
    private static final Duration SERVER_COUNT_INTERVAL =
            Duration.ofMillis(200); // between counts; metrics are allowed to lag by 0.5 s
    // time after a request's deadline at which this actor fails the request, if the module has not given a final answer
    private static final Duration MISSING_ANSWER_GRACE = Duration.ofMillis(150);
    // time after an attempt's deadline at which its outcome counts as lost
    private static final Duration MISSING_OUTCOME_GRACE = Duration.ofSeconds(1);
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100); // between checks for both

    private final Clock clock;
    private final Brain module;
    private final Api.Settings settings;
    private final ReleaseActor releases;
    private final Recorder recorder;
    private final Metrics metrics;
    private final RequestLog requestLog;
    private final Map<Long, OpenRequest> requests = new HashMap<>();
    private final Map<ResponseSink, OpenRequest> requestByResponse = new IdentityHashMap<>();
    private final Set<String> requestIds = new HashSet<>();
    private final AbandonedRequests abandonedRequests = new AbandonedRequests();
    private final Map<String, Api.Role> roles = new HashMap<>();
    private final List<OpenRequest> toRemove = new ArrayList<>();
    private Map<String, PeerActor> peers = Map.of();
    private long lastKey;
    private boolean acceptingStopped;
    private boolean sweepScheduled;
    private Runnable onIdle;

    public ModuleActor(
            ScheduledExecutorService scheduler,
            Clock clock,
            Api.Settings settings,
            long seed,
            ReleaseActor releases,
            Recorder recorder,
            Metrics metrics) {
        super(scheduler);
        this.metrics = metrics;
        this.recorder = recorder;
        this.clock = clock;
        this.settings = settings;
        this.releases = releases;
        requestLog = new RequestLog(clock);
        module = new Brain(settings, seed);
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof ServersListed received) {
            onServersListed(received);
        } else if (message instanceof RequestArrived received) {
            onRequestArrived(received);
        } else if (message instanceof ClientGone received) {
            onClientGone(received);
        } else if (message instanceof FirstEvent received) {
            onFirstEvent(received);
        } else if (message instanceof AttemptFinished received) {
            onAttemptFinished(received);
        } else if (message instanceof ProbeDone received) {
            recorder.note(
                    Recorder.EventType.PROBED,
                    0,
                    0,
                    received.server(),
                    received.outcome().name(),
                    received.elapsed());
            notifyModule(new Api.ProbeEnded(
                    received.server(), received.outcome(), ModuleTime.seconds(received.elapsed()), received.report()));
        } else if (message instanceof AnswerProgress received) {
            notifyModule(new Api.AnswerProgress(received.server()));
        } else if (message instanceof ModuleTimerFired received) {
            notifyModule(new Api.TimerFired(received.tag()));
        } else if (message instanceof LeaseCheck received) {
            onLeaseCheck(received);
        } else if (message instanceof Drain received) {
            onIdle = received.onIdle();
        } else if (message instanceof StopAccepting) {
            acceptingStopped = true;
        } else if (message instanceof ExpireOpenRequests) {
            acceptingStopped = true;
            List.copyOf(requests.values()).forEach(this::expireNow);
        } else if (message instanceof TransferStreams) {
            List.copyOf(requests.values()).forEach(this::transfer);
        } else if (message instanceof ColdWorkShare received) {
            notifyModule(new Api.TrafficShare(received.share()));
        } else if (message instanceof CountServers) {
            metrics.cluster(new Metrics.Cluster(peers.size(), module.avoidedServerCount()));
            tellLater(SERVER_COUNT_INTERVAL, message);
        } else if (message instanceof SweepOverdue) {
            sweep();
        }
        if (onIdle != null && requests.isEmpty()) {
            onIdle.run();
            onIdle = null;
        }
    }

    @Override
    public void submit(RequestSpec spec, ResponseSink response) {
        tell(new RequestArrived(spec, response));
    }

    @Override
    public void clientGone(ResponseSink response) {
        tellUrgent(new ClientGone(
                response)); // queued behind many new requests, it would come after attempts that it should prevent
    }

    /**
     * Passes an event to the module and carries out the resulting actions. Never throws: one failed action must not prevent
     * the final answers after it, nor what the caller does next. {@link #sweep} ends requests that miss an action this way.
     */
    private void notifyModule(Api.Event event) {
        try {
            for (Api.Action action : module.onEvent(ModuleTime.seconds(clock.instant()), event)) {
                tryAction(action);
            }
        } catch (RuntimeException | Error e) {
            FailureLog.severe(LOG, () -> "the decision module failed on " + event, e);
        }
        // only after all actions: a release may follow the final answer of the same request
        toRemove.forEach(this::removeIfOver);
        toRemove.clear();
    }

    private void tryAction(Api.Action action) {
        try {
            execute(action);
        } catch (RuntimeException | Error e) {
            FailureLog.severe(LOG, () -> "an action of the decision module failed: " + action, e);
        }
    }

    /** Guards against requests that would never get a final answer because the module failed on them or lost track of them. */
    private void sweep() {
        try {
            endOverdue();
        } finally { // whatever fails, requests must be looked at again
            sweepScheduled = false;
            scheduleSweep();
        }
    }

    private void endOverdue() {
        Instant now = clock.instant();
        for (OpenRequest request : List.copyOf(requests.values())) {
            if (request.phase == Phase.OPEN
                    && request.spec.deadline().plus(MISSING_ANSWER_GRACE).isBefore(now)) {
                failOverdueRequest(request);
            }
            if (request.phase != Phase.STREAMING
                    && request.attemptInFlight
                    && request.attemptDeadline.plus(MISSING_OUTCOME_GRACE).isBefore(now)) {
                endLostAttempt(request, now);
            }
        }
    }

    private void scheduleSweep() {
        if (!sweepScheduled && !requests.isEmpty()) {
            sweepScheduled = true;
            tellUrgentLater(SWEEP_INTERVAL, new SweepOverdue());
        }
    }

    private void failOverdueRequest(OpenRequest request) {
        LOG.warning("the module gave no final answer by the deadline: request " + request.spec.id());
        reportBrokenRule(request, Rule.LATE_ANSWER);
        markOver(request, Metrics.End.ERRORED);
        try {
            request.response.fail(ResponseSink.Failure.TOO_LATE);
        } catch (RuntimeException | Error e) {
            FailureLog.severe(LOG, () -> "sending the final answer failed: request " + request.spec.id(), e);
        }
        notifyModule(new Api.ClientLeft(
                request.key)); // makes the module cancel the attempt in flight and release held state
        removeIfOver(request);
    }

    /**
     * Ends an attempt whose outcome never came because its peer failed. Otherwise the server would count as busy forever, and a
     * shutdown would wait for the attempt.
     */
    private void endLostAttempt(OpenRequest request, Instant now) {
        LOG.warning(
                "no outcome of an attempt by its deadline: request " + request.spec.id() + " at " + request.peer.id());
        int attempt = request.attempts - 1;
        request.peer.tell(new PeerActor.CancelAttempt(request.key, attempt));
        Duration elapsed = Duration.between(request.attemptDeadline, now);
        onAttemptFinished(new AttemptFinished(
                request.key,
                attempt,
                request.peer.id(),
                Outcome.TIMED_OUT,
                elapsed,
                false,
                null,
                Double.NaN,
                true,
                now));
    }

    // ---- incoming messages ---------------------------------------------------------------------

    private void onServersListed(ServersListed message) {
        peers = message.peers();
        for (Api.Member member : message.members()) {
            if (recorder != Recorder.NONE) {
                recorder.note(
                        Recorder.EventType.LISTED,
                        0,
                        0,
                        member.server(),
                        member.state() + " " + member.launchedAt(),
                        null);
            }
            settings.kinds().stream()
                    .filter(k -> k.name().equals(member.kind()))
                    .findFirst()
                    .ifPresent(k -> roles.put(member.server(), k.role()));
        }
        roles.keySet().retainAll(peers.keySet());
        notifyModule(new Api.ServerListUpdate(message.kind(), message.members()));
        if (message.onApplied() != null) {
            message.onApplied().run();
        }
    }

    private RequestRules newRules(RequestSpec spec) {
        Api.RequestClass requestClass = settings.classes().stream()
                .filter(c -> c.name().equals(spec.requestClass()))
                .findFirst()
                .orElse(null);
        return new RequestRules(requestClass, settings.limits().maxAttempts(), spec.deadline(), spec.resumed());
    }

    private void onRequestArrived(RequestArrived message) {
        metrics.requestAccepted();
        if (message.response().gone()) {
            metrics.requestEnded(message.spec().requestClass(), Metrics.End.LEFT);
            return;
        }
        String id = message.spec().id();
        if (abandonedRequests.forbids(id, clock.instant()) || !requestIds.add(id)) {
            // servers can't tell two requests with one id apart: each would release the other's read state, or run
            // again
            message.response().fail(ResponseSink.Failure.ID_IN_USE);
            metrics.requestEnded(message.spec().requestClass(), Metrics.End.ERRORED);
            return;
        }
        OpenRequest request = new OpenRequest(
                ++lastKey,
                message.spec(),
                message.response(),
                newRules(message.spec()),
                new StateLease(settings.rules().stateLeaseS()),
                clock.instant());
        requests.put(request.key, request);
        requestByResponse.put(request.response, request);
        scheduleSweep();
        RequestSpec spec = request.spec;
        if (recorder != Recorder.NONE) {
            note(
                    Recorder.EventType.ARRIVED,
                    request,
                    null,
                    spec.id() + " " + spec.requestClass() + " " + spec.session() + " " + (long) spec.promptTokens()
                            + (spec.resumed() ? " rest" : ""),
                    Duration.between(clock.instant(), spec.deadline()));
        }
        notifyModule(new Api.Arrival(
                request.key,
                spec.requestClass(),
                spec.customer(),
                spec.session(),
                spec.prefix(),
                spec.crediblePromptTokens(),
                spec.crediblePrefixTokens(),
                spec.maxAnswerTokens(),
                ModuleTime.seconds(acceptingStopped ? clock.instant() : spec.deadline()),
                spec.resumed()));
    }

    /**
     * Ends an open request as if its deadline had passed: the module knows whether it may be refused and what must be released.
     */
    private void expireNow(OpenRequest request) {
        if (request.phase == Phase.OPEN) {
            notifyModule(new Api.TimerFired("d" + request.key + ".0"));
        }
    }

    private void onClientGone(ClientGone message) {
        OpenRequest request = requestByResponse.get(message.response());
        if (request == null || request.phase == Phase.OVER) {
            return;
        }
        boolean streaming = request.phase == Phase.STREAMING;
        note(Recorder.EventType.LEFT, request, null, request.phase.name(), null);
        requestLog.note(
                request.spec.id(),
                "its client has left: " + request.phase + ", " + request.stage() + describeAny(request));
        request.clientLeft = true;
        markOver(request, Metrics.End.LEFT);
        notifyModule(new Api.ClientLeft(request.key));
        if (streaming && request.attemptInFlight) {
            // nobody reads the stream any more: closing its connection also ends it at the server
            request.peer.tell(new PeerActor.CancelAttempt(request.key, request.attempts - 1));
        }
        removeIfOver(request);
    }

    private void onFirstEvent(FirstEvent message) {
        OpenRequest request = requests.get(message.request());
        PeerActor peer = message.peer();
        boolean isCurrent = request != null && request.attemptInFlight && request.attempts - 1 == message.attempt();
        if (!isCurrent || request.phase != Phase.OPEN) {
            // the attempt or the request ended while this message was queued: nobody wants the stream
            peer.tell(new PeerActor.CancelAttempt(message.request(), message.attempt()));
            return;
        }
        note(Recorder.EventType.FIRST, request, message.server(), null, message.latency());
        request.phase = Phase.STREAMING;
        request.spec.releasePayload(); // a stream that has begun is never retried
        enterStage(request, Stage.WRITING);
        request.rules.requestEnded();
        request.lease.stateTaken();
        request.response.begin();
        boolean passed = request.response.event(message.eventBytes(), message.onDrained());
        notifyModule(new Api.StreamStarted(
                request.key, message.attempt(), message.server(), ModuleTime.seconds(message.latency())));
        peer.tell(
                passed
                        ? new PeerActor.Proceed(request.key, message.attempt())
                        : new PeerActor.CancelAttempt(request.key, message.attempt()));
    }

    private void onAttemptFinished(AttemptFinished message) {
        OpenRequest request = requests.get(message.request());
        if (request == null || !request.attemptInFlight || request.attempts - 1 != message.attempt()) {
            return;
        }
        request.attemptInFlight = false;
        request.lastOutcome = message.outcome();
        request.rules.attemptEnded(message.outcome(), message.connected());
        metrics.causes().add(CauseCounts.Kind.ATTEMPT_ENDED, message.outcome());
        boolean stateKept = request.lease.attemptEnded(
                message.outcome(), message.server(), message.connected(), message.stateMissing(), message.endedAt());
        if (stateKept) {
            metrics.causes().add(CauseCounts.Kind.STATE_KEPT, message.outcome());
            requestLog.note(
                    request.spec.id(),
                    "read state may have outlasted its release: " + message.outcome() + ", "
                            + describeAttempt(request));
        }
        if (request.phase == Phase.OPEN) {
            enterStage(request, request.lease.isHeld() ? Stage.WAITS_FOR_WRITER : Stage.WAITS_FOR_READER);
        }
        request.releaseWanted |= message.outcome() == Outcome.OK
                && !request.lease.interruptedServers().isEmpty();
        note(
                Recorder.EventType.ENDED,
                request,
                message.server(),
                message.outcome().name(),
                message.elapsed());
        if (!message.outcome().answered() && request.phase != Phase.OVER) {
            requestLog.note(
                    request.spec.id(),
                    "no answer: " + message.outcome() + " after "
                            + message.elapsed().toMillis() + " ms, " + describeAttempt(request));
        }
        if (request.phase == Phase.STREAMING) {
            markOver(request, message.outcome() == Outcome.OK ? Metrics.End.ANSWERED : Metrics.End.ERRORED);
            if (message.outcome() == Outcome.OK) {
                note(Recorder.EventType.SERVED, request, null, null, null);
                request.response.end();
            } else {
                note(
                        Recorder.EventType.BROKEN,
                        request,
                        null,
                        message.outcome() == Outcome.CANCELLED ? "cut here" : null,
                        null);
                requestLog.note(
                        request.spec.id(), "its stream broke: " + message.outcome() + ", " + describeAttempt(request));
                request.response.broken();
            }
        }
        boolean requestOver = request.phase == Phase.OVER;
        notifyModule(new AttemptEnded(
                request.key,
                message.attempt(),
                message.server(),
                message.outcome(),
                ModuleTime.seconds(message.elapsed()),
                requestOver,
                message.stateMissing(),
                message.report(),
                message.cachedTokens()));
        if (request.releaseWanted && !request.attemptInFlight) {
            release(request, ReleaseCause.ASKED);
        }
        if (!request.attemptInFlight && request.phase == Phase.OPEN) {
            checkLease(request);
        }
        removeIfOver(request);
    }

    /** Releases the held state if its lease has run out; else does so when it runs out, unless another attempt has begun. */
    private void checkLease(OpenRequest request) {
        if (!request.lease.isHeld()) {
            return;
        }
        Duration remaining = Duration.between(clock.instant(), request.lease.releaseBy(request.attemptInFlight));
        if (remaining.compareTo(Duration.ZERO) > 0) {
            tellUrgentLater(remaining, new LeaseCheck(request.key, request.attempts));
        } else {
            releaseExpired(request);
        }
    }

    private void onLeaseCheck(LeaseCheck message) {
        OpenRequest request = requests.get(message.request());
        if (request != null && request.phase != Phase.STREAMING && request.attempts == message.attempts()) {
            checkLease(request);
        }
    }

    /**
     * Releases the held state because its lease has run out. An attempt in flight doesn't prevent that: whether it has arrived
     * is unknown until its own answer, whatever the server answers to other calls. Also covers a read that succeeded just as
     * its connection closed, which was reported as failed.
     */
    private void releaseExpired(OpenRequest request) {
        release(request, request.attemptInFlight ? ReleaseCause.UNANSWERED : ReleaseCause.UNTAKEN);
        notifyModule(new Api.StateReleased(request.key));
    }

    // ---- actions of the module -----------------------------------------------------------------

    private void execute(Api.Action action) {
        if (action instanceof Api.Attempt command) {
            startAttempt(command);
        } else if (action instanceof Api.Refuse command) {
            giveFinalAnswer(
                    command.request(),
                    Recorder.EventType.REFUSED,
                    command.reason(),
                    request -> refuse(request, ModuleTime.duration(command.retryAfterS())));
        } else if (action instanceof Api.Fail command) {
            giveFinalAnswer(
                    command.request(),
                    Recorder.EventType.FAILED,
                    command.reason(),
                    request -> request.response.fail(
                            clock.instant().plusMillis(100).isAfter(request.spec.deadline())
                                    ? ResponseSink.Failure.TOO_LATE
                                    : ResponseSink.Failure.SERVERS_FAILED));
        } else if (action instanceof Api.Cancel command) {
            OpenRequest request = requests.get(command.request());
            if (request != null && request.attemptInFlight && request.attempts - 1 == command.attempt()) {
                note(Recorder.EventType.CANCEL, request, null, command.reason().name(), null);
                metrics.causes().add(CauseCounts.Kind.CANCELLED, command.reason());
                if (command.reason() != Api.Reason.OVER) {
                    requestLog.note(
                            request.spec.id(), "cancelled: " + command.reason() + ", " + describeAttempt(request));
                }
                request.peer.tell(new PeerActor.CancelAttempt(command.request(), command.attempt()));
            }
        } else if (action instanceof Api.Transfer command) {
            transfer(requests.get(command.request()));
        } else if (action instanceof Api.Release command) {
            OpenRequest request = requests.get(command.request());
            if (request != null) {
                request.releaseWanted = true;
                if (!request.attemptInFlight) {
                    release(request, ReleaseCause.ASKED);
                }
            }
        } else if (action instanceof Api.Probe command) {
            peerOf(command.server()).tell(new PeerActor.Probe());
        } else if (action instanceof Api.Timer command) {
            tellLater(ModuleTime.duration(command.delayS()), new ModuleTimerFired(command.tag()));
        } else if (action instanceof Api.Remark command) {
            recorder.note(Recorder.EventType.REMARK, 0, 0, null, command.text(), null);
            LOG.info(command.text());
        }
    }

    /** Also finds the peer of a server that has left the list: the module may probe it while an attempt there is in flight. */
    private PeerActor peerOf(String server) {
        PeerActor listedPeer = peers.get(server);
        return listedPeer != null
                ? listedPeer
                : requests.values().stream()
                        .filter(r -> r.attemptInFlight && r.peer.id().equals(server))
                        .map(r -> r.peer)
                        .findFirst()
                        .orElseThrow();
    }

    private void startAttempt(Api.Attempt attempt) {
        OpenRequest request = requests.get(attempt.request());
        PeerActor peer = peers.get(attempt.server());
        if (request == null || peer == null) {
            recorder.note(
                    Recorder.EventType.RULE,
                    attempt.request(),
                    0,
                    attempt.server(),
                    "an attempt that can't be made",
                    null);
            throw new IllegalStateException("attempt for "
                    + (request == null ? "an unknown request" : "an unknown server: " + attempt.server()));
        }
        boolean atReader = roles.get(attempt.server()) == Api.Role.READER;
        Optional<Rule> brokenRule = request.rules.checkAttempt(!atReader, clock.instant());
        if (brokenRule.isPresent()) {
            reportBrokenRule(request, brokenRule.get());
            throw new IllegalStateException("attempt forbidden by rule " + brokenRule.get());
        }
        if (request.lease.isTooLateToConnect(clock.instant())) {
            release(request, ReleaseCause.UNTAKEN); // the end of the read was reported late
        }
        if (!request.lease.interruptedServers().isEmpty()) {
            releases.tell(new ReleaseActor.AttemptStarted(request.spec.id()));
        }
        if (request.lastOutcome != null && request.lastOutcome != Outcome.READ) {
            metrics.causes().add(CauseCounts.Kind.RETRIED, request.lastOutcome);
            requestLog.note(
                    request.spec.id(),
                    "attempt " + request.attempts + " begins at " + attempt.server() + " after " + request.lastOutcome);
        }
        request.attemptInFlight = true;
        request.attemptDeadline = ModuleTime.instant(attempt.timeoutAt());
        request.peer = peer;
        request.releaseWanted = false;
        Instant connectBy = request.lease.connectBy(clock.instant());
        request.lease.attemptBegan(attempt.server(), atReader, clock.instant());
        enterStage(request, atReader ? Stage.READING : Stage.WRITING);
        request.rules.attemptBegan(!atReader, clock.instant());
        boolean atMostOnce = !atReader
                && settings.classes().stream()
                        .anyMatch(c -> c.name().equals(request.spec.requestClass()) && c.repeats() != Api.Repeats.SAFE);
        recorder.note(
                Recorder.EventType.ATTEMPT,
                request.key,
                request.attempts,
                attempt.server(),
                attempt.reason().name(),
                Duration.between(clock.instant(), ModuleTime.instant(attempt.timeoutAt())));
        peer.tell(new PeerActor.Send(
                request.key,
                request.attempts++,
                request.spec,
                request.response,
                request.attemptDeadline,
                Double.isInfinite(attempt.latestSendAt()) ? Instant.MAX : ModuleTime.instant(attempt.latestSendAt()),
                connectBy,
                atMostOnce,
                atReader,
                () -> request.phase == Phase.OVER));
        checkLease(request);
    }

    private void note(Recorder.EventType event, OpenRequest request, String server, String text, Duration duration) {
        recorder.note(event, request.key, Math.max(0, request.attempts - 1), server, text, duration);
    }

    private void giveFinalAnswer(
            long key,
            Recorder.EventType event,
            Api.Reason reason,
            java.util.function.Consumer<OpenRequest> sendAnswer) {
        OpenRequest request = requests.get(key);
        if (request != null && request.phase == Phase.OPEN) {
            note(event, request, null, reason.name(), null);
            metrics.causes()
                    .add(
                            event == Recorder.EventType.REFUSED ? CauseCounts.Kind.REFUSED : CauseCounts.Kind.FAILED,
                            reason);
            if (request.attempts > 0) {
                requestLog.note(
                        request.spec.id(),
                        event.name().toLowerCase(Locale.ROOT) + ": " + reason + ", " + describeAttempt(request));
            }
            metrics.stages().addEnd(request.spec.requestClass(), request.stage(), reason);
            enterStage(request, request.stage());
            request.rules.checkFinalAnswer(clock.instant()).ifPresent(rule -> reportBrokenRule(request, rule));
            markOver(request, event == Recorder.EventType.REFUSED ? Metrics.End.DEFERRED : Metrics.End.ERRORED);
            toRemove.add(request); // before the answer, which may throw
            sendAnswer.accept(request);
        }
    }

    /** Fails the request where the rules forbid a refusal, which would tell the client that a retry is harmless. */
    private void refuse(OpenRequest request, Duration retryAfter) {
        Optional<Rule> brokenRule = request.rules.checkRefusal();
        if (brokenRule.isPresent()) {
            reportBrokenRule(request, brokenRule.get());
            request.response.fail(ResponseSink.Failure.SERVERS_FAILED);
        } else {
            request.response.refuse(retryAfter, request.attempts > 0);
        }
    }

    private void reportBrokenRule(OpenRequest request, Rule rule) {
        metrics.causes().add(CauseCounts.Kind.RULE_BROKEN, rule);
        note(Recorder.EventType.RULE, request, null, rule.name(), null);
        LOG.warning("rule broken: " + rule + ", request " + request.spec.id() + " of class "
                + request.spec.requestClass() + ", attempts " + request.attempts);
    }

    /**
     * Ends a stream so that its client resumes elsewhere. A stream whose end has already come in from the server is passed on
     * whole instead.
     */
    private void transfer(OpenRequest request) {
        if (request != null && request.phase == Phase.STREAMING) {
            request.peer.tell(new PeerActor.CancelAfterPendingInput(request.key, request.attempts - 1));
        }
    }

    /** Marks a request as over; the only place where its end is counted. */
    private void markOver(OpenRequest request, Metrics.End end) {
        boolean wasStreaming = request.phase == Phase.STREAMING;
        request.phase = Phase.OVER;
        request.spec.releasePayload();
        request.rules.requestEnded();
        request.attemptDeadline =
                wasStreaming ? clock.instant() : request.attemptDeadline; // the outcome of a stream is due from now on
        metrics.requestEnded(request.spec.requestClass(), end);
    }

    private void release(OpenRequest request, ReleaseCause cause) {
        note(Recorder.EventType.RELEASE, request, request.lease.lastReader(), cause.name(), null);
        metrics.causes().add(CauseCounts.Kind.STATE_RELEASED, cause);
        if (cause != ReleaseCause.ASKED && request.lease.isHeld()) {
            Duration heldFor = request.lease.heldFor(clock.instant());
            requestLog.note(
                    request.spec.id(),
                    "read state released: " + cause + ", held for " + heldFor.toMillis() + " ms, "
                            + describeAttempt(request));
        }
        String preferredServer = request.lease.lastReader();
        if (request.lease.interruptedServers().isEmpty()) {
            releases.tell(new ReleaseActor.Release(request.spec.id(), preferredServer, null));
        }
        Instant latestAttemptEnd =
                clock.instant().isAfter(request.spec.deadline()) ? clock.instant() : request.spec.deadline();
        Instant readMayEndUntil =
                latestAttemptEnd.plus(ModuleTime.duration(settings.rules().stateLeaseS()));
        request.lease
                .interruptedServers()
                .forEach(server -> releases.tell(new ReleaseActor.Release(request.spec.id(), server, readMayEndUntil)));
        request.releaseWanted = false;
        request.lease.stateReleased();
    }

    private void enterStage(OpenRequest request, Stage stage) {
        request.enterStage(stage, clock.instant(), metrics.stages());
    }

    /** As {@link #describeAttempt}, after a comma; empty before the first attempt. */
    private static String describeAny(OpenRequest request) {
        return request.attempts == 0 ? "" : ", " + describeAttempt(request);
    }

    private static String describeAttempt(OpenRequest request) {
        return "attempt " + Math.max(0, request.attempts - 1) + (request.attemptInFlight ? " out at " : " ended at ")
                + request.peer.id();
    }

    private void rememberIfAbandoned(OpenRequest request) {
        Instant repeatableUntil = request.rules.repeatableUntil();
        if (request.clientLeft && repeatableUntil.isBefore(Instant.MAX)) {
            abandonedRequests.add(request.spec.id(), repeatableUntil, clock.instant());
        }
    }

    /** Removes a request that is over, but not while an attempt is in flight or a release is due. */
    private void removeIfOver(OpenRequest request) {
        if (request.phase == Phase.OVER) {
            requestByResponse.remove(request.response);
            if (!request.attemptInFlight && !request.releaseWanted) {
                requests.remove(request.key);
                requestIds.remove(request.spec.id());
                rememberIfAbandoned(request);
            }
        }
    }
}

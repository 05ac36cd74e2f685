package copperbeam.routing;

import copperbeam.Api.Outcome;
import copperbeam.Api.Report;
import copperbeam.routing.Connector.AnswerKind;
import copperbeam.routing.Connector.Connection;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;

/**
 * Owns the connections to one server at one address, and the attempts, probes and releases in flight on them. Reports
 * every outcome to the {@link ModuleActor}, or to the {@link ReleaseActor} for releases.
 */
public final class PeerActor extends Actor<PeerActor.Message> {
    /** The messages this actor handles. */
    public sealed interface Message
            permits Listed,
                    Removed,
                    IdleLimit,
                    Send,
                    CancelAttempt,
                    CancelAfterPendingInput,
                    Proceed,
                    Probe,
                    Release,
                    Connected,
                    ConnectFailed,
                    ConnectOverdue,
                    ConnectionClosed,
                    AnswerClassified,
                    StreamEvent,
                    CallCompleted,
                    CallBroken,
                    AnswerCheck,
                    CloseCheck,
                    IdleCheck,
                    SendLastByte {}

    /** The server is in the list. While it is {@code draining}, no attempt is started and no connection is kept idle. */
    public record Listed(boolean draining) implements Message {}

    /** The server has left the list: treated as draining, and its idle connections are closed. */
    public record Removed() implements Message {}

    /** Sets how many connections to this server may be kept idle. */
    public record IdleLimit(int maxConnections) implements Message {}

    /**
     * Sends an attempt to the server.
     *
     * @param expiresAt the attempt times out at this time; its last byte never leaves later
     * @param sendBy the last byte of this attempt, or of any other attempt of the request, may not leave after this time
     * @param connectBy a new connection must be up by this time, because a held read state waits for the attempt
     * @param atMostOnce the request must not run twice; such an attempt never uses a kept connection
     * @param atReader the server acts as a reader for this attempt, not as a writer
     * @param requestOver tells from any thread whether the request already has its final answer
     */
    public record Send(
            long request,
            int attempt,
            RequestSpec spec,
            ResponseSink response,
            Instant expiresAt,
            Instant sendBy,
            Instant connectBy,
            boolean atMostOnce,
            boolean atReader,
            BooleanSupplier requestOver)
            implements Message {
        /** The client has gone or the request already has its final answer. */
        boolean isAbandoned() {
            return response.gone() || requestOver.getAsBoolean();
        }

        boolean maySend(Instant now) {
            return !isAbandoned() && !now.isAfter(sendBy) && !now.isAfter(expiresAt);
        }
    }

    /** Cancels an attempt in whatever state it is, and closes its connection. */
    public record CancelAttempt(long request, int attempt) implements Message {}

    /**
     * Cancels a streaming attempt, but only after everything its server has sent by now was passed on: the end of the
     * stream may be among it.
     */
    public record CancelAfterPendingInput(long request, int attempt) implements Message {}

    /** The {@link ModuleActor} has accepted the first event, so the stream may be passed on to the client. */
    public record Proceed(long request, int attempt) implements Message {}

    /** Sends a health probe. */
    public record Probe() implements Message {}

    /** Asks the server to release the read state of the request with this id. */
    public record Release(long ticket, String requestId) implements Message {}

    private record Connected(ServerCall serverCall, Connection connection) implements Message {}

    /**
     * A connect failed or took too long. {@code connectNumber} tells which connect of the call it was, so that a late
     * message about an earlier connect is ignored.
     */
    private record ConnectFailed(ServerCall serverCall, int connectNumber) implements Message {}

    /** The time for a connect is over; see {@link ConnectFailed} for {@code connectNumber}. */
    private record ConnectOverdue(ServerCall serverCall, int connectNumber) implements Message {
        ConnectFailed failed() {
            return new ConnectFailed(serverCall, connectNumber);
        }
    }

    private record ConnectionClosed(Connection connection) implements Message {}

    private record AnswerClassified(ServerCall serverCall, AnswerKind kind, Report report) implements Message {}

    private record StreamEvent(ServerCall serverCall, byte[] eventBytes) implements Message {}

    /**
     * The answer is complete. {@code endedAt} is when the transport saw its end, which may be long before the mailbox gets to
     * this message; the lease of a read state counts from then.
     */
    private record CallCompleted(ServerCall serverCall, boolean reusable, double cachedTokens, Instant endedAt)
            implements Message {}

    private record CallBroken(ServerCall serverCall, boolean lastByteMayHaveLeft, Instant endedAt) implements Message {}

    /** Looks whether the call is to be ended for want of an answer. */
    private record AnswerCheck(ServerCall serverCall) implements Message {}

    /**
     * Checks whether the socket of an attempt that was terminated here is closed. {@code checks}: how many checks came
     * before.
     */
    private record CloseCheck(ServerCall serverCall, Outcome outcome, int checks) implements Message {}

    private record IdleCheck() implements Message {}

    private record SendLastByte(ServerCall serverCall, Connection connection) implements Message {}

    /** Settings and collaborators that all peers share; immutable. */
    public record Setup(
            Clock clock,
            Connector connector,
            Duration connectTimeout,
            Duration idleLifetime,
            Duration callTimeout,
            ModuleActor module,
            ReleaseActor releases,
            Recorder recorder,
            Metrics metrics) {}

    // how long the last byte of a request is held back, so that a connection that the server is already closing is
    // noticed before the request can run: nine in ten of such breaks arrive within this time
    private static final Duration LAST_BYTE_HOLD = Duration.ofMillis(2);
    // from the choice of a connection to the first byte of the request: half of the second within which a drain must
    // take effect
    private static final Duration MAX_DISPATCH_DELAY = Duration.ofMillis(500);
    private static final Duration MAX_CONNECT_OVERTIME =
            Duration.ofMillis(500); // for a transport that is late by itself
    private static final int MAX_NEW_CONNECTIONS_PER_CALL = 3; // new connections that one call may use up
    private static final Duration TIMEOUT_MARGIN_PER_CONNECTION =
            Duration.ofMillis(300); // for each of the call's connections that ended before the last byte
    private static final int MIN_TIME_LEFT_PER_MARGIN = 4; // a margin takes at most a quarter of the time left
    private static final Duration FIRST_CLOSE_CHECK = Duration.ofMillis(1); // each further pause is twice as long
    private static final int MAX_CLOSE_CHECKS = 8; // 255 ms in all: a stalled reactor must not delay the outcome longer

    private final String id;
    private final InetSocketAddress address;
    private final Setup setup;
    private final Map<Long, ServerCall> attempts = new HashMap<>();
    private final IdleConnections idleConnections;
    private volatile boolean draining; // also read on the transport's thread
    private Future<?> idleCheckTimer;

    public PeerActor(ScheduledExecutorService scheduler, String id, InetSocketAddress address, Setup setup) {
        super(scheduler);
        this.id = id;
        this.address = address;
        this.setup = setup;
        idleConnections = new IdleConnections(setup.clock(), setup.idleLifetime());
    }

    public String id() {
        return id;
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Listed received) {
            draining = received.draining();
        } else if (message instanceof Removed) {
            draining = true;
            idleConnections.closeAll();
        } else if (message instanceof IdleLimit received) {
            idleConnections.setCapacity(received.maxConnections());
        } else if (message instanceof Send received) {
            ServerCall serverCall = new ServerCall(received, setup.clock().instant(), received.expiresAt());
            attempts.put(received.request(), serverCall);
            startCall(serverCall);
        } else if (message instanceof Probe || message instanceof Release) {
            Instant now = setup.clock().instant();
            startCall(new ServerCall(message, now, now.plus(setup.callTimeout())));
        } else if (message instanceof CancelAttempt received) {
            ServerCall serverCall = findAttempt(received.request(), received.attempt());
            if (serverCall != null) {
                terminate(serverCall, Outcome.CANCELLED);
            }
        } else if (message instanceof CancelAfterPendingInput received) {
            ServerCall serverCall = findAttempt(received.request(), received.attempt());
            if (serverCall != null && serverCall.connection != null) {
                serverCall.connection.readOut(() -> tell(new CancelAttempt(received.request(), received.attempt())));
            }
        } else if (message instanceof Proceed received) {
            ServerCall serverCall = findAttempt(received.request(), received.attempt());
            if (serverCall != null) {
                onStreamAccepted(serverCall);
            }
        } else if (message instanceof Connected received) {
            onConnected(received.serverCall(), received.connection());
        } else if (message instanceof ConnectFailed received
                && received.serverCall().isConnecting(received.connectNumber())) {
            onExpired(received.serverCall());
        } else if (message instanceof ConnectOverdue received
                && received.serverCall().isConnecting(received.connectNumber())) {
            onConnectOverdue(received);
        } else if (message instanceof ConnectionClosed received) {
            onConnectionClosed(received.connection());
        } else if (message instanceof AnswerClassified received) {
            recordStep(
                    Recorder.EventType.WORD,
                    received.serverCall(),
                    received.kind().name(),
                    null);
            received.serverCall().answerKind = received.kind();
            received.serverCall().report = received.report();
            received.serverCall()
                    .answerDeadline
                    .answerClassified(received.kind(), setup.clock().instant());
            if (received.kind() != AnswerKind.STREAM) { // a stream's own time goes on until its first event
                scheduleAnswerCheck(received.serverCall());
            }
        } else if (message instanceof StreamEvent received) {
            onEvent(received.serverCall(), received.eventBytes());
        } else if (message instanceof CallCompleted received) {
            received.serverCall().cachedTokens = received.cachedTokens();
            received.serverCall().endedAt = received.endedAt();
            if (!Double.isNaN(received.cachedTokens())) {
                recordStep(
                        Recorder.EventType.WORD, received.serverCall(), "kept " + (long) received.cachedTokens(), null);
            }
            onCompleted(received.serverCall(), received.reusable());
        } else if (message instanceof CallBroken received) {
            received.serverCall().endedAt = received.endedAt();
            onBroken(received.serverCall(), received.lastByteMayHaveLeft());
        } else if (message instanceof AnswerCheck received) {
            checkAnswer(received.serverCall());
        } else if (message instanceof CloseCheck received) {
            awaitClose(received.serverCall(), received.outcome(), received.checks());
        } else if (message instanceof IdleCheck) {
            closeStaleConnections();
        } else if (message instanceof SendLastByte received
                && !received.serverCall().done
                && received.serverCall().connection == received.connection()
                && !terminateIfNotSendable(received.serverCall(), false)) {
            received.connection().sendLastByte();
        }
    }

    private ServerCall findAttempt(long request, int attempt) {
        ServerCall serverCall = attempts.get(request);
        return serverCall == null || serverCall.sendCommand().attempt() != attempt ? null : serverCall;
    }

    // ---- connections ---------------------------------------------------------------------------

    private void startCall(ServerCall serverCall) {
        scheduleAnswerCheck(serverCall);
        if (terminateIfNotSendable(serverCall, true)) {
            return;
        }
        // a request written on a kept connection while the server closes it may or may not have run: there is no way to
        // tell
        boolean needsNewConnection =
                serverCall.sendCommand() != null && serverCall.sendCommand().atMostOnce();
        IdleConnections.IdleConnection idleConnection = needsNewConnection ? null : idleConnections.takeReusable();
        if (idleConnection == null) {
            connect(serverCall);
            return;
        }
        serverCall.connectionReused = true;
        recordStep(
                Recorder.EventType.CONNECTION,
                serverCall,
                "kept",
                Duration.between(idleConnection.idleSince(), setup.clock().instant()));
        dispatch(serverCall, idleConnection.connection());
    }

    private void scheduleAnswerCheck(ServerCall serverCall) {
        if (serverCall.done) {
            return;
        }
        if (serverCall.answerTimer != null) {
            serverCall.answerTimer.cancel(false);
        }
        serverCall.answerTimer = tellLater(remainingTime(serverCall), new AnswerCheck(serverCall));
    }

    private Duration remainingTime(ServerCall serverCall) {
        return serverCall.answerDeadline.remaining(setup.clock().instant(), serverCall.connection);
    }

    private void checkAnswer(ServerCall serverCall) {
        if (serverCall.done) {
            return;
        }
        if (remainingTime(serverCall).compareTo(Duration.ZERO) > 0) {
            scheduleAnswerCheck(serverCall);
        } else if (serverCall.streamAccepted) {
            terminate(serverCall, Outcome.RESET);
        } else {
            onExpired(serverCall);
        }
    }

    private void connect(ServerCall serverCall) {
        serverCall.connectionReused = false;
        serverCall.endedAt = null;
        // own timer: HttpCore checks its timeouts only at intervals, so that a connect timeout of 250 ms took up to 600
        // ms, while a read state stays held
        Instant now = setup.clock().instant();
        int connectNumber = ++serverCall.connectCount;
        serverCall.connectTimer = tellLater(
                Duration.between(now, serverCall.connectDeadline(now.plus(setup.connectTimeout()))),
                new ConnectOverdue(serverCall, connectNumber));
        setup.connector().connect(address, setup.connectTimeout(), new Connector.ConnectionListener() {
            @Override
            public void connected(Connection connection) {
                tell(serverCall.command instanceof Release, new Connected(serverCall, connection));
            }

            @Override
            public void connectFailed() {
                tell(serverCall.command instanceof Release, new ConnectFailed(serverCall, connectNumber));
            }

            @Override
            public void closed(Connection connection) {
                tell(new ConnectionClosed(connection));
            }
        });
    }

    /**
     * A connection that is up counts, though a process short of CPU hasn't noticed it in time; one for which a held read state
     * waits is given up at once.
     */
    private void onConnectOverdue(ConnectOverdue overdue) {
        ServerCall serverCall = overdue.serverCall();
        Instant now = setup.clock().instant();
        Instant latest = serverCall.connectDeadline(now.plus(MAX_CONNECT_OVERTIME));
        if (!now.isBefore(latest)) {
            tell(overdue.failed());
            return;
        }
        boolean urgent = serverCall.command instanceof Release;
        serverCall.connectTimer = tellLater(Duration.between(now, latest), overdue.failed());
        setup.connector().afterConnects(() -> tell(urgent, overdue.failed()));
    }

    private void onConnected(ServerCall serverCall, Connection connection) {
        if (serverCall.done || terminateIfNotSendable(serverCall, true)) {
            returnToIdle(connection);
        } else {
            recordStep(Recorder.EventType.CONNECTION, serverCall, "new", elapsed(serverCall));
            dispatch(serverCall, connection);
        }
    }

    /**
     * Terminates an attempt that may no longer be sent although the module chose it, as when its connection came up late:
     * the client has gone, the attempt has expired, the time to send any attempt of the request is over, or, as long as no
     * byte was sent ({@code beforeFirstByte}), the server is draining.
     *
     * @return whether the attempt was terminated
     */
    private boolean terminateIfNotSendable(ServerCall serverCall, boolean beforeFirstByte) {
        boolean blockedByDrain = beforeFirstByte && draining;
        Instant now = setup.clock().instant();
        if (serverCall.sendCommand() == null
                || !blockedByDrain && serverCall.sendCommand().maySend(now)) {
            return false;
        }
        boolean sendTimeOver = now.isAfter(serverCall.sendCommand().sendBy());
        terminate(
                serverCall,
                serverCall.sendCommand().isAbandoned()
                        ? Outcome.CANCELLED
                        : sendTimeOver && !blockedByDrain ? Outcome.NOT_SENT : Outcome.CONNECT_FAILED);
        return true;
    }

    /**
     * Whether the head of a call that was handed to the transport at {@code dispatchedAt} may still be sent; evaluated on
     * the transport's thread. If the reactor or the process stalled in between, the server may have started to drain, or
     * the message that says so may still be unread on the same reactor. The transport then breaks the connection, and the
     * attempt is checked again when that is reported here.
     */
    private BooleanSupplier headCheck(Instant dispatchedAt) {
        return () -> !draining && !setup.clock().instant().isAfter(dispatchedAt.plus(MAX_DISPATCH_DELAY));
    }

    /**
     * By how much less than its time left the server is told: nothing on the first connection, and more on each further one.
     * When this process gets little CPU, the last byte may leave so long after the head that the head's timeout is outdated,
     * which ends the connection; without a margin, the next one would end in the same way.
     */
    private Duration timeoutMargin(ServerCall serverCall, Send send) {
        Duration margin = TIMEOUT_MARGIN_PER_CONNECTION.multipliedBy(serverCall.unsentCount);
        Duration largest =
                Duration.between(setup.clock().instant(), send.expiresAt()).dividedBy(MIN_TIME_LEFT_PER_MARGIN);
        return margin.compareTo(largest) < 0 ? margin : largest;
    }

    private void recordStep(Recorder.EventType event, ServerCall serverCall, String text, Duration duration) {
        if (serverCall.command instanceof Send send) {
            setup.recorder().note(event, send.request(), send.attempt(), id, text, duration);
        }
    }

    private void dispatch(ServerCall serverCall, Connection connection) {
        serverCall.connection = connection;
        // the end of a lease depends on reads and releases, so their messages must not queue behind the events of many
        // streams
        boolean urgent = serverCall.command instanceof Release
                || serverCall.sendCommand() != null && serverCall.sendCommand().atReader();
        Connector.Call outgoingCall;
        if (serverCall.command instanceof Send send) {
            outgoingCall = new Connector.AttemptCall(
                    send.spec(),
                    send.atReader(),
                    () -> Duration.between(setup.clock().instant(), send.expiresAt()),
                    timeoutMargin(serverCall, send),
                    send.atMostOnce() || serverCall.connectionReused,
                    headCheck(setup.clock().instant()),
                    () -> send.maySend(setup.clock().instant()));
        } else if (serverCall.command instanceof Release release) {
            outgoingCall = new Connector.ReleaseCall(release.requestId());
        } else {
            outgoingCall = new Connector.ProbeCall();
        }
        connection.call(outgoingCall, new Connector.CallListener() {
            @Override
            public void sent() {
                if (serverCall.command instanceof Send send) {
                    setup.metrics().attemptSent(send.spec().requestClass());
                }
            }

            @Override
            public void lastByteHeld() {
                tellLater(LAST_BYTE_HOLD, new SendLastByte(serverCall, connection));
            }

            @Override
            public void answerProgress() {
                if (serverCall.sendCommand() != null) {
                    setup.module().tellUrgent(new ModuleActor.AnswerProgress(id));
                }
            }

            @Override
            public void answerClassified(AnswerKind kind, Report report) {
                tell(urgent, new AnswerClassified(serverCall, kind, report));
            }

            @Override
            public void event(byte[] eventBytes) {
                tell(urgent, new StreamEvent(serverCall, eventBytes));
            }

            @Override
            public void end(boolean reusable, double cachedTokens) {
                tell(
                        urgent,
                        new CallCompleted(
                                serverCall,
                                reusable,
                                cachedTokens,
                                setup.clock().instant()));
            }

            @Override
            public void broken(boolean lastByteMayHaveLeft) {
                tell(
                        urgent,
                        new CallBroken(
                                serverCall, lastByteMayHaveLeft, setup.clock().instant()));
            }
        });
    }

    private void returnToIdle(Connection connection) {
        if (draining || !connection.isOpen()) {
            connection.close();
            return;
        }
        connection.callEnded();
        idleConnections.add(connection);
        if (idleCheckTimer == null) {
            idleCheckTimer = tellLater(idleConnections.lifetime(), new IdleCheck());
        }
    }

    private void closeStaleConnections() {
        idleConnections.closeStale();
        idleCheckTimer = idleConnections.isEmpty()
                ? null
                : tellLater(idleConnections.lifetime().dividedBy(4), new IdleCheck());
    }

    private void onConnectionClosed(Connection connection) {
        if (idleConnections.removeClosed(connection)) {
            if (idleCheckTimer != null) {
                idleCheckTimer.cancel(false);
            }
            idleCheckTimer = tellLater(idleConnections.lifetime(), new IdleCheck());
        }
    }

    // ---- answers -------------------------------------------------------------------------------

    private void onEvent(ServerCall serverCall, byte[] eventBytes) {
        if (serverCall.done || serverCall.sendCommand() == null) {
            return;
        }
        if (serverCall.streamAccepted) {
            forwardEvent(serverCall, eventBytes);
        } else if (serverCall.firstEventReported) {
            serverCall.pendingEvents.add(eventBytes);
        } else if (serverCall.answerKind == AnswerKind.STREAM) {
            serverCall.firstEventReported = true;
            serverCall.answerDeadline.firstEventReported();
            // urgent: queued behind many new requests it would reach its client late
            setup.module()
                    .tellUrgent(new ModuleActor.FirstEvent(
                            serverCall.sendCommand().request(),
                            serverCall.sendCommand().attempt(),
                            id,
                            eventBytes,
                            elapsed(serverCall),
                            serverCall.windowGrant(eventBytes),
                            this));
        }
    }

    private void onStreamAccepted(ServerCall serverCall) {
        serverCall.streamAccepted = true;
        while (!serverCall.pendingEvents.isEmpty() && !serverCall.done) {
            forwardEvent(serverCall, serverCall.pendingEvents.poll());
        }
        if (!serverCall.done && serverCall.completedBeforeAccepted) {
            reportOutcome(serverCall, Outcome.OK);
        } else if (serverCall.brokenBeforeAccepted) {
            terminate(serverCall, Outcome.RESET);
        }
        serverCall.answerDeadline.streamAccepted();
        scheduleAnswerCheck(serverCall);
    }

    private void forwardEvent(ServerCall serverCall, byte[] eventBytes) {
        if (!serverCall.sendCommand().response().event(eventBytes, serverCall.windowGrant(eventBytes))) {
            terminate(serverCall, Outcome.RESET);
        }
    }

    private void onCompleted(ServerCall serverCall, boolean reusable) {
        if (serverCall.done) {
            return;
        }
        Connection connection = serverCall.connection;
        if (reusable) {
            returnToIdle(connection);
        } else {
            connection.close();
        }
        serverCall.connection = null;
        if (serverCall.firstEventReported && !serverCall.streamAccepted) {
            serverCall.completedBeforeAccepted = true;
            return;
        }
        reportOutcome(serverCall, serverCall.outcomeOfCompleteAnswer());
    }

    private void onBroken(ServerCall serverCall, boolean lastByteMayHaveLeft) {
        if (serverCall.done) {
            return;
        }
        // a server that answered before the last byte was sent may have run something, and a second answer must not
        // follow the first
        boolean mayHaveRun = lastByteMayHaveLeft || serverCall.answerKind != null;
        recordStep(Recorder.EventType.WORD, serverCall, mayHaveRun ? "BROKEN" : "BROKEN before the last byte", null);
        if (!mayHaveRun && terminateIfNotSendable(serverCall, true)) {
            return;
        }
        if (!mayHaveRun && (serverCall.connectionReused || ++serverCall.unsentCount < MAX_NEW_CONNECTIONS_PER_CALL)) {
            // the connection ended before the last byte was sent: nothing ran, so a new connection may be tried
            serverCall.connection = null;
            connect(serverCall);
        } else if (serverCall.firstEventReported && !serverCall.streamAccepted) {
            serverCall.brokenBeforeAccepted = true;
            serverCall.connection.close(); // it is still open if the answer was malformed
        } else if (mayHaveRun && serverCall.connectionReused && serverCall.answerKind == null) {
            idleConnections.closeAll(); // the server's other idle connections may be dead as well
            terminate(serverCall, Outcome.STALE);
        } else if (serverCall.refused()) {
            terminate(serverCall, Outcome.FULL);
        } else {
            terminate(serverCall, mayHaveRun ? Outcome.RESET : Outcome.CONNECT_FAILED);
        }
    }

    private void onExpired(ServerCall serverCall) {
        if (serverCall.done || serverCall.firstEventReported) {
            return;
        }
        // without a connection, nothing can have run
        Outcome noAnswerOutcome = serverCall.connection == null ? Outcome.CONNECT_FAILED : Outcome.TIMED_OUT;
        terminate(
                serverCall,
                serverCall.refused() ? Outcome.FULL : serverCall.answerKind == null ? noAnswerOutcome : Outcome.ERROR);
    }

    /**
     * Terminates a call and its connection, so that no attempt stays in flight. A call without an answer is ended with a
     * TCP reset: after an ordinary close the kernel would go on delivering the buffered request, even to a server that reads
     * late or can't be reached for a while.
     */
    private void terminate(ServerCall serverCall, Outcome outcome) {
        if (serverCall.done) {
            return;
        }
        if (serverCall.connection == null || serverCall.sendCommand() == null) {
            if (serverCall.connection != null) {
                serverCall.connection.close();
            }
            reportOutcome(serverCall, outcome);
            return;
        }
        serverCall.done = true;
        serverCall.answerTimer.cancel(false);
        if (serverCall.endedAt == null) {
            serverCall.endedAt = setup.clock().instant();
        }
        if (serverCall.answerKind == null) {
            serverCall.connection.abort();
        } else {
            serverCall.connection.close();
        }
        awaitClose(serverCall, outcome, 0);
    }

    /** Reports the outcome once the socket is closed: the client's answer or the next attempt must not overtake that. */
    private void awaitClose(ServerCall serverCall, Outcome outcome, int checks) {
        if (serverCall.connection.released() || checks >= MAX_CLOSE_CHECKS) {
            reportOutcome(serverCall, outcome);
        } else {
            tellUrgentLater(
                    FIRST_CLOSE_CHECK.multipliedBy(1L << checks), new CloseCheck(serverCall, outcome, checks + 1));
        }
    }

    private Duration elapsed(ServerCall serverCall) {
        return Duration.between(serverCall.startedAt, setup.clock().instant());
    }

    private void reportOutcome(ServerCall serverCall, Outcome outcome) {
        Message command = serverCall.command;
        serverCall.end();
        if (command instanceof Send send) {
            attempts.remove(send.request(), serverCall);
            // urgent: queued behind many new requests, the end of a stream would come late and a read state would be
            // held too long; urgent messages keep their order, so the first event of an attempt still comes before its
            // end
            setup.module()
                    .tellUrgent(new ModuleActor.AttemptFinished(
                            send.request(),
                            send.attempt(),
                            id,
                            outcome,
                            elapsed(serverCall),
                            serverCall.answerKind == AnswerKind.STATE_MISSING,
                            serverCall.report,
                            serverCall.cachedTokens,
                            serverCall.connection != null || serverCall.endedAt != null,
                            serverCall.endedAt == null ? setup.clock().instant() : serverCall.endedAt));
        } else if (command instanceof Release release) {
            setup.releases().tell(new ReleaseActor.ReleaseTried(release.ticket(), id, outcome == Outcome.OK));
        } else {
            setup.module().tellUrgent(new ModuleActor.ProbeDone(id, outcome, elapsed(serverCall), serverCall.report));
        }
    }
}

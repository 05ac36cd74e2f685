package copperbeam.routing;

import copperbeam.Api.Outcome;
import copperbeam.Api.Report;
import copperbeam.routing.Connector.Connection;
import copperbeam.routing.Connector.Word;
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
                    Gone,
                    Room,
                    Send,
                    Stop,
                    Cut,
                    Proceed,
                    AskArrival,
                    Probe,
                    Release,
                    Up,
                    NotUp,
                    Closed,
                    Answered,
                    Event,
                    Ended,
                    Broken,
                    Expired,
                    SilenceCheck,
                    ResetCheck,
                    IdleCheck,
                    SendLastByte {}

    /** The server is in the list. While it is {@code draining}, no attempt is started and no connection is kept idle. */
    public record Listed(boolean drains) implements Message {}

    /** The server has left the list: treated as draining, and its idle connections are closed. */
    public record Gone() implements Message {}

    /** Sets how many connections to this server may be kept idle. */
    public record Room(int idle) implements Message {}

    /**
     * Sends an attempt to the server.
     *
     * @param expiresAt the attempt times out at this time; its last byte never leaves later
     * @param sendBy the last byte of this attempt, or of any other attempt of the request, may not leave after this time
     * @param connectBy a new connection must be up by this time, because a held read state waits for the attempt
     * @param atMostOnce the request must not run twice; such an attempt never uses a kept connection
     * @param reads the server acts as a reader for this attempt, not as a writer
     * @param requestOver tells from any thread whether the request already has its final answer
     */
    public record Send(
            long request,
            int number,
            Ask ask,
            Answer answer,
            Instant until,
            Instant latest,
            Instant upBy,
            boolean once,
            boolean reads,
            BooleanSupplier over)
            implements Message {
        /** The client has gone or the request already has its final answer. */
        boolean ended() {
            return answer.gone() || over.getAsBoolean();
        }

        boolean wanted(Instant now) {
            return !ended() && !now.isAfter(latest) && !now.isAfter(until);
        }
    }

    /** Cancels an attempt in whatever state it is, and closes its connection. */
    public record Stop(long request, int number) implements Message {}

    /**
     * Cancels a streaming attempt, but only after everything its server has sent by now was passed on: the end of the
     * stream may be among it.
     */
    public record Cut(long request, int number) implements Message {}

    /** The {@link ModuleActor} has accepted the first event, so the stream may be passed on to the client. */
    public record Proceed(long request, int number) implements Message {}

    /**
     * Asks whether answers to other calls show that the attempt has arrived at the server; answered with
     * {@link ModuleActor.ArrivalStatus}.
     */
    public record AskArrival(long request, int number) implements Message {}

    /** Sends a health probe. */
    public record Probe() implements Message {}

    /** Asks the server to release the read state of the request with this id. */
    public record Release(long ticket, String id) implements Message {}

    private record Up(ServerCall work, Connection connection) implements Message {}

    /**
     * A connect failed or took too long. {@code connectNumber} tells which connect of the call it was, so that a late
     * message about an earlier connect is ignored.
     */
    private record NotUp(ServerCall work, int connect) implements Message {}

    private record Closed(Connection connection) implements Message {}

    private record Answered(ServerCall work, Word word, Report report) implements Message {}

    private record Event(ServerCall work, byte[] raw) implements Message {}

    /**
     * The answer is complete. {@code endedAt} is when the transport saw its end, which may be long before the mailbox gets to
     * this message; the lease of a read state counts from then.
     */
    private record Ended(ServerCall work, boolean reusable, double kept, Instant at) implements Message {}

    private record Broken(ServerCall work, boolean written, Instant at) implements Message {}

    private record Expired(ServerCall work) implements Message {}

    private record SilenceCheck(ServerCall work) implements Message {}

    /**
     * Checks whether the TCP reset of a call that was terminated here has been sent. {@code checks}: how many checks came
     * before.
     */
    private record ResetCheck(ServerCall work, Outcome outcome, int looks) implements Message {}

    private record IdleCheck() implements Message {}

    private record SendLastByte(ServerCall work, Connection on) implements Message {}

    /** Settings and collaborators that all peers share; immutable. */
    public record Setup(
            Clock clock,
            Connector connector,
            Duration connectTimeout,
            Duration idle,
            Duration callTimeout,
            ModuleActor module,
            ReleaseActor releases,
            Recorder recorder,
            Metrics metrics) {}

    private static final Duration SILENCE = Duration.ofSeconds(4); // maximum gap in a stream; clients may give up after 5 s
    // how long the last byte of a request is held back, so that a connection that the server is already closing is noticed
    // before the request can run: nine in ten of such breaks arrive within this time
    private static final Duration HOLD = Duration.ofMillis(2);
    private static final Duration SHORT_ANSWER =
            Duration.ofMillis(800); // from the head to the end of an answer that is not a stream
    // from the choice of a connection to the first byte of the request: half of the second within which a drain must take
    // effect
    private static final Duration MOST_ON_THE_WAY = Duration.ofMillis(500);
    private static final int MOST_UNSENT = 3; // new connections that one call may use up
    private static final Duration RESET_LOOK = Duration.ofMillis(1);
    private static final int MOST_RESET_LOOKS = 250; // about 250 ms: a stalled reactor must not delay the outcome longer

    private final String id;
    private final InetSocketAddress address;
    private final Setup setup;
    private final Map<Long, ServerCall> attempts = new HashMap<>();
    private final IdleConnections idle;
    private final AnsweredConnections answered = new AnsweredConnections();
    private volatile boolean drains; // also read on the transport's thread
    private Future<?> tidying;

    public PeerActor(ScheduledExecutorService turns, String id, InetSocketAddress address, Setup setup) {
        super(turns);
        this.id = id;
        this.address = address;
        this.setup = setup;
        idle = new IdleConnections(setup.clock(), setup.idle());
    }

    public String id() {
        return id;
    }

    @Override
    protected void receive(Message m) {
        if (m instanceof Listed e) {
            drains = e.drains();
        } else if (m instanceof Gone) {
            drains = true;
            idle.closeAll();
        } else if (m instanceof Room e) {
            idle.limit(e.idle());
        } else if (m instanceof Send e) {
            ServerCall work = new ServerCall(e, setup.clock().instant());
            attempts.put(e.request(), work);
            begin(work, e.until());
        } else if (m instanceof Probe || m instanceof Release) {
            ServerCall work = new ServerCall(m, setup.clock().instant());
            begin(work, work.began.plus(setup.callTimeout()));
        } else if (m instanceof Stop e) {
            ServerCall work = out(e.request(), e.number());
            if (work != null) {
                finish(work, Outcome.CANCELLED);
            }
        } else if (m instanceof Cut e) {
            ServerCall work = out(e.request(), e.number());
            if (work != null && work.connection != null) {
                work.connection.readOut(() -> tell(new Stop(e.request(), e.number())));
            }
        } else if (m instanceof Proceed e) {
            ServerCall work = out(e.request(), e.number());
            if (work != null) {
                proceed(work);
            }
        } else if (m instanceof AskArrival e) {
            ServerCall work = out(e.request(), e.number());
            if (work != null) {
                boolean shown = answered.proveArrival(work);
                setup.module().tellFirst(new ModuleActor.ArrivalShown(e.request(), e.number(), shown));
            }
        } else if (m instanceof Up e) {
            up(e.work(), e.connection());
        } else if (m instanceof NotUp e && e.work().connection == null && e.connect() == e.work().connects) {
            expired(e.work());
        } else if (m instanceof Closed e) {
            closed(e.connection());
        } else if (m instanceof Answered e) {
            note(Recorder.What.WORD, e.work(), e.word().name(), null);
            answered.answered(e.work());
            e.work().word = e.word();
            e.work().report = e.report();
            if (e.word() != Word.STREAM) {
                endBy(e.work(), SHORT_ANSWER);
            }
        } else if (m instanceof Event e) {
            event(e.work(), e.raw());
        } else if (m instanceof Ended e) {
            e.work().kept = e.kept();
            e.work().ended = e.at();
            if (!Double.isNaN(e.kept())) {
                note(Recorder.What.WORD, e.work(), "kept " + (long) e.kept(), null);
            }
            ended(e.work(), e.reusable());
        } else if (m instanceof Broken e) {
            e.work().ended = e.at();
            broken(e.work(), e.written());
        } else if (m instanceof Expired e) {
            expired(e.work());
        } else if (m instanceof SilenceCheck e) {
            checkSilence(e.work());
        } else if (m instanceof ResetCheck e) {
            awaitReset(e.work(), e.outcome(), e.looks());
        } else if (m instanceof IdleCheck) {
            tidy();
        } else if (m instanceof SendLastByte e
                && !e.work().done
                && e.work().connection == e.on()
                && !unwanted(e.work(), false)) {
            e.on().let();
        }
    }

    private ServerCall out(long request, int number) {
        ServerCall work = attempts.get(request);
        return work == null || work.send().number() != number ? null : work;
    }

    // ---- connections ---------------------------------------------------------------------------

    private void begin(ServerCall work, Instant until) {
        work.until = until;
        work.expiry = tellLater(Duration.between(work.began, until), new Expired(work));
        if (unwanted(work, true)) {
            return;
        }
        // a request written on a kept connection while the server closes it may or may not have run: there is no way to tell
        boolean fresh = work.send() != null && work.send().once();
        IdleConnections.Idle kept = fresh ? null : idle.take();
        if (kept == null) {
            connect(work);
            return;
        }
        work.reused = true;
        note(
                Recorder.What.CONNECTION,
                work,
                "kept",
                Duration.between(kept.since(), setup.clock().instant()));
        use(work, kept.connection());
    }

    /** Bounds the rest of an answer, so that one that never ends doesn't occupy its call until the client's deadline. */
    private void endBy(ServerCall work, Duration within) {
        Duration left = Duration.between(setup.clock().instant(), work.until);
        if (!work.done && within.compareTo(left) < 0) {
            work.expiry.cancel(false);
            work.expiry = tellLater(within, new Expired(work));
        }
    }

    private void connect(ServerCall work) {
        work.reused = false;
        work.ended = null;
        // own timer: HttpCore checks its timeouts only at intervals, so that a connect timeout of 250 ms took up to 600 ms,
        // while a read state stays held
        Instant now = setup.clock().instant();
        int connect = ++work.connects;
        tellLater(Duration.between(now, work.upBy(now.plus(setup.connectTimeout()))), new NotUp(work, connect));
        setup.connector().connect(address, setup.connectTimeout(), new Connector.Watcher() {
            @Override
            public void up(Connection connection) {
                tell(work.order instanceof Release, new Up(work, connection));
            }

            @Override
            public void failed() {
                tell(work.order instanceof Release, new NotUp(work, connect));
            }

            @Override
            public void closed(Connection connection) {
                tell(new Closed(connection));
            }
        });
    }

    private void up(ServerCall work, Connection connection) {
        answered.opened(connection);
        if (work.done || unwanted(work, true)) {
            keep(connection);
        } else {
            note(Recorder.What.CONNECTION, work, "new", since(work));
            use(work, connection);
        }
    }

    /**
     * Terminates an attempt that may no longer be sent although the module chose it, as when its connection came up late:
     * the client has gone, the attempt has expired, the time to send any attempt of the request is over, or, as long as no
     * byte was sent ({@code beforeFirstByte}), the server is draining.
     *
     * @return whether the attempt was terminated
     */
    private boolean unwanted(ServerCall work, boolean first) {
        boolean closed = first && drains;
        Instant now = setup.clock().instant();
        if (work.send() == null || !closed && work.send().wanted(now)) {
            return false;
        }
        boolean repeatsOver = now.isAfter(work.send().latest());
        finish(
                work,
                work.send().ended()
                        ? Outcome.CANCELLED
                        : repeatsOver && !closed ? Outcome.NOT_SENT : Outcome.CONNECT_FAILED);
        return true;
    }

    /**
     * Whether the head of a call that was handed to the transport at {@code dispatchedAt} may still be sent; evaluated on
     * the transport's thread. If the reactor or the process stalled in between, the server may have started to drain, or
     * the message that says so may still be unread on the same reactor. The transport then breaks the connection, and the
     * attempt is checked again when that is reported here.
     */
    private BooleanSupplier mayBegin(Instant since) {
        return () -> !drains && !setup.clock().instant().isAfter(since.plus(MOST_ON_THE_WAY));
    }

    private void note(Recorder.What what, ServerCall work, String text, Duration span) {
        if (work.order instanceof Send s) {
            setup.recorder().note(what, s.request(), s.number(), id, text, span);
        }
    }

    private void use(ServerCall work, Connection connection) {
        work.connection = connection;
        work.written = setup.clock().instant();
        // the end of a lease depends on reads and releases, so their messages must not queue behind the events of many streams
        boolean first = work.order instanceof Release
                || work.send() != null && work.send().reads();
        Connector.Call call;
        if (work.order instanceof Send s) {
            call = new Connector.AttemptCall(
                    s.ask(),
                    s.reads(),
                    () -> Duration.between(setup.clock().instant(), s.until()),
                    s.once() || work.reused,
                    mayBegin(work.written),
                    () -> s.wanted(setup.clock().instant()));
        } else if (work.order instanceof Release r) {
            call = new Connector.ReleaseCall(r.id());
        } else {
            call = new Connector.ProbeCall();
        }
        connection.call(call, new Connector.Listener() {
            @Override
            public void sent() {
                if (work.order instanceof Send s) {
                    setup.metrics().sent(s.ask().requestClass());
                }
            }

            @Override
            public void held() {
                tellLater(HOLD, new SendLastByte(work, connection));
            }

            @Override
            public void word(Word word, Report report) {
                tell(first, new Answered(work, word, report));
            }

            @Override
            public void event(byte[] raw) {
                tell(first, new Event(work, raw));
            }

            @Override
            public void end(boolean reusable, double kept) {
                tell(first, new Ended(work, reusable, kept, setup.clock().instant()));
            }

            @Override
            public void broken(boolean written) {
                tell(first, new Broken(work, written, setup.clock().instant()));
            }
        });
    }

    private void keep(Connection connection) {
        if (drains || !connection.isOpen()) {
            connection.close();
            return;
        }
        idle.add(connection);
        if (tidying == null) {
            tidying = tellLater(idle.lifetime(), new IdleCheck());
        }
    }

    private void tidy() {
        idle.closeStale();
        tidying = idle.isEmpty() ? null : tellLater(idle.lifetime().dividedBy(4), new IdleCheck());
    }

    private void closed(Connection connection) {
        answered.closed(connection);
        if (idle.closed(connection)) {
            if (tidying != null) {
                tidying.cancel(false);
            }
            tidying = tellLater(idle.lifetime(), new IdleCheck());
        }
    }

    // ---- answers -------------------------------------------------------------------------------

    private void event(ServerCall work, byte[] raw) {
        if (work.done || work.send() == null) {
            return;
        }
        work.heard = setup.clock().instant();
        if (work.proceeding) {
            pass(work, raw);
        } else if (work.offered) {
            work.held.add(raw);
        } else if (work.word == Word.STREAM) {
            work.offered = true;
            // urgent: queued behind many new requests it would reach its client late
            setup.module()
                    .tellFirst(new ModuleActor.FirstEvent(
                            work.send().request(),
                            work.send().number(),
                            id,
                            raw,
                            since(work),
                            work.granting(raw),
                            this));
        }
    }

    private void proceed(ServerCall work) {
        work.proceeding = true;
        while (!work.held.isEmpty() && !work.done) {
            pass(work, work.held.poll());
        }
        if (!work.done && (work.whole || work.cut)) {
            settle(work, work.whole ? Outcome.OK : Outcome.RESET);
        }
        if (!work.done) {
            tellLater(SILENCE, new SilenceCheck(work));
        }
    }

    /**
     * Ends a stream that stalls while its connection stays open, as when the server miscounts the bytes of a chunk; its
     * client would wait forever. A stream that pauses because its client doesn't read (flow control) is not a stall.
     */
    private void checkSilence(ServerCall work) {
        if (work.done) {
            return;
        }
        Duration silent = Duration.between(work.heard, setup.clock().instant());
        if (work.connection != null && work.connection.heldBack()) {
            work.heard = setup.clock().instant();
            tellLater(SILENCE, new SilenceCheck(work));
        } else if (silent.compareTo(SILENCE) < 0) {
            tellLater(SILENCE.minus(silent), new SilenceCheck(work));
        } else {
            finish(work, Outcome.RESET);
        }
    }

    private void pass(ServerCall work, byte[] raw) {
        if (!work.send().answer().event(raw, work.granting(raw))) {
            finish(work, Outcome.RESET);
        }
    }

    private void ended(ServerCall work, boolean reusable) {
        if (work.done) {
            return;
        }
        Connection connection = work.connection;
        if (reusable) {
            keep(connection);
        } else {
            connection.close();
        }
        work.connection = null;
        if (work.offered && !work.proceeding) {
            work.whole = true;
            return;
        }
        settle(work, work.answered());
    }

    private void broken(ServerCall work, boolean lastByteLeft) {
        if (work.done) {
            return;
        }
        // a server that answered before the last byte was sent may have run something, and a second answer must not follow
        // the first
        boolean written = lastByteLeft || work.word != null;
        note(Recorder.What.WORD, work, written ? "BROKEN" : "BROKEN before the last byte", null);
        if (!written && unwanted(work, true)) {
            return;
        }
        if (!written && (work.reused || ++work.unsent < MOST_UNSENT)) {
            // the connection ended before the last byte was sent: nothing ran, so a new connection may be tried
            work.connection = null;
            connect(work);
        } else if (work.offered && !work.proceeding) {
            work.cut = true;
        } else if (written && work.reused && work.word == null) {
            idle.closeAll(); // the server's other idle connections may be dead as well
            finish(work, Outcome.STALE);
        } else if (work.refused()) {
            finish(work, Outcome.FULL);
        } else {
            finish(work, written ? Outcome.RESET : Outcome.CONNECT_FAILED);
        }
    }

    private void expired(ServerCall work) {
        if (work.done || work.offered) {
            return;
        }
        // without a connection, nothing can have run
        Outcome silent = work.connection == null ? Outcome.CONNECT_FAILED : Outcome.TIMED_OUT;
        finish(work, work.refused() ? Outcome.FULL : work.word == null ? silent : Outcome.ERROR);
    }

    /**
     * Terminates a call and its connection, so that no attempt stays in flight. A call without an answer is ended with a
     * TCP reset: after an ordinary close the kernel would go on delivering the buffered request, even to a server that reads
     * late or can't be reached for a while.
     */
    private void finish(ServerCall work, Outcome outcome) {
        if (work.done) {
            return;
        }
        if (work.connection == null || work.word != null || work.send() == null) {
            if (work.connection != null) {
                work.connection.close();
            }
            settle(work, outcome);
            return;
        }
        work.done = true;
        work.expiry.cancel(false);
        work.ended = setup.clock().instant();
        work.connection.abort();
        awaitReset(work, outcome, 0);
    }

    /** Reports the outcome once the reset was sent: the client's answer or the next attempt must not overtake it. */
    private void awaitReset(ServerCall work, Outcome outcome, int looks) {
        if (work.connection.released() || looks >= MOST_RESET_LOOKS) {
            settle(work, outcome);
        } else {
            tellFirstLater(RESET_LOOK, new ResetCheck(work, outcome, looks + 1));
        }
    }

    private Duration since(ServerCall work) {
        return Duration.between(work.began, setup.clock().instant());
    }

    private void settle(ServerCall work, Outcome outcome) {
        work.done = true;
        work.held.clear();
        work.expiry.cancel(false); // else the timer would keep the request's body in memory until it fires
        if (work.order instanceof Send s) {
            attempts.remove(s.request(), work);
            // urgent: queued behind many new requests, the end of a stream would come late and a read state would be held
            // too long; urgent messages keep their order, so the first event of an attempt still comes before its end
            setup.module()
                    .tellFirst(new ModuleActor.Ended(
                            s.request(),
                            s.number(),
                            id,
                            outcome,
                            since(work),
                            work.word == Word.STATE_MISSING,
                            work.report,
                            work.kept,
                            work.connection != null || work.ended != null,
                            work.ended == null ? setup.clock().instant() : work.ended));
        } else if (work.order instanceof Release r) {
            setup.releases().tell(new ReleaseActor.Tried(r.ticket(), id, outcome == Outcome.OK));
        } else {
            setup.module().tellFirst(new ModuleActor.ProbeDone(id, outcome, since(work), work.report));
        }
    }
}

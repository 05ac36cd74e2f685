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

/** Owns the connections to one server at one address, and the attempts, probes and releases that are out there. */
public final class PeerActor extends Actor<PeerActor.Message> {
    /** What this actor is told. */
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

    /** {@code drains}: no attempt begins any more, and nothing more is kept idle. */
    public record Listed(boolean drains) implements Message {}

    /** No longer listed: as one that drains, and what is idle is closed. */
    public record Gone() implements Message {}

    /** So many connections may stand idle here. */
    public record Room(int idle) implements Message {}

    /**
     * {@code until}: so long it is waited for, and its last byte leaves by then if ever; {@code latest}: its last byte may not
     * leave after this, and no other attempt's either; {@code upBy}: its connection must be up by then, as what is held
     * waits for it; {@code once}: must not run twice, so that no kept connection is risked for it;
     * {@code reads}: this server is to read, not to write; {@code over}: the request has had its end, asked from any thread.
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
        /** Nobody waits for it any more. */
        boolean ended() {
            return answer.gone() || over.getAsBoolean();
        }

        boolean wanted(Instant now) {
            return !ended() && !now.isAfter(latest) && !now.isAfter(until);
        }
    }

    /** Closes the connection of an attempt, whatever it does. */
    public record Stop(long request, int number) implements Message {}

    /** The same for a stream, once all that its server has sent by now was passed on: its end may be among it. */
    public record Cut(long request, int number) implements Message {}

    /** The module's side has taken the first event. */
    public record Proceed(long request, int number) implements Message {}

    /** Asks whether the attempt has arrived, as far as other calls show it; {@link ModuleActor.ArrivalShown} is the answer. */
    public record AskArrival(long request, int number) implements Message {}

    /** Sends a health probe. */
    public record Probe() implements Message {}

    /** Asks the server to release the read state of the request with this id. */
    public record Release(long ticket, String id) implements Message {}

    private record Up(ServerCall work, Connection connection) implements Message {}

    /** {@code connect}: the number of the connect that failed; an earlier one's word says nothing of a later one. */
    private record NotUp(ServerCall work, int connect) implements Message {}

    private record Closed(Connection connection) implements Message {}

    private record Answered(ServerCall work, Word word, Report report) implements Message {}

    private record Event(ServerCall work, byte[] raw) implements Message {}

    /** {@code at}: when the transport heard it; the mailbox may be long, and what a read left is held from then on. */
    private record Ended(ServerCall work, boolean reusable, double kept, Instant at) implements Message {}

    private record Broken(ServerCall work, boolean written, Instant at) implements Message {}

    private record Expired(ServerCall work) implements Message {}

    private record SilenceCheck(ServerCall work) implements Message {}

    /** Whether the reset of a call that was ended here has left; {@code looks}: so often it was looked for. */
    private record ResetCheck(ServerCall work, Outcome outcome, int looks) implements Message {}

    private record IdleCheck() implements Message {}

    private record SendLastByte(ServerCall work, Connection on) implements Message {}

    /** What all peers share and none of them changes. */
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

    private static final Duration SILENCE = Duration.ofSeconds(4); // of a stream; its client may wait for 5
    // of a last byte: nine in ten of the breaks that were on their way came within it
    private static final Duration HOLD = Duration.ofMillis(2);
    private static final Duration SHORT_ANSWER =
            Duration.ofMillis(800); // from the head of one that is no stream to its end
    // from a connection's choice to the head: half of the second in which a drain has to be acted on
    private static final Duration MOST_ON_THE_WAY = Duration.ofMillis(500);
    private static final int MOST_UNSENT = 3; // new connections for one attempt
    private static final Duration RESET_LOOK = Duration.ofMillis(1);
    private static final int MOST_RESET_LOOKS = 250; // a reactor that is held up so long must not hold up the outcome

    private final String id;
    private final InetSocketAddress address;
    private final Setup setup;
    private final Map<Long, ServerCall> attempts = new HashMap<>();
    private final IdleConnections idle;
    private final AnsweredConnections answered = new AnsweredConnections();
    private volatile boolean drains; // read by the transport too
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
        // what is written on a kept connection as its server closes it may have run, and nobody can tell
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

    /** Guards against an answer that does not end: its call would wait for as long as its client. */
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
        // HttpCore looks only now and then: 250 ms became up to 600, in which a read state is held
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
     * Ends an attempt that may not be written any more, though the module chose it: its client has gone, its own time or that
     * for any repeat is over, or, for its {@code first} byte, its server drains. Guards against connections that come up late.
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
     * Whether the head of a call that was handed to the transport at {@code since} may still leave, asked on its thread.
     * Guards against a reactor or a process that stood still in between: a drain was told meanwhile, or stands unread on the
     * same reactor. The connection is broken instead, and the attempt looked at anew once that is read.
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
        // what is held hangs on these, which must not wait behind the events of many streams
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

    // ---- what comes back -----------------------------------------------------------------------

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
            // behind a crowd's requests it would reach its client late
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
     * Guards against a stream that stops without its connection closing, as where the server has lost its
     * count of a chunk: its client would wait for good. A client that takes nothing is no silence.
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
        // who answers before the last byte may have run something, and a second answer must not follow on the first
        boolean written = lastByteLeft || work.word != null;
        note(Recorder.What.WORD, work, written ? "BROKEN" : "BROKEN before the last byte", null);
        if (!written && unwanted(work, true)) {
            return;
        }
        if (!written && (work.reused || ++work.unsent < MOST_UNSENT)) {
            // the server ended the connection before the last byte left: nothing ran, so a new one may be tried
            work.connection = null;
            connect(work);
        } else if (work.offered && !work.proceeding) {
            work.cut = true;
        } else if (written && work.reused && work.word == null) {
            idle.closeAll(); // the others here may have ended as well
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
        // a connection that never came up proves that nothing ran
        Outcome silent = work.connection == null ? Outcome.CONNECT_FAILED : Outcome.TIMED_OUT;
        finish(work, work.refused() ? Outcome.FULL : work.word == null ? silent : Outcome.ERROR);
    }

    /**
     * Ends a call and its connection, so that no attempt is left out there. One without an answer ends with a reset: of a close
     * the system would go on delivering what it has of the request, to a server that reads late or is cut off for a while.
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

    /** The outcome is told once the reset has left: the answer or the next attempt that follows must not overtake it. */
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
        work.expiry.cancel(false); // or the request's body would stay until then
        if (work.order instanceof Send s) {
            attempts.remove(s.request(), work);
            // behind a crowd's requests a stream's end would come late, and what a read left be held too long; what is
            // told
            // first keeps its order, an attempt's first event before its end
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

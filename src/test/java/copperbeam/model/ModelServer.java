package copperbeam.model;

import copperbeam.Api;
import copperbeam.routing.Connector.Word;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** One simulated server: a reader processes prompts one after another, a writer fetches read states and streams events. */
final class ModelServer {
    /** A fault that one attempt meets at a server. */
    enum Fault {
        ERROR,
        TURNED_AWAY,
        STATE_MISSING,
        RESET_BEFORE_LAST_BYTE,
        RESET_AFTER_LAST_BYTE,
        RESET_AS_READ_ENDS,
        SPOILT_STREAM,
        ANSWER_LOST
    }

    private static final int WINDOW = 65_535; // a stream pauses while more bytes than this are unread at the process

    final World world;
    final String id;
    final int port;
    final String zone;
    final long cell;
    final Api.Kind kind;
    final Api.Role role;
    final double tokensPerSecond; // prompt tokens read per second when warm
    final int slots; // streams at a time
    final int queueMost; // longest queue in requests, at readers in prompts of mean length; the server refuses further requests
    final long eventGap; // mean time between the events of a stream, in nanoseconds, when warm
    final Set<Integer> cutFrom = new HashSet<>(); // indexes of the processes that can't reach this server

    Api.ServerState state = Api.ServerState.READY; // as discovery lists it
    double launchedAt; // launch time as discovery lists it, in seconds since the epoch; 0 means long ago
    long startedAt = Long.MIN_VALUE / 2; // start of the current run, in virtual nanoseconds
    int life; // increases with each stop
    boolean running = true;
    boolean vanished; // packets to and from the server are lost, and its connections stay open
    long hungUntil = -1;
    double slowness = 1; // factor by which reads and streams take longer
    double faultChance;
    Fault[] faults = Fault.values();
    double lateConnects;

    private long freeAt;
    private double waitingTokens;
    private int active;
    private final Deque<Exchange> waiting = new ArrayDeque<>();
    private Api.Report report;
    private long reportAt = Long.MIN_VALUE / 2;

    ModelServer(World world, int port, String zone, long cell, Api.Kind kind, double launchedAt) {
        this.world = world;
        this.port = port;
        id = "s" + port;
        this.zone = zone;
        this.cell = cell;
        this.kind = kind;
        this.launchedAt = launchedAt;
        role = kind.role();
        tokensPerSecond = (role == Api.Role.READER ? 15_000 : 6_000) * (1 + world.random.nextDouble());
        slots = 10 + world.random.nextInt(50);
        queueMost = 10 + world.random.nextInt(40);
        eventGap = (10 + world.random.nextInt(30)) * VirtualTime.MILLI;
    }

    Api.Member member() {
        return new Api.Member(id, zone, kind.name(), cell, state, 1, launchedAt);
    }

    boolean reachable(ModelProcess from) {
        return running && !vanished && !cutFrom.contains(from.index);
    }

    boolean hung() {
        return world.time.now() < hungUntil;
    }

    /** The share of its warm capacity that the server has now; grows from {@code cold_from} to 1 in slow start. */
    double warmth() {
        return warmth((world.time.now() - startedAt) / 1e9);
    }

    double warmth(double ageS) {
        Api.Rules rules = world.settings.settings().rules();
        double age = Math.min(1, Math.max(0, ageS / Math.max(0.1, rules.warmWithinS())));
        return rules.coldFrom() + (1 - rules.coldFrom()) * age * age;
    }

    /** Requests per second of mean prompt and answer length that the server can handle when warm. */
    double capacity() {
        double reads = tokensPerSecond / world.meanTokens();
        double streams = slots / world.meanStreamSeconds(eventGap);
        return role == Api.Role.READER ? reads : role == Api.Role.WRITER ? streams : Math.min(reads, streams);
    }

    /** Estimated seconds until a request that arrives now would begin, from the true state; for {@link ReferencePolicy}. */
    double trueDelayS() {
        double reads = Math.max(0, freeAt - world.time.now()) / 1e9;
        double streams =
                active < slots ? active * 0.001 : (waiting.size() + 1) * world.meanStreamSeconds(eventGap) / slots;
        return role == Api.Role.READER ? reads : role == Api.Role.WRITER ? streams : reads + streams;
    }

    void stop() {
        running = false;
        life++;
        waiting.clear();
        active = 0;
        waitingTokens = 0;
        freeAt = 0;
        reportAt = Long.MIN_VALUE / 2;
        world.stateOwners.values().removeIf(this::equals);
        world.resetConnections(this);
    }

    void startCold() {
        running = true;
        startedAt = world.time.now();
        launchedAt = Math.floor(world.time.seconds() * 1000) / 1000;
    }

    Fault drawFault() {
        return world.random.nextDouble() < faultChance ? faults[world.random.nextInt(faults.length)] : null;
    }

    /**
     * Runs the task after a delay in nanoseconds, or once the server no longer hangs if that is later; drops the task if the
     * server has stopped by then.
     */
    void later(long after, Runnable task) {
        int born = life;
        world.time.after(after, () -> {
            if (life == born && running) {
                if (hung()) {
                    later(hungUntil - world.time.now(), task);
                } else {
                    task.run();
                }
            }
        });
    }

    // ---- calls ---------------------------------------------------------------------------------

    void attempt(Exchange x) {
        later(0, () -> begin(x));
    }

    private void begin(Exchange x) {
        if (x.closedAtServer()) {
            return;
        }
        x.attempt.arrivedAt = world.time.now();
        Fault fault = x.fault;
        boolean full =
                role == Api.Role.READER ? waitingTokens > queueMost * world.meanTokens() : waiting.size() >= queueMost;
        if (fault == Fault.ERROR) {
            later(world.random.nextInt(20) * VirtualTime.MILLI, () -> x.answer(Word.ERROR, reportNow(), Double.NaN));
        } else if (fault == Fault.TURNED_AWAY
                || full
                || x.overAtServer()
                || state != Api.ServerState.READY && world.drainsTurnAway) {
            x.answer(Word.TURNED_AWAY, reportNow(), Double.NaN);
        } else if (fault == Fault.RESET_AFTER_LAST_BYTE) {
            later(world.random.nextInt(100) * VirtualTime.MILLI, x::reset);
        } else if (role == Api.Role.READER) {
            read(x);
        } else if (fault == Fault.STATE_MISSING && role == Api.Role.WRITER) {
            x.answer(Word.STATE_MISSING, reportNow(), Double.NaN);
        } else if (role == Api.Role.WRITER
                && !world.stateOwners.containsKey(x.requestId())
                && !world.settings.settings().writersRead()) {
            x.answer(Word.STATE_MISSING, reportNow(), Double.NaN);
        } else {
            waiting.add(x);
            fillSlots();
        }
    }

    private double work(Exchange x) {
        return x.tokens() / (tokensPerSecond * warmth() / slowness);
    }

    private void read(Exchange x) {
        long start = Math.max(world.time.now(), freeAt);
        freeAt = start + (long) (work(x) * 1e9) + VirtualTime.MILLI;
        waitingTokens += x.tokens();
        later(freeAt - world.time.now(), () -> {
            waitingTokens -= x.tokens();
            // a read that completes less than 2 ms after its connection was closed or its timeout expired counts as completed:
            // the server may not have noticed yet
            if (x.goneAtServer(2 * VirtualTime.MILLI)) {
                return;
            }
            world.hold(x.requestId(), this);
            if (x.fault == Fault.RESET_AS_READ_ENDS) {
                x.reset();
            } else if (x.fault != Fault.ANSWER_LOST) {
                x.answer(Word.READ, reportNow(), world.random.nextInt(4) > 0 ? Math.floor(x.tokens() / 4) : Double.NaN);
            }
        });
    }

    private void fillSlots() {
        while (active < slots && !waiting.isEmpty()) {
            Exchange x = waiting.poll();
            if (!x.goneAtServer(0)) {
                active++;
                boolean fetches = world.stateOwners.containsKey(x.requestId());
                double seconds = fetches ? x.tokens() / 300_000 : work(x);
                world.letGo(x.requestId());
                later((long) (seconds * 1e9) + 5 * VirtualTime.MILLI, () -> stream(x, 0));
            }
        }
    }

    private void stream(Exchange x, int index) {
        Attempt a = x.attempt;
        if (x.closedAtServer()) {
            leaveSlot();
            return;
        }
        if (index == 0) {
            a.writtenAt = new long[1 + (int) Math.min(x.call.ask().maxAnswerTokens(), 400) / 8];
            Arrays.fill(a.writtenAt, -1);
            x.word(Word.STREAM, null);
        }
        boolean spoilt = x.fault == Fault.SPOILT_STREAM && index == a.writtenAt.length / 2;
        if (spoilt) {
            leaveSlot();
            x.reset();
        } else if (index == a.writtenAt.length) {
            leaveSlot();
            a.endWrittenAt = world.time.now();
            if (x.fault != Fault.ANSWER_LOST) {
                x.end(Double.NaN);
            }
        } else if (x.unread() > WINDOW) {
            later(5 * VirtualTime.MILLI, () -> stream(x, index));
        } else {
            byte[] text = ("data " + x.requestId() + " " + a.number + " " + index + "\n\n")
                    .getBytes(StandardCharsets.US_ASCII);
            a.writtenAt[index] = world.time.now();
            a.eventsWritten++;
            x.event(world.random.nextInt(20) == 0 ? Arrays.copyOf(text, 2000) : text);
            later((long) (eventGap * slowness / warmth() * world.random.nextDouble() * 2), () -> stream(x, index + 1));
        }
    }

    private void leaveSlot() {
        active = Math.max(0, active - 1);
        fillSlots();
    }

    void probe(Exchange x) {
        later(VirtualTime.MILLI / 4, () -> x.answer(Word.HEARD, freshReport(), Double.NaN));
    }

    void release(Exchange x, String requestId) {
        later(VirtualTime.MILLI / 10, () -> {
            world.letGo(requestId);
            x.answer(Word.HEARD, null, Double.NaN);
        });
    }

    // ---- load reports --------------------------------------------------------------------------

    private Api.Report reportNow() {
        return world.settings.settings().reports() == Api.Reports.WITH_OUTCOMES ? freshReport() : null;
    }

    private Api.Report freshReport() {
        if (world.settings.settings().reports() == Api.Reports.NEVER) {
            return null;
        }
        long now = world.time.now();
        if (now - reportAt > world.reportEach) {
            reportAt = now;
            double held = role == Api.Role.READER ? waitingTokens / world.meanTokens() : active + waiting.size();
            double memory = Math.min(1.2, held * world.meanTokens() / kind.memoryTokens());
            report = new Api.Report(
                    world.reports(0) ? Math.min(1.0, active / (double) slots) : Double.NaN,
                    world.reports(1) ? waiting.size() : Double.NaN,
                    world.reports(2) ? held : Double.NaN,
                    world.reports(3) ? memory : Double.NaN,
                    world.reports(4)
                            ? (role == Api.Role.READER ? waitingTokens : waiting.size() * world.meanTokens()) / 1000
                            : Double.NaN);
        }
        return report;
    }

    @Override
    public String toString() {
        return id;
    }
}

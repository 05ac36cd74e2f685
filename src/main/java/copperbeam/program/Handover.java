package copperbeam.program;

import copperbeam.handover.SharedState;
import copperbeam.handover.SharedState.Phase;
import copperbeam.operation.BanActor;
import copperbeam.operation.Shared;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.logging.Logger;

/**
 * Carries out what the processes of one conductor have agreed on: which servers are out by hand, whether clients are sent
 * away, who lives and who serves. Works on one thread, five times a second and at each call. Without a folder to
 * share it does the same for this process alone.
 */
final class Handover implements Shared, AutoCloseable {
    /** Takes the address where clients come. */
    interface Listen {
        void run() throws IOException;
    }

    /** What changes for this process. */
    interface ChangeListener {
        /** Sends clients away, or ends that; {@code done} false where a stop is under way. */
        void drain(boolean drained, Consumer<Boolean> done);

        void beside(Beside now);
    }

    /**
     * How this process stands to the others of this conductor.
     *
     * @param another one lives
     * @param succeeded one that began later serves
     * @param part of what the conductor may send to cold servers, for this process
     */
    record Beside(boolean another, boolean succeeded, double part) {
        static final Beside NONE = new Beside(false, false, 1);
    }

    private static final double LEAVING = 0.2; // part of one that still ends what it has

    private static final Logger LOG = Logger.getLogger(Handover.class.getName());
    private static final Duration LOOK = Duration.ofMillis(200);

    private final ScheduledThreadPoolExecutor thread =
            new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "operators"));
    private final Clock clock;
    private final BanActor bans;
    private final Path at; // null where there is nothing to share
    private final String conductor;
    private SharedFolder folder; // null where there is none, or not yet
    private String complaint = "";
    private SharedState state;
    private SharedState acted = SharedState.EMPTY;
    private Beside beside = Beside.NONE;
    private Phase phase = Phase.STARTING; // but for a process that serves in place of this one
    private boolean stopping;
    private ChangeListener listener;

    /** Takes up what an earlier process has left; {@code folder} null: there is none to share. */
    Handover(Path at, String conductor, Clock clock, BanActor bans) {
        this.clock = clock;
        this.bans = bans;
        this.at = at;
        this.conductor = conductor;
        state = SharedState.EMPTY;
        open();
        bans.tell(new BanActor.Out(state.banned(), () -> {})); // before the list is known
    }

    /** Tried until it succeeds: a folder that can't be written to for a while must not part the processes for good. */
    private void open() {
        if (folder != null || at == null) {
            return;
        }
        try {
            SharedFolder opened = new SharedFolder(at, conductor, clock);
            opened.change(s -> s.merge(state)); // what was said by hand meanwhile
            if (phase != Phase.STARTING) {
                opened.phase(phase);
            }
            folder = opened;
            state = opened.state();
            LOG.info("shared with other processes of this conductor: " + at);
        } catch (IOException | RuntimeException e) {
            if (!e.toString().equals(complaint)) {
                complaint = e.toString();
                LOG.warning("nothing is shared with another process of this conductor yet: " + e);
            }
        }
    }

    ScheduledThreadPoolExecutor thread() {
        return thread;
    }

    /** From now on acts on what others write. */
    void begin(ChangeListener its) {
        listener = its;
        thread.execute(this::act);
        RegularTask.start(thread, LOOK, "the hand-over", () -> {
            open();
            change(s -> s);
            act();
        });
    }

    /** This process serves once {@code listen} is done, which is tried until it is; never where it stops before. */
    void serve(Listen listen, Runnable serves) {
        thread.execute(() -> {
            if (stopping) {
                return;
            }
            try {
                if (folder != null && folder.succeeded()) {
                    throw new IOException("one that started later serves");
                }
                listen.run();
                phase = Phase.SERVING;
                phase(phase);
                serves.run();
            } catch (IOException | RuntimeException | Error e) {
                LOG.warning("not in service yet: " + e.getMessage());
                thread.schedule(() -> serve(listen, serves), LOOK.toMillis(), TimeUnit.MILLISECONDS);
            }
        });
    }

    /** This process ends; answers whether another one serves in its place. */
    CompletableFuture<Boolean> leaving() {
        return CompletableFuture.supplyAsync(
                () -> {
                    stopping = true;
                    phase(Phase.LEAVING);
                    return folder != null && folder.succeeded();
                },
                thread);
    }

    private void phase(Phase phase) {
        if (folder != null) {
            folder.phase(phase);
            state = folder.state();
        }
    }

    private void change(UnaryOperator<SharedState> change) {
        if (folder == null) {
            state = change.apply(state);
        } else {
            folder.change(change);
            state = folder.state();
        }
    }

    private void act() {
        if (!state.banned().equals(acted.banned())) {
            LOG.info("out by hand: " + state.banned());
            bans.tell(new BanActor.Out(state.banned(), () -> {}));
        }
        if (state.drain().drained() != acted.drain().drained()) {
            listener.drain(state.drain().drained(), done -> {});
        }
        acted = state;
        Beside now = folder == null ? Beside.NONE : folder.beside(LEAVING);
        if (!now.equals(beside)) {
            LOG.info("processes of this conductor: " + now);
            if (now.succeeded() != beside.succeeded() && !stopping) {
                phase(now.succeeded() ? Phase.LEAVING : phase);
            }
            beside = now;
            listener.beside(now);
        }
    }

    @Override
    public boolean out(String server) {
        return state.out(server);
    }

    @Override
    public void ban(String server, boolean out, Runnable done) {
        change(s -> s.ban(server, out, clock.instant()));
        acted = new SharedState(state.bans(), acted.drain(), acted.lives());
        bans.tell(new BanActor.Out(state.banned(), done));
        act(); // on what was read with it: said at another's door just before, it would never be looked at again
    }

    @Override
    public void drain(boolean drained, Consumer<Boolean> done) {
        if (stopping) {
            done.accept(false);
            return;
        }
        change(s -> s.drain(drained, clock.instant()));
        acted = new SharedState(acted.bans(), state.drain(), acted.lives());
        listener.drain(drained, done);
        act(); // as in ban()
    }

    @Override
    public void close() throws IOException {
        thread.shutdownNow();
        if (folder != null) {
            folder.close();
        }
    }
}

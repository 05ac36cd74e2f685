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
 * Applies the state that the processes of one conductor share: the banned servers, whether the conductor is drained, and
 * which processes run and serve. Reads and writes that state on a thread of its own, every {@link #POLL_INTERVAL} and at
 * each command. Without a shared folder the state is that of this process alone.
 */
final class Handover implements Shared, AutoCloseable {
    /** Starts to listen at the clients' address. */
    interface Listen {
        void run() throws IOException;
    }

    /** Is told of changes that concern this process. */
    interface ChangeListener {
        /** The conductor has been drained, or the drain has been ended; {@code reply} gets false if a stop is under way. */
        void drain(boolean drained, Consumer<Boolean> done);

        /** Other processes of this conductor have started, begun to serve or ended. */
        void beside(Beside now);
    }

    /**
     * The position of this process among those of its conductor.
     *
     * @param another whether another process runs
     * @param succeeded whether a process started later is serving
     * @param part this process's share (0 to 1) of the work that the conductor may send to cold servers
     */
    record Beside(boolean another, boolean succeeded, double part) {
        static final Beside NONE = new Beside(false, false, 1);
    }

    private static final double LEAVING = 0.2; // share of cold-server work for a process that only finishes its requests

    private static final Logger LOG = Logger.getLogger(Handover.class.getName());
    private static final Duration LOOK = Duration.ofMillis(200);

    private final ScheduledThreadPoolExecutor thread =
            new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "operators"));
    private final Clock clock;
    private final BanActor bans;
    private final Path at; // null: nothing is shared
    private final String conductor;
    private SharedFolder folder; // null: nothing is shared, or the folder could not be opened yet
    private String complaint = "";
    private SharedState state;
    private SharedState acted = SharedState.EMPTY;
    private Beside beside = Beside.NONE;
    private Phase phase = Phase.STARTING; // the phase of this process, not counting that a successor makes it LEAVING
    private boolean stopping;
    private ChangeListener listener;

    /** Applies the bans that earlier processes left in the folder. {@code folderPath} null: nothing is shared. */
    Handover(Path at, String conductor, Clock clock, BanActor bans) {
        this.clock = clock;
        this.bans = bans;
        this.at = at;
        this.conductor = conductor;
        state = SharedState.EMPTY;
        open();
        bans.tell(new BanActor.Out(state.banned(), () -> {})); // before the server list arrives
    }

    /**
     * Opens the shared folder if it isn't open yet. Called until it succeeds, so that processes share their state again as
     * soon as a folder that was not writable for a while is writable.
     */
    private void open() {
        if (folder != null || at == null) {
            return;
        }
        try {
            SharedFolder opened = new SharedFolder(at, conductor, clock);
            opened.change(s -> s.merge(state)); // operators' commands from the meantime
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

    /** Starts applying what other processes write. */
    void begin(ChangeListener its) {
        listener = its;
        thread.execute(this::act);
        RegularTask.start(thread, LOOK, "polling the state shared with other processes", () -> {
            open();
            change(s -> s);
            act();
        });
    }

    /**
     * Calls {@code listen} until it succeeds, then marks this process as serving and runs {@code onServing}. Gives up when
     * the process stops.
     */
    void serve(Listen listen, Runnable serves) {
        thread.execute(() -> {
            if (stopping) {
                return;
            }
            try {
                if (folder != null && folder.succeeded()) {
                    throw new IOException("a process that started later is serving");
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

    /** Marks this process as leaving; completes with whether a process started later is serving. */
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
            LOG.info("banned servers: " + state.banned());
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
        act(); // this update may also have read commands given to another process, which later polls see no change in
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
        act(); // as in setBanned()
    }

    @Override
    public void close() throws IOException {
        thread.shutdownNow();
        if (folder != null) {
            folder.close();
        }
    }
}

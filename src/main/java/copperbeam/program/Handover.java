package copperbeam.program;

import copperbeam.handover.SharedState;
import copperbeam.handover.SharedState.Phase;
import copperbeam.operation.BanActor;
import copperbeam.operation.SharedControls;
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
final class Handover implements SharedControls, AutoCloseable {
    /** Starts to listen at the clients' address. */
    interface ListenAction {
        void run() throws IOException;
    }

    /** Is told of changes that concern this process. */
    interface ChangeListener {
        /** The conductor has been drained, or the drain has been ended; {@code reply} gets false if a stop is under way. */
        void drainChanged(boolean drained, Consumer<Boolean> reply);

        /** Other processes of this conductor have started, begun to serve or ended. */
        void processesChanged(Beside beside);
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

    private static final double LEAVING_SHARE =
            0.2; // share of cold-server work for a process that only finishes its requests

    private static final Logger LOG = Logger.getLogger(Handover.class.getName());
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    private final ScheduledThreadPoolExecutor executor =
            new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "operators"));
    private final Clock clock;
    private final BanActor bans;
    private final Path folderPath; // null: nothing is shared
    private final String conductor;
    private SharedFolder folder; // null: nothing is shared, or the folder could not be opened yet
    private String lastWarning = "";
    private SharedState state;
    private SharedState appliedState = SharedState.EMPTY;
    private Beside beside = Beside.NONE;
    private Phase ownPhase =
            Phase.STARTING; // the phase of this process, not counting that a successor makes it LEAVING
    private boolean stopping;
    private ChangeListener listener;

    /** Applies the bans that earlier processes left in the folder. {@code folderPath} null: nothing is shared. */
    Handover(Path folderPath, String conductor, Clock clock, BanActor bans) {
        this.clock = clock;
        this.bans = bans;
        this.folderPath = folderPath;
        this.conductor = conductor;
        state = SharedState.EMPTY;
        openFolder();
        bans.tell(new BanActor.SetBans(state.bannedServers(), () -> {})); // before the server list arrives
    }

    /**
     * Opens the shared folder if it isn't open yet. Called until it succeeds, so that processes share their state again as
     * soon as a folder that was not writable for a while is writable.
     */
    private void openFolder() {
        if (folder != null || folderPath == null) {
            return;
        }
        try {
            SharedFolder opened = new SharedFolder(folderPath, conductor, clock);
            opened.update(s -> s.merge(state)); // operators' commands from the meantime
            if (ownPhase != Phase.STARTING) {
                opened.setPhase(ownPhase);
            }
            folder = opened;
            state = opened.state();
            LOG.info("shared with other processes of this conductor: " + folderPath);
        } catch (IOException | RuntimeException e) {
            if (!e.toString().equals(lastWarning)) {
                lastWarning = e.toString();
                LOG.warning("nothing is shared with another process of this conductor yet: " + e);
            }
        }
    }

    ScheduledThreadPoolExecutor executor() {
        return executor;
    }

    /** Starts applying what other processes write. */
    void start(ChangeListener changeListener) {
        listener = changeListener;
        executor.execute(this::applyState);
        RegularTask.start(executor, POLL_INTERVAL, "polling the state shared with other processes", () -> {
            openFolder();
            update(s -> s);
            applyState();
        });
    }

    /**
     * Calls {@code listen} until it succeeds, then marks this process as serving and runs {@code onServing}. Gives up when
     * the process stops.
     */
    void startServing(ListenAction listen, Runnable onServing) {
        executor.execute(() -> {
            if (stopping) {
                return;
            }
            try {
                if (folder != null && folder.hasSuccessor()) {
                    throw new IOException("a process that started later is serving");
                }
                listen.run();
                ownPhase = Phase.SERVING;
                writePhase(ownPhase);
                onServing.run();
            } catch (IOException | RuntimeException | Error e) {
                LOG.warning("not in service yet: " + e.getMessage());
                executor.schedule(
                        () -> startServing(listen, onServing), POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            }
        });
    }

    /** Marks this process as leaving; completes with whether a process started later is serving. */
    CompletableFuture<Boolean> startLeaving() {
        return CompletableFuture.supplyAsync(
                () -> {
                    stopping = true;
                    writePhase(Phase.LEAVING);
                    return folder != null && folder.hasSuccessor();
                },
                executor);
    }

    private void writePhase(Phase phase) {
        if (folder != null) {
            folder.setPhase(phase);
            state = folder.state();
        }
    }

    private void update(UnaryOperator<SharedState> change) {
        if (folder == null) {
            state = change.apply(state);
        } else {
            folder.update(change);
            state = folder.state();
        }
    }

    private void applyState() {
        if (!state.bannedServers().equals(appliedState.bannedServers())) {
            LOG.info("banned servers: " + state.bannedServers());
            bans.tell(new BanActor.SetBans(state.bannedServers(), () -> {}));
        }
        if (state.drain().drained() != appliedState.drain().drained()) {
            listener.drainChanged(state.drain().drained(), accepted -> {});
        }
        appliedState = state;
        Beside current = folder == null ? Beside.NONE : folder.computeBeside(LEAVING_SHARE);
        if (!current.equals(beside)) {
            LOG.info("processes of this conductor: " + current);
            if (current.succeeded() != beside.succeeded() && !stopping) {
                writePhase(current.succeeded() ? Phase.LEAVING : ownPhase);
            }
            beside = current;
            listener.processesChanged(current);
        }
    }

    @Override
    public boolean isBanned(String server) {
        return state.isBanned(server);
    }

    @Override
    public void setBanned(String server, boolean banned, Runnable onApplied) {
        update(s -> s.withBan(server, banned, clock.instant()));
        appliedState = new SharedState(state.bans(), appliedState.drain(), appliedState.processes());
        bans.tell(new BanActor.SetBans(state.bannedServers(), onApplied));
        applyState(); // at once: the update may also have read commands that were given to another process
    }

    @Override
    public void setDrained(boolean drained, Consumer<Boolean> reply) {
        if (stopping) {
            reply.accept(false);
            return;
        }
        update(s -> s.withDrain(drained, clock.instant()));
        appliedState = new SharedState(appliedState.bans(), state.drain(), appliedState.processes());
        listener.drainChanged(drained, reply);
        applyState(); // as in setBanned()
    }

    @Override
    public void close() throws IOException {
        executor.shutdownNow();
        if (folder != null) {
            folder.close();
        }
    }
}

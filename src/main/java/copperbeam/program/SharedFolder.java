package copperbeam.program;

import copperbeam.handover.SharedState;
import copperbeam.handover.SharedState.Life;
import copperbeam.handover.SharedState.Phase;
import copperbeam.handover.StateCodec;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.logging.Logger;

/**
 * The files that the processes of one conductor share: {@code NAME.state}, replaced atomically, and {@code NAME.lock}, of
 * which each running process keeps one byte locked. If a file can't be read or written, one warning is logged and the
 * process continues with its own copy of the state. Not thread-safe.
 */
final class SharedFolder implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(SharedFolder.class.getName());
    private static final int SLOTS = 8;
    private static final int WRITING = 100; // byte of the lock file that is locked while the state file is replaced
    private static final int BEATING = 128; // offset of the last heartbeat in the lock file
    private static final Duration BEAT = Duration.ofSeconds(1);
    // a state file that no process has used for so long is ignored; a restart takes a few seconds
    static final Duration KEPT = Duration.ofSeconds(60);

    private final String conductor;
    private String incarnation;
    private final Clock clock;
    private final Path file;
    private final Path part;
    private final FileChannel channel;
    private final LastHeld lastHeld;
    private final FileLock own; // the operating system releases it however the process ends
    private SharedState state = SharedState.EMPTY;
    private Instant beat = Instant.MIN;
    private String complaint = "";

    /**
     * Registers this process in the shared state.
     *
     * @throws IOException if the folder can't be written to, or too many processes run
     */
    SharedFolder(Path folder, String conductor, Clock clock) throws IOException {
        this.conductor = conductor;
        this.clock = clock;
        String name = conductor.replaceAll("[^A-Za-z0-9._-]", "_");
        long pid = ProcessHandle.current().pid();
        incarnation = clock.instant().toEpochMilli() + "-" + pid;
        file = folder.resolve(name + ".state");
        part = folder.resolve(name + "." + pid + ".part");
        Path locks = folder.resolve(name + ".lock");
        channel = FileChannel.open(locks, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        lastHeld = new LastHeld(channel, BEATING);
        try {
            own = begin(Files.getLastModifiedTime(locks).toInstant());
        } catch (IOException | RuntimeException e) {
            channel.close(); // releases the lock too, as this process may try again
            throw e;
        }
    }

    private FileLock begin(Instant modified) throws IOException {
        FileLock lock = claim();
        if (lock == null) {
            throw new IOException("more than " + SLOTS + " processes of this conductor are running");
        }
        int slot = (int) lock.position();
        Duration unheld = lastHeld.ago().orElse(Duration.between(modified, clock.instant()));
        if (living(slot).size() == 1 && Files.exists(file) && unheld.compareTo(KEPT) > 0) {
            LOG.warning(file + " is not taken: no process has used it for " + unheld.toSeconds() + " s");
            Files.delete(file);
        }
        change(slot, s -> s.life(incarnation, new Life(afterAll(s), Phase.STARTING, slot)));
        return lock;
    }

    /**
     * The present time, or later if needed to be after the start of each known process: the wall clock may have stepped
     * back, and of two processes the one started later serves.
     */
    private Instant afterAll(SharedState known) {
        Instant now = clock.instant();
        return known.lives().values().stream()
                .map(life -> life.started().plusMillis(1))
                .filter(now::isBefore)
                .max(Instant::compareTo)
                .orElse(now);
    }

    private FileLock claim() throws IOException {
        for (int slot = 0; slot < SLOTS; slot++) {
            FileLock lock = lock(slot);
            if (lock != null) {
                return lock;
            }
        }
        return null;
    }

    /** Locks one byte of the lock file; null if another process, or another conductor in this process, holds it. */
    private FileLock lock(long at) throws IOException {
        try {
            return channel.tryLock(at, 1, false);
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    private Set<Integer> living(int ownSlot) throws IOException {
        Set<Integer> slots = new HashSet<>();
        for (int slot = 0; slot < SLOTS; slot++) {
            FileLock lock = slot == ownSlot ? null : lock(slot);
            if (lock == null) {
                slots.add(slot);
            } else {
                lock.release();
            }
        }
        return slots;
    }

    SharedState state() {
        return state;
    }

    /** Whether another process of this conductor runs. */
    boolean others() {
        return state.others(incarnation);
    }

    /** The position of this process; {@code leavingShare}: share of cold-server work for a process that has a successor. */
    Handover.Beside beside(double leaving) {
        boolean serving = false;
        boolean left = false;
        for (Map.Entry<String, Life> other : state.lives().entrySet()) {
            if (!other.getKey().equals(incarnation)) {
                serving |= other.getValue().phase() == Phase.SERVING;
                left |= other.getValue().phase() == Phase.LEAVING;
            }
        }
        double part = succeeded() ? leaving : serving ? 0.5 : left ? 1 - leaving : 1;
        return new Handover.Beside(others(), succeeded(), part);
    }

    /** Whether a process started later is serving. */
    boolean succeeded() {
        return state.successor(incarnation).isPresent();
    }

    /**
     * Sets the phase of this process. As a process in the shared state never returns to an earlier phase, going back adds it
     * under a new incarnation with the same start time and slot.
     */
    void phase(Phase phase) {
        Life before = state.lives().get(incarnation);
        if (phase.compareTo(before.phase()) < 0) {
            incarnation += "+";
        }
        change(s -> s.life(incarnation, new Life(before.started(), phase, before.slot())));
    }

    /** Merges what other processes have written, and writes back what they lack. */
    void look() {
        change(s -> s);
    }

    /** Applies a change to the state and writes it; any process that reads after this returns sees it. */
    void change(UnaryOperator<SharedState> change) {
        change((int) own.position(), change);
    }

    private void change(int ownSlot, UnaryOperator<SharedState> change) {
        FileLock writing = null;
        try {
            writing = writing();
            SharedState theirs = read();
            state = change.apply(state.merge(theirs)).living(living(ownSlot));
            if (!state.equals(theirs)) {
                Files.write(part, StateCodec.write(conductor, state, clock.instant()));
                Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            }
            if (beat.plus(BEAT).isBefore(clock.instant())) {
                beat = clock.instant();
                lastHeld.write();
            }
        } catch (IOException e) {
            state = change.apply(state);
            complain("cannot write the state shared with other processes: " + e);
        } finally {
            release(writing);
        }
    }

    /**
     * Waits up to 40 ms for the write lock. Null if another process holds it for longer; it may have been suspended, and
     * whatever it overwrites when it continues is restored by the next merge.
     */
    private FileLock writing() throws IOException {
        for (int i = 0; i < 20; i++) {
            FileLock lock = lock(WRITING);
            if (lock != null) {
                return lock;
            }
            try {
                Thread.sleep(2);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return null;
            }
        }
        return null;
    }

    private void release(FileLock lock) {
        try {
            if (lock != null) {
                lock.release();
            }
        } catch (IOException e) {
            complain("cannot release a lock: " + e);
        }
    }

    private SharedState read() throws IOException {
        try {
            SharedState read =
                    Files.exists(file) ? StateCodec.read(conductor, Files.readAllBytes(file)) : SharedState.EMPTY;
            complaint = "";
            return read;
        } catch (StateCodec.Refused e) {
            complain(file + " is not taken: " + e.getMessage());
            return SharedState.EMPTY;
        }
    }

    private void complain(String what) {
        if (!what.equals(complaint)) {
            complaint = what;
            LOG.warning(what);
        }
    }

    /** Releases the locks, so that other processes no longer count this one as running. */
    @Override
    public void close() throws IOException {
        channel.close();
    }
}

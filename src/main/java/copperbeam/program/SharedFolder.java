package copperbeam.program;

import copperbeam.handover.SharedState;
import copperbeam.handover.SharedState.Phase;
import copperbeam.handover.SharedState.ProcessInfo;
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
    private static final int LOCK_SLOTS = 8;
    private static final int WRITE_LOCK_POSITION =
            100; // byte of the lock file that is locked while the state file is replaced
    private static final int HEARTBEAT_POSITION = 128; // offset of the last heartbeat in the lock file
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);
    // a state file that no process has used for so long is ignored; a restart takes a few seconds
    static final Duration STATE_LIFETIME = Duration.ofSeconds(60);

    private final String conductor;
    private String incarnation;
    private final Clock clock;
    private final Path file;
    private final Path tempFile;
    private final FileChannel channel;
    private final HeartbeatEntry heartbeatEntry;
    private final FileLock ownLock; // the operating system releases it however the process ends
    private SharedState state = SharedState.EMPTY;
    private Instant lastHeartbeat = Instant.MIN;
    private String lastWarning = "";

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
        tempFile = folder.resolve(name + "." + pid + ".part");
        Path lockFile = folder.resolve(name + ".lock");
        channel = FileChannel.open(
                lockFile, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        heartbeatEntry = new HeartbeatEntry(channel, HEARTBEAT_POSITION);
        try {
            ownLock = register(Files.getLastModifiedTime(lockFile).toInstant());
        } catch (IOException | RuntimeException e) {
            channel.close(); // releases the lock too, as this process may try again
            throw e;
        }
    }

    private FileLock register(Instant lockFileModified) throws IOException {
        FileLock lock = claimSlot();
        if (lock == null) {
            throw new IOException("more than " + LOCK_SLOTS + " processes of this conductor are running");
        }
        int slot = (int) lock.position();
        Duration unusedFor = heartbeatEntry.age().orElse(Duration.between(lockFileModified, clock.instant()));
        if (heldSlots(slot).size() == 1 && Files.exists(file) && unusedFor.compareTo(STATE_LIFETIME) > 0) {
            LOG.warning(file + " is not taken: no process has used it for " + unusedFor.toSeconds() + " s");
            Files.delete(file);
        }
        update(slot, s -> s.withProcess(incarnation, new ProcessInfo(startTimeAfter(s), Phase.STARTING, slot)));
        return lock;
    }

    /**
     * The present time, or later if needed to be after the start of each known process: the wall clock may have stepped
     * back, and of two processes the one started later serves.
     */
    private Instant startTimeAfter(SharedState known) {
        Instant now = clock.instant();
        return known.processes().values().stream()
                .map(process -> process.startedAt().plusMillis(1))
                .filter(now::isBefore)
                .max(Instant::compareTo)
                .orElse(now);
    }

    private FileLock claimSlot() throws IOException {
        for (int slot = 0; slot < LOCK_SLOTS; slot++) {
            FileLock lock = tryLock(slot);
            if (lock != null) {
                return lock;
            }
        }
        return null;
    }

    /** Locks one byte of the lock file; null if another process, or another conductor in this process, holds it. */
    private FileLock tryLock(long position) throws IOException {
        try {
            return channel.tryLock(position, 1, false);
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    private Set<Integer> heldSlots(int ownSlot) throws IOException {
        Set<Integer> slots = new HashSet<>();
        for (int slot = 0; slot < LOCK_SLOTS; slot++) {
            FileLock lock = slot == ownSlot ? null : tryLock(slot);
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
    boolean hasOtherProcesses() {
        return state.hasOthers(incarnation);
    }

    /** The position of this process; {@code leavingShare}: share of cold-server work for a process that has a successor. */
    Handover.Beside computeBeside(double leavingShare) {
        boolean otherServes = false;
        boolean otherLeaves = false;
        for (Map.Entry<String, ProcessInfo> other : state.processes().entrySet()) {
            if (!other.getKey().equals(incarnation)) {
                otherServes |= other.getValue().phase() == Phase.SERVING;
                otherLeaves |= other.getValue().phase() == Phase.LEAVING;
            }
        }
        double share = hasSuccessor() ? leavingShare : otherServes ? 0.5 : otherLeaves ? 1 - leavingShare : 1;
        return new Handover.Beside(hasOtherProcesses(), hasSuccessor(), share);
    }

    /** Whether a process started later is serving. */
    boolean hasSuccessor() {
        return state.successor(incarnation).isPresent();
    }

    /**
     * Sets the phase of this process. As a process in the shared state never returns to an earlier phase, going back adds it
     * under a new incarnation with the same start time and slot.
     */
    void setPhase(Phase phase) {
        ProcessInfo before = state.processes().get(incarnation);
        if (phase.compareTo(before.phase()) < 0) {
            incarnation += "+";
        }
        update(s -> s.withProcess(incarnation, new ProcessInfo(before.startedAt(), phase, before.lockSlot())));
    }

    /** Merges what other processes have written, and writes back what they lack. */
    void refresh() {
        update(s -> s);
    }

    /** Applies a change to the state and writes it; any process that reads after this returns sees it. */
    void update(UnaryOperator<SharedState> change) {
        update((int) ownLock.position(), change);
    }

    private void update(int ownSlot, UnaryOperator<SharedState> change) {
        FileLock writeLock = null;
        try {
            writeLock = acquireWriteLock();
            SharedState stored = readFile();
            state = change.apply(state.merge(stored)).withoutDead(heldSlots(ownSlot));
            if (!state.equals(stored)) {
                Files.write(tempFile, StateCodec.encode(conductor, state, clock.instant()));
                Files.move(tempFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            }
            if (lastHeartbeat.plus(HEARTBEAT_INTERVAL).isBefore(clock.instant())) {
                lastHeartbeat = clock.instant();
                heartbeatEntry.write();
            }
        } catch (IOException e) {
            state = change.apply(state);
            warnOnce("cannot write the state shared with other processes: " + e);
        } finally {
            release(writeLock);
        }
    }

    /**
     * Waits up to 40 ms for the write lock. Null if another process holds it for longer; it may have been suspended, and
     * whatever it overwrites when it continues is restored by the next merge.
     */
    private FileLock acquireWriteLock() throws IOException {
        for (int i = 0; i < 20; i++) {
            FileLock lock = tryLock(WRITE_LOCK_POSITION);
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
            warnOnce("cannot release a lock: " + e);
        }
    }

    private SharedState readFile() throws IOException {
        try {
            SharedState stored =
                    Files.exists(file) ? StateCodec.decode(conductor, Files.readAllBytes(file)) : SharedState.EMPTY;
            lastWarning = "";
            return stored;
        } catch (StateCodec.InvalidStateException e) {
            warnOnce(file + " is not taken: " + e.getMessage());
            return SharedState.EMPTY;
        }
    }

    private void warnOnce(String warning) {
        if (!warning.equals(lastWarning)) {
            lastWarning = warning;
            LOG.warning(warning);
        }
    }

    /** Releases the locks, so that other processes no longer count this one as running. */
    @Override
    public void close() throws IOException {
        channel.close();
    }
}

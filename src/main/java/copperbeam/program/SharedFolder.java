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
 * The files by which the processes of one conductor know of each other: {@code NAME.state}, replaced whole, and
 * {@code NAME.lock}, of which each living process holds one byte. On one thread. What can't be read or written is said in
 * the log once, and the process goes on by itself.
 */
final class SharedFolder implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(SharedFolder.class.getName());
    private static final int SLOTS = 8;
    private static final int WRITING = 100; // the byte that whoever writes holds
    private static final int BEATING = 128; // where the last beat is written
    private static final Duration BEAT = Duration.ofSeconds(1);
    static final Duration KEPT = Duration.ofSeconds(60); // since anybody lived here; a restart takes a few

    private final String conductor;
    private String incarnation;
    private final Clock clock;
    private final Path file;
    private final Path part;
    private final FileChannel channel;
    private final LastHeld lastHeld;
    private final FileLock own; // held for life: the system lets go of it whatever ends the process
    private SharedState state = SharedState.EMPTY;
    private Instant beat = Instant.MIN;
    private String complaint = "";

    /** Fails where the folder can't be written to. */
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
            channel.close(); // and with it the lock: this process may try again
            throw e;
        }
    }

    private FileLock begin(Instant modified) throws IOException {
        FileLock lock = claim();
        if (lock == null) {
            throw new IOException("more than " + SLOTS + " processes of this conductor live");
        }
        int slot = (int) lock.position();
        Duration unheld = lastHeld.ago().orElse(Duration.between(modified, clock.instant()));
        if (living(slot).size() == 1 && Files.exists(file) && unheld.compareTo(KEPT) > 0) {
            LOG.warning(file + " is not taken: nobody has held it for " + unheld.toSeconds() + " s");
            Files.delete(file);
        }
        change(slot, s -> s.life(incarnation, new Life(afterAll(s), Phase.STARTING, slot)));
        return lock;
    }

    /** Later than the start of each process known: the wall clock may have stepped back since, and the later start serves. */
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

    /** Null where it is held, by another process or by another conductor of this one. */
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

    /** Whether another process of this conductor lives. */
    boolean others() {
        return state.others(incarnation);
    }

    /** {@code leaving}: the part of a process in whose place another serves. */
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

    /** Whether one that started later serves. */
    boolean succeeded() {
        return state.successor(incarnation).isPresent();
    }

    /** Back too, as no life goes: the process goes on as a later one of the same start and slot. */
    void phase(Phase phase) {
        Life before = state.lives().get(incarnation);
        if (phase.compareTo(before.phase()) < 0) {
            incarnation += "+";
        }
        change(s -> s.life(incarnation, new Life(before.started(), phase, before.slot())));
    }

    /** Takes in what others have written and writes what they lack. */
    void look() {
        change(s -> s);
    }

    /** What was written before this returns is found by whoever reads after it. */
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
            complain("what is shared with an upgrade's other process can't be written: " + e);
        } finally {
            release(writing);
        }
    }

    /** Null where another holds it for long: it may have been stopped, and what it then overwrites is mended. */
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
            complain("a lock can't be let go: " + e);
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

    /** Another's part of the address begins here: the process is gone from the list of the living. */
    @Override
    public void close() throws IOException {
        channel.close();
    }
}

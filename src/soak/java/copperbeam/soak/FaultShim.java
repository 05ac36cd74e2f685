package copperbeam.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.Map;

/**
 * Controls the wall clock and the system calls of one process under test while it runs. The process preloads a shared library
 * ({@code src/soak/c/fault_shim.c}), which takes its instructions from a control file that both processes map. The slots below have the
 * same layout as in that library.
 */
public final class FaultShim {
    private static final Path SOURCE = Path.of("src", "soak", "c", "fault_shim.c");
    private static final int SLOT_BYTES = Long.BYTES;
    private static final int CLOCK_OFFSET_NS = 0;
    private static final int SHORT_IO_BYTES = 1;
    private static final int SIGNAL_AT_LISTEN = 2;
    private static final int FAULTS = 8; // the first slot of the faults
    // slots per fault: error number, failures left, failures so far, calls to let pass first
    private static final int SLOTS_PER_FAULT = 4;
    private static final int SIZE_BYTES = SLOT_BYTES * (FAULTS + SLOTS_PER_FAULT * Fault.values().length);
    private static Path library;

    private final Path control;
    private final MappedByteBuffer slots;

    /** Creates the control file in {@code folder}. */
    public FaultShim(Path folder) throws IOException {
        control = Files.createTempFile(folder, "shim", ".control");
        Files.write(control, new byte[SIZE_BYTES]);
        try (FileChannel channel = FileChannel.open(control, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            slots = channel.map(FileChannel.MapMode.READ_WRITE, 0, SIZE_BYTES);
        }
        slots.order(ByteOrder.nativeOrder());
    }

    /** Sets the environment variables by which a new process loads the library and finds this control file. */
    public void preload(Map<String, String> environment) throws IOException {
        environment.put("LD_PRELOAD", library().toString());
        environment.put("FAULT_SHIM_CONTROL", control.toString());
    }

    /** The shared library, compiled by the system's C compiler at its first use. */
    private static synchronized Path library() throws IOException {
        if (library == null) {
            Path libraryFile = Files.createTempDirectory("shim").resolve("fault_shim.so");
            Process compiler = new ProcessBuilder(
                            "cc",
                            "-O1",
                            "-Wall",
                            "-Werror",
                            "-shared",
                            "-fPIC",
                            "-o",
                            libraryFile.toString(),
                            SOURCE.toString(),
                            "-ldl")
                    .inheritIO()
                    .start();
            try {
                if (compiler.waitFor() != 0) {
                    throw new IOException("the C compiler failed on " + SOURCE);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
            library = libraryFile;
        }
        return library;
    }

    private void putSlot(int slot, long value) {
        slots.putLong(SLOT_BYTES * slot, value);
    }

    /** Sets the process's wall clock ahead of the system's by this from now on; its monotonic clock is unaffected. */
    public void setClockOffset(Duration ahead) {
        putSlot(CLOCK_OFFSET_NS, ahead.toNanos());
    }

    /** Limits each read from and write to a socket to so many bytes from now on; 0: no limit. */
    public void limitSocketIo(int bytes) {
        putSlot(SHORT_IO_BYTES, bytes);
    }

    /** Makes the process send itself this signal at its next {@code listen} call. */
    public void signalAtListen(int signalNumber) {
        putSlot(SIGNAL_AT_LISTEN, signalNumber);
    }

    /** Makes the next {@code times} calls fail with this error number; 0: none. */
    public void fail(Fault fault, int errorNumber, long times) {
        int slot = FAULTS + SLOTS_PER_FAULT * fault.ordinal();
        putSlot(slot, errorNumber);
        putSlot(slot + 1, times);
    }

    /** Lets the next {@code spared} calls pass and makes all later ones fail with this error number. */
    public void failAfter(Fault fault, int errorNumber, long spared) {
        failAfter(fault, errorNumber, spared, Long.MAX_VALUE);
    }

    /** Lets the next {@code spared} calls pass and makes the {@code times} calls after them fail with this error number. */
    public void failAfter(Fault fault, int errorNumber, long spared, long times) {
        fail(fault, errorNumber, times);
        putSlot(FAULTS + SLOTS_PER_FAULT * fault.ordinal() + 3, spared);
    }

    /** The number of calls that the library has made fail so far. */
    public long failedCount(Fault fault) {
        return slots.getLong(SLOT_BYTES * (FAULTS + SLOTS_PER_FAULT * fault.ordinal() + 2));
    }

    /** Deletes the control file; a process that has mapped it keeps its mapping. */
    public void delete() {
        try {
            Files.deleteIfExists(control);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

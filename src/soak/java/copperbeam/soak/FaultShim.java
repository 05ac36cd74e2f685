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
 * The clock and the system calls of one process under test, steered from here while it runs: a library of our own that
 * is preloaded into it ({@code src/soak/c/fault_shim.c}) reads a file that both map.
 */
public final class FaultShim {
    private static final Path SOURCE = Path.of("src", "soak", "c", "fault_shim.c");
    private static final int PLACE = Long.BYTES;
    private static final int CLOCK_OFFSET_NS = 0;
    private static final int SHORT_IO_BYTES = 1;
    private static final int SIGNAL_AT_LISTEN = 2;
    private static final int FAULTS = 8;
    private static final int FAULT_PLACES = 4;
    private static final int SIZE = PLACE * (FAULTS + FAULT_PLACES * Fault.values().length);
    private static Path library;

    private final Path control;
    private final MappedByteBuffer places;

    /** {@code folder}: where its control file is kept. */
    public FaultShim(Path folder) throws IOException {
        control = Files.createTempFile(folder, "shim", ".control");
        Files.write(control, new byte[SIZE]);
        try (FileChannel channel = FileChannel.open(control, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            places = channel.map(FileChannel.MapMode.READ_WRITE, 0, SIZE);
        }
        places.order(ByteOrder.nativeOrder());
    }

    /** Puts the library and this control file into a process's environment. */
    public void preload(Map<String, String> environment) throws IOException {
        environment.put("LD_PRELOAD", library().toString());
        environment.put("FAULT_SHIM_CONTROL", control.toString());
    }

    /** Built once for this process by the system's C compiler. */
    private static synchronized Path library() throws IOException {
        if (library == null) {
            Path built = Files.createTempDirectory("shim").resolve("fault_shim.so");
            Process compiler = new ProcessBuilder(
                            "cc",
                            "-O1",
                            "-Wall",
                            "-Werror",
                            "-shared",
                            "-fPIC",
                            "-o",
                            built.toString(),
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
            library = built;
        }
        return library;
    }

    private void put(int place, long value) {
        places.putLong(PLACE * place, value);
    }

    /** From now on the wall clock is ahead by this; the monotonic one is not touched. */
    public void clockOffset(Duration ahead) {
        put(CLOCK_OFFSET_NS, ahead.toNanos());
    }

    /** From now on at most so many bytes in each read or write of a socket; 0: as many as there are. */
    public void shortIo(int bytes) {
        put(SHORT_IO_BYTES, bytes);
    }

    /** The process sends itself this signal once it first listens. */
    public void signalAtListen(int number) {
        put(SIGNAL_AT_LISTEN, number);
    }

    /** The next {@code times} calls fail with this error number; 0: none any more. */
    public void fail(Fault fault, int errorNumber, long times) {
        int place = FAULTS + FAULT_PLACES * fault.ordinal();
        put(place, errorNumber);
        put(place + 1, times);
    }

    /** Of the calls after the next {@code survived} all fail with this error number. */
    public void failAfter(Fault fault, int errorNumber, long survived) {
        failAfter(fault, errorNumber, survived, Long.MAX_VALUE);
    }

    /** Of the calls after the next {@code survived} so many fail with this error number. */
    public void failAfter(Fault fault, int errorNumber, long survived, long times) {
        fail(fault, errorNumber, times);
        put(FAULTS + FAULT_PLACES * fault.ordinal() + 3, survived);
    }

    /** How many calls have failed so. */
    public long failed(Fault fault) {
        return places.getLong(PLACE * (FAULTS + FAULT_PLACES * fault.ordinal() + 2));
    }

    /** Forgets the control file; the process that has mapped it keeps its own view. */
    public void delete() {
        try {
            Files.deleteIfExists(control);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

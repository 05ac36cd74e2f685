package copperbeam.transport;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** The file descriptors of this process, as Linux tells of them. */
public final class ProcessDescriptors {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final File OPEN = new File("/proc/self/fd");

    private ProcessDescriptors() {}

    /** What the system lets this process have; the largest number where it does not tell. */
    public static int limit() {
        try (Stream<String> lines = Files.lines(LIMITS)) {
            return lines.filter(l -> l.startsWith("Max open files"))
                    .map(l -> l.split("\\s+")[3])
                    .filter(n -> n.matches("[0-9]{1,9}"))
                    .mapToInt(Integer::parseInt)
                    .findFirst()
                    .orElse(Integer.MAX_VALUE);
        } catch (IOException | UncheckedIOException e) {
            return Integer.MAX_VALUE;
        }
    }

    /** How many are open; the largest number where none is left to count with. */
    static int open() {
        String[] all = OPEN.list();
        return all == null ? Integer.MAX_VALUE : all.length;
    }
}

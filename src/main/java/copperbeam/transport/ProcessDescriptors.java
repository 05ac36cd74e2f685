package copperbeam.transport;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** The limit on and the number of this process's file descriptors, from Linux's /proc. */
public final class ProcessDescriptors {
    private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
    private static final File DESCRIPTOR_DIRECTORY = new File("/proc/self/fd");

    private ProcessDescriptors() {}

    /** The soft limit on open descriptors; {@code Integer.MAX_VALUE} if it is unlimited or can't be read. */
    public static int limit() {
        try (Stream<String> lines = Files.lines(LIMITS_FILE)) {
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

    /** The number of open descriptors; {@code Integer.MAX_VALUE} if none is left to read the directory with. */
    static int openCount() {
        String[] names = DESCRIPTOR_DIRECTORY.list();
        return names == null ? Integer.MAX_VALUE : names.length;
    }
}

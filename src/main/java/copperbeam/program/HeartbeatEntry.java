package copperbeam.program;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * The time at which a process last used a shared file, stored in that file. Uses the machine's monotonic clock, which is
 * the same for all processes and is not affected by steps of the wall clock. As that clock restarts when the machine
 * boots, each entry also holds a hash of the boot id.
 */
final class HeartbeatEntry {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
    private static final int UNKNOWN_BOOT = 0;

    private final FileChannel channel;
    private final long position;
    private final int bootHash;

    /**
     * @param channel open for reading and writing
     * @param position offset of the entry in the file, in bytes
     */
    HeartbeatEntry(FileChannel channel, long position) {
        this.channel = channel;
        this.position = position;
        bootHash = readBootHash();
    }

    private static int readBootHash() {
        try {
            return Files.readString(BOOT_ID).strip().hashCode();
        } catch (IOException e) {
            return UNKNOWN_BOOT; // the operating system has no boot id
        }
    }

    /**
     * Stores the present time. Uses only the given channel: if this process opened and closed another descriptor of the
     * file, it would lose all its locks on it.
     */
    void write() throws IOException {
        ByteBuffer entry = ByteBuffer.allocate(Long.BYTES + Integer.BYTES);
        entry.putLong(System.nanoTime()).putInt(bootHash).flip();
        channel.write(entry, position);
    }

    /** Time since the last {@link #write} of any process; empty if there was none since the machine booted. */
    Optional<Duration> age() throws IOException {
        ByteBuffer entry = ByteBuffer.allocate(Long.BYTES + Integer.BYTES);
        if (channel.read(entry, position) < entry.capacity()
                || bootHash == UNKNOWN_BOOT
                || entry.getInt(Long.BYTES) != bootHash) {
            return Optional.empty();
        }
        long nanos = System.nanoTime() - entry.getLong(0);
        return nanos < 0 ? Optional.empty() : Optional.of(Duration.ofNanos(nanos));
    }
}

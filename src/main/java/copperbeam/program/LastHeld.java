package copperbeam.program;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * When a process last held a shared file, written into that file by the machine's monotonic clock, which all processes
 * share and which no step of the wall clock changes. It says nothing once the machine has started anew, so that each
 * entry names the start it belongs to.
 */
final class LastHeld {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
    private static final int NO_BOOT = 0;

    private final FileChannel channel;
    private final long position;
    private final int boot;

    /** {@code channel}: for reading and writing; {@code position}: of the entry. */
    LastHeld(FileChannel channel, long position) {
        this.channel = channel;
        this.position = position;
        boot = boot();
    }

    private static int boot() {
        try {
            return Files.readString(BOOT_ID).strip().hashCode();
        } catch (IOException e) {
            return NO_BOOT; // a system that does not tell
        }
    }

    /** Through this channel alone: whoever closes another descriptor of the file loses all locks held there. */
    void write() throws IOException {
        ByteBuffer entry = ByteBuffer.allocate(Long.BYTES + Integer.BYTES);
        entry.putLong(System.nanoTime()).putInt(boot).flip();
        channel.write(entry, position);
    }

    /** How long ago that was; empty where the entry is none of this machine's present start. */
    Optional<Duration> ago() throws IOException {
        ByteBuffer entry = ByteBuffer.allocate(Long.BYTES + Integer.BYTES);
        if (channel.read(entry, position) < entry.capacity() || boot == NO_BOOT || entry.getInt(Long.BYTES) != boot) {
            return Optional.empty();
        }
        long nanos = System.nanoTime() - entry.getLong(0);
        return nanos < 0 ? Optional.empty() : Optional.of(Duration.ofNanos(nanos));
    }
}

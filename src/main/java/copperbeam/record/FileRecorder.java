package copperbeam.record;

import copperbeam.record.wire.Event;
import copperbeam.record.wire.Header;
import copperbeam.routing.Recorder;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.logging.Logger;

/**
 * Keeps the latest events in a {@link Ring}; writes them to a file, on its own thread, on request or when a rule of
 * {@code RequestRules} has been broken.
 */
public final class FileRecorder implements Recorder {
    private static final Logger LOG = Logger.getLogger(FileRecorder.class.getName());
    private static final Duration RULE_WRITE_INTERVAL =
            Duration.ofSeconds(60); // minimum between files written for broken rules
    static final int FORMAT_VERSION = 1;

    private final Clock clock;
    private final Path file;
    private final String name;
    private final Instant startedAt;
    private final Ring ring;
    private final ScheduledExecutorService scheduler;
    private final ExecutorService writerExecutor = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "recorder");
        thread.setDaemon(true);
        return thread;
    });
    private Instant lastRuleWrite;

    /**
     * @param scheduler runs the actors' thread, on which {@link #note} is called
     * @param bytes memory for events, at least 256
     */
    public FileRecorder(ScheduledExecutorService scheduler, Clock clock, String name, Path file, int bytes) {
        this.scheduler = scheduler;
        this.clock = clock;
        this.name = name;
        this.file = file;
        startedAt = clock.instant();
        ring = new Ring(bytes);
    }

    @Override
    public void note(EventType type, long request, int attempt, String server, String text, Duration duration) {
        Event.Builder event = Event.newBuilder()
                .setAtMicros(micros(Duration.between(startedAt, clock.instant())))
                .setWhatValue(type.ordinal() + 1)
                .setRequest(request)
                .setAttempt(attempt);
        if (server != null) {
            event.setServer(server);
        }
        if (text != null) {
            event.setText(text);
        }
        if (duration != null) {
            event.setSpanMicros(micros(duration));
        }
        ring.add(event.build());
        if (type == EventType.RULE
                && (lastRuleWrite == null
                        || lastRuleWrite.plus(RULE_WRITE_INTERVAL).isBefore(clock.instant()))) {
            lastRuleWrite = clock.instant();
            write(ring.contents(), ring.lost(), new CompletableFuture<>());
        }
    }

    private static long micros(Duration duration) {
        return duration.isNegative() ? 0 : duration.toNanos() / 1000;
    }

    /** Writes the file. Thread-safe. Completes with true once the file is written, with false if that failed. */
    public CompletableFuture<Boolean> dump() {
        CompletableFuture<Boolean> written = new CompletableFuture<>();
        scheduler.execute(() -> write(ring.contents(), ring.lost(), written));
        return written;
    }

    private void write(byte[] events, long lost, CompletableFuture<Boolean> written) {
        Header header = Header.newBuilder()
                .setFormat(FORMAT_VERSION)
                .setName(name)
                .setLost(lost)
                .setStartedMicros(startedAt.getEpochSecond() * 1_000_000 + startedAt.getNano() / 1000)
                .build();
        writerExecutor.execute(() -> {
            Path tempFile = file.resolveSibling(file.getFileName() + ".part");
            try {
                try (OutputStream out = Files.newOutputStream(tempFile)) {
                    header.writeDelimitedTo(out);
                    out.write(events);
                }
                // replaced in one step, as somebody may be reading the previous file
                Files.move(tempFile, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                LOG.info("recorded to " + file);
                written.complete(true);
            } catch (IOException e) {
                LOG.warning("cannot record to " + file + ": " + e);
                written.complete(false);
            }
        });
    }
}

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

/** Keeps the latest events in a {@link Ring}; writes them to a file on request or at a broken rule, on its own thread. */
public final class FileRecorder implements Recorder {
    private static final Logger LOG = Logger.getLogger(FileRecorder.class.getName());
    private static final Duration BREACHES = Duration.ofSeconds(60); // minimum between files written for broken rules
    static final int FORMAT = 1;

    private final Clock clock;
    private final Path file;
    private final String name;
    private final Instant started;
    private final Ring ring;
    private final ScheduledExecutorService turns;
    private final ExecutorService disk = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "recorder");
        thread.setDaemon(true);
        return thread;
    });
    private Instant breached;

    /**
     * @param scheduler runs the actors' thread, on which {@link #note} is called
     * @param bytes memory for events, at least 256
     */
    public FileRecorder(ScheduledExecutorService turns, Clock clock, String name, Path file, int bytes) {
        this.turns = turns;
        this.clock = clock;
        this.name = name;
        this.file = file;
        started = clock.instant();
        ring = new Ring(bytes);
    }

    @Override
    public void note(What what, long request, int attempt, String server, String text, Duration span) {
        Event.Builder event = Event.newBuilder()
                .setAtMicros(micros(Duration.between(started, clock.instant())))
                .setWhatValue(what.ordinal() + 1)
                .setRequest(request)
                .setAttempt(attempt);
        if (server != null) {
            event.setServer(server);
        }
        if (text != null) {
            event.setText(text);
        }
        if (span != null) {
            event.setSpanMicros(micros(span));
        }
        ring.add(event.build());
        if (what == What.RULE && (breached == null || breached.plus(BREACHES).isBefore(clock.instant()))) {
            breached = clock.instant();
            write(ring.copy(), ring.lost(), new CompletableFuture<>());
        }
    }

    private static long micros(Duration span) {
        return span.isNegative() ? 0 : span.toNanos() / 1000;
    }

    /** Writes the file. Thread-safe. Completes with true once the file is written, with false if that failed. */
    public CompletableFuture<Boolean> dump() {
        CompletableFuture<Boolean> written = new CompletableFuture<>();
        turns.execute(() -> write(ring.copy(), ring.lost(), written));
        return written;
    }

    private void write(byte[] events, long lost, CompletableFuture<Boolean> written) {
        Header header = Header.newBuilder()
                .setFormat(FORMAT)
                .setName(name)
                .setLost(lost)
                .setStartedMicros(started.getEpochSecond() * 1_000_000 + started.getNano() / 1000)
                .build();
        disk.execute(() -> {
            Path part = file.resolveSibling(file.getFileName() + ".part");
            try {
                try (OutputStream out = Files.newOutputStream(part)) {
                    header.writeDelimitedTo(out);
                    out.write(events);
                }
                // replaced in one step, as somebody may be reading the previous file
                Files.move(part, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                LOG.info("recorded to " + file);
                written.complete(true);
            } catch (IOException e) {
                LOG.warning("cannot record to " + file + ": " + e);
                written.complete(false);
            }
        });
    }
}

package copperbeam.record;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import copperbeam.record.wire.Event;
import copperbeam.record.wire.What;
import copperbeam.routing.Recorder;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** The ring buffer, the recorder's file and its explanation. */
public class RecorderTest {
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();

    @AfterClass
    public void shutDown() {
        scheduler.shutdownNow();
    }

    /** Compares the ring with a list of all added messages: it keeps the latest ones complete, filling at least half of it. */
    @Test
    public void theRingKeepsTheLatestMessages() throws Exception {
        Random random = new Random(3);
        for (int run = 0; run < 200; run++) {
            int bytes = 256 + random.nextInt(2000);
            Ring ring = new Ring(bytes);
            Deque<Event> all = new ArrayDeque<>();
            int added = 0;
            for (int i = random.nextInt(300); i > 0; i--) {
                Event event = Event.newBuilder()
                        .setAtMicros(i)
                        .setText("x".repeat(random.nextInt(60)))
                        .build();
                ring.add(event);
                all.addLast(event);
                added++;
            }
            List<Event> held = new ArrayList<>();
            ByteArrayInputStream in = new ByteArrayInputStream(ring.contents());
            for (Event event = Event.parseDelimitedFrom(in); event != null; event = Event.parseDelimitedFrom(in)) {
                held.add(event);
            }
            assertEquals(ring.lost() + held.size(), added);
            Iterator<Event> expected = all.descendingIterator();
            for (int i = held.size() - 1; i >= 0; i--) {
                assertEquals(held.get(i), expected.next());
            }
            assertTrue(ring.contents().length <= bytes);
            assertTrue(
                    ring.lost() == 0 || ring.contents().length > bytes / 2 - 70,
                    "less than half of the ring is in use");
        }
    }

    @Test
    public void aMessageLargerThanHalfTheRingIsLost() {
        Ring ring = new Ring(256);
        ring.add(Event.newBuilder().setText("x".repeat(200)).build());
        assertEquals(ring.lost(), 1);
        assertEquals(ring.contents().length, 0);
        assertThrows(IllegalArgumentException.class, () -> new Ring(255));
    }

    /** The file format has the same event types as the interface, in the same order. */
    @Test
    public void theFileFormatHasTheSameEventTypes() {
        for (Recorder.EventType type : Recorder.EventType.values()) {
            assertEquals(What.forNumber(type.ordinal() + 1).name(), type.name());
        }
    }

    private static void noteRequest(Recorder recorder, long request, String id, Recorder.EventType end, String reason) {
        recorder.note(Recorder.EventType.ARRIVED, request, 0, null, id + " ask s1 500", Duration.ofSeconds(4));
        recorder.note(Recorder.EventType.ATTEMPT, request, 0, "r1", "HOME", Duration.ofSeconds(4));
        recorder.note(Recorder.EventType.CONNECTION, request, 0, "r1", "kept", Duration.ofMillis(40));
        recorder.note(Recorder.EventType.ENDED, request, 0, "r1", "RESET", Duration.ofMillis(10));
        recorder.note(end, request, 0, null, reason, null);
    }

    private static String explain(Path file, java.util.function.Consumer<Explain> printer) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        printer.accept(new Explain(Recording.read(file), new PrintStream(out, true, StandardCharsets.UTF_8)));
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    public void aRecordingShowsRequestsAndCauses() throws Exception {
        Path file = Files.createTempDirectory("recorder").resolve("log");
        FileRecorder recorder =
                new FileRecorder(scheduler, Clock.fixed(Instant.EPOCH, ZoneOffset.UTC), "n3", file, 8192);
        scheduler
                .submit(() -> {
                    noteRequest(recorder, 1, "one", Recorder.EventType.REFUSED, "NO_TIME");
                    noteRequest(recorder, 2, "two", Recorder.EventType.REFUSED, "NO_TIME");
                    noteRequest(recorder, 3, "three", Recorder.EventType.SERVED, null);
                })
                .get();
        assertTrue(recorder.dump().get(10, TimeUnit.SECONDS));
        String causes = explain(file, Explain::printCauses);
        assertTrue(causes.contains("       2        0.0  ask, refused, NO_TIME, RESET\n"), causes);
        assertTrue(causes.contains("       1        0.0  ask, served, -, RESET\n"), causes);
        assertTrue(causes.contains("       3       10.0  read, kept, RESET\n"), causes);
        String secondRequest = explain(file, e -> assertTrue(e.printRequest("two")));
        assertTrue(
                secondRequest.startsWith("request two ask s1 500, number 2, from 1970-01-01T00:00:00Z\n"),
                secondRequest);
        assertTrue(secondRequest.contains("connection attempt 0 r1 kept (40.000 ms)\n"), secondRequest);
        assertEquals(explain(file, e -> assertFalse(e.printRequest("four"))), "");

        // truncated within the last event, as on a full disk
        byte[] whole = Files.readAllBytes(file);
        Files.write(file, java.util.Arrays.copyOf(whole, whole.length - 3));
        assertEquals(Recording.read(file).events().size(), 14);
        Files.writeString(file, "something else");
        assertThrows(IOException.class, () -> Recording.read(file));
    }

    /** A broken rule makes the recorder write its file at once, but at most once a minute. */
    @Test
    public void aBrokenRuleIsWrittenAtOnce() throws Exception {
        Path file = Files.createTempDirectory("recorder").resolve("log");
        FileRecorder recorder =
                new FileRecorder(scheduler, Clock.fixed(Instant.EPOCH, ZoneOffset.UTC), "n3", file, 8192);
        scheduler
                .submit(() -> {
                    for (int i = 1; i < 9; i++) {
                        recorder.note(Recorder.EventType.RULE, i, 0, null, "late", null);
                    }
                })
                .get();
        long deadlineNanos = System.nanoTime() + 10_000_000_000L;
        while (!Files.exists(file) && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
        assertEquals(Recording.read(file).events().size(), 1, "only the first event makes it write within a minute");
    }

    @Test
    public void aMissingFolderIsReported() throws Exception {
        FileRecorder recorder = new FileRecorder(scheduler, Clock.systemUTC(), "n3", Path.of("/nowhere/log"), 8192);
        assertFalse(recorder.dump().get(10, TimeUnit.SECONDS));
    }
}

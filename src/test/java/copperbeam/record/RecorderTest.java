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
    private final ScheduledExecutorService turns = Executors.newSingleThreadScheduledExecutor();

    @AfterClass
    public void end() {
        turns.shutdownNow();
    }

    /** Compares the ring with a list of all added messages: it keeps the latest ones complete, filling at least half of it. */
    @Test
    public void theRingHoldsTheEndOfWhatWasAdded() throws Exception {
        Random random = new Random(3);
        for (int run = 0; run < 200; run++) {
            int bytes = 256 + random.nextInt(2000);
            Ring ring = new Ring(bytes);
            Deque<Event> all = new ArrayDeque<>();
            int added = 0;
            for (int i = random.nextInt(300); i > 0; i--) {
                Event e = Event.newBuilder()
                        .setAtMicros(i)
                        .setText("x".repeat(random.nextInt(60)))
                        .build();
                ring.add(e);
                all.addLast(e);
                added++;
            }
            List<Event> held = new ArrayList<>();
            ByteArrayInputStream in = new ByteArrayInputStream(ring.copy());
            for (Event e = Event.parseDelimitedFrom(in); e != null; e = Event.parseDelimitedFrom(in)) {
                held.add(e);
            }
            assertEquals(ring.lost() + held.size(), added);
            Iterator<Event> last = all.descendingIterator();
            for (int i = held.size() - 1; i >= 0; i--) {
                assertEquals(held.get(i), last.next());
            }
            assertTrue(ring.copy().length <= bytes);
            assertTrue(ring.lost() == 0 || ring.copy().length > bytes / 2 - 70, "less than half of the ring is in use");
        }
    }

    @Test
    public void whatIsLargerThanTheRingIsLost() {
        Ring ring = new Ring(256);
        ring.add(Event.newBuilder().setText("x".repeat(200)).build());
        assertEquals(ring.lost(), 1);
        assertEquals(ring.copy().length, 0);
        assertThrows(IllegalArgumentException.class, () -> new Ring(255));
    }

    /** The file format has the same event types as the interface, in the same order. */
    @Test
    public void theFormatHasTheInterfacesNames() {
        for (Recorder.What what : Recorder.What.values()) {
            assertEquals(What.forNumber(what.ordinal() + 1).name(), what.name());
        }
    }

    private static void life(Recorder r, long request, String id, Recorder.What end, String why) {
        r.note(Recorder.What.ARRIVED, request, 0, null, id + " ask s1 500", Duration.ofSeconds(4));
        r.note(Recorder.What.ATTEMPT, request, 0, "r1", "HOME", Duration.ofSeconds(4));
        r.note(Recorder.What.CONNECTION, request, 0, "r1", "kept", Duration.ofMillis(40));
        r.note(Recorder.What.ENDED, request, 0, "r1", "RESET", Duration.ofMillis(10));
        r.note(end, request, 0, null, why, null);
    }

    private static String explained(Path file, java.util.function.Consumer<Explain> what) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        what.accept(new Explain(Recording.read(file), new PrintStream(out, true, StandardCharsets.UTF_8)));
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    public void aRecordingTellsLivesAndCauses() throws Exception {
        Path file = Files.createTempDirectory("recorder").resolve("log");
        FileRecorder recorder = new FileRecorder(turns, Clock.fixed(Instant.EPOCH, ZoneOffset.UTC), "n3", file, 8192);
        turns.submit(() -> {
                    life(recorder, 1, "one", Recorder.What.REFUSED, "NO_TIME");
                    life(recorder, 2, "two", Recorder.What.REFUSED, "NO_TIME");
                    life(recorder, 3, "three", Recorder.What.SERVED, null);
                })
                .get();
        assertTrue(recorder.dump().get(10, TimeUnit.SECONDS));
        String causes = explained(file, Explain::causes);
        assertTrue(causes.contains("       2        0.0  ask, refused, NO_TIME, RESET\n"), causes);
        assertTrue(causes.contains("       1        0.0  ask, served, -, RESET\n"), causes);
        assertTrue(causes.contains("       3       10.0  read, kept, RESET\n"), causes);
        String two = explained(file, e -> assertTrue(e.request("two")));
        assertTrue(two.startsWith("request two ask s1 500, number 2, from 1970-01-01T00:00:00Z\n"), two);
        assertTrue(two.contains("connection attempt 0 r1 kept (40.000 ms)\n"), two);
        assertEquals(explained(file, e -> assertFalse(e.request("four"))), "");

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
        FileRecorder recorder = new FileRecorder(turns, Clock.fixed(Instant.EPOCH, ZoneOffset.UTC), "n3", file, 8192);
        turns.submit(() -> {
                    for (int i = 1; i < 9; i++) {
                        recorder.note(Recorder.What.RULE, i, 0, null, "late", null);
                    }
                })
                .get();
        long until = System.nanoTime() + 10_000_000_000L;
        while (!Files.exists(file) && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        assertEquals(Recording.read(file).events().size(), 1, "only the first event makes it write within a minute");
    }

    @Test
    public void aDiskThatIsNotThereHoldsNothingUp() throws Exception {
        FileRecorder recorder = new FileRecorder(turns, Clock.systemUTC(), "n3", Path.of("/nowhere/log"), 8192);
        assertFalse(recorder.dump().get(10, TimeUnit.SECONDS));
    }
}

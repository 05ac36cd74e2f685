package copperbeam.handover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import copperbeam.handover.SharedState.Phase;
import copperbeam.handover.SharedState.ProcessInfo;
import copperbeam.handover.StateCodec.InvalidStateException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Instant;
import java.util.Arrays;
import java.util.Random;
import java.util.zip.CRC32C;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The state file: decoding returns exactly what was encoded, or fails. */
public class StateCodecTest {
    private static final Instant NOW = Instant.parse("2026-12-01T10:00:00.000000001Z");
    private static final SharedState SAMPLE = SharedState.EMPTY
            .withBan("b:1", true, NOW)
            .withBan("é \"\\\n", true, NOW)
            .withBan("b:1", false, NOW)
            .withDrain(true, NOW)
            .withProcess("p1", new ProcessInfo(NOW, Phase.SERVING, 0))
            .withProcess("p2", new ProcessInfo(NOW, Phase.STARTING, 7));
    private static final byte[] FILE = StateCodec.encode("c", SAMPLE, NOW);
    private static final String JSON = text(FILE).substring(text(FILE).indexOf('\n') + 1);

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a file with the given content and a valid header for it. */
    private static byte[] withValidHeader(String json) {
        CRC32C sum = new CRC32C();
        sum.update(bytes(json));
        return bytes("copperbeam-state 1 %08x %d\n%s".formatted(sum.getValue(), bytes(json).length, json));
    }

    private static void assertRejected(byte[] file, String name) {
        assertThrows(name, InvalidStateException.class, () -> StateCodec.decode("c", file));
    }

    @Test
    public void whatIsWrittenIsRead() throws InvalidStateException {
        Random random = new Random(3);
        for (int run = 0; run < 2000; run++) {
            SharedState state = SharedStateTest.random(random);
            assertEquals(StateCodec.decode("c\"", StateCodec.encode("c\"", state, NOW)), state);
        }
        assertEquals(text(FILE), text(withValidHeader(JSON)));
        for (String written : new String[] {"2020", "2100"}) { // the wall clock may step in either direction
            byte[] file = bytes(change("\"written\":\"[0-9]{4}", "\"written\":\"" + written));
            assertEquals(StateCodec.decode("c", file), SAMPLE);
        }
    }

    @Test
    public void truncatedAndCorruptedFilesAreRejected() {
        for (int i = 0; i < FILE.length; i++) {
            assertRejected(Arrays.copyOf(FILE, i), "cut at " + i);
            for (int bit = 0; bit < 8; bit++) {
                byte[] flipped = FILE.clone();
                flipped[i] ^= (byte) (1 << bit);
                assertRejected(flipped, "bit " + bit + " of byte " + i);
            }
        }
    }

    /** A writer writes a temporary file and renames it; wherever it crashes, the old file stays valid and can be replaced. */
    @Test
    public void aWriterThatDiesChangesNothing() throws IOException, InvalidStateException {
        Path directory = Files.createTempDirectory("handover");
        Path state = directory.resolve("state");
        Path temporary = directory.resolve("state.tmp");
        SharedState next = SAMPLE.withDrain(false, NOW);
        byte[] file = StateCodec.encode("c", next, NOW);
        for (int written = 0; written <= file.length; written++) {
            Files.write(state, FILE);
            Files.write(temporary, Arrays.copyOf(file, written));
            assertEquals(StateCodec.decode("c", Files.readAllBytes(state)), SAMPLE);
            if (written < file.length) {
                assertRejected(Files.readAllBytes(temporary), "crashed after byte " + written);
            }
            Files.write(temporary, file);
            Files.move(temporary, state, StandardCopyOption.ATOMIC_MOVE);
            assertEquals(StateCodec.decode("c", Files.readAllBytes(state)), next);
        }
        Files.delete(state);
        Files.delete(directory);
    }

    @DataProvider
    public Object[][] refusals() {
        String ban = "\"x\":{\"turn\":1,\"out\":false,\"at\":\"2026-12-01T10:00:00Z\"},";
        String process = "\"started\":\"2026-12-01T10:00:00Z\",\"phase\":\"SERVING\",\"slot\":0}";
        StringBuilder bans = new StringBuilder();
        StringBuilder processes = new StringBuilder();
        for (int i = 0; i < 4096; i++) {
            bans.append(ban.replace("x", "x" + i));
            processes.append(i < 8 ? "\"l" + i + "\":{" + process + "," : "");
        }
        return new Object[][] {
            {"", "not a copperbeam state file"},
            {"{}", "not a copperbeam state file"},
            {"copperbeam-state 2 0 {}", "of another format version"},
            {"copperbeam-state 1 0000", "truncated in its header"},
            {"copperbeam-state 1 zz 1\n", "malformed header"},
            {text(FILE).replaceFirst(" 1 ", " 1 0"), "malformed header"},
            {text(FILE).replaceFirst("\\}$", ""), "truncated"},
            {text(FILE) + " ", "trailing bytes"},
            {text(FILE).replace("b:1", "b:2"), "checksum mismatch"},
            {text(FILE) + " ".repeat(1 << 20), "larger than 1 MiB"},
            {change("\"c\"", "\"d\""), "another conductor's"},
            {change("10:00:00.000000001Z", "25:00:00.000000001Z"), "malformed"},
            {change("$", "{}"), "malformed"},
            {change("\"conductor\":\"c\",", ""), "conductor is missing"},
            {change("\"turn\":2", "\"turn\":\"2\""), "turn is missing or of another type"},
            {change("\"turn\":2,", ""), "turn is missing"},
            {change("\"turn\":2", "\"turn\":0"), "malformed"},
            {change("\"turn\":2", "\"turn\":2.5"), "malformed"},
            {change("\"turn\":2", "\"turn\":9223372036854775808"), "malformed"},
            {change("\"slot\":7", "\"slot\":4294967296"), "malformed"},
            {change("\"slot\":7", "\"slot\":7,\"more\":1"), "malformed"},
            {change("SERVING", "AWAY"), "malformed"},
            {change("\"p2\"", "\"p1\""), "a name twice in lives"},
            {change("\"p2\"", "\"\\\\ud800\""), "malformed"},
            {change("true", "null"), "out is missing or of another type"},
            {change("\"bans\":\\{", "\"bans\":{" + bans), "more bans or lives than may be"},
            {change("\"lives\":\\{", "\"lives\":{" + processes), "more bans or lives than may be"},
        };
    }

    private static String change(String pattern, String to) {
        return text(withValidHeader(JSON.replaceFirst(pattern, to)));
    }

    @Test(dataProvider = "refusals")
    public void refusalsSayWhy(String file, String reason) {
        InvalidStateException refused =
                expectThrows(InvalidStateException.class, () -> StateCodec.decode("c", bytes(file)));
        assertTrue(refused.getMessage().contains(reason), refused.getMessage());
    }

    @Test
    public void brokenUnicodeIsRefused() {
        byte[] latin = JSON.getBytes(StandardCharsets.ISO_8859_1);
        CRC32C sum = new CRC32C();
        sum.update(latin);
        String file = "copperbeam-state 1 %08x %d\n%s".formatted(sum.getValue(), latin.length, JSON);
        assertRejected(file.getBytes(StandardCharsets.ISO_8859_1), "Latin-1");
    }

    /** Any JSON is either rejected or gives a state that can be encoded and decoded again. */
    @Test
    public void noForgedContentDoesHarm() throws InvalidStateException {
        String[] fragments = {
            "",
            "{",
            "}",
            "[",
            "\"",
            ":",
            ",",
            "null",
            "-1",
            "1e999",
            "0",
            "\\u0000",
            "\\ud800",
            "x",
            "true",
            "{}",
            "\"turn\":",
            "9223372036854775807",
            "2026",
            "-",
            "+1000000000",
            "é",
            "\n",
            "/*",
            "LEAVING"
        };
        Random random = new Random(4);
        int accepted = 0;
        for (int run = 0; run < 20_000; run++) {
            StringBuilder json = new StringBuilder(JSON);
            for (int changes = 1 + random.nextInt(3); changes > 0; changes--) {
                int from = random.nextInt(json.length());
                int to = Math.min(json.length(), from + random.nextInt(random.nextInt(4) > 0 ? 3 : 60));
                String cut = json.substring(from, to);
                json.replace(
                        from, to, random.nextInt(8) == 0 ? cut + cut : fragments[random.nextInt(fragments.length)]);
            }
            try {
                SharedState state = StateCodec.decode("c", withValidHeader(json.toString()));
                assertEquals(StateCodec.decode("c", StateCodec.encode("c", state, NOW)), state);
                accepted++;
            } catch (InvalidStateException e) {
                // the expected result of most changes
            }
        }
        assertTrue(accepted > 100, "too few changes gave a valid file: " + accepted);
    }

    @Test
    public void aFileTooLargeToReadIsNotWritten() {
        SharedState large = SharedState.EMPTY.withBan("x".repeat(1 << 20), true, NOW);
        assertThrows(IllegalStateException.class, () -> StateCodec.encode("c", large, NOW));
    }
}

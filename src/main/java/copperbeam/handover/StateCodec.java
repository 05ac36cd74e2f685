package copperbeam.handover;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.JsonWriter;
import copperbeam.handover.SharedState.Ban;
import copperbeam.handover.SharedState.Drain;
import copperbeam.handover.SharedState.Phase;
import copperbeam.handover.SharedState.ProcessInfo;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Arrays;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the shared state file. Its first line is {@code copperbeam-state 1 CHECKSUM LENGTH}, with the
 * CRC-32C (8 hex digits) and the length in bytes of all that follows; then comes one JSON object whose fields have a
 * fixed order. The header line must stay readable in every later format version, so that a process can report a file of
 * another version as such.
 */
public final class StateCodec {
    /** Maximum size of the file in bytes; enough for {@value SharedState#MAX_BANS} bans with names of up to 180 bytes. */
    static final int MAX_FILE_BYTES = 1 << 20;

    private static final String MAGIC = "copperbeam-state ";
    private static final String FORMAT_VERSION = "1";
    private static final Pattern HEADER =
            Pattern.compile(MAGIC + FORMAT_VERSION + " ([0-9a-f]{8}) (0|[1-9][0-9]{0,6})");
    private static final int MAX_HEADER_BYTES = 64; // line feed included

    /** Thrown if a file is not a valid state of this conductor; the message gives the reason. */
    public static final class InvalidStateException extends Exception {
        private static final long serialVersionUID = 1L;

        private InvalidStateException(String reason) {
            super(reason);
        }
    }

    private interface ValueReader<T> {
        T read(JsonReader in) throws IOException, InvalidStateException;
    }

    private StateCodec() {}

    /**
     * Returns the contents of the whole file. The caller should adopt a changed state only once it is written.
     *
     * @throws IllegalStateException if the file would be larger than 1 MiB, which {@link #decode} rejects
     */
    public static byte[] encode(String conductor, SharedState state, Instant now) {
        byte[] content = toJson(conductor, state, now).getBytes(StandardCharsets.UTF_8);
        byte[] header = String.format(
                        Locale.ROOT, "%s%s %08x %d\n", MAGIC, FORMAT_VERSION, crc32c(content), content.length)
                .getBytes(StandardCharsets.US_ASCII);
        if (header.length + content.length > MAX_FILE_BYTES) {
            throw new IllegalStateException("the state is larger than 1 MiB");
        }
        return ByteBuffer.allocate(header.length + content.length)
                .put(header)
                .put(content)
                .array();
    }

    /**
     * Returns the state in a file of this conductor; never a partial one.
     *
     * @throws InvalidStateException if the file is damaged, of another format version or of another conductor
     */
    public static SharedState decode(String conductor, byte[] bytes) throws InvalidStateException {
        byte[] content = verifiedContent(bytes);
        try {
            JsonReader in = new JsonReader(new StringReader(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(content))
                    .toString()));
            in.setStrictness(Strictness.STRICT);
            in.beginObject();
            rejectIf(!readText(in, "conductor").equals(conductor), "another conductor's");
            readInstant(in, "written"); // informative only: the wall clock may have stepped since, in either direction
            SortedMap<String, Ban> bans = readMap(
                    in,
                    "bans",
                    ban -> new Ban(readNumber(ban, "turn"), readBoolean(ban, "out"), readInstant(ban, "at")));
            expectField(in, "duty", JsonToken.BEGIN_OBJECT).beginObject();
            Drain drain = new Drain(readNumber(in, "turn"), readBoolean(in, "drained"), readInstant(in, "at"));
            in.endObject();
            SortedMap<String, ProcessInfo> processes = readMap(
                    in,
                    "lives",
                    process -> new ProcessInfo(
                            readInstant(process, "started"),
                            Phase.valueOf(readText(process, "phase")),
                            Math.toIntExact(readNumber(process, "slot"))));
            in.endObject();
            rejectIf(in.peek() != JsonToken.END_DOCUMENT, "more than one JSON value");
            SharedState state = new SharedState(bans, drain, processes);
            rejectIf(
                    !state.bans().equals(bans) || !state.processes().equals(processes),
                    "more bans or lives than may be");
            return state;
        } catch (IOException
                | IllegalStateException
                | IllegalArgumentException
                | ArithmeticException
                | DateTimeException e) {
            // without the exception's message, which may quote the whole file
            throw new InvalidStateException("malformed: " + e.getClass().getSimpleName());
        }
    }

    /** Checks the header and returns what follows it. */
    private static byte[] verifiedContent(byte[] bytes) throws InvalidStateException {
        rejectIf(bytes.length > MAX_FILE_BYTES, "larger than 1 MiB");
        String headerText = new String(bytes, 0, Math.min(bytes.length, MAX_HEADER_BYTES), StandardCharsets.ISO_8859_1);
        rejectIf(!headerText.startsWith(MAGIC), "not a copperbeam state file");
        int versionEnd = headerText.indexOf(' ', MAGIC.length());
        rejectIf(
                versionEnd >= 0
                        && !headerText.substring(MAGIC.length(), versionEnd).equals(FORMAT_VERSION),
                "of another format version");
        int headerEnd = headerText.indexOf('\n');
        rejectIf(headerEnd < 0, "truncated in its header");
        Matcher header = HEADER.matcher(headerText.substring(0, headerEnd));
        rejectIf(!header.matches(), "malformed header");
        int contentStart = headerEnd + 1;
        int length = Integer.parseInt(header.group(2));
        rejectIf(bytes.length - contentStart < length, "truncated");
        rejectIf(bytes.length - contentStart > length, "trailing bytes");
        byte[] content = Arrays.copyOfRange(bytes, contentStart, bytes.length);
        rejectIf(crc32c(content) != Integer.parseUnsignedInt(header.group(1), 16), "checksum mismatch");
        return content;
    }

    private static int crc32c(byte[] content) {
        CRC32C sum = new CRC32C();
        sum.update(content);
        return (int) sum.getValue();
    }

    private static String toJson(String conductor, SharedState state, Instant now) {
        StringWriter text = new StringWriter();
        try (JsonWriter writer = new JsonWriter(text)) {
            writer.beginObject()
                    .name("conductor")
                    .value(conductor)
                    .name("written")
                    .value(now.toString());
            writer.name("bans").beginObject();
            for (var entry : state.bans().entrySet()) {
                Ban ban = entry.getValue();
                writer.name(entry.getKey())
                        .beginObject()
                        .name("turn")
                        .value(ban.revision())
                        .name("out")
                        .value(ban.banned())
                        .name("at")
                        .value(ban.changedAt().toString())
                        .endObject();
            }
            Drain drain = state.drain();
            writer.endObject()
                    .name("duty")
                    .beginObject()
                    .name("turn")
                    .value(drain.revision())
                    .name("drained")
                    .value(drain.drained())
                    .name("at")
                    .value(drain.changedAt().toString())
                    .endObject();
            writer.name("lives").beginObject();
            for (var entry : state.processes().entrySet()) {
                ProcessInfo process = entry.getValue();
                writer.name(entry.getKey())
                        .beginObject()
                        .name("started")
                        .value(process.startedAt().toString())
                        .name("phase")
                        .value(process.phase().name())
                        .name("slot")
                        .value(process.lockSlot())
                        .endObject();
            }
            writer.endObject().endObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // can't happen with a StringWriter
        }
        return text.toString();
    }

    /** Moves to the value of the field that must come next. Checks the type, as Gson would accept "1" for 1 and vice versa. */
    private static JsonReader expectField(JsonReader in, String name, JsonToken type)
            throws IOException, InvalidStateException {
        rejectIf(
                in.peek() != JsonToken.NAME || !in.nextName().equals(name) || in.peek() != type,
                "malformed: field " + name + " is missing or of another type");
        return in;
    }

    private static String readText(JsonReader in, String name) throws IOException, InvalidStateException {
        return expectField(in, name, JsonToken.STRING).nextString();
    }

    private static long readNumber(JsonReader in, String name) throws IOException, InvalidStateException {
        // not nextLong, which reads 2^63 as 2^63 - 1
        return Long.parseLong(expectField(in, name, JsonToken.NUMBER).nextString());
    }

    private static boolean readBoolean(JsonReader in, String name) throws IOException, InvalidStateException {
        return expectField(in, name, JsonToken.BOOLEAN).nextBoolean();
    }

    private static Instant readInstant(JsonReader in, String name) throws IOException, InvalidStateException {
        return Instant.parse(readText(in, name));
    }

    private static <T> SortedMap<String, T> readMap(JsonReader in, String name, ValueReader<T> valueReader)
            throws IOException, InvalidStateException {
        SortedMap<String, T> map = new TreeMap<>();
        expectField(in, name, JsonToken.BEGIN_OBJECT).beginObject();
        while (in.hasNext()) {
            String key = in.nextName();
            in.beginObject();
            rejectIf(map.put(key, valueReader.read(in)) != null, "malformed: a name twice in " + name);
            in.endObject();
        }
        in.endObject();
        return map;
    }

    private static void rejectIf(boolean condition, String reason) throws InvalidStateException {
        if (condition) {
            throw new InvalidStateException(reason);
        }
    }
}

package copperbeam.handover;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.JsonWriter;
import copperbeam.handover.SharedState.Ban;
import copperbeam.handover.SharedState.Drain;
import copperbeam.handover.SharedState.Life;
import copperbeam.handover.SharedState.Phase;
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
    static final int MOST_BYTES = 1 << 20;

    private static final String MAGIC = "copperbeam-state ";
    private static final String FORM = "1";
    private static final Pattern HEADER = Pattern.compile(MAGIC + FORM + " ([0-9a-f]{8}) (0|[1-9][0-9]{0,6})");
    private static final int MOST_HEADER = 64; // line feed included

    /** Thrown if a file is not a valid state of this conductor; the message gives the reason. */
    public static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;

        private Refused(String reason) {
            super(reason);
        }
    }

    private interface Part<T> {
        T read(JsonReader in) throws IOException, Refused;
    }

    private StateCodec() {}

    /**
     * Returns the contents of the whole file. The caller should adopt a changed state only once it is written.
     *
     * @throws IllegalStateException if the file would be larger than 1 MiB, which {@link #decode} rejects
     */
    public static byte[] write(String conductor, SharedState state, Instant now) {
        byte[] content = json(conductor, state, now).getBytes(StandardCharsets.UTF_8);
        byte[] header = String.format(Locale.ROOT, "%s%s %08x %d\n", MAGIC, FORM, checksum(content), content.length)
                .getBytes(StandardCharsets.US_ASCII);
        if (header.length + content.length > MOST_BYTES) {
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
    public static SharedState read(String conductor, byte[] bytes) throws Refused {
        byte[] content = content(bytes);
        try {
            JsonReader in = new JsonReader(new StringReader(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(content))
                    .toString()));
            in.setStrictness(Strictness.STRICT);
            in.beginObject();
            refuse(!text(in, "conductor").equals(conductor), "another conductor's");
            time(in, "written"); // informative only: the wall clock may have stepped since, in either direction
            SortedMap<String, Ban> bans =
                    map(in, "bans", ban -> new Ban(number(ban, "turn"), flag(ban, "out"), time(ban, "at")));
            field(in, "duty", JsonToken.BEGIN_OBJECT).beginObject();
            Drain drain = new Drain(number(in, "turn"), flag(in, "drained"), time(in, "at"));
            in.endObject();
            SortedMap<String, Life> lives = map(
                    in,
                    "lives",
                    life -> new Life(
                            time(life, "started"),
                            Phase.valueOf(text(life, "phase")),
                            Math.toIntExact(number(life, "slot"))));
            in.endObject();
            refuse(in.peek() != JsonToken.END_DOCUMENT, "more than one JSON value");
            SharedState state = new SharedState(bans, drain, lives);
            refuse(!state.bans().equals(bans) || !state.lives().equals(lives), "more bans or lives than may be");
            return state;
        } catch (IOException
                | IllegalStateException
                | IllegalArgumentException
                | ArithmeticException
                | DateTimeException e) {
            // without the exception's message, which may quote the whole file
            throw new Refused("malformed: " + e.getClass().getSimpleName());
        }
    }

    /** Checks the header and returns what follows it. */
    private static byte[] content(byte[] bytes) throws Refused {
        refuse(bytes.length > MOST_BYTES, "larger than 1 MiB");
        String head = new String(bytes, 0, Math.min(bytes.length, MOST_HEADER), StandardCharsets.ISO_8859_1);
        refuse(!head.startsWith(MAGIC), "not a copperbeam state file");
        int form = head.indexOf(' ', MAGIC.length());
        refuse(form >= 0 && !head.substring(MAGIC.length(), form).equals(FORM), "of another form version");
        int end = head.indexOf('\n');
        refuse(end < 0, "truncated in its header");
        Matcher header = HEADER.matcher(head.substring(0, end));
        refuse(!header.matches(), "malformed header");
        int start = end + 1;
        int length = Integer.parseInt(header.group(2));
        refuse(bytes.length - start < length, "truncated");
        refuse(bytes.length - start > length, "trailing bytes");
        byte[] content = Arrays.copyOfRange(bytes, start, bytes.length);
        refuse(checksum(content) != Integer.parseUnsignedInt(header.group(1), 16), "checksum mismatch");
        return content;
    }

    private static int checksum(byte[] content) {
        CRC32C sum = new CRC32C();
        sum.update(content);
        return (int) sum.getValue();
    }

    private static String json(String conductor, SharedState state, Instant now) {
        StringWriter text = new StringWriter();
        try (JsonWriter out = new JsonWriter(text)) {
            out.beginObject().name("conductor").value(conductor).name("written").value(now.toString());
            out.name("bans").beginObject();
            for (var e : state.bans().entrySet()) {
                Ban ban = e.getValue();
                out.name(e.getKey())
                        .beginObject()
                        .name("turn")
                        .value(ban.turn())
                        .name("out")
                        .value(ban.out())
                        .name("at")
                        .value(ban.at().toString())
                        .endObject();
            }
            Drain drain = state.drain();
            out.endObject()
                    .name("duty")
                    .beginObject()
                    .name("turn")
                    .value(drain.turn())
                    .name("drained")
                    .value(drain.drained())
                    .name("at")
                    .value(drain.at().toString())
                    .endObject();
            out.name("lives").beginObject();
            for (var e : state.lives().entrySet()) {
                Life life = e.getValue();
                out.name(e.getKey())
                        .beginObject()
                        .name("started")
                        .value(life.started().toString())
                        .name("phase")
                        .value(life.phase().name())
                        .name("slot")
                        .value(life.slot())
                        .endObject();
            }
            out.endObject().endObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // can't happen with a StringWriter
        }
        return text.toString();
    }

    /** Moves to the value of the field that must come next. Checks the type, as Gson would accept "1" for 1 and vice versa. */
    private static JsonReader field(JsonReader in, String name, JsonToken type) throws IOException, Refused {
        refuse(
                in.peek() != JsonToken.NAME || !in.nextName().equals(name) || in.peek() != type,
                "malformed: field " + name + " is missing or of another type");
        return in;
    }

    private static String text(JsonReader in, String name) throws IOException, Refused {
        return field(in, name, JsonToken.STRING).nextString();
    }

    private static long number(JsonReader in, String name) throws IOException, Refused {
        // not nextLong, which reads 2^63 as 2^63 - 1
        return Long.parseLong(field(in, name, JsonToken.NUMBER).nextString());
    }

    private static boolean flag(JsonReader in, String name) throws IOException, Refused {
        return field(in, name, JsonToken.BOOLEAN).nextBoolean();
    }

    private static Instant time(JsonReader in, String name) throws IOException, Refused {
        return Instant.parse(text(in, name));
    }

    private static <T> SortedMap<String, T> map(JsonReader in, String name, Part<T> part) throws IOException, Refused {
        SortedMap<String, T> map = new TreeMap<>();
        field(in, name, JsonToken.BEGIN_OBJECT).beginObject();
        while (in.hasNext()) {
            String key = in.nextName();
            in.beginObject();
            refuse(map.put(key, part.read(in)) != null, "malformed: a name twice in " + name);
            in.endObject();
        }
        in.endObject();
        return map;
    }

    private static void refuse(boolean refused, String reason) throws Refused {
        if (refused) {
            throw new Refused(reason);
        }
    }
}

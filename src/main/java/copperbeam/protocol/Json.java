package copperbeam.protocol;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.Strictness;
import com.google.gson.ToNumberPolicy;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** JSON parsing and writing with Gson, strict and with a limit on nesting. */
public final class Json {
    /** Reads whole numbers as Long, not Double, as the decoder of the settings requires. */
    public static final Gson GSON = new GsonBuilder()
            .setObjectToNumberStrategy(ToNumberPolicy.LONG_OR_DOUBLE)
            .disableHtmlEscaping()
            .serializeNulls()
            .create();

    private static final int MAX_DEPTH = 128; // levels; the schema of a tool in a chat request has about ten

    private Json() {}

    /** Parses exactly one JSON value; throws {@link IllegalArgumentException} with the problem if it can't. */
    public static JsonElement parseStrict(String text) {
        try {
            JsonReader reader = new JsonReader(new StringReader(text));
            reader.setStrictness(Strictness.STRICT); // lenient parsing accepts unquoted strings, and '=' for ':'
            JsonElement parsed = JsonParser.parseReader(reader);
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new IllegalArgumentException("more than one JSON text");
            }
            return parsed;
        } catch (JsonParseException | IOException e) {
            throw new IllegalArgumentException(
                    "no JSON: " + e.getMessage().lines().findFirst().orElse(""), e);
        }
    }

    /** Whether the nesting exceeds the limit. Gson copies and writes nested values recursively, which could overflow the stack. */
    public static boolean isNestedTooDeep(JsonElement root) {
        List<JsonElement> level = List.of(root);
        for (int i = 0; i <= MAX_DEPTH && !level.isEmpty(); i++) {
            List<JsonElement> next = new ArrayList<>();
            for (JsonElement element : level) {
                if (element.isJsonArray()) {
                    element.getAsJsonArray().forEach(next::add);
                } else if (element.isJsonObject()) {
                    element.getAsJsonObject().asMap().values().forEach(next::add);
                }
            }
            level = next;
        }
        return !level.isEmpty();
    }

    /** Upper bound of the number of values in a JSON text, without parsing it; names of members count as values. */
    public static int countValues(byte[] text) {
        int count = 1;
        boolean inString = false;
        boolean escaped = false;
        for (byte character : text) {
            if (escaped) {
                escaped = false;
            } else if (character == '"') {
                inString = !inString;
            } else if (inString) {
                escaped = character == '\\';
            } else if (character == ',' || character == ':' || character == '[' || character == '{') {
                count++;
            }
        }
        return count;
    }

    /** Whether a body is exactly one JSON object. */
    public static boolean isObject(byte[] body) {
        try (JsonReader reader =
                new JsonReader(new InputStreamReader(new ByteArrayInputStream(body), StandardCharsets.UTF_8))) {
            reader.setStrictness(Strictness.STRICT);
            if (reader.peek() != JsonToken.BEGIN_OBJECT) {
                return false;
            }
            reader.skipValue();
            return reader.peek() == JsonToken.END_DOCUMENT;
        } catch (IOException | IllegalStateException | StackOverflowError e) {
            return false;
        }
    }
}

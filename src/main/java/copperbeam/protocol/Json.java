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

/** Gson as this program sets it up. */
public final class Json {
    /** Whole numbers stay whole, as the settings' decoder wants them. */
    public static final Gson GSON = new GsonBuilder()
            .setObjectToNumberStrategy(ToNumberPolicy.LONG_OR_DOUBLE)
            .disableHtmlEscaping()
            .serializeNulls()
            .create();

    private static final int MOST_DEPTH = 128; // a tool's schema has some ten

    private Json() {}

    /** One JSON text and nothing more; throws {@link IllegalArgumentException} with what is wrong. */
    public static JsonElement strict(String text) {
        try {
            JsonReader reader = new JsonReader(new StringReader(text));
            reader.setStrictness(Strictness.STRICT); // the lenient one takes unquoted texts and '=' for ':'
            JsonElement all = JsonParser.parseReader(reader);
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new IllegalArgumentException("more than one JSON text");
            }
            return all;
        } catch (JsonParseException | IOException e) {
            throw new IllegalArgumentException(
                    "no JSON: " + e.getMessage().lines().findFirst().orElse(""), e);
        }
    }

    /** Guards a thread's stack: Gson copies and writes what stands in one another by recursion. */
    public static boolean nestsTooDeep(JsonElement all) {
        List<JsonElement> level = List.of(all);
        for (int i = 0; i <= MOST_DEPTH && !level.isEmpty(); i++) {
            List<JsonElement> next = new ArrayList<>();
            for (JsonElement e : level) {
                if (e.isJsonArray()) {
                    e.getAsJsonArray().forEach(next::add);
                } else if (e.isJsonObject()) {
                    e.getAsJsonObject().asMap().values().forEach(next::add);
                }
            }
            level = next;
        }
        return !level.isEmpty();
    }

    /** Whether a body is one JSON object and nothing more. */
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

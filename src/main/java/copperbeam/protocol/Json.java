package copperbeam.protocol;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.Strictness;
import com.google.gson.ToNumberPolicy;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;

/** Gson as this program sets it up. */
public final class Json {
    /** Whole numbers stay whole, as the settings' decoder wants them. */
    public static final Gson GSON = new GsonBuilder().setObjectToNumberStrategy(ToNumberPolicy.LONG_OR_DOUBLE)
            .disableHtmlEscaping().serializeNulls().create();

    private Json() {}

    /** Whether a body is one JSON object and nothing more. */
    public static boolean isObject(byte[] body) {
        try (JsonReader reader = new JsonReader(new InputStreamReader(new ByteArrayInputStream(body),
                StandardCharsets.UTF_8))) {
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

package copperbeam.protocol.etcd;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Reads the JSON objects of a response of etcd's gateway as the bytes arrive, however they are divided, indented or separated.
 * The elements of one array, which may be long, are passed on one by one and are left out of the object.
 */
final class GatewayReader {
    private static final int MAX_STRING_CHARS = 4 << 20; // of a key or value in base64; etcd takes 1.5 MiB before that
    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxStringLength(MAX_STRING_CHARS)
                    .build())
            .build();

    private final String arrayName;
    private final Consumer<JsonElement> onElement;
    private final Consumer<JsonObject> onObject;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private final Deque<JsonElement> open = new ArrayDeque<>(); // containers that have begun, innermost first
    private JsonElement splitArray; // the open array whose elements are passed on, or null

    /**
     * {@code onElement}: receives each element of arrays called {@code arrayName}; {@code onObject}: receives each complete
     * object without them.
     */
    GatewayReader(String arrayName, Consumer<JsonElement> onElement, Consumer<JsonObject> onObject) {
        this.arrayName = arrayName;
        this.onElement = onElement;
        this.onObject = onObject;
        try {
            parser = JSON.createNonBlockingByteArrayParser();
        } catch (IOException e) {
            throw new IllegalStateException("the parser does no I/O", e);
        }
        feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Reads the next bytes. Throws {@link IOException} if they are no JSON objects. */
    void read(byte[] bytes) throws IOException {
        feeder.feedInput(bytes, 0, bytes.length);
        for (JsonToken token = parser.nextToken(); token != JsonToken.NOT_AVAILABLE; token = parser.nextToken()) {
            accept(token);
        }
    }

    private void accept(JsonToken token) throws IOException {
        switch (token) {
            case START_OBJECT -> open.push(new JsonObject());
            case START_ARRAY -> {
                open.push(new JsonArray());
                if (splitArray == null && arrayName.equals(parser.currentName())) {
                    splitArray = open.peek();
                }
            }
            case END_OBJECT, END_ARRAY -> {
                JsonElement ended = open.pop();
                if (ended == splitArray) {
                    splitArray = null;
                } else {
                    add(ended);
                }
            }
            case FIELD_NAME -> {}
            case VALUE_STRING -> add(new JsonPrimitive(parser.getText()));
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> add(new JsonPrimitive(parser.getDecimalValue()));
            case VALUE_TRUE, VALUE_FALSE -> add(new JsonPrimitive(token == JsonToken.VALUE_TRUE));
            case VALUE_NULL -> add(JsonNull.INSTANCE);
            default -> throw new IOException("unexpected " + token);
        }
    }

    private void add(JsonElement value) throws IOException {
        JsonElement parent = open.peek();
        if (parent == null) {
            if (!value.isJsonObject()) {
                throw new IOException("no JSON object");
            }
            onObject.accept(value.getAsJsonObject());
        } else if (parent == splitArray) {
            onElement.accept(value);
        } else if (parent.isJsonArray()) {
            parent.getAsJsonArray().add(value);
        } else {
            parent.getAsJsonObject().add(parser.currentName(), value);
        }
    }
}

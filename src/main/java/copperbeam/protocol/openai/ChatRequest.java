package copperbeam.protocol.openai;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import copperbeam.protocol.Json;
import copperbeam.protocol.Tokens;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * A chat request with the properties that the core needs. Session, prefix and lengths are derived from the messages, because
 * this API has no fields for them.
 *
 * @param maxTokens 0 if the client doesn't set it
 * @param prefix a hash of the system message that opens the conversation, or null if there is none
 * @param promptTokens estimated from the number of characters
 * @param bodyForServers the client's body, but always with streaming enabled
 */
record ChatRequest(
        String model,
        boolean wantsStream,
        boolean wantsUsage,
        int maxTokens,
        String session,
        String prefix,
        int promptTokens,
        int prefixTokens,
        byte[] bodyForServers) {
    /** What the answer depends on; unlike the request, it is kept until the answer has ended. */
    record AnswerOptions(String model, boolean wantsStream, boolean wantsUsage) {}

    AnswerOptions answerOptions() {
        return new AnswerOptions(model, wantsStream, wantsUsage);
    }

    private static final int PARSING_BYTES_PER_BYTE = 8; // texts, as part of the body and of values, read and written
    private static final int PARSING_BYTES_PER_VALUE = 160; // objects of Gson
    private static final int MAX_COUNT = 1_000_000; // the largest valid count in a request, such as max_tokens

    private record Message(String role, String text) {
        int estimatedTokens() {
            return Tokens.ofChars(text.length());
        }
    }

    /** Parses and validates the body of a request. */
    static ChatRequest parse(byte[] body) throws ApiError {
        if (!Json.isObject(body)) {
            throw ApiError.invalidRequest(null, "The body is not a JSON object.");
        }
        JsonObject json;
        try {
            json = JsonParser.parseString(new String(body, StandardCharsets.UTF_8))
                    .getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw ApiError.invalidRequest(null, "The body is not a JSON object.");
        }
        if (Json.isNestedTooDeep(json)) {
            throw ApiError.invalidRequest(null, "The body nests too deep.");
        }
        String model = stringValue(json, "model");
        if (model == null) {
            throw ApiError.invalidRequest("model", "You must name a model.");
        }
        List<Message> messages = parseMessages(json.get("messages"));
        if (positiveCount(json, "n", 1) != 1) {
            throw ApiError.invalidRequest("n", "Only one choice is made for a request.");
        }
        int maxAnswerTokens = positiveCount(json, "max_completion_tokens", positiveCount(json, "max_tokens", 0));
        Message first = messages.get(0);
        boolean hasSystemMessage =
                messages.size() > 1 && (first.role.equals("system") || first.role.equals("developer"));
        JsonElement options = json.get("stream_options");
        boolean wantsUsage =
                options != null && options.isJsonObject() && booleanValue(options.getAsJsonObject(), "include_usage");
        return new ChatRequest(
                model,
                booleanValue(json, "stream"),
                wantsUsage,
                maxAnswerTokens,
                session(stringValue(json, "user"), messages),
                hasSystemMessage ? hash(first.role, first.text) : null,
                messages.stream().mapToInt(Message::estimatedTokens).sum(),
                hasSystemMessage ? first.estimatedTokens() : 0,
                booleanValue(json, "stream") ? body : withStreaming(json));
    }

    /** Estimate, in bytes, of the memory that {@link #parse} needs for this body. */
    static long parsingMemory(byte[] body) {
        return (long) body.length * PARSING_BYTES_PER_BYTE + (long) Json.countValues(body) * PARSING_BYTES_PER_VALUE;
    }

    private static byte[] withStreaming(JsonObject json) {
        json.addProperty("stream", true);
        return Json.GSON.toJson(json).getBytes(StandardCharsets.UTF_8);
    }

    private static List<Message> parseMessages(JsonElement value) throws ApiError {
        if (value == null || !value.isJsonArray() || value.getAsJsonArray().isEmpty()) {
            throw ApiError.invalidRequest("messages", "'messages' must be a list that is not empty.");
        }
        List<Message> messages = new ArrayList<>();
        for (JsonElement element : value.getAsJsonArray()) {
            String path = "messages[" + messages.size() + "]";
            if (!element.isJsonObject()) {
                throw ApiError.invalidRequest(path, "A message must be an object.");
            }
            String role = stringValue(element.getAsJsonObject(), "role");
            if (role == null) {
                throw ApiError.invalidRequest(path + ".role", "A message must have a role.");
            }
            messages.add(
                    new Message(role, parseContent(element.getAsJsonObject().get("content"), path + ".content")));
        }
        return messages;
    }

    /** Returns the text of a message, which is a string or a list of text parts. */
    private static String parseContent(JsonElement content, String path) throws ApiError {
        if (content == null || content.isJsonNull()) {
            return "";
        }
        if (content.isJsonPrimitive() && content.getAsJsonPrimitive().isString()) {
            return content.getAsString();
        }
        if (!content.isJsonArray()) {
            throw ApiError.invalidRequest(path, "Content must be a text or a list of parts.");
        }
        StringBuilder joined = new StringBuilder();
        JsonArray parts = content.getAsJsonArray();
        for (JsonElement part : parts) {
            String text = part.isJsonObject() ? stringValue(part.getAsJsonObject(), "text") : null;
            if (text == null) {
                throw ApiError.invalidRequest(path, "Only parts with a text are understood.");
            }
            joined.append(text);
        }
        return joined.toString();
    }

    private static String stringValue(JsonObject object, String key) throws ApiError {
        JsonElement value = object.get(key);
        if (value == null || value.isJsonNull()) {
            return null;
        }
        if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isString()) {
            throw ApiError.invalidRequest(key, "'" + key + "' must be a text.");
        }
        return value.getAsString();
    }

    private static boolean booleanValue(JsonObject object, String key) throws ApiError {
        JsonElement value = object.get(key);
        if (value == null || value.isJsonNull()) {
            return false;
        }
        if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isBoolean()) {
            throw ApiError.invalidRequest(key, "'" + key + "' must be true or false.");
        }
        return value.getAsBoolean();
    }

    private static int positiveCount(JsonObject object, String key, int defaultValue) throws ApiError {
        JsonElement value = object.get(key);
        if (value == null || value.isJsonNull()) {
            return defaultValue;
        }
        try {
            double number = value.getAsDouble();
            if (number >= 1 && number <= MAX_COUNT && number == Math.rint(number)) {
                return (int) number;
            }
        } catch (UnsupportedOperationException | NumberFormatException | IllegalStateException e) {
            // rejected below like a number out of range
        }
        throw ApiError.invalidRequest(key, "'" + key + "' must be a whole number from 1.");
    }

    /**
     * Derives the session from the client's "user" and the messages up to the first one of the user, because these are the
     * same in all requests of a conversation.
     */
    private static String session(String user, List<Message> messages) {
        List<String> parts = new ArrayList<>(List.of(String.valueOf(user)));
        for (Message message : messages) {
            parts.add(message.role);
            parts.add(message.text);
            if (message.role.equals("user")) {
                break;
            }
        }
        return hash(parts.toArray(String[]::new));
    }

    private static String hash(String... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (String part : parts) {
                digest.update(part.getBytes(StandardCharsets.UTF_8));
                digest.update((byte) 0);
            }
            return HexFormat.of().formatHex(digest.digest(), 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is required of every Java platform", e);
        }
    }
}

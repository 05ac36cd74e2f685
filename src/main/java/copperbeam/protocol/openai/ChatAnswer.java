package copperbeam.protocol.openai;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import copperbeam.protocol.HttpReply;
import copperbeam.protocol.Json;
import copperbeam.protocol.SseData;
import copperbeam.routing.ResponseSink;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/** Translates a server's events into a response of the chat API: a stream of chunks, or one completion. */
final class ChatAnswer implements ResponseSink {
    private static final int MAX_CONTENT_CHARS =
            1 << 20; // of a completion that is collected for a client that doesn't stream

    // of the collected text, which has grown by doubling, and of the completion that is made of it
    private static final int BYTES_PER_CONTENT_CHAR = 6;

    private final HttpReply reply;
    private final ChatRequest.AnswerOptions options;
    private final String id;
    private final long created;
    private final StringBuilder content = new StringBuilder();
    private String finishReason;
    private JsonElement usage;
    private boolean roleSent;
    private boolean doneReceived;

    ChatAnswer(HttpReply reply, ChatRequest.AnswerOptions options, String id, Instant arrivedAt) {
        this.reply = reply;
        this.options = options;
        this.id = "chatcmpl-" + id;
        created = arrivedAt.getEpochSecond();
    }

    @Override
    public boolean gone() {
        return reply.isClientGone();
    }

    @Override
    public void begin() {
        if (options.wantsStream()) {
            reply.beginStream("text/event-stream", Map.of("Cache-Control", "no-cache"));
        }
    }

    /** Returns false for an event that doesn't belong to a chat stream, so that the client doesn't get what it can't parse. */
    @Override
    public boolean event(byte[] eventBytes, Runnable onDrained) {
        String data = SseData.dataOf(eventBytes);
        if (data == null) {
            onDrained.run();
            return true;
        }
        if (data.equals(SseData.LAST_EVENT_DATA) && options.wantsStream() && !doneReceived) {
            doneReceived = true;
            writeEvent(data, onDrained); // not only in end(): the server may end its stream much later
            return true;
        }
        if (data.equals(SseData.LAST_EVENT_DATA)) {
            doneReceived = true;
            onDrained.run();
            return true;
        }
        JsonObject chunk = parseChunk(data);
        if (doneReceived || chunk == null) {
            onDrained.run();
            return false;
        }
        return options.wantsStream() ? forward(chunk, onDrained) : collect(chunk, onDrained);
    }

    private static JsonObject parseChunk(String data) {
        if (!Json.isObject(data.getBytes(StandardCharsets.UTF_8))) {
            return null;
        }
        try {
            JsonObject chunk = JsonParser.parseString(data).getAsJsonObject();
            return chunk.get("choices") instanceof JsonArray && !Json.isNestedTooDeep(chunk) ? chunk : null;
        } catch (JsonParseException | IllegalStateException e) {
            return null;
        }
    }

    private boolean forward(JsonObject chunk, Runnable onDrained) {
        if (chunk.getAsJsonArray("choices").isEmpty() && !options.wantsUsage()) {
            onDrained.run();
            return true;
        }
        JsonObject delta = delta(chunk);
        if (delta != null && !roleSent) {
            roleSent = true;
            delta.addProperty("role", "assistant");
        }
        JsonObject outgoingChunk = newResponseObject("chat.completion.chunk");
        chunk.entrySet().forEach(e -> outgoingChunk.add(e.getKey(), e.getValue()));
        writeEvent(Json.GSON.toJson(outgoingChunk), onDrained);
        return true;
    }

    private void writeEvent(String data, Runnable onDrained) {
        reply.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8), onDrained);
    }

    private boolean collect(JsonObject chunk, Runnable onDrained) {
        onDrained.run();
        int lengthBefore = content.length();
        JsonObject delta = delta(chunk);
        if (delta != null) {
            if (delta.get("content") != null && delta.get("content").isJsonPrimitive()) {
                content.append(delta.get("content").getAsString());
            }
            JsonElement reason =
                    chunk.getAsJsonArray("choices").get(0).getAsJsonObject().get("finish_reason");
            finishReason = reason != null && reason.isJsonPrimitive() ? reason.getAsString() : finishReason;
        }
        usage = chunk.has("usage") ? chunk.get("usage") : usage;
        int added = content.length() - lengthBefore;
        return content.length() <= MAX_CONTENT_CHARS && reply.keep(added * BYTES_PER_CONTENT_CHAR);
    }

    private static JsonObject delta(JsonObject chunk) {
        JsonArray choices = chunk.getAsJsonArray("choices");
        boolean hasChoice = !choices.isEmpty() && choices.get(0) instanceof JsonObject;
        return hasChoice && choices.get(0).getAsJsonObject().get("delta") instanceof JsonObject delta ? delta : null;
    }

    private JsonObject newResponseObject(String object) {
        JsonObject responseObject = new JsonObject();
        responseObject.addProperty("id", id);
        responseObject.addProperty("object", object);
        responseObject.addProperty("created", created);
        responseObject.addProperty("model", options.model());
        return responseObject;
    }

    @Override
    public void end() {
        if (!doneReceived) {
            // the server ended its HTTP stream properly, but without "[DONE]"
            broken();
        } else if (options.wantsStream()) {
            reply.endStream();
        } else {
            JsonObject message = new JsonObject();
            message.addProperty("role", "assistant");
            message.addProperty("content", content.toString());
            JsonObject choice = new JsonObject();
            choice.addProperty("index", 0);
            choice.add("message", message);
            choice.add("logprobs", JsonNull.INSTANCE);
            choice.addProperty("finish_reason", finishReason == null ? "stop" : finishReason);
            JsonArray choices = new JsonArray();
            choices.add(choice);
            JsonObject completion = newResponseObject("chat.completion");
            completion.add("choices", choices);
            if (usage != null) {
                completion.add("usage", usage);
            }
            reply.respond(
                    200,
                    "application/json",
                    Map.of(),
                    Json.GSON.toJson(completion).getBytes(StandardCharsets.UTF_8));
        }
    }

    @Override
    public void broken() {
        ApiError error = ApiError.serverError(502, "stream_broken", "The answer broke off before it was whole.");
        if (options.wantsStream()) {
            if (!doneReceived) {
                writeEvent(error.json(), null); // clients read nothing after "[DONE]"
            }
            reply.abort();
        } else {
            reply.respond(error.status, "application/json", Map.of(), error.body());
        }
    }

    @Override
    public void refuse(Duration retryAfter, boolean tried) {
        ApiError error = ApiError.refused(tried);
        // clients of this API expect whole seconds
        long seconds = Math.max(1, (retryAfter.toMillis() + 999) / 1000);
        reply.respond(error.status, "application/json", Map.of("Retry-After", Long.toString(seconds)), error.body());
    }

    @Override
    public void fail(Failure reason) {
        ApiError error = reason == Failure.TOO_LATE
                ? ApiError.serverError(504, "timeout", "No answer came in time.")
                : ApiError.serverError(502, "upstream_failed", "The request failed; it may have run.");
        reply.respond(error.status, "application/json", Map.of(), error.body());
    }
}

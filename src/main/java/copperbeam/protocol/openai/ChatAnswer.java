package copperbeam.protocol.openai;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import copperbeam.protocol.HttpReply;
import copperbeam.protocol.Json;
import copperbeam.routing.Answer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/** Translates a server's events into a response of the chat API: a stream of chunks, or one completion. */
final class ChatAnswer implements Answer {
    private static final int MOST_CHARS = 1 << 20; // of a completion that is collected for a client that doesn't stream

    private final HttpReply reply;
    private final ChatRequest request;
    private final String id;
    private final long created;
    private final StringBuilder content = new StringBuilder();
    private String finishReason;
    private JsonElement usage;
    private boolean roleTold;
    private boolean done;

    ChatAnswer(HttpReply reply, ChatRequest request, String id, Instant arrived) {
        this.reply = reply;
        this.request = request;
        this.id = "chatcmpl-" + id;
        created = arrived.getEpochSecond();
    }

    @Override
    public boolean gone() {
        return reply.gone();
    }

    @Override
    public void begin() {
        if (request.stream()) {
            reply.begin("text/event-stream", Map.of("Cache-Control", "no-cache"));
        }
    }

    /** Returns false for an event that doesn't belong to a chat stream, so that the client doesn't get what it can't parse. */
    @Override
    public boolean event(byte[] raw, Runnable drained) {
        String data = SseData.of(raw);
        if (data == null) {
            drained.run();
            return true;
        }
        if (data.equals("[DONE]") && request.stream() && !done) {
            done = true;
            write(data, drained); // not only in end(): the server may end its stream much later
            return true;
        }
        if (data.equals("[DONE]")) {
            done = true;
            drained.run();
            return true;
        }
        JsonObject chunk = parse(data);
        if (done || chunk == null) {
            drained.run();
            return false;
        }
        return request.stream() ? pass(chunk, drained) : gather(chunk, drained);
    }

    private static JsonObject parse(String data) {
        if (!Json.isObject(data.getBytes(StandardCharsets.UTF_8))) {
            return null;
        }
        try {
            JsonObject chunk = JsonParser.parseString(data).getAsJsonObject();
            return chunk.get("choices") instanceof JsonArray && !Json.nestsTooDeep(chunk) ? chunk : null;
        } catch (JsonParseException | IllegalStateException e) {
            return null;
        }
    }

    private boolean pass(JsonObject chunk, Runnable drained) {
        if (chunk.getAsJsonArray("choices").isEmpty() && !request.includeUsage()) {
            drained.run();
            return true;
        }
        JsonObject delta = delta(chunk);
        if (delta != null && !roleTold) {
            roleTold = true;
            delta.addProperty("role", "assistant");
        }
        JsonObject out = head("chat.completion.chunk");
        chunk.entrySet().forEach(e -> out.add(e.getKey(), e.getValue()));
        write(Json.GSON.toJson(out), drained);
        return true;
    }

    private void write(String data, Runnable drained) {
        reply.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8), drained);
    }

    private boolean gather(JsonObject chunk, Runnable drained) {
        drained.run();
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
        return content.length() <= MOST_CHARS;
    }

    private static JsonObject delta(JsonObject chunk) {
        JsonArray choices = chunk.getAsJsonArray("choices");
        boolean has = !choices.isEmpty() && choices.get(0) instanceof JsonObject;
        return has && choices.get(0).getAsJsonObject().get("delta") instanceof JsonObject delta ? delta : null;
    }

    private JsonObject head(String object) {
        JsonObject out = new JsonObject();
        out.addProperty("id", id);
        out.addProperty("object", object);
        out.addProperty("created", created);
        out.addProperty("model", request.model());
        return out;
    }

    @Override
    public void end() {
        if (!done) {
            // the server ended its HTTP stream properly, but without "[DONE]"
            broken();
        } else if (request.stream()) {
            reply.end();
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
            JsonObject out = head("chat.completion");
            out.add("choices", choices);
            if (usage != null) {
                out.add("usage", usage);
            }
            reply.whole(200, "application/json", Map.of(), Json.GSON.toJson(out).getBytes(StandardCharsets.UTF_8));
        }
    }

    @Override
    public void broken() {
        ApiError error = ApiError.server(502, "stream_broken", "The answer broke off before it was whole.");
        if (request.stream()) {
            if (!done) {
                write(error.json(), null); // clients read nothing after "[DONE]"
            }
            reply.abort();
        } else {
            reply.whole(error.status, "application/json", Map.of(), error.body());
        }
    }

    @Override
    public void refuse(Duration retryAfter, boolean tried) {
        ApiError error = ApiError.refused(tried);
        // clients of this API expect whole seconds
        long seconds = Math.max(1, (retryAfter.toMillis() + 999) / 1000);
        reply.whole(error.status, "application/json", Map.of("Retry-After", Long.toString(seconds)), error.body());
    }

    @Override
    public void fail(Failure why) {
        ApiError error = why == Failure.TOO_LATE
                ? ApiError.server(504, "timeout", "No answer came in time.")
                : ApiError.server(502, "upstream_failed", "The request failed; it may have run.");
        reply.whole(error.status, "application/json", Map.of(), error.body());
    }
}

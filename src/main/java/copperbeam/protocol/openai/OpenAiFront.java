package copperbeam.protocol.openai;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import copperbeam.protocol.Front;
import copperbeam.protocol.HttpCall;
import copperbeam.protocol.HttpReply;
import copperbeam.protocol.Json;
import copperbeam.protocol.MemoryBudget;
import copperbeam.protocol.platform.PlatformFront;
import copperbeam.routing.Intake;
import copperbeam.routing.RequestSpec;
import copperbeam.routing.ResponseSink;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;

/** The front for the chat completions API, which translates requests and responses; it uses the same core as the platform's. */
public final class OpenAiFront implements Front {
    private final ChatModels models;
    private final Intake intake;
    private final BooleanSupplier healthy;
    private final Instant startedAt;

    public OpenAiFront(ChatModels models, Intake intake, BooleanSupplier healthy, Instant startedAt) {
        this.models = models;
        this.intake = intake;
        this.healthy = healthy;
        this.startedAt = startedAt;
    }

    @Override
    public Runnable accept(HttpCall call, HttpReply reply) {
        try {
            String path = call.path();
            if (call.isHealthCheck()) {
                return PlatformFront.answerHealthCheck(reply, healthy.getAsBoolean());
            } else if (path.equals("/v1/models") || path.startsWith("/v1/models/")) {
                requireMethod(call, "GET");
                reply.respond(200, "application/json", Map.of(), modelsJson(path.substring("/v1/models".length())));
                return () -> {};
            } else if (path.equals("/v1/chat/completions")) {
                requireMethod(call, "POST");
                return chat(call, reply);
            }
            throw ApiError.notFound(null, null, "There is nothing at " + path + ".");
        } catch (ApiError e) {
            reply.respond(e.status, "application/json", e.headers(), e.body());
            return () -> {};
        }
    }

    private static void requireMethod(HttpCall call, String method) throws ApiError {
        if (!call.method().equals(method)) {
            throw ApiError.methodNotAllowed("Only " + method + " is taken here.");
        }
    }

    private byte[] modelsJson(String pathRest) throws ApiError {
        JsonArray list = new JsonArray();
        for (String name : new TreeMap<>(models.models()).keySet()) {
            JsonObject model = new JsonObject();
            model.addProperty("id", name);
            model.addProperty("object", "model");
            model.addProperty("created", startedAt.getEpochSecond());
            model.addProperty("owned_by", "copperbeam");
            if (pathRest.equals("/" + name)) {
                return Json.GSON.toJson(model).getBytes(StandardCharsets.UTF_8);
            }
            list.add(model);
        }
        if (!pathRest.isEmpty()) {
            throw ApiError.notFound("model", "model_not_found", "The model does not exist.");
        }
        JsonObject listJson = new JsonObject();
        listJson.addProperty("object", "list");
        listJson.add("data", list);
        return Json.GSON.toJson(listJson).getBytes(StandardCharsets.UTF_8);
    }

    private Runnable chat(HttpCall call, HttpReply reply) throws ApiError {
        ChatRequest request = parse(call);
        ChatModels.Model model = models.models().get(request.model());
        if (model == null) {
            throw ApiError.notFound("model", "model_not_found", "The model '" + request.model() + "' does not exist.");
        }
        String id = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
        int maxTokens = request.maxTokens() > 0 ? request.maxTokens() : model.maxTokens();
        Duration margin = PlatformFront.RESPONSE_MARGIN;
        RequestSpec spec = new RequestSpec(
                id,
                model.requestClass(),
                request.session(),
                request.prefix(),
                request.promptTokens(),
                request.prefixTokens(),
                maxTokens,
                call.arrivedAt().plus(model.timeout()).minus(margin),
                false,
                toServerCall(call, request, model, maxTokens));
        ResponseSink response = new ChatAnswer(reply, request.answerOptions(), id, call.arrivedAt());
        intake.submit(spec, response);
        return () -> intake.clientGone(response);
    }

    /** Parses the body, and puts what servers receive in its place. */
    private static ChatRequest parse(HttpCall call) throws ApiError {
        MemoryBudget memory = call.content().budget();
        long needed = ChatRequest.parsingMemory(call.body());
        if (!memory.couldHold(needed)) {
            throw ApiError.tooLarge("The body has too many values.");
        }
        if (!memory.tryReserve(needed)) {
            throw ApiError.refused(false);
        }
        try {
            ChatRequest request = ChatRequest.parse(call.body());
            if (!call.content().replaceBytes(request.bodyForServers())) {
                throw ApiError.refused(false);
            }
            return request;
        } finally {
            memory.release(needed);
        }
    }

    /** Translates the request into the platform's protocol, which servers use. */
    private static HttpCall toServerCall(HttpCall call, ChatRequest request, ChatModels.Model model, int maxTokens) {
        String attrs = (request.prefix() == null ? "" : "prefix=" + request.prefix() + ",") + "prompt_len="
                + request.promptTokens() + ",prefix_len=" + request.prefixTokens() + ",max_out=" + maxTokens;
        return new HttpCall(
                "POST",
                "/v1/chat/completions",
                Map.of(
                        "x-priority-class",
                        model.requestClass(),
                        "x-route-key",
                        request.session(),
                        "x-attrs",
                        attrs,
                        "content-type",
                        "application/json"),
                call.content(),
                call.arrivedAt(),
                Duration.ZERO);
    }
}

package copperbeam.protocol.openai;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import copperbeam.protocol.Front;
import copperbeam.protocol.HttpCall;
import copperbeam.protocol.HttpReply;
import copperbeam.protocol.Json;
import copperbeam.protocol.platform.PlatformFront;
import copperbeam.routing.Answer;
import copperbeam.routing.Ask;
import copperbeam.routing.Intake;
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
    private final Instant started;

    public OpenAiFront(ChatModels models, Intake intake, BooleanSupplier healthy, Instant started) {
        this.models = models;
        this.intake = intake;
        this.healthy = healthy;
        this.started = started;
    }

    @Override
    public Runnable accept(HttpCall call, HttpReply reply) {
        try {
            String path = call.path();
            if (call.asksForHealth()) {
                return PlatformFront.health(reply, healthy.getAsBoolean());
            } else if (path.equals("/v1/models") || path.startsWith("/v1/models/")) {
                want(call, "GET");
                reply.whole(200, "application/json", Map.of(), models(path.substring("/v1/models".length())));
                return () -> {};
            } else if (path.equals("/v1/chat/completions")) {
                want(call, "POST");
                return chat(call, reply);
            }
            throw ApiError.notFound(null, null, "There is nothing at " + path + ".");
        } catch (ApiError e) {
            reply.whole(e.status, "application/json", Map.of(), e.body());
            return () -> {};
        }
    }

    private static void want(HttpCall call, String method) throws ApiError {
        if (!call.method().equals(method)) {
            throw ApiError.method("Only " + method + " is taken here.");
        }
    }

    private byte[] models(String rest) throws ApiError {
        JsonArray list = new JsonArray();
        for (String name : new TreeMap<>(models.models()).keySet()) {
            JsonObject model = new JsonObject();
            model.addProperty("id", name);
            model.addProperty("object", "model");
            model.addProperty("created", started.getEpochSecond());
            model.addProperty("owned_by", "copperbeam");
            if (rest.equals("/" + name)) {
                return Json.GSON.toJson(model).getBytes(StandardCharsets.UTF_8);
            }
            list.add(model);
        }
        if (!rest.isEmpty()) {
            throw ApiError.notFound("model", "model_not_found", "The model does not exist.");
        }
        JsonObject out = new JsonObject();
        out.addProperty("object", "list");
        out.add("data", list);
        return Json.GSON.toJson(out).getBytes(StandardCharsets.UTF_8);
    }

    private Runnable chat(HttpCall call, HttpReply reply) throws ApiError {
        ChatRequest request = ChatRequest.parse(call.body());
        ChatModels.Model model = models.models().get(request.model());
        if (model == null) {
            throw ApiError.notFound("model", "model_not_found", "The model '" + request.model() + "' does not exist.");
        }
        String id = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
        int maxTokens = request.maxTokens() > 0 ? request.maxTokens() : model.maxTokens();
        Duration margin = PlatformFront.MARGIN;
        Ask ask = new Ask(
                id,
                model.requestClass(),
                request.session(),
                request.prefix(),
                request.promptTokens(),
                request.prefixTokens(),
                maxTokens,
                call.arrived().plus(model.timeout()).minus(margin),
                false,
                passed(call, request, model, maxTokens));
        Answer answer = new ChatAnswer(reply, request, id, call.arrived());
        intake.arrive(ask, answer);
        return () -> intake.left(answer);
    }

    /** Translates the request into the platform's protocol, which servers use. */
    private static HttpCall passed(HttpCall call, ChatRequest request, ChatModels.Model model, int maxTokens) {
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
                request.forServers(call.body()),
                call.arrived());
    }
}

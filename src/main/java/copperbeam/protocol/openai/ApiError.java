package copperbeam.protocol.openai;

import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import copperbeam.protocol.Json;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** An error response of the chat API. */
final class ApiError extends Exception {
    private static final long serialVersionUID = 1L;

    final int status;
    private final String type;
    private final String param;
    private final String code;

    private ApiError(int status, String type, String param, String code, String message) {
        super(message);
        this.status = status;
        this.type = type;
        this.param = param;
        this.code = code;
    }

    static ApiError invalidRequest(String param, String message) {
        return new ApiError(400, "invalid_request_error", param, null, message);
    }

    static ApiError notFound(String param, String code, String message) {
        return new ApiError(404, "invalid_request_error", param, code, message);
    }

    static ApiError methodNotAllowed(String message) {
        return new ApiError(405, "invalid_request_error", null, null, message);
    }

    static ApiError tooLarge(String message) {
        return new ApiError(413, "invalid_request_error", null, null, message);
    }

    static ApiError refused(boolean tried) {
        return tried
                ? new ApiError(503, "server_error", null, "overloaded", "The servers are busy; try again later.")
                : new ApiError(
                        429,
                        "rate_limit_error",
                        null,
                        "rate_limit_exceeded",
                        "Too much is asked for just now; try again later.");
    }

    static ApiError serverError(int status, String code, String message) {
        return new ApiError(status, "server_error", null, code, message);
    }

    /** A refusal before any front or server has worked on the request advises when to come back. */
    Map<String, String> headers() {
        return status == 429 ? Map.of("Retry-After", "1") : Map.of();
    }

    String json() {
        JsonObject error = new JsonObject();
        error.addProperty("message", getMessage());
        error.addProperty("type", type);
        error.add("param", JsonNull.INSTANCE);
        error.add("code", JsonNull.INSTANCE);
        if (param != null) {
            error.addProperty("param", param);
        }
        if (code != null) {
            error.addProperty("code", code);
        }
        JsonObject outer = new JsonObject();
        outer.add("error", error);
        return Json.GSON.toJson(outer);
    }

    byte[] body() {
        return json().getBytes(StandardCharsets.UTF_8);
    }
}

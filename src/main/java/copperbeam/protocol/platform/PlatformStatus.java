package copperbeam.protocol.platform;

import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import copperbeam.routing.Connector.AnswerKind;

/** Interprets the status codes of servers as the platform's protocol defines them. */
public final class PlatformStatus {
    private PlatformStatus() {}

    /**
     * Classifies the answer to an attempt. An answer that belongs to the other role is an error: if a writer counted as having
     * read the prompt, it would be sent the same request again, although it may have run it.
     *
     * @param fromReader the server acted as a reader
     * @param notProcessed the answer has the header that says that nothing ran
     */
    public static AnswerKind classifyAttempt(boolean fromReader, int status, boolean notProcessed) {
        return switch (status) {
            case 200 -> fromReader ? AnswerKind.ERROR : AnswerKind.STREAM;
            case 202 -> fromReader ? AnswerKind.READ : AnswerKind.ERROR;
            case 410 -> notProcessed ? AnswerKind.STATE_MISSING : AnswerKind.ERROR;
            // without the header the request may have run
            case 503, 504 -> notProcessed ? AnswerKind.TURNED_AWAY : AnswerKind.ERROR;
            default -> AnswerKind.ERROR;
        };
    }

    /** Parses a reader's answer: how many tokens of the prompt it found in its cache, or NaN if it doesn't say. */
    public static double cachedTokens(String body) {
        try {
            JsonElement cached = JsonParser.parseString(body).getAsJsonObject().get("cached_tokens");
            return cached == null ? Double.NaN : cached.getAsLong();
        } catch (RuntimeException e) { // for other input than such an object, Gson throws exceptions of several types
            return Double.NaN;
        }
    }

    public static AnswerKind classifyProbe(int status) {
        return status == 200 ? AnswerKind.HEARD : status == 503 ? AnswerKind.TURNED_AWAY : AnswerKind.ERROR;
    }

    public static AnswerKind classifyRelease(int status) {
        return status / 100 == 2 ? AnswerKind.HEARD : AnswerKind.ERROR;
    }
}

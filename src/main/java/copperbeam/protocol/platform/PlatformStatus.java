package copperbeam.protocol.platform;

import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import copperbeam.routing.Connector.Word;

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
    public static Word attempt(boolean reads, int status, boolean notProcessed) {
        return switch (status) {
            case 200 -> reads ? Word.ERROR : Word.STREAM;
            case 202 -> reads ? Word.READ : Word.ERROR;
            case 410 -> notProcessed ? Word.STATE_MISSING : Word.ERROR;
            // without the header the request may have run
            case 503, 504 -> notProcessed ? Word.TURNED_AWAY : Word.ERROR;
            default -> Word.ERROR;
        };
    }

    /** Parses a reader's answer: how many tokens of the prompt it found in its cache, or NaN if it doesn't say. */
    public static double keptTokens(String body) {
        try {
            JsonElement kept = JsonParser.parseString(body).getAsJsonObject().get("cached_tokens");
            return kept == null ? Double.NaN : kept.getAsLong();
        } catch (RuntimeException e) { // for other input than such an object, Gson throws exceptions of several types
            return Double.NaN;
        }
    }

    public static Word probe(int status) {
        return status == 200 ? Word.HEARD : status == 503 ? Word.TURNED_AWAY : Word.ERROR;
    }

    public static Word release(int status) {
        return status / 100 == 2 ? Word.HEARD : Word.ERROR;
    }
}

package copperbeam.protocol.platform;

import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import copperbeam.routing.Connector.Word;

/** What a server's status means on the platform. */
public final class PlatformStatus {
    private PlatformStatus() {}

    /**
     * {@code reads}: at a reader; {@code notProcessed}: the answer says that nothing ran. Guards against the other role's
     * word: a writer that was taken to have read would be sent the same again, though it may have run.
     */
    public static Word attempt(boolean reads, int status, boolean notProcessed) {
        return switch (status) {
            case 200 -> reads ? Word.ERROR : Word.STREAM;
            case 202 -> reads ? Word.READ : Word.ERROR;
            case 410 -> notProcessed ? Word.STATE_MISSING : Word.ERROR;
            // without the header nothing proves that it did not run
            case 503, 504 -> notProcessed ? Word.TURNED_AWAY : Word.ERROR;
            default -> Word.ERROR;
        };
    }

    /** Of a read's answer: the prompt tokens that were found kept; NaN where it does not say. */
    public static double keptTokens(String body) {
        try {
            JsonElement kept = JsonParser.parseString(body).getAsJsonObject().get("cached_tokens");
            return kept == null ? Double.NaN : kept.getAsLong();
        } catch (RuntimeException e) { // what Gson throws of whatever is no such object, of several kinds
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

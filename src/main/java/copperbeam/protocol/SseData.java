package copperbeam.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** Extracts the data of a server-sent event. */
public final class SseData {
    /** The data of the last event of a stream of completions. */
    public static final String LAST_EVENT_DATA = "[DONE]";

    private static final byte[] DATA_NAME = "data".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] LAST_EVENT_BYTES = LAST_EVENT_DATA.getBytes(StandardCharsets.US_ASCII);

    private SseData() {}

    /** Whether this is the last event of a whole stream; only comments may follow it. */
    public static boolean isLastEvent(byte[] eventBytes) {
        return containsLastEventBytes(eventBytes) && LAST_EVENT_DATA.equals(dataOf(eventBytes));
    }

    /** A quick check that rules out most events, as it is made for each event of each stream. */
    private static boolean containsLastEventBytes(byte[] eventBytes) {
        for (int start = 0; start <= eventBytes.length - LAST_EVENT_BYTES.length; start++) {
            if (eventBytes[start] == LAST_EVENT_BYTES[0]
                    && Arrays.equals(
                            eventBytes,
                            start,
                            start + LAST_EVENT_BYTES.length,
                            LAST_EVENT_BYTES,
                            0,
                            LAST_EVENT_BYTES.length)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the event has a line of data; others are comments, or fields that no client acts on. */
    public static boolean hasData(byte[] eventBytes) {
        boolean atLineStart = true;
        for (int i = 0; i + DATA_NAME.length <= eventBytes.length; i++) {
            if (atLineStart && Arrays.equals(eventBytes, i, i + DATA_NAME.length, DATA_NAME, 0, DATA_NAME.length)) {
                return true;
            }
            atLineStart = eventBytes[i] == '\n' || eventBytes[i] == '\r';
        }
        return false;
    }

    /** Returns the data lines of an event joined by line feeds, or null if it has none, for example in a comment. */
    public static String dataOf(byte[] eventBytes) {
        StringBuilder data = null;
        List<String> lines =
                new String(eventBytes, StandardCharsets.UTF_8).lines().toList();
        for (String line : lines) {
            if (line.equals("data") || line.startsWith("data:")) {
                String value = line.length() > 5 ? line.substring(5) : "";
                value = value.startsWith(" ") ? value.substring(1) : value;
                data = data == null
                        ? new StringBuilder(value)
                        : data.append('\n').append(value);
            }
        }
        return data == null ? null : data.toString();
    }
}

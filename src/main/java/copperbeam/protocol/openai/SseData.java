package copperbeam.protocol.openai;

import java.nio.charset.StandardCharsets;

/** Extracts the data of a server-sent event. */
final class SseData {
    private SseData() {}

    /** Returns the data lines of an event joined by line feeds, or null if it has none, for example in a comment. */
    static String dataOf(byte[] eventBytes) {
        StringBuilder data = null;
        for (String line : new String(eventBytes, StandardCharsets.UTF_8).split("\r\n|\n|\r")) {
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

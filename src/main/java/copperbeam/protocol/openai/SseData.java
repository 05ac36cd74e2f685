package copperbeam.protocol.openai;

import java.nio.charset.StandardCharsets;

/** The data of one server-sent event. */
final class SseData {
    private SseData() {}

    /** The event's data lines joined, or null where it has none, as a comment. */
    static String of(byte[] raw) {
        StringBuilder data = null;
        for (String line : new String(raw, StandardCharsets.UTF_8).split("\r\n|\n|\r")) {
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

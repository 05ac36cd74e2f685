package copperbeam.protocol.etcd;

import com.google.gson.JsonParseException;
import copperbeam.protocol.Json;
import copperbeam.protocol.discovery.ServerList;
import copperbeam.routing.MembershipSource.Entry;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds and parses the bodies of etcd's JSON gateway, where keys and values are in base64 and 64-bit numbers are strings. */
final class EtcdWire {
    private EtcdWire() {}

    private record Header(long revision) {}

    private record KeyValue(String key, String value) {}

    private record Event(String type, KeyValue kv) {}

    private record RangeAnswer(Header header, List<KeyValue> kvs) {}

    private record WatchResult(
            Header header, boolean created, boolean canceled, long compact_revision, List<Event> events) {}

    private record WatchLine(WatchResult result, Object error) {}

    /** The servers under a prefix at a revision. */
    record Listing(long revision, List<Entry> entries) {}

    /** One line of a watch. {@code ended}: the watch has ended, for example because of a compaction. */
    record Change(long revision, boolean ended, List<Entry> entries) {}

    static byte[] rangeRequest(String prefix) {
        return utf8(Json.GSON.toJson(keyRange(prefix)));
    }

    static byte[] watchRequest(String prefix, long fromRevision) {
        Map<String, Object> create = keyRange(prefix);
        create.put("start_revision", Long.toString(fromRevision));
        return utf8(Json.GSON.toJson(Map.of("create_request", create)));
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Map<String, Object> keyRange(String prefix) {
        byte[] rangeEnd = utf8(prefix);
        rangeEnd[
                rangeEnd.length
                        - 1]++; // the first key after all with this prefix; no overflow, as the prefix ends in a slash
        Map<String, Object> keyRange = new LinkedHashMap<>();
        keyRange.put("key", Base64.getEncoder().encodeToString(utf8(prefix)));
        keyRange.put("range_end", Base64.getEncoder().encodeToString(rangeEnd));
        return keyRange;
    }

    /** Parses the response to a range request; throws {@link IllegalArgumentException} if it is malformed. */
    static Listing parseListing(String prefix, byte[] body) {
        RangeAnswer answer = parse(body, RangeAnswer.class);
        if (answer == null || answer.header == null) {
            throw new IllegalArgumentException("range response without a revision");
        }
        List<Entry> entries = new ArrayList<>();
        for (KeyValue kv : answer.kvs == null ? List.<KeyValue>of() : answer.kvs) {
            entries.add(parseEntry(prefix, kv, false));
        }
        return new Listing(answer.header.revision, entries);
    }

    /** Parses one line of a watch; throws {@link IllegalArgumentException} if it is malformed or reports an error. */
    static Change parseWatchLine(String prefix, byte[] line) {
        WatchLine watchLine = parse(line, WatchLine.class);
        if (watchLine == null || watchLine.error != null || watchLine.result == null) {
            throw new IllegalArgumentException("the watch failed: " + (watchLine == null ? "" : watchLine.error));
        }
        WatchResult result = watchLine.result;
        List<Entry> entries = new ArrayList<>();
        for (Event event : result.events == null ? List.<Event>of() : result.events) {
            if (event.kv == null) {
                throw new IllegalArgumentException("watch event without a key");
            }
            entries.add(parseEntry(prefix, event.kv, "DELETE".equals(event.type)));
        }
        return new Change(
                result.header == null ? 0 : result.header.revision,
                result.canceled || result.compact_revision > 0,
                entries);
    }

    private static <T> T parse(byte[] body, Class<T> type) {
        try {
            return Json.GSON.fromJson(new String(body, StandardCharsets.UTF_8), type);
        } catch (JsonParseException e) {
            throw new IllegalArgumentException(
                    "unexpected format of the JSON gateway's response: " + e.getMessage(), e);
        }
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64 == null ? "" : base64), StandardCharsets.UTF_8);
    }

    /** The rest of the key after the prefix is the server's id; the value is its entry in the format of platform discovery. */
    private static Entry parseEntry(String prefix, KeyValue kv, boolean deleted) {
        String key = decode(kv.key);
        String id = key.startsWith(prefix) ? key.substring(prefix.length()) : "";
        return deleted
                ? ServerList.leftEntry(id)
                : ServerList.parseEntry(
                        id, ServerList.requireObject(Json.parseStrict(decode(kv.value)), "the entry of server " + id));
    }

    /** Splits a stream into lines; an incomplete line is kept until the rest of it comes. */
    static final class LineSplitter {
        private static final int MAX_LINE_BYTES = 1 << 20;
        private byte[] incompleteLine = {};

        List<byte[]> add(byte[] bytes) {
            byte[] joined = Arrays.copyOf(incompleteLine, incompleteLine.length + bytes.length);
            System.arraycopy(bytes, 0, joined, incompleteLine.length, bytes.length);
            List<byte[]> lines = new ArrayList<>();
            int lineStart = 0;
            for (int i = 0; i < joined.length; i++) {
                if (joined[i] == '\n') {
                    lines.add(Arrays.copyOfRange(joined, lineStart, i));
                    lineStart = i + 1;
                }
            }
            incompleteLine = Arrays.copyOfRange(joined, lineStart, joined.length);
            if (incompleteLine.length > MAX_LINE_BYTES) {
                throw new IllegalArgumentException("line too long");
            }
            return lines;
        }
    }
}

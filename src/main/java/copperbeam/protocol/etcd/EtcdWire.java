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
    record Change(long revision, boolean over, List<Entry> entries) {}

    static byte[] range(String prefix) {
        return bytes(Json.GSON.toJson(span(prefix)));
    }

    static byte[] watch(String prefix, long fromRevision) {
        Map<String, Object> create = span(prefix);
        create.put("start_revision", Long.toString(fromRevision));
        return bytes(Json.GSON.toJson(Map.of("create_request", create)));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static Map<String, Object> span(String prefix) {
        byte[] end = bytes(prefix);
        end[end.length - 1]++; // the first key after all with this prefix; no overflow, as the prefix ends in a slash
        Map<String, Object> span = new LinkedHashMap<>();
        span.put("key", Base64.getEncoder().encodeToString(bytes(prefix)));
        span.put("range_end", Base64.getEncoder().encodeToString(end));
        return span;
    }

    /** Parses the response to a range request; throws {@link IllegalArgumentException} if it is malformed. */
    static Listing listing(String prefix, byte[] body) {
        RangeAnswer answer = parse(body, RangeAnswer.class);
        if (answer == null || answer.header == null) {
            throw new IllegalArgumentException("range response without a revision");
        }
        List<Entry> entries = new ArrayList<>();
        for (KeyValue kv : answer.kvs == null ? List.<KeyValue>of() : answer.kvs) {
            entries.add(entry(prefix, kv, false));
        }
        return new Listing(answer.header.revision, entries);
    }

    /** Parses one line of a watch; throws {@link IllegalArgumentException} if it is malformed or reports an error. */
    static Change change(String prefix, byte[] line) {
        WatchLine answer = parse(line, WatchLine.class);
        if (answer == null || answer.error != null || answer.result == null) {
            throw new IllegalArgumentException("the watch failed: " + (answer == null ? "" : answer.error));
        }
        WatchResult result = answer.result;
        List<Entry> entries = new ArrayList<>();
        for (Event event : result.events == null ? List.<Event>of() : result.events) {
            if (event.kv == null) {
                throw new IllegalArgumentException("watch event without a key");
            }
            entries.add(entry(prefix, event.kv, "DELETE".equals(event.type)));
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
            throw new IllegalArgumentException("unexpected format of the JSON gateway's response: " + e.getMessage(), e);
        }
    }

    private static String text(String base64) {
        return new String(Base64.getDecoder().decode(base64 == null ? "" : base64), StandardCharsets.UTF_8);
    }

    /** The rest of the key after the prefix is the server's id; the value is its entry in the format of platform discovery. */
    private static Entry entry(String prefix, KeyValue kv, boolean deleted) {
        String key = text(kv.key);
        String id = key.startsWith(prefix) ? key.substring(prefix.length()) : "";
        return deleted
                ? ServerList.left(id)
                : ServerList.entry(id, ServerList.object(Json.strict(text(kv.value)), "the entry of server " + id));
    }

    /** Splits a stream into lines; an incomplete line is kept until the rest of it comes. */
    static final class Lines {
        private static final int MOST = 1 << 20;
        private byte[] rest = {};

        List<byte[]> add(byte[] bytes) {
            byte[] all = Arrays.copyOf(rest, rest.length + bytes.length);
            System.arraycopy(bytes, 0, all, rest.length, bytes.length);
            List<byte[]> lines = new ArrayList<>();
            int from = 0;
            for (int i = 0; i < all.length; i++) {
                if (all[i] == '\n') {
                    lines.add(Arrays.copyOfRange(all, from, i));
                    from = i + 1;
                }
            }
            rest = Arrays.copyOfRange(all, from, all.length);
            if (rest.length > MOST) {
                throw new IllegalArgumentException("line too long");
            }
            return lines;
        }
    }
}

package copperbeam.protocol.etcd;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import copperbeam.membership.StoreAnswer.ServerUpdate;
import copperbeam.protocol.Json;
import copperbeam.protocol.discovery.ServerList;
import copperbeam.routing.MembershipSource.Entry;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;

/** Builds and parses the bodies of etcd's JSON gateway, where keys and values are in base64 and 64-bit numbers are strings. */
final class EtcdWire {
    private EtcdWire() {}

    /** A key and its value as a server's state. {@code problem}: why the entry can't be read, or null. */
    record ParsedKey(ServerUpdate update, String problem) {}

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
        // the first key after all with this prefix; no overflow, as the prefix ends in a slash
        rangeEnd[rangeEnd.length - 1]++;
        Map<String, Object> keyRange = new LinkedHashMap<>();
        keyRange.put("key", Base64.getEncoder().encodeToString(utf8(prefix)));
        keyRange.put("range_end", Base64.getEncoder().encodeToString(rangeEnd));
        return keyRange;
    }

    /** The revision in the header of a response; 0 if there is none. */
    static long storeRevision(JsonObject response) {
        JsonElement header = response.get("header");
        return header != null && header.isJsonObject() ? wholeNumber(header.getAsJsonObject(), "revision") : 0;
    }

    /** A number, plain or in quotes; 0 if it is absent. Throws {@link IllegalArgumentException} if it is none. */
    static long wholeNumber(JsonObject object, String name) {
        JsonPrimitive value = primitive(object, name);
        try {
            return value == null ? 0 : value.getAsBigDecimal().longValueExact();
        } catch (ArithmeticException | NumberFormatException e) {
            throw new IllegalArgumentException(name + " is not a whole number", e);
        }
    }

    static boolean isTrue(JsonObject object, String name) {
        JsonPrimitive value = primitive(object, name);
        return value != null && value.getAsBoolean();
    }

    /** A text; empty if it is absent. */
    static String text(JsonObject object, String name) {
        JsonPrimitive value = primitive(object, name);
        return value == null ? "" : value.getAsString();
    }

    private static JsonPrimitive primitive(JsonObject object, String name) {
        JsonElement value = object.get(name);
        if (value == null || value.isJsonNull()) {
            return null;
        }
        if (!value.isJsonPrimitive()) {
            throw new IllegalArgumentException(name + " is not a simple value");
        }
        return value.getAsJsonPrimitive();
    }

    /** Parses an event of a watch; throws {@link IllegalArgumentException} if it names no server. */
    static ParsedKey parseEvent(String prefix, JsonElement event) {
        JsonObject eventObject = ServerList.requireObject(event, "an event");
        JsonElement keyValue = eventObject.get("kv");
        if (keyValue == null) {
            throw new IllegalArgumentException("an event without a key");
        }
        return parseKeyValue(prefix, keyValue, text(eventObject, "type").equals("DELETE"));
    }

    /**
     * Parses a key and its value. The rest of the key after the prefix is the server's id; the value is its entry in the
     * format of platform discovery. Throws {@link IllegalArgumentException} if it names no server.
     */
    static ParsedKey parseKeyValue(String prefix, JsonElement keyValue, boolean isDeleted) {
        JsonObject object = ServerList.requireObject(keyValue, "a key");
        String key = decode(text(object, "key"));
        String server = key.startsWith(prefix) ? key.substring(prefix.length()) : "";
        if (server.isEmpty()) {
            throw new IllegalArgumentException("the key " + key + " names no server");
        }
        long revision = revisionOrZero(object);
        try {
            Entry entry = isDeleted ? ServerList.leftEntry(server) : parseEntry(server, text(object, "value"));
            return new ParsedKey(new ServerUpdate(server, entry, revision), null);
        } catch (RuntimeException e) { // whatever is wrong with it, the other entries count
            return new ParsedKey(new ServerUpdate(server, null, revision), "the key " + key + ": " + e.getMessage());
        }
    }

    /** The revision of a key's last change; 0 if it is absent or no number. */
    private static long revisionOrZero(JsonObject keyValue) {
        try {
            return wholeNumber(keyValue, "mod_revision");
        } catch (IllegalArgumentException e) {
            return 0;
        }
    }

    private static Entry parseEntry(String server, String value) {
        JsonElement entry = Json.parseStrict(decode(value));
        return ServerList.parseEntry(server, ServerList.requireObject(entry, "the entry"));
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }
}

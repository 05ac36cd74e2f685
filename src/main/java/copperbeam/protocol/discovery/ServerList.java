package copperbeam.protocol.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import copperbeam.Api.ServerState;
import copperbeam.protocol.Json;
import copperbeam.routing.MembershipSource.Change;
import copperbeam.routing.MembershipSource.Entry;
import copperbeam.routing.ModuleTime;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * A response of the discovery service: the full server list or changes of it. Types are checked strictly: a number in quotes
 * is not a number, and an id without quotes is not an id.
 */
public record ServerList(long version, boolean full, List<Entry> entries) {
    /** Throws {@link IllegalArgumentException} with the problem if the list or one of its servers is invalid. */
    public static ServerList parse(String json) {
        JsonObject list = requireObject(Json.parseStrict(json), "the list");
        if (!list.has("servers") || !list.get("servers").isJsonArray()) {
            throw new IllegalArgumentException("the list names no servers");
        }
        Long version = wholeNumber(list, "version");
        if (version == null) {
            throw new IllegalArgumentException("the list has no version");
        }
        JsonPrimitive full = primitiveValue(list, "full", JsonPrimitive::isBoolean, "true or false");
        List<Entry> entries = new ArrayList<>();
        for (JsonElement server : list.getAsJsonArray("servers")) {
            JsonObject serverObject = requireObject(server, "a server");
            entries.add(parseEntry(stringValue(serverObject, "id"), serverObject));
        }
        return new ServerList(version, full != null && full.getAsBoolean(), List.copyOf(entries));
    }

    public Change toChange(ListKind kind) {
        return new Change(kind, entries);
    }

    /** Parses one server in the format of discovery. Throws {@link IllegalArgumentException} with the problem if it is invalid. */
    public static Entry parseEntry(String id, JsonObject server) {
        if (id == null || id.isEmpty()) {
            throw new IllegalArgumentException("a server without an id");
        }
        try {
            String stateName = stringValue(server, "state");
            ServerState state = switch (stateName == null ? "active" : stateName) {
                case "active" -> ServerState.READY;
                case "leaving" -> ServerState.DRAINING;
                case "left" -> ServerState.GONE;
                default -> throw new IllegalArgumentException("unknown state '" + stateName + "'");
            };
            String addr = stringValue(server, "addr");
            if (addr == null && state != ServerState.GONE) {
                throw new IllegalArgumentException("no addr");
            }
            JsonPrimitive weight = primitiveValue(server, "weight", JsonPrimitive::isNumber, "a number");
            double weightValue = weight == null ? 1 : weight.getAsDouble();
            if (!(weightValue >= 0) || Double.isInfinite(weightValue)) {
                throw new IllegalArgumentException("weight " + weight + " is none");
            }
            Long cell = wholeNumber(server, "cell");
            Long started = wholeNumber(server, "started_ms");
            return new Entry(
                    new Member(
                            id,
                            stringValue(server, "zone"),
                            stringValue(server, "kind"),
                            cell == null ? 0 : cell,
                            state,
                            weightValue,
                            ModuleTime.seconds(Duration.ofMillis(started == null ? 0 : started))),
                    addr == null ? null : parseAddress(addr));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("server " + id + ": " + e.getMessage(), e);
        }
    }

    /** Returns an entry that only says that the server has left. */
    public static Entry leftEntry(String id) {
        JsonObject left = new JsonObject();
        left.addProperty("state", "left");
        return parseEntry(id, left);
    }

    public static JsonObject requireObject(JsonElement element, String what) {
        if (!element.isJsonObject()) {
            throw new IllegalArgumentException(what + " is no object");
        }
        return element.getAsJsonObject();
    }

    private static String stringValue(JsonObject object, String key) {
        JsonPrimitive value = primitiveValue(object, key, JsonPrimitive::isString, "a text");
        return value == null ? null : value.getAsString();
    }

    private static Long wholeNumber(JsonObject object, String key) {
        JsonPrimitive value = primitiveValue(object, key, JsonPrimitive::isNumber, "a whole number");
        try {
            return value == null ? null : Long.valueOf(new BigDecimal(value.getAsString()).longValueExact());
        } catch (ArithmeticException | NumberFormatException e) {
            throw new IllegalArgumentException(key + " is not a whole number", e);
        }
    }

    /** Returns the value of a key, or null if the key is absent or its value is null. */
    private static JsonPrimitive primitiveValue(
            JsonObject object, String key, Predicate<JsonPrimitive> hasExpectedType, String expected) {
        JsonElement value = object.get(key);
        if (value == null || value.isJsonNull()) {
            return null;
        }
        if (!value.isJsonPrimitive() || !hasExpectedType.test(value.getAsJsonPrimitive())) {
            throw new IllegalArgumentException(key + " is not " + expected);
        }
        return value.getAsJsonPrimitive();
    }

    // Four numbers of at most 255. Anything else would be looked up in DNS, which blocks all actors meanwhile.
    private static final String IPV4_PATTERN = "((25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!$)|$)){4}";

    /** Parses {@code host:port}. The host must be an IP address or localhost, as the platform has no DNS. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = colon <= 0 ? "" : text.substring(0, colon);
            if (host.matches(IPV4_PATTERN + "|\\[?[0-9a-fA-F:]*:[0-9a-fA-F:]*]?|localhost")) {
                InetSocketAddress address = new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
                if (!address.isUnresolved()) {
                    return address;
                }
            }
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + text + "' is not host:port", e);
        }
        throw new IllegalArgumentException("'" + text + "' is not host:port");
    }
}

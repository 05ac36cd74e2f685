package copperbeam.program;

import com.google.gson.JsonParseException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import copperbeam.Api.Settings;
import copperbeam.protocol.Json;
import copperbeam.protocol.discovery.ServerList;
import copperbeam.routing.ModuleTime;
import copperbeam.simhost.Decoder;
import copperbeam.simhost.Wire;

/**
 * All that the program is told at its start. Here and nowhere else it is read, checked and given defaults.
 *
 * @param known the list as it was last had, or null
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
        Settings settings, ServerList known, Duration connectTimeout, Duration connectionIdle) {

    /** What is wrong, by the key at fault. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1L;

        Invalid(String key, String what) {
            super(key + ": " + what);
        }
    }

    /** From the platform's variables and the file that they name. */
    public static Config read(Map<String, String> environment) throws Invalid {
        Map<String, Object> file = file(environment.get("GW_CONFIG"));
        String name = text(environment, "GW_NAME", file, "name", "conductor");
        Map<String, Object> raw = object(file, "settings");
        Map<String, Object> limits = object(raw, "limits");
        ServerList known = known(file.get("known"));
        return new Config(name, address(environment, "GW_LISTEN", file, "listen"),
                address(environment, "GW_DISCOVERY", file, "discovery"), seed(file.get("seed"), name),
                settings(raw), known, span(limits, "connect_timeout_s", "settings.limits.connect_timeout_s", 0.25),
                span(limits, "conn_idle_s", "settings.limits.conn_idle_s", 30));
    }

    private static Map<String, Object> file(String path) throws Invalid {
        if (path == null || path.isEmpty()) {
            throw new Invalid("GW_CONFIG", "is not set");
        }
        try {
            Object value = Json.GSON.fromJson(Files.readString(Path.of(path)), Object.class);
            if (value instanceof Map<?, ?>) {
                return cast(value);
            }
            throw new Invalid("GW_CONFIG", path + " holds no JSON object");
        } catch (IOException e) {
            throw new Invalid("GW_CONFIG", "cannot read " + path + ": " + e);
        } catch (JsonParseException e) {
            throw new Invalid("GW_CONFIG", path + " is not JSON: " + e.getMessage());
        }
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> cast(Object map) {
        return (Map<String, Object>) map;
    }

    private static Map<String, Object> object(Map<String, Object> in, String key) throws Invalid {
        Object value = in.get(key);
        if (!(value instanceof Map<?, ?>)) {
            throw new Invalid(key, value == null ? "is missing" : "is not an object");
        }
        return cast(value);
    }

    private static String text(Map<String, String> environment, String variable, Map<String, Object> file,
            String key, String absent) throws Invalid {
        String set = environment.get(variable);
        Object value = set != null && !set.isEmpty() ? set : file.get(key);
        if (value == null && absent == null) {
            throw new Invalid(key, "is missing, and " + variable + " is not set");
        }
        if (value != null && !(value instanceof String)) {
            throw new Invalid(key, "is not a string");
        }
        return value == null ? absent : (String) value;
    }

    private static InetSocketAddress address(Map<String, String> environment, String variable,
            Map<String, Object> file, String key) throws Invalid {
        try {
            return ServerList.address(text(environment, variable, file, key, null));
        } catch (IllegalArgumentException e) {
            throw new Invalid(key, e.getMessage());
        }
    }

    private static Settings settings(Map<String, Object> raw) throws Invalid {
        Settings settings;
        try {
            settings = Decoder.settings(raw);
        } catch (Wire.Malformed e) {
            throw new Invalid("settings", e.getMessage());
        }
        if (settings.classes().isEmpty()) {
            throw new Invalid("settings.services", "names no class");
        }
        if (settings.limits().maxAttempts() < 1) {
            throw new Invalid("settings.limits.send_cap", "allows no attempt");
        }
        return settings;
    }

    private static ServerList known(Object value) throws Invalid {
        try {
            return value == null ? null : ServerList.parse(Json.GSON.toJson(value));
        } catch (IllegalArgumentException e) {
            throw new Invalid("known", e.getMessage());
        }
    }

    private static long seed(Object value, String name) throws Invalid {
        if (value == null) {
            return name.hashCode() ^ System.nanoTime();
        }
        try {
            return value instanceof Number n ? n.longValue() : Long.parseUnsignedLong(value.toString(), 16);
        } catch (NumberFormatException e) {
            throw new Invalid("seed", "is not a hexadecimal number of 64 bits");
        }
    }

    private static Duration span(Map<String, Object> in, String key, String path, double absent) throws Invalid {
        Object value = in.getOrDefault(key, absent);
        if (!(value instanceof Number n) || !(n.doubleValue() > 0)) {
            throw new Invalid(path, "is not a span of seconds above 0");
        }
        return ModuleTime.span(n.doubleValue());
    }

    public Set<String> classNames() {
        Set<String> names = new TreeSet<>();
        settings.classes().forEach(c -> names.add(c.name()));
        return names;
    }
}

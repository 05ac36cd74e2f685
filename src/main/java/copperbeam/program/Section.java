package copperbeam.program;

import com.google.gson.JsonParseException;
import copperbeam.protocol.Json;
import copperbeam.protocol.discovery.ServerList;
import copperbeam.routing.ModuleTime;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A JSON object of a configuration file; its exceptions name the key at fault by its full path. */
final class Section {
    static final double MAX_DURATION_S = 1e9; // twice as much still fits a long in nanoseconds

    private final String path;
    private final Map<String, Object> values;

    private Section(String path, Map<String, Object> values) {
        this.path = path;
        this.values = values;
    }

    static Section file(String source, String path) throws Config.Invalid {
        try {
            return of(Json.GSON.fromJson(Files.readString(Path.of(path)), Object.class), "");
        } catch (IOException e) {
            throw new Config.Invalid(source, "cannot read " + path + ": " + e);
        } catch (JsonParseException e) {
            throw new Config.Invalid(source, path + " is not JSON: " + e.getMessage());
        }
    }

    @SuppressWarnings("unchecked")
    private static Section of(Object value, String path) throws Config.Invalid {
        if (!(value instanceof Map<?, ?>)) {
            throw new Config.Invalid(path.isEmpty() ? "the file" : path, "is not an object");
        }
        return new Section(path, (Map<String, Object>) value);
    }

    private String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    Config.Invalid invalid(String key, String problem) {
        return new Config.Invalid(pathOf(key), problem);
    }

    Map<String, Object> values() {
        return values;
    }

    Set<String> keys() {
        return values.keySet();
    }

    boolean has(String key) {
        return values.get(key) != null;
    }

    /** Rejects unknown keys; for files that people write, where they are likely to be typing errors. */
    void rejectUnknownKeys(Set<String> keys) throws Config.Invalid {
        for (String key : values.keySet()) {
            if (!keys.contains(key)) {
                throw invalid(key, "is not a key that is known here; these are: " + String.join(", ", keys));
            }
        }
    }

    private Object required(String key) throws Config.Invalid {
        Object value = values.get(key);
        if (value == null) {
            throw invalid(key, "is missing");
        }
        return value;
    }

    /** Rejects NaN and infinite numbers at any depth; they are not valid JSON, but the parser accepts them. */
    void requireFinite() throws Config.Invalid {
        for (String key : values.keySet()) {
            requireFinite(values.get(key), pathOf(key));
        }
    }

    private static void requireFinite(Object value, String path) throws Config.Invalid {
        if (value instanceof Number n && !Double.isFinite(n.doubleValue())) {
            throw new Config.Invalid(path, "is not a finite number");
        } else if (value instanceof Map<?, ?>) {
            of(value, path).requireFinite();
        } else if (value instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                requireFinite(list.get(i), path + "[" + i + "]");
            }
        }
    }

    Section section(String key) throws Config.Invalid {
        return of(required(key), pathOf(key));
    }

    List<Section> sections(String key) throws Config.Invalid {
        if (!(required(key) instanceof List<?> list)) {
            throw invalid(key, "is not a list");
        }
        List<Section> sections = new ArrayList<>();
        for (Object value : list) {
            sections.add(of(value, pathOf(key) + "[" + sections.size() + "]"));
        }
        return sections;
    }

    Object get(String key) {
        return values.get(key);
    }

    String text(String key) throws Config.Invalid {
        if (!(required(key) instanceof String text) || text.isEmpty()) {
            throw invalid(key, "is not a text");
        }
        return text;
    }

    String text(String key, String defaultValue) throws Config.Invalid {
        return has(key) ? text(key) : defaultValue;
    }

    InetSocketAddress address(String key) throws Config.Invalid {
        try {
            return ServerList.parseAddress(text(key));
        } catch (IllegalArgumentException e) {
            throw invalid(key, e.getMessage());
        }
    }

    /** A duration above 0 s, given in seconds and capped at {@link #MAX_DURATION_S}. */
    Duration duration(String key, double defaultS) throws Config.Invalid {
        Object value = has(key) ? values.get(key) : Double.valueOf(defaultS);
        if (!(value instanceof Number n) || !(n.doubleValue() > 0)) {
            throw invalid(key, "is not a span of seconds above 0");
        }
        return ModuleTime.duration(Math.min(n.doubleValue(), MAX_DURATION_S));
    }

    /** A number of at least {@code min}, rounded down and capped at {@code max}. */
    int cappedCount(String key, int defaultValue, int min, int max) throws Config.Invalid {
        Object value = has(key) ? values.get(key) : Integer.valueOf(defaultValue);
        if (!(value instanceof Number n) || !(n.doubleValue() >= min)) {
            throw invalid(key, "is not a number from " + min + " on");
        }
        return (int) Math.min(n.doubleValue(), max);
    }

    int count(String key, int defaultValue, int min, int max) throws Config.Invalid {
        Object value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Number n)
                || n.doubleValue() != Math.rint(n.doubleValue())
                || n.doubleValue() < min
                || n.doubleValue() > max) {
            throw invalid(key, "is not a whole number from " + min + " to " + max);
        }
        return n.intValue();
    }

    /** Rejects a number above {@code max}; the key may be absent. */
    void requireAtMost(String key, double max) throws Config.Invalid {
        if (get(key) instanceof Number n && n.doubleValue() > max) {
            throw invalid(key, "is above " + (long) max);
        }
    }

    /** Rejects negative numbers and other types of value; the keys may be absent. */
    void requireNotNegative(String... keys) throws Config.Invalid {
        for (String key : keys) {
            requireNotNegative(key, values.get(key));
        }
    }

    /** Rejects negative numbers in a list; the key may be absent. */
    void requireNoneNegative(String key) throws Config.Invalid {
        if (get(key) instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                requireNotNegative(key + "[" + i + "]", list.get(i));
            }
        }
    }

    private void requireNotNegative(String key, Object value) throws Config.Invalid {
        if (value != null && !(value instanceof Number)) {
            throw invalid(key, "is not a number");
        }
        if (value instanceof Number n && n.doubleValue() < 0) {
            throw invalid(key, "is below 0");
        }
    }
}

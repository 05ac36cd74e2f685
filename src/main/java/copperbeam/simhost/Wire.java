package copperbeam.simhost;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses a line of the simulator's protocol into maps, and reads typed fields from them. */
public final class Wire {
    private static final JsonFactory JSON = new JsonFactory();

    private Wire() {}

    /** An invalid line; the message says what is wrong. */
    public static final class Malformed extends IOException {
        private static final long serialVersionUID = 1L;

        Malformed(String what) {
            super(what);
        }
    }

    /** A message of the protocol. */
    record Message(String name, Map<String, Object> fields) {}

    static Message message(String line) throws IOException {
        Map<String, Object> outer;
        try (JsonParser p = JSON.createParser(line)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                throw new Malformed("not an object");
            }
            outer = object(p);
            if (p.nextToken() != null) {
                throw new Malformed("more than one value on the line");
            }
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new Malformed("bad JSON: " + e.getOriginalMessage().replace('\n', ' '));
        }
        if (outer.size() != 1) {
            throw new Malformed("a message has one name, this has " + outer.size());
        }
        String name = outer.keySet().iterator().next();
        return new Message(name, map(outer, name));
    }

    private static Map<String, Object> object(JsonParser p) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (p.nextToken() != JsonToken.END_OBJECT) {
            String key = p.currentName();
            p.nextToken();
            map.put(key, value(p));
        }
        return map;
    }

    private static Object value(JsonParser p) throws IOException {
        switch (p.currentToken()) {
            case START_OBJECT:
                return object(p);
            case START_ARRAY:
                List<Object> list = new ArrayList<>();
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(p));
                }
                return list;
            case VALUE_STRING:
                return p.getText();
            case VALUE_NUMBER_INT:
            case VALUE_NUMBER_FLOAT:
                return p.getNumberValue();
            case VALUE_TRUE:
            case VALUE_FALSE:
                return p.getBooleanValue();
            case VALUE_NULL:
                return null;
            default:
                throw new Malformed("unexpected end of a value");
        }
    }

    private static <T> T field(Map<String, Object> m, String key, Class<T> type) throws Malformed {
        Object v = m.get(key);
        if (v != null && !type.isInstance(v)) {
            throw new Malformed(
                    "field '" + key + "' is not a " + type.getSimpleName().toLowerCase());
        }
        return type.cast(v);
    }

    private static <T> T present(T value, String key) throws Malformed {
        if (value == null) {
            throw new Malformed("field '" + key + "' is missing");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Map<String, Object> m, String key) throws Malformed {
        return present(field(m, key, Map.class), key);
    }

    /** An optional object; empty if absent. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> part(Map<String, Object> m, String key) throws Malformed {
        Map<String, Object> v = field(m, key, Map.class);
        return v == null ? Map.of() : v;
    }

    /** An optional list; empty if absent. */
    @SuppressWarnings("unchecked")
    static List<Object> list(Map<String, Object> m, String key) throws Malformed {
        List<Object> v = field(m, key, List.class);
        return v == null ? List.of() : v;
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Map<String, Object> m, String key) throws Malformed {
        List<Map<String, Object>> result = new ArrayList<>();
        for (Object o : list(m, key)) {
            if (!(o instanceof Map)) {
                throw new Malformed("field '" + key + "' holds something that is not an object");
            }
            result.add((Map<String, Object>) o);
        }
        return result;
    }

    static String text(Map<String, Object> m, String key) throws Malformed {
        return present(field(m, key, String.class), key);
    }

    static String textOrNull(Map<String, Object> m, String key) throws Malformed {
        return field(m, key, String.class);
    }

    static double number(Map<String, Object> m, String key) throws Malformed {
        return present(field(m, key, Number.class), key).doubleValue();
    }

    /** An optional number; {@code defaultValue} if absent. */
    static double number(Map<String, Object> m, String key, double absent) throws Malformed {
        Number v = field(m, key, Number.class);
        return v == null ? absent : v.doubleValue();
    }

    static long whole(Map<String, Object> m, String key) throws Malformed {
        Number v = present(field(m, key, Number.class), key);
        if (v instanceof Double && v.doubleValue() != Math.rint(v.doubleValue())) {
            throw new Malformed("field '" + key + "' is not a whole number");
        }
        return v.longValue();
    }

    static boolean flag(Map<String, Object> m, String key) throws Malformed {
        Boolean v = field(m, key, Boolean.class);
        return v != null && v;
    }
}

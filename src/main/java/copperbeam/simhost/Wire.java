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

        Malformed(String problem) {
            super(problem);
        }
    }

    /** A message of the protocol. */
    record Message(String name, Map<String, Object> fields) {}

    static Message parseMessage(String line) throws IOException {
        Map<String, Object> outer;
        try (JsonParser parser = JSON.createParser(line)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new Malformed("not an object");
            }
            outer = readObject(parser);
            if (parser.nextToken() != null) {
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

    private static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            parser.nextToken();
            map.put(key, readValue(parser));
        }
        return map;
    }

    private static Object readValue(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT:
                return readObject(parser);
            case START_ARRAY:
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(readValue(parser));
                }
                return list;
            case VALUE_STRING:
                return parser.getText();
            case VALUE_NUMBER_INT:
            case VALUE_NUMBER_FLOAT:
                return parser.getNumberValue();
            case VALUE_TRUE:
            case VALUE_FALSE:
                return parser.getBooleanValue();
            case VALUE_NULL:
                return null;
            default:
                throw new Malformed("unexpected end of a value");
        }
    }

    private static <T> T field(Map<String, Object> fields, String key, Class<T> type) throws Malformed {
        Object value = fields.get(key);
        if (value != null && !type.isInstance(value)) {
            throw new Malformed(
                    "field '" + key + "' is not a " + type.getSimpleName().toLowerCase());
        }
        return type.cast(value);
    }

    private static <T> T required(T value, String key) throws Malformed {
        if (value == null) {
            throw new Malformed("field '" + key + "' is missing");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(Map<String, Object> fields, String key) throws Malformed {
        return required(field(fields, key, Map.class), key);
    }

    /** An optional object; empty if absent. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> optionalMap(Map<String, Object> fields, String key) throws Malformed {
        Map<String, Object> value = field(fields, key, Map.class);
        return value == null ? Map.of() : value;
    }

    /** An optional list; empty if absent. */
    @SuppressWarnings("unchecked")
    static List<Object> optionalList(Map<String, Object> fields, String key) throws Malformed {
        List<Object> value = field(fields, key, List.class);
        return value == null ? List.of() : value;
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Map<String, Object> fields, String key) throws Malformed {
        List<Map<String, Object>> result = new ArrayList<>();
        for (Object element : optionalList(fields, key)) {
            if (!(element instanceof Map)) {
                throw new Malformed("field '" + key + "' holds something that is not an object");
            }
            result.add((Map<String, Object>) element);
        }
        return result;
    }

    static String text(Map<String, Object> fields, String key) throws Malformed {
        return required(field(fields, key, String.class), key);
    }

    static String textOrNull(Map<String, Object> fields, String key) throws Malformed {
        return field(fields, key, String.class);
    }

    static double number(Map<String, Object> fields, String key) throws Malformed {
        return required(field(fields, key, Number.class), key).doubleValue();
    }

    /** An optional number; {@code defaultValue} if absent. */
    static double number(Map<String, Object> fields, String key, double defaultValue) throws Malformed {
        Number value = field(fields, key, Number.class);
        return value == null ? defaultValue : value.doubleValue();
    }

    static long wholeNumber(Map<String, Object> fields, String key) throws Malformed {
        Number value = required(field(fields, key, Number.class), key);
        if (value instanceof Double && value.doubleValue() != Math.rint(value.doubleValue())) {
            throw new Malformed("field '" + key + "' is not a whole number");
        }
        return value.longValue();
    }

    static boolean flag(Map<String, Object> fields, String key) throws Malformed {
        Boolean value = field(fields, key, Boolean.class);
        return value != null && value;
    }
}

package copperbeam.program;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import copperbeam.Api.Settings;
import copperbeam.protocol.Json;
import copperbeam.protocol.discovery.ServerList;
import copperbeam.protocol.openai.ChatModels;
import copperbeam.simhost.Decoder;
import copperbeam.simhost.Wire;

/**
 * All that the program is told at its start. Here and nowhere else it is read, checked and given defaults.
 *
 * @param discovery null only where the operator's file names another source of the list
 * @param known the list as it was last had, or null
 * @param operator what the operator's file adds; nothing of it on the platform
 */
public record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed,
        Settings settings, ServerList known, Duration connectTimeout, Duration connectionIdle, Operator operator) {

    /** {@code chat} and its {@code listen} may be null: then there is no such front. */
    public record Operator(InetSocketAddress chatListen, ChatModels chat) {
        public static final Operator NONE = new Operator(null, null);
    }

    /** What is wrong, by the key at fault. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1L;

        Invalid(String key, String what) {
            super(key + ": " + what);
        }
    }

    /** From the platform's variables, the file that they name, and the operator's file if there is one. */
    public static Config read(Map<String, String> environment, String operatorFile) throws Invalid {
        String path = environment.get("GW_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new Invalid("GW_CONFIG", "is not set");
        }
        Section file = Section.file("GW_CONFIG", path);
        override(file, "name", environment.get("GW_NAME"));
        override(file, "listen", environment.get("GW_LISTEN"));
        override(file, "discovery", environment.get("GW_DISCOVERY"));
        Section raw = file.section("settings");
        Section limits = raw.section("limits");
        Settings settings = settings(raw);
        Operator operator = operatorFile == null ? Operator.NONE
                : operator(Section.file("--operator", operatorFile), classNames(settings));
        String name = file.text("name", "conductor");
        return new Config(name, file.address("listen"), file.address("discovery"), seed(file, name), settings,
                known(file), limits.span("connect_timeout_s", 0.25), limits.span("conn_idle_s", 30), operator);
    }

    private static void override(Section file, String key, String value) {
        if (value != null && !value.isEmpty()) {
            file.raw().put(key, value);
        }
    }

    private static Settings settings(Section raw) throws Invalid {
        Settings settings;
        try {
            settings = Decoder.settings(raw.raw());
        } catch (Wire.Malformed e) {
            throw new Invalid("settings", e.getMessage());
        }
        if (settings.classes().isEmpty()) {
            throw raw.invalid("services", "names no class");
        }
        if (settings.limits().maxAttempts() < 1) {
            throw raw.invalid("limits.send_cap", "allows no attempt");
        }
        return settings;
    }

    private static ServerList known(Section file) throws Invalid {
        try {
            return file.has("known") ? ServerList.parse(Json.GSON.toJson(file.get("known"))) : null;
        } catch (IllegalArgumentException e) {
            throw file.invalid("known", e.getMessage());
        }
    }

    private static long seed(Section file, String name) throws Invalid {
        Object value = file.get("seed");
        if (value == null) {
            return name.hashCode() ^ System.nanoTime();
        }
        try {
            return value instanceof Number n ? n.longValue() : Long.parseUnsignedLong(value.toString(), 16);
        } catch (NumberFormatException e) {
            throw file.invalid("seed", "is not a hexadecimal number of 64 bits");
        }
    }

    private static Operator operator(Section file, Set<String> classes) throws Invalid {
        file.only(Set.of("openai"));
        if (!file.has("openai")) {
            return Operator.NONE;
        }
        Section chat = file.section("openai");
        chat.only(Set.of("listen", "models"));
        Section models = chat.section("models");
        Map<String, ChatModels.Model> byName = new LinkedHashMap<>();
        for (String name : models.keys()) {
            Section model = models.section(name);
            model.only(Set.of("class", "timeout_s", "max_tokens"));
            if (!classes.contains(model.text("class"))) {
                throw model.invalid("class", "the settings name no class '" + model.text("class") + "'");
            }
            byName.put(name, new ChatModels.Model(model.text("class"), model.span("timeout_s", 15),
                    model.count("max_tokens", 512, 1, 1_000_000)));
        }
        if (byName.isEmpty()) {
            throw chat.invalid("models", "names no model");
        }
        return new Operator(chat.address("listen"), new ChatModels(byName));
    }

    private static Set<String> classNames(Settings settings) {
        Set<String> names = new TreeSet<>();
        settings.classes().forEach(c -> names.add(c.name()));
        return names;
    }

    public Set<String> classNames() {
        return classNames(settings);
    }
}

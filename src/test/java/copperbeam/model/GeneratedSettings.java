package copperbeam.model;

import copperbeam.protocol.Json;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * A complete configuration drawn from a seed: each field of the specification over its range including extreme values, with
 * optional fields omitted and unknown fields added. Combinations that can't be served (a single attempt where a read and a
 * write are needed) are avoided, so a drawn configuration must be accepted unless {@link #drawInvalid} made it invalid.
 *
 * @param root the content of the file; a test may replace the addresses
 * @param invalidKey the key that the error message must name, or null if the configuration must be accepted
 */
public record GeneratedSettings(long seed, Map<String, Object> root, String invalidKey) {
    private static final String[] CLASS_NAMES = {
        "ask",
        "two words",
        "größer",
        "問い合わせ",
        "приём",
        "e\u0301te\u0301",
        "\uD83D\uDC1F\uD83E\uDDED",
        "say \"yes\"",
        "a'b`c",
        "back\\slash",
        "x:1|c",
        "semi;colon,comma=equals",
        "نص عربي",
        "हिन्दी",
        "\u3000wide\u3000",
        "\u00a0nb\u00a0",
        "a.b_c--d~0",
        "%41+&?#/",
        "<tag>",
        "0",
        "true",
        "null",
        "long-".repeat(300),
        "長".repeat(1500),
        "\u2028line",
        "\u200bzero",
        "I\u0130\u0131"
    };
    private static final int MAX_PRINTED_CHARS = 6000;
    private static final String[] KIND_NAMES = {"prefill", "decode", "beide", "вид", "kind 4", "\uD83D\uDDA5"};

    /** Draws a valid configuration; the same seed gives the same configuration. */
    public static GeneratedSettings draw(long seed) {
        return new Generator(new SplittableRandom(seed)).configuration(seed);
    }

    /** Draws the configuration of the seed and replaces one value by an invalid one. */
    public static GeneratedSettings drawInvalid(long seed) {
        GeneratedSettings valid = draw(seed);
        SplittableRandom random = new SplittableRandom(~seed);
        String[] row = INVALID_VALUES[random.nextInt(INVALID_VALUES.length)];
        String path = row[0];
        Object value = Json.GSON.fromJson(row[1], Object.class);
        List<String> keys = new ArrayList<>(List.of(path.split("\\.")));
        String lastKey = keys.remove(keys.size() - 1);
        if (lastKey.equals("role_by_kind")) {
            valid.settings()
                    .put(
                            "kinds",
                            new ArrayList<>(List.of(KIND_NAMES))); // role_by_kind is ignored unless kinds are listed
        }
        Object parent = valid.root;
        for (String key : keys) {
            parent = child(parent, key);
        }
        if (parent instanceof List<?> list) {
            set(list, Integer.parseInt(lastKey), value);
        } else {
            asObject(parent).put(lastKey, value);
        }
        return new GeneratedSettings(seed, valid.root, row[2]);
    }

    /** Each row: path of the value, the invalid JSON value, and the key that the error message must name. */
    private static final String[][] INVALID_VALUES = {
        {"settings.services.0.promise_s", "-1", "promise_s"},
        {"settings.services.0.promise_s", "\"1\"", "promise_s"},
        {"settings.services.0.promise_s", "null", "promise_s"},
        {"settings.services.0.promise_s", "1e999", "promise_s"},
        {"settings.services.0.give_up_s", "-0.5", "give_up_s"},
        {"settings.services.0.give_up_s", "\"6\"", "give_up_s"},
        {"settings.services.0.give_up_s", "86401", "give_up_s"},
        {"settings.services.0.window_s", "-1", "window_s"},
        {"settings.services.0.window_s", "[5]", "window_s"},
        {"settings.services.0.worth", "-3", "worth"},
        {"settings.services.0.worth", "true", "worth"},
        {"settings.services.0.semantics", "\"Safe\"", "semantics"},
        {"settings.services.0.semantics", "null", "semantics"},
        {"settings.services.0.group", "\"rack\"", "group"},
        {"settings.services.0.name", "null", "name"},
        {"settings.services.0.name", "7", "name"},
        {"settings.services.0.name", "\"\"", "name"},
        {"settings.services.0.name", "\"a\\tb\"", "name"},
        {"settings.services.0.name", "\"\\u0085\"", "name"},
        {"settings.services.0.name", "\" a\"", "name"},
        {"settings.services.0.name", "\"" + "長".repeat(6000) + "\"", "name"},
        {"settings.services", "[]", "services"},
        {"settings.services", "{}", "services"},
        {"settings.services", "null", "services"},
        {"settings.balancers", "0", "balancers"},
        {"settings.balancers", "-0", "balancers"},
        {"settings.balancers", "2.5", "balancers"},
        {"settings.balancers", "4294967298", "balancers"},
        {"settings.balancers", "1e30", "balancers"},
        {"settings.balancers", "null", "balancers"},
        {"settings.self_index", "0.5", "self_index"},
        {"settings.self_index", "\"0\"", "self_index"},
        {"settings.self_index", "4294967296", "self_index"},
        {"settings.limits.send_cap", "0", "send_cap"},
        {"settings.limits.send_cap", "-4", "send_cap"},
        {"settings.limits.send_cap", "1.5", "send_cap"},
        {"settings.limits.send_cap", "null", "send_cap"},
        {"settings.limits.connect_timeout_s", "0", "connect_timeout_s"},
        {"settings.limits.connect_timeout_s", "-0.25", "connect_timeout_s"},
        {"settings.limits.connect_timeout_s", "\"fast\"", "connect_timeout_s"},
        {"settings.limits.conn_idle_s", "-1", "conn_idle_s"},
        {"settings.limits.conn_idle_s", "{}", "conn_idle_s"},
        {"settings.limits.max_retry_after_s", "-2", "max_retry_after_s"},
        {"settings.limits.cancel", "1", "cancel"},
        {"settings.limits.probing", "\"yes\"", "probing"},
        {"settings.limits", "null", "limits"},
        {"settings.rules", "[]", "rules"},
        {"settings.rules.cold_from", "-0.1", "cold_from"},
        {"settings.rules.cold_from", "1.5", "cold_from"},
        {"settings.rules.fall_multiple", "-3", "fall_multiple"},
        {"settings.rules.fall_s", "-2", "fall_s"},
        {"settings.rules.warm_within_s", "-1", "warm_within_s"},
        {"settings.rules.warm_within_s", "1e999", "warm_within_s"},
        {"settings.rules.ask_within_s", "-10", "ask_within_s"},
        {"settings.rules.drain_grace_s", "-1", "drain_grace_s"},
        {"settings.rules.drain_grace_s", "\"1\"", "drain_grace_s"},
        {"settings.extra.release_s", "-1", "release_s"},
        {"settings.extra.release_s", "\"1\"", "release_s"},
        {"settings.extra.aim_us_per_1000_prompt_tokens", "[-1]", "aim_us_per_1000_prompt_tokens"},
        {"settings.extra.aim_us_per_1000_prompt_tokens", "[null]", "aim_us_per_1000_prompt_tokens"},
        {"settings.extra.memory_tokens", "[-1]", "memory_tokens"},
        {"settings.extra.memory_tokens", "4", "memory_tokens"},
        {"settings.extra.role_by_kind", "[\"reader\"]", "role"},
        {"settings.extra.local_read", "0", "local_read"},
        {"settings.kinds", "[7]", "kinds"},
        {"settings.kinds", "[null]", "kinds"},
        {"settings.kinds", "\"prefill\"", "kinds"},
        {"settings.penalties", "{\"probe\":-1}", "probe"},
        {"settings.report", "{\"via\":\"sometimes\"}", "report"},
        {"settings.discovery", "\"sometimes\"", "discovery"},
        {"settings.discovery", "7", "discovery"},
        {"settings.customers", "[{\"name\":\"t\",\"quota_per_s\":-1}]", "quota_per_s"},
        {"settings.customers", "[{\"quota_per_s\":1}]", "name"},
        {"settings.customers", "[7]", "customers"},
        {"settings", "null", "settings"},
        {"settings", "[]", "settings"},
        {"limits", "{\"memory_mb\":0}", "memory_mb"},
        {"limits", "{\"sockets\":-1}", "sockets"},
        {"limits", "7", "limits"},
        {"known", "{\"version\":1}", "known"},
        {"known", "{\"version\":1,\"servers\":[{\"id\":\"s\"}]}", "known"},
        {"known", "[]", "known"},
        {"seed", "\"xyz\"", "seed"},
        {"seed", "\"8c1f30d27a5be96412\"", "seed"},
        {"seed", "1.5", "seed"},
        {"seed", "{}", "seed"},
        {"name", "7", "name"},
        {"listen", "\"here:1\"", "listen"},
        {"listen", "\"127.0.0.1:65536\"", "listen"},
        {"listen", "\"127.0.0.1\"", "listen"},
        {"listen", "null", "listen"},
        {"discovery", "\"\"", "discovery"},
        {"discovery", "\"127.0.0.1:-1\"", "discovery"},
        {"control", "\"127.0.0.1\"", "control"}
    };

    private static Object child(Object parent, String key) {
        return parent instanceof List<?> list
                ? list.get(Integer.parseInt(key))
                : asObject(parent).computeIfAbsent(key, k -> new LinkedHashMap<>());
    }

    @SuppressWarnings("unchecked")
    private static void set(List<?> list, int index, Object value) {
        ((List<Object>) list).set(index, value);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> asObject(Object value) {
        return (Map<String, Object>) value;
    }

    public Map<String, Object> settings() {
        return asObject(root.get("settings"));
    }

    /** The text of the file, with numbers in varying JSON notations such as 10, 10.0, 10e0 and 1E+1. */
    public String json() {
        StringBuilder text = new StringBuilder();
        write(text, root, new SplittableRandom(seed * 31 + 7));
        return text.toString();
    }

    private static void write(StringBuilder text, Object value, SplittableRandom random) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                text.append(separator)
                        .append(Json.GSON.toJson(entry.getKey()))
                        .append(random.nextInt(9) == 0 ? " : " : ":");
                write(text, entry.getValue(), random);
                separator = random.nextInt(9) == 0 ? " ,\n" : ",";
            }
            text.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof List<?> list) {
            text.append('[');
            for (int i = 0; i < list.size(); i++) {
                text.append(i == 0 ? "" : ",");
                write(text, list.get(i), random);
            }
            text.append(']');
        } else if (value instanceof Number n && Double.isFinite(n.doubleValue())) {
            text.append(formatNumber(n.doubleValue(), random.nextInt(6)));
        } else if (value instanceof Number) {
            text.append("1e999");
        } else {
            text.append(Json.GSON.toJson(value));
        }
    }

    private static String formatNumber(double value, int notation) {
        boolean isInteger = value == Math.rint(value) && Math.abs(value) < 1e15;
        return switch (notation) {
            case 0 -> isInteger ? (long) value + "e0" : Double.toString(value);
            case 1 -> isInteger ? (long) value + ".0" : new BigDecimal(value).toPlainString();
            case 2 ->
                isInteger && value % 10 == 0 && value != 0
                        ? (long) value / 10 + "E+1"
                        : isInteger ? Long.toString((long) value) : Double.toString(value);
            default -> isInteger ? Long.toString((long) value) : Double.toString(value);
        };
    }

    /** Draws the parts of a configuration in a fixed order, as each draw depends on those before. */
    private static final class Generator {
        private final SplittableRandom random;

        Generator(SplittableRandom random) {
            this.random = random;
        }

        GeneratedSettings configuration(long seed) {
            Map<String, Object> root = new LinkedHashMap<>();
            maybePut(root, "name", nodeName(), 0.8);
            root.put("listen", "127.0.0.1:3000");
            root.put("discovery", "127.0.0.1:8500");
            maybePut(
                    root,
                    "seed",
                    random.nextBoolean()
                            ? String.format(Locale.ROOT, "%016x", random.nextLong())
                            : anyOf(0, 1, 4294967296.0),
                    0.8);
            if (random.nextInt(4) > 0) {
                Map<String, Object> limits = new LinkedHashMap<>();
                maybePut(limits, "cores", anyOf(0.1, 0.5, 1, 2, 64), 0.7);
                maybePut(limits, "memory_mb", anyOf(16, 64, 160, 192, 187.5, 2048, 1048576, 4e6), 0.7);
                maybePut(limits, "sockets", anyOf(256, 257, 512, 1024, 4096, 1048576, 1073741816), 0.7);
                maybePutUnknownKey(limits);
                root.put("limits", limits);
            }
            root.put("settings", settings());
            maybePut(root, "known", knownServers(asObject(root.get("settings"))), 0.3);
            maybePutUnknownKey(root);
            return new GeneratedSettings(seed, root, null);
        }

        private Map<String, Object> settings() {
            Map<String, Object> settings = new LinkedHashMap<>();
            int balancers = (int) anyOf(1, 1, 2, 3, 5, 10, 30, 100);
            settings.put("balancers", (double) balancers);
            maybePut(settings, "self_index", (double) pick(0, balancers - 1, random.nextInt(balancers)), 0.8);
            List<Object> zones = new ArrayList<>(List.of("a", "zone b", "зона").subList(0, random.nextInt(4)));
            maybePut(settings, "zones", zones, 0.8);
            maybePut(settings, "zone", zones.isEmpty() ? "a" : zones.get(random.nextInt(zones.size())), 0.8);
            List<Object> services = services();
            settings.put("services", services);
            maybePut(settings, "customers", customers(), 0.6);
            List<Object> roles = roles();
            if (!roles.isEmpty()) {
                settings.put("kinds", new ArrayList<Object>(List.of(KIND_NAMES).subList(0, roles.size())));
            }
            maybePut(settings, "discovery", pick("automatic", "subscribe"), 0.7);
            maybePut(settings, "family", "twostage", 0.8);
            maybePut(settings, "layer", 0.0, 0.5);
            maybePut(settings, "stages", List.of("fleet"), 0.5);
            maybePut(settings, "tick_s", 0.002, 0.5);
            maybePut(settings, "weight_source", pick("off", "nominal", "rough", "live"), 0.5);
            maybePut(settings, "counted_by", pick("request", "work"), 0.5);
            maybePut(settings, "over_share_worth", anyOf(0, 0.1, 1), 0.5);
            maybePut(settings, "goal", Map.of("whole", 0.7, "worst_class", 0.2), 0.5);
            maybePut(settings, "clients", Map.of("marks_retry", random.nextBoolean()), 0.5);
            maybePut(settings, "penalties", penalties(), 0.6);
            boolean writersRead = roles.equals(List.of("write")) || random.nextInt(3) == 0;
            settings.put("limits", limits(writersRead || roles.isEmpty() || roles.contains("both")));
            maybePut(settings, "rules", rules(), 0.8);
            maybePut(settings, "report", report(), 0.7);
            Map<String, Object> extra = extra(roles, services.size());
            extra.put("local_read", writersRead);
            settings.put("extra", extra);
            maybePutUnknownKey(settings);
            return settings;
        }

        private List<Object> services() {
            int count = pick(1, 2, 3, 10);
            List<String> names = new ArrayList<>(List.of(CLASS_NAMES));
            boolean equalWorth = random.nextInt(4) == 0;
            int classVariation = random.nextInt(4); // 0: all classes have the same worth and the same promise_s
            List<Object> services = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                Map<String, Object> service = new LinkedHashMap<>();
                service.put("name", names.remove(random.nextInt(names.size())));
                service.put("promise_s", classVariation == 0 ? 1.5 : anyOf(0, 0.05, 0.3, 1, 1.5, 3, 60, 3600, 1e6));
                maybePut(service, "give_up_s", anyOf(0, 0.3, 0.7, 1, 2, 3, 6, 15, 120, 3600, 86400), 0.85);
                service.put("semantics", pick("safe", "keyed", "unsafe"));
                maybePut(
                        service,
                        "group",
                        pick("all", "zone", "cell"),
                        service.get("semantics").equals("keyed") ? 0.8 : 0.2);
                maybePut(service, "window_s", anyOf(0, 0.001, 0.05, 1, 5, 600, 1e9), 0.7);
                maybePut(
                        service,
                        "worth",
                        equalWorth || classVariation == 0 ? 2.0 : anyOf(0, 1e-6, 0.5, 1, 2, 3, 1e6),
                        0.9);
                maybePut(service, "late_share", anyOf(0, 0.1, 1), 0.7);
                maybePut(service, "stream", random.nextInt(4) > 0, 0.8);
                maybePut(service, "aim_stretch", anyOf(0, 0.5, 4), 0.3);
                maybePutUnknownKey(service);
                services.add(service);
            }
            return services;
        }

        private List<Object> customers() {
            List<Object> customers = new ArrayList<>();
            for (int i = random.nextInt(5); i > 0; i--) {
                Map<String, Object> customer = new LinkedHashMap<>();
                customer.put("name", pick("t", "Überall AG", "客", "a b", "t" + i));
                maybePut(customer, "share", anyOf(0, 0.01, 0.5, 1), 0.7);
                maybePut(customer, "quota_per_s", anyOf(0, 0.01, 5, 1e9), 0.7);
                customers.add(customer);
            }
            return customers;
        }

        /** Roles of the server kinds, which together can read and write; empty: no kinds are listed. */
        private List<Object> roles() {
            return switch (random.nextInt(7)) {
                case 0 -> List.of();
                case 4 -> List.of("write");
                case 1 -> List.of("both");
                case 2 -> List.of("write", "read", "both", "read", "write", "both");
                case 3 -> List.of("both", "write", "read");
                default -> List.of("read", "write");
            };
        }

        private Object penalties() {
            Map<String, Object> penalties = new LinkedHashMap<>();
            maybePut(penalties, "probe", anyOf(0, 1e-9, 0.0024, 1, 1e6), 0.7);
            maybePut(penalties, "waste", 0.08, 0.5);
            maybePutUnknownKey(penalties);
            return penalties;
        }

        /** {@code oneAttemptSuffices}: a request can be served by a single attempt, so {@code send_cap} may be 1. */
        private Map<String, Object> limits(boolean oneAttemptSuffices) {
            Map<String, Object> limits = new LinkedHashMap<>();
            limits.put("send_cap", oneAttemptSuffices ? anyOf(1, 2, 3, 4, 8) : anyOf(2, 3, 4, 8));
            maybePut(limits, "cancel", random.nextInt(3) > 0, 0.8);
            maybePut(limits, "probing", random.nextInt(3) > 0, 0.8);
            maybePut(limits, "retry_after", random.nextInt(3) > 0, 0.8);
            maybePut(limits, "max_retry_after_s", anyOf(0, 0.001, 2, 3600), 0.8);
            maybePut(limits, "second_copies", random.nextBoolean(), 0.7);
            maybePut(limits, "peer_messages", false, 0.5);
            maybePut(limits, "conn_idle_s", anyOf(0.05, 0.2, 1, 30, 3600, 1e7), 0.8);
            maybePut(limits, "connect_timeout_s", anyOf(0.02, 0.1, 0.25, 1, 5, 60), 0.8);
            maybePut(limits, "multiplex", anyOf(1, 100), 0.5);
            maybePut(limits, "open_cap", anyOf(1, 20000), 0.5);
            maybePut(limits, "cpu_us_per_s", 500000.0, 0.5);
            maybePutUnknownKey(limits);
            return limits;
        }

        private Map<String, Object> rules() {
            Map<String, Object> rules = new LinkedHashMap<>();
            maybePut(rules, "cold_from", anyOf(0, 0.01, 0.28, 1), 0.8);
            maybePut(rules, "fall_multiple", anyOf(0, 0.01, 1, 3, 1e6), 0.8);
            maybePut(rules, "fall_s", anyOf(0, 0.01, 2, 3600), 0.8);
            maybePut(rules, "warm_within_s", anyOf(0, 0.01, 13, 1e6), 0.8);
            maybePut(rules, "drain_grace_s", anyOf(0, 0.05, 1, 60), 0.8);
            maybePut(rules, "ask_within_s", anyOf(0, 0.001, 0.2, 10, 86400), 0.8);
            maybePut(rules, "answer_slack_s", anyOf(0, 0.008), 0.6);
            maybePutUnknownKey(rules);
            return rules;
        }

        private Map<String, Object> report() {
            Map<String, Object> report = new LinkedHashMap<>();
            maybePut(report, "via", pick("inline", "on_probe", "off"), 0.9);
            List<Object> fields = new ArrayList<>();
            for (String field : List.of("active", "waiting", "cpu", "avg_ms", "rps", "err_rps", "x0", "x1")) {
                if (fields.size() < 4 && random.nextInt(3) == 0) {
                    fields.add(field);
                }
            }
            maybePut(report, "fields", fields, 0.9);
            maybePutUnknownKey(report);
            return report;
        }

        private Map<String, Object> extra(List<Object> roles, int classes) {
            Map<String, Object> extra = new LinkedHashMap<>();
            if (!roles.isEmpty()) {
                extra.put("role_by_kind", new ArrayList<>(roles));
            }
            maybePut(extra, "release_s", anyOf(0, 0.05, 0.35, 1, 60, 1e6), 0.8);
            maybePut(extra, "resume", random.nextBoolean(), 0.8);
            maybePut(extra, "ahead", random.nextBoolean(), 0.5);
            maybePut(extra, "cross_cell_price", anyOf(0, 0.03), 0.5);
            maybePut(extra, "report_x0", pick("share of memory that is held", "Anteil belegten Speichers"), 0.6);
            maybePut(extra, "report_x1", "thousands of prompt tokens waiting to be read or fetched", 0.6);
            maybePut(extra, "memory_tokens", randomValues(random.nextInt(roles.size() + 1), 0, 1, 142841, 1e9), 0.6);
            maybePut(extra, "token_aim_s", randomValues(classes, 0.02, 0.06), 0.6);
            maybePut(
                    extra,
                    "aim_us_per_1000_prompt_tokens",
                    randomValues(random.nextInt(classes + 2), 0, 800, 40000, 1e12),
                    0.7);
            maybePutUnknownKey(extra);
            return extra;
        }

        private Object knownServers(Map<String, Object> settings) {
            List<Object> servers = new ArrayList<>();
            for (Object kind : (List<?>) settings.getOrDefault("kinds", List.of("none"))) {
                Map<String, Object> server = new LinkedHashMap<>();
                server.put("id", "s-" + servers.size());
                server.put("addr", "127.0.0.1:" + (2 + servers.size()));
                maybePut(server, "zone", "a", 0.7);
                server.put("kind", kind);
                maybePut(server, "cell", (double) random.nextInt(3), 0.7);
                maybePut(server, "state", pick("active", "leaving"), 0.7);
                maybePut(server, "weight", anyOf(0, 0.5, 1, 1e6), 0.7);
                maybePut(server, "started_ms", anyOf(0, 1764660000000.0), 0.7);
                servers.add(server);
            }
            Map<String, Object> known = new LinkedHashMap<>();
            known.put("version", anyOf(0, 41, 9007199254740992.0));
            maybePut(known, "full", true, 0.8);
            known.put("servers", servers);
            return known;
        }

        private List<Object> randomValues(int count, double... choices) {
            return new ArrayList<>(IntStream.range(0, count)
                    .mapToObj(i -> (Object) anyOf(choices))
                    .toList());
        }

        private String nodeName() {
            return pick("n3", "κόμβος 1", "a/b", "..", "n".repeat(300), "節点", "\uD83D\uDC1F", "\"");
        }

        /** Puts the value with this probability; otherwise omits the key, or sometimes sets it to null. */
        private void maybePut(Map<String, Object> target, String key, Object value, double probability) {
            if (random.nextDouble() < probability) {
                target.put(key, value);
            } else if (random.nextInt(8) == 0) {
                target.put(key, null);
            }
        }

        /** Sometimes adds an unknown key, which must be ignored, as any release may add keys. */
        private void maybePutUnknownKey(Map<String, Object> target) {
            if (random.nextInt(6) == 0) {
                target.put(
                        "neu-" + random.nextInt(100),
                        pick(null, "x", List.of(1.0, new ArrayList<>()), Map.of("a", Map.of()), -1.0));
            }
        }

        private double anyOf(double... choices) {
            return choices[random.nextInt(choices.length)];
        }

        @SafeVarargs
        private <T> T pick(T... choices) {
            return choices[random.nextInt(choices.length)];
        }
    }

    /** The names of the classes, in the settings' order. */
    public List<String> classNames() {
        List<String> names = new ArrayList<>();
        for (Object service : (List<?>) settings().get("services")) {
            names.add((String) asObject(service).get("name"));
        }
        return names;
    }

    /** The role of each kind; a kind without a configured role both reads and writes. Without kinds: a single kind "none". */
    public Map<String, String> roleByKind() {
        Map<String, String> roles = new LinkedHashMap<>();
        List<?> configuredRoles = (List<?>) asObject(settings().get("extra")).getOrDefault("role_by_kind", List.of());
        List<?> kinds = (List<?>) settings().getOrDefault("kinds", List.of());
        for (int i = 0; i < kinds.size(); i++) {
            roles.put((String) kinds.get(i), i < configuredRoles.size() ? (String) configuredRoles.get(i) : "both");
        }
        return roles.isEmpty() ? Map.of("none", "both") : roles;
    }

    /** For failure messages: the seed and the JSON text, cut off after 6,000 characters. */
    @Override
    public String toString() {
        String text = json();
        return "seed " + seed + ": "
                + (text.length() > MAX_PRINTED_CHARS ? text.substring(0, MAX_PRINTED_CHARS) + "..." : text);
    }
}

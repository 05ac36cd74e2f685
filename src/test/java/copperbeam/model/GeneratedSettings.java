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
    private static final String[] NAMES = {
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
    private static final int MOST_PRINTED = 6000;
    private static final String[] KINDS = {"prefill", "decode", "beide", "вид", "kind 4", "\uD83D\uDDA5"};

    /** Draws a valid configuration; the same seed gives the same configuration. */
    public static GeneratedSettings draw(long seed) {
        return new Draw(new SplittableRandom(seed)).configuration(seed);
    }

    /** Draws the configuration of the seed and replaces one value by an invalid one. */
    public static GeneratedSettings spoilt(long seed) {
        GeneratedSettings whole = draw(seed);
        SplittableRandom random = new SplittableRandom(~seed);
        String[] spoil = SPOILS[random.nextInt(SPOILS.length)];
        String path = spoil[0];
        Object value = Json.GSON.fromJson(spoil[1], Object.class);
        List<String> keys = new ArrayList<>(List.of(path.split("\\.")));
        String last = keys.remove(keys.size() - 1);
        if (last.equals("role_by_kind")) {
            whole.settings().put("kinds", new ArrayList<>(List.of(KINDS))); // role_by_kind is ignored unless kinds are listed
        }
        Object at = whole.root;
        for (String key : keys) {
            at = child(at, key);
        }
        if (at instanceof List<?> list) {
            set(list, Integer.parseInt(last), value);
        } else {
            object(at).put(last, value);
        }
        return new GeneratedSettings(seed, whole.root, spoil[2]);
    }

    /** Each row: path of the value, the invalid JSON value, and the key that the error message must name. */
    private static final String[][] SPOILS = {
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

    private static Object child(Object at, String key) {
        return at instanceof List<?> list
                ? list.get(Integer.parseInt(key))
                : object(at).computeIfAbsent(key, k -> new LinkedHashMap<>());
    }

    @SuppressWarnings("unchecked")
    private static void set(List<?> list, int index, Object value) {
        ((List<Object>) list).set(index, value);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    public Map<String, Object> settings() {
        return object(root.get("settings"));
    }

    /** The text of the file, with numbers in varying JSON notations such as 10, 10.0, 10e0 and 1E+1. */
    public String json() {
        StringBuilder text = new StringBuilder();
        write(text, root, new SplittableRandom(seed * 31 + 7));
        return text.toString();
    }

    private static void write(StringBuilder text, Object value, SplittableRandom random) {
        if (value instanceof Map<?, ?> map) {
            String before = "{";
            for (Map.Entry<?, ?> e : map.entrySet()) {
                text.append(before).append(Json.GSON.toJson(e.getKey())).append(random.nextInt(9) == 0 ? " : " : ":");
                write(text, e.getValue(), random);
                before = random.nextInt(9) == 0 ? " ,\n" : ",";
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
            text.append(number(n.doubleValue(), random.nextInt(6)));
        } else if (value instanceof Number) {
            text.append("1e999");
        } else {
            text.append(Json.GSON.toJson(value));
        }
    }

    private static String number(double n, int form) {
        boolean whole = n == Math.rint(n) && Math.abs(n) < 1e15;
        return switch (form) {
            case 0 -> whole ? (long) n + "e0" : Double.toString(n);
            case 1 -> whole ? (long) n + ".0" : new BigDecimal(n).toPlainString();
            case 2 ->
                whole && n % 10 == 0 && n != 0
                        ? (long) n / 10 + "E+1"
                        : whole ? Long.toString((long) n) : Double.toString(n);
            default -> whole ? Long.toString((long) n) : Double.toString(n);
        };
    }

    /** Draws the parts of a configuration in a fixed order, as each draw depends on those before. */
    private static final class Draw {
        private final SplittableRandom random;

        Draw(SplittableRandom random) {
            this.random = random;
        }

        GeneratedSettings configuration(long seed) {
            Map<String, Object> root = new LinkedHashMap<>();
            put(root, "name", name(), 0.8);
            root.put("listen", "127.0.0.1:3000");
            root.put("discovery", "127.0.0.1:8500");
            put(
                    root,
                    "seed",
                    random.nextBoolean()
                            ? String.format(Locale.ROOT, "%016x", random.nextLong())
                            : any(0, 1, 4294967296.0),
                    0.8);
            if (random.nextInt(4) > 0) {
                Map<String, Object> limits = new LinkedHashMap<>();
                put(limits, "cores", any(0.1, 0.5, 1, 2, 64), 0.7);
                put(limits, "memory_mb", any(16, 64, 160, 192, 187.5, 2048, 1048576, 4e6), 0.7);
                put(limits, "sockets", any(256, 257, 512, 1024, 4096, 1048576, 1073741816), 0.7);
                unknown(limits);
                root.put("limits", limits);
            }
            root.put("settings", settings());
            put(root, "known", known(object(root.get("settings"))), 0.3);
            unknown(root);
            return new GeneratedSettings(seed, root, null);
        }

        private Map<String, Object> settings() {
            Map<String, Object> s = new LinkedHashMap<>();
            int balancers = (int) any(1, 1, 2, 3, 5, 10, 30, 100);
            s.put("balancers", (double) balancers);
            put(s, "self_index", (double) pick(0, balancers - 1, random.nextInt(balancers)), 0.8);
            List<Object> zones = new ArrayList<>(List.of("a", "zone b", "зона").subList(0, random.nextInt(4)));
            put(s, "zones", zones, 0.8);
            put(s, "zone", zones.isEmpty() ? "a" : zones.get(random.nextInt(zones.size())), 0.8);
            List<Object> services = services();
            s.put("services", services);
            put(s, "customers", customers(), 0.6);
            List<Object> roles = roles();
            if (!roles.isEmpty()) {
                s.put("kinds", new ArrayList<Object>(List.of(KINDS).subList(0, roles.size())));
            }
            put(s, "discovery", pick("automatic", "subscribe"), 0.7);
            put(s, "family", "twostage", 0.8);
            put(s, "layer", 0.0, 0.5);
            put(s, "stages", List.of("fleet"), 0.5);
            put(s, "tick_s", 0.002, 0.5);
            put(s, "weight_source", pick("off", "nominal", "rough", "live"), 0.5);
            put(s, "counted_by", pick("request", "work"), 0.5);
            put(s, "over_share_worth", any(0, 0.1, 1), 0.5);
            put(s, "goal", Map.of("whole", 0.7, "worst_class", 0.2), 0.5);
            put(s, "clients", Map.of("marks_retry", random.nextBoolean()), 0.5);
            put(s, "penalties", probePrice(), 0.6);
            boolean localRead = roles.equals(List.of("write")) || random.nextInt(3) == 0;
            s.put("limits", limits(localRead || roles.isEmpty() || roles.contains("both")));
            put(s, "rules", rules(), 0.8);
            put(s, "report", report(), 0.7);
            Map<String, Object> extra = extra(roles, services.size());
            extra.put("local_read", localRead);
            s.put("extra", extra);
            unknown(s);
            return s;
        }

        private List<Object> services() {
            int count = pick(1, 2, 3, 10);
            List<String> names = new ArrayList<>(List.of(NAMES));
            boolean equal = random.nextInt(4) == 0;
            int noDroppable = random.nextInt(4); // 0: all classes have the same worth and the same promise_s
            List<Object> services = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                Map<String, Object> c = new LinkedHashMap<>();
                c.put("name", names.remove(random.nextInt(names.size())));
                c.put("promise_s", noDroppable == 0 ? 1.5 : any(0, 0.05, 0.3, 1, 1.5, 3, 60, 3600, 1e6));
                put(c, "give_up_s", any(0, 0.3, 0.7, 1, 2, 3, 6, 15, 120, 3600, 86400), 0.85);
                c.put("semantics", pick("safe", "keyed", "unsafe"));
                put(c, "group", pick("all", "zone", "cell"), c.get("semantics").equals("keyed") ? 0.8 : 0.2);
                put(c, "window_s", any(0, 0.001, 0.05, 1, 5, 600, 1e9), 0.7);
                put(c, "worth", equal || noDroppable == 0 ? 2.0 : any(0, 1e-6, 0.5, 1, 2, 3, 1e6), 0.9);
                put(c, "late_share", any(0, 0.1, 1), 0.7);
                put(c, "stream", random.nextInt(4) > 0, 0.8);
                put(c, "aim_stretch", any(0, 0.5, 4), 0.3);
                unknown(c);
                services.add(c);
            }
            return services;
        }

        private List<Object> customers() {
            List<Object> customers = new ArrayList<>();
            for (int i = random.nextInt(5); i > 0; i--) {
                Map<String, Object> c = new LinkedHashMap<>();
                c.put("name", pick("t", "Überall AG", "客", "a b", "t" + i));
                put(c, "share", any(0, 0.01, 0.5, 1), 0.7);
                put(c, "quota_per_s", any(0, 0.01, 5, 1e9), 0.7);
                customers.add(c);
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

        private Object probePrice() {
            Map<String, Object> penalties = new LinkedHashMap<>();
            put(penalties, "probe", any(0, 1e-9, 0.0024, 1, 1e6), 0.7);
            put(penalties, "waste", 0.08, 0.5);
            unknown(penalties);
            return penalties;
        }

        /** {@code oneAttemptSuffices}: a request can be served by a single attempt, so {@code send_cap} may be 1. */
        private Map<String, Object> limits(boolean one) {
            Map<String, Object> l = new LinkedHashMap<>();
            l.put("send_cap", one ? any(1, 2, 3, 4, 8) : any(2, 3, 4, 8));
            put(l, "cancel", random.nextInt(3) > 0, 0.8);
            put(l, "probing", random.nextInt(3) > 0, 0.8);
            put(l, "retry_after", random.nextInt(3) > 0, 0.8);
            put(l, "max_retry_after_s", any(0, 0.001, 2, 3600), 0.8);
            put(l, "second_copies", random.nextBoolean(), 0.7);
            put(l, "peer_messages", false, 0.5);
            put(l, "conn_idle_s", any(0.05, 0.2, 1, 30, 3600, 1e7), 0.8);
            put(l, "connect_timeout_s", any(0.02, 0.1, 0.25, 1, 5, 60), 0.8);
            put(l, "multiplex", any(1, 100), 0.5);
            put(l, "open_cap", any(1, 20000), 0.5);
            put(l, "cpu_us_per_s", 500000.0, 0.5);
            unknown(l);
            return l;
        }

        private Map<String, Object> rules() {
            Map<String, Object> r = new LinkedHashMap<>();
            put(r, "cold_from", any(0, 0.01, 0.28, 1), 0.8);
            put(r, "fall_multiple", any(0, 0.01, 1, 3, 1e6), 0.8);
            put(r, "fall_s", any(0, 0.01, 2, 3600), 0.8);
            put(r, "warm_within_s", any(0, 0.01, 13, 1e6), 0.8);
            put(r, "drain_grace_s", any(0, 0.05, 1, 60), 0.8);
            put(r, "ask_within_s", any(0, 0.001, 0.2, 10, 86400), 0.8);
            put(r, "answer_slack_s", any(0, 0.008), 0.6);
            unknown(r);
            return r;
        }

        private Map<String, Object> report() {
            Map<String, Object> r = new LinkedHashMap<>();
            put(r, "via", pick("inline", "on_probe", "off"), 0.9);
            List<Object> fields = new ArrayList<>();
            for (String field : List.of("active", "waiting", "cpu", "avg_ms", "rps", "err_rps", "x0", "x1")) {
                if (fields.size() < 4 && random.nextInt(3) == 0) {
                    fields.add(field);
                }
            }
            put(r, "fields", fields, 0.9);
            unknown(r);
            return r;
        }

        private Map<String, Object> extra(List<Object> roles, int classes) {
            Map<String, Object> e = new LinkedHashMap<>();
            if (!roles.isEmpty()) {
                e.put("role_by_kind", new ArrayList<>(roles));
            }
            put(e, "release_s", any(0, 0.05, 0.35, 1, 60, 1e6), 0.8);
            put(e, "resume", random.nextBoolean(), 0.8);
            put(e, "ahead", random.nextBoolean(), 0.5);
            put(e, "cross_cell_price", any(0, 0.03), 0.5);
            put(e, "report_x0", pick("share of memory that is held", "Anteil belegten Speichers"), 0.6);
            put(e, "report_x1", "thousands of prompt tokens waiting to be read or fetched", 0.6);
            put(e, "memory_tokens", numbers(random.nextInt(roles.size() + 1), 0, 1, 142841, 1e9), 0.6);
            put(e, "token_aim_s", numbers(classes, 0.02, 0.06), 0.6);
            put(e, "aim_us_per_1000_prompt_tokens", numbers(random.nextInt(classes + 2), 0, 800, 40000, 1e12), 0.7);
            unknown(e);
            return e;
        }

        private Object known(Map<String, Object> settings) {
            List<Object> servers = new ArrayList<>();
            for (Object kind : (List<?>) settings.getOrDefault("kinds", List.of("none"))) {
                Map<String, Object> server = new LinkedHashMap<>();
                server.put("id", "s-" + servers.size());
                server.put("addr", "127.0.0.1:" + (2 + servers.size()));
                put(server, "zone", "a", 0.7);
                server.put("kind", kind);
                put(server, "cell", (double) random.nextInt(3), 0.7);
                put(server, "state", pick("active", "leaving"), 0.7);
                put(server, "weight", any(0, 0.5, 1, 1e6), 0.7);
                put(server, "started_ms", any(0, 1764660000000.0), 0.7);
                servers.add(server);
            }
            Map<String, Object> known = new LinkedHashMap<>();
            known.put("version", any(0, 41, 9007199254740992.0));
            put(known, "full", true, 0.8);
            known.put("servers", servers);
            return known;
        }

        private List<Object> numbers(int count, double... of) {
            return new ArrayList<>(
                    IntStream.range(0, count).mapToObj(i -> (Object) any(of)).toList());
        }

        private String name() {
            return pick("n3", "κόμβος 1", "a/b", "..", "n".repeat(300), "節点", "\uD83D\uDC1F", "\"");
        }

        /** Puts the value with this probability; otherwise omits the key, or sometimes sets it to null. */
        private void put(Map<String, Object> at, String key, Object value, double chance) {
            if (random.nextDouble() < chance) {
                at.put(key, value);
            } else if (random.nextInt(8) == 0) {
                at.put(key, null);
            }
        }

        /** Sometimes adds an unknown key, which must be ignored, as any release may add keys. */
        private void unknown(Map<String, Object> at) {
            if (random.nextInt(6) == 0) {
                at.put(
                        "neu-" + random.nextInt(100),
                        pick(null, "x", List.of(1.0, new ArrayList<>()), Map.of("a", Map.of()), -1.0));
            }
        }

        private double any(double... of) {
            return of[random.nextInt(of.length)];
        }

        @SafeVarargs
        private <T> T pick(T... of) {
            return of[random.nextInt(of.length)];
        }
    }

    /** The names of the classes, in the settings' order. */
    public List<String> classes() {
        List<String> names = new ArrayList<>();
        for (Object service : (List<?>) settings().get("services")) {
            names.add((String) object(service).get("name"));
        }
        return names;
    }

    /** The role of each kind; a kind without a configured role both reads and writes. Without kinds: a single kind "none". */
    public Map<String, String> roles() {
        Map<String, String> roles = new LinkedHashMap<>();
        List<?> told = (List<?>) object(settings().get("extra")).getOrDefault("role_by_kind", List.of());
        List<?> kinds = (List<?>) settings().getOrDefault("kinds", List.of());
        for (int i = 0; i < kinds.size(); i++) {
            roles.put((String) kinds.get(i), i < told.size() ? (String) told.get(i) : "both");
        }
        return roles.isEmpty() ? Map.of("none", "both") : roles;
    }

    /** For failure messages: the seed and the JSON text, cut off after 6,000 characters. */
    @Override
    public String toString() {
        String text = json();
        return "seed " + seed + ": " + (text.length() > MOST_PRINTED ? text.substring(0, MOST_PRINTED) + "..." : text);
    }
}

package copperbeam.program;

import copperbeam.Api.Kind;
import copperbeam.Api.ListKind;
import copperbeam.Api.RequestClass;
import copperbeam.Api.Role;
import copperbeam.Api.Settings;
import copperbeam.membership.Backoff;
import copperbeam.membership.WatchPlan;
import copperbeam.plugins.WasmHook;
import copperbeam.protocol.Json;
import copperbeam.protocol.discovery.ServerList;
import copperbeam.protocol.openai.ChatModels;
import copperbeam.protocol.platform.PlatformHeaders;
import copperbeam.routing.ModuleTime;
import copperbeam.routing.RequestHook;
import copperbeam.simhost.Decoder;
import copperbeam.simhost.Wire;
import copperbeam.transport.ProcessDescriptors;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * The configuration of the program. Only this class reads it, checks it and fills in defaults.
 *
 * @param listen address of the clients' API
 * @param control address of the operators' API; null: that API is off
 * @param sharedFolder folder with the files that the processes of this conductor share; null: nothing is shared, as is always
 *     the case without an operators' API
 * @param discovery address of the discovery service; null only if the operator file names another source of the server list
 * @param knownList the server list as last known before this start, or null
 * @param operator settings from the operator file; defaults on the platform, which has no such file
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress control,
        Path shared,
        InetSocketAddress discovery,
        long seed,
        Settings settings,
        ServerList known,
        Duration connectTimeout,
        Duration connectionIdle,
        Limits limits,
        Operator operator) {

    private static final int MOST_MEMORY_MB = 1 << 20; // higher values have no further effect
    private static final int LONGEST_NAME = 8 * 1024; // half of the longest request head that is accepted
    // by then the operating system has sent its second SYN retransmission and no answer is to be expected any more;
    // with a longer timeout, sockets that connect to an unresponsive server would pile up
    private static final Duration LONGEST_CONNECT = Duration.ofSeconds(4);
    private static final Duration LEAST_DISCOVERY_WAIT =
            Duration.ofMillis(100); // below the 200 ms after which the discovery service counts a watch as new

    /**
     * Settings from the operator file.
     *
     * @param chatListen address of the chat API; null: that API is off
     * @param chatModels null if the chat API is off
     * @param etcd null if the server list comes from the platform's discovery
     * @param stopTimeout time from SIGTERM to the platform's SIGKILL
     */
    public record Operator(
            InetSocketAddress chatListen, ChatModels chat, Etcd etcd, List<RequestHook> hooks, Duration stopWithin) {
        private static final Duration LONGEST_WAIT = Duration.ofSeconds(3); // longest that a stop waits for clients
        private static final Duration KILL_AFTER = Duration.ofMillis(700); // from the end of that wait to SIGKILL

        public Operator(InetSocketAddress chatListen, ChatModels chat, Etcd etcd, List<RequestHook> hooks) {
            this(chatListen, chat, etcd, hooks, LONGEST_WAIT.plus(KILL_AFTER));
        }
    }

    /** Memory and file descriptors that this process may use. */
    public record Limits(int memoryMb, int sockets) {
        public static final Limits USUAL = new Limits(192, 1024);
        private static final int OWN = 64; // descriptors for files, selectors, listeners, discovery and probes

        /** Most client connections: a third of the descriptors, as each client's request needs a server connection too. */
        public int clients() {
            return sockets / 3;
        }

        /** Most idle connections to all servers together: what client and server connections and the reserve leave. */
        public int idle() {
            return sockets - 2 * clients() - OWN;
        }

        /** The limits with half of the descriptors, for while another process of this conductor has the other half. */
        Limits half() {
            return new Limits(memoryMb, sockets / 2);
        }

        /** Most bytes of request bodies held at a time: at most a third of the heap and a quarter of the process's memory. */
        public long bodies() {
            return Math.min(Runtime.getRuntime().maxMemory() / 3, memoryMb * 1024L * 1024 / 4);
        }
    }

    /** An etcd that the server list comes from instead of the platform's discovery; {@code prefix} ends in a slash. */
    public record Etcd(InetSocketAddress endpoint, String prefix) {}

    /** An invalid configuration; the message begins with the key at fault. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1L;

        Invalid(String key, String what) {
            super(key + ": " + what);
        }
    }

    /** Reads the platform's environment variables, the file that they name, and the operator file unless null. */
    public static Config read(Map<String, String> environment, String operatorFile) throws Invalid {
        return read(environment, operatorFile, false);
    }

    /**
     * As {@link #read}, in a running program: the discovery address in the file takes precedence over the environment, as
     * the file may have been replaced since the start.
     */
    public static Config reread(Map<String, String> environment, String operatorFile) throws Invalid {
        return read(environment, operatorFile, true);
    }

    private static Config read(Map<String, String> environment, String operatorFile, boolean again) throws Invalid {
        String path = environment.get("GW_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new Invalid("GW_CONFIG", "is not set");
        }
        Section file = Section.file("GW_CONFIG", path);
        override(file, "name", environment.get("GW_NAME"));
        override(file, "listen", environment.get("GW_LISTEN"));
        override(file, "control", environment.get("GW_CONTROL"));
        if (!again || !file.has("discovery")) {
            override(file, "discovery", environment.get("GW_DISCOVERY"));
        }
        Section raw = file.section("settings");
        Section limits = raw.section("limits");
        Settings settings = settings(raw);
        Duration kill = kill(raw);
        Operator operator = operatorFile == null
                ? new Operator(null, null, null, List.of(), kill)
                : operator(Section.file("--operator", operatorFile), Path.of(operatorFile), settings, kill);
        String name = file.text("name", "conductor");
        return new Config(
                name,
                file.address("listen"),
                file.has("control") ? file.address("control") : null,
                file.has("control") ? folder(environment) : null,
                operator.etcd() == null ? file.address("discovery") : null,
                seed(file, name),
                settings,
                known(file),
                shorter(limits.span("connect_timeout_s", 0.25), LONGEST_CONNECT),
                limits.span("conn_idle_s", 30),
                limits(file),
                operator);
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Path folder(Map<String, String> environment) {
        String path = environment.get("TMPDIR");
        return path == null || path.isEmpty() ? null : Path.of(path);
    }

    private static void override(Section file, String key, String value) {
        if (value != null && !value.isEmpty()) {
            file.raw().put(key, value);
        }
    }

    /** The configured limits; the descriptors never exceed the process's limit in the operating system. */
    private static Limits limits(Section file) throws Invalid {
        if (!file.has("limits")) {
            return new Limits(Limits.USUAL.memoryMb(), Math.min(Limits.USUAL.sockets(), ProcessDescriptors.limit()));
        }
        Section limits = file.section("limits");
        return new Limits(
                limits.atMostCount("memory_mb", Limits.USUAL.memoryMb(), 16, MOST_MEMORY_MB),
                Math.min(
                        limits.count("sockets", Limits.USUAL.sockets(), 256, Integer.MAX_VALUE),
                        ProcessDescriptors.limit()));
    }

    private static Settings settings(Section raw) throws Invalid {
        raw.finite();
        Settings settings;
        try {
            settings = Decoder.settings(raw.raw());
        } catch (Wire.Malformed e) {
            throw new Invalid("settings", e.getMessage());
        }
        raw.count("balancers", 1, 1, Integer.MAX_VALUE); // the decoder's cast to int would wrap larger numbers
        raw.section("limits").count("send_cap", 1, 1, Integer.MAX_VALUE);
        raw.count("self_index", -1, Integer.MIN_VALUE, Integer.MAX_VALUE);
        if (raw.has("discovery") && !Set.of("automatic", "subscribe").contains(raw.get("discovery"))) {
            throw raw.invalid("discovery", "is neither automatic nor subscribe");
        }
        if (settings.classes().isEmpty()) {
            throw raw.invalid("services", "names no class");
        }
        names(raw, settings);
        amounts(raw);
        roles(raw, settings);
        return settings;
    }

    /** Rejects kinds of servers that together can't serve any request. */
    private static void roles(Section raw, Settings settings) throws Invalid {
        Set<Role> roles = EnumSet.noneOf(Role.class);
        settings.kinds().forEach(k -> roles.add(k.role()));
        boolean all = roles.isEmpty() || roles.contains(Role.MIXED); // some servers can both read and write
        boolean alone = all || roles.contains(Role.WRITER) && settings.writersRead();
        if (!alone && roles.size() < 2) {
            throw raw.section("extra")
                    .invalid(
                            "role_by_kind",
                            "names no kind that can " + (roles.contains(Role.READER) ? "write" : "read"));
        }
        if (!alone && settings.limits().maxAttempts() < 2) {
            throw raw.section("limits").invalid("send_cap", "is 1, and each request needs a read and a write");
        }
    }

    /** Rejects class names that a header can't carry, and classes or kinds defined twice with different properties. */
    private static void names(Section raw, Settings settings) throws Invalid {
        Map<String, RequestClass> classes = new LinkedHashMap<>();
        Map<String, Kind> kinds = new LinkedHashMap<>();
        for (RequestClass c : settings.classes()) {
            Section at = raw.sections("services").get(settings.classes().indexOf(c));
            if (c.name().getBytes(StandardCharsets.UTF_8).length > LONGEST_NAME) {
                throw at.invalid("name", "is longer than " + LONGEST_NAME + " bytes");
            }
            if (c.name().isEmpty()
                    || c.name().chars().anyMatch(Character::isISOControl)
                    || c.name().startsWith(" ")
                    || c.name().endsWith(" ")
                    || !StandardCharsets.UTF_8.newEncoder().canEncode(c.name())) {
                throw at.invalid("name", "is not a text that a header can have");
            }
            if (!c.equals(classes.getOrDefault(c.name(), c))) {
                throw at.invalid("name", "is that of another class too");
            }
            classes.put(c.name(), c);
        }
        for (Kind k : settings.kinds()) {
            if (!k.equals(kinds.getOrDefault(k.name(), k))) {
                throw raw.invalid("kinds", "name '" + k.name() + "' twice, with different roles or memory");
            }
            kinds.put(k.name(), k);
        }
    }

    /** Rejects negative numbers where they make no sense, and durations too long to compute with. */
    private static void amounts(Section raw) throws Invalid {
        for (Section service : raw.sections("services")) {
            service.notNegative("promise_s", "give_up_s", "window_s", "worth");
            service.atMost("give_up_s", PlatformHeaders.LONGEST_TIMEOUT.toSeconds());
        }
        for (Section customer : raw.has("customers") ? raw.sections("customers") : List.<Section>of()) {
            customer.notNegative("quota_per_s");
        }
        raw.section("limits").notNegative("max_retry_after_s");
        if (raw.has("penalties")) {
            raw.section("penalties").notNegative("probe");
        }
        if (raw.has("rules")) {
            Section rules = raw.section("rules");
            rules.notNegative("cold_from", "warm_within_s", "fall_multiple", "fall_s", "drain_grace_s", "ask_within_s");
            rules.atMost("cold_from", 1);
            rules.atMost("ask_within_s", Section.LONGEST_S);
        }
        if (raw.has("extra")) {
            Section extra = raw.section("extra");
            extra.notNegative("release_s");
            extra.noneNegative("aim_us_per_1000_prompt_tokens");
            extra.noneNegative("memory_tokens");
            extra.atMost("release_s", Section.LONGEST_S);
        }
    }

    private static ServerList known(Section file) throws Invalid {
        try {
            ServerList known = file.has("known") ? ServerList.parse(Json.GSON.toJson(file.get("known"))) : null;
            if (known != null) {
                known.change(ListKind.CACHED); // throws if an entry is invalid
            }
            return known;
        } catch (IllegalArgumentException e) {
            throw file.invalid("known", e.getMessage());
        }
    }

    private static long seed(Section file, String name) throws Invalid {
        Object value = file.get("seed");
        if (value == null) {
            return name.hashCode() ^ System.nanoTime();
        }
        if (value instanceof Number n && n.doubleValue() != Math.rint(n.doubleValue())) {
            throw file.invalid("seed", "is not a whole number");
        }
        try {
            return value instanceof Number n ? n.longValue() : Long.parseUnsignedLong(value.toString(), 16);
        } catch (NumberFormatException e) {
            throw file.invalid("seed", "is not a hexadecimal number of 64 bits");
        }
    }

    private static Operator operator(Section file, Path at, Settings settings, Duration kill) throws Invalid {
        file.only(Set.of("openai", "etcd", "plugins", "stop"));
        Section chat = file.has("openai") ? file.section("openai") : null;
        return new Operator(
                chat == null ? null : chat.address("listen"),
                chat == null ? null : models(chat, classNames(settings)),
                file.has("etcd") ? etcd(file.section("etcd")) : null,
                file.has("plugins") ? hooks(file, at, settings) : List.of(),
                file.has("stop") ? stopWithin(file.section("stop"), kill) : kill);
    }

    /**
     * Shortest time from SIGTERM to the platform's SIGKILL: the longest deadline of a class, at most
     * {@link Operator#MAX_CLIENT_WAIT}, plus a margin. A class without a configured deadline counts as the maximum.
     */
    private static Duration kill(Section settings) throws Invalid {
        Duration longest = Duration.ZERO;
        for (Section service : settings.sections("services")) {
            boolean told =
                    service.has("give_up_s") && !(service.get("give_up_s") instanceof Number n && n.doubleValue() == 0);
            Duration wait = told ? service.span("give_up_s", 0) : Operator.LONGEST_WAIT;
            longest = wait.compareTo(longest) > 0 ? wait : longest;
        }
        return shorter(longest, Operator.LONGEST_WAIT).plus(Operator.KILL_AFTER);
    }

    private static Duration stopWithin(Section stop, Duration kill) throws Invalid {
        stop.only(Set.of("within_s"));
        if (!stop.has("within_s")) {
            return kill;
        }
        Duration within = stop.span("within_s", 0);
        if (within.compareTo(Duration.ofSeconds(2)) < 0 || within.compareTo(Duration.ofMinutes(10)) > 0) {
            throw stop.invalid("within_s", "is not from 2 to 600 s");
        }
        return within;
    }

    private static Etcd etcd(Section etcd) throws Invalid {
        etcd.only(Set.of("endpoint", "prefix"));
        String prefix = etcd.text("prefix", "/copperbeam/servers/");
        if (!prefix.endsWith("/")) {
            throw etcd.invalid("prefix", "does not end in a slash");
        }
        return new Etcd(etcd.address("endpoint"), prefix);
    }

    private static List<RequestHook> hooks(Section file, Path at, Settings settings) throws Invalid {
        List<RequestHook> hooks = new ArrayList<>();
        for (Section plugin : file.sections("plugins")) {
            plugin.only(Set.of("file", "time_ms", "memory_pages"));
            Path wasm = at.toAbsolutePath().resolveSibling(plugin.text("file"));
            try {
                hooks.add(new WasmHook(
                        plugin.text("file"),
                        Files.readAllBytes(wasm),
                        settings.classes().stream().map(RequestClass::name).toList(),
                        Duration.ofMillis(plugin.count("time_ms", 5, 1, 1000)),
                        plugin.count("memory_pages", 16, 1, 256)));
            } catch (IOException e) {
                throw plugin.invalid("file", "cannot read " + wasm + ": " + e);
            } catch (IllegalArgumentException e) {
                throw plugin.invalid("file", e.getMessage());
            }
        }
        return hooks;
    }

    private static ChatModels models(Section chat, Set<String> classes) throws Invalid {
        chat.only(Set.of("listen", "models"));
        Section models = chat.section("models");
        Map<String, ChatModels.Model> byName = new LinkedHashMap<>();
        for (String name : models.keys()) {
            Section model = models.section(name);
            model.only(Set.of("class", "timeout_s", "max_tokens"));
            if (!classes.contains(model.text("class"))) {
                throw model.invalid("class", "the settings name no class '" + model.text("class") + "'");
            }
            byName.put(
                    name,
                    new ChatModels.Model(
                            model.text("class"),
                            model.span("timeout_s", 15),
                            model.count("max_tokens", 512, 1, 1_000_000)));
        }
        if (byName.isEmpty()) {
            throw chat.invalid("models", "names no model");
        }
        return new ChatModels(byName);
    }

    private static Set<String> classNames(Settings settings) {
        Set<String> names = new TreeSet<>();
        settings.classes().forEach(c -> names.add(c.name()));
        return names;
    }

    /**
     * The known list and version from which discovery continues, or null if it must fetch a full list. Discovery continues
     * only if the list must be requested, as then one service numbers all versions. A local agent may have its own version
     * numbers, and a full list from it costs nothing.
     */
    WatchPlan.Listing knownListing() {
        return !knowsServers() || !settings.listMustBeAsked()
                ? null
                : new WatchPlan.Listing(known.version(), true, known.entries());
    }

    /** Whether the known list has servers; if so, an empty list from discovery right after the start is not trusted. */
    boolean knowsServers() {
        return known != null && !known.entries().isEmpty();
    }

    /**
     * Delays between failed calls to discovery. If the list must be requested, one service serves all conductors and may be
     * overloaded: retries start at 0.5 s, and the delay grows at most to the time that the rules allow without contact. If a
     * local agent pushes the list, calls are cheap and the delay stays at its minimum.
     */
    Backoff discoveryBackoff() {
        Duration soon = LEAST_DISCOVERY_WAIT;
        Duration first = settings.listMustBeAsked() ? soon.multipliedBy(5) : soon;
        double within = settings.rules().askWithinS();
        // no service could meet a shorter limit; calls without a pause would only overload it
        Duration longest = within > 0 ? ModuleTime.span(Math.max(within, ModuleTime.seconds(soon))) : WatchPlan.TOLD;
        return new Backoff(first, settings.listMustBeAsked() ? longest : first, new SplittableRandom(seed));
    }

    public Set<String> classNames() {
        return classNames(settings);
    }
}

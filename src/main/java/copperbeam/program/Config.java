package copperbeam.program;

import copperbeam.Api.ListKind;
import copperbeam.Api.RequestClass;
import copperbeam.Api.Role;
import copperbeam.Api.ServerKind;
import copperbeam.Api.Settings;
import copperbeam.membership.Backoff;
import copperbeam.membership.WatchPace;
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
import copperbeam.transport.ClientConnections;
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
        Path sharedFolder,
        InetSocketAddress discovery,
        long seed,
        Settings settings,
        ServerList knownList,
        Duration connectTimeout,
        Duration connectionIdleTimeout,
        Limits limits,
        OperatorSettings operator) {

    private static final double MAX_DRAIN_GRACE_S = 60; // higher values have no further effect
    private static final int MAX_MEMORY_MB = 1 << 20; // higher values have no further effect
    private static final int MAX_CLASS_NAME_BYTES = 8 * 1024; // half of the longest request head that is accepted
    // by then the operating system has sent its second SYN retransmission and no answer is to be expected any more;
    // with a longer timeout, sockets that connect to an unresponsive server would pile up
    private static final Duration MAX_CONNECT_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration MIN_DISCOVERY_RETRY_DELAY =
            Duration.ofMillis(100); // below the 200 ms after which the discovery service counts a watch as new

    /**
     * Settings from the operator file.
     *
     * @param chatListen address of the chat API; null: that API is off
     * @param chatModels null if the chat API is off
     * @param etcd null if the server list comes from the platform's discovery
     * @param stopTimeout time from SIGTERM to the platform's SIGKILL
     */
    public record OperatorSettings(
            InetSocketAddress chatListen,
            ChatModels chatModels,
            Etcd etcd,
            List<RequestHook> hooks,
            Duration stopTimeout) {
        private static final Duration MAX_CLIENT_WAIT = Duration.ofSeconds(3); // longest that a stop waits for clients
        private static final Duration KILL_MARGIN = Duration.ofMillis(700); // from the end of that wait to SIGKILL

        public OperatorSettings(
                InetSocketAddress chatListen, ChatModels chatModels, Etcd etcd, List<RequestHook> hooks) {
            this(chatListen, chatModels, etcd, hooks, MAX_CLIENT_WAIT.plus(KILL_MARGIN));
        }
    }

    /** Memory and file descriptors that this process may use. */
    public record Limits(int memoryMb, int sockets) {
        public static final Limits DEFAULT = new Limits(192, 1024);
        private static final int RESERVED_DESCRIPTORS =
                64; // descriptors for files, selectors, listeners, discovery and probes

        private static final long HEAP_BYTES_BESIDE_CLIENTS = 10 << 20;
        private static final long HEAP_BYTES_PER_CLIENT =
                96 * 1024; // with an answer of long events that it reads slowly

        /**
         * Most client connections with an open request: a third of the descriptors, as each client's request needs a server
         * connection too, or as many as the heap has room for if that is less.
         */
        public int maxClients() {
            long heapBytes = Runtime.getRuntime().maxMemory();
            long inHeap = Math.max(1, (heapBytes - HEAP_BYTES_BESIDE_CLIENTS) / HEAP_BYTES_PER_CLIENT);
            return (int) Math.min(thirdOfSockets(), inHeap);
        }

        private int thirdOfSockets() {
            return sockets / 3;
        }

        /** Most idle connections to all servers together: what client and server connections and the reserve leave. */
        public int maxIdleConnections() {
            return sockets - 2 * thirdOfSockets() - RESERVED_DESCRIPTORS;
        }

        /** The limits with half of the descriptors; for the time that another process of this conductor runs. */
        Limits withHalfTheSockets() {
            return new Limits(memoryMb, sockets / 2);
        }

        /**
         * Limits on the memory that requests and answers hold: in all three eighths of the heap, or of the process's memory if
         * that is less. The rest is for the program itself, for connections, and for the garbage between two collections.
         */
        public ClientConnections.MemoryLimits memoryLimits() {
            long memory = Math.min(Runtime.getRuntime().maxMemory(), memoryMb * 1024L * 1024);
            return new ClientConnections.MemoryLimits(memory / 4, memory / 16, memory / 16);
        }
    }

    /** An etcd that the server list comes from instead of the platform's discovery; {@code prefix} ends in a slash. */
    public record Etcd(InetSocketAddress endpoint, String prefix) {}

    /** An invalid configuration; the message begins with the key at fault. */
    public static final class Invalid extends Exception {
        private static final long serialVersionUID = 1L;

        Invalid(String key, String problem) {
            super(key + ": " + problem);
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

    private static Config read(Map<String, String> environment, String operatorFile, boolean reloading) throws Invalid {
        String path = environment.get("GW_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new Invalid("GW_CONFIG", "is not set");
        }
        Section file = Section.file("GW_CONFIG", path);
        override(file, "name", environment.get("GW_NAME"));
        override(file, "listen", environment.get("GW_LISTEN"));
        override(file, "control", environment.get("GW_CONTROL"));
        if (!reloading || !file.has("discovery")) {
            override(file, "discovery", environment.get("GW_DISCOVERY"));
        }
        Section settingsSection = file.section("settings");
        Section limitsSection = settingsSection.section("limits");
        Settings settings = readSettings(settingsSection);
        Duration defaultStopTimeout = defaultStopTimeout(settingsSection);
        OperatorSettings operator = operatorFile == null
                ? new OperatorSettings(null, null, null, List.of(), defaultStopTimeout)
                : readOperator(
                        Section.file("--operator", operatorFile), Path.of(operatorFile), settings, defaultStopTimeout);
        String name = file.text("name", "conductor");
        return new Config(
                name,
                file.address("listen"),
                file.has("control") ? file.address("control") : null,
                file.has("control") ? tempFolder(environment) : null,
                operator.etcd() == null ? file.address("discovery") : null,
                readSeed(file, name),
                settings,
                readKnownList(file),
                min(limitsSection.duration("connect_timeout_s", 0.25), MAX_CONNECT_TIMEOUT),
                limitsSection.duration("conn_idle_s", 30),
                readLimits(file),
                operator);
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }

    private static Path tempFolder(Map<String, String> environment) {
        String path = environment.get("TMPDIR");
        return path == null || path.isEmpty() ? null : Path.of(path);
    }

    private static void override(Section file, String key, String value) {
        if (value != null && !value.isEmpty()) {
            file.values().put(key, value);
        }
    }

    /** The configured limits; the descriptors never exceed the process's limit in the operating system. */
    private static Limits readLimits(Section file) throws Invalid {
        if (!file.has("limits")) {
            return new Limits(
                    Limits.DEFAULT.memoryMb(), Math.min(Limits.DEFAULT.sockets(), ProcessDescriptors.limit()));
        }
        Section limits = file.section("limits");
        return new Limits(
                limits.cappedCount("memory_mb", Limits.DEFAULT.memoryMb(), 16, MAX_MEMORY_MB),
                Math.min(
                        limits.count("sockets", Limits.DEFAULT.sockets(), 256, Integer.MAX_VALUE),
                        ProcessDescriptors.limit()));
    }

    private static Settings readSettings(Section raw) throws Invalid {
        raw.requireFinite();
        Settings settings;
        try {
            settings = Decoder.settings(raw.values());
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
        checkNames(raw, settings);
        checkAmounts(raw);
        checkRoles(raw, settings);
        return settings;
    }

    /** Rejects kinds of servers that together can't serve any request. */
    private static void checkRoles(Section raw, Settings settings) throws Invalid {
        Set<Role> roles = EnumSet.noneOf(Role.class);
        settings.kinds().forEach(k -> roles.add(k.role()));
        boolean hasMixed = roles.isEmpty() || roles.contains(Role.MIXED); // some servers can both read and write
        boolean oneServerSuffices = hasMixed || roles.contains(Role.WRITER) && settings.writersRead();
        if (!oneServerSuffices && roles.size() < 2) {
            throw raw.section("extra")
                    .invalid(
                            "role_by_kind",
                            "names no kind that can " + (roles.contains(Role.READER) ? "write" : "read"));
        }
        if (!oneServerSuffices && settings.limits().maxAttempts() < 2) {
            throw raw.section("limits").invalid("send_cap", "is 1, and each request needs a read and a write");
        }
    }

    /** Rejects class names that a header can't carry, and classes or kinds defined twice with different properties. */
    private static void checkNames(Section raw, Settings settings) throws Invalid {
        Map<String, RequestClass> classes = new LinkedHashMap<>();
        Map<String, ServerKind> kinds = new LinkedHashMap<>();
        for (RequestClass requestClass : settings.classes()) {
            Section section = raw.sections("services").get(settings.classes().indexOf(requestClass));
            if (requestClass.name().getBytes(StandardCharsets.UTF_8).length > MAX_CLASS_NAME_BYTES) {
                throw section.invalid("name", "is longer than " + MAX_CLASS_NAME_BYTES + " bytes");
            }
            if (requestClass.name().isEmpty()
                    || requestClass.name().chars().anyMatch(Character::isISOControl)
                    || requestClass.name().startsWith(" ")
                    || requestClass.name().endsWith(" ")
                    || !StandardCharsets.UTF_8.newEncoder().canEncode(requestClass.name())) {
                throw section.invalid("name", "is not a text that a header can have");
            }
            if (!requestClass.equals(classes.getOrDefault(requestClass.name(), requestClass))) {
                throw section.invalid("name", "is that of another class too");
            }
            classes.put(requestClass.name(), requestClass);
        }
        for (ServerKind kind : settings.kinds()) {
            if (!kind.equals(kinds.getOrDefault(kind.name(), kind))) {
                throw raw.invalid("kinds", "name '" + kind.name() + "' twice, with different roles or memory");
            }
            kinds.put(kind.name(), kind);
        }
    }

    /** Rejects negative numbers where they make no sense, and durations too long to compute with. */
    private static void checkAmounts(Section raw) throws Invalid {
        for (Section service : raw.sections("services")) {
            service.requireNotNegative("promise_s", "give_up_s", "window_s", "worth");
            service.requireAtMost("give_up_s", PlatformHeaders.MAX_TIMEOUT.toSeconds());
        }
        for (Section customer : raw.has("customers") ? raw.sections("customers") : List.<Section>of()) {
            customer.requireNotNegative("quota_per_s");
        }
        raw.section("limits").requireNotNegative("max_retry_after_s");
        if (raw.has("penalties")) {
            raw.section("penalties").requireNotNegative("probe");
        }
        if (raw.has("rules")) {
            Section rules = raw.section("rules");
            rules.requireNotNegative(
                    "cold_from", "warm_within_s", "fall_multiple", "fall_s", "drain_grace_s", "ask_within_s");
            rules.requireAtMost("cold_from", 1);
            rules.requireAtMost("ask_within_s", Section.MAX_DURATION_S);
        }
        if (raw.has("extra")) {
            Section extra = raw.section("extra");
            extra.requireNotNegative("release_s");
            extra.requireNoneNegative("aim_us_per_1000_prompt_tokens");
            extra.requireNoneNegative("memory_tokens");
            extra.requireAtMost("release_s", Section.MAX_DURATION_S);
        }
    }

    private static ServerList readKnownList(Section file) throws Invalid {
        try {
            ServerList known = file.has("known") ? ServerList.parse(Json.GSON.toJson(file.get("known"))) : null;
            if (known != null) {
                known.toChange(ListKind.CACHED); // throws if an entry is invalid
            }
            return known;
        } catch (IllegalArgumentException e) {
            throw file.invalid("known", e.getMessage());
        }
    }

    private static long readSeed(Section file, String name) throws Invalid {
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

    private static OperatorSettings readOperator(
            Section file, Path operatorFile, Settings settings, Duration defaultStopTimeout) throws Invalid {
        file.rejectUnknownKeys(Set.of("openai", "etcd", "plugins", "stop"));
        Section chatSection = file.has("openai") ? file.section("openai") : null;
        return new OperatorSettings(
                chatSection == null ? null : chatSection.address("listen"),
                chatSection == null ? null : readChatModels(chatSection, classNames(settings)),
                file.has("etcd") ? readEtcd(file.section("etcd")) : null,
                file.has("plugins") ? readHooks(file, operatorFile, settings) : List.of(),
                file.has("stop") ? readStopTimeout(file.section("stop"), defaultStopTimeout) : defaultStopTimeout);
    }

    /**
     * Shortest time from SIGTERM to the platform's SIGKILL: the longest deadline of a class, at most
     * {@link OperatorSettings#MAX_CLIENT_WAIT}, plus a margin. A class without a configured deadline counts as the maximum.
     */
    private static Duration defaultStopTimeout(Section settings) throws Invalid {
        Duration longest = Duration.ZERO;
        for (Section service : settings.sections("services")) {
            boolean hasDeadline =
                    service.has("give_up_s") && !(service.get("give_up_s") instanceof Number n && n.doubleValue() == 0);
            Duration wait = hasDeadline ? service.duration("give_up_s", 0) : OperatorSettings.MAX_CLIENT_WAIT;
            longest = wait.compareTo(longest) > 0 ? wait : longest;
        }
        return min(longest, OperatorSettings.MAX_CLIENT_WAIT).plus(OperatorSettings.KILL_MARGIN);
    }

    private static Duration readStopTimeout(Section stop, Duration defaultStopTimeout) throws Invalid {
        stop.rejectUnknownKeys(Set.of("within_s"));
        if (!stop.has("within_s")) {
            return defaultStopTimeout;
        }
        Duration timeout = stop.duration("within_s", 0);
        if (timeout.compareTo(Duration.ofSeconds(2)) < 0 || timeout.compareTo(Duration.ofMinutes(10)) > 0) {
            throw stop.invalid("within_s", "is not from 2 to 600 s");
        }
        return timeout;
    }

    private static Etcd readEtcd(Section etcd) throws Invalid {
        etcd.rejectUnknownKeys(Set.of("endpoint", "prefix"));
        String prefix = etcd.text("prefix", "/copperbeam/servers/");
        if (!prefix.endsWith("/")) {
            throw etcd.invalid("prefix", "does not end in a slash");
        }
        return new Etcd(etcd.address("endpoint"), prefix);
    }

    private static List<RequestHook> readHooks(Section file, Path operatorFile, Settings settings) throws Invalid {
        List<RequestHook> hooks = new ArrayList<>();
        for (Section plugin : file.sections("plugins")) {
            plugin.rejectUnknownKeys(Set.of("file", "time_ms", "memory_pages"));
            Path wasm = operatorFile.toAbsolutePath().resolveSibling(plugin.text("file"));
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

    private static ChatModels readChatModels(Section chat, Set<String> classes) throws Invalid {
        chat.rejectUnknownKeys(Set.of("listen", "models"));
        Section modelSections = chat.section("models");
        Map<String, ChatModels.Model> byName = new LinkedHashMap<>();
        for (String name : modelSections.keys()) {
            Section model = modelSections.section(name);
            model.rejectUnknownKeys(Set.of("class", "timeout_s", "max_tokens"));
            if (!classes.contains(model.text("class"))) {
                throw model.invalid("class", "the settings name no class '" + model.text("class") + "'");
            }
            byName.put(
                    name,
                    new ChatModels.Model(
                            model.text("class"),
                            model.duration("timeout_s", 15),
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
        return !hasKnownServers() || !settings.mustSubscribe()
                ? null
                : new WatchPlan.Listing(knownList.version(), true, knownList.entries());
    }

    /** Whether the known list has servers; if so, an empty list from discovery right after the start is not trusted. */
    boolean hasKnownServers() {
        return knownList != null && !knownList.entries().isEmpty();
    }

    /**
     * Delays between failed calls to discovery. If the list must be requested, one service serves all conductors and may be
     * overloaded: retries start at 0.5 s, and the delay grows at most to the time that the rules allow without contact. If a
     * local agent pushes the list, calls are cheap and the delay stays at its minimum.
     */
    Backoff discoveryBackoff() {
        Duration minDelay = MIN_DISCOVERY_RETRY_DELAY;
        Duration initialDelay = settings.mustSubscribe() ? minDelay.multipliedBy(5) : minDelay;
        double maxSilenceS = settings.rules().listMaxAgeS();
        // no service could meet a shorter limit; calls without a pause would only overload it
        Duration maxDelay = maxSilenceS > 0
                ? ModuleTime.duration(Math.max(maxSilenceS, ModuleTime.seconds(minDelay)))
                : WatchPlan.INFORMED_AFTER;
        return new Backoff(
                initialDelay, settings.mustSubscribe() ? maxDelay : initialDelay, new SplittableRandom(seed));
    }

    /** How long calls to discovery wait: short if a local agent pushes the list, as then its calls are cheap. */
    WatchPace discoveryPace() {
        return settings.mustSubscribe()
                ? WatchPace.ofService()
                : WatchPace.ofAgent(
                        ModuleTime.duration(Math.min(settings.rules().drainGraceS(), MAX_DRAIN_GRACE_S)));
    }

    public Set<String> classNames() {
        return classNames(settings);
    }
}

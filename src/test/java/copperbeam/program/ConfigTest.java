package copperbeam.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import copperbeam.Api;
import copperbeam.Brain;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Reading the configuration: defaults, and errors that name the key at fault. */
public class ConfigTest {
    private static final String GOOD = """
            {"name":"n3","listen":"127.0.0.4:3000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
             "known":{"version":41,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:1","kind":"d"}]},
             "settings":{"balancers":2,"kinds":["d"],"services":[{"name":"ask","promise_s":1,"semantics":"safe"}],
               "limits":{"send_cap":4,"conn_idle_s":12},"rules":{},"extra":{}}}
            """;
    private static final String OPERATOR = """
            {"openai":{"listen":"127.0.0.1:0","models":{"m":{"class":"ask"}}}}
            """;

    private static Config read(String config, String operator, Map<String, String> variables) throws Exception {
        Path folder = Files.createTempDirectory("config");
        Path file = Files.writeString(folder.resolve("config.json"), config);
        Path operatorFile = operator == null ? null : Files.writeString(folder.resolve("operator.json"), operator);
        Map<String, String> environment = new java.util.HashMap<>(variables);
        environment.put("GW_CONFIG", file.toString());
        return Config.read(environment, operatorFile == null ? null : operatorFile.toString());
    }

    @Test
    public void readsAndGivesDefaults() throws Exception {
        Config config = read(GOOD, OPERATOR, Map.of("GW_LISTEN", "127.0.0.9:77"));
        assertEquals(config.listen().getPort(), 77);
        assertEquals(config.discovery().getPort(), 8500);
        assertEquals(config.seed(), 0x8c1f30d27a5be964L);
        assertEquals(config.connectTimeout(), Duration.ofMillis(250));
        assertEquals(config.connectionIdleTimeout(), Duration.ofSeconds(12));
        assertEquals(config.knownList().version(), 41);
        assertEquals(config.operator().chatModels().models().get("m").timeout(), Duration.ofSeconds(15));
        assertEquals(read(GOOD, null, Map.of()).operator().chatModels(), null);
    }

    @Test
    public void theConnectTimeoutIsCapped() throws Exception {
        String slow = GOOD.replace("\"conn_idle_s\"", "\"connect_timeout_s\":60,\"conn_idle_s\"");
        assertEquals(read(slow, null, Map.of()).connectTimeout(), Duration.ofSeconds(4));
    }

    /**
     * Discovery continues from the known version only if the list must be requested, as only then one service numbers all
     * versions.
     */
    @Test
    public void theKnownListIsContinuedOnlyIfTheListMustBeRequested() throws Exception {
        String asked = GOOD.replace("\"balancers\"", "\"discovery\":\"subscribe\",\"balancers\"");
        assertEquals(read(asked, null, Map.of()).knownListing().version(), 41);
        assertEquals(read(GOOD, null, Map.of()).knownListing(), null);
        String empty = asked.replaceFirst("\"servers\":\\[.*?\\]", "\"servers\":[]");
        assertEquals(read(empty, null, Map.of()).knownListing(), null);
    }

    /** Missing settings of rules, prices and reports get defaults with which the module can choose a server. */
    @Test
    public void missingSettingsGetUsableDefaults() throws Exception {
        Config config = read(GOOD, null, Map.of());
        Brain brain = new Brain(config.settings(), config.seed());
        brain.onEvent(
                1,
                new Api.ServerListUpdate(
                        Api.ListKind.FULL,
                        List.of(
                                new Api.Member("warm", null, "d", 0, Api.ServerState.READY, 0, 0),
                                new Api.Member("cold", null, "d", 0, Api.ServerState.READY, 0, 0.9))));
        List<Api.Action> actions = brain.onEvent(1, new Api.Arrival(1, "none", null, null, null, 100, 0, 10, 5));
        assertTrue(actions.stream().anyMatch(a -> a instanceof Api.Attempt), actions.toString());
    }

    private static final String COMPLETE = """
            {"listen":"127.0.0.4:3000","discovery":"127.0.0.1:8500","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
             "settings":{"balancers":2,"self_index":1,"kinds":["r","w"],"zones":["z"],
               "customers":[{"name":"t","quota_per_s":5.0,"share":0.5}],
               "services":[{"name":"ask","promise_s":1.0,"give_up_s":6.0,"semantics":"safe","worth":3.0,"late_share":0.1},
                 {"name":"keep","promise_s":2.0,"semantics":"keyed","group":"zone","window_s":5.0,"worth":2.0},
                 {"name":"send","promise_s":3.0,"semantics":"unsafe","worth":1.0}],
               "limits":{"send_cap":4,"cancel":true,"probing":true,"retry_after":true,"max_retry_after_s":2.0},
               "report":{"via":"on_probe","fields":["active","x0"]},"penalties":{"probe":0.0024},
               "rules":{"ask_within_s":10.0,"cold_from":0.28,"fall_multiple":3.0,"fall_s":2.0,"warm_within_s":13.0},
               "extra":{"role_by_kind":["read","write"],"memory_tokens":[1000,1000],"release_s":1.0,
                 "aim_us_per_1000_prompt_tokens":[40000.0,0,0]}}}
            """;

    /** Unusual but valid settings: a part of {@link #COMPLETE} and its replacement. */
    @DataProvider
    public Object[][] odd() {
        return new Object[][] {
            {"", ""},
            {",\"give_up_s\":6.0", ""},
            {"\"promise_s\":1.0", "\"promise_s\":0"},
            {"\"late_share\":0.1", "\"late_share\":0"},
            {"\"share\":0.5", "\"share\":0"},
            {"\"quota_per_s\":5.0", "\"quota_per_s\":0"},
            {"\"customers\":[{\"name\":\"t\",\"quota_per_s\":5.0,\"share\":0.5}],", ""},
            {"\"zones\":[\"z\"],", ""},
            {"\"worth\":3.0", "\"worth\":0"},
            {",\"worth\":1.0", ""},
            {"\"window_s\":5.0", "\"window_s\":0"},
            {"\"group\":\"zone\",", ""},
            {"\"self_index\":1", "\"self_index\":7"},
            {"\"self_index\":1,", ""},
            {"\"self_index\":1", "\"self_index\":-3"},
            {"\"balancers\":2", "\"balancers\":1"},
            {"\"balancers\":2", "\"balancers\":1000000"},
            {"\"kinds\":[\"r\",\"w\"],", ""},
            {"\"role_by_kind\":[\"read\",\"write\"],", ""},
            {"\"memory_tokens\":[1000,1000],", ""},
            {"[40000.0,0,0]", "[]"},
            {"\"release_s\":1.0", "\"release_s\":0"},
            {"\"release_s\":1.0,", ""},
            {
                "\"rules\":{\"ask_within_s\":10.0,\"cold_from\":0.28,\"fall_multiple\":3.0,\"fall_s\":2.0,\"warm_within_s\":13.0},",
                ""
            },
            {"\"fall_multiple\":3.0", "\"fall_multiple\":0"},
            {"\"fall_s\":2.0", "\"fall_s\":0"},
            {"\"warm_within_s\":13.0", "\"warm_within_s\":0"},
            {"\"cold_from\":0.28", "\"cold_from\":0"},
            {"\"cold_from\":0.28", "\"cold_from\":1"},
            {"\"ask_within_s\":10.0,", ""},
            {"\"probe\":0.0024", "\"probe\":0"},
            {"\"penalties\":{\"probe\":0.0024},", ""},
            {"\"probing\":true,", ""},
            {"\"cancel\":true,", ""},
            {",\"retry_after\":true,\"max_retry_after_s\":2.0", ""},
            {"\"report\":{\"via\":\"on_probe\",\"fields\":[\"active\",\"x0\"]},", ""},
            {"\"send_cap\":4", "\"send_cap\":2"},
            {"\"role_by_kind\":[\"read\",\"write\"],", "\"role_by_kind\":[\"write\",\"write\"],\"local_read\":true,"},
            {"\"memory_mb\":192,", "\"memory_mb\":187.5,"},
            {"\"sockets\":1024", "\"sockets\":1073741816"},
            {"\"send_cap\":4", "\"conn_idle_s\":1e7,\"connect_timeout_s\":1e12,\"send_cap\":4"},
            {"\"send_cap\":4", "\"send_cap\":1000"},
            {"\"send_cap\":4", "\"send_cap\":4.0"},
            {"\"memory_mb\":192,\"sockets\":1024", "\"memory_mb\":192.0,\"sockets\":1024.0"},
            {"\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},", ""},
            {"\"cores\"", "\"new\":{\"key\":[null]},\"cores\""},
            {"\"zones\"", "\"new\":{\"key\":[null]},\"zones\""},
            {"\"name\":\"ask\"", "\"new\":-1,\"name\":\"\u00f1and\u00fa \u65e5\u672c\u8a9e.,:;=/\\\"\""},
            {"\"send_cap\":4", "\"send_cap\":2147483647"},
            {"\"promise_s\":1.0", "\"promise_s\":1e300"},
            {"\"window_s\":5.0", "\"window_s\":1e300"},
            {"\"warm_within_s\":13.0", "\"warm_within_s\":1e300"},
            {"\"quota_per_s\":5.0", "\"quota_per_s\":1e300"},
            {"\"customers\":[", "\"customers\":[{\"name\":\"t\"},"},
            {"[1000,1000]", "[0,1e300]"},
            {"\"send_cap\":4", "\"conn_idle_s\":null,\"send_cap\":4"},
            {"\"name\":\"ask\"", "\"name\":\"" + "long".repeat(100) + "\""},
            {"[\"r\",\"w\"]", "[\"\u00e9 1\",\"" + "w".repeat(300) + "\"]"},
        };
    }

    /** With any configuration that is accepted, the module serves a request of each class, with one server of each kind. */
    @Test(dataProvider = "odd", timeOut = 30_000) // limit for a start
    public void acceptedSettingsServeEachClass(String usual, String odd) throws Exception {
        assertTrue(COMPLETE.contains(usual), usual);
        Api.Settings settings =
                read(COMPLETE.replace(usual, odd), null, Map.of()).settings();
        List<String> kinds = settings.kinds().isEmpty()
                ? List.of("none")
                : settings.kinds().stream().map(Api.ServerKind::name).toList();
        WarmUp.start(settings, null, null, () -> {});
        Brain brain = new Brain(settings, 7);
        brain.onEvent(
                1,
                new Api.ServerListUpdate(
                        Api.ListKind.FULL,
                        kinds.stream()
                                .map(k -> new Api.Member(
                                        k,
                                        null,
                                        k,
                                        0,
                                        Api.ServerState.READY,
                                        0,
                                        settings.rules().overloadMultiple() > 0 ? 0 : 0.9))
                                .toList()));
        for (int i = 0; i < settings.classes().size(); i++) {
            assertTrue(served(brain, settings, i), settings.classes().get(i) + " is not served");
        }
    }

    /** Attempts and probes succeed at once; timers shorter than a second fire one after another, others never. */
    private static boolean served(Brain brain, Api.Settings settings, int request) {
        double now = 2 + 10 * request;
        ArrayDeque<Api.Action> pendingActions = new ArrayDeque<>(brain.onEvent(
                now,
                new Api.Arrival(
                        request, settings.classes().get(request).name(), "t", "s", "p", 1000, 500, 10, now + 50)));
        int attempts = 0;
        while (!pendingActions.isEmpty() && now < 7 + 10 * request) {
            Api.Action action = pendingActions.poll();
            if (action instanceof Api.Timer t && t.delayS() < 1 && !t.tag().equals("probes")) {
                pendingActions.addAll(brain.onEvent(now += t.delayS(), new Api.TimerFired(t.tag())));
            } else if (action instanceof Api.Probe p) {
                pendingActions.addAll(brain.onEvent(now, new Api.ProbeEnded(p.server(), Api.Outcome.OK, 0.001, null)));
            } else if (action instanceof Api.Attempt a) {
                boolean reads = settings.kinds().stream()
                        .anyMatch(k -> k.name().equals(a.server()) && k.role() == Api.Role.READER);
                if (!reads) {
                    brain.onEvent(now, new Api.StreamStarted(request, attempts, a.server(), 0.01));
                    brain.onEvent(
                            now,
                            new Api.AttemptEnded(
                                    request, attempts, a.server(), Api.Outcome.OK, 0.02, true, false, null));
                    return true;
                }
                pendingActions.addAll(brain.onEvent(
                        now,
                        new Api.AttemptEnded(
                                request, attempts++, a.server(), Api.Outcome.READ, 0, false, false, null, 0)));
            }
        }
        return false;
    }

    /**
     * The stop timeout is 0.7 s plus the longest deadline, which counts as 3 s at most; a setting in the operator file takes
     * precedence. Rows: settings of the class, operator file or null, expected timeout in ms.
     */
    @DataProvider
    public Object[][] deadlines() {
        return new Object[][] {
            {"", null, 3700},
            {"\"give_up_s\":6,", null, 3700},
            {"\"give_up_s\":3.0,", null, 3700},
            {"\"give_up_s\":1.5,", null, 2200},
            {"\"give_up_s\":1,", OPERATOR, 1700},
            {"\"give_up_s\":0,", null, 3700},
            {"\"give_up_s\":1,\"promise_s\":1,\"semantics\":\"safe\"},{\"name\":\"longer\",\"give_up_s\":2,", null, 2700
            },
            {"\"give_up_s\":1,\"promise_s\":1,\"semantics\":\"safe\"},{\"name\":\"untold\",", null, 3700},
            {"\"give_up_s\":1,", "{\"stop\":{\"within_s\":5}}", 5000},
            {"\"give_up_s\":1,", "{\"stop\":{}}", 1700}
        };
    }

    @Test(dataProvider = "deadlines")
    public void theStopTimeoutFollowsTheLongestDeadline(String deadlineSetting, String operator, int stopTimeoutMs)
            throws Exception {
        Config config =
                read(GOOD.replace("\"name\":\"ask\",", "\"name\":\"ask\"," + deadlineSetting), operator, Map.of());
        assertEquals(config.operator().stopTimeout(), Duration.ofMillis(stopTimeoutMs));
    }

    @DataProvider
    public Object[][] faulty() {
        return new Object[][] {
            {"", null, "the file: "},
            {"{", null, "GW_CONFIG: "},
            {GOOD.replace("\"settings\"", "\"x\""), null, "settings: "},
            {GOOD.replace("127.0.0.4:3000", "here"), null, "listen: "},
            {GOOD.replace("\"discovery\"", "\"x\""), null, "discovery: "},
            {GOOD.replace("8c1f30d27a5be964", "xyz"), null, "seed: "},
            {GOOD.replace("\"conn_idle_s\":12", "\"conn_idle_s\":0"), null, "settings.limits.conn_idle_s: "},
            {GOOD.replace("\"send_cap\":4", "\"send_cap\":0"), null, "settings.limits.send_cap: "},
            {GOOD.replace("\"balancers\":2,", ""), null, "settings: field 'balancers' "},
            {GOOD.replace("\"balancers\":2", "\"balancers\":0"), null, "settings.balancers: "},
            {GOOD.replace("\"promise_s\":1,", ""), null, "settings: field 'promise_s' "},
            {GOOD.replace("\"send_cap\":4,", ""), null, "settings: field 'send_cap' "},
            {GOOD.replace("\"safe\"", "\"odd\""), null, "settings: unknown semantics 'odd'"},
            {GOOD.replace("\"safe\"", "\"safe\",\"give_up_s\":-1"), null, "settings.services[0].give_up_s: "},
            {GOOD.replace("\"id\":\"s\"", "\"no\":1"), null, "known: "},
            {GOOD.replace("\"promise_s\":1", "\"promise_s\":NaN"), null, "settings: field 'promise_s' "},
            {GOOD.replace("\"promise_s\":1", "\"promise_s\":1e999"), null, "settings.services[0].promise_s: "},
            {GOOD.replace("\"rules\":{}", "\"rules\":{\"fall_s\":1e999}"), null, "settings.rules.fall_s: "},
            {GOOD.replace("\"rules\":{}", "\"rules\":[]"), null, "settings: field 'rules' "},
            {GOOD.replace("\"limits\":{\"send_cap\":4,\"conn_idle_s\":12}", "\"limits\":4"), null, "settings.limits: "},
            {GOOD.replace("\"balancers\":2", "\"balancers\":2.5"), null, "settings: field 'balancers' "},
            {
                GOOD.replace("\"balancers\":2", "\"balancers\":2,\"self_index\":\"a\""),
                null,
                "settings: field 'self_index' "
            },
            {GOOD.replace("\"seed\"", "\"limits\":{\"sockets\":900.5},\"seed\""), null, "limits.sockets: "},
            {
                GOOD.replace("\"extra\":{}", "\"extra\":{\"role_by_kind\":[\"paint\"]}"),
                null,
                "settings: unknown role 'paint'"
            },
            {GOOD.replace("\"services\":[", "\"services\":[7,"), null, "settings: field 'services' "},
            {GOOD.replace("\"name\":\"ask\"", "\"name\":\"\""), null, "settings.services[0].name: "},
            {GOOD.replace("\"name\":\"ask\"", "\"name\":\" ask\""), null, "settings.services[0].name: "},
            {GOOD.replace("\"name\":\"ask\"", "\"name\":\"a\\nsk\""), null, "settings.services[0].name: "},
            {GOOD.replace("\"name\":\"ask\"", "\"name\":\"\\ud800\""), null, "settings.services[0].name: "},
            {
                GOOD.replace(
                        "\"services\":[", "\"services\":[{\"name\":\"ask\",\"promise_s\":1,\"semantics\":\"unsafe\"},"),
                null,
                "settings.services[1].name: "
            },
            {
                GOOD.replace("[\"d\"]", "[\"d\",\"d\"]")
                        .replace("\"extra\":{}", "\"extra\":{\"role_by_kind\":[\"read\",\"write\"]}"),
                null,
                "settings.kinds: "
            },
            {GOOD.replace("\"balancers\":2", "\"balancers\":4294967298"), null, "settings.balancers: "},
            {GOOD.replace("\"send_cap\":4", "\"send_cap\":4294967300"), null, "settings.limits.send_cap: "},
            {
                GOOD.replace("\"send_cap\":4", "\"send_cap\":4,\"max_retry_after_s\":-2"),
                null,
                "settings.limits.max_retry_after_s: "
            },
            {
                GOOD.replace("\"extra\":{}", "\"customers\":[{\"name\":\"t\",\"quota_per_s\":-5}]"),
                null,
                "settings.customers[0].quota_per_s: "
            },
            {GOOD.replace("\"extra\":{}", "\"extra\":{\"release_s\":1e12}"), null, "settings.extra.release_s: "},
            {GOOD.replace("\"rules\":{}", "\"rules\":{\"ask_within_s\":1e12}"), null, "settings.rules.ask_within_s: "},
            {COMPLETE.replace("\"promise_s\":1.0", "\"promise_s\":-1"), null, "settings.services[0].promise_s: "},
            {COMPLETE.replace("\"window_s\":5.0", "\"window_s\":-1"), null, "settings.services[1].window_s: "},
            {COMPLETE.replace("\"worth\":3.0", "\"worth\":-1"), null, "settings.services[0].worth: "},
            {COMPLETE.replace("\"fall_s\":2.0", "\"fall_s\":-1"), null, "settings.rules.fall_s: "},
            {COMPLETE.replace("\"release_s\":1.0", "\"release_s\":-1"), null, "settings.extra.release_s: "},
            {COMPLETE.replace("[1000,1000]", "[-1,1e300]"), null, "settings.extra.memory_tokens[0]: "},
            {COMPLETE.replace("[40000.0,0,0]", "[0,-1]"), null, "settings.extra.aim_us_per_1000_prompt_tokens[1]: "},
            {COMPLETE.replace("\"send_cap\":4", "\"send_cap\":1"), null, "settings.limits.send_cap: "},
            {COMPLETE.replace("[\"read\",\"write\"]", "[\"read\",\"read\"]"), null, "settings.extra.role_by_kind: "},
            {COMPLETE.replace("[\"read\",\"write\"]", "[\"write\",\"write\"]"), null, "settings.extra.role_by_kind: "},
            {GOOD, "{\"opnai\":{}}", "opnai: "},
            {GOOD, OPERATOR.replace("\"class\":\"ask\"", "\"class\":\"none\""), "openai.models.m.class: "},
            {
                GOOD,
                OPERATOR.replace("\"class\":\"ask\"", "\"class\":\"ask\",\"max_tokens\":0"),
                "openai.models.m.max_tokens: "
            },
            {GOOD, "{\"etcd\":{\"endpoint\":\"127.0.0.1:1\",\"prefix\":\"x\"}}", "etcd.prefix: "},
            {GOOD, "{\"stop\":{\"within_s\":1.9}}", "stop.within_s: "},
            {GOOD, "{\"stop\":{\"within\":3}}", "stop.within: "},
            {GOOD, "{\"plugins\":[{\"file\":\"none.wasm\"}]}", "plugins[0].file: "},
        };
    }

    @Test(dataProvider = "faulty")
    public void namesTheFaultyKey(String config, String operator, String messageStart) {
        Config.Invalid exception = expectThrows(Config.Invalid.class, () -> read(config, operator, Map.of()));
        assertTrue(exception.getMessage().startsWith(messageStart), exception.getMessage());
    }

    /** The example of an operator file in the repository is valid. */
    @Test
    public void theExampleLoads() throws Exception {
        String settings = GOOD.replace(
                "\"semantics\":\"safe\"}",
                "\"semantics\":\"safe\"},{\"name\":\"send\"," + "\"promise_s\":3,\"semantics\":\"unsafe\"}");
        Path file = Files.writeString(Files.createTempFile("config", ".json"), settings);
        Config config = Config.read(Map.of("GW_CONFIG", file.toString()), "deploy/operator.example.json");
        assertEquals(config.operator().hooks().size(), 1);
        assertEquals(config.operator().stopTimeout(), Duration.ofMillis(3700));
        assertEquals(config.discovery(), null);
    }
}

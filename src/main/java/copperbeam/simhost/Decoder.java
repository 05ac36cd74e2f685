package copperbeam.simhost;

import static copperbeam.simhost.Wire.flag;
import static copperbeam.simhost.Wire.number;
import static copperbeam.simhost.Wire.objects;
import static copperbeam.simhost.Wire.optionalList;
import static copperbeam.simhost.Wire.optionalMap;
import static copperbeam.simhost.Wire.text;
import static copperbeam.simhost.Wire.textOrNull;
import static copperbeam.simhost.Wire.wholeNumber;

import copperbeam.Api.*;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Converts the simulator's messages to the decision module's settings and events: translates names and converts units. */
public final class Decoder {
    private static final double S_PER_US = 1e-6;
    private static final double DEFAULT_RELEASE_S = 1; // lease of a read state if the settings don't bound it

    private Decoder() {}

    /** Decodes the settings; also used for the program's own configuration file. */
    public static Settings settings(Map<String, Object> config) throws Wire.Malformed {
        Map<String, Object> extra = optionalMap(config, "extra");
        Map<String, Object> limits = optionalMap(config, "limits");
        Map<String, Object> rules = optionalMap(config, "rules");
        List<RequestClass> classes = new ArrayList<>();
        List<Object> aimsUsPer1000Tokens = optionalList(extra, "aim_us_per_1000_prompt_tokens");
        for (Map<String, Object> entry : objects(config, "services")) {
            double aimUsPer1000Tokens = elementAt(
                            aimsUsPer1000Tokens, classes.size(), Number.class, 0, "aim_us_per_1000_prompt_tokens")
                    .doubleValue();
            classes.add(new RequestClass(
                    text(entry, "name"),
                    number(entry, "promise_s"),
                    aimUsPer1000Tokens * S_PER_US,
                    number(entry, "worth", 0),
                    repeats(textOrNull(entry, "semantics")),
                    dedupScope(textOrNull(entry, "group")),
                    number(entry, "window_s", 0)));
        }
        List<Customer> customers = new ArrayList<>();
        for (Map<String, Object> entry : objects(config, "customers")) {
            customers.add(new Customer(text(entry, "name"), number(entry, "quota_per_s", 0)));
        }
        List<ServerKind> kinds = new ArrayList<>();
        List<Object> roles = optionalList(extra, "role_by_kind");
        List<Object> memory = optionalList(extra, "memory_tokens");
        for (Object name : optionalList(config, "kinds")) {
            int index = kinds.size();
            if (!(name instanceof String)) {
                throw new Wire.Malformed("field 'kinds' holds something that is not a text");
            }
            kinds.add(new ServerKind(
                    (String) name,
                    role(elementAt(roles, index, String.class, "both", "role_by_kind")),
                    elementAt(memory, index, Number.class, 0, "memory_tokens").doubleValue()));
        }
        // a rule whose number is missing or 0 is off, or gets a default; a limit of 0 would forbid all attempts
        double releaseS = number(extra, "release_s", 0);
        double fallMultiple = number(rules, "fall_multiple", 0);
        return new Settings(
                (int) wholeNumber(config, "balancers"),
                (int) number(config, "self_index", -1),
                classes,
                customers,
                kinds,
                new Limits(
                        (int) wholeNumber(limits, "send_cap"),
                        flag(limits, "cancel"),
                        flag(limits, "probing"),
                        flag(limits, "retry_after") ? number(limits, "max_retry_after_s", 0) : 0),
                new Rules(
                        number(rules, "cold_from", 0),
                        fallMultiple > 0 ? number(rules, "warm_within_s", 0) : 0,
                        fallMultiple,
                        number(rules, "fall_s", 0),
                        releaseS > 0 ? releaseS : DEFAULT_RELEASE_S,
                        number(rules, "ask_within_s", 0),
                        number(rules, "drain_grace_s", 1)),
                reportTiming(textOrNull(optionalMap(config, "report"), "via")),
                "subscribe".equals(textOrNull(config, "discovery")),
                number(optionalMap(config, "penalties"), "probe", 0),
                flag(extra, "local_read"),
                flag(extra, "resume"));
    }

    /** Decodes an event; null for a message that the module doesn't use. */
    static Event event(Wire.Message message) throws Wire.Malformed {
        Map<String, Object> fields = message.fields();
        switch (message.name()) {
            case "update":
                return new ServerListUpdate(listKind(wholeNumber(fields, "mode")), members(fields));
            case "inbound":
                return new Arrival(
                        wholeNumber(fields, "call"),
                        text(fields, "lane"),
                        textOrNull(fields, "owner"),
                        textOrNull(fields, "session"),
                        textOrNull(fields, "shared_prefix"),
                        number(fields, "input_len", 0),
                        number(fields, "prefix_len", 0),
                        number(fields, "max_tokens", 0),
                        number(fields, "valid_until_s"));
            case "started":
                return new StreamStarted(
                        wholeNumber(fields, "call"),
                        (int) number(fields, "seq_no", 0),
                        text(fields, "engine"),
                        number(fields, "delay_seen_s", 0));
            case "ended":
                Outcome outcome = outcome(text(fields, "verdict"));
                return new AttemptEnded(
                        wholeNumber(fields, "call"),
                        (int) number(fields, "seq_no", 0),
                        text(fields, "engine"),
                        outcome,
                        number(fields, "delay_seen_s", 0),
                        flag(fields, "complete"),
                        outcome == Outcome.FULL && number(fields, "note", 0) == 1,
                        report(fields),
                        outcome == Outcome.READ ? number(fields, "note", 0) : Double.NaN);
            case "client_gone":
                return new ClientLeft(wholeNumber(fields, "call"));
            case "fired":
                return new TimerFired(text(fields, "tag"));
            case "probe_done":
                return new ProbeEnded(
                        text(fields, "engine"),
                        outcome(text(fields, "verdict")),
                        number(fields, "delay_seen_s", 0),
                        report(fields));
            case "answer_ahead":
            case "from_peer":
                return null;
            default:
                throw new Wire.Malformed("unknown event '" + message.name() + "'");
        }
    }

    private static List<Member> members(Map<String, Object> fields) throws Wire.Malformed {
        List<Member> members = new ArrayList<>();
        for (Map<String, Object> host : objects(fields, "hosts")) {
            members.add(new Member(
                    text(host, "engine"),
                    textOrNull(host, "hall"),
                    textOrNull(host, "model"),
                    (long) number(host, "cluster", 0),
                    state((long) number(host, "stage_state", 0)),
                    number(host, "weight", 0),
                    number(host, "launched_s", 0)));
        }
        return members;
    }

    private static Report report(Map<String, Object> fields) throws Wire.Malformed {
        Map<String, Object> reportFields = optionalMap(fields, "report");
        return reportFields.isEmpty()
                ? null
                : new Report(
                        number(reportFields, "cpu", Double.NaN),
                        number(reportFields, "waiting", Double.NaN),
                        number(reportFields, "active", Double.NaN),
                        number(reportFields, "x0", Double.NaN),
                        number(reportFields, "x1", Double.NaN));
    }

    private static <T> T elementAt(List<Object> list, int index, Class<? extends T> type, T defaultValue, String key)
            throws Wire.Malformed {
        if (index >= list.size()) {
            return defaultValue;
        }
        if (!type.isInstance(list.get(index))) {
            throw new Wire.Malformed("field '" + key + "' holds something of a wrong type");
        }
        return type.cast(list.get(index));
    }

    private static Wire.Malformed unknown(String what, Object value) {
        return new Wire.Malformed("unknown " + what + " '" + value + "'");
    }

    private static Repeats repeats(String word) throws Wire.Malformed {
        if (word == null) {
            throw new Wire.Malformed("field 'semantics' is missing");
        }
        return switch (word) {
            case "safe" -> Repeats.SAFE;
            case "keyed" -> Repeats.KEYED;
            case "unsafe" -> Repeats.UNSAFE;
            default -> throw unknown("semantics", word);
        };
    }

    private static DedupScope dedupScope(String word) throws Wire.Malformed {
        return switch (word == null ? "all" : word) {
            case "all" -> DedupScope.ALL;
            case "zone" -> DedupScope.ZONE;
            case "cell" -> DedupScope.CELL;
            default -> throw unknown("group", word);
        };
    }

    private static Role role(String word) throws Wire.Malformed {
        return switch (word) {
            case "read" -> Role.READER;
            case "write" -> Role.WRITER;
            case "both" -> Role.MIXED;
            default -> throw unknown("role", word);
        };
    }

    private static ReportTiming reportTiming(String word) throws Wire.Malformed {
        return switch (word == null ? "off" : word) {
            case "inline" -> ReportTiming.WITH_OUTCOMES;
            case "on_probe" -> ReportTiming.WITH_PROBES;
            case "off" -> ReportTiming.NEVER;
            default -> throw unknown("way of reporting", word);
        };
    }

    private static ListKind listKind(long mode) throws Wire.Malformed {
        return switch ((int) mode) {
            case 0 -> ListKind.FULL;
            case 1 -> ListKind.CACHED;
            case 2 -> ListKind.DELTA;
            case 3 -> ListKind.FAILED;
            default -> throw unknown("list mode", mode);
        };
    }

    private static ServerState state(long state) throws Wire.Malformed {
        return switch ((int) state) {
            case 0 -> ServerState.GONE;
            case 1 -> ServerState.READY;
            case 2 -> ServerState.DRAINING;
            default -> throw unknown("server state", state);
        };
    }

    private static Outcome outcome(String word) throws Wire.Malformed {
        return switch (word) {
            case "Ok" -> Outcome.OK;
            case "handover" -> Outcome.READ;
            case "Failed" -> Outcome.ERROR;
            case "QueueFull" -> Outcome.FULL;
            case "TimedOut" -> Outcome.TIMED_OUT;
            case "ConnectError" -> Outcome.CONNECT_FAILED;
            case "ResetByPeer" -> Outcome.RESET;
            case "Canceled" -> Outcome.CANCELLED;
            case "Ignored" -> Outcome.NOT_SENT;
            default -> throw unknown("verdict", word);
        };
    }
}

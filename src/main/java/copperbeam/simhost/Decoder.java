package copperbeam.simhost;

import static copperbeam.simhost.Wire.flag;
import static copperbeam.simhost.Wire.list;
import static copperbeam.simhost.Wire.number;
import static copperbeam.simhost.Wire.objects;
import static copperbeam.simhost.Wire.part;
import static copperbeam.simhost.Wire.text;
import static copperbeam.simhost.Wire.textOrNull;
import static copperbeam.simhost.Wire.whole;

import copperbeam.Api.*;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Converts the simulator's messages to the decision module's settings and events: translates names and converts units. */
public final class Decoder {
    private static final double US = 1e-6;
    private static final double RELEASE_S = 1; // lease of a read state if the settings don't bound it

    private Decoder() {}

    /** Decodes the settings; also used for the program's own configuration file. */
    public static Settings settings(Map<String, Object> c) throws Wire.Malformed {
        Map<String, Object> extra = part(c, "extra");
        Map<String, Object> limits = part(c, "limits");
        Map<String, Object> rules = part(c, "rules");
        List<RequestClass> classes = new ArrayList<>();
        List<Object> perThousand = list(extra, "aim_us_per_1000_prompt_tokens");
        for (Map<String, Object> s : objects(c, "services")) {
            double more = at(perThousand, classes.size(), Number.class, 0, "aim_us_per_1000_prompt_tokens")
                    .doubleValue();
            classes.add(new RequestClass(
                    text(s, "name"),
                    number(s, "promise_s"),
                    more * US,
                    number(s, "worth", 0),
                    effect(textOrNull(s, "semantics")),
                    group(textOrNull(s, "group")),
                    number(s, "window_s", 0)));
        }
        List<Customer> customers = new ArrayList<>();
        for (Map<String, Object> s : objects(c, "customers")) {
            customers.add(new Customer(text(s, "name"), number(s, "quota_per_s", 0)));
        }
        List<Kind> kinds = new ArrayList<>();
        List<Object> roles = list(extra, "role_by_kind");
        List<Object> memory = list(extra, "memory_tokens");
        for (Object name : list(c, "kinds")) {
            int k = kinds.size();
            if (!(name instanceof String)) {
                throw new Wire.Malformed("field 'kinds' holds something that is not a text");
            }
            kinds.add(new Kind(
                    (String) name,
                    role(at(roles, k, String.class, "both", "role_by_kind")),
                    at(memory, k, Number.class, 0, "memory_tokens").doubleValue()));
        }
        // a rule whose number is missing or 0 is off, or gets a default; a limit of 0 would forbid all attempts
        double release = number(extra, "release_s", 0);
        double fall = number(rules, "fall_multiple", 0);
        return new Settings(
                (int) whole(c, "balancers"),
                (int) number(c, "self_index", -1),
                classes,
                customers,
                kinds,
                new Limits(
                        (int) whole(limits, "send_cap"),
                        flag(limits, "cancel"),
                        flag(limits, "probing"),
                        flag(limits, "retry_after") ? number(limits, "max_retry_after_s", 0) : 0),
                new Rules(
                        number(rules, "cold_from", 0),
                        fall > 0 ? number(rules, "warm_within_s", 0) : 0,
                        fall,
                        number(rules, "fall_s", 0),
                        release > 0 ? release : RELEASE_S,
                        number(rules, "ask_within_s", 0)),
                reports(textOrNull(part(c, "report"), "via")),
                "subscribe".equals(textOrNull(c, "discovery")),
                number(part(c, "penalties"), "probe", 0),
                flag(extra, "local_read"),
                flag(extra, "resume"));
    }

    /** Decodes an event; null for a message that the module doesn't use. */
    static Event event(Wire.Message m) throws Wire.Malformed {
        Map<String, Object> f = m.fields();
        switch (m.name()) {
            case "update":
                return new Members(listKind(whole(f, "mode")), members(f));
            case "inbound":
                return new Arrival(
                        whole(f, "call"),
                        text(f, "lane"),
                        textOrNull(f, "owner"),
                        textOrNull(f, "session"),
                        textOrNull(f, "shared_prefix"),
                        number(f, "input_len", 0),
                        number(f, "prefix_len", 0),
                        number(f, "max_tokens", 0),
                        number(f, "valid_until_s"));
            case "started":
                return new StreamStarted(
                        whole(f, "call"),
                        (int) number(f, "seq_no", 0),
                        text(f, "engine"),
                        number(f, "delay_seen_s", 0));
            case "ended":
                Outcome outcome = outcome(text(f, "verdict"));
                return new AttemptEnded(
                        whole(f, "call"),
                        (int) number(f, "seq_no", 0),
                        text(f, "engine"),
                        outcome,
                        number(f, "delay_seen_s", 0),
                        flag(f, "complete"),
                        outcome == Outcome.FULL && number(f, "note", 0) == 1,
                        report(f),
                        outcome == Outcome.READ ? number(f, "note", 0) : Double.NaN);
            case "client_gone":
                return new ClientLeft(whole(f, "call"));
            case "fired":
                return new TimerFired(text(f, "tag"));
            case "probe_done":
                return new Probed(
                        text(f, "engine"), outcome(text(f, "verdict")), number(f, "delay_seen_s", 0), report(f));
            case "answer_ahead":
            case "from_peer":
                return null;
            default:
                throw new Wire.Malformed("unknown event '" + m.name() + "'");
        }
    }

    private static List<Member> members(Map<String, Object> f) throws Wire.Malformed {
        List<Member> members = new ArrayList<>();
        for (Map<String, Object> h : objects(f, "hosts")) {
            members.add(new Member(
                    text(h, "engine"),
                    textOrNull(h, "hall"),
                    textOrNull(h, "model"),
                    (long) number(h, "cluster", 0),
                    state((long) number(h, "stage_state", 0)),
                    number(h, "weight", 0),
                    number(h, "launched_s", 0)));
        }
        return members;
    }

    private static Report report(Map<String, Object> f) throws Wire.Malformed {
        Map<String, Object> r = part(f, "report");
        return r.isEmpty()
                ? null
                : new Report(
                        number(r, "cpu", Double.NaN),
                        number(r, "waiting", Double.NaN),
                        number(r, "active", Double.NaN),
                        number(r, "x0", Double.NaN),
                        number(r, "x1", Double.NaN));
    }

    private static <T> T at(List<Object> list, int index, Class<? extends T> type, T absent, String key)
            throws Wire.Malformed {
        if (index >= list.size()) {
            return absent;
        }
        if (!type.isInstance(list.get(index))) {
            throw new Wire.Malformed("field '" + key + "' holds something of a wrong type");
        }
        return type.cast(list.get(index));
    }

    private static Wire.Malformed unknown(String what, Object value) {
        return new Wire.Malformed("unknown " + what + " '" + value + "'");
    }

    private static Effect effect(String word) throws Wire.Malformed {
        if (word == null) {
            throw new Wire.Malformed("field 'semantics' is missing");
        }
        return switch (word) {
            case "safe" -> Effect.SAFE;
            case "keyed" -> Effect.KEYED;
            case "unsafe" -> Effect.UNSAFE;
            default -> throw unknown("semantics", word);
        };
    }

    private static Group group(String word) throws Wire.Malformed {
        return switch (word == null ? "all" : word) {
            case "all" -> Group.ALL;
            case "zone" -> Group.ZONE;
            case "cell" -> Group.CELL;
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

    private static Reports reports(String word) throws Wire.Malformed {
        return switch (word == null ? "off" : word) {
            case "inline" -> Reports.WITH_OUTCOMES;
            case "on_probe" -> Reports.WITH_PROBES;
            case "off" -> Reports.NEVER;
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

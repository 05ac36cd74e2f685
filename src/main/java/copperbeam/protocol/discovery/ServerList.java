package copperbeam.protocol.discovery;

import com.google.gson.JsonParseException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import copperbeam.Api.ServerState;
import copperbeam.protocol.Json;
import copperbeam.routing.MembershipSource.Change;
import copperbeam.routing.MembershipSource.Entry;
import copperbeam.routing.ModuleTime;

/** Discovery's answers. */
public record ServerList(long version, boolean full, List<ServerEntry> servers) {

    /** One server as discovery writes it. */
    public record ServerEntry(String id, String addr, String zone, String kind, long cell, String state, Double weight,
            long started_ms) {}

    /** Throws {@link IllegalArgumentException} with what is wrong. */
    public static ServerList parse(String json) {
        ServerList list;
        try {
            list = Json.GSON.fromJson(json, ServerList.class);
        } catch (JsonParseException e) {
            throw new IllegalArgumentException("the list is not what discovery's form allows: " + e.getMessage(), e);
        }
        if (list == null || list.servers == null) {
            throw new IllegalArgumentException("the list names no servers");
        }
        return list;
    }

    public Change change(ListKind kind) {
        return new Change(kind, entries());
    }

    /** Throws {@link IllegalArgumentException} with what is wrong with one of them. */
    public List<Entry> entries() {
        List<Entry> entries = new ArrayList<>();
        for (ServerEntry s : servers) {
            entries.add(entry(s));
        }
        return entries;
    }

    public static Entry entry(ServerEntry s) {
        if (s == null || s.id == null || s.id.isEmpty()) {
            throw new IllegalArgumentException("a server without an id");
        }
        ServerState state = switch (s.state == null ? "active" : s.state) {
            case "active" -> ServerState.READY;
            case "leaving" -> ServerState.DRAINING;
            case "left" -> ServerState.GONE;
            default -> throw new IllegalArgumentException("unknown state '" + s.state + "'");
        };
        InetSocketAddress address = s.addr == null ? null : address(s.addr);
        if (address == null && state != ServerState.GONE) {
            throw new IllegalArgumentException("server " + s.id + " has no addr");
        }
        return new Entry(new Member(s.id, s.zone, s.kind, s.cell, state, s.weight == null ? 1 : s.weight,
                ModuleTime.seconds(Duration.ofMillis(s.started_ms))), address);
    }

    /** {@code host:port}; the host is an address, as there are no names to look up. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = colon <= 0 ? "" : text.substring(0, colon);
            if (host.matches("[0-9.]+|\\[?[0-9a-fA-F:]+]?|localhost")) {
                return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + text + "' is not host:port", e);
        }
        throw new IllegalArgumentException("'" + text + "' is not host:port");
    }
}

package copperbeam.membership;

import static org.testng.Assert.assertEquals;

import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import copperbeam.Api.ServerState;
import copperbeam.routing.MembershipSource.Change;
import copperbeam.routing.MembershipSource.Entry;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What the module has of servers that are left out by hand. */
public class BansTest {
    /**
     * Words: SECOND:WHAT. "+5" told ready and started at 5, "*+5" the same as a whole list, "~5" draining, "-" gone,
     * "*" a whole list without it, "out", "back". After each: what the module was told last, "r" ready, "d" draining, "g" gone.
     */
    @DataProvider
    public Object[][] words() {
        return new Object[][] {
            {"out drains, and back it is cold", "0:+0 1:out 9:back", "r0 d0 r9"},
            {"a start told meanwhile is the start", "0:+0 1:out 3:+3 9:back", "r0 d0 d3 r3"},
            {"a start told afterwards is the start", "0:+0 1:out 9:back 10:+0 11:+8", "r0 d0 r9 r9 r8"},
            {"out twice and back once", "0:+0 1:out 2:out 9:back", "r0 d0 d0 r9"},
            {"out whatever is told", "0:+0 1:out 2:+0 3:*+0 4:~0 5:+0", "r0 d0 d0 d0 d0 d0"},
            {"out again under its id", "0:+0 1:out 2:- 3:+2 4:back", "r0 d0 g0 d2 r2"},
            {"out before it is known", "0:out 1:+0", "? d0"},
            {"back while it drains by itself", "0:+0 1:out 2:~0 3:back 4:+0", "r0 d0 d0 d0 r3"},
            {"back and out again", "0:+0 1:out 2:back 3:out 4:+2 9:back", "r0 d0 r2 d0 d2 r9"},
            {"a whole list without it", "0:+0 1:out 2:* 3:back 4:+0", "r0 d0 d0 d0 r0"},
        };
    }

    @Test(dataProvider = "words")
    public void table(String name, String words, String expected) {
        Bans bans = new Bans();
        String seen = "?";
        List<String> all = new ArrayList<>();
        for (String word : words.split(" ")) {
            Instant now = Instant.ofEpochSecond(Long.parseLong(word.split(":")[0]));
            String what = word.split(":")[1];
            Change change = switch (what) {
                case "out" -> bans.set(Set.of("a"), now);
                case "back" -> bans.set(Set.of(), now);
                default -> bans.told(change(what));
            };
            for (Entry e : change.entries()) {
                seen = e.member().state().name().toLowerCase().charAt(0) + ""
                        + (long) e.member().launchedAt();
            }
            all.add(seen);
        }
        assertEquals(String.join(" ", all), expected, name);
    }

    private static Change change(String what) {
        ListKind kind = what.startsWith("*") ? ListKind.FULL : ListKind.DELTA;
        String one = what.replace("*", "");
        ServerState state =
                one.startsWith("+") ? ServerState.READY : one.startsWith("~") ? ServerState.DRAINING : ServerState.GONE;
        return new Change(
                kind,
                one.isEmpty()
                        ? List.of()
                        : List.of(entry("a", state, one.length() > 1 ? Double.parseDouble(one.substring(1)) : 0)));
    }

    private static Entry entry(String id, ServerState state, double start) {
        return new Entry(new Member(id, "z", "k", 0, state, 1, start), null);
    }

    /** Whatever is told and called, in any order: none that is out is ready, and all others are as they were told last. */
    @Test
    public void noneThatIsOutIsReady() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            Bans bans = new Bans();
            Map<String, ServerState> told = new TreeMap<>();
            Map<String, ServerState> module = new TreeMap<>();
            Set<String> out = new HashSet<>();
            for (int i = 0; i < 60; i++) {
                String id = "s" + random.nextInt(4);
                Change change;
                if (random.nextBoolean()) {
                    ServerState state = ServerState.values()[random.nextInt(3)];
                    change = bans.told(new Change(ListKind.DELTA, List.of(entry(id, state, random.nextInt(i + 1)))));
                    told.put(id, state);
                } else {
                    change = bans.set(out.remove(id) || !out.add(id) ? out : out, Instant.ofEpochSecond(i));
                }
                change.entries()
                        .forEach(e -> module.put(e.member().server(), e.member().state()));
                told.forEach((s, state) -> assertEquals(
                        module.get(s), state == ServerState.READY && out.contains(s) ? ServerState.DRAINING : state));
            }
        }
    }
}

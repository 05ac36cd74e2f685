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

/** Bans applied to the server list before the module sees it. */
public class BansTest {
    /**
     * Each word is SECOND:EVENT. The list reports server a: "+5" ready and launched at 5, "*+5" the same in a full list,
     * "~5" draining, "-" gone, "*" a full list without it. Operators: "out" bans it, "back" lifts the ban. Expected after
     * each event is what the module was told last: "r" ready, "d" draining, "g" gone, each with the launch time.
     */
    @DataProvider
    public Object[][] words() {
        return new Object[][] {
            {"a banned server drains, and is cold once the ban is lifted", "0:+0 1:out 9:back", "r0 d0 r9"},
            {"a launch reported during the ban is kept", "0:+0 1:out 3:+3 9:back", "r0 d0 d3 r3"},
            {
                "a launch reported after the ban is lifted replaces the assumed one",
                "0:+0 1:out 9:back 10:+0 11:+8",
                "r0 d0 r9 r9 r8"
            },
            {"banned twice, lifted once", "0:+0 1:out 2:out 9:back", "r0 d0 d0 r9"},
            {"stays banned whatever the list reports", "0:+0 1:out 2:+0 3:*+0 4:~0 5:+0", "r0 d0 d0 d0 d0 d0"},
            {"leaves and joins again under the same id while banned", "0:+0 1:out 2:- 3:+2 4:back", "r0 d0 g0 d2 r2"},
            {"banned before the list has it", "0:out 1:+0", "? d0"},
            {"ban lifted while the list reports a drain", "0:+0 1:out 2:~0 3:back 4:+0", "r0 d0 d0 d0 r3"},
            {"ban lifted and renewed", "0:+0 1:out 2:back 3:out 4:+2 9:back", "r0 d0 r2 d0 d2 r9"},
            {"a full list without it", "0:+0 1:out 2:* 3:back 4:+0", "r0 d0 d0 d0 r0"},
        };
    }

    @Test(dataProvider = "words")
    public void bansAreAppliedToTheList(String name, String events, String expected) {
        Bans bans = new Bans();
        String lastState = "?";
        List<String> states = new ArrayList<>();
        for (String word : events.split(" ")) {
            Instant now = Instant.ofEpochSecond(Long.parseLong(word.split(":")[0]));
            String event = word.split(":")[1];
            Change change = switch (event) {
                case "out" -> bans.setBanned(Set.of("a"), now);
                case "back" -> bans.setBanned(Set.of(), now);
                default -> bans.applyListChange(change(event));
            };
            for (Entry entry : change.entries()) {
                lastState = entry.member().state().name().toLowerCase().charAt(0) + ""
                        + (long) entry.member().launchedAt();
            }
            states.add(lastState);
        }
        assertEquals(String.join(" ", states), expected, name);
    }

    private static Change change(String event) {
        ListKind kind = event.startsWith("*") ? ListKind.FULL : ListKind.DELTA;
        String report = event.replace("*", "");
        ServerState state = report.startsWith("+")
                ? ServerState.READY
                : report.startsWith("~") ? ServerState.DRAINING : ServerState.GONE;
        return new Change(
                kind,
                report.isEmpty()
                        ? List.of()
                        : List.of(
                                entry("a", state, report.length() > 1 ? Double.parseDouble(report.substring(1)) : 0)));
    }

    private static Entry entry(String id, ServerState state, double start) {
        return new Entry(new Member(id, "z", "k", 0, state, 1, start), null);
    }

    /** In any order of list changes and bans, no banned server is ready, and all others are as last reported. */
    @Test
    public void noBannedServerIsReady() {
        for (int seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            Bans bans = new Bans();
            Map<String, ServerState> listed = new TreeMap<>();
            Map<String, ServerState> seenByModule = new TreeMap<>();
            Set<String> banned = new HashSet<>();
            for (int i = 0; i < 60; i++) {
                String id = "s" + random.nextInt(4);
                Change change;
                if (random.nextBoolean()) {
                    ServerState state = ServerState.values()[random.nextInt(3)];
                    change = bans.applyListChange(
                            new Change(ListKind.DELTA, List.of(entry(id, state, random.nextInt(i + 1)))));
                    listed.put(id, state);
                } else {
                    change = bans.setBanned(
                            banned.remove(id) || !banned.add(id) ? banned : banned, Instant.ofEpochSecond(i));
                }
                change.entries()
                        .forEach(e ->
                                seenByModule.put(e.member().server(), e.member().state()));
                listed.forEach((s, state) -> assertEquals(
                        seenByModule.get(s),
                        state == ServerState.READY && banned.contains(s) ? ServerState.DRAINING : state));
            }
        }
    }
}

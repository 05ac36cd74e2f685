package copperbeam.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import copperbeam.Api.ServerState;
import copperbeam.routing.MembershipSource.Change;
import copperbeam.routing.MembershipSource.Entry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Merging of the lists of several sources: which source's report of a server counts. */
public class MergedMembersTest {
    private static final Duration MAX_LAG = Duration.ofSeconds(10);

    /** {@code a+0}: server a is ready and was launched at 0 s; {@code -}: draining; {@code x}: gone. */
    static List<Entry> entries(String text) {
        return Arrays.stream(text.split(" "))
                .filter(word -> !word.isEmpty())
                .map(word -> {
                    ServerState state = switch (word.charAt(1)) {
                        case '+' -> ServerState.READY;
                        case '-' -> ServerState.DRAINING;
                        default -> ServerState.GONE;
                    };
                    return new Entry(
                            new Member(
                                    word.substring(0, 1), "z", "k", 0, state, 1, Double.parseDouble(word.substring(2))),
                            new InetSocketAddress("127.0.0.1", 1));
                })
                .toList();
    }

    private static String text(List<Entry> entries) {
        return entries.stream()
                .map(Entry::member)
                .sorted(Comparator.comparing(Member::server))
                .map(m -> m.server()
                        + "-+x".charAt(m.state() == ServerState.DRAINING ? 0 : m.state() == ServerState.READY ? 1 : 2)
                        + (int) m.launchedAt())
                .collect(Collectors.joining(" "));
    }

    /** Steps: source, {@code =} full list or {@code ~} changes, entries, {@code @} second; then the resulting list. */
    @DataProvider
    public Object[][] days() {
        return new Object[][] {
            {"a single source is believed at once", "1=a+0 b+0@0;1~a-0@1;1~a+0@2", "a+0 b+0"},
            {"a source's full list replaces its previous one", "1=a+0 b+0@0;1=b+0 c+0@1", "b+0 c+0"},
            {"a list that lags does not undo a drain", "1=a+0 b+0@0;1~a-0@1;2=a+0 b+0@2", "a-0 b+0"},
            {"a list that lags does not undo a departure", "1=a+0 b+0@0;1~ax0@1;2=a+0 b+0@2", "b+0"},
            {"changes of a lagging source do not undo a drain", "1=a+0@0;1~a-0@1;2=a+0@2;2~a+0@3", "a-0"},
            {
                "a lagging source that learns late of a server undoes no drain",
                "1=a+0 b+0@0;1~a-0@1;2=b+0@2;2~a+0@3",
                "b+0"
            },
            {"the second full list of a lagging source does not undo a drain", "1=a+0@0;1~a-0@1;2=a+0@2;2=a+0@3", "a-0"
            },
            {"a later launch undoes a drain", "1=a+0@0;1~a-0@1;2=a+5@2", "a+5"},
            {"a contradicting entry takes effect after the longest lag", "1=a+0@0;1~a-0@1;2=a+0@2;due@11", "a+0"},
            {
                "a contradicting entry has no effect before the longest lag is over",
                "1=a+0@0;1~a-0@1;2=a+0@2;due@10",
                "a-0"
            },
            {
                "a held entry is dropped once its own source reports the drain",
                "1=a+0@0;1~a-0@1;2=a+0@2;2~a-0@3;due@20",
                "a-0"
            },
            {"a list that lags makes no cold server warm", "1=a+0@0;1~a-0@1;1~a+9@2;2=a+0@3;2~a-0@4;2~a+9@5", "a+9"},
            {"a list that lags behind a launch makes no cold server warm", "1=a+0@0;1~a+9@2;2=a+0@3", "a+9"},
            {"a drain reported by an older source counts", "1=a+0 b+0@0;2=a+0 b+0@1;1~a-0@2", "a-0 b+0"},
            {"a departure reported by an older source counts", "1=a+0 b+0@0;2=a+0 b+0@1;1~ax0@2", "b+0"},
            {"other changes of an older source do not count", "1=a+0@0;2=a-0@1;1~a+0@2", "a-0"},
            {"an older source's drain of an earlier launch does not count", "1=a+0@0;2=a+5@1;1~a-0@2", "a+5"},
            {"a full list of an older source removes nothing", "1=a+0@0;2=a+0 b+0@1;1=a+0@2", "a+0 b+0"},
            {"an empty first list is not accepted", "1=a+0 b-0@0;2=@1", "a+0 b-0"},
            {"an empty first list is accepted after the longest lag", "1=a+0@0;2=@1;2=@11", ""},
            {"a source that has given a list may empty it", "1=a+0@0;1=@1", ""},
        };
    }

    @Test(dataProvider = "days")
    public void mergedList(String name, String script, String expected) {
        MergedMembers book = new MergedMembers(MAX_LAG);
        TreeMap<String, Entry> merged = new TreeMap<>();
        for (String step : script.split(";")) {
            Instant now = Instant.EPOCH.plusSeconds(Long.parseLong(step.substring(step.indexOf('@') + 1)));
            String report = step.substring(0, step.indexOf('@'));
            Change change = report.equals("due")
                    ? book.takeDueEntries(now)
                    : report.charAt(1) == '='
                            ? book.applyFullList(report.charAt(0) - '0', entries(report.substring(2)), now)
                            : book.applyDelta(report.charAt(0) - '0', entries(report.substring(2)), now);
            applyTo(merged, change);
        }
        assertEquals(text(List.copyOf(merged.values())), expected, name);
    }

    static void applyTo(TreeMap<String, Entry> list, Change change) {
        if (change.kind() == ListKind.FULL) {
            list.clear();
        }
        for (Entry entry : change.entries()) {
            if (entry.member().state() == ServerState.GONE) {
                list.remove(entry.member().server());
            } else {
                list.put(entry.member().server(), entry);
            }
        }
    }

    /** Guards against unbounded growth if servers keep joining under new ids. */
    @Test
    public void goneServersAreForgotten() {
        MergedMembers book = new MergedMembers(MAX_LAG);
        Instant now = Instant.EPOCH;
        for (int i = 0; i < 10_000; i++) {
            now = now.plusSeconds(1);
            book.applyFullList(
                    1, entries((char) ('a' + i % 26) + "+" + i + " " + (char) ('A' + i % 26) + "+" + i), now);
        }
        assertTrue(book.size() <= 2 + 2 * MAX_LAG.toSeconds(), book.size() + " kept");
        assertNull(book.nextDueAt());
    }
}

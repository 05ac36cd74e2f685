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

/** Who said what, and whose word holds. */
public class MemberBookTest {
    private static final Duration CARE = Duration.ofSeconds(10);

    /** {@code a+0}: a is active and started at 0 s; {@code -} leaving; {@code x} left. */
    static List<Entry> entries(String text) {
        return Arrays.stream(text.split(" "))
                .filter(w -> !w.isEmpty())
                .map(w -> {
                    ServerState state = switch (w.charAt(1)) {
                        case '+' -> ServerState.READY;
                        case '-' -> ServerState.DRAINING;
                        default -> ServerState.GONE;
                    };
                    return new Entry(
                            new Member(w.substring(0, 1), "z", "k", 0, state, 1, Double.parseDouble(w.substring(2))),
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

    /** Steps: teller, {@code =} whole list or {@code ~} changes, entries, {@code @} second; then what a user holds. */
    @DataProvider
    public Object[][] days() {
        return new Object[][] {
            {"one teller is believed at once", "1=a+0 b+0@0;1~a-0@1;1~a+0@2", "a+0 b+0"},
            {"one teller's whole list replaces the last", "1=a+0 b+0@0;1=b+0 c+0@1", "b+0 c+0"},
            {"a list that lags does not undo a drain", "1=a+0 b+0@0;1~a-0@1;2=a+0 b+0@2", "a-0 b+0"},
            {"nor an end", "1=a+0 b+0@0;1~ax0@1;2=a+0 b+0@2", "b+0"},
            {"nor do the lagging teller's changes", "1=a+0@0;1~a-0@1;2=a+0@2;2~a+0@3", "a-0"},
            {"nor a server it comes to hear of late", "1=a+0 b+0@0;1~a-0@1;2=b+0@2;2~a+0@3", "b+0"},
            {"nor its second whole list", "1=a+0@0;1~a-0@1;2=a+0@2;2=a+0@3", "a-0"},
            {"a later start does", "1=a+0@0;1~a-0@1;2=a+5@2", "a+5"},
            {"and time does", "1=a+0@0;1~a-0@1;2=a+0@2;due@11", "a+0"},
            {"but not too little of it", "1=a+0@0;1~a-0@1;2=a+0@2;due@10", "a-0"},
            {"what was claimed and then contradicted is no claim", "1=a+0@0;1~a-0@1;2=a+0@2;2~a-0@3;due@20", "a-0"},
            {"a list that lags makes no cold server warm", "1=a+0@0;1~a-0@1;1~a+9@2;2=a+0@3;2~a-0@4;2~a+9@5", "a+9"},
            {"nor before it has caught up", "1=a+0@0;1~a+9@2;2=a+0@3", "a+9"},
            {"an old teller's drain counts", "1=a+0 b+0@0;2=a+0 b+0@1;1~a-0@2", "a-0 b+0"},
            {"an old teller's end counts", "1=a+0 b+0@0;2=a+0 b+0@1;1~ax0@2", "b+0"},
            {"an old teller's other word does not", "1=a+0@0;2=a-0@1;1~a+0@2", "a-0"},
            {"an old teller's drain of an earlier start does not", "1=a+0@0;2=a+5@1;1~a-0@2", "a+5"},
            {"an old teller's whole list ends nothing", "1=a+0@0;2=a+0 b+0@1;1=a+0@2", "a+0 b+0"},
            {"an empty first list is not believed", "1=a+0 b-0@0;2=@1", "a+0 b-0"},
            {"unless it is told for long", "1=a+0@0;2=@1;2=@11", ""},
            {"a known teller may empty its list", "1=a+0@0;1=@1", ""},
        };
    }

    @Test(dataProvider = "days")
    public void whatHolds(String name, String day, String held) {
        MemberBook book = new MemberBook(CARE);
        TreeMap<String, Entry> user = new TreeMap<>();
        for (String step : day.split(";")) {
            Instant now = Instant.EPOCH.plusSeconds(Long.parseLong(step.substring(step.indexOf('@') + 1)));
            String told = step.substring(0, step.indexOf('@'));
            Change change = told.equals("due")
                    ? book.due(now)
                    : told.charAt(1) == '='
                            ? book.whole(told.charAt(0) - '0', entries(told.substring(2)), now)
                            : book.changes(told.charAt(0) - '0', entries(told.substring(2)), now);
            use(user, change);
        }
        assertEquals(text(List.copyOf(user.values())), held, name);
    }

    static void use(TreeMap<String, Entry> user, Change change) {
        if (change.kind() == ListKind.FULL) {
            user.clear();
        }
        for (Entry e : change.entries()) {
            if (e.member().state() == ServerState.GONE) {
                user.remove(e.member().server());
            } else {
                user.put(e.member().server(), e);
            }
        }
    }

    /** Guards against a book that grows on a day on which servers come under ever new ids. */
    @Test
    public void nothingIsKeptOfWhatHasLeft() {
        MemberBook book = new MemberBook(CARE);
        Instant now = Instant.EPOCH;
        for (int i = 0; i < 10_000; i++) {
            now = now.plusSeconds(1);
            book.whole(1, entries((char) ('a' + i % 26) + "+" + i + " " + (char) ('A' + i % 26) + "+" + i), now);
        }
        assertTrue(book.size() <= 2 + 2 * CARE.toSeconds(), book.size() + " kept");
        assertNull(book.next());
    }
}

package copperbeam.membership;

import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import copperbeam.Api.ServerState;
import copperbeam.routing.MembershipSource.Change;
import copperbeam.routing.MembershipSource.Entry;
import copperbeam.routing.ModuleTime;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Brings the start times of servers, which are told by the wall clock, to the steady clock by which their age is
 * reckoned. Guards slow start against wall clocks that step: read as it stands, a start told after a step back would be
 * long ago, and one told after a step forward in the future.
 *
 * <p>A time told may be by the wall clock before or after any step that was seen. Of these readings the youngest that is
 * not in the future counts, as a server wrongly taken for a cold one costs less than a cold one taken for warm. A start
 * in the future by every reading counts as now. Once brought over, a start stays what it is.
 */
public final class LaunchTimes {
    /** A difference of the clocks below this is no step: the wall clock may be slewed all the time. */
    static final Duration LEAST_STEP = Duration.ofMillis(500);
    /** Steps that are remembered, the newest ones. */
    static final int MOST_STEPS = 16;

    private record Launch(double told, double steady) {}

    private final Clock steady;
    private final Clock wall;
    private final Deque<Duration> offsets = new ArrayDeque<>(); // of the wall clock to the steady one, the newest first
    private final Map<String, Launch> launches = new HashMap<>();

    /** {@code steady}: in step with {@code wall} as this is made. */
    public LaunchTimes(Clock steady, Clock wall) {
        this.steady = steady;
        this.wall = wall;
        offsets.add(Duration.ZERO);
    }

    /** Sees whether the wall clock has stepped; to be called now and then, also while the list does not change. */
    public void look() {
        Duration offset = Duration.between(steady.instant(), wall.instant());
        if (offset.minus(offsets.peekFirst()).abs().compareTo(LEAST_STEP) < 0) {
            return;
        }
        offsets.addFirst(offset);
        if (offsets.size() > MOST_STEPS) {
            offsets.removeLast();
        }
    }

    /** The same change with each start by the steady clock. */
    public Change steady(Change change) {
        look();
        if (change.kind() == ListKind.FULL || change.kind() == ListKind.CACHED) {
            launches.keySet()
                    .retainAll(change.entries().stream()
                            .map(e -> e.member().server())
                            .toList());
        }
        List<Entry> entries = new ArrayList<>();
        change.entries().forEach(e -> entries.add(steady(e)));
        return new Change(change.kind(), entries);
    }

    private Entry steady(Entry entry) {
        Member m = entry.member();
        if (m.launchedAt() <= 0) {
            launches.remove(m.server());
            return entry;
        }
        Launch launch = launches.get(m.server());
        if (launch == null || launch.told() != m.launchedAt()) {
            launch = new Launch(m.launchedAt(), reading(m.launchedAt()));
        }
        if (m.state() == ServerState.GONE) {
            launches.remove(m.server());
        } else {
            launches.put(m.server(), launch);
        }
        return new Entry(
                new Member(m.server(), m.zone(), m.kind(), m.cell(), m.state(), m.weight(), launch.steady()),
                entry.address());
    }

    private double reading(double told) {
        Instant now = steady.instant();
        Instant launched = ModuleTime.time(told);
        return ModuleTime.seconds(offsets.stream()
                .map(launched::minus)
                .filter(reading -> !reading.isAfter(now))
                .max(Instant::compareTo)
                .orElse(now));
    }
}

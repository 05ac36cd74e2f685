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
 * Converts the launch times of servers, which the list gives in wall-clock time, to the steady clock from which server
 * ages are computed. Guards slow start against steps of the wall clock: without conversion, a launch reported after a
 * step back would seem long ago, and one reported after a step forward would lie in the future.
 *
 * <p>A listed time may stem from the wall clock before or after any observed step, so there is one candidate conversion
 * for each known offset of the two clocks. The latest candidate that is not in the future is used, because taking a warm
 * server for cold costs less than taking a cold one for warm. If all candidates are in the future, the current time is
 * used. A launch time is converted once and then kept.
 */
public final class LaunchTimes {
    /** Smallest change of the clock offset that counts as a step; below it the wall clock may merely be slewed. */
    static final Duration LEAST_STEP = Duration.ofMillis(500);
    /** How many clock offsets are remembered, the most recent ones. */
    static final int MOST_STEPS = 16;

    private record Launch(double told, double steady) {}

    private final Clock steady;
    private final Clock wall;
    private final Deque<Duration> offsets = new ArrayDeque<>(); // wall clock minus steady clock, newest first
    private final Map<String, Launch> launches = new HashMap<>();

    /** The two clocks must agree at the time of this call. */
    public LaunchTimes(Clock steady, Clock wall) {
        this.steady = steady;
        this.wall = wall;
        offsets.add(Duration.ZERO);
    }

    /** Checks whether the wall clock has stepped; to be called regularly, also while the list does not change. */
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

    /** Returns the change with all launch times converted to the steady clock. */
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

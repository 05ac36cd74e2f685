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
    static final Duration MIN_STEP = Duration.ofMillis(500);
    /** How many clock offsets are remembered, the most recent ones. */
    static final int MAX_OFFSETS = 16;

    private record Launch(double listedS, double steadyS) {}

    private final Clock steadyClock;
    private final Clock wallClock;
    private final Deque<Duration> wallOffsets = new ArrayDeque<>(); // wall clock minus steady clock, newest first
    private final Map<String, Launch> launchByServer = new HashMap<>();

    /** The two clocks must agree at the time of this call. */
    public LaunchTimes(Clock steadyClock, Clock wallClock) {
        this.steadyClock = steadyClock;
        this.wallClock = wallClock;
        wallOffsets.add(Duration.ZERO);
    }

    /** Checks whether the wall clock has stepped; to be called regularly, also while the list does not change. */
    public void checkForStep() {
        Duration offset = Duration.between(steadyClock.instant(), wallClock.instant());
        if (offset.minus(wallOffsets.peekFirst()).abs().compareTo(MIN_STEP) < 0) {
            return;
        }
        wallOffsets.addFirst(offset);
        if (wallOffsets.size() > MAX_OFFSETS) {
            wallOffsets.removeLast();
        }
    }

    /** Returns the change with all launch times converted to the steady clock. */
    public Change toSteady(Change change) {
        checkForStep();
        if (change.kind() == ListKind.FULL || change.kind() == ListKind.CACHED) {
            launchByServer
                    .keySet()
                    .retainAll(change.entries().stream()
                            .map(e -> e.member().server())
                            .toList());
        }
        List<Entry> entries = new ArrayList<>();
        change.entries().forEach(e -> entries.add(toSteady(e)));
        return new Change(change.kind(), entries);
    }

    private Entry toSteady(Entry entry) {
        Member member = entry.member();
        if (member.launchedAt() <= 0) {
            launchByServer.remove(member.server());
            return entry;
        }
        Launch launch = launchByServer.get(member.server());
        if (launch == null || launch.listedS() != member.launchedAt()) {
            launch = new Launch(member.launchedAt(), toSteadyTime(member.launchedAt()));
        }
        if (member.state() == ServerState.GONE) {
            launchByServer.remove(member.server());
        } else {
            launchByServer.put(member.server(), launch);
        }
        return new Entry(
                new Member(
                        member.server(),
                        member.zone(),
                        member.kind(),
                        member.cell(),
                        member.state(),
                        member.weight(),
                        launch.steadyS()),
                entry.address());
    }

    private double toSteadyTime(double listedS) {
        Instant now = steadyClock.instant();
        Instant launched = ModuleTime.instant(listedS);
        return ModuleTime.seconds(wallOffsets.stream()
                .map(launched::minus)
                .filter(candidate -> !candidate.isAfter(now))
                .max(Instant::compareTo)
                .orElse(now));
    }
}

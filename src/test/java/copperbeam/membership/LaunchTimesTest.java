package copperbeam.membership;

import static org.testng.Assert.assertEquals;

import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import copperbeam.Api.ServerState;
import copperbeam.routing.MembershipSource.Change;
import copperbeam.routing.MembershipSource.Entry;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Conversion of launch times given by a wall clock that steps; the steady clock is at 10,000 s. */
public class LaunchTimesTest {
    private static final class SettableClock extends Clock {
        private double seconds;

        @Override
        public Instant instant() {
            return Instant.EPOCH.plusNanos(Math.round(seconds * 1e9));
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }
    }

    private final SettableClock steadyClock = new SettableClock();
    private final SettableClock wallClock = new SettableClock();

    private static double launched(LaunchTimes times, double listedS) {
        Entry entry = new Entry(
                new Member("s", "z", "k", 0, ServerState.READY, 1, listedS), new InetSocketAddress("127.0.0.1", 1));
        return times.toSteady(new Change(ListKind.DELTA, List.of(entry)))
                .entries()
                .get(0)
                .member()
                .launchedAt();
    }

    /** Step of the wall clock in s, listed launch time, and the expected launch time by the steady clock. */
    @DataProvider
    public Object[][] starts() {
        return new Object[][] {
            {0, 9995, 9995}, // no step
            {-3600, 6395, 9995},
            {3600, 13595, 9995},
            {-2, 9993, 9995},
            {2, 9997, 9997}, // possible with and without the step: the later candidate counts
            {0.2, 9995, 9995}, // slewed
            {0, 10007, 10000}, // in the future with every offset
            {-3600, 9995, 9995}, // reported by the clock before the step
            {3600, 9995, 9995},
            {3600, 0, 0}, // long ago
        };
    }

    @Test(dataProvider = "starts")
    public void theLatestCandidateNotInTheFutureCounts(double step, double listedS, double expected) {
        steadyClock.seconds = wallClock.seconds = 9000;
        LaunchTimes times = new LaunchTimes(steadyClock, wallClock);
        steadyClock.seconds = 10_000;
        wallClock.seconds = 10_000 + step;
        assertEquals(launched(times, listedS), expected, 1e-6);
    }

    @Test
    public void aLaunchTimeIsConvertedOnce() {
        steadyClock.seconds = wallClock.seconds = 9000;
        LaunchTimes times = new LaunchTimes(steadyClock, wallClock);
        double before = launched(times, 6400);
        steadyClock.seconds = 10_000;
        wallClock.seconds = 6401; // by this clock, 6400 would be one second ago
        assertEquals(launched(times, 6400), before, 0);
    }
}

package copperbeam.routing;

import static org.testng.Assert.assertEquals;

import copperbeam.Api;
import copperbeam.Api.Limits;
import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import copperbeam.Api.Role;
import copperbeam.Api.Rules;
import copperbeam.Api.ServerKind;
import copperbeam.Api.ServerState;
import copperbeam.Api.Settings;
import copperbeam.routing.MembershipSource.Change;
import copperbeam.routing.MembershipSource.Entry;
import java.lang.ref.WeakReference;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.testng.annotations.Test;

/** No memory leak: peers of servers that have left the list can be garbage-collected, even if each server has a new id. */
public class LongDayTest {
    private static Change change(ListKind kind, int id, ServerState state) {
        return new Change(
                kind,
                List.of(new Entry(
                        new Member("s" + id, "z", "r", 0, state, 1, 0), new InetSocketAddress("127.0.0.1", 1))));
    }

    @Test
    public void peersOfServersThatLeftAreForgotten() throws Exception {
        ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(1);
        try {
            Settings settings = new Settings(
                    1,
                    0,
                    List.of(new Api.RequestClass("c", 1, 0, 1, Api.Repeats.SAFE, Api.DedupScope.ALL, 0)),
                    List.of(),
                    List.of(new ServerKind("r", Role.READER, 1)),
                    new Limits(4, true, false, 1),
                    new Rules(1, 1, 3, 2, 1, 0),
                    Api.ReportTiming.NEVER,
                    false,
                    0,
                    false,
                    true);
            ReleaseActor releases = new ReleaseActor(scheduler, Clock.systemUTC(), Duration.ofSeconds(1));
            ModuleActor module = new ModuleActor(
                    scheduler, Clock.systemUTC(), settings, 1, releases, Recorder.NONE, new Metrics(List.of()));
            PeerActor.Setup setup = new PeerActor.Setup(
                    Clock.systemUTC(),
                    null,
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(1),
                    module,
                    releases,
                    Recorder.NONE,
                    null);
            List<WeakReference<PeerActor>> createdPeers = new ArrayList<>();
            ListActor list = new ListActor(
                    scheduler,
                    (id, address) -> {
                        PeerActor peer = new PeerActor(scheduler, id, address, setup);
                        createdPeers.add(new WeakReference<>(peer));
                        return peer;
                    },
                    module,
                    releases,
                    10);
            int total = 3000;
            for (int i = 0; i < total; i++) {
                list.tell(new ListActor.ListChanged(
                        change(i % 100 == 0 ? ListKind.FULL : ListKind.DELTA, i, ServerState.READY), null));
                if (i % 100 >= 50) {
                    list.tell(new ListActor.ListChanged(change(ListKind.DELTA, i, ServerState.GONE), null));
                }
            }
            // collect only after all changes are processed: repeated collections would starve the actors waited for
            // here
            long deadlineNanos = System.nanoTime() + Duration.ofSeconds(30).toNanos();
            while (scheduler.submit(createdPeers::size).get() < total && System.nanoTime() < deadlineNanos) {
                Thread.sleep(5);
            }
            assertEquals(createdPeers.size(), total);
            deadlineNanos = System.nanoTime() + Duration.ofSeconds(10).toNanos();
            long remaining = total;
            while (remaining > 51 && System.nanoTime() < deadlineNanos) {
                System.gc();
                remaining = scheduler
                        .submit(() -> createdPeers.stream()
                                .filter(p -> p.get() != null)
                                .count())
                        .get();
            }
            // the servers of the last full list and of later changes that have not left
            assertEquals(remaining, 50);
        } finally {
            scheduler.shutdownNow();
        }
    }
}

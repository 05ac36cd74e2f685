package copperbeam.routing;

import static org.testng.Assert.assertEquals;

import copperbeam.Api;
import copperbeam.Api.ListKind;
import copperbeam.Api.Member;
import copperbeam.Api.ServerState;
import copperbeam.routing.MembershipSource.Change;
import copperbeam.routing.MembershipSource.Entry;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Idle connections to all servers together stay within their share of the file descriptors, however many servers there are. */
public class IdleShareTest {
    /** Number of servers, limit on idle connections, and connections kept idle once each server has answered one call. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {1, 22, 1},
            {10, 22, 10},
            {22, 22, 22},
            {100, 22, 22},
            {2000, 278, 278},
            {100, -20, 0}, // the limit for half of 256 descriptors, while another process shares them
        };
    }

    @Test(dataProvider = "fleets")
    public void noMoreStandIdleThanMay(int servers, int idle, int kept) throws Exception {
        ScheduledThreadPoolExecutor turns = new ScheduledThreadPoolExecutor(1);
        try {
            int[] open = {0};
            Clock clock = Clock.systemUTC();
            Duration minute = Duration.ofMinutes(1);
            Metrics metrics = new Metrics(List.of());
            ReleaseActor releases = new ReleaseActor(turns, clock, minute);
            Api.Settings settings = new Api.Settings(
                    1,
                    0,
                    List.of(),
                    List.of(),
                    List.of(),
                    new Api.Limits(4, true, false, 1),
                    new Api.Rules(1, 0, 1, 1, 1, 1),
                    Api.Reports.NEVER,
                    false,
                    0,
                    true,
                    true);
            ModuleActor module = new ModuleActor(turns, clock, settings, 7, releases, Recorder.NONE, metrics);
            PeerActor.Setup setup = new PeerActor.Setup(
                    clock,
                    (to, timeout, watcher) -> {
                        open[0]++;
                        watcher.up(connection(open));
                    },
                    minute,
                    minute,
                    minute,
                    module,
                    releases,
                    Recorder.NONE,
                    metrics);
            List<PeerActor> peers = new ArrayList<>();
            ListActor list = new ListActor(
                    turns,
                    (id, at) -> {
                        peers.add(new PeerActor(turns, id, at, setup));
                        return peers.get(peers.size() - 1);
                    },
                    module,
                    releases,
                    idle);
            List<Entry> entries = IntStream.range(0, servers)
                    .mapToObj(i -> new Entry(
                            new Member("s" + i, "z", "r", 0, ServerState.READY, 1, 0),
                            new InetSocketAddress("127.0.0.1", i + 1)))
                    .toList();
            list.tell(new ListActor.Told(new Change(ListKind.FULL, entries), null));
            settle(turns);
            peers.forEach(p -> p.tell(new PeerActor.Probe()));
            settle(turns);
            assertEquals(turns.submit(() -> open[0]).get().intValue(), kept);
        } finally {
            turns.shutdownNow();
        }
    }

    /** A connection on which each call is answered immediately. */
    private static Connector.Connection connection(int[] open) {
        return (Connector.Connection) Proxy.newProxyInstance(
                IdleShareTest.class.getClassLoader(),
                new Class<?>[] {Connector.Connection.class},
                (proxy, method, args) -> {
                    if (method.getName().equals("call")) {
                        Connector.Listener listener = (Connector.Listener) args[1];
                        listener.word(Connector.Word.HEARD, null);
                        listener.end(true, Double.NaN);
                    } else if (method.getName().equals("close")) {
                        open[0]--;
                    }
                    return method.getReturnType() == boolean.class ? true : null;
                });
    }

    /** Runs enough turns for all actors, since each turn of one may schedule a turn of another. */
    private static void settle(ScheduledThreadPoolExecutor turns) throws Exception {
        for (int i = 0; i < 20; i++) {
            turns.submit(() -> {}).get();
        }
    }
}

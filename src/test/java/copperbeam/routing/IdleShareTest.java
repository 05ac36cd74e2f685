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
    public void idleConnectionsStayWithinLimit(int servers, int idleLimit, int expectedIdle) throws Exception {
        ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(1);
        try {
            int[] openCount = {0};
            Clock clock = Clock.systemUTC();
            Duration minute = Duration.ofMinutes(1);
            Metrics metrics = new Metrics(List.of());
            ReleaseActor releases = new ReleaseActor(scheduler, clock, minute);
            Api.Settings settings = new Api.Settings(
                    1,
                    0,
                    List.of(),
                    List.of(),
                    List.of(),
                    new Api.Limits(4, true, false, 1),
                    new Api.Rules(1, 0, 1, 1, 1, 1),
                    Api.ReportTiming.NEVER,
                    false,
                    0,
                    true,
                    true);
            ModuleActor module = new ModuleActor(scheduler, clock, settings, 7, releases, Recorder.NONE, metrics);
            PeerActor.Setup setup = new PeerActor.Setup(
                    clock,
                    (address, timeout, connectionListener) -> {
                        openCount[0]++;
                        connectionListener.connected(connection(openCount));
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
                    scheduler,
                    (id, address) -> {
                        peers.add(new PeerActor(scheduler, id, address, setup));
                        return peers.get(peers.size() - 1);
                    },
                    module,
                    releases,
                    idleLimit);
            List<Entry> entries = IntStream.range(0, servers)
                    .mapToObj(i -> new Entry(
                            new Member("s" + i, "z", "r", 0, ServerState.READY, 1, 0),
                            new InetSocketAddress("127.0.0.1", i + 1)))
                    .toList();
            list.tell(new ListActor.ListChanged(new Change(ListKind.FULL, entries), null));
            runPendingTurns(scheduler);
            peers.forEach(p -> p.tell(new PeerActor.Probe()));
            runPendingTurns(scheduler);
            assertEquals(scheduler.submit(() -> openCount[0]).get().intValue(), expectedIdle);
        } finally {
            scheduler.shutdownNow();
        }
    }

    /** A connection on which each call is answered immediately. */
    private static Connector.Connection connection(int[] openCount) {
        return (Connector.Connection) Proxy.newProxyInstance(
                IdleShareTest.class.getClassLoader(),
                new Class<?>[] {Connector.Connection.class},
                (proxy, method, args) -> {
                    if (method.getName().equals("call")) {
                        Connector.CallListener listener = (Connector.CallListener) args[1];
                        listener.answerClassified(Connector.AnswerKind.HEARD, null);
                        listener.end(true, Double.NaN);
                    } else if (method.getName().equals("close")) {
                        openCount[0]--;
                    }
                    return method.getReturnType() == boolean.class ? true : null;
                });
    }

    /** Runs enough turns for all actors, since each turn of one may schedule a turn of another. */
    private static void runPendingTurns(ScheduledThreadPoolExecutor scheduler) throws Exception {
        for (int i = 0; i < 20; i++) {
            scheduler.submit(() -> {}).get();
        }
    }
}

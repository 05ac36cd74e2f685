package copperbeam.routing;

import static org.testng.Assert.assertEquals;

import copperbeam.Api;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * An attempt is not sent if its client goes, the time to send or to wait for it ends, or its server drains, at each point before
 * its last byte leaves.
 */
public class UnwantedTest {
    /** When the attempt stops being wanted. */
    private enum When {
        BEFORE_IT_BEGINS,
        BEFORE_IT_HAS_A_CONNECTION,
        BEFORE_ITS_LAST_BYTE_GOES,
        BEFORE_ITS_CONNECTION_BREAKS
    }

    /** Why the attempt stops being wanted. */
    private enum Why {
        GONE,
        LATE,
        OVER,
        DRAINS,
        LEFT,
        WANTED
    }

    /** A server driven by the test, which records the calls to its connector and connection; used on the actors' thread alone. */
    static final class Server implements Connector, Connector.Connection {
        String done = "";
        Watcher watcher;
        Listener listener;

        @Override
        public void connect(InetSocketAddress to, Duration timeout, Watcher next) {
            done += "connect ";
            watcher = next;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void call(Connector.Call call, Listener next) {
            done += "call ";
            listener = next;
        }

        @Override
        public void let() {
            done += "let ";
        }

        @Override
        public void grant(int bytes) {}

        @Override
        public boolean heldBack() {
            return false;
        }

        @Override
        public void readOut(Runnable read) {
            read.run();
        }

        @Override
        public void close() {
            done += "close ";
        }

        @Override
        public void abort() {
            done += "abort ";
        }
    }

    /** A clock that stands still until the test changes its offset from the epoch. */
    static final class Ahead extends Clock {
        volatile Duration by = Duration.ZERO;

        @Override
        public Instant instant() {
            return Instant.EPOCH.plus(by);
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

    static final Duration MINUTE = Duration.ofMinutes(1);

    static PeerActor peer(ScheduledThreadPoolExecutor turns, Clock clock, Connector connector) {
        Metrics metrics = new Metrics(List.of("c"));
        ReleaseActor releases = new ReleaseActor(turns, clock, MINUTE);
        Api.Settings settings = new Api.Settings(
                1,
                0,
                List.of(),
                List.of(),
                List.of(),
                new Api.Limits(4, false, false, 1),
                new Api.Rules(1, 0, 1, 1, 1, 1),
                Api.Reports.NEVER,
                false,
                0,
                false,
                false);
        ModuleActor module = new ModuleActor(turns, clock, settings, 7, releases, Recorder.NONE, metrics);
        return new PeerActor(
                turns,
                "s",
                new InetSocketAddress("127.0.0.1", 1),
                new PeerActor.Setup(
                        clock, connector, MINUTE, MINUTE, MINUTE, module, releases, Recorder.NONE, metrics));
    }

    @DataProvider
    public Object[][] points() {
        return new Object[][] {
            {When.BEFORE_IT_BEGINS, Why.WANTED, "connect "},
            {When.BEFORE_IT_BEGINS, Why.GONE, ""},
            {When.BEFORE_IT_BEGINS, Why.LATE, ""},
            {When.BEFORE_IT_HAS_A_CONNECTION, Why.WANTED, "connect call "},
            {When.BEFORE_IT_HAS_A_CONNECTION, Why.GONE, "connect "},
            {When.BEFORE_IT_HAS_A_CONNECTION, Why.LATE, "connect "},
            {When.BEFORE_ITS_LAST_BYTE_GOES, Why.WANTED, "connect call let "},
            {When.BEFORE_ITS_LAST_BYTE_GOES, Why.GONE, "connect call abort "},
            {When.BEFORE_ITS_LAST_BYTE_GOES, Why.LATE, "connect call abort "},
            {When.BEFORE_ITS_CONNECTION_BREAKS, Why.WANTED, "connect call connect "},
            {When.BEFORE_ITS_CONNECTION_BREAKS, Why.GONE, "connect call abort "},
            {When.BEFORE_ITS_CONNECTION_BREAKS, Why.LATE, "connect call abort "},
            {When.BEFORE_IT_BEGINS, Why.OVER, ""},
            {When.BEFORE_IT_HAS_A_CONNECTION, Why.OVER, "connect "},
            {When.BEFORE_ITS_LAST_BYTE_GOES, Why.OVER, "connect call abort "},
            {When.BEFORE_ITS_CONNECTION_BREAKS, Why.OVER, "connect call abort "},
            {When.BEFORE_IT_BEGINS, Why.DRAINS, ""},
            {When.BEFORE_IT_BEGINS, Why.LEFT, ""},
            {When.BEFORE_IT_HAS_A_CONNECTION, Why.DRAINS, "connect close "},
            {When.BEFORE_IT_HAS_A_CONNECTION, Why.LEFT, "connect close "},
            {When.BEFORE_ITS_LAST_BYTE_GOES, Why.DRAINS, "connect call let "}, // its first bytes have been sent
            {When.BEFORE_ITS_CONNECTION_BREAKS, Why.DRAINS, "connect call abort "},
            {When.BEFORE_ITS_CONNECTION_BREAKS, Why.LEFT, "connect call abort "},
        };
    }

    @Test(dataProvider = "points")
    public void nothingMoreIsDoneForIt(When when, Why why, String done) throws Exception {
        ScheduledThreadPoolExecutor turns = new ScheduledThreadPoolExecutor(1);
        try {
            Ahead clock = new Ahead();
            Server server = new Server();
            boolean[] gone = {false};
            Answer answer = (Answer) Proxy.newProxyInstance(
                    getClass().getClassLoader(),
                    new Class<?>[] {Answer.class},
                    (proxy, method, args) -> method.getName().equals("gone") ? gone[0] : null);
            PeerActor peer = peer(turns, clock, server);
            Ask ask = new Ask("id", "c", "k", null, 1, 0, 1, Instant.EPOCH.plus(MINUTE), false, null);
            List<Runnable> steps = List.of(
                    () -> peer.tell(new PeerActor.Send(
                            1,
                            0,
                            ask,
                            answer,
                            Instant.EPOCH.plus(MINUTE),
                            why == Why.OVER ? Instant.MAX : Instant.EPOCH.plusSeconds(1),
                            Instant.MAX,
                            true,
                            false,
                            () -> false)),
                    () -> server.watcher.up(server),
                    () -> server.listener.held(),
                    () -> server.listener.broken(false));
            int last = when == When.BEFORE_ITS_CONNECTION_BREAKS ? 3 : when.ordinal();
            for (int i = 0; i <= last; i++) {
                if (i == last && why != Why.WANTED) {
                    gone[0] = why == Why.GONE;
                    clock.by = Duration.ofSeconds(why == Why.LATE ? 2 : why == Why.OVER ? 61 : 0);
                    if (why == Why.DRAINS) {
                        peer.tell(new PeerActor.Listed(true));
                    } else if (why == Why.LEFT) {
                        peer.tell(new PeerActor.Gone());
                    }
                }
                if (i != 2 || last == 2) {
                    turns.submit(steps.get(i)).get();
                    turns.submit(() -> {}).get(); // returns after the actor's turn
                }
            }
            long until = System.nanoTime() + Duration.ofSeconds(10).toNanos();
            while (!turns.submit(() -> server.done).get().equals(done) && System.nanoTime() < until) {
                Thread.sleep(1); // the last byte is held back for some milliseconds
            }
            assertEquals(turns.submit(() -> server.done).get(), done);
        } finally {
            turns.shutdownNow();
        }
    }
}

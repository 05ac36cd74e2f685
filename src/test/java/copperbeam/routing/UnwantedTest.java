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
    private enum Point {
        BEFORE_IT_BEGINS,
        BEFORE_IT_HAS_A_CONNECTION,
        BEFORE_ITS_LAST_BYTE_GOES,
        BEFORE_ITS_CONNECTION_BREAKS
    }

    /** Why the attempt stops being wanted. */
    private enum Reason {
        CLIENT_GONE,
        PAST_SEND_BY,
        EXPIRED,
        SERVER_DRAINING,
        SERVER_REMOVED,
        STILL_WANTED
    }

    /** A server driven by the test, which records the calls to its connector and connection; used on the actors' thread alone. */
    static final class ScriptedServer implements Connector, Connector.Connection {
        String actions = "";
        ConnectionListener connectionListener;
        CallListener callListener;

        @Override
        public void connect(InetSocketAddress address, Duration timeout, ConnectionListener newListener) {
            actions += "connect ";
            connectionListener = newListener;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void call(Connector.Call call, CallListener newListener) {
            actions += "call ";
            callListener = newListener;
        }

        @Override
        public void sendLastByte() {
            actions += "let ";
        }

        @Override
        public void grant(int bytes) {}

        @Override
        public Duration withoutProgress() {
            return Duration.ZERO;
        }

        @Override
        public void readOut(Runnable then) {
            then.run();
        }

        @Override
        public void close() {
            actions += "close ";
        }

        @Override
        public void abort() {
            actions += "abort ";
        }
    }

    /** A clock that stands still until the test changes its offset from the epoch. */
    static final class ManualClock extends Clock {
        volatile Duration offset = Duration.ZERO;

        @Override
        public Instant instant() {
            return Instant.EPOCH.plus(offset);
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

    static PeerActor newPeer(ScheduledThreadPoolExecutor scheduler, Clock clock, Connector connector) {
        Metrics metrics = new Metrics(List.of("c"));
        ReleaseActor releases = new ReleaseActor(scheduler, clock, MINUTE);
        Api.Settings settings = new Api.Settings(
                1,
                0,
                List.of(),
                List.of(),
                List.of(),
                new Api.Limits(4, false, false, 1),
                new Api.Rules(1, 0, 1, 1, 1, 1),
                Api.ReportTiming.NEVER,
                false,
                0,
                false,
                false);
        ModuleActor module = new ModuleActor(scheduler, clock, settings, 7, releases, Recorder.NONE, metrics);
        return new PeerActor(
                scheduler,
                "s",
                new InetSocketAddress("127.0.0.1", 1),
                new PeerActor.Setup(
                        clock, connector, MINUTE, MINUTE, MINUTE, module, releases, Recorder.NONE, metrics));
    }

    @DataProvider
    public Object[][] points() {
        return new Object[][] {
            {Point.BEFORE_IT_BEGINS, Reason.STILL_WANTED, "connect "},
            {Point.BEFORE_IT_BEGINS, Reason.CLIENT_GONE, ""},
            {Point.BEFORE_IT_BEGINS, Reason.PAST_SEND_BY, ""},
            {Point.BEFORE_IT_HAS_A_CONNECTION, Reason.STILL_WANTED, "connect call "},
            {Point.BEFORE_IT_HAS_A_CONNECTION, Reason.CLIENT_GONE, "connect "},
            {Point.BEFORE_IT_HAS_A_CONNECTION, Reason.PAST_SEND_BY, "connect "},
            {Point.BEFORE_ITS_LAST_BYTE_GOES, Reason.STILL_WANTED, "connect call let "},
            {Point.BEFORE_ITS_LAST_BYTE_GOES, Reason.CLIENT_GONE, "connect call abort "},
            {Point.BEFORE_ITS_LAST_BYTE_GOES, Reason.PAST_SEND_BY, "connect call abort "},
            {Point.BEFORE_ITS_CONNECTION_BREAKS, Reason.STILL_WANTED, "connect call connect "},
            {Point.BEFORE_ITS_CONNECTION_BREAKS, Reason.CLIENT_GONE, "connect call abort "},
            {Point.BEFORE_ITS_CONNECTION_BREAKS, Reason.PAST_SEND_BY, "connect call abort "},
            {Point.BEFORE_IT_BEGINS, Reason.EXPIRED, ""},
            {Point.BEFORE_IT_HAS_A_CONNECTION, Reason.EXPIRED, "connect "},
            {Point.BEFORE_ITS_LAST_BYTE_GOES, Reason.EXPIRED, "connect call abort "},
            {Point.BEFORE_ITS_CONNECTION_BREAKS, Reason.EXPIRED, "connect call abort "},
            {Point.BEFORE_IT_BEGINS, Reason.SERVER_DRAINING, ""},
            {Point.BEFORE_IT_BEGINS, Reason.SERVER_REMOVED, ""},
            {Point.BEFORE_IT_HAS_A_CONNECTION, Reason.SERVER_DRAINING, "connect close "},
            {Point.BEFORE_IT_HAS_A_CONNECTION, Reason.SERVER_REMOVED, "connect close "},
            {Point.BEFORE_ITS_LAST_BYTE_GOES, Reason.SERVER_DRAINING, "connect call let "
            }, // its first bytes have been sent
            {Point.BEFORE_ITS_CONNECTION_BREAKS, Reason.SERVER_DRAINING, "connect call abort "},
            {Point.BEFORE_ITS_CONNECTION_BREAKS, Reason.SERVER_REMOVED, "connect call abort "},
        };
    }

    @Test(dataProvider = "points")
    public void unwantedAttemptIsNotSent(Point point, Reason reason, String expectedActions) throws Exception {
        ScheduledThreadPoolExecutor scheduler = new ScheduledThreadPoolExecutor(1);
        try {
            ManualClock clock = new ManualClock();
            ScriptedServer server = new ScriptedServer();
            boolean[] gone = {false};
            ResponseSink response = (ResponseSink) Proxy.newProxyInstance(
                    getClass().getClassLoader(),
                    new Class<?>[] {ResponseSink.class},
                    (proxy, method, args) -> method.getName().equals("gone") ? gone[0] : null);
            PeerActor peer = newPeer(scheduler, clock, server);
            RequestSpec spec = new RequestSpec("id", "c", "k", null, 1, 0, 1, Instant.EPOCH.plus(MINUTE), false, null);
            List<Runnable> steps = List.of(
                    () -> peer.tell(new PeerActor.Send(
                            1,
                            0,
                            spec,
                            response,
                            Instant.EPOCH.plus(MINUTE),
                            reason == Reason.EXPIRED ? Instant.MAX : Instant.EPOCH.plusSeconds(1),
                            Instant.MAX,
                            true,
                            false,
                            () -> false)),
                    () -> server.connectionListener.connected(server),
                    () -> server.callListener.lastByteHeld(),
                    () -> server.callListener.broken(false));
            int lastStep = point == Point.BEFORE_ITS_CONNECTION_BREAKS ? 3 : point.ordinal();
            for (int i = 0; i <= lastStep; i++) {
                if (i == lastStep && reason != Reason.STILL_WANTED) {
                    gone[0] = reason == Reason.CLIENT_GONE;
                    clock.offset =
                            Duration.ofSeconds(reason == Reason.PAST_SEND_BY ? 2 : reason == Reason.EXPIRED ? 61 : 0);
                    if (reason == Reason.SERVER_DRAINING) {
                        peer.tell(new PeerActor.Listed(true));
                    } else if (reason == Reason.SERVER_REMOVED) {
                        peer.tell(new PeerActor.Removed());
                    }
                }
                if (i != 2 || lastStep == 2) {
                    scheduler.submit(steps.get(i)).get();
                    scheduler.submit(() -> {}).get(); // returns after the actor's turn
                }
            }
            long giveUpAt = System.nanoTime() + Duration.ofSeconds(10).toNanos();
            while (!scheduler.submit(() -> server.actions).get().equals(expectedActions)
                    && System.nanoTime() < giveUpAt) {
                Thread.sleep(1); // the last byte is held back for some milliseconds
            }
            assertEquals(scheduler.submit(() -> server.actions).get(), expectedActions);
        } finally {
            scheduler.shutdownNow();
        }
    }
}

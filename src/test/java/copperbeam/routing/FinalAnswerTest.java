package copperbeam.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.Api;
import copperbeam.protocol.Json;
import copperbeam.simhost.Decoder;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Each request gets exactly one final answer by its deadline, even if the module's actor fails while handling it. */
public class FinalAnswerTest {
    private static final String SETTINGS = """
            {"balancers":1,"kinds":["one"],"services":[{"name":"ask","promise_s":1.5,"semantics":"safe","worth":3}],
             "limits":{"send_cap":4,"cancel":true,"probing":false,"retry_after":true,"max_retry_after_s":2,
                       "conn_idle_s":30,"connect_timeout_s":0.25},
             "rules":{"cold_from":0.28,"warm_within_s":13,"fall_multiple":3,"fall_s":2},
             "report":{"via":"on_probe"}}
            """;
    private static final Duration TIMEOUT = Duration.ofMillis(300);
    private static final Duration SLACK = Duration.ofMillis(500); // after the deadline; a later answer fails the test

    /** Records how the request ended; on demand it throws when it gets the final answer. */
    private static final class Client implements ResponseSink {
        final LinkedBlockingQueue<String> ends = new LinkedBlockingQueue<>();
        final boolean throwsAtEnd;

        Client(boolean throwsAtEnd) {
            this.throwsAtEnd = throwsAtEnd;
        }

        private void end(String ending) {
            ends.add(ending);
            if (throwsAtEnd) {
                throw new IllegalStateException("its connection is broken");
            }
        }

        @Override
        public void begin() {}

        @Override
        public boolean event(byte[] eventBytes, Runnable onDrained) {
            return true;
        }

        @Override
        public void end() {
            end("end");
        }

        @Override
        public void broken() {
            end("broken");
        }

        @Override
        public void refuse(Duration retryAfter, boolean tried) {
            end("refused");
        }

        @Override
        public void fail(Failure reason) {
            end(reason.name());
        }
    }

    private final Clock clock = Clock.systemUTC();
    private ScheduledThreadPoolExecutor scheduler;
    private ModuleActor module;

    @BeforeMethod
    @SuppressWarnings("unchecked")
    public void setUp() throws Exception {
        scheduler = new ScheduledThreadPoolExecutor(1);
        Api.Settings settings = Decoder.settings((Map<String, Object>) Json.GSON.fromJson(SETTINGS, Map.class));
        ReleaseActor releases = new ReleaseActor(scheduler, clock, Duration.ofMinutes(1));
        module = new ModuleActor(scheduler, clock, settings, 7, releases, Recorder.NONE, new Metrics(List.of("ask")));
    }

    @AfterMethod
    public void tearDown() {
        scheduler.shutdownNow();
    }

    private RequestSpec newRequest(String id, Duration timeout) {
        return new RequestSpec(id, "ask", "k", null, 40, 0, 9, clock.instant().plus(timeout), false, null);
    }

    private void listServer(Map<String, PeerActor> peers) {
        Api.Member member = new Api.Member("s", "z", "one", 0, Api.ServerState.READY, 1, 0);
        module.tell(new ModuleActor.ServersListed(Api.ListKind.FULL, List.of(member), peers, null));
    }

    /** The actor fails to start an attempt that the module has asked for, so that no outcome ever comes. */
    @Test
    public void aRequestWhoseAttemptCannotStartIsAnsweredByItsDeadline() throws Exception {
        listServer(Map.of()); // the module knows a server that has no peer
        Client client = new Client(false);
        module.submit(newRequest("a", TIMEOUT), client);
        assertTrue(client.ends.poll(TIMEOUT.plus(SLACK).toMillis(), TimeUnit.MILLISECONDS) != null, "no answer");
        CountDownLatch idle = new CountDownLatch(1);
        module.tell(new ModuleActor.Drain(idle::countDown));
        assertTrue(idle.await(1, TimeUnit.SECONDS), "the request is still open");
        assertEquals(client.ends.size(), 0, "a second answer");
    }

    /** The peer fails on every message once its attempt is in flight, as in a process that is out of file descriptors. */
    @Test
    public void anAttemptWhoseOutcomeIsLostEndsAllTheSame() throws Exception {
        FailingClock peersClock = new FailingClock();
        Connector connector = (to, timeout, watcher) -> peersClock.fails = true;
        ReleaseActor releases = new ReleaseActor(scheduler, clock, Duration.ofMinutes(1));
        Duration never = Duration.ofDays(1);
        Metrics metrics = new Metrics(List.of("ask"));
        PeerActor.Setup setup = new PeerActor.Setup(
                peersClock, connector, never, never, never, module, releases, Recorder.NONE, metrics);
        listServer(Map.of("s", new PeerActor(scheduler, "s", new InetSocketAddress("127.0.0.1", 1), setup)));
        Client client = new Client(false);
        module.submit(newRequest("a", TIMEOUT), client);
        assertTrue(client.ends.poll(TIMEOUT.plus(SLACK).toMillis(), TimeUnit.MILLISECONDS) != null, "no answer");
        CountDownLatch idle = new CountDownLatch(1);
        module.tell(new ModuleActor.Drain(idle::countDown));
        assertTrue(idle.await(3, TimeUnit.SECONDS), "the attempt is still in flight");
        assertTrue(peersClock.fails);
    }

    private static final class FailingClock extends Clock {
        volatile boolean fails;

        @Override
        public Instant instant() {
            if (fails) {
                throw new NoClassDefFoundError("a class that could not be read");
            }
            return Instant.now();
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }
    }

    /** Sending the final answer throws: the request ends all the same, and the next one gets its answer. */
    @Test
    public void anAnswerThatFailsLosesNoOther() throws Exception {
        Client failingClient = new Client(true);
        Client nextClient = new Client(false);
        module.submit(newRequest("a", Duration.ZERO), failingClient);
        module.submit(newRequest("a", Duration.ZERO), nextClient); // its id is free again
        assertEquals(failingClient.ends.poll(1, TimeUnit.SECONDS), "refused");
        assertEquals(nextClient.ends.poll(1, TimeUnit.SECONDS), "refused");
        CountDownLatch idle = new CountDownLatch(1);
        module.tell(new ModuleActor.Drain(idle::countDown));
        assertTrue(idle.await(1, TimeUnit.SECONDS), "the request is still open");
    }
}

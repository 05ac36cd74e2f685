package copperbeam.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import copperbeam.lifecycle.Lifecycle;
import copperbeam.protocol.Json;
import copperbeam.routing.Metrics;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.Recorder;
import copperbeam.routing.ReleaseActor;
import copperbeam.routing.RequestSpec;
import copperbeam.routing.ResponseSink;
import copperbeam.simhost.Decoder;
import copperbeam.transport.ClientConnections;
import copperbeam.transport.HttpFrontServer;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A stop must not end while a client or a request is on its way that is not counted as open yet. */
public class LifecycleActorTest {
    private static final int TIMEOUT_MS = 10_000;

    /** A clock that the test advances; blocks the thread of a given name at each reading. */
    private static final class SteppedClock extends Clock {
        final CountDownLatch blocked = new CountDownLatch(1);
        final CountDownLatch unblock = new CountDownLatch(1);
        final AtomicInteger actorReads = new AtomicInteger(); // readings by the actors' thread
        private final String blockedThread;
        private volatile Instant now = Instant.now();

        SteppedClock(String blockedThread) {
            this.blockedThread = blockedThread;
        }

        /** Waits until the actors have read the clock 50 more times, or the stop has ended. */
        void awaitActorReads(CompletableFuture<Void> end) throws InterruptedException {
            int initialReads = actorReads.get();
            while (actorReads.get() < initialReads + 50 && !end.isDone()) {
                Thread.sleep(5);
            }
        }

        void advance(Duration span) {
            now = now.plus(span);
        }

        @Override
        public Instant instant() {
            if (Thread.currentThread().getName().equals(blockedThread)) {
                blocked.countDown();
                try {
                    assertTrue(unblock.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            actorReads.addAndGet(Thread.currentThread().getName().equals("actors") ? 1 : 0);
            return now;
        }

        @Override
        public ZoneId getZone() {
            return ZoneId.of("UTC");
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }
    }

    private static final class TestNode implements AutoCloseable {
        final ScheduledThreadPoolExecutor scheduler =
                new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "actors"));
        final HttpFrontServer front;
        final ModuleActor module;
        final LifecycleActor lifecycle;
        final InetSocketAddress address;

        @SuppressWarnings("unchecked")
        TestNode(Clock clock) throws Exception {
            front = new HttpFrontServer(
                    (call, reply) -> {
                        reply.respond(200, "text/plain", Map.of(), new byte[0]);
                        return () -> {};
                    },
                    clock,
                    new ClientConnections(10, 1 << 20),
                    (requestClass, status) -> {});
            ReleaseActor releases = new ReleaseActor(scheduler, clock, Duration.ofSeconds(2));
            module = new ModuleActor(
                    scheduler,
                    clock,
                    Decoder.settings(Json.GSON.fromJson(
                            "{\"balancers\":1,"
                                    + "\"kinds\":[\"d\"],\"services\":[{\"name\":\"ask\",\"promise_s\":1,\"semantics\":\"safe\"}],"
                                    + "\"limits\":{\"send_cap\":4},"
                                    + "\"rules\":{},\"extra\":{}}",
                            Map.class)),
                    1,
                    releases,
                    Recorder.NONE,
                    new Metrics(Set.of("ask")));
            lifecycle = new LifecycleActor(
                    scheduler,
                    clock,
                    new Lifecycle(Duration.ofMillis(3700), true),
                    List.of(front),
                    module,
                    releases,
                    () -> false,
                    beside -> {});
            address = front.listen(new InetSocketAddress("127.0.0.1", 0), false);
        }

        @Override
        public void close() {
            front.close();
            scheduler.shutdownNow();
        }
    }

    private static Object complete(CompletableFuture<String> calledMethod, String methodName) {
        calledMethod.complete(methodName);
        return null;
    }

    /** Names of the threads that a new connection passes through. */
    @DataProvider
    public Object[][] threads() {
        return new Object[][] {{"accept"}, {"from-clients"}};
    }

    /** The process must not end while a client is in the kernel's accept queue or on its way between two threads. */
    @Test(dataProvider = "threads")
    public void aClientStillConnectingIsServedBeforeTheEnd(String thread) throws Exception {
        SteppedClock clock = new SteppedClock(thread);
        try (TestNode testNode = new TestNode(clock);
                Socket client = new Socket(testNode.address.getAddress(), testNode.address.getPort())) {
            client.setSoTimeout(TIMEOUT_MS);
            client.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertTrue(clock.blocked.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
            CompletableFuture<Void> end = testNode.lifecycle.stop(false);
            clock.awaitActorReads(end);
            clock.advance(Duration.ofSeconds(1)); // load balancers had time to notice, and nothing is open
            clock.awaitActorReads(end);
            assertFalse(end.isDone(), "the stop ended while a client was connecting");
            clock.unblock.countDown();
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
            assertEquals(in.readLine(), "HTTP/1.1 200 OK");
            clock.advance(Duration.ofMillis(100)); // time to close its connection
            end.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * A request that arrives after the last check for open ones, and whose client then leaves, is ended before the process
     * ends; otherwise servers would keep read states for it.
     */
    @Test
    public void aLateRequestIsEndedBeforeTheEnd() throws Exception {
        SteppedClock clock = new SteppedClock("none");
        try (TestNode testNode = new TestNode(clock)) {
            CompletableFuture<Void> end = testNode.lifecycle.stop(false);
            clock.awaitActorReads(end); // the stop has found that nothing is open
            CompletableFuture<String> calledMethod = new CompletableFuture<>();
            ResponseSink response = (ResponseSink) Proxy.newProxyInstance(
                    getClass().getClassLoader(),
                    new Class<?>[] {ResponseSink.class},
                    (proxy, method, args) -> method.getName().equals("gone")
                            ? false
                            : complete(calledMethod, method.getName() + (end.isDone() ? " after the end" : "")));
            testNode.scheduler.execute(() -> {
                testNode.module.submit(
                        new RequestSpec(
                                "id",
                                "ask",
                                "k",
                                null,
                                40,
                                0,
                                9,
                                clock.instant().plusSeconds(8),
                                false,
                                null),
                        response);
                clock.advance(Duration.ofSeconds(1));
            });
            assertEquals(calledMethod.get(TIMEOUT_MS, TimeUnit.MILLISECONDS), "refuse");
            end.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }
}

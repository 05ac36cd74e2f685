package copperbeam.program;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import copperbeam.lifecycle.Lifecycle;
import copperbeam.protocol.Json;
import copperbeam.routing.Answer;
import copperbeam.routing.Ask;
import copperbeam.routing.Metrics;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.Recorder;
import copperbeam.routing.ReleaseActor;
import copperbeam.simhost.Decoder;
import copperbeam.transport.ClientRoom;
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
    private static final int PATIENCE_MS = 10_000;

    /** A clock that the test advances; blocks the thread of a given name at each reading. */
    private static final class Held extends Clock {
        final CountDownLatch looked = new CountDownLatch(1);
        final CountDownLatch go = new CountDownLatch(1);
        final AtomicInteger turns = new AtomicInteger(); // readings by the actors' thread
        private final String thread;
        private volatile Instant now = Instant.now();

        Held(String thread) {
            this.thread = thread;
        }

        /** Waits until the actors have read the clock 50 more times, or the stop has ended. */
        void awaitTurns(CompletableFuture<Void> end) throws InterruptedException {
            int from = turns.get();
            while (turns.get() < from + 50 && !end.isDone()) {
                Thread.sleep(5);
            }
        }

        void advance(Duration span) {
            now = now.plus(span);
        }

        @Override
        public Instant instant() {
            if (Thread.currentThread().getName().equals(thread)) {
                looked.countDown();
                try {
                    assertTrue(go.await(PATIENCE_MS, TimeUnit.MILLISECONDS));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            turns.addAndGet(Thread.currentThread().getName().equals("actors") ? 1 : 0);
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

    private static final class Parts implements AutoCloseable {
        final ScheduledThreadPoolExecutor turns =
                new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "actors"));
        final HttpFrontServer front;
        final ModuleActor module;
        final LifecycleActor lifecycle;
        final InetSocketAddress address;

        @SuppressWarnings("unchecked")
        Parts(Clock clock) throws Exception {
            front = new HttpFrontServer(
                    (call, reply) -> {
                        reply.whole(200, "text/plain", Map.of(), new byte[0]);
                        return () -> {};
                    },
                    clock,
                    new ClientRoom(10, 1 << 20),
                    (requestClass, status) -> {});
            ReleaseActor releases = new ReleaseActor(turns, clock, Duration.ofSeconds(2));
            module = new ModuleActor(
                    turns,
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
                    turns,
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
            turns.shutdownNow();
        }
    }

    private static Object tell(CompletableFuture<String> told, String what) {
        told.complete(what);
        return null;
    }

    /** Names of the threads that a new connection passes through. */
    @DataProvider
    public Object[][] threads() {
        return new Object[][] {{"accept"}, {"from-clients"}};
    }

    /** The process must not end while a client is in the kernel's accept queue or on its way between two threads. */
    @Test(dataProvider = "threads")
    public void whoIsOnTheWayInIsServedBeforeTheEnd(String thread) throws Exception {
        Held clock = new Held(thread);
        try (Parts parts = new Parts(clock);
                Socket client = new Socket(parts.address.getAddress(), parts.address.getPort())) {
            client.setSoTimeout(PATIENCE_MS);
            client.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertTrue(clock.looked.await(PATIENCE_MS, TimeUnit.MILLISECONDS));
            CompletableFuture<Void> end = parts.lifecycle.stop(false);
            clock.awaitTurns(end);
            clock.advance(Duration.ofSeconds(1)); // load balancers had time to notice, and nothing is open
            clock.awaitTurns(end);
            assertFalse(end.isDone(), "the stop ended while a client was connecting");
            clock.go.countDown();
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
            assertEquals(in.readLine(), "HTTP/1.1 200 OK");
            clock.advance(Duration.ofMillis(100)); // time to close its connection
            end.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * A request that arrives after the last check for open ones, and whose client then leaves, is ended before the process
     * ends; otherwise servers would keep read states for it.
     */
    @Test
    public void whatIsOpenWithoutAClientIsEndedBeforeTheEnd() throws Exception {
        Held clock = new Held("none");
        try (Parts parts = new Parts(clock)) {
            CompletableFuture<Void> end = parts.lifecycle.stop(false);
            clock.awaitTurns(end); // the stop has found that nothing is open
            CompletableFuture<String> told = new CompletableFuture<>();
            Answer answer = (Answer) Proxy.newProxyInstance(
                    getClass().getClassLoader(),
                    new Class<?>[] {Answer.class},
                    (proxy, method, args) -> method.getName().equals("gone")
                            ? false
                            : tell(told, method.getName() + (end.isDone() ? " after the end" : "")));
            parts.turns.execute(() -> {
                parts.module.arrive(
                        new Ask(
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
                        answer);
                clock.advance(Duration.ofSeconds(1));
            });
            assertEquals(told.get(PATIENCE_MS, TimeUnit.MILLISECONDS), "refuse");
            end.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
        }
    }
}

package copperbeam.sockets;

import static org.testng.Assert.assertEquals;

import copperbeam.routing.Metrics;
import copperbeam.routing.ModuleActor;
import copperbeam.routing.PeerActor;
import copperbeam.routing.Recorder;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** The peer enforces the connect timeout itself, as a transport may report a failed connect late or not at all. */
public class ConnectTimeTest {
    @Test
    public void aConnectEndsAtItsTimeout() throws Exception {
        ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
        CompletableFuture<String> outcome = new CompletableFuture<>();
        Recorder recorder = (type, request, attempt, server, text, duration) -> outcome.complete(text);
        ModuleActor module = new ModuleActor(
                scheduler, Clock.systemUTC(), Site.settings(30), 7, null, recorder, new Metrics(List.of("ask")));
        new PeerActor(
                        scheduler,
                        "s",
                        new InetSocketAddress("127.0.0.1", 1),
                        new PeerActor.Setup(
                                Clock.systemUTC(),
                                (address, timeout, listener) -> {},
                                Duration.ofMillis(50),
                                Duration.ofSeconds(15),
                                Duration.ofHours(1),
                                module,
                                null,
                                recorder,
                                null))
                .tell(new PeerActor.Probe());
        assertEquals(outcome.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS), "CONNECT_FAILED");
        scheduler.shutdownNow();
    }
}

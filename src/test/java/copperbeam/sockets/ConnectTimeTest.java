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

/** A transport that reports a failed connect late or never delays nothing: the peer enforces the connect timeout itself. */
public class ConnectTimeTest {
    @Test
    public void aConnectionHasItsTimeAndNoMore() throws Exception {
        ScheduledExecutorService turns = Executors.newSingleThreadScheduledExecutor();
        CompletableFuture<String> ended = new CompletableFuture<>();
        Recorder recorder = (what, request, attempt, server, text, span) -> ended.complete(text);
        ModuleActor module = new ModuleActor(
                turns, Clock.systemUTC(), Site.settings(30), 7, null, recorder, new Metrics(List.of("ask")));
        new PeerActor(
                        turns,
                        "s",
                        new InetSocketAddress("127.0.0.1", 1),
                        new PeerActor.Setup(
                                Clock.systemUTC(),
                                (to, timeout, watcher) -> {},
                                Duration.ofMillis(50),
                                Duration.ofSeconds(15),
                                Duration.ofHours(1),
                                module,
                                null,
                                recorder,
                                null))
                .tell(new PeerActor.Probe());
        assertEquals(ended.get(Line.PATIENCE_MS, TimeUnit.MILLISECONDS), "CONNECT_FAILED");
        turns.shutdownNow();
    }
}

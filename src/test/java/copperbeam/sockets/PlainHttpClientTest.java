package copperbeam.sockets;

import static org.testng.Assert.assertEquals;

import copperbeam.protocol.HttpClient;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.PlainHttpClient;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Calls to services other than model servers, such as discovery. */
public class PlainHttpClientTest {
    private static final class Told implements HttpClient.Response {
        final CompletableFuture<String> last = new CompletableFuture<>();

        @Override
        public void head(int status) {}

        @Override
        public void data(byte[] bytes) {}

        @Override
        public void end() {
            last.complete("end");
        }

        @Override
        public void failed(String why) {
            last.complete(why);
        }

        String await() throws Exception {
            return last.get(Line.PATIENCE_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Guards against a late stop of a completed call that closes its connection, which already carries the next call. */
    @Test
    public void aCallThatIsStoppedAfterItsEndLeavesTheNextAlone() throws Exception {
        CountDownLatch met = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        try (StandIn service = new StandIn((m, line) -> {
                    if (m.path().equals("/next")) {
                        met.countDown();
                        go.await();
                    }
                    line.answer(200, "{}");
                });
                ClientReactor reactor = new ClientReactor()) {
            HttpClient client = new PlainHttpClient(reactor);
            HttpClient.Patience patience = new HttpClient.Patience(Duration.ofSeconds(5), Duration.ofSeconds(9));
            Told first = new Told();
            Told next = new Told();
            Runnable stop = client.send(service.address(), "GET", "/first", null, patience, first);
            assertEquals(first.await(), "end");
            client.send(service.address(), "GET", "/next", null, patience, next);
            met.await();
            stop.run();
            go.countDown();
            assertEquals(next.await(), "end");
            assertEquals(service.lines.size(), 1);
        }
    }
}

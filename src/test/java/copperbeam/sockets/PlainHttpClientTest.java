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
    private static final class RecordingResponse implements HttpClient.ResponseListener {
        final CompletableFuture<String> outcome = new CompletableFuture<>();

        @Override
        public void head(int status) {}

        @Override
        public void data(byte[] bytes) {}

        @Override
        public void end() {
            outcome.complete("end");
        }

        @Override
        public void failed(String reason) {
            outcome.complete(reason);
        }

        String awaitOutcome() throws Exception {
            return outcome.get(RawConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Guards against a late stop of a completed call that closes its connection, which already carries the next call. */
    @Test
    public void aCallThatIsStoppedAfterItsEndLeavesTheNextAlone() throws Exception {
        CountDownLatch nextReceived = new CountDownLatch(1);
        CountDownLatch allowAnswer = new CountDownLatch(1);
        try (StandIn service = new StandIn((request, connection) -> {
                    if (request.path().equals("/next")) {
                        nextReceived.countDown();
                        allowAnswer.await();
                    }
                    connection.respond(200, "{}");
                });
                ClientReactor reactor = new ClientReactor()) {
            HttpClient client = new PlainHttpClient(reactor);
            HttpClient.Timeouts timeouts = new HttpClient.Timeouts(Duration.ofSeconds(5), Duration.ofSeconds(9));
            RecordingResponse first = new RecordingResponse();
            RecordingResponse next = new RecordingResponse();
            Runnable stopFirst = client.send(service.address(), "GET", "/first", null, timeouts, first);
            assertEquals(first.awaitOutcome(), "end");
            client.send(service.address(), "GET", "/next", null, timeouts, next);
            nextReceived.await();
            stopFirst.run();
            allowAnswer.countDown();
            assertEquals(next.awaitOutcome(), "end");
            assertEquals(service.connections.size(), 1);
        }
    }
}

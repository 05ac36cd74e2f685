package copperbeam.sockets;

import static org.testng.Assert.assertEquals;

import copperbeam.protocol.HttpClient;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.PlainHttpClient;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Calls to services other than model servers, such as discovery. */
public class PlainHttpClientTest {
    private static final int PAUSE_MS = 1500;

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

    @DataProvider
    public Object[][] slowOrLargeAnswers() {
        String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
        int chunkBytes = 3 << 20;
        return new Object[][] {
            {
                "a pause within the head",
                List.of(head.substring(0, 30), head.substring(30) + "Content-Length: 2\r\n\r\n{}")
            },
            {"a pause within the body", List.of(head + "Content-Length: 2\r\n\r\n{", "}")},
            {
                "one large chunk",
                List.of(head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(chunkBytes) + "\r\n"
                        + " ".repeat(chunkBytes) + "\r\n0\r\n\r\n")
            },
        };
    }

    /** Guards against lists that fail each time, because limits that are meant for model servers hold for them too. */
    @Test(dataProvider = "slowOrLargeAnswers")
    public void aServiceMayPauseAndSendLargeChunks(String name, List<String> pieces) throws Exception {
        try (StandIn service = new StandIn((request, connection) -> {
                    for (String piece : pieces) {
                        connection.send(piece);
                        Thread.sleep(PAUSE_MS);
                    }
                });
                ClientReactor reactor = new ClientReactor()) {
            HttpClient.Timeouts timeouts = new HttpClient.Timeouts(Duration.ofSeconds(5), Duration.ofSeconds(6));
            RecordingResponse response = new RecordingResponse();
            new PlainHttpClient(reactor).send(service.address(), "GET", "/list", null, timeouts, response);
            assertEquals(response.awaitOutcome(), "end");
        }
    }
}

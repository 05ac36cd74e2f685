package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static copperbeam.sockets.Site.forAttempts;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Hundreds of clients that read long answers slowly, or nothing of them, with the deployment's heap: it doesn't fill, and usual
 * requests are served.
 */
public class SlowReadersTest {
    private static final int CLIENTS = 160;
    private static final int DURATION_MS = 5000;
    private static final int READ_INTERVAL_MS = 100;
    private static final int READ_BYTES = 1000; // at a time
    private static final int USUAL_REQUESTS = 20;
    private static final int EVENTS_PER_ANSWER = 30_000;
    private static final String SMALL_EVENT = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n";
    private static final String LARGE_EVENT = SMALL_EVENT.replace("\"a\"", "\"" + "a".repeat(2000) + "\"");

    @DataProvider
    public Object[][] readers() {
        List<Object[]> rows = new ArrayList<>();
        for (boolean chat : new boolean[] {false, true}) {
            for (boolean reads : new boolean[] {false, true}) {
                rows.add(new Object[] {"small events", SMALL_EVENT, chat, reads});
                rows.add(new Object[] {"large events", LARGE_EVENT, chat, reads});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    /** A long stream, as fast as it is taken, for prompts with the marker; else a short one. */
    private static StandIn.Script writer(String event) {
        String chunk = Integer.toHexString(event.length() * 10) + "\r\n" + event.repeat(10) + "\r\n";
        return forAttempts((request, connection) -> {
            if (!request.text().contains("LONG")) {
                Site.answerAsWriter(request, connection);
                return;
            }
            connection.beginStream();
            for (int sent = 0; sent < EVENTS_PER_ANSWER; sent += 10) {
                connection.send(chunk);
            }
        });
    }

    /** Sends the request anew when its answer ends, or after some time in which nothing is read, until {@code stopped}. */
    private static void stayInCrowd(
            InetSocketAddress address, Supplier<String> request, boolean reads, AtomicBoolean stopped) {
        try {
            while (!stopped.get()) {
                readSlowly(address, request.get(), reads, stopped);
                Thread.sleep(READ_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void readSlowly(InetSocketAddress address, String request, boolean reads, AtomicBoolean stopped)
            throws InterruptedException {
        long endNs = System.nanoTime() + DURATION_MS * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(4096);
            socket.setSoTimeout(DURATION_MS);
            socket.connect(address);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] bytes = new byte[READ_BYTES];
            while (!stopped.get() && (reads ? socket.getInputStream().read(bytes) >= 0 : System.nanoTime() < endNs)) {
                Thread.sleep(READ_INTERVAL_MS);
            }
        } catch (IOException e) {
            // ended
        }
    }

    @Test(dataProvider = "readers")
    public void theHeapDoesNotFillWithAnswersThatWaitForSlowClients(
            String name, String event, boolean chat, boolean reads) throws Exception {
        AtomicBoolean stopped = new AtomicBoolean();
        AtomicInteger lastId = new AtomicInteger(); // an id that has run for a client that left is refused
        try (ProcessSite site =
                new ProcessSite(3, Site::answerAsReader, writer(event), ProcessSite::withLongPromises)) {
            for (int i = 0; i < CLIENTS; i++) {
                Supplier<String> request = () -> chat
                        ? Site.chatRequest(ProcessSite.SEND_MODEL, true, ",\"user\":\"LONG\"")
                        : Site.request(
                                "slow" + lastId.incrementAndGet(),
                                "send",
                                "9000m",
                                "prompt_len=9",
                                "{\"user\":\"LONG\"}");
                Thread client = new Thread(() -> stayInCrowd(site.address(chat), request, reads, stopped), "client");
                client.setDaemon(true);
                client.start();
            }
            await("streams run", () -> site.attempts(site.writers) > CLIENTS / 2);
            AtomicInteger answered = new AtomicInteger();
            for (int i = 0; i < USUAL_REQUESTS; i++) {
                try (RawConnection client = site.client(chat)) {
                    RawConnection.Message answer =
                            client.send(ProcessSite.request(chat, "send")).read();
                    answered.addAndGet(answer != null && answer.complete() ? 1 : 0);
                }
                Thread.sleep(DURATION_MS / USUAL_REQUESTS / 2);
            }
            String log = Files.readString(site.conductor.logFile);
            assertFalse(log.contains("OutOfMemoryError"), log);
            assertEquals(answered.get(), USUAL_REQUESTS);
        } finally {
            stopped.set(true);
        }
    }
}

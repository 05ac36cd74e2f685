package copperbeam.sockets;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import copperbeam.transport.ClientRoom;
import copperbeam.transport.HttpFrontServer;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.Map;
import org.testng.annotations.Test;

public class ReactorEndTest {
    private static final String GET = "GET /%s HTTP/1.1\r\nHost: x\r\n\r\n";

    /** As by a stack that is used up: it is answered and ends its own connection, and neither those beside it nor their reactor. */
    @Test
    public void anErrorEndsItsConnectionAlone() throws Exception {
        try (HttpFrontServer server = new HttpFrontServer(
                (call, reply) -> {
                    if (call.path().equals("/fails")) {
                        throw new StackOverflowError("wanted");
                    }
                    reply.whole(200, "text/plain", Map.of(), new byte[0]);
                    return () -> {};
                },
                Clock.systemUTC(),
                new ClientRoom(10, 1000),
                (c, status) -> {})) {
            InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0), false);
            try (Line bad = new Line(at);
                    Line beside = new Line(at)) {
                assertEquals(beside.send(String.format(GET, "x")).read().status(), 200);
                assertEquals(bad.send(String.format(GET, "fails")).read().status(), 500);
                assertTrue(bad.awaitClosed());
                assertEquals(beside.send(String.format(GET, "x")).read().status(), 200);
            }
        }
    }
}

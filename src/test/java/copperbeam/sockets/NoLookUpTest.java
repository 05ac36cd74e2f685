package copperbeam.sockets;

import static copperbeam.sockets.Site.await;
import static org.testng.Assert.assertEquals;

import copperbeam.Api.Report;
import copperbeam.protocol.HttpClient;
import copperbeam.routing.Connector;
import copperbeam.transport.ClientReactor;
import copperbeam.transport.PlainHttpClient;
import copperbeam.transport.ServerConnector;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.Test;

/**
 * Servers and discovery are known by address only, and the platform has no DNS: if calls looked up names, each would wait
 * for the look-up's timeout. An {@link InetAddress} keeps the name that was looked up and shows it in its text, which is how
 * these tests detect a look-up.
 */
public class NoLookUpTest {
    private static InetSocketAddress addressWithoutName(StandIn server) throws Exception {
        return new InetSocketAddress(
                InetAddress.getByAddress(new byte[] {127, 0, 0, 1}),
                server.address().getPort());
    }

    @Test
    public void noNameIsLookedUpWhenDiscoveryIsCalled() throws Exception {
        try (StandIn server = new StandIn((request, connection) -> connection.respond(200, "{}"));
                ClientReactor reactor = new ClientReactor()) {
            InetSocketAddress address = addressWithoutName(server);
            CountDownLatch answered = new CountDownLatch(1);
            new PlainHttpClient(reactor)
                    .fetch(
                            address,
                            "GET",
                            "/v1/servers",
                            null,
                            new HttpClient.Timeouts(Duration.ofSeconds(5), Duration.ofSeconds(5)),
                            9,
                            a -> answered.countDown());
            await("answered", () -> answered.getCount() == 0);
            assertEquals(address.getAddress().toString(), "/127.0.0.1");
        }
    }

    @Test
    public void noNameIsLookedUpWhenAServerIsCalled() throws Exception {
        try (StandIn server = new StandIn((request, connection) -> connection.respond(200, ""));
                ClientReactor reactor = new ClientReactor()) {
            InetSocketAddress address = addressWithoutName(server);
            CountDownLatch answered = new CountDownLatch(1);
            new ServerConnector(reactor).connect(address, Duration.ofSeconds(5), new Connector.ConnectionListener() {
                @Override
                public void connected(Connector.Connection connection) {
                    connection.call(new Connector.ProbeCall(), new AnswerListener(answered));
                }

                @Override
                public void connectFailed() {}

                @Override
                public void closed(Connector.Connection connection) {}
            });
            await("the probe is answered", () -> answered.getCount() == 0);
            assertEquals(address.getAddress().toString(), "/127.0.0.1");
        }
    }

    private record AnswerListener(CountDownLatch answered) implements Connector.CallListener {
        @Override
        public void sent() {}

        @Override
        public void lastByteHeld() {}

        @Override
        public void answerClassified(Connector.AnswerKind kind, Report report) {
            answered.countDown();
        }

        @Override
        public void event(byte[] raw) {}

        @Override
        public void end(boolean reusable, double keptTokens) {}

        @Override
        public void broken(boolean lastByteMayHaveLeft) {}
    }
}

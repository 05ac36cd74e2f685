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
    private static InetSocketAddress nameless(StandIn server) throws Exception {
        return new InetSocketAddress(
                InetAddress.getByAddress(new byte[] {127, 0, 0, 1}),
                server.address().getPort());
    }

    @Test
    public void noNameIsAskedForWhenDiscoveryIsCalled() throws Exception {
        try (StandIn server = new StandIn((m, line) -> line.answer(200, "{}"));
                ClientReactor reactor = new ClientReactor()) {
            InetSocketAddress at = nameless(server);
            CountDownLatch answered = new CountDownLatch(1);
            new PlainHttpClient(reactor)
                    .whole(
                            at,
                            "GET",
                            "/v1/servers",
                            null,
                            new HttpClient.Patience(Duration.ofSeconds(5), Duration.ofSeconds(5)),
                            9,
                            a -> answered.countDown());
            await("answered", () -> answered.getCount() == 0);
            assertEquals(at.getAddress().toString(), "/127.0.0.1");
        }
    }

    @Test
    public void noNameIsAskedForWhenAServerIsCalled() throws Exception {
        try (StandIn server = new StandIn((m, line) -> line.answer(200, ""));
                ClientReactor reactor = new ClientReactor()) {
            InetSocketAddress at = nameless(server);
            CountDownLatch heard = new CountDownLatch(1);
            new ServerConnector(reactor).connect(at, Duration.ofSeconds(5), new Connector.Watcher() {
                @Override
                public void up(Connector.Connection connection) {
                    connection.call(new Connector.ProbeCall(), new Heard(heard));
                }

                @Override
                public void failed() {}

                @Override
                public void closed(Connector.Connection connection) {}
            });
            await("the probe is answered", () -> heard.getCount() == 0);
            assertEquals(at.getAddress().toString(), "/127.0.0.1");
        }
    }

    private record Heard(CountDownLatch heard) implements Connector.Listener {
        @Override
        public void sent() {}

        @Override
        public void held() {}

        @Override
        public void word(Connector.Word word, Report report) {
            heard.countDown();
        }

        @Override
        public void event(byte[] raw) {}

        @Override
        public void end(boolean reusable, double kept) {}

        @Override
        public void broken(boolean written) {}
    }
}

package copperbeam.transport;

import static org.testng.Assert.assertTrue;

import copperbeam.routing.RequestLog;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.reactor.IOSession;
import org.testng.annotations.Test;

public class FairTurnTest {
    private static final int EVENT_BYTES = 1000;
    private static final int MAX_EVENTS = 1000; // a single call that writes so many would never end

    /** A fast server and client: whenever an event is written, the next one is already available. */
    @Test
    public void aTurnOfOutputEnds() throws Exception {
        IOSession session = (IOSession) Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {IOSession.class},
                (proxy, method, args) -> method.getReturnType() == int.class ? 0 : null);
        ClientConnections allClients = new ClientConnections(10, 1000);
        Clock clock = Clock.systemUTC();
        ServerExchange exchange = new ServerExchange(
                allClients.register(session, clock.instant()),
                allClients,
                (call, reply) -> () -> {},
                clock,
                () -> false,
                (requestClass, status) -> {},
                (client, reason) -> {},
                new RequestLog(clock));
        AtomicInteger events = new AtomicInteger();
        DataStreamChannel channel = (DataStreamChannel) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {DataStreamChannel.class}, (proxy, method, args) -> {
                    if (!method.getName().equals("write")) {
                        return null;
                    }
                    ByteBuffer bytes = (ByteBuffer) args[0];
                    int count = bytes.remaining();
                    bytes.position(bytes.limit());
                    if (events.incrementAndGet() < MAX_EVENTS) {
                        exchange.write(new byte[EVENT_BYTES], null);
                    }
                    return count;
                });
        exchange.write(new byte[EVENT_BYTES], null);
        exchange.produce(channel);
        assertTrue(events.get() < MAX_EVENTS, "one produce() call wrote " + events + " events");
        assertTrue(exchange.available() > 0, "the rest must stay available for the next call");
    }
}

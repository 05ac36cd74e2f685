package copperbeam.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.util.Comparator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexerFactory;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.io.Closer;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import copperbeam.protocol.Front;
import copperbeam.protocol.HttpCall;
import copperbeam.protocol.HttpReply;

/** Listens on one address and hands each request to a front. */
public final class HttpFrontServer implements AutoCloseable {
    /** One client's connection. */
    static final class Client {
        final IOSession session;
        volatile boolean busy;
        volatile Instant since;

        Client(IOSession session, Instant since) {
            this.session = session;
            this.since = since;
        }

        void idle(Instant now) {
            since = now;
            busy = false;
        }
    }

    /** Of 1,024 descriptors: two for each client's request, some idle ones to servers, and the program's own. */
    public static final int MOST_CLIENTS = 370;

    private final DefaultListeningIOReactor reactor;
    private final Set<Client> clients = ConcurrentHashMap.newKeySet();
    private final Front front;
    private final Clock clock;
    private final int mostClients;
    private volatile boolean draining;
    private volatile ListenerEndpoint endpoint;

    /** {@code mostClients}: beyond so many connections an idle one is closed, and with none idle a request refused. */
    public HttpFrontServer(Front front, Clock clock, int mostClients) {
        this.mostClients = mostClients;
        this.front = front;
        this.clock = clock;
        IOReactorConfig config = IOReactorConfig.custom().setIoThreadCount(1).setTcpNoDelay(true)
                .setSoReuseAddress(true).setSoTimeout(Timeout.DISABLED).setBacklogSize(512).build();
        reactor = new DefaultListeningIOReactor((session, attachment) -> handler(session), config,
                task -> new Thread(task, "from-clients"), task -> new Thread(task, "accept"), null, Problems::report,
                null, null);
        reactor.start();
    }

    private ServerHttp1IOEventHandler handler(ProtocolIOSession session) {
        Client client = new Client(session, clock.instant());
        if (clients.size() >= mostClients) {
            // a client may be cut off between two requests; it sends again what crosses that
            clients.stream().filter(c -> !c.busy).min(Comparator.comparing(c -> c.since)).ifPresent(c -> {
                clients.remove(c);
                c.session.close(CloseMode.GRACEFUL);
            });
        }
        clients.add(client);
        ServerHttp1StreamDuplexerFactory duplexers = new ServerHttp1StreamDuplexerFactory(HttpProcessors.server(),
                (request, context) -> new ServerExchange(client, full() ? HttpFrontServer::refuse : front, clock,
                        () -> draining),
                Http1Config.custom().setBufferSize(4096).setMaxLineLength(16 * 1024).setMaxHeaderCount(100).build(),
                CharCodingConfig.DEFAULT, null, null);
        return new ServerHttp1IOEventHandler(duplexers.create("http", session)) {
            @Override
            public void inputReady(IOSession open, ByteBuffer bytes) throws IOException {
                super.inputReady(open, bytes);
                // HttpCore takes a client's end of sending for a wish to close once it is answered, and stops
                // reading; here it is a client that has gone, and its attempt must not run on unread
                if (client.busy && (open.getEventMask() & SelectionKey.OP_READ) == 0) {
                    open.close(CloseMode.IMMEDIATE);
                }
            }

            @Override
            public void disconnected(IOSession closed) {
                clients.remove(client);
                super.disconnected(closed);
            }
        };
    }

    private boolean full() {
        return clients.size() > mostClients;
    }

    private static Runnable refuse(HttpCall call, HttpReply reply) {
        reply.whole(503, "text/plain", Map.of("Retry-After", "1", "Connection", "close"),
                "too many connections\n".getBytes(StandardCharsets.US_ASCII));
        return () -> { };
    }

    /** The address it has got, of use where port 0 was asked for. */
    public InetSocketAddress listen(InetSocketAddress address) throws IOException, InterruptedException {
        try {
            endpoint = reactor.listen(address).get();
        } catch (ExecutionException e) {
            throw new IOException("cannot listen on " + address + ": " + e.getCause().getMessage(), e);
        }
        return (InetSocketAddress) endpoint.getAddress();
    }

    /** From now on each answer says that its connection closes. */
    public void drain() {
        draining = true;
    }

    /** Takes no new connection and closes those that carry no request. */
    public void closeIdle() {
        Closer.closeQuietly(endpoint);
        for (Client client : clients) {
            if (!client.busy) {
                client.session.close(CloseMode.GRACEFUL);
            }
        }
    }

    public boolean busy() {
        return clients.stream().anyMatch(c -> c.busy);
    }

    @Override
    public void close() {
        reactor.close(CloseMode.GRACEFUL);
    }
}

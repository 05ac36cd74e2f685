package copperbeam.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.time.Clock;
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

/** Listens on one address and hands each request to a front. */
public final class HttpFrontServer implements AutoCloseable {
    /** One client's connection. */
    static final class Client {
        final IOSession session;
        volatile boolean busy;

        Client(IOSession session) {
            this.session = session;
        }
    }

    private final DefaultListeningIOReactor reactor;
    private final Set<Client> clients = ConcurrentHashMap.newKeySet();
    private final Front front;
    private final Clock clock;
    private volatile boolean draining;
    private volatile ListenerEndpoint endpoint;

    public HttpFrontServer(Front front, Clock clock) {
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
        Client client = new Client(session);
        clients.add(client);
        ServerHttp1StreamDuplexerFactory duplexers = new ServerHttp1StreamDuplexerFactory(HttpProcessors.server(),
                (request, context) -> new ServerExchange(client, front, clock, () -> draining),
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

package copperbeam.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.DefaultConnectingIOReactor;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;

/** Outgoing HTTP/1.1 connections, one exchange at a time on each. Sends nothing twice: it knows no retry. */
public final class ClientReactor implements AutoCloseable {
    /** Told of one connection's life; {@code down} comes once, also for one that never came up. */
    interface Life {
        void up(IOSession session);

        void down();
    }

    private final DefaultConnectingIOReactor reactor;

    public ClientReactor() {
        HttpProcessor processor = HttpProcessorBuilder.create()
                .addAll(new RequestTargetHost(), new RequestContent(), new RequestConnControl()).build();
        ClientHttp1StreamDuplexerFactory duplexers = new ClientHttp1StreamDuplexerFactory(processor,
                Http1Config.custom().setBufferSize(4096).build(), CharCodingConfig.DEFAULT);
        IOReactorConfig config = IOReactorConfig.custom().setIoThreadCount(1).setTcpNoDelay(true)
                .setSoTimeout(Timeout.DISABLED).build();
        reactor = new DefaultConnectingIOReactor((session, life) -> handler(duplexers, session, (Life) life), config,
                task -> new Thread(task, "to-servers"), null, Problems::report, null, null);
        reactor.start();
    }

    private static ClientHttp1IOEventHandler handler(ClientHttp1StreamDuplexerFactory duplexers,
            ProtocolIOSession session, Life life) {
        return new ClientHttp1IOEventHandler(duplexers.create(session)) {
            @Override
            public void disconnected(IOSession closed) {
                super.disconnected(closed);
                life.down();
            }
        };
    }

    void connect(InetSocketAddress to, Duration timeout, Life life) {
        NamedEndpoint endpoint = new NamedEndpoint() {
            @Override
            public String getHostName() {
                return to.getHostString();
            }

            @Override
            public int getPort() {
                return to.getPort();
            }
        };
        reactor.connect(endpoint, to, null, Timeout.of(timeout), life, new FutureCallback<IOSession>() {
            @Override
            public void completed(IOSession session) {
                life.up(session);
            }

            @Override
            public void failed(Exception e) {
                life.down();
            }

            @Override
            public void cancelled() {
                life.down();
            }
        });
    }

    static void execute(IOSession session, AsyncClientExchangeHandler exchange) {
        session.enqueue(new RequestExecutionCommand(exchange, HttpCoreContext.create()), Command.Priority.NORMAL);
    }

    @Override
    public void close() throws IOException {
        reactor.close(CloseMode.IMMEDIATE);
    }
}

package copperbeam.transport;

import copperbeam.protocol.HttpCall;
import copperbeam.routing.Connector;
import copperbeam.routing.ModuleTime;
import copperbeam.routing.RequestLog;
import java.net.InetSocketAddress;
import java.nio.channels.SelectableChannel;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** Connects to servers and speaks the platform's protocol with them: attempts, probes and releases of read states. */
public final class ServerConnector implements Connector {
    private static final String[] FORWARDED_HEADERS = {
        "X-Tenant-Id", "X-Route-Key", "X-Attrs", "X-Retried", "Idempotency-Key", "Content-Type", "Accept"
    };

    /** How long after its timeout a connect is ended that its caller hasn't given up: longer than a reactor is late. */
    private static final Duration MAX_REACTOR_DELAY = Duration.ofMillis(500);

    private final ClientReactor reactor;
    private final DescriptorBudget descriptorBudget;
    private final RequestLog requestLog = new RequestLog(ModuleTime.steadyClock());

    public ServerConnector(ClientReactor reactor) {
        this(reactor, DescriptorBudget.unlimited());
    }

    /** If the budget of file descriptors is used up, connects fail at once, as they would without any descriptor left. */
    public ServerConnector(ClientReactor reactor, DescriptorBudget descriptorBudget) {
        this.reactor = reactor;
        this.descriptorBudget = descriptorBudget;
    }

    @Override
    public void connect(InetSocketAddress address, Duration timeout, ConnectionListener listener) {
        if (!descriptorBudget.mayConnectToServer()) {
            listener.connectFailed();
            return;
        }
        reactor.connect(address, timeout.plus(MAX_REACTOR_DELAY), new ClientReactor.SessionListener() {
            private final AtomicBoolean outcomeReported = new AtomicBoolean();
            private volatile ServerConnection connection;

            @Override
            public void opened(IOSession session) {
                if (outcomeReported.compareAndSet(false, true)) {
                    connection = new ServerConnection(session, address, requestLog);
                    listener.connected(connection);
                }
            }

            @Override
            public void closed() {
                if (outcomeReported.compareAndSet(false, true)) {
                    listener.connectFailed();
                } else if (connection != null) {
                    listener.closed(connection);
                }
            }
        });
    }

    @Override
    public void afterConnects(Runnable then) {
        reactor.afterConnects(then);
    }

    private static final class ServerConnection implements Connection {
        private final IOSession session;
        private final HttpHost host;
        private final RequestLog requestLog;
        private volatile ClientExchange exchange;

        ServerConnection(IOSession session, InetSocketAddress address, RequestLog requestLog) {
            this.session = session;
            this.requestLog = requestLog;
            host = ClientReactor.httpHost(address);
        }

        @Override
        public boolean isOpen() {
            return session.isOpen();
        }

        @Override
        public void call(Call call, CallListener listener) {
            ClientExchange next = newExchange(call, listener);
            exchange = next;
            ClientReactor.execute(session, next);
        }

        @Override
        public void sendLastByte() {
            ClientExchange current = exchange;
            if (current != null) {
                current.sendLastByte();
            }
        }

        @Override
        public void grant(int bytes) {
            ClientExchange current = exchange;
            if (current != null) {
                current.grantTaken(bytes + AttemptExchange.EVENT_OVERHEAD_BYTES);
            }
        }

        @Override
        public Duration inputSilence() {
            ClientExchange current = exchange;
            return current == null ? Connection.super.inputSilence() : current.inputSilence();
        }

        @Override
        public Duration withoutProgress() {
            ClientExchange current = exchange;
            return current == null ? Duration.ZERO : current.withoutProgress();
        }

        @Override
        public void readOut(Runnable then) {
            ClientReactor.runAfterReading(session, then);
        }

        @Override
        public void callEnded() {
            exchange = null;
        }

        @Override
        public void close() {
            session.close(CloseMode.GRACEFUL);
        }

        @Override
        public void abort() {
            session.close(CloseMode.IMMEDIATE);
        }

        /**
         * The JDK closes the socket of a registered channel, which sends the reset, only when the selector next deregisters
         * the channel.
         */
        @Override
        public boolean released() {
            return !((SelectableChannel) ((ProtocolIOSession) session).channel()).isRegistered();
        }

        private ClientExchange newExchange(Call call, CallListener listener) {
            if (call instanceof AttemptCall attemptCall) {
                return newAttempt(attemptCall, listener);
            }
            return call instanceof ReleaseCall releaseCall
                    ? new ShortExchange(newRequest("DELETE", "/state/" + releaseCall.requestId()), listener, false)
                    : new ShortExchange(newRequest("GET", "/load"), listener, true);
        }

        private HttpRequest newRequest(String method, String target) {
            BasicHttpRequest request = new BasicHttpRequest(method, host, target);
            return request;
        }

        private ClientExchange newAttempt(AttemptCall attemptCall, CallListener listener) {
            HttpCall call = (HttpCall) attemptCall.spec().payload();
            HttpRequest request = newRequest(call.method(), call.target());
            for (String name : FORWARDED_HEADERS) {
                String value = call.header(name.toLowerCase(java.util.Locale.ROOT));
                if (value != null) {
                    request.setHeader(name, value);
                }
            }
            request.setHeader("X-Request-ID", attemptCall.spec().id());
            request.setHeader("X-Priority-Class", attemptCall.spec().requestClass());
            return new AttemptExchange(request, call.content(), attemptCall, listener, requestLog);
        }
    }
}

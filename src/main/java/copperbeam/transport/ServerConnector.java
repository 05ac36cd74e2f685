package copperbeam.transport;

import copperbeam.Api.Report;
import copperbeam.protocol.EventSplitter;
import copperbeam.protocol.HttpCall;
import copperbeam.protocol.platform.PlatformHeaders;
import copperbeam.protocol.platform.PlatformStatus;
import copperbeam.routing.Connector;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** Connects to servers and speaks the platform's protocol with them: attempts, probes and releases of read states. */
public final class ServerConnector implements Connector {
    private static final String[] PASSED = {
        "X-Tenant-Id", "X-Route-Key", "X-Attrs", "X-Retried", "Idempotency-Key", "Content-Type", "Accept"
    };

    /**
     * By how much the X-Timeout in a request's head may exceed the time left when its last byte is due to be sent. Beyond
     * this, the last byte is not sent, and the server doesn't run the request.
     */
    private static final Duration MOST_TOLD_TOO_MUCH = Duration.ofMillis(100);

    private final ClientReactor reactor;
    private final DescriptorBudget descriptors;

    public ServerConnector(ClientReactor reactor) {
        this(reactor, DescriptorBudget.unlimited());
    }

    /** If the budget of file descriptors is used up, connects fail at once, as they would without any descriptor left. */
    public ServerConnector(ClientReactor reactor, DescriptorBudget descriptors) {
        this.reactor = reactor;
        this.descriptors = descriptors;
    }

    @Override
    public void connect(InetSocketAddress to, Duration timeout, Watcher watcher) {
        if (!descriptors.connects()) {
            watcher.failed();
            return;
        }
        reactor.connect(to, timeout, new ClientReactor.Life() {
            private final AtomicBoolean told = new AtomicBoolean();
            private volatile ServerConnection connection;

            @Override
            public void up(IOSession session) {
                if (told.compareAndSet(false, true)) {
                    connection = new ServerConnection(session, to);
                    watcher.up(connection);
                }
            }

            @Override
            public void down() {
                if (told.compareAndSet(false, true)) {
                    watcher.failed();
                } else if (connection != null) {
                    watcher.closed(connection);
                }
            }
        });
    }

    private static final class ServerConnection implements Connection {
        private final IOSession session;
        private final HttpHost host;
        private volatile ClientExchange exchange;

        ServerConnection(IOSession session, InetSocketAddress to) {
            this.session = session;
            host = ClientReactor.host(to);
        }

        @Override
        public boolean isOpen() {
            return session.isOpen();
        }

        @Override
        public void call(Call call, Listener listener) {
            ClientExchange next = exchange(call, listener);
            exchange = next;
            ClientReactor.execute(session, next);
        }

        @Override
        public void let() {
            ClientExchange current = exchange;
            if (current != null) {
                current.let();
            }
        }

        @Override
        public void grant(int bytes) {
            ClientExchange current = exchange;
            if (current != null) {
                current.grant(bytes);
            }
        }

        @Override
        public boolean heldBack() {
            ClientExchange current = exchange;
            return current != null && current.windowUsed();
        }

        @Override
        public void readOut(Runnable read) {
            ClientReactor.readOut(session, read);
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

        private ClientExchange exchange(Call call, Listener listener) {
            if (call instanceof AttemptCall a) {
                return attempt(a, listener);
            }
            return call instanceof ReleaseCall r
                    ? new ShortExchange(request("DELETE", "/state/" + r.id()), listener, false)
                    : new ShortExchange(request("GET", "/load"), listener, true);
        }

        private HttpRequest request(String method, String target) {
            BasicHttpRequest request = new BasicHttpRequest(method, host, target);
            return request;
        }

        private ClientExchange attempt(AttemptCall a, Listener listener) {
            HttpCall call = (HttpCall) a.ask().payload();
            HttpRequest request = request(call.method(), call.target());
            for (String name : PASSED) {
                String value = call.header(name.toLowerCase(java.util.Locale.ROOT));
                if (value != null) {
                    request.setHeader(name, value);
                }
            }
            request.setHeader("X-Request-ID", a.ask().id());
            request.setHeader("X-Priority-Class", a.ask().requestClass());
            return new AttemptExchange(request, call.body(), a, listener);
        }
    }

    private static String value(HttpResponse response, String name) {
        Header header = response.getFirstHeader(name);
        return header == null ? null : header.getValue();
    }

    private static final class AttemptExchange extends ClientExchange {
        private final Listener listener;
        private final AttemptCall call;
        private final EventSplitter events = new EventSplitter();
        private Duration patienceTold = Duration.ZERO;
        private boolean stream;
        private Word word;

        AttemptExchange(HttpRequest request, byte[] body, AttemptCall call, Listener listener) {
            super(request, body, call.hold());
            this.call = call;
            this.listener = listener;
        }

        @Override
        boolean mayBegin() {
            return call.mayBegin().getAsBoolean();
        }

        /** Sets X-Timeout as late as possible, since the call may have waited for the reactor's thread. */
        @Override
        void leaves(HttpRequest head) {
            patienceTold = call.patience().get();
            head.setHeader("X-Timeout", PlatformHeaders.timeout(patienceTold));
        }

        /** False also if the body is sent so late that the X-Timeout in the head overstates the time left. */
        @Override
        boolean wanted() {
            Duration passed = patienceTold.minus(call.patience().get());
            return call.wanted().getAsBoolean() && passed.compareTo(MOST_TOLD_TOO_MUCH) <= 0;
        }

        @Override
        void head(HttpResponse response) throws HttpException {
            word = PlatformStatus.attempt(
                    call.reads(), response.getCode(), "1".equals(value(response, "X-Not-Processed")));
            stream = word == Word.STREAM;
            if (stream && !response.containsHeader("Transfer-Encoding") && !response.containsHeader("Content-Length")) {
                throw new ProtocolException("stream with neither Transfer-Encoding nor Content-Length");
            }
            listener.word(word, PlatformHeaders.report(value(response, "X-Server-Load")));
        }

        @Override
        void data(ByteBuffer bytes) throws IOException {
            if (!stream) {
                gather(bytes);
            } else if (!events.take(bytes, listener::event)) {
                throw new IOException("not a stream of server-sent events");
            }
        }

        @Override
        void whole(boolean reusable) {
            if (stream && !events.end(listener::event)) {
                listener.broken(true);
            } else {
                listener.end(reusable, word == Word.READ ? PlatformStatus.keptTokens(gathered()) : Double.NaN);
            }
        }

        @Override
        void broken(boolean mayHaveRun) {
            listener.broken(mayHaveRun);
        }

        @Override
        void held() {
            listener.held();
        }

        @Override
        void sent() {
            listener.sent();
        }
    }

    /** A probe or a release. */
    private static final class ShortExchange extends ClientExchange {
        private final Listener listener;
        private final boolean probe;
        private Word word;
        private Report report;

        ShortExchange(HttpRequest request, Listener listener, boolean probe) {
            super(request, null);
            this.listener = listener;
            this.probe = probe;
        }

        @Override
        void head(HttpResponse response) {
            int status = response.getCode();
            word = probe ? PlatformStatus.probe(status) : PlatformStatus.release(status);
            report = PlatformHeaders.report(value(response, "X-Server-Load"));
        }

        @Override
        void data(ByteBuffer bytes) {
            gather(bytes);
        }

        @Override
        void whole(boolean reusable) {
            if (probe && word == Word.HEARD) {
                Report told = PlatformHeaders.report(
                        gathered().replaceFirst("(?i)^\\s*X-Server-Load:", "").strip());
                report = told == null ? report : told;
            }
            listener.word(word, report);
            listener.end(reusable, Double.NaN);
        }

        @Override
        void broken(boolean mayHaveRun) {
            listener.broken(mayHaveRun);
        }
    }
}

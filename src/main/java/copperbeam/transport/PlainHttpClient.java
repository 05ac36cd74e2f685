package copperbeam.transport;

import copperbeam.protocol.HttpClient;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/** Makes HTTP calls to services other than the servers; keeps one idle connection per address. */
public final class PlainHttpClient implements HttpClient {
    private final ClientReactor reactor;
    private final ConcurrentHashMap<InetSocketAddress, IOSession> idleConnections = new ConcurrentHashMap<>();

    public PlainHttpClient(ClientReactor reactor) {
        this.reactor = reactor;
    }

    private final class Call {
        final InetSocketAddress address;
        final Timeouts timeouts;
        final ResponseListener response;
        final AtomicBoolean ended = new AtomicBoolean();
        final AtomicReference<IOSession> session = new AtomicReference<>();

        Call(InetSocketAddress address, Timeouts timeouts, ResponseListener response) {
            this.address = address;
            this.timeouts = timeouts;
            this.response = response;
        }

        void fail(String reason) {
            if (ended.compareAndSet(false, true)) {
                response.failed(reason);
            }
        }

        /** Cancels the call. Does nothing if it has ended, as its connection may already carry the next call. */
        void cancel() {
            IOSession current = ended.getAndSet(true) ? null : session.get();
            if (current != null) {
                current.close(CloseMode.IMMEDIATE);
            }
        }
    }

    @Override
    public Runnable send(
            InetSocketAddress address,
            String method,
            String target,
            byte[] body,
            Timeouts timeouts,
            ResponseListener response) {
        Call call = new Call(address, timeouts, response);
        IOSession idle = idleConnections.remove(address);
        if (idle != null && idle.isOpen()) {
            execute(call, idle, method, target, body, true);
        } else {
            connect(call, method, target, body);
        }
        return call::cancel;
    }

    private void connect(Call call, String method, String target, byte[] body) {
        reactor.connect(call.address, call.timeouts.connectTimeout(), new ClientReactor.SessionListener() {
            private final AtomicBoolean wasOpened = new AtomicBoolean();

            @Override
            public void opened(IOSession session) {
                wasOpened.set(true);
                execute(call, session, method, target, body, false);
            }

            @Override
            public ResponseLimits limits() {
                return ResponseLimits.ofService(call.timeouts.silenceTimeout());
            }

            @Override
            public void closed() {
                if (!wasOpened.get()) {
                    call.fail("no connection");
                }
            }
        });
    }

    private void execute(Call call, IOSession session, String method, String target, byte[] body, boolean reused) {
        call.session.set(session);
        if (call.ended.get()) {
            session.close(CloseMode.IMMEDIATE);
            return;
        }
        session.setSocketTimeout(Timeout.of(call.timeouts.silenceTimeout()));
        BasicHttpRequest request = new BasicHttpRequest(method, ClientReactor.httpHost(call.address), target);
        if (body != null) {
            request.setHeader("Content-Type", ContentType.APPLICATION_JSON.getMimeType());
        }
        ClientReactor.execute(session, new ClientExchange(request, body) {
            @Override
            void head(HttpResponse responseHead) {
                call.response.head(responseHead.getCode());
            }

            @Override
            void data(ByteBuffer bytes) throws IOException {
                byte[] copy = new byte[bytes.remaining()];
                bytes.get(copy);
                grant(copy.length);
                call.response.data(copy);
            }

            @Override
            void completed(boolean reusable) {
                boolean endedHere =
                        call.ended.compareAndSet(false, true); // false: cancelled, which closed the connection
                idleConnections.values().removeIf(s -> !s.isOpen());
                IOSession toClose = reusable && endedHere ? idleConnections.put(call.address, session) : session;
                if (toClose != null && (toClose != session || !reusable || !endedHere)) {
                    toClose.close(CloseMode.GRACEFUL);
                }
                if (endedHere) {
                    call.response.end();
                }
            }

            @Override
            void broken(boolean mayHaveRun) {
                if (reused && !mayHaveRun && !call.ended.get()) {
                    connect(call, method, target, body);
                } else {
                    call.fail(
                            cause() == null
                                    ? "the connection closed before the response was complete"
                                    : cause().toString());
                }
            }
        });
    }
}

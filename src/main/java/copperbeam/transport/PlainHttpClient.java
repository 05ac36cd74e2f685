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
    private final ConcurrentHashMap<InetSocketAddress, IOSession> kept = new ConcurrentHashMap<>();

    public PlainHttpClient(ClientReactor reactor) {
        this.reactor = reactor;
    }

    private final class Call {
        final InetSocketAddress to;
        final Patience patience;
        final Response response;
        final AtomicBoolean over = new AtomicBoolean();
        final AtomicReference<IOSession> session = new AtomicReference<>();

        Call(InetSocketAddress to, Patience patience, Response response) {
            this.to = to;
            this.patience = patience;
            this.response = response;
        }

        void fail(String why) {
            if (over.compareAndSet(false, true)) {
                response.failed(why);
            }
        }

        /** Cancels the call. Does nothing if it has ended, as its connection may already carry the next call. */
        void stop() {
            IOSession current = over.getAndSet(true) ? null : session.get();
            if (current != null) {
                current.close(CloseMode.IMMEDIATE);
            }
        }
    }

    @Override
    public Runnable send(
            InetSocketAddress to, String method, String target, byte[] body, Patience patience, Response response) {
        Call call = new Call(to, patience, response);
        IOSession idle = kept.remove(to);
        if (idle != null && idle.isOpen()) {
            run(call, idle, method, target, body, true);
        } else {
            connect(call, method, target, body);
        }
        return call::stop;
    }

    private void connect(Call call, String method, String target, byte[] body) {
        reactor.connect(call.to, call.patience.connect(), new ClientReactor.Life() {
            private final AtomicBoolean was = new AtomicBoolean();

            @Override
            public void up(IOSession session) {
                was.set(true);
                run(call, session, method, target, body, false);
            }

            @Override
            public void down() {
                if (!was.get()) {
                    call.fail("no connection");
                }
            }
        });
    }

    private void run(Call call, IOSession session, String method, String target, byte[] body, boolean reused) {
        call.session.set(session);
        if (call.over.get()) {
            session.close(CloseMode.IMMEDIATE);
            return;
        }
        session.setSocketTimeout(Timeout.of(call.patience.silence()));
        BasicHttpRequest request = new BasicHttpRequest(method, ClientReactor.host(call.to), target);
        if (body != null) {
            request.setHeader("Content-Type", ContentType.APPLICATION_JSON.getMimeType());
        }
        ClientReactor.execute(session, new ClientExchange(request, body) {
            @Override
            void head(HttpResponse answer) {
                call.response.head(answer.getCode());
            }

            @Override
            void data(ByteBuffer bytes) throws IOException {
                byte[] copy = new byte[bytes.remaining()];
                bytes.get(copy);
                grant(copy.length);
                call.response.data(copy);
            }

            @Override
            void whole(boolean reusable) {
                boolean ends = call.over.compareAndSet(false, true); // false: cancelled, which closed the connection
                kept.values().removeIf(s -> !s.isOpen());
                IOSession other = reusable && ends ? kept.put(call.to, session) : session;
                if (other != null && (other != session || !reusable || !ends)) {
                    other.close(CloseMode.GRACEFUL);
                }
                if (ends) {
                    call.response.end();
                }
            }

            @Override
            void broken(boolean mayHaveRun) {
                if (reused && !mayHaveRun && !call.over.get()) {
                    connect(call, method, target, body);
                } else {
                    call.fail(cause() == null ? "the connection closed before the response was complete" : cause().toString());
                }
            }
        });
    }
}

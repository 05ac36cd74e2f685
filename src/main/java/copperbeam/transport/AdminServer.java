package copperbeam.transport;

import copperbeam.routing.FailureLog;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The listener for operators: a caller sends a command of one line and gets a text in return. Runs on one thread of its
 * own, with limits on callers, bytes and time: a silent caller is disconnected after {@code CALL_TIMEOUT}, or earlier
 * when the limit on callers is reached.
 */
public final class AdminServer implements AutoCloseable {
    /** Called with each line, on the listener's thread; {@code reply} may be called from any thread, once. */
    public interface CommandHandler {
        void call(String line, Consumer<String> reply);
    }

    static final int MAX_CALLERS = 64;
    static final int MAX_LINE_BYTES = 256;
    static final Duration CALL_TIMEOUT = Duration.ofSeconds(6); // from a caller's connect until its reply is written
    private static final Duration SELECT_TIMEOUT = Duration.ofMillis(250);
    private static final Duration RETRY_DELAY = Duration.ofMillis(20); // after a failure, before the next attempt
    private static final Logger LOG = Logger.getLogger(AdminServer.class.getName());

    private static final class Caller {
        final SocketChannel channel;
        final SelectionKey key;
        final Instant connectedAt;
        final ByteBuffer line = ByteBuffer.allocate(MAX_LINE_BYTES);
        boolean commandSent; // its line is with the handler
        ByteBuffer reply;

        Caller(SocketChannel channel, Selector selector, Instant connectedAt) throws IOException {
            this.channel = channel;
            this.connectedAt = connectedAt;
            channel.configureBlocking(false);
            key = channel.register(selector, SelectionKey.OP_READ, this);
        }
    }

    private record Reply(Caller caller, String text) {}

    private final Clock clock;
    private final CommandHandler handler;
    private final Selector selector;
    private final ServerSocketChannel listener;
    private final InetSocketAddress address;
    private final Queue<Reply> replies = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean closed;
    private boolean acceptFailureLogged; // the last accept failed, and this was logged

    /** Binds the address and starts the listener's thread. */
    public AdminServer(InetSocketAddress bindAddress, Clock clock, CommandHandler handler) throws IOException {
        this.clock = clock;
        this.handler = handler;
        selector = Selector.open();
        listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(bindAddress, 512);
            address = (InetSocketAddress) listener.getLocalAddress();
            listener.configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException e) {
            listener.close();
            selector.close();
            throw new IOException("control: cannot listen on " + bindAddress + ": " + e.getMessage(), e);
        }
        thread = new Thread(this::run, "door");
        thread.setDaemon(true);
        thread.start();
    }

    public InetSocketAddress address() {
        return address;
    }

    private void run() {
        while (!closed) {
            try {
                selector.select(SELECT_TIMEOUT.toMillis());
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.attachment() instanceof Caller caller) {
                        serve(caller);
                    } else {
                        accept();
                    }
                }
                selector.selectedKeys().clear();
                for (Reply reply = replies.poll(); reply != null; reply = replies.poll()) {
                    reply.caller().reply = StandardCharsets.UTF_8.encode(reply.text());
                    serve(reply.caller());
                }
                disconnectOlder(clock.instant().minus(CALL_TIMEOUT));
            } catch (IOException | RuntimeException | Error e) {
                // neither a faulty call nor an Error (which the JVM throws when out of descriptors) may end the
                // listener for all other callers
                if (!closed) {
                    FailureLog.log(LOG, Level.WARNING, () -> "the admin listener continues after a failure", e);
                    pause();
                }
            }
        }
    }

    private void accept() {
        try {
            for (SocketChannel next = listener.accept(); next != null; next = listener.accept()) {
                if (selector.keys().size() > MAX_CALLERS) {
                    selector.keys().stream()
                            .map(SelectionKey::attachment)
                            .filter(Caller.class::isInstance)
                            .map(Caller.class::cast)
                            .filter(c -> !c.commandSent)
                            .min(Comparator.comparing(c -> c.connectedAt))
                            .ifPresent(AdminServer::disconnect);
                }
                next.setOption(StandardSocketOptions.TCP_NODELAY, true);
                new Caller(next, selector, clock.instant());
            }
            acceptFailureLogged = false;
        } catch (IOException e) {
            if (!acceptFailureLogged) {
                acceptFailureLogged = true;
                LOG.warning("the admin listener could not accept a caller: " + e);
            }
            disconnectOlder(clock.instant().minus(CALL_TIMEOUT.dividedBy(2))); // the process may be out of descriptors
            pause();
        }
    }

    /** Avoids a busy loop: a connection that could not be accepted makes the next select return at once. */
    private static void pause() {
        try {
            Thread.sleep(RETRY_DELAY.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Caller caller) {
        try {
            // a key stays marked as readable from its last select: without the check the command would run again when
            // its reply comes, and undo what was since set through another process
            if (!caller.commandSent && caller.key.isValid() && caller.key.isReadable()) {
                read(caller);
            }
            if (caller.reply != null) {
                caller.channel.write(caller.reply);
                if (caller.reply.hasRemaining()) {
                    caller.key.interestOps(SelectionKey.OP_WRITE);
                } else {
                    disconnect(caller);
                }
            }
        } catch (IOException | RuntimeException e) {
            disconnect(caller); // the caller has disconnected
        }
    }

    private void read(Caller caller) throws IOException {
        int count = caller.channel.read(caller.line);
        int lineLength = 0;
        while (lineLength < caller.line.position() && caller.line.get(lineLength) != '\n') {
            lineLength++;
        }
        if (lineLength < caller.line.position()) {
            caller.commandSent = true;
            caller.key.interestOps(0);
            handler.call(new String(caller.line.array(), 0, lineLength, StandardCharsets.UTF_8).strip(), text -> {
                replies.add(new Reply(caller, text));
                selector.wakeup();
            });
        } else if (count < 0 || !caller.line.hasRemaining()) {
            disconnect(caller);
        }
    }

    private void disconnectOlder(Instant connectedBefore) {
        for (SelectionKey key : selector.keys()) {
            if (key.attachment() instanceof Caller caller && caller.connectedAt.isBefore(connectedBefore)) {
                disconnect(caller);
            }
        }
    }

    private static void disconnect(Caller caller) {
        caller.key.cancel();
        try {
            caller.channel.close();
        } catch (IOException e) {
            LOG.finest("closing a caller's connection failed");
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        listener.close();
        selector.close();
    }
}

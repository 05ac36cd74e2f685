package copperbeam.transport;

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

    static final int MOST_CALLERS = 64;
    static final int MOST_LINE = 256;
    static final Duration PATIENCE = Duration.ofSeconds(6); // from a caller's connect until its reply is written
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration AGAIN = Duration.ofMillis(20); // after a failure, before the next attempt
    private static final Logger LOG = Logger.getLogger(AdminServer.class.getName());

    private static final class Caller {
        final SocketChannel channel;
        final SelectionKey key;
        final Instant since;
        final ByteBuffer line = ByteBuffer.allocate(MOST_LINE);
        boolean called; // its line is with the handler
        ByteBuffer answer;

        Caller(SocketChannel channel, Selector selector, Instant since) throws IOException {
            this.channel = channel;
            this.since = since;
            channel.configureBlocking(false);
            key = channel.register(selector, SelectionKey.OP_READ, this);
        }
    }

    private record Reply(Caller to, String text) {}

    private final Clock clock;
    private final CommandHandler handler;
    private final Selector selector;
    private final ServerSocketChannel listener;
    private final InetSocketAddress address;
    private final Queue<Reply> replies = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean closed;
    private boolean refused; // the last accept failed, and this was logged

    /** Binds the address and starts the listener's thread. */
    public AdminServer(InetSocketAddress at, Clock clock, CommandHandler handler) throws IOException {
        this.clock = clock;
        this.handler = handler;
        selector = Selector.open();
        listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(at, 512);
            address = (InetSocketAddress) listener.getLocalAddress();
            listener.configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException e) {
            listener.close();
            selector.close();
            throw new IOException("control: cannot listen on " + at + ": " + e.getMessage(), e);
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
                selector.select(TICK.toMillis());
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.attachment() instanceof Caller c) {
                        turn(c);
                    } else {
                        accept();
                    }
                }
                selector.selectedKeys().clear();
                for (Reply r = replies.poll(); r != null; r = replies.poll()) {
                    r.to().answer = StandardCharsets.UTF_8.encode(r.text());
                    turn(r.to());
                }
                dismiss(clock.instant().minus(PATIENCE));
            } catch (IOException | RuntimeException | Error e) {
                // neither a faulty call nor an Error (which the JVM throws when out of descriptors) may end the listener
                // for all other callers
                if (!closed) {
                    LOG.log(Level.WARNING, "the admin listener continues after a failure", e);
                    pause();
                }
            }
        }
    }

    private void accept() {
        try {
            for (SocketChannel next = listener.accept(); next != null; next = listener.accept()) {
                if (selector.keys().size() > MOST_CALLERS) {
                    selector.keys().stream()
                            .map(SelectionKey::attachment)
                            .filter(Caller.class::isInstance)
                            .map(Caller.class::cast)
                            .filter(c -> !c.called)
                            .min(Comparator.comparing(c -> c.since))
                            .ifPresent(AdminServer::end);
                }
                next.setOption(StandardSocketOptions.TCP_NODELAY, true);
                new Caller(next, selector, clock.instant());
            }
            refused = false;
        } catch (IOException e) {
            if (!refused) {
                refused = true;
                LOG.warning("the admin listener could not accept a caller: " + e);
            }
            dismiss(clock.instant().minus(PATIENCE.dividedBy(2))); // the process may be out of descriptors
            pause();
        }
    }

    /** Avoids a busy loop: a connection that could not be accepted makes the next select return at once. */
    private static void pause() {
        try {
            Thread.sleep(AGAIN.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void turn(Caller c) {
        try {
            // a key stays marked as readable from its last select: without the check the command would run again when its
            // reply comes, and undo what was since set through another process
            if (!c.called && c.key.isValid() && c.key.isReadable()) {
                read(c);
            }
            if (c.answer != null) {
                c.channel.write(c.answer);
                if (c.answer.hasRemaining()) {
                    c.key.interestOps(SelectionKey.OP_WRITE);
                } else {
                    end(c);
                }
            }
        } catch (IOException | RuntimeException e) {
            end(c); // the caller has disconnected
        }
    }

    private void read(Caller c) throws IOException {
        int count = c.channel.read(c.line);
        int end = 0;
        while (end < c.line.position() && c.line.get(end) != '\n') {
            end++;
        }
        if (end < c.line.position()) {
            c.called = true;
            c.key.interestOps(0);
            handler.call(new String(c.line.array(), 0, end, StandardCharsets.UTF_8).strip(), text -> {
                replies.add(new Reply(c, text));
                selector.wakeup();
            });
        } else if (count < 0 || !c.line.hasRemaining()) {
            end(c);
        }
    }

    private void dismiss(Instant before) {
        for (SelectionKey key : selector.keys()) {
            if (key.attachment() instanceof Caller c && c.since.isBefore(before)) {
                end(c);
            }
        }
    }

    private static void end(Caller c) {
        c.key.cancel();
        try {
            c.channel.close();
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

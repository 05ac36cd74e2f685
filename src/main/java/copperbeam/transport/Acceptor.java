package copperbeam.transport;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;

/**
 * Takes connections at one address, on a thread of its own, and hands them to HttpCore's reactor. HttpCore's own
 * listener can't share an address between processes, ends for good when one connection can't be taken, and closes
 * with connections unread in the kernel's queue, which resets them; this one takes what is there before it closes.
 */
final class Acceptor {
    private static final Logger LOG = Logger.getLogger(Acceptor.class.getName());
    private static final int BACKLOG = 512;
    private static final Duration TICK = Duration.ofMillis(200);
    private static final Duration SOON = Duration.ofMillis(1); // for the taker to take some
    private static final Duration AGAIN = Duration.ofMillis(20); // after a connection that could not be taken

    private final ServerSocketChannel listener;
    private final Selector selector;
    private final InetSocketAddress address;
    private final BooleanSupplier takes;
    private final Taker taker;
    private final ListenQueueAge queueAge;
    private volatile boolean closing;
    private volatile boolean abandoned;
    private volatile boolean ended;

    /** Who serves the connections. */
    interface Taker {
        /** {@code queuedSince}: the connection may have waited in the kernel's queue from then on, with a request sent. */
        void take(SocketChannel channel, Instant queuedSince);
    }

    /**
     * {@code shared}: another process may listen at the same address beside this one; {@code takes}: whether the taker
     * can take one more, else clients wait in the kernel's queue.
     */
    Acceptor(InetSocketAddress at, boolean shared, Clock clock, BooleanSupplier takes, Taker taker) throws IOException {
        this.takes = takes;
        this.taker = taker;
        listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (shared) {
                share();
            }
            listener.bind(at, BACKLOG);
            listener.configureBlocking(false);
            address = (InetSocketAddress) listener.getLocalAddress();
            queueAge = new ListenQueueAge(address, clock);
            selector = Selector.open();
            listener.register(selector, SelectionKey.OP_ACCEPT);
        } catch (IOException e) {
            listener.close();
            throw e;
        }
        Thread thread = new Thread(this::run, "accept");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * The JDK asks the system once, as its first socket is made, whether an address can be shared, and a call that failed then counts
     * as no for the process's life. Alone at the address this one serves all the same; beside another it is told that it is taken.
     */
    private void share() throws IOException {
        if (listener.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            listener.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        } else {
            LOG.warning(
                    "the system did not say at the start that an address can be shared: this process listens alone");
        }
    }

    InetSocketAddress address() {
        return address;
    }

    /** What the kernel has taken by now is still handed on; then the address is given up. */
    void close() {
        closing = true;
        selector.wakeup();
    }

    /** The address is given up at once: who would take what the kernel still has takes nothing any more. */
    void abandon() {
        abandoned = true;
        close();
    }

    /** Whether the address is to be given up. */
    boolean closing() {
        return closing;
    }

    /** Whether the address is given up. */
    boolean ended() {
        return ended;
    }

    private void run() {
        boolean left = true;
        int missed = 0;
        while (selector.isOpen() || left && !abandoned) {
            try {
                if (closing) {
                    selector.close(); // before the listener, which the kernel else deals connections to after its close
                } else {
                    selector.select(TICK.toMillis());
                    selector.selectedKeys().clear();
                }
                queueAge.filled();
                left = take();
                if (missed > 0 && !left) {
                    LOG.warning("no connection could be taken, tried " + missed + " times");
                    missed = 0;
                }
            } catch (IOException e) {
                // no descriptor is left for a moment: clients wait in the kernel's queue, and nothing is said of it
                // before one is free, as the log itself may want one
                missed++;
                pause(AGAIN);
            } catch (RuntimeException | Error e) { // would end the thread, and nobody be taken any more
                LOG.log(Level.SEVERE, "a connection could not be taken", e);
                pause(AGAIN);
            }
        }
        queueAge.close();
        try {
            listener.close();
        } catch (IOException e) {
            LOG.fine(() -> "the listener's end: " + e);
        }
        ended = true;
    }

    /** Whether some may be left that could not be taken. */
    private boolean take() throws IOException {
        while (takes.getAsBoolean()) {
            SocketChannel next = listener.accept();
            if (next == null) {
                queueAge.emptied();
                return false;
            }
            if (!queueAge.takeMarker(next)) {
                taker.take(next, queueAge.waitingSince());
            }
            mark();
        }
        mark();
        pause(SOON);
        return true;
    }

    private void mark() {
        if (!closing) {
            queueAge.mark();
        }
    }

    private void pause(Duration span) {
        try {
            Thread.sleep(span.toMillis());
        } catch (InterruptedException e) {
            closing = true;
        }
    }

    /** The way into HttpCore's reactor for connections that it has not taken itself; HttpCore has no public one. */
    static final class Entrance {
        private static final Constructor<?> ENTRY;
        private static final Method ENQUEUE;

        static {
            try {
                Class<?> entry = Class.forName("org.apache.hc.core5.reactor.ChannelEntry");
                ENTRY = entry.getDeclaredConstructor(SocketChannel.class, Object.class);
                ENTRY.setAccessible(true);
                ENQUEUE = DefaultListeningIOReactor.class.getDeclaredMethod("enqueueChannel", entry);
                ENQUEUE.setAccessible(true);
            } catch (ReflectiveOperationException e) {
                throw new ExceptionInInitializerError(e);
            }
        }

        private Entrance() {}

        /** False where the reactor takes none any more; the connection is closed then. The instant is its attachment. */
        static boolean enter(DefaultListeningIOReactor reactor, SocketChannel channel, Instant queuedSince) {
            try {
                channel.configureBlocking(false);
                ENQUEUE.invoke(reactor, ENTRY.newInstance(channel, queuedSince));
                return true;
            } catch (ReflectiveOperationException | IOException e) {
                LOG.warning("a connection could not be handed on: " + e);
                try {
                    channel.close();
                } catch (IOException closed) {
                    LOG.finest("it was closed");
                }
                return false;
            }
        }
    }
}

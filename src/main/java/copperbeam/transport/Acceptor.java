package copperbeam.transport;

import copperbeam.routing.FailureLog;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.net.InetSocketAddress;
import java.net.SocketOption;
import java.net.StandardSocketOptions;
import java.nio.channels.NetworkChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import java.util.logging.Logger;
import org.apache.hc.core5.reactor.DefaultListeningIOReactor;

/**
 * Accepts connections at one address, on a thread of its own, and hands them to HttpCore's reactor. HttpCore's own
 * listener can't share an address between processes, ends for good when one accept fails, and closes with connections
 * still in the kernel's listen queue, which resets them; this class accepts those first.
 */
final class Acceptor {
    private static final Logger LOG = Logger.getLogger(Acceptor.class.getName());
    private static final int BACKLOG = 512;
    /** Size of the kernel's buffers of a client's connection, which otherwise grow to several MiB where a side is slow. */
    private static final int KERNEL_BUFFER_BYTES = 64 * 1024;

    private static final Duration SELECT_TIMEOUT = Duration.ofMillis(200);
    private static final Duration CAPACITY_RETRY_DELAY = Duration.ofMillis(1); // while no connection may be accepted
    private static final Duration FAILURE_RETRY_DELAY = Duration.ofMillis(20); // after a failed accept

    private final ServerSocketChannel listener;
    private final Selector selector;
    private final InetSocketAddress address;
    private final BooleanSupplier mayAccept;
    private final Receiver receiver;
    private final ListenQueueAge queueAge;
    private volatile boolean closing;
    private volatile boolean abandoned;
    private volatile boolean closed;

    /** Receives the accepted connections. */
    interface Receiver {
        /** {@code queuedSince}: the earliest time from which the connection and its request may have waited in the kernel's queue. */
        void receive(SocketChannel channel, Instant queuedSince);
    }

    /**
     * {@code shared}: another process may listen at the same address; {@code mayAccept}: whether one more connection may be
     * accepted, otherwise clients wait in the kernel's queue.
     */
    Acceptor(InetSocketAddress bindAddress, boolean shared, Clock clock, BooleanSupplier mayAccept, Receiver receiver)
            throws IOException {
        this.mayAccept = mayAccept;
        this.receiver = receiver;
        listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (shared) {
                enableSharing();
            }
            limitBuffer(listener, StandardSocketOptions.SO_RCVBUF); // accepted connections inherit it
            listener.bind(bindAddress, BACKLOG);
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
     * Sets SO_REUSEPORT. The JDK checks only once, at its first socket, whether the system supports it, and a check that failed
     * counts as "no" for the life of the process. Then this process can still listen alone, but fails to bind beside another one.
     */
    private void enableSharing() throws IOException {
        if (listener.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
            listener.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        } else {
            LOG.warning(
                    "SO_REUSEPORT was not available when this process started: no other process can listen at the address");
        }
    }

    InetSocketAddress address() {
        return address;
    }

    /** Stops listening, once the connections in the kernel's queue are accepted. */
    void close() {
        closing = true;
        selector.wakeup();
    }

    /** Stops listening at once, although connections may be in the kernel's queue; for when the receiver takes no more. */
    void abandon() {
        abandoned = true;
        close();
    }

    /** Whether the listening socket is closed or being closed. */
    boolean isClosing() {
        return closing;
    }

    /** Whether the listening socket is closed. */
    boolean isClosed() {
        return closed;
    }

    private void run() {
        boolean mayHaveMore = true;
        int failures = 0;
        while (selector.isOpen() || mayHaveMore && !abandoned) {
            try {
                if (closing) {
                    selector.close(); // before the listener, whose close takes effect only once it is deregistered
                } else {
                    selector.select(SELECT_TIMEOUT.toMillis());
                    selector.selectedKeys().clear();
                }
                queueAge.queueMayHoldConnections();
                mayHaveMore = acceptQueued();
                if (failures > 0 && !mayHaveMore) {
                    LOG.warning("accepting connections failed " + failures + " times, and works again");
                    failures = 0;
                }
            } catch (IOException e) {
                // probably out of descriptors: clients wait in the kernel's queue, and the failure is logged only once
                // one is free, as logging itself may need one
                failures++;
                pause(FAILURE_RETRY_DELAY);
            } catch (RuntimeException
                    | Error e) { // uncaught, it would end the thread, and no connection would be accepted any more
                FailureLog.severe(LOG, () -> "accepting a connection failed unexpectedly", e);
                pause(FAILURE_RETRY_DELAY);
            }
        }
        queueAge.close();
        try {
            listener.close();
        } catch (IOException e) {
            LOG.fine(() -> "closing the listener failed: " + e);
        }
        closed = true;
    }

    /** Accepts while it may; returns whether connections may be left in the queue. */
    private boolean acceptQueued() throws IOException {
        while (mayAccept.getAsBoolean()) {
            SocketChannel accepted = listener.accept();
            if (accepted == null) {
                queueAge.queueEmptied();
                return false;
            }
            if (!queueAge.takeMarker(accepted)) {
                limitBuffer(accepted, StandardSocketOptions.SO_SNDBUF);
                receiver.receive(accepted, queueAge.waitingSince());
            }
            sendMarkerIfDue();
        }
        sendMarkerIfDue();
        pause(CAPACITY_RETRY_DELAY);
        return true;
    }

    private static void limitBuffer(NetworkChannel channel, SocketOption<Integer> option) {
        try {
            channel.setOption(option, KERNEL_BUFFER_BYTES);
        } catch (IOException e) {
            LOG.fine(() -> "a connection keeps its default " + option + ": " + e);
        }
    }

    private void sendMarkerIfDue() {
        if (!closing) {
            queueAge.sendMarkerIfDue();
        }
    }

    private void pause(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException e) {
            closing = true;
        }
    }

    /** Hands accepted connections to HttpCore's reactor, by reflection as HttpCore has no public method for it. */
    static final class ReactorHandover {
        private static final Constructor<?> ENTRY_CONSTRUCTOR;
        private static final Method ENQUEUE_METHOD;

        static {
            try {
                Class<?> entry = Class.forName("org.apache.hc.core5.reactor.ChannelEntry");
                ENTRY_CONSTRUCTOR = entry.getDeclaredConstructor(SocketChannel.class, Object.class);
                ENTRY_CONSTRUCTOR.setAccessible(true);
                ENQUEUE_METHOD = DefaultListeningIOReactor.class.getDeclaredMethod("enqueueChannel", entry);
                ENQUEUE_METHOD.setAccessible(true);
            } catch (ReflectiveOperationException e) {
                throw new ExceptionInInitializerError(e);
            }
        }

        private ReactorHandover() {}

        /** Hands over a connection with {@code queuedSince} attached. If that fails, closes the connection and returns false. */
        static boolean handOver(DefaultListeningIOReactor reactor, SocketChannel channel, Instant queuedSince) {
            try {
                channel.configureBlocking(false);
                ENQUEUE_METHOD.invoke(reactor, ENTRY_CONSTRUCTOR.newInstance(channel, queuedSince));
                return true;
            } catch (ReflectiveOperationException | IOException e) {
                LOG.warning("a connection could not be handed to the reactor: " + e);
                try {
                    channel.close();
                } catch (IOException closeFailure) {
                    LOG.finest("closing the connection failed");
                }
                return false;
            }
        }
    }
}

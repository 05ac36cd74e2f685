package copperbeam.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Measures the scheduling delay of threads on this machine, caused by other work on it or on its host. The stand-ins' observations and
 * the conductors' actions may be late by as much. Measures round trips of one byte between pairs of threads that do nothing else, over
 * existing connections and, as the proxies do, over new ones with a new thread each. A thread that merely sleeps would see little of
 * the delay, as it is woken on whichever processor is free.
 */
final class Lateness implements AutoCloseable {
    private static final int THREAD_PAIRS = 4;
    private static final int CONNECTING_THREADS = 2; // threads that measure on new connections
    private static final long INTERVAL_MS = 5;
    private static final long NANOS_PER_MS = 1_000_000;

    private final AtomicLong worstNs = new AtomicLong();
    private volatile boolean closed;

    private Lateness() {}

    /** Starts to measure; {@link #close} ends it. */
    static Lateness start() throws IOException {
        Lateness lateness = new Lateness();
        for (int i = 0; i < THREAD_PAIRS; i++) {
            lateness.startPair();
        }
        ServerSocket listener = new ServerSocket(0, FaultProxy.BACKLOG, InetAddress.getLoopbackAddress());
        Daemon.start("lateness", () -> acceptAll(listener));
        for (int i = 0; i < CONNECTING_THREADS; i++) {
            Daemon.start("lateness", () -> lateness.measureOnNewConnections(listener));
        }
        return lateness;
    }

    private static void acceptAll(ServerSocket listener) throws IOException {
        while (true) {
            Socket next = listener.accept();
            Daemon.start("echo", () -> echo(next));
        }
    }

    private void measureOnNewConnections(ServerSocket listener) throws IOException, InterruptedException {
        try (listener) {
            while (!closed) {
                long startNs = System.nanoTime();
                Thread.sleep(INTERVAL_MS);
                try (Socket socket = new Socket(listener.getInetAddress(), listener.getLocalPort())) {
                    socket.setSoLinger(
                            true, 0); // close by a reset: connections in TIME_WAIT would use up the machine's ports
                    roundTrip(socket, startNs);
                }
            }
        }
    }

    private void startPair() throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Socket measuringSide = new Socket(listener.getInetAddress(), listener.getLocalPort());
            Socket echoSide = listener.accept();
            measuringSide.setTcpNoDelay(true);
            echoSide.setTcpNoDelay(true);
            Daemon.start("echo", () -> echo(echoSide));
            Daemon.start("lateness", () -> measure(measuringSide));
        }
    }

    private static void echo(Socket socket) throws IOException {
        try (socket) {
            for (int next = socket.getInputStream().read();
                    next >= 0;
                    next = socket.getInputStream().read()) {
                socket.getOutputStream().write(next);
            }
        }
    }

    private void measure(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            while (!closed) {
                long startNs = System.nanoTime();
                Thread.sleep(INTERVAL_MS);
                roundTrip(socket, startNs);
            }
        }
    }

    private void roundTrip(Socket socket, long startNs) throws IOException {
        socket.getOutputStream().write(1);
        socket.getInputStream().read();
        long delayNs = System.nanoTime() - startNs - INTERVAL_MS * NANOS_PER_MS;
        worstNs.accumulateAndGet(delayNs, Math::max);
    }

    /** The longest delay so far, in whole milliseconds. */
    long worstMs() {
        return worstNs.get() / NANOS_PER_MS;
    }

    @Override
    public void close() {
        closed = true;
    }
}

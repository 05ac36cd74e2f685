package copperbeam.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/**
 * How late threads get the processor on this machine, as it has other work or its host has: what the stand-ins note, and what the
 * conductors do, is late by as much. Measured by the round trips of a byte between pairs of threads that do nothing else, on
 * connections that are there and, as a proxy takes them, on new ones, each with a new thread; a thread that merely sleeps is woken
 * wherever a processor is free and sees little of it.
 */
final class Lateness implements AutoCloseable {
    private static final int PAIRS = 4;
    private static final int CALLERS = 2; // on new connections
    private static final long INTERVAL_MS = 5;
    private static final long NANOS_PER_MS = 1_000_000;

    private final AtomicLong worstNanos = new AtomicLong();
    private volatile boolean over;

    private Lateness() {}

    /** Measures until it is closed. */
    static Lateness start() throws IOException {
        Lateness lateness = new Lateness();
        for (int i = 0; i < PAIRS; i++) {
            lateness.startPair();
        }
        ServerSocket listener = new ServerSocket(0, FaultProxy.BACKLOG, InetAddress.getLoopbackAddress());
        Daemon.start("lateness", () -> acceptAll(listener));
        for (int i = 0; i < CALLERS; i++) {
            Daemon.start("lateness", () -> lateness.callAnew(listener));
        }
        return lateness;
    }

    private static void acceptAll(ServerSocket listener) throws IOException {
        while (true) {
            Socket next = listener.accept();
            Daemon.start("echo", () -> echo(next));
        }
    }

    private void callAnew(ServerSocket listener) throws IOException, InterruptedException {
        try (listener) {
            while (!over) {
                long began = System.nanoTime();
                Thread.sleep(INTERVAL_MS);
                try (Socket socket = new Socket(listener.getInetAddress(), listener.getLocalPort())) {
                    socket.setSoLinger(true, 0); // closed ones would use the machine's ports up
                    roundTrip(socket, began);
                }
            }
        }
    }

    private void startPair() throws IOException {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Socket near = new Socket(listener.getInetAddress(), listener.getLocalPort());
            Socket far = listener.accept();
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Daemon.start("echo", () -> echo(far));
            Daemon.start("lateness", () -> measure(near));
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
            while (!over) {
                long began = System.nanoTime();
                Thread.sleep(INTERVAL_MS);
                roundTrip(socket, began);
            }
        }
    }

    private void roundTrip(Socket socket, long began) throws IOException {
        socket.getOutputStream().write(1);
        socket.getInputStream().read();
        long late = System.nanoTime() - began - INTERVAL_MS * NANOS_PER_MS;
        worstNanos.accumulateAndGet(late, Math::max);
    }

    /** So far, in whole milliseconds. */
    long worstMs() {
        return worstNanos.get() / NANOS_PER_MS;
    }

    @Override
    public void close() {
        over = true;
    }
}

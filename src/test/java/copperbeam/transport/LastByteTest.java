package copperbeam.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import copperbeam.protocol.RequestBody;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.locks.ReentrantLock;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import org.testng.annotations.Test;

/**
 * Checks that the outcome reported for a request is right about whether its last byte was sent. Runs the reactor's turns one by
 * one on a simulated socket.
 */
public class LastByteTest {
    /** Simulates a non-blocking socket of the operating system, as the test scripts it. */
    private static final class FakeSocket {
        final Queue<Command> commands = new ArrayDeque<>();
        final ReentrantLock lock = new ReentrantLock();
        final ProtocolIOSession session = (ProtocolIOSession) Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {ProtocolIOSession.class},
                (proxy, method, args) -> invoke(method.getName(), args));
        final IOEventHandler handler;
        final StringBuilder sent = new StringBuilder();
        int sendCapacity = Integer.MAX_VALUE;
        boolean reset; // by the peer; not yet noticed by the reactor
        boolean peerClosed;
        boolean open = true;
        String unreadInput = ""; // received from the server, but not read yet

        FakeSocket() throws IOException {
            handler = ClientReactor.newHandler(session, new ClientReactor.SessionListener() {
                @Override
                public void opened(IOSession up) {}

                @Override
                public void closed() {}
            });
            handler.connected(session);
        }

        private Object invoke(String name, Object[] args) throws IOException {
            return switch (name) {
                case "read" -> read((ByteBuffer) args[0]);
                case "write" -> write((ByteBuffer) args[0]);
                case "getLock" -> lock;
                case "getHandler" -> handler;
                case "enqueue" -> commands.add((Command) args[0]);
                case "poll" -> commands.poll();
                case "isOpen" -> open;
                case "getEventMask" -> 0;
                case "getSocketTimeout" -> Timeout.DISABLED;
                case "close" -> open = false;
                default -> null;
            };
        }

        private int read(ByteBuffer to) throws IOException {
            if (reset) {
                throw new IOException("reset");
            }
            if (!unreadInput.isEmpty()) {
                to.put(unreadInput.getBytes(StandardCharsets.US_ASCII));
                int count = unreadInput.length();
                unreadInput = "";
                return count;
            }
            return peerClosed ? -1 : 0;
        }

        private int write(ByteBuffer from) throws IOException {
            if (reset || !open) {
                throw new IOException(open ? "reset" : "closed");
            }
            byte[] bytes = new byte[Math.min(sendCapacity, from.remaining())];
            from.get(bytes);
            sendCapacity -= bytes.length;
            sent.append(new String(bytes, StandardCharsets.US_ASCII));
            return bytes.length;
        }

        /** Runs one turn as the reactor does: an exception ends the connection. */
        void runTurn(boolean input) {
            try {
                if (input) {
                    handler.inputReady(session, null);
                }
                handler.outputReady(session);
            } catch (IOException e) {
                handler.exception(session, e);
            }
        }
    }

    private static final String BODY = "{\"a\":1}";

    private static final class Exchange extends ClientExchange {
        final List<String> events = new ArrayList<>();
        boolean maySendLastByte = true;

        Exchange(boolean holdLastByte) {
            super(
                    new BasicHttpRequest("POST", new HttpHost("x"), "/"),
                    RequestBody.uncounted(BODY.getBytes(StandardCharsets.US_ASCII)),
                    holdLastByte);
        }

        @Override
        boolean maySendLastByte() {
            return maySendLastByte;
        }

        @Override
        void head(HttpResponse response) {}

        @Override
        void data(ByteBuffer bytes) {}

        @Override
        void completed(boolean reusable) {
            events.add("whole");
        }

        @Override
        void broken(boolean mayHaveRun) {
            events.add(mayHaveRun ? "may have run" : "has not run");
        }

        @Override
        void sent() {
            events.add("sent");
        }

        @Override
        void lastByteHeld() {
            events.add("held");
        }
    }

    private static Exchange startExchange(FakeSocket socket, boolean holdLastByte) {
        Exchange exchange = new Exchange(holdLastByte);
        ClientReactor.execute(socket.session, exchange);
        socket.runTurn(false);
        return exchange;
    }

    /** Runs a request up to the point where HttpCore buffers its last byte and would send it in the next turn. */
    private static Exchange untilLastByteBuffered(FakeSocket socket) {
        Exchange exchange = startExchange(socket, true);
        socket.runTurn(false);
        assertEquals(exchange.events, List.of("held"));
        exchange.sendLastByte();
        socket.runTurn(false);
        assertTrue(socket.sent.toString().endsWith(BODY.substring(0, BODY.length() - 1)));
        return exchange;
    }

    /**
     * Guards against reporting the hold while HttpCore still buffers the head, which counted the time to send the head as part
     * of the hold.
     */
    @Test
    public void theHoldBeginsOnceAllOtherBytesWereSent() throws Exception {
        FakeSocket socket = new FakeSocket();
        socket.sendCapacity = 0;
        Exchange exchange = startExchange(socket, true);
        socket.runTurn(false);
        socket.sendCapacity = 20;
        socket.runTurn(false);
        assertEquals(exchange.events, List.of());
        socket.sendCapacity = 10_000;
        socket.runTurn(false);
        socket.runTurn(false);
        assertEquals(exchange.events, List.of("held"));
        assertTrue(socket.sent.toString().endsWith(BODY.substring(0, BODY.length() - 1)));
    }

    /** Guards against counting the last byte as sent when HttpCore had buffered it but failed to write it to the socket. */
    @Test
    public void aRequestWhoseLastByteFailsToBeSentHasNotRun() throws Exception {
        for (boolean holdLastByte : new boolean[] {true, false}) {
            FakeSocket socket = new FakeSocket();
            Exchange exchange = holdLastByte ? untilLastByteBuffered(socket) : startExchange(socket, false);
            exchange.events.clear();
            socket.reset = true;
            socket.runTurn(false);
            assertEquals(exchange.events, List.of("has not run"));
            assertFalse(socket.open);
        }
    }

    @Test
    public void aRequestWhoseLastByteStaysBufferedHasNotRun() throws Exception {
        FakeSocket socket = new FakeSocket();
        Exchange exchange = untilLastByteBuffered(socket);
        socket.sendCapacity = 0;
        socket.runTurn(false);
        socket.reset = true;
        socket.runTurn(true);
        assertEquals(exchange.events, List.of("held", "has not run"));
    }

    @Test
    public void aRequestWhoseLastByteWasSentMayHaveRun() throws Exception {
        for (boolean peerCloses : new boolean[] {true, false}) {
            FakeSocket socket = new FakeSocket();
            Exchange exchange = untilLastByteBuffered(socket);
            socket.runTurn(false);
            assertTrue(socket.sent.toString().endsWith(BODY));
            assertEquals(exchange.events, List.of("held", "sent"));
            socket.peerClosed = peerCloses;
            socket.reset = !peerCloses;
            socket.runTurn(true);
            assertEquals(exchange.events, List.of("held", "sent", "may have run"));
        }
    }

    /**
     * The server has closed the connection since the select. A write would still succeed, so input must be read before the last
     * byte is sent.
     */
    @Test
    public void theLastByteIsNotSentAfterTheServerClosed() throws Exception {
        FakeSocket socket = new FakeSocket();
        Exchange exchange = untilLastByteBuffered(socket);
        socket.peerClosed = true;
        socket.runTurn(false);
        assertEquals(exchange.events, List.of("held", "has not run"));
        assertTrue(socket.sent.toString().endsWith(BODY.substring(0, BODY.length() - 1)));
    }

    /** If the client goes away while the last byte is held back or waits for buffer space, the byte must not be sent. */
    @Test
    public void theLastByteIsNotSentForAClientThatHasGone() throws Exception {
        for (int stage = 0; stage < 3; stage++) {
            FakeSocket socket = new FakeSocket();
            socket.sendCapacity = stage == 0 ? 0 : Integer.MAX_VALUE;
            Exchange exchange = stage == 2 ? untilLastByteBuffered(socket) : startExchange(socket, stage == 1);
            if (stage == 1) {
                socket.runTurn(false);
                exchange.sendLastByte();
            }
            exchange.events.clear();
            exchange.maySendLastByte = false;
            socket.sendCapacity = Integer.MAX_VALUE;
            socket.runTurn(false);
            assertEquals(exchange.events, List.of("has not run"));
            assertFalse(socket.open);
            assertFalse(socket.sent.toString().endsWith(BODY));
        }
    }

    private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: ";

    /** The early response decides the outcome; sending the last byte after it would start a request that counts as not started. */
    @Test
    public void theLastByteIsNotSentAfterAnEarlyResponse() throws Exception {
        for (String answer : List.of("0\r\n\r\n", "2\r\n\r\nno", "2\r\n\r\n")) {
            for (boolean input : new boolean[] {false, true}) {
                for (int stage = 0; stage < 3; stage++) {
                    FakeSocket socket = new FakeSocket();
                    socket.sendCapacity = stage == 0 ? 0 : Integer.MAX_VALUE;
                    Exchange exchange = stage == 2 ? untilLastByteBuffered(socket) : startExchange(socket, stage == 1);
                    if (stage == 1) {
                        socket.runTurn(false);
                        exchange.sendLastByte();
                    }
                    exchange.events.clear();
                    socket.unreadInput = REFUSAL + answer;
                    socket.sendCapacity = Integer.MAX_VALUE;
                    socket.runTurn(input || stage < 2);
                    for (int i = 0; i < 4 && socket.open; i++) {
                        socket.runTurn(false);
                    }
                    assertFalse(socket.sent.toString().endsWith(BODY), answer + stage);
                    boolean complete = !answer.endsWith("\n") || answer.startsWith("0");
                    assertEquals(exchange.events, complete ? List.of("whole") : List.of());
                    assertEquals(socket.open, !complete);
                }
            }
        }
    }

    /** On a reused connection, a response that comes before the last byte was sent is a second response to the previous call. */
    @Test
    public void aLateSecondAnswerIsNoAnswerToTheNextCall() throws Exception {
        for (int stage = 0; stage < 2; stage++) {
            FakeSocket socket = new FakeSocket();
            untilLastByteBuffered(socket);
            socket.runTurn(false);
            socket.unreadInput = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
            socket.runTurn(true);
            assertTrue(socket.open);
            socket.sent.setLength(0);
            Exchange next = stage == 0 ? startExchange(socket, true) : untilLastByteBuffered(socket);
            next.events.clear();
            socket.unreadInput = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
            socket.runTurn(true);
            assertEquals(next.events, List.of("has not run"));
            assertFalse(socket.open);
            assertFalse(socket.sent.toString().endsWith(BODY));
        }
    }
}

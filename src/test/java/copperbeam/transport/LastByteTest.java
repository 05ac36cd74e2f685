package copperbeam.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

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
    private static final class System {
        final Queue<Command> commands = new ArrayDeque<>();
        final ReentrantLock lock = new ReentrantLock();
        final ProtocolIOSession session = (ProtocolIOSession) Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {ProtocolIOSession.class},
                (proxy, method, args) -> call(method.getName(), args));
        final IOEventHandler handler;
        final StringBuilder taken = new StringBuilder();
        int room = Integer.MAX_VALUE;
        boolean reset; // by the peer; not yet noticed by the reactor
        boolean ended;
        boolean open = true;
        String answer = ""; // received from the server, but not read yet

        System() throws IOException {
            handler = ClientReactor.handler(session, new ClientReactor.Life() {
                @Override
                public void up(IOSession up) {}

                @Override
                public void down() {}
            });
            handler.connected(session);
        }

        private Object call(String name, Object[] args) throws IOException {
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
            if (!answer.isEmpty()) {
                to.put(answer.getBytes(StandardCharsets.US_ASCII));
                int count = answer.length();
                answer = "";
                return count;
            }
            return ended ? -1 : 0;
        }

        private int write(ByteBuffer from) throws IOException {
            if (reset || !open) {
                throw new IOException(open ? "reset" : "closed");
            }
            byte[] bytes = new byte[Math.min(room, from.remaining())];
            from.get(bytes);
            room -= bytes.length;
            taken.append(new String(bytes, StandardCharsets.US_ASCII));
            return bytes.length;
        }

        /** Runs one turn as the reactor does: an exception ends the connection. */
        void turn(boolean input) {
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
        final List<String> told = new ArrayList<>();
        boolean wanted = true;

        Exchange(boolean hold) {
            super(new BasicHttpRequest("POST", new HttpHost("x"), "/"), BODY.getBytes(StandardCharsets.US_ASCII), hold);
        }

        @Override
        boolean wanted() {
            return wanted;
        }

        @Override
        void head(HttpResponse response) {}

        @Override
        void data(ByteBuffer bytes) {}

        @Override
        void whole(boolean reusable) {
            told.add("whole");
        }

        @Override
        void broken(boolean mayHaveRun) {
            told.add(mayHaveRun ? "may have run" : "has not run");
        }

        @Override
        void sent() {
            told.add("sent");
        }

        @Override
        void held() {
            told.add("held");
        }
    }

    private static Exchange begin(System system, boolean hold) {
        Exchange exchange = new Exchange(hold);
        ClientReactor.execute(system.session, exchange);
        system.turn(false);
        return exchange;
    }

    /** Runs a request up to the point where HttpCore buffers its last byte and would send it in the next turn. */
    private static Exchange untilItGoes(System system) {
        Exchange exchange = begin(system, true);
        system.turn(false);
        assertEquals(exchange.told, List.of("held"));
        exchange.let();
        system.turn(false);
        assertTrue(system.taken.toString().endsWith(BODY.substring(0, BODY.length() - 1)));
        return exchange;
    }

    /**
     * Guards against reporting the hold while HttpCore still buffers the head, which counted the time to send the head as part
     * of the hold.
     */
    @Test
    public void theHoldBeginsOnceAllElseHasLeft() throws Exception {
        System system = new System();
        system.room = 0;
        Exchange exchange = begin(system, true);
        system.turn(false);
        system.room = 20;
        system.turn(false);
        assertEquals(exchange.told, List.of());
        system.room = 10_000;
        system.turn(false);
        system.turn(false);
        assertEquals(exchange.told, List.of("held"));
        assertTrue(system.taken.toString().endsWith(BODY.substring(0, BODY.length() - 1)));
    }

    /** Guards against counting the last byte as sent when HttpCore had buffered it but failed to write it to the socket. */
    @Test
    public void aByteThatFailsToLeaveHasNotRun() throws Exception {
        for (boolean hold : new boolean[] {true, false}) {
            System system = new System();
            Exchange exchange = hold ? untilItGoes(system) : begin(system, false);
            exchange.told.clear();
            system.reset = true;
            system.turn(false);
            assertEquals(exchange.told, List.of("has not run"));
            assertFalse(system.open);
        }
    }

    @Test
    public void aByteThatFindsNoRoomHasNotRun() throws Exception {
        System system = new System();
        Exchange exchange = untilItGoes(system);
        system.room = 0;
        system.turn(false);
        system.reset = true;
        system.turn(true);
        assertEquals(exchange.told, List.of("held", "has not run"));
    }

    @Test
    public void aByteThatLeftMayHaveRun() throws Exception {
        for (boolean end : new boolean[] {true, false}) {
            System system = new System();
            Exchange exchange = untilItGoes(system);
            system.turn(false);
            assertTrue(system.taken.toString().endsWith(BODY));
            assertEquals(exchange.told, List.of("held", "sent"));
            system.ended = end;
            system.reset = !end;
            system.turn(true);
            assertEquals(exchange.told, List.of("held", "sent", "may have run"));
        }
    }

    /**
     * The server has closed the connection since the select. A write would still succeed, so input must be read before the last
     * byte is sent.
     */
    @Test
    public void theByteStaysWhereTheServerHasEnded() throws Exception {
        System system = new System();
        Exchange exchange = untilItGoes(system);
        system.ended = true;
        system.turn(false);
        assertEquals(exchange.told, List.of("held", "has not run"));
        assertTrue(system.taken.toString().endsWith(BODY.substring(0, BODY.length() - 1)));
    }

    /** If the client goes away while the last byte is held back or waits for buffer space, the byte must not be sent. */
    @Test
    public void theByteStaysWhereNobodyWaitsForItAnyMore() throws Exception {
        for (int at = 0; at < 3; at++) {
            System system = new System();
            system.room = at == 0 ? 0 : Integer.MAX_VALUE;
            Exchange exchange = at == 2 ? untilItGoes(system) : begin(system, at == 1);
            if (at == 1) {
                system.turn(false);
                exchange.let();
            }
            exchange.told.clear();
            exchange.wanted = false;
            system.room = Integer.MAX_VALUE;
            system.turn(false);
            assertEquals(exchange.told, List.of("has not run"));
            assertFalse(system.open);
            assertFalse(system.taken.toString().endsWith(BODY));
        }
    }

    private static final String REFUSAL = "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: ";

    /** The early response decides the outcome; sending the last byte after it would start a request that counts as not started. */
    @Test
    public void theByteStaysBehindAnAnswer() throws Exception {
        for (String answer : List.of("0\r\n\r\n", "2\r\n\r\nno", "2\r\n\r\n")) {
            for (boolean input : new boolean[] {false, true}) {
                for (int at = 0; at < 3; at++) {
                    System system = new System();
                    system.room = at == 0 ? 0 : Integer.MAX_VALUE;
                    Exchange exchange = at == 2 ? untilItGoes(system) : begin(system, at == 1);
                    if (at == 1) {
                        system.turn(false);
                        exchange.let();
                    }
                    exchange.told.clear();
                    system.answer = REFUSAL + answer;
                    system.room = Integer.MAX_VALUE;
                    system.turn(input || at < 2);
                    for (int i = 0; i < 4 && system.open; i++) {
                        system.turn(false);
                    }
                    assertFalse(system.taken.toString().endsWith(BODY), answer + at);
                    boolean whole = !answer.endsWith("\n") || answer.startsWith("0");
                    assertEquals(exchange.told, whole ? List.of("whole") : List.of());
                    assertEquals(system.open, !whole);
                }
            }
        }
    }

    /** On a reused connection, a response that comes before the last byte was sent is a second response to the previous call. */
    @Test
    public void aLateSecondAnswerIsNoAnswerToTheNextCall() throws Exception {
        for (int at = 0; at < 2; at++) {
            System system = new System();
            untilItGoes(system);
            system.turn(false);
            system.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
            system.turn(true);
            assertTrue(system.open);
            system.taken.setLength(0);
            Exchange next = at == 0 ? begin(system, true) : untilItGoes(system);
            next.told.clear();
            system.answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
            system.turn(true);
            assertEquals(next.told, List.of("has not run"));
            assertFalse(system.open);
            assertFalse(system.taken.toString().endsWith(BODY));
        }
    }
}

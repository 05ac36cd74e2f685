package copperbeam.sockets;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** One end of an HTTP/1.1 connection, byte by byte, so that a test can break it wherever it likes. */
final class Line implements AutoCloseable {
    static final int PATIENCE_MS = 10_000; // after this a test fails rather than hangs

    record Message(String start, Map<String, String> headers, byte[] body, boolean whole) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String path() {
            return start.split(" ")[1];
        }

        String method() {
            return start.split(" ")[0];
        }

        String header(String name) {
            return headers.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private final Socket socket;
    volatile boolean ended; // a stand-in has done with it
    private final InputStream in;

    Line(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(PATIENCE_MS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    Line(InetSocketAddress to) throws IOException {
        this(new Socket(to.getAddress(), to.getPort()));
    }

    Line send(String text) throws IOException {
        socket.getOutputStream()
                .write(text.getBytes(StandardCharsets.UTF_8)); // once: the other side may close behind it
        return this;
    }

    Line answer(int status, String body, String... headers) throws IOException {
        return send("HTTP/1.1 " + status + " x\r\n" + String.join("", headers) + "Content-Length: " + body.length()
                + "\r\n\r\n" + body);
    }

    Line beginStream() throws IOException {
        return send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    Line chunk(String data) throws IOException {
        return send(Integer.toHexString(data.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + data + "\r\n");
    }

    Line lastChunk() throws IOException {
        return send("0\r\n\r\n");
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    /** Start line and headers; null at the end of the connection. */
    Message head() throws IOException {
        String start = line();
        if (start == null || start.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(); line != null && !line.isEmpty(); line = line()) {
            headers.put(
                    line.substring(0, line.indexOf(':')),
                    line.substring(line.indexOf(':') + 1).strip());
        }
        return new Message(start, headers, new byte[0], true);
    }

    /** The next chunk; null after the last, and {@code ""} where the connection ended without one. */
    String readChunk() throws IOException {
        try {
            String size = line();
            if (size == null) {
                return "";
            }
            byte[] bytes = in.readNBytes(Integer.parseInt(size, 16));
            line();
            return bytes.length == 0 ? null : new String(bytes, StandardCharsets.UTF_8);
        } catch (java.net.SocketException e) {
            return "";
        }
    }

    /** A whole message; {@code whole} is false where a chunked body has no last chunk. */
    Message read() throws IOException {
        Message head = head();
        return head == null ? null : rest(head);
    }

    /** The same message with its body; not whole either where it is shorter than its head said. */
    Message rest(Message head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = true;
        if ("chunked".equals(head.header("Transfer-Encoding"))) {
            String chunk = readChunk();
            for (; chunk != null && !chunk.isEmpty(); chunk = readChunk()) {
                body.writeBytes(chunk.getBytes(StandardCharsets.UTF_8));
            }
            whole = chunk == null;
        } else if (head.header("Content-Length") != null) {
            int length = Integer.parseInt(head.header("Content-Length"));
            body.writeBytes(in.readNBytes(length));
            whole = body.size() == length;
        }
        return new Message(head.start, head.headers, body.toByteArray(), whole);
    }

    /** Waits until the other side has closed. */
    boolean awaitClosed() throws IOException {
        try {
            return in.read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Whether bytes of the other side are here. */
    boolean ready() throws IOException {
        return in.available() > 0;
    }

    /** Whether the other side's close is here by now. */
    boolean isClosed() throws IOException {
        socket.setSoTimeout(1); // the least that there is
        return awaitClosed();
    }

    /** Ends the sending and goes on reading. */
    void halfClose() throws IOException {
        socket.shutdownOutput();
    }

    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

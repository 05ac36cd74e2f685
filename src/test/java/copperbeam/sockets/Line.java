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

/** One end of an HTTP/1.1 connection on a plain socket, so that a test can break the protocol at any byte. */
final class Line implements AutoCloseable {
    static final int PATIENCE_MS = 10_000; // read timeout, so that a test fails instead of hanging

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
    volatile boolean ended; // the stand-in that served this connection has closed it
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
                .write(text.getBytes(StandardCharsets.UTF_8)); // in one write: the peer may close after the first bytes
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

    /** Reads the start line and headers; null at the end of the connection. */
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

    /** The next chunk; null for the last (empty) chunk, and {@code ""} if the connection ended before it. */
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

    /** Reads a message; {@code complete} is false if its body ended early. Null at the end of the connection. */
    Message read() throws IOException {
        Message head = head();
        return head == null ? null : rest(head);
    }

    /**
     * Reads the body after {@code head}. The message is incomplete if a chunked body has no last chunk, or if the body is shorter
     * than its Content-Length.
     */
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

    /** Waits until the peer has closed the connection; false if the read times out or data arrives. */
    boolean awaitClosed() throws IOException {
        try {
            return in.read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Whether bytes from the peer have arrived. */
    boolean ready() throws IOException {
        return in.available() > 0;
    }

    /** Whether the peer's close has already arrived. */
    boolean isClosed() throws IOException {
        socket.setSoTimeout(1); // ms, the shortest timeout
        return awaitClosed();
    }

    /** Closes the sending direction only; reading goes on. */
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

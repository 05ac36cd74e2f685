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
final class RawConnection implements AutoCloseable {
    static final int TIMEOUT_MS = 10_000; // read timeout, so that a test fails instead of hanging

    record Message(String startLine, Map<String, String> headers, byte[] body, boolean complete) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String path() {
            return startLine.split(" ")[1];
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String header(String name) {
            return headers.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private final Socket socket;
    volatile boolean closedByStandIn; // the stand-in that served this connection has closed it
    private final InputStream input;

    RawConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        input = new BufferedInputStream(socket.getInputStream());
    }

    RawConnection(InetSocketAddress address) throws IOException {
        this(new Socket(address.getAddress(), address.getPort()));
    }

    RawConnection send(String text) throws IOException {
        socket.getOutputStream()
                .write(text.getBytes(StandardCharsets.UTF_8)); // in one write: the peer may close after the first bytes
        return this;
    }

    RawConnection respond(int status, String body, String... headers) throws IOException {
        return send("HTTP/1.1 " + status + " x\r\n" + String.join("", headers) + "Content-Length: " + body.length()
                + "\r\n\r\n" + body);
    }

    RawConnection beginStream() throws IOException {
        return send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    RawConnection sendChunk(String data) throws IOException {
        return send(Integer.toHexString(data.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + data + "\r\n");
    }

    RawConnection sendLastChunk() throws IOException {
        return send("0\r\n\r\n");
    }

    /** Ends a whole stream, with its last event and the last chunk. */
    RawConnection endStream() throws IOException {
        return sendChunk(Site.LAST_EVENT).sendLastChunk();
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = input.read(); b != '\n'; b = input.read()) {
            if (b < 0) {
                return null;
            }
            bytes.write(b);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1).strip();
    }

    /** Reads the start line and headers; null at the end of the connection. */
    Message readHead() throws IOException {
        String startLine = readLine();
        if (startLine == null || startLine.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String headerLine = readLine(); headerLine != null && !headerLine.isEmpty(); headerLine = readLine()) {
            headers.put(
                    headerLine.substring(0, headerLine.indexOf(':')),
                    headerLine.substring(headerLine.indexOf(':') + 1).strip());
        }
        return new Message(startLine, headers, new byte[0], true);
    }

    /** The next chunk; null for the last (empty) chunk, and {@code ""} if the connection ended before it. */
    String readChunk() throws IOException {
        try {
            String size = readLine();
            if (size == null) {
                return "";
            }
            byte[] bytes = input.readNBytes(Integer.parseInt(size, 16));
            readLine();
            return bytes.length == 0 ? null : new String(bytes, StandardCharsets.UTF_8);
        } catch (java.net.SocketException e) {
            return "";
        }
    }

    /** Reads a message; {@code complete} is false if its body ended early. Null at the end of the connection. */
    Message read() throws IOException {
        Message head = readHead();
        return head == null ? null : readBody(head);
    }

    /**
     * Reads the body after {@code head}. The message is incomplete if a chunked body has no last chunk, or if the body is shorter
     * than its Content-Length.
     */
    Message readBody(Message head) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        if ("chunked".equals(head.header("Transfer-Encoding"))) {
            String chunk = readChunk();
            for (; chunk != null && !chunk.isEmpty(); chunk = readChunk()) {
                body.writeBytes(chunk.getBytes(StandardCharsets.UTF_8));
            }
            complete = chunk == null;
        } else if (head.header("Content-Length") != null) {
            int length = Integer.parseInt(head.header("Content-Length"));
            body.writeBytes(input.readNBytes(length));
            complete = body.size() == length;
        }
        return new Message(head.startLine, head.headers, body.toByteArray(), complete);
    }

    /** Reads and drops what comes, {@code bytes} at a time with a pause after each, until the peer closes the connection. */
    void readSlowly(int bytes, int pauseMs) throws IOException, InterruptedException {
        while (input.readNBytes(bytes).length == bytes) {
            Thread.sleep(pauseMs);
        }
    }

    /** Waits until the peer has closed the connection; false if the read times out or data arrives. */
    boolean awaitClosed() throws IOException {
        try {
            return input.read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Whether bytes from the peer have arrived. */
    boolean hasInput() throws IOException {
        return input.available() > 0;
    }

    /** Whether the peer's close has already arrived. */
    boolean isClosedByPeer() throws IOException {
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

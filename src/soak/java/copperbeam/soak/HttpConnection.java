package copperbeam.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** One end of an HTTP/1.1 connection, with blocking calls. */
final class HttpConnection implements AutoCloseable {
    /** A request or response; {@code complete}: received up to its Content-Length or its last chunk. */
    record Message(String startLine, Map<String, String> headers, String body, boolean complete) {
        /** A word of the first line, counted from 0. */
        String word(int number) {
            return startLine.split(" ")[number];
        }

        String header(String name) {
            return headers.get(name);
        }
    }

    private static final int SMALL_BUFFER_BYTES = 4096;
    private static final String OK_START = "HTTP/1.1 200";

    final Socket socket;
    private final InputStream in;
    private long lastReadAt = System.nanoTime();

    HttpConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(new FilterInputStream(socket.getInputStream()) {
            @Override
            public int read(byte[] bytes, int offset, int length) throws IOException {
                int count = super.read(bytes, offset, length);
                lastReadAt = count > 0 ? System.nanoTime() : lastReadAt;
                return count;
            }
        });
    }

    static HttpConnection connect(InetSocketAddress address, int timeoutMs) throws IOException {
        Socket socket = new Socket();
        socket.connect(address, timeoutMs);
        return new HttpConnection(socket);
    }

    /** With a receive buffer that holds a small part of a long answer. */
    static HttpConnection connectWithSmallBuffer(InetSocketAddress address, int timeoutMs) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        socket.connect(address, timeoutMs);
        return new HttpConnection(socket);
    }

    /** When the last byte was read, by {@link System#nanoTime}. */
    long lastReadAt() {
        return lastReadAt;
    }

    void setReadTimeout(int ms) throws IOException {
        socket.setSoTimeout(ms);
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    void sendAnswer(int status, String headers, String body) throws IOException {
        send("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** The text as a chunk of a body. */
    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    void sendChunk(String data) throws IOException {
        send(chunk(data));
    }

    /** Waits for the first byte of a message; returns false at the end of the connection. */
    boolean awaitByte() throws IOException {
        in.mark(1);
        int next = in.read();
        in.reset();
        return next >= 0;
    }

    /** Waits for the begin of a response; returns whether it is a 200. Nothing is consumed. */
    boolean awaitOk() throws IOException {
        in.mark(OK_START.length());
        String start = new String(in.readNBytes(OK_START.length()), StandardCharsets.US_ASCII);
        in.reset();
        return start.equals(OK_START);
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    /** Reads a message; returns null if the connection ends before its headers are complete. */
    Message read() throws IOException {
        String startLine = readLine();
        if (startLine == null || startLine.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = readLine(); line == null || !line.isEmpty(); line = readLine()) {
            if (line == null) {
                return null; // the connection ended within the headers
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = "chunked".equals(headers.get("Transfer-Encoding"))
                ? readChunks(body)
                : readBytes(body, Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
        return new Message(startLine, headers, body.toString(StandardCharsets.UTF_8), complete);
    }

    private boolean readBytes(ByteArrayOutputStream body, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        body.writeBytes(bytes);
        return bytes.length == length;
    }

    /**
     * Reads a chunked body; returns whether it is complete. A reset and the end of the reader's patience count as the end of the stream;
     * the bytes before it are kept.
     */
    private boolean readChunks(ByteArrayOutputStream body) throws IOException {
        try {
            for (String size = readLine(); size != null; size = readLine()) {
                int length = Integer.parseInt(size, 16);
                if (length == 0) {
                    return readLine() != null;
                }
                if (!readBytes(body, length) || readLine() == null) {
                    return false;
                }
            }
        } catch (SocketException | SocketTimeoutException e) {
            return false;
        }
        return false;
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

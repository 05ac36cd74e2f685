package copperbeam.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** Delegates to a connection's input buffer; subclasses override methods to observe or limit what is read. */
abstract class ForwardingInputBuffer implements SessionInputBuffer {
    private final SessionInputBuffer buffer;

    ForwardingInputBuffer(SessionInputBuffer buffer) {
        this.buffer = buffer;
    }

    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
        return buffer.readLine(line, endOfStream);
    }

    @Override
    public final boolean hasData() {
        return buffer.hasData();
    }

    @Override
    public final int length() {
        return buffer.length();
    }

    @Override
    public int fill(ReadableByteChannel from) throws IOException {
        return buffer.fill(from);
    }

    @Override
    public final int read() {
        return buffer.read();
    }

    @Override
    public final int read(ByteBuffer to, int maxBytes) {
        return buffer.read(to, maxBytes);
    }

    @Override
    public final int read(ByteBuffer to) {
        return buffer.read(to);
    }

    @Override
    public final int read(WritableByteChannel to, int maxBytes) throws IOException {
        return buffer.read(to, maxBytes);
    }

    @Override
    public final int read(WritableByteChannel to) throws IOException {
        return buffer.read(to);
    }
}

package copperbeam.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Cuts a stream of server-sent events after each blank line; every byte stays as it came. */
public final class EventSplitter {
    private static final int MOST = 32 * 1024; // bytes of one event; below the window that a server may fill unasked

    private final ByteArrayOutputStream part = new ByteArrayOutputStream();
    private boolean lineEmpty = true;

    /** False where an event is longer than any real one; the stream is then not one of events. */
    public boolean take(ByteBuffer bytes, Consumer<byte[]> event) {
        while (bytes.hasRemaining()) {
            byte b = bytes.get();
            part.write(b);
            if (b == '\n') {
                if (lineEmpty) {
                    cut(event);
                }
                lineEmpty = true;
            } else if (b != '\r') {
                lineEmpty = false;
            }
            if (part.size() > MOST) {
                return false;
            }
        }
        return true;
    }

    /** What is left at the end of the stream. */
    public void end(Consumer<byte[]> rest) {
        cut(rest);
    }

    private void cut(Consumer<byte[]> to) {
        if (part.size() > 0) {
            to.accept(part.toByteArray());
            part.reset();
        }
    }
}

package copperbeam.transport;

import copperbeam.protocol.AnswerProgress.Part;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.List;
import java.util.function.Consumer;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/** Decodes chunked bodies with HttpCore's decoder, and adds limits and checks that it lacks. */
final class Chunks {
    /** For bodies without a limit on the bytes of their framing. */
    static final long UNLIMITED_FRAMING = Long.MAX_VALUE;

    private static final int TYPICAL_LINE_LENGTH = 16;

    private Chunks() {}

    /**
     * {@code maxChunkBytes}: a larger chunk is an error. {@code maxFramingBytes}: more bytes of sizes, extensions, trailers and
     * line ends are an error; a body of tiny chunks takes many times its length to transfer and to decode. {@code progress} is told what
     * the last byte of framing belongs to that was read in one go.
     */
    static Decoder decoder(
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            Http1Config config,
            BasicHttpTransportMetrics metrics,
            int maxChunkBytes,
            long maxFramingBytes,
            ReadBudget readBudget,
            Consumer<Part> progress) {
        ChunkFraming framing = new ChunkFraming(maxChunkBytes, config.getMaxLineLength());
        SessionInputBuffer checkingBuffer = new CheckingBuffer(buffer, framing, maxFramingBytes, readBudget, progress);
        return new Decoder(new ChunkDecoder(channel, checkingBuffer, config, metrics));
    }

    /**
     * Limits the bytes that are read from one connection in one turn of its reactor; the rest is read in the next turn.
     * HttpCore would read chunks for as long as there are any, so that a fast sender could block all other connections and
     * exceed its receive window.
     */
    static final class ReadBudget {
        private final int maxBytes;
        private int remaining;

        ReadBudget(int maxBytes) {
            this.maxBytes = maxBytes;
            remaining = maxBytes;
        }

        void reset() {
            remaining = maxBytes;
        }

        /** Whether the limit was reached, so that more input may be available. */
        boolean isSpent() {
            return remaining <= 0;
        }
    }

    /**
     * Reads the lines between chunks as far as they have come, and checks each byte: HttpCore would wait for a whole line, and would read
     * its buffer backwards after a size with a sign.
     */
    private static final class CheckingBuffer extends ForwardingInputBuffer {
        private final ChunkFraming framing;
        private final long maxFramingBytes;
        private final ReadBudget readBudget;
        private final Consumer<Part> progress;
        private final CharArrayBuffer partialLine = new CharArrayBuffer(TYPICAL_LINE_LENGTH);
        private long framingBytes;

        CheckingBuffer(
                SessionInputBuffer buffer,
                ChunkFraming framing,
                long maxFramingBytes,
                ReadBudget readBudget,
                Consumer<Part> progress) {
            super(buffer);
            this.framing = framing;
            this.maxFramingBytes = maxFramingBytes;
            this.readBudget = readBudget;
            this.progress = progress;
        }

        @Override
        public int fill(ReadableByteChannel from) throws IOException {
            if (readBudget.isSpent()) {
                return 0;
            }
            int count = super.fill(from);
            readBudget.remaining -= count;
            return count;
        }

        @Override
        public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
            Part lastPart = null;
            boolean lineComplete = false;
            while (hasData() && !lineComplete) {
                int next = read();
                if (++framingBytes > maxFramingBytes) {
                    throw new MalformedChunkCodingException("too many bytes of chunk framing");
                }
                lastPart = framing.accept(next);
                lineComplete = next == '\n';
                if (!lineComplete) {
                    partialLine.append((char) next);
                }
            }
            if (lastPart != null) {
                progress.accept(lastPart);
            }
            if (!lineComplete && endOfStream && !partialLine.isEmpty()) {
                framing.endLine();
                lineComplete = true;
            }
            if (lineComplete) {
                takeLine(line);
            }
            return lineComplete;
        }

        private void takeLine(CharArrayBuffer line) {
            int length = partialLine.length();
            boolean endsWithCarriageReturn = length > 0 && partialLine.charAt(length - 1) == '\r';
            line.append(partialLine, 0, endsWithCarriageReturn ? length - 1 : length);
            partialLine.clear();
        }
    }

    /**
     * Delivers all data that was read before an error, and throws the error afterwards. HttpCore's decoder throws at once and
     * loses the chunk it has just read, and with it an event of the stream.
     */
    static final class Decoder implements ContentDecoder {
        private final ChunkDecoder delegate;
        private IOException deferredError;

        private Decoder(ChunkDecoder delegate) {
            this.delegate = delegate;
        }

        /** The error that follows the delivered data, or null; the next {@link #read} throws it as well. */
        IOException deferredError() {
            return deferredError;
        }

        @Override
        public int read(ByteBuffer to) throws IOException {
            if (deferredError != null) {
                throw deferredError;
            }
            int startPosition = to.position();
            try {
                return delegate.read(to);
            } catch (IOException e) {
                deferredError = e;
                if (to.position() == startPosition) {
                    throw e;
                }
                return to.position() - startPosition;
            }
        }

        @Override
        public boolean isCompleted() {
            return deferredError == null && delegate.isCompleted();
        }

        @Override
        public List<? extends Header> getTrailers() {
            return delegate.getTrailers();
        }
    }
}

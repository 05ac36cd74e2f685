package copperbeam.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.List;
import java.util.regex.Pattern;
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
    private Chunks() {}

    /** {@code maxChunkBytes}: a larger chunk is an error. */
    static Decoder decoder(
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            Http1Config config,
            BasicHttpTransportMetrics metrics,
            int maxChunkBytes,
            ReadBudget readBudget) {
        return new Decoder(
                new ChunkDecoder(channel, new SizeCheckingBuffer(buffer, maxChunkBytes, readBudget), config, metrics));
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
     * Checks each chunk-size line. Rejects sizes with a sign, with which HttpCore would read its buffer backwards, and chunks
     * of gigabytes.
     */
    private static final class SizeCheckingBuffer extends ForwardingInputBuffer {
        private static final Pattern SIZE_PATTERN =
                Pattern.compile("[0-9a-fA-F]{1,15}"); // compiled once, as it is used for each event of a stream
        private final int maxChunkBytes;
        private final ReadBudget readBudget;
        private boolean lastChunkSeen;

        SizeCheckingBuffer(SessionInputBuffer buffer, int maxChunkBytes, ReadBudget readBudget) {
            super(buffer);
            this.maxChunkBytes = maxChunkBytes;
            this.readBudget = readBudget;
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
            boolean lineComplete = super.readLine(line, endOfStream);
            if (lineComplete && !lastChunkSeen && !line.isEmpty()) {
                lastChunkSeen = parseSize(line.toString()) == 0;
            }
            return lineComplete;
        }

        private long parseSize(String line) throws IOException {
            int extension = line.indexOf(';');
            String digits = (extension < 0 ? line : line.substring(0, extension)).strip();
            if (!SIZE_PATTERN.matcher(digits).matches()) {
                throw new MalformedChunkCodingException("malformed chunk size");
            }
            long size = Long.parseLong(digits, 16);
            if (size > maxChunkBytes) {
                throw new MalformedChunkCodingException("chunk too large: " + size + " bytes");
            }
            return size;
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

package copperbeam.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.List;
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

    private static final int MAX_SIZE_DIGITS = 15; // of a hexadecimal size that fits a long
    private static final int HEXADECIMAL = 16;

    private Chunks() {}

    /**
     * {@code maxChunkBytes}: a larger chunk is an error. {@code maxFramingBytes}: more bytes of sizes, extensions, trailers and
     * line ends are an error; a body of tiny chunks takes many times its length to transfer and to decode.
     */
    static Decoder decoder(
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            Http1Config config,
            BasicHttpTransportMetrics metrics,
            int maxChunkBytes,
            long maxFramingBytes,
            ReadBudget readBudget) {
        SessionInputBuffer checkingBuffer = new SizeCheckingBuffer(buffer, maxChunkBytes, maxFramingBytes, readBudget);
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
     * Checks each chunk-size line. Rejects sizes with a sign, with which HttpCore would read its buffer backwards, and chunks
     * of gigabytes.
     */
    private static final class SizeCheckingBuffer extends ForwardingInputBuffer {
        private final int maxChunkBytes;
        private final long maxFramingBytes;
        private long framingBytes;
        private final ReadBudget readBudget;
        private boolean lastChunkSeen;

        SizeCheckingBuffer(SessionInputBuffer buffer, int maxChunkBytes, long maxFramingBytes, ReadBudget readBudget) {
            super(buffer);
            this.maxChunkBytes = maxChunkBytes;
            this.maxFramingBytes = maxFramingBytes;
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
            int lengthBefore = length();
            boolean lineComplete = super.readLine(line, endOfStream);
            framingBytes += Math.max(0, lengthBefore - length());
            if (framingBytes > maxFramingBytes) {
                throw new MalformedChunkCodingException("too many bytes of chunk framing");
            }
            if (lineComplete && !lastChunkSeen && !line.isEmpty()) {
                lastChunkSeen = parseSize(line) == 0;
            }
            return lineComplete;
        }

        /** Without regular expressions and copies, as there is one size for each event of a stream. */
        private long parseSize(CharArrayBuffer line) throws IOException {
            int extension = line.indexOf(';');
            int end = extension < 0 ? line.length() : extension;
            int start = 0;
            while (start < end && Character.isWhitespace(line.charAt(start))) {
                start++;
            }
            while (end > start && Character.isWhitespace(line.charAt(end - 1))) {
                end--;
            }
            if (start == end || end - start > MAX_SIZE_DIGITS) {
                throw new MalformedChunkCodingException("malformed chunk size");
            }
            long size = 0;
            for (int i = start; i < end; i++) {
                size = size * HEXADECIMAL + hexadecimalDigit(line.charAt(i));
            }
            if (size > maxChunkBytes) {
                throw new MalformedChunkCodingException("chunk too large: " + size + " bytes");
            }
            return size;
        }

        private static int hexadecimalDigit(char character) throws IOException {
            int digit = character < 128 ? Character.digit(character, HEXADECIMAL) : -1;
            if (digit < 0) {
                throw new MalformedChunkCodingException("malformed chunk size");
            }
            return digit;
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

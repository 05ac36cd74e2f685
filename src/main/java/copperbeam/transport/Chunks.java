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
            int most,
            Turn turn) {
        return new Decoder(new ChunkDecoder(channel, new Sizes(buffer, most, turn), config, metrics));
    }

    /**
     * Limits the bytes that are read from one connection in one turn of its reactor; the rest is read in the next turn.
     * HttpCore would read chunks for as long as there are any, so that a fast sender could block all other connections and
     * exceed its receive window.
     */
    static final class Turn {
        private final int most;
        private int left;

        Turn(int most) {
            this.most = most;
            left = most;
        }

        void begin() {
            left = most;
        }

        /** Whether the limit was reached, so that more input may be available. */
        boolean spent() {
            return left <= 0;
        }
    }

    /**
     * Checks each chunk-size line. Rejects sizes with a sign, with which HttpCore would read its buffer backwards, and chunks
     * of gigabytes.
     */
    private static final class Sizes extends BufferView {
        private static final Pattern SIZE = Pattern.compile("[0-9a-fA-F]{1,15}"); // compiled once, as it is used for each event of a stream
        private final int most;
        private final Turn turn;
        private boolean last;

        Sizes(SessionInputBuffer buffer, int most, Turn turn) {
            super(buffer);
            this.most = most;
            this.turn = turn;
        }

        @Override
        public int fill(ReadableByteChannel from) throws IOException {
            if (turn.spent()) {
                return 0;
            }
            int count = super.fill(from);
            turn.left -= count;
            return count;
        }

        @Override
        public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
            boolean whole = super.readLine(line, endOfStream);
            if (whole && !last && !line.isEmpty()) {
                last = size(line.toString()) == 0;
            }
            return whole;
        }

        private long size(String line) throws IOException {
            int extension = line.indexOf(';');
            String digits = (extension < 0 ? line : line.substring(0, extension)).strip();
            if (!SIZE.matcher(digits).matches()) {
                throw new MalformedChunkCodingException("malformed chunk size");
            }
            long size = Long.parseLong(digits, 16);
            if (size > most) {
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
        private final ChunkDecoder chunks;
        private IOException late;

        private Decoder(ChunkDecoder chunks) {
            this.chunks = chunks;
        }

        /** The error that follows the delivered data, or null; the next {@link #read} throws it as well. */
        IOException late() {
            return late;
        }

        @Override
        public int read(ByteBuffer to) throws IOException {
            if (late != null) {
                throw late;
            }
            int before = to.position();
            try {
                return chunks.read(to);
            } catch (IOException e) {
                late = e;
                if (to.position() == before) {
                    throw e;
                }
                return to.position() - before;
            }
        }

        @Override
        public boolean isCompleted() {
            return late == null && chunks.isCompleted();
        }

        @Override
        public List<? extends Header> getTrailers() {
            return chunks.getTrailers();
        }
    }
}

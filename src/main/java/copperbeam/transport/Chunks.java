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

/** HttpCore's reader of chunks with what it leaves open. */
final class Chunks {
    private Chunks() {}

    /** {@code most}: no chunk is larger. */
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
     * What one connection may be read on one turn of its reactor; what remains is read on the next. Guards against a
     * sender that holds up all others, and the window besides: HttpCore reads chunks for as long as there are any.
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

        /** More may be at hand than was read. */
        boolean spent() {
            return left <= 0;
        }
    }

    /**
     * Looks at each line that tells a chunk's size. Guards against sizes with a sign, on which HttpCore reads
     * its buffer backwards, and against chunks of gigabytes.
     */
    private static final class Sizes extends BufferView {
        private static final Pattern SIZE = Pattern.compile("[0-9a-fA-F]{1,15}"); // one for each event of a stream
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
                throw new MalformedChunkCodingException("a chunk's size that is none");
            }
            long size = Long.parseLong(digits, 16);
            if (size > most) {
                throw new MalformedChunkCodingException("a chunk of " + size + " bytes");
            }
            return size;
        }
    }

    /**
     * Hands on what was read before it tells what is wrong behind it. Guards against an event lost beside a
     * break: HttpCore's decoder throws away a whole chunk in hand with the bad news.
     */
    static final class Decoder implements ContentDecoder {
        private final ChunkDecoder chunks;
        private IOException late;

        private Decoder(ChunkDecoder chunks) {
            this.chunks = chunks;
        }

        /** What is wrong behind all that was handed on, or null; thrown too where more is asked for. */
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

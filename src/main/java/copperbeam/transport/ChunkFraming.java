package copperbeam.transport;

import copperbeam.protocol.AnswerProgress.Part;
import org.apache.hc.core5.http.MalformedChunkCodingException;

/**
 * Checks the lines between the chunks of a body (RFC 9112, section 7.1) byte by byte, as a line that is malformed may never end. Tells
 * for each byte whether it brings the next chunk nearer. Without I/O.
 */
final class ChunkFraming {
    /** Which line is due. */
    private enum Line {
        SIZE,
        CHUNK_END,
        TRAILER
    }

    /** The part of a size line that its last byte belongs to. */
    private enum SizePart {
        LEADING_SPACE,
        DIGITS,
        TRAILING_SPACE,
        EXTENSION
    }

    private static final int MAX_SIZE_DIGITS = 15; // leading zeros among them
    private static final int HEXADECIMAL = 16;

    private final int maxChunkBytes;
    private final int maxLineLength;
    private Line line = Line.SIZE;
    private int lineLength; // without its line feed
    private boolean endsWithCarriageReturn;
    private SizePart sizePart = SizePart.LEADING_SPACE;
    private int digits;
    private long size;

    /** {@code maxChunkBytes}: a larger chunk is an error; {@code maxLineLength}: so is a longer line. */
    ChunkFraming(int maxChunkBytes, int maxLineLength) {
        this.maxChunkBytes = maxChunkBytes;
        this.maxLineLength = maxLineLength;
    }

    /**
     * Takes the next byte of a line, its line feed included.
     *
     * @throws MalformedChunkCodingException if no byte that follows could make the line valid
     */
    Part accept(int next) throws MalformedChunkCodingException {
        if (next == '\n') {
            return endLine();
        }
        if (++lineLength > maxLineLength) {
            throw new MalformedChunkCodingException("line of chunk framing too long");
        }
        if (endsWithCarriageReturn && !isFreeText()) {
            throw new MalformedChunkCodingException("carriage return within a line of chunk framing");
        }
        endsWithCarriageReturn = next == '\r';
        return switch (line) {
            case SIZE -> acceptInSize(next);
            case CHUNK_END -> acceptAtChunkEnd();
            case TRAILER -> endsWithCarriageReturn && lineLength == 1 ? Part.FRAMING : Part.PADDING;
        };
    }

    /** The end of a line, which at the end of the connection may be without its line feed. */
    Part endLine() throws MalformedChunkCodingException {
        boolean isEmpty = lineLength == (endsWithCarriageReturn ? 1 : 0);
        Part part = line == Line.TRAILER && !isEmpty ? Part.PADDING : Part.FRAMING;
        if (line == Line.SIZE) {
            if (digits == 0) {
                throw new MalformedChunkCodingException("malformed chunk size");
            }
            line = size == 0 ? Line.TRAILER : Line.CHUNK_END;
        } else if (line == Line.CHUNK_END) {
            line = Line.SIZE;
        }
        lineLength = 0;
        endsWithCarriageReturn = false;
        sizePart = SizePart.LEADING_SPACE;
        digits = 0;
        size = 0;
        return part;
    }

    private boolean isFreeText() {
        return line == Line.TRAILER || line == Line.SIZE && sizePart == SizePart.EXTENSION;
    }

    private Part acceptAtChunkEnd() throws MalformedChunkCodingException {
        if (!endsWithCarriageReturn) {
            throw new MalformedChunkCodingException("CRLF expected at end of chunk");
        }
        return Part.FRAMING;
    }

    private Part acceptInSize(int next) throws MalformedChunkCodingException {
        if (sizePart == SizePart.EXTENSION) {
            return Part.PADDING;
        }
        if (endsWithCarriageReturn) {
            return Part.FRAMING;
        }
        if (next == ' ' || next == '\t') {
            sizePart = sizePart == SizePart.DIGITS ? SizePart.TRAILING_SPACE : sizePart;
            return Part.PADDING;
        }
        if (next == ';' && digits > 0) {
            sizePart = SizePart.EXTENSION;
            return Part.PADDING;
        }
        return acceptDigit(next);
    }

    private Part acceptDigit(int next) throws MalformedChunkCodingException {
        int digit = next < 128 ? Character.digit(next, HEXADECIMAL) : -1;
        if (digit < 0 || sizePart == SizePart.TRAILING_SPACE || ++digits > MAX_SIZE_DIGITS) {
            throw new MalformedChunkCodingException("malformed chunk size");
        }
        sizePart = SizePart.DIGITS;
        boolean isLeadingZero = size == 0 && digit == 0 && digits > 1;
        size = size * HEXADECIMAL + digit;
        if (size > maxChunkBytes) {
            throw new MalformedChunkCodingException("chunk too large: over " + maxChunkBytes + " bytes");
        }
        return isLeadingZero ? Part.PADDING : Part.FRAMING;
    }
}

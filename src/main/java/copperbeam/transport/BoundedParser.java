package copperbeam.transport;

import java.io.IOException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Adds checks to HttpCore's parser of message heads: a limit on the size of the whole head (against memory exhaustion),
 * no truncated head taken for a complete one, and no contradictory body lengths (against request smuggling).
 */
final class BoundedParser<T extends HttpMessage> implements NHttpMessageParser<T> {
    static final int MAX_HEAD_BYTES = 16 * 1024;
    /** UTF-8 for all heads, read and written, as names in the settings are; HttpCore's default is one byte a character. */
    static final CharCodingConfig HEAD_CODING = CharCodingConfig.custom()
            .setCharset(StandardCharsets.UTF_8)
            .setMalformedInputAction(CodingErrorAction.REPLACE)
            .setUnmappableInputAction(CodingErrorAction.REPLACE)
            .build();

    private static final Pattern CONTENT_LENGTH_PATTERN = Pattern.compile("[0-9]{1,18}");

    private final NHttpMessageParser<T> parser;
    private final boolean strict;
    private int headBytes; // bytes of the complete lines of the current head
    private int lineCount; // complete lines of the current head
    private int incompleteLineBytes; // received of the line that is not complete yet
    private boolean lastLineEmpty; // the last line read was empty
    private volatile boolean partial;

    /** {@code strict}: also checks the body's length and the characters of the head, as needed for requests. */
    BoundedParser(NHttpMessageParser<T> parser, boolean strict) {
        this.parser = parser;
        this.strict = strict;
    }

    /** Whether a head has begun and is not complete. */
    boolean isPartial() {
        return partial;
    }

    /** Estimate, in bytes, of what a partial head takes. */
    long partialHeadMemory() {
        return HeadMemory.estimate(lineCount + 1, headBytes + incompleteLineBytes);
    }

    @Override
    public void reset() {
        parser.reset();
        headBytes = 0;
        lineCount = 0;
        partial = false;
    }

    @Override
    public T parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        T head = parser.parse(new CountingBuffer(buffer), endOfStream);
        if (headBytes + (head == null ? buffer.length() : 0) > MAX_HEAD_BYTES) {
            throw new RequestHeaderFieldsTooLargeException("the head is larger than " + MAX_HEAD_BYTES + " bytes");
        }
        if (head != null && !lastLineEmpty) {
            throw new ConnectionClosedException("the connection ended within a head");
        }
        if (head != null && strict) {
            checkBodyLength(head);
            checkCharacters(head);
        }
        incompleteLineBytes = head == null ? buffer.length() : 0;
        partial = head == null && (headBytes > 0 || buffer.hasData());
        return head;
    }

    private static void checkBodyLength(HttpMessage head) throws HttpException {
        Header[] lengths = head.getHeaders(HttpHeaders.CONTENT_LENGTH);
        Header[] codings = head.getHeaders(HttpHeaders.TRANSFER_ENCODING);
        if (lengths.length + codings.length > 1) {
            throw new ProtocolException("more than one word on the body's length");
        }
        if (lengths.length == 1
                && !CONTENT_LENGTH_PATTERN.matcher(lengths[0].getValue()).matches()) {
            throw new ProtocolException("Content-Length is no length");
        }
        if (codings.length == 1 && !codings[0].getValue().equalsIgnoreCase("chunked")) {
            throw new ProtocolException("no Transfer-Encoding but chunked is known here");
        }
    }

    /** Rejects control characters, which HttpCore would forward as a space or a question mark. */
    private static void checkCharacters(HttpMessage head) throws HttpException {
        if (head instanceof HttpRequest request
                && !request.getRequestUri().chars().allMatch(c -> c > 32 && c < 127)) {
            throw new ProtocolException("the target is none");
        }
        for (Header header : head.getHeaders()) {
            if (header.getValue() != null && header.getValue().chars().anyMatch(c -> c < 32 && c != '\t' || c == 127)) {
                throw new ProtocolException("a control character in " + header.getName());
            }
        }
    }

    /** Counts the bytes of the lines that the parser reads. */
    private final class CountingBuffer extends ForwardingInputBuffer {
        CountingBuffer(SessionInputBuffer buffer) {
            super(buffer);
        }

        @Override
        public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
            int lengthBefore = length();
            boolean complete = super.readLine(line, endOfStream);
            if (complete) {
                lineCount++;
                lastLineEmpty = line.isEmpty();
                // an empty line that some clients send after a body begins no head; HttpCore accepts only a few of them
                headBytes += lastLineEmpty && headBytes == 0 ? 0 : lengthBefore - length();
            }
            return complete;
        }
    }
}

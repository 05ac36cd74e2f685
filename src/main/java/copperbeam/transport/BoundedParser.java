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
 * HttpCore's parser of heads with what it leaves open: a bound on the whole head, an end that is none, and
 * lengths that contradict each other. Guards against heads without end that fill the memory, half a head taken
 * for a whole one, and a second request hidden in the body of the first.
 */
final class BoundedParser<T extends HttpMessage> implements NHttpMessageParser<T> {
    static final int MOST_HEAD = 16 * 1024;
    /** Of all heads, read and written: as the settings' names. Else HttpCore takes each byte for a character. */
    static final CharCodingConfig CODING = CharCodingConfig.custom()
            .setCharset(StandardCharsets.UTF_8)
            .setMalformedInputAction(CodingErrorAction.REPLACE)
            .setUnmappableInputAction(CodingErrorAction.REPLACE)
            .build();

    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    private final NHttpMessageParser<T> parser;
    private final boolean strict;
    private int read; // bytes of whole lines of the head under way
    private boolean blank; // the last line read was empty
    private volatile boolean partial;

    /** {@code strict}: the sender must be clear about its body's length, as requests have to be. */
    BoundedParser(NHttpMessageParser<T> parser, boolean strict) {
        this.parser = parser;
        this.strict = strict;
    }

    /** A head has begun and is not whole. */
    boolean partial() {
        return partial;
    }

    @Override
    public void reset() {
        parser.reset();
        read = 0;
        partial = false;
    }

    @Override
    public T parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        T head = parser.parse(new Lines(buffer), endOfStream);
        if (read + (head == null ? buffer.length() : 0) > MOST_HEAD) {
            throw new RequestHeaderFieldsTooLargeException("the head is larger than " + MOST_HEAD + " bytes");
        }
        if (head != null && !blank) {
            throw new ConnectionClosedException("the connection ended within a head");
        }
        if (head != null && strict) {
            framing(head);
            text(head);
        }
        partial = head == null && (read > 0 || buffer.hasData());
        return head;
    }

    private static void framing(HttpMessage head) throws HttpException {
        Header[] lengths = head.getHeaders(HttpHeaders.CONTENT_LENGTH);
        Header[] codings = head.getHeaders(HttpHeaders.TRANSFER_ENCODING);
        if (lengths.length + codings.length > 1) {
            throw new ProtocolException("more than one word on the body's length");
        }
        if (lengths.length == 1 && !LENGTH.matcher(lengths[0].getValue()).matches()) {
            throw new ProtocolException("Content-Length is no length");
        }
        if (codings.length == 1 && !codings[0].getValue().equalsIgnoreCase("chunked")) {
            throw new ProtocolException("no Transfer-Encoding but chunked is known here");
        }
    }

    /** Guards against what HttpCore would pass on as something else: a control character as a space or a question mark. */
    private static void text(HttpMessage head) throws HttpException {
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

    /** Counts what the parser reads. */
    private final class Lines extends BufferView {
        Lines(SessionInputBuffer buffer) {
            super(buffer);
        }

        @Override
        public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
            int before = length();
            boolean whole = super.readLine(line, endOfStream);
            if (whole) {
                blank = line.isEmpty();
                // some clients send an empty line behind a body, which begins no head; HttpCore takes only a few
                read += blank && read == 0 ? 0 : before - length();
            }
            return whole;
        }
    }
}

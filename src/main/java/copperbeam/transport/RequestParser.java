package copperbeam.transport;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolVersion;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.UnsupportedHttpVersionException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.RequestConformance;
import org.apache.hc.core5.http.protocol.RequestValidateHost;

/**
 * Parses request heads. A malformed head is replaced by a substitute, so that {@link ServerExchange} rejects the request:
 * HttpCore itself would answer and close with input unread, and the TCP reset may destroy the answer.
 */
final class RequestParser implements NHttpMessageParser<HttpRequest> {
    private final BoundedParser<HttpRequest> parser;
    private HttpException parseError;
    private boolean inputEnded;

    RequestParser(Http1Config config) {
        parser = new BoundedParser<>(new DefaultHttpRequestParserFactory(config).create(), true);
    }

    /** Why a head was replaced by a substitute; null if none was. */
    HttpException parseError() {
        return parseError;
    }

    boolean isPartial() {
        return parseError == null && parser.isPartial();
    }

    /** Estimate, in bytes, of what a head takes of which some is still to come; 0 if there is none. */
    long partialHeadMemory() {
        return isPartial() ? parser.partialHeadMemory() : 0;
    }

    /** Whether the client has closed its sending side. */
    boolean isInputEnded() {
        return inputEnded;
    }

    @Override
    public void reset() {
        parser.reset();
    }

    @Override
    public HttpRequest parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        inputEnded |= endOfStream;
        try {
            HttpRequest head = parser.parse(buffer, endOfStream);
            if (head != null) {
                checkConformance(head);
            }
            return head;
        } catch (HttpException e) {
            parseError = e;
            HttpRequest substitute = new BasicHttpRequest("GET", "/");
            substitute.setHeader("Host", "unreadable"); // required by HttpCore
            return substitute;
        }
    }

    /** Makes the checks that HttpCore itself makes only after parsing, where it would answer and close by itself. */
    private static void checkConformance(HttpRequest head) throws IOException, HttpException {
        ProtocolVersion version = head.getVersion();
        if (version != null && version.greaterEquals(HttpVersion.HTTP_2)) {
            throw new UnsupportedHttpVersionException(version);
        }
        head.setScheme(URIScheme.HTTP.id);
        HttpCoreContext context = HttpCoreContext.create();
        RequestValidateHost.INSTANCE.process(head, null, context);
        RequestConformance.INSTANCE.process(head, null, context);
    }
}

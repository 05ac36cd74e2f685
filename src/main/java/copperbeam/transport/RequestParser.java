package copperbeam.transport;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * A client's heads. For one that can't be read a head comes that stands for it, so that it is turned away as others are:
 * HttpCore would close behind its own answer with bytes unread, and the system's reset may take the answer along.
 */
final class RequestParser implements NHttpMessageParser<HttpRequest> {
    private final BoundedParser<HttpRequest> parser;
    private HttpException unreadable;

    RequestParser(Http1Config config) {
        parser = new BoundedParser<>(new DefaultHttpRequestParserFactory(config).create(), true);
    }

    /** What the head was not read for that another one stands for; null where there is none. */
    HttpException unreadable() {
        return unreadable;
    }

    boolean partial() {
        return unreadable == null && parser.partial();
    }

    boolean failed() {
        return parser.failed();
    }

    @Override
    public void reset() {
        parser.reset();
    }

    @Override
    public HttpRequest parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        try {
            return parser.parse(buffer, endOfStream);
        } catch (HttpException e) {
            unreadable = e;
            HttpRequest standsIn = new BasicHttpRequest("GET", "/");
            standsIn.setHeader("Host", "unreadable"); // else HttpCore turns it away
            return standsIn;
        }
    }
}

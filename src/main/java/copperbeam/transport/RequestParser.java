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
 * A client's heads. For one that can't be read a head comes that stands for it, so that it is turned away as others are:
 * HttpCore would close behind its own answer with bytes unread, and the system's reset may take the answer along.
 */
final class RequestParser implements NHttpMessageParser<HttpRequest> {
    private final BoundedParser<HttpRequest> parser;
    private HttpException unreadable;
    private boolean ended;

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

    /** The client has ended its sending. */
    boolean ended() {
        return ended;
    }

    @Override
    public void reset() {
        parser.reset();
    }

    @Override
    public HttpRequest parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        ended |= endOfStream;
        try {
            HttpRequest head = parser.parse(buffer, endOfStream);
            if (head != null) {
                conform(head);
            }
            return head;
        } catch (HttpException e) {
            unreadable = e;
            HttpRequest standsIn = new BasicHttpRequest("GET", "/");
            standsIn.setHeader("Host", "unreadable"); // else HttpCore turns it away
            return standsIn;
        }
    }

    /** The checks that HttpCore makes only behind the parser, where it closes by itself behind its own answer. */
    private static void conform(HttpRequest head) throws IOException, HttpException {
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

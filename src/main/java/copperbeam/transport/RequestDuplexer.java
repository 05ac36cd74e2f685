package copperbeam.transport;

import copperbeam.protocol.HttpCall;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.List;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.TruncatedChunkException;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** HttpCore's protocol handler of a client's connection; bounds bodies, and rejects malformed requests with an answer. */
final class RequestDuplexer extends ServerHttp1StreamDuplexer {
    private static final String CLOSES_AFTER_ANSWER = "copperbeam.closes-after-answer"; // attribute of an HttpContext
    private static final HttpProcessor PROCESSOR = HttpProcessors.server();

    final Chunks.ReadBudget readBudget = new Chunks.ReadBudget(HttpFrontServer.MAX_READ_BYTES_PER_TURN);
    private final RequestParser parser;
    private final ClientConnections.Client client;

    RequestDuplexer(
            ProtocolIOSession session,
            RequestParser parser,
            ClientConnections.Client client,
            HandlerFactory<AsyncServerExchangeHandler> exchangeFactory) {
        super(
                session,
                PROCESSOR,
                exchangeFactory,
                "http",
                HttpFrontServer.HTTP1_CONFIG,
                BoundedParser.HEAD_CODING,
                RequestDuplexer::noteReuse,
                parser,
                DefaultHttpResponseWriterFactory.INSTANCE.create(),
                null,
                null,
                null,
                null);
        this.parser = parser;
        this.client = client;
    }

    /**
     * Notes whether the connection is to be closed after this answer. HttpCore would close it at once, which resets it and loses what
     * the client has not read if any input is unread then; so it is told to keep the connection.
     */
    private static boolean noteReuse(HttpRequest request, HttpResponse response, HttpContext context) {
        if (!DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, context)) {
            context.setAttribute(CLOSES_AFTER_ANSWER, Boolean.TRUE);
        }
        return true;
    }

    /** Whether the connection is to be closed after the answer with this context, the head of which was sent. */
    static boolean closesAfterAnswer(HttpContext context) {
        return context.getAttribute(CLOSES_AFTER_ANSWER) != null;
    }

    @Override
    protected ContentDecoder createContentDecoder(
            long length, ReadableByteChannel channel, SessionInputBuffer buffer, BasicHttpTransportMetrics metrics)
            throws HttpException {
        client.parseError = parser.parseError();
        client.ignoresRequests |=
                client.parseError != null || client.openRequests() >= ServerExchange.MAX_PIPELINED_REQUESTS;
        if (client.ignoresRequests) {
            // a body without end, since HttpCore would close by itself after the answer to a complete request
            return super.createContentDecoder(Long.MAX_VALUE, channel, buffer, metrics);
        }
        return length == ContentLengthStrategy.CHUNKED
                ? new ChunkedBody(
                        Chunks.decoder(
                                channel,
                                buffer,
                                HttpFrontServer.HTTP1_CONFIG,
                                metrics,
                                HttpCall.MAX_BODY_BYTES,
                                HttpCall.MAX_BODY_BYTES,
                                readBudget,
                                part -> {}),
                        super.createContentDecoder(Long.MAX_VALUE, channel, buffer, metrics))
                : super.createContentDecoder(length, channel, buffer, metrics);
    }

    /**
     * Decodes a chunked body. From malformed chunks on it discards input without end; HttpCore would close at once, while
     * earlier requests still wait for their answers.
     */
    private final class ChunkedBody implements ContentDecoder {
        private final Chunks.Decoder chunkDecoder;
        private final ContentDecoder remainder;
        private boolean discarding;

        ChunkedBody(Chunks.Decoder chunkDecoder, ContentDecoder remainder) {
            this.chunkDecoder = chunkDecoder;
            this.remainder = remainder;
        }

        @Override
        public int read(ByteBuffer to) throws IOException {
            if (discarding) {
                return remainder.read(to);
            }
            int count = 0;
            try {
                count = chunkDecoder.read(to);
            } catch (IOException e) {
                if (!isMalformed(e)) {
                    throw e;
                }
            }
            if (isMalformed(chunkDecoder.deferredError())) {
                discarding = true;
                client.currentExchange.rejectMalformedBody("the chunks of the body can not be read");
            }
            return count;
        }

        private static boolean isMalformed(IOException e) {
            return e instanceof MessageConstraintException
                    || e != null && e.getCause() instanceof ParseException // a malformed trailer
                    || e instanceof MalformedChunkCodingException && !(e instanceof TruncatedChunkException);
        }

        @Override
        public boolean isCompleted() {
            return !discarding && chunkDecoder.isCompleted();
        }

        @Override
        public List<? extends Header> getTrailers() {
            return chunkDecoder.getTrailers();
        }
    }
}

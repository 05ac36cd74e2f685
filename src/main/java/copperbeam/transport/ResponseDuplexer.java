package copperbeam.transport;

import copperbeam.protocol.AnswerProgress;
import java.io.IOException;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.ContentEncoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.nio.SessionOutputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** HttpCore's protocol handler of a connection to a server or service; bounds responses and observes their framing. */
final class ResponseDuplexer extends ClientHttp1StreamDuplexer {
    private static final int BUFFER_BYTES = 4096;
    private static final int MAX_READ_BYTES_PER_TURN = BUFFER_BYTES; // per connection; exceeds the window at most
    static final Http1Config CONFIG = Http1Config.custom()
            .setBufferSize(BUFFER_BYTES)
            .setInitialWindowSize(ClientExchange.WINDOW_BYTES)
            .setMaxLineLength(8 * 1024)
            .setMaxHeaderCount(100)
            .build();
    private static final HttpProcessor PROCESSOR = HttpProcessorBuilder.create()
            .addAll(new RequestTargetHost(), new RequestContent(), new RequestConnControl())
            .build();

    final Chunks.ReadBudget readBudget = new Chunks.ReadBudget(MAX_READ_BYTES_PER_TURN);
    private final ResponseLimits limits;
    private Chunks.Decoder chunkDecoder;
    private SessionOutputBuffer outputBuffer;
    volatile ClientExchange exchange; // the current one, or null

    ResponseDuplexer(ProtocolIOSession session, BoundedParser<HttpResponse> parser, ResponseLimits limits) {
        super(
                session,
                PROCESSOR,
                CONFIG,
                BoundedParser.HEAD_CODING,
                null,
                parser,
                DefaultHttpRequestWriterFactory.INSTANCE.create(),
                null,
                null,
                null);
        this.limits = limits;
    }

    @Override
    protected ContentDecoder createContentDecoder(
            long length, ReadableByteChannel channel, SessionInputBuffer buffer, BasicHttpTransportMetrics metrics)
            throws HttpException {
        if (length != ContentLengthStrategy.CHUNKED) {
            return super.createContentDecoder(length, channel, buffer, metrics);
        }
        chunkDecoder = Chunks.decoder(
                channel,
                buffer,
                CONFIG,
                metrics,
                limits.maxChunkBytes(),
                Chunks.UNLIMITED_FRAMING,
                readBudget,
                this::framingRead);
        return chunkDecoder;
    }

    @Override
    protected ContentEncoder createContentEncoder(
            long length, WritableByteChannel channel, SessionOutputBuffer buffer, BasicHttpTransportMetrics metrics)
            throws HttpException {
        outputBuffer = buffer;
        return super.createContentEncoder(length, channel, buffer, metrics);
    }

    /**
     * Whether HttpCore still buffers output. It buffers small bodies and the ends of large ones, and writes them to the
     * socket on a later turn. The buffer is emptied from its front, and a failed write removes nothing from it.
     */
    boolean hasBufferedOutput() {
        return outputBuffer != null && outputBuffer.hasData();
    }

    private void framingRead(AnswerProgress.Part part) {
        ClientExchange current = exchange;
        if (current != null) {
            current.progress().received(part, System.nanoTime());
        }
    }

    IOException deferredError() {
        return chunkDecoder == null ? null : chunkDecoder.deferredError();
    }
}

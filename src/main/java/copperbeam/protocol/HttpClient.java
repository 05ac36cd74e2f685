package copperbeam.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;

/** Makes HTTP calls to services other than the servers, such as discovery. */
public interface HttpClient {
    /** {@code connectTimeout}: time limit to connect; {@code silenceTimeout}: a call fails after this time without a byte. */
    record Timeouts(Duration connectTimeout, Duration silenceTimeout) {}

    /** Makes a call. The returned callback cancels it. */
    Runnable send(
            InetSocketAddress address,
            String method,
            String target,
            byte[] body,
            Timeouts timeouts,
            ResponseListener response);

    /** Receives the response; the last notification is {@code end} or {@code failed}. */
    interface ResponseListener {
        void head(int status);

        /** Receives a part of the body. If it throws, the call fails. */
        void data(byte[] bytes) throws IOException;

        void end();

        void failed(String reason);
    }

    /** A complete response; or, with {@code status} 0, none, and {@code failure} says why (else it is null). */
    record FullResponse(int status, byte[] body, String failure) {}

    /**
     * Makes a call and collects the response. A body above {@code maxBodyBytes} fails the call, as an endless one would fill
     * the memory.
     */
    default Runnable fetch(
            InetSocketAddress address,
            String method,
            String target,
            byte[] body,
            Timeouts timeouts,
            int maxBodyBytes,
            Consumer<FullResponse> onResponse) {
        return send(address, method, target, body, timeouts, new ResponseListener() {
            private final ByteArrayOutputStream received = new ByteArrayOutputStream();
            private int status;

            @Override
            public void head(int code) {
                status = code;
            }

            @Override
            public void data(byte[] bytes) throws IOException {
                if (received.size() + bytes.length > maxBodyBytes) {
                    throw new IOException("a body above " + maxBodyBytes + " bytes");
                }
                received.writeBytes(bytes);
            }

            @Override
            public void end() {
                onResponse.accept(new FullResponse(status, received.toByteArray(), null));
            }

            @Override
            public void failed(String why) {
                onResponse.accept(new FullResponse(0, new byte[0], why));
            }
        });
    }
}

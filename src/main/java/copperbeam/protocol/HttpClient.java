package copperbeam.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;

/** Makes HTTP calls to services other than the servers, such as discovery. */
public interface HttpClient {
    /** {@code connectTimeout}: time limit to connect; {@code silenceTimeout}: a call fails after this time without a byte. */
    record Patience(Duration connect, Duration silence) {}

    /** Makes a call. The returned callback cancels it. */
    Runnable send(
            InetSocketAddress to, String method, String target, byte[] body, Patience patience, Response response);

    /** Receives the response; the last notification is {@code end} or {@code failed}. */
    interface Response {
        void head(int status);

        /** Receives a part of the body. If it throws, the call fails. */
        void data(byte[] bytes) throws IOException;

        void end();

        void failed(String why);
    }

    /** A complete response; or, with {@code status} 0, none, and {@code failure} says why (else it is null). */
    record Answer(int status, byte[] body, String fault) {}

    /**
     * Makes a call and collects the response. A body above {@code maxBodyBytes} fails the call, as an endless one would fill
     * the memory.
     */
    default Runnable whole(
            InetSocketAddress to,
            String method,
            String target,
            byte[] body,
            Patience patience,
            int most,
            Consumer<Answer> whole) {
        return send(to, method, target, body, patience, new Response() {
            private final ByteArrayOutputStream all = new ByteArrayOutputStream();
            private int status;

            @Override
            public void head(int code) {
                status = code;
            }

            @Override
            public void data(byte[] bytes) throws IOException {
                if (all.size() + bytes.length > most) {
                    throw new IOException("a body above " + most + " bytes");
                }
                all.writeBytes(bytes);
            }

            @Override
            public void end() {
                whole.accept(new Answer(status, all.toByteArray(), null));
            }

            @Override
            public void failed(String why) {
                whole.accept(new Answer(0, new byte[0], why));
            }
        });
    }
}

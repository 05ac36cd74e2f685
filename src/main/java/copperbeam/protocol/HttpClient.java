package copperbeam.protocol;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;

/** Plain calls to services beside the servers, such as discovery. */
public interface HttpClient {
    /** {@code connect}: until it is up; {@code silence}: fails after so long without a byte. */
    record Patience(Duration connect, Duration silence) {}

    /** The returned ends the call early. */
    Runnable send(
            InetSocketAddress to, String method, String target, byte[] body, Patience patience, Response response);

    /** The last call is {@code end} or {@code failed}. */
    interface Response {
        void head(int status);

        /** What it throws ends the call as failed. */
        void data(byte[] bytes) throws IOException;

        void end();

        void failed(String why);
    }

    /** {@code status} 0: there was no whole answer, and {@code fault} says why; else that is null. */
    record Answer(int status, byte[] body, String fault) {}

    /** A whole answer, as most calls want it, of at most {@code most} bytes: one without end would take all memory. */
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

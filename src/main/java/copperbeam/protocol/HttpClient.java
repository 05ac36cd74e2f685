package copperbeam.protocol;

import java.net.InetSocketAddress;
import java.time.Duration;

/** Plain calls to services beside the servers, such as discovery. */
public interface HttpClient {
    /** The returned ends the call early. {@code silence}: fails after so long without a byte. */
    Runnable send(InetSocketAddress to, String method, String target, byte[] body, Duration silence,
            Response response);

    /** The last call is {@code end} or {@code failed}. */
    interface Response {
        void head(int status);

        void data(byte[] bytes);

        void end();

        void failed();
    }

    /** A whole answer, as most calls want it. */
    interface Whole {
        /** {@code status} 0: there was no whole answer. */
        void answered(int status, byte[] body);
    }

    default Runnable whole(InetSocketAddress to, String method, String target, byte[] body, Duration silence,
            Whole whole) {
        return send(to, method, target, body, silence, new Response() {
            private final java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
            private int status;

            @Override
            public void head(int code) {
                status = code;
            }

            @Override
            public void data(byte[] bytes) {
                all.writeBytes(bytes);
            }

            @Override
            public void end() {
                whole.answered(status, all.toByteArray());
            }

            @Override
            public void failed() {
                whole.answered(0, new byte[0]);
            }
        });
    }
}

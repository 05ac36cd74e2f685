package copperbeam.transport;

import java.io.IOException;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Where what goes wrong inside a reactor is told. */
final class Problems {
    private static final Logger LOG = Logger.getLogger("copperbeam.transport");

    private Problems() {}

    /** Broken connections are ordinary here; anything else is a fault of ours. */
    static void report(Exception e) {
        if (!(e instanceof IOException) && !(e instanceof org.apache.hc.core5.http.HttpException)) {
            LOG.log(Level.WARNING, "in a reactor", e);
        }
    }

    /** Of one connection: an Error, as by a stack that is used up, would end the reactor and with it all others. */
    static IOException broken(Error e) {
        LOG.log(Level.SEVERE, "a connection's turn failed", e);
        return new IOException("its turn failed", e);
    }
}

package copperbeam.transport;

import copperbeam.routing.FailureLog;
import java.io.IOException;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;

/** Logs exceptions and errors inside a reactor. */
final class ReactorErrors {
    private static final Logger LOG = Logger.getLogger("copperbeam.transport");

    private ReactorErrors() {}

    /** Logs an exception unless it is due to a broken connection or a malformed message. */
    static void report(Exception e) {
        if (!(e instanceof IOException) && !(e instanceof org.apache.hc.core5.http.HttpException)) {
            FailureLog.log(LOG, Level.WARNING, () -> "unexpected exception in a reactor", e);
        }
    }

    /** Runs a step of one connection's event handler. An Error in it closes this connection, not the reactor. */
    static void contain(IOSession session, Runnable step) {
        try {
            step.run();
        } catch (Error e) {
            logAndWrap(e);
            session.close(CloseMode.IMMEDIATE);
        }
    }

    /**
     * Logs an Error in one connection's handler, such as a stack overflow, and returns an exception that closes only that
     * connection; the Error itself would end the reactor and all its connections.
     */
    static IOException logAndWrap(Error e) {
        FailureLog.severe(LOG, () -> "a connection's event handler failed", e);
        return new IOException("the event handler failed", e);
    }
}

package copperbeam.routing;

import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Logs failures in places that must go on whatever happens, even if logging fails too, as when the heap is full. */
public final class FailureLog {
    private FailureLog() {}

    /** Logs the failure as severe. Never throws. */
    public static void severe(Logger log, Supplier<String> message, Throwable failure) {
        log(log, Level.SEVERE, message, failure);
    }

    /** Logs the failure at this level. Never throws. */
    public static void log(Logger log, Level level, Supplier<String> message, Throwable failure) {
        try {
            log.log(level, message.get(), failure);
        } catch (RuntimeException | Error e) {
            // nothing is left that could be told, and the caller's work is worth more than this line
        }
    }
}

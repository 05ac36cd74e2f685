package copperbeam.program;

import java.util.logging.LogManager;

/**
 * Keeps the log open until the process ends. The JDK's own manager closes it in a shutdown hook, so that nothing of a stop
 * would be logged.
 */
public final class StopLogManager extends LogManager {
    private static volatile boolean kept;

    /** From now on the log stays open. */
    static void keep() {
        kept = true;
    }

    @Override
    public void reset() {
        if (!kept) {
            super.reset();
        }
    }
}

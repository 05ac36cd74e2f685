package copperbeam.program;

import java.util.logging.LogManager;

/**
 * Keeps the log handlers open until the process ends. The JDK's own log manager closes them in a shutdown hook, so log lines
 * of the stop would be lost.
 */
public final class StopLogManager extends LogManager {
    private static volatile boolean keepOpen;

    /** Keeps the log handlers open from now on. */
    static void keepOpen() {
        keepOpen = true;
    }

    @Override
    public void reset() {
        if (!keepOpen) {
            super.reset();
        }
    }
}

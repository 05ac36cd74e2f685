package copperbeam.program;

import java.util.logging.Logger;

/** Logs what memory the process may use, and warns if its heap is too large for {@code limits.memory_mb}. */
final class MemoryReport {
    private static final Logger LOG = Logger.getLogger(MemoryReport.class.getName());
    private static final int MIN_MEMORY_BESIDE_HEAP_MB = 56;

    private MemoryReport() {}

    static void log(Config.Limits limits) {
        long heapMb = Runtime.getRuntime().maxMemory() >> 20;
        LOG.info(() -> "memory_mb is " + limits.memoryMb() + ", the heap takes " + heapMb + " MB at most; "
                + limits.memoryLimits());
        if (limits.memoryMb() < heapMb + MIN_MEMORY_BESIDE_HEAP_MB) {
            LOG.warning(
                    "limits.memory_mb: " + limits.memoryMb() + " MB can't be kept: with this heap the process needs "
                            + (heapMb + MIN_MEMORY_BESIDE_HEAP_MB) + " MB");
        }
    }
}

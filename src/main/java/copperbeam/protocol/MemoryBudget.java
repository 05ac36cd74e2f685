package copperbeam.protocol;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes that many holders keep together. For any thread. */
public final class MemoryBudget {
    private final long maxBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    public static MemoryBudget unlimited() {
        return new MemoryBudget(Long.MAX_VALUE / 2); // half, so that a sum of two never overflows
    }

    /** Reserves bytes; false, with nothing reserved, if the limit would be exceeded. */
    public boolean tryReserve(long bytes) {
        if (reservedBytes.addAndGet(bytes) > maxBytes) {
            reservedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Reserves bytes even if the limit is exceeded then. */
    public void reserveBeyondLimit(long bytes) {
        reservedBytes.addAndGet(bytes);
    }

    /** Whether more is reserved than the limit allows. */
    public boolean isExceeded() {
        return reservedBytes.get() > maxBytes;
    }

    public void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    /** Whether so many bytes could be reserved while nobody else holds any. */
    public boolean couldHold(long bytes) {
        return bytes <= maxBytes;
    }

    public long reservedBytes() {
        return reservedBytes.get();
    }
}

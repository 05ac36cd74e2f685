package copperbeam.protocol;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The bytes of a request's body, and their part of a {@link MemoryBudget}. Both are given up together, once the request needs
 * the body no more and no attempt is sending it; whatever else still refers to the request, such as a timer, then keeps no body
 * in memory. For any thread.
 */
public final class RequestBody {
    private static final byte[] FREED = {};

    private final MemoryBudget budget;
    private volatile long reservedBytes;
    private final AtomicInteger users = new AtomicInteger(1); // the request itself, and each attempt that is sending
    private final AtomicBoolean released = new AtomicBoolean();
    private volatile byte[] bytes;

    /** {@code reservedBytes}: already reserved in the budget for this body, and given back with it. */
    public RequestBody(byte[] bytes, MemoryBudget budget, long reservedBytes) {
        this.bytes = bytes;
        this.budget = budget;
        this.reservedBytes = reservedBytes;
    }

    /** A body that no budget counts. */
    public static RequestBody uncounted(byte[] bytes) {
        return new RequestBody(bytes, MemoryBudget.unlimited(), 0);
    }

    /** The bytes, which must not be changed; empty once they were given up. */
    public byte[] bytes() {
        return bytes;
    }

    /** The budget that counts this body. */
    public MemoryBudget budget() {
        return budget;
    }

    /**
     * Puts other bytes in place of the body's, before any attempt; false, with nothing changed, if the budget is used up. The
     * budget then counts their length.
     */
    public boolean replaceBytes(byte[] replacement) {
        long added = replacement.length - reservedBytes;
        if (!budget.tryReserve(added)) {
            return false;
        }
        reservedBytes += added;
        bytes = replacement;
        return true;
    }

    /** Keeps the bytes until {@link #endUse}; false if they were given up already. */
    public boolean beginUse() {
        return users.getAndUpdate(count -> count == 0 ? 0 : count + 1) > 0;
    }

    public void endUse() {
        if (users.decrementAndGet() == 0) {
            bytes = FREED;
            budget.release(reservedBytes);
        }
    }

    /** The request needs the body no more; attempts that are sending it go on. Has an effect once. */
    public void release() {
        if (released.compareAndSet(false, true)) {
            endUse();
        }
    }
}

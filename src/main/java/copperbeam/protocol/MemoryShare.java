package copperbeam.protocol;

import java.util.concurrent.atomic.AtomicLong;

/**
 * What one holder keeps of a {@link MemoryBudget}. The first bytes are free of charge, so that a small holder is never turned
 * away because of large ones. For any thread.
 */
public final class MemoryShare {
    private static final long CLOSED = -1;

    private final MemoryBudget budget;
    private final long freeBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    public MemoryShare(MemoryBudget budget, long freeBytes) {
        this.budget = budget;
        this.freeBytes = freeBytes;
    }

    /** Adds bytes; false, with nothing added, if the budget is used up. Has no effect after {@link #close}. */
    public boolean add(long bytes) {
        while (true) {
            long held = heldBytes.get();
            if (held == CLOSED) {
                return true;
            }
            long charge = charged(held + bytes) - charged(held);
            if (!budget.tryReserve(charge)) {
                return false;
            } else if (heldBytes.compareAndSet(held, held + bytes)) {
                return true;
            }
            budget.release(charge);
        }
    }

    /** Adds bytes even if the budget is used up. Has no effect after {@link #close}. */
    public void addBeyondLimit(long bytes) {
        long before = heldBytes.getAndUpdate(held -> held == CLOSED ? CLOSED : held + bytes);
        if (before != CLOSED) {
            budget.reserveBeyondLimit(charged(before + bytes) - charged(before));
        }
    }

    /** Takes back bytes that were added. Has no effect after {@link #close}. */
    public void remove(long bytes) {
        long before = heldBytes.getAndUpdate(held -> held == CLOSED ? CLOSED : held - bytes);
        if (before != CLOSED) {
            budget.release(charged(before) - charged(before - bytes));
        }
    }

    /** Changes the bytes held to this number; false, with nothing changed, if the budget is used up. For one thread only. */
    public boolean set(long bytes) {
        long held = heldBytes.get();
        if (bytes > held) {
            return add(bytes - held);
        }
        remove(held - bytes);
        return true;
    }

    /** Gives back all bytes for good. */
    public void close() {
        long before = heldBytes.getAndSet(CLOSED);
        if (before != CLOSED) {
            budget.release(charged(before));
        }
    }

    private long charged(long held) {
        return Math.max(0, held - freeBytes);
    }
}

package copperbeam.transport;

import copperbeam.protocol.MemoryBudget;
import copperbeam.protocol.RequestBody;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Collects a request's body. What it has allocated is reserved in a budget: it grows by doubling as bytes come in, but not beyond
 * the announced length, so that a client that announces much and sends little takes little memory. For one thread.
 */
final class BodyBuffer {
    private static final int INITIAL_CAPACITY_BYTES = 1024;

    private final MemoryBudget budget;
    private byte[] bytes = {};
    private int size;

    BodyBuffer(MemoryBudget budget) {
        this.budget = budget;
    }

    int size() {
        return size;
    }

    /**
     * Adds the bytes; false, with nothing added, if the budget is used up.
     *
     * @param announcedBytes the length of the whole body, negative if unknown
     */
    boolean add(ByteBuffer added, long announcedBytes) {
        int needed = size + added.remaining();
        if (needed > bytes.length && !setCapacity(nextCapacity(needed, announcedBytes))) {
            return false;
        }
        int count = added.remaining();
        added.get(bytes, size, count);
        size += count;
        return true;
    }

    private int nextCapacity(int needed, long announcedBytes) {
        int capacity = Math.max(needed, Math.max(INITIAL_CAPACITY_BYTES, 2 * bytes.length));
        return announcedBytes >= needed ? (int) Math.min(capacity, announcedBytes) : capacity;
    }

    private boolean setCapacity(int capacity) {
        int growth = capacity - bytes.length;
        if (!budget.tryReserve(growth)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    /** Returns the whole body, which takes over what is reserved, and starts anew. */
    RequestBody take() {
        int unused = bytes.length - size;
        RequestBody body = new RequestBody(unused == 0 ? bytes : Arrays.copyOf(bytes, size), budget, size);
        budget.release(unused);
        bytes = new byte[0];
        size = 0;
        return body;
    }

    /** Gives up the bytes and what is reserved for them. */
    void clear() {
        budget.release(bytes.length);
        bytes = new byte[0];
        size = 0;
    }
}

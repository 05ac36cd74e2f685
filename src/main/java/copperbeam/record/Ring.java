package copperbeam.record;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Ring buffer of the latest messages, each preceded by its length. It has two halves of fixed size: when the current one is
 * full, the older one is cleared and becomes the current one. So at least one filled half is kept once messages are dropped,
 * and the contents begin with a complete message. Not thread-safe.
 */
final class Ring {
    private byte[] current;
    private byte[] older;
    private int used;
    private int olderUsed;
    private int count;
    private int olderCount;
    private long lost;

    /** {@code bytes}: total size, at least 256. */
    Ring(int bytes) {
        if (bytes < 256) {
            throw new IllegalArgumentException("ring size below 256 bytes");
        }
        current = new byte[bytes / 2];
        older = new byte[bytes / 2];
    }

    /** Adds a message; one that is larger than half of the ring is dropped and counted as lost. */
    void add(MessageLite message) {
        int size = message.getSerializedSize();
        int sizeWithLength = size + CodedOutputStream.computeUInt32SizeNoTag(size);
        if (sizeWithLength > current.length) {
            lost++;
            return;
        }
        if (used + sizeWithLength > current.length) {
            lost += olderCount;
            byte[] full = current;
            current = older;
            older = full;
            olderUsed = used;
            olderCount = count;
            used = 0;
            count = 0;
        }
        CodedOutputStream out = CodedOutputStream.newInstance(current, used, sizeWithLength);
        try {
            out.writeUInt32NoTag(size);
            message.writeTo(out);
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // can't happen, as there is room for the message
        }
        used += sizeWithLength;
        count++;
    }

    /** Number of messages that were overwritten or too large. */
    long lost() {
        return lost;
    }

    /** A copy of the contents, oldest message first. */
    byte[] contents() {
        byte[] copied = new byte[olderUsed + used];
        System.arraycopy(older, 0, copied, 0, olderUsed);
        System.arraycopy(current, 0, copied, olderUsed, used);
        return copied;
    }
}

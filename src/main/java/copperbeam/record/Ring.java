package copperbeam.record;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * The last messages added, each behind its length, in two halves of fixed size: where one is full the older one is
 * emptied and takes its place. So at least half of the size is always held, and what is held begins with a whole
 * message. Not for use by several threads.
 */
final class Ring {
    private byte[] current;
    private byte[] older;
    private int used;
    private int olderUsed;
    private int count;
    private int olderCount;
    private long lost;

    /** {@code bytes}: 256 at least. */
    Ring(int bytes) {
        if (bytes < 256) {
            throw new IllegalArgumentException("a ring of less than 256 bytes");
        }
        current = new byte[bytes / 2];
        older = new byte[bytes / 2];
    }

    /** One that is larger than half of the ring is counted as lost. */
    void add(MessageLite message) {
        int size = message.getSerializedSize();
        int whole = size + CodedOutputStream.computeUInt32SizeNoTag(size);
        if (whole > current.length) {
            lost++;
            return;
        }
        if (used + whole > current.length) {
            lost += olderCount;
            byte[] full = current;
            current = older;
            older = full;
            olderUsed = used;
            olderCount = count;
            used = 0;
            count = 0;
        }
        CodedOutputStream out = CodedOutputStream.newInstance(current, used, whole);
        try {
            out.writeUInt32NoTag(size);
            message.writeTo(out);
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // there was room for it
        }
        used += whole;
        count++;
    }

    /** Messages that are held no more. */
    long lost() {
        return lost;
    }

    /** A copy of all that is held, the oldest first. */
    byte[] copy() {
        byte[] all = new byte[olderUsed + used];
        System.arraycopy(older, 0, all, 0, olderUsed);
        System.arraycopy(current, 0, all, olderUsed, used);
        return all;
    }
}

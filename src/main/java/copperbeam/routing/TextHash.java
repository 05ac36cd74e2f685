package copperbeam.routing;

/** A 64-bit hash of texts that come from clients, for places that must not keep the texts themselves. */
public final class TextHash {
    private static final long OFFSET_BASIS = 0xCBF29CE484222325L;
    private static final long PRIME = 0x100000001B3L;

    private TextHash() {}

    /** FNV-1a of the text, a step for each UTF-16 code unit; 0 for null. */
    public static long fnv1a(String text) {
        if (text == null) {
            return 0;
        }
        long hash = OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        return hash;
    }
}

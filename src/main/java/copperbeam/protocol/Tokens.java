package copperbeam.protocol;

/** Lengths of texts in tokens; by the platform's protocol a token is four characters. */
public final class Tokens {
    private static final int CHARS_PER_TOKEN = 4;

    private Tokens() {}

    /** The number of tokens in a text of so many characters, rounded up. */
    public static int ofChars(int chars) {
        return (chars + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    /** The most tokens that a body of so many bytes can hold, as each character takes at least one byte. */
    public static int maxInBody(int bytes) {
        return ofChars(bytes);
    }
}

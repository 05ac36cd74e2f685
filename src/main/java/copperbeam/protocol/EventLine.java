package copperbeam.protocol;

import java.util.List;

/** Tells byte by byte what a line of a server-sent event is, and rejects it at the first byte after which it can't be one. */
final class EventLine {
    /** What is known of the line. */
    enum Kind {
        /** Empty, or a part of a field's name. */
        UNDECIDED,
        COMMENT,
        FIELD
    }

    private static final String DATA_NAME = "data";
    private static final List<String> FIELD_NAMES = List.of(DATA_NAME, "event", "id", "retry");

    private Kind kind = Kind.UNDECIDED;
    private String fieldName; // the one that the line begins like, or null
    private int matchedChars; // of the field's name
    private boolean carriageReturnSeen; // behind a field's name or an empty line

    void reset() {
        kind = Kind.UNDECIDED;
        fieldName = null;
        matchedChars = 0;
        carriageReturnSeen = false;
    }

    /** What the line is; once that is decided, any byte may follow. */
    Kind kind() {
        return kind;
    }

    /** Whether the line is a field of data, or a part of its name. */
    boolean isData() {
        return DATA_NAME.equals(fieldName);
    }

    boolean isEmpty() {
        return isBlank() && !carriageReturnSeen;
    }

    /** Whether a line that ends here is blank. */
    boolean isBlank() {
        return kind == Kind.UNDECIDED && fieldName == null;
    }

    /** Whether a line that ends here is a comment or a field, with a colon or without. */
    boolean isFieldOrComment() {
        return kind != Kind.UNDECIDED || isNameWhole();
    }

    /** Takes the next byte of a line that is undecided. Returns false if no byte that follows could make the line valid. */
    boolean accept(byte next) {
        if (carriageReturnSeen) {
            return false;
        }
        boolean isFirst = fieldName == null;
        if (next == '\r') {
            carriageReturnSeen = true;
            return isFirst || isNameWhole();
        }
        if (next == ':') {
            return endName(isFirst);
        }
        return isFirst ? beginName(next) : continueName(next);
    }

    private boolean isNameWhole() {
        return fieldName != null && matchedChars == fieldName.length();
    }

    private boolean endName(boolean isFirst) {
        if (isFirst) {
            kind = Kind.COMMENT;
            return true;
        }
        kind = Kind.FIELD;
        return isNameWhole();
    }

    private boolean beginName(byte next) {
        for (String name : FIELD_NAMES) {
            if (name.charAt(0) == next) {
                fieldName = name;
                matchedChars = 1;
            }
        }
        return fieldName != null;
    }

    private boolean continueName(byte next) {
        return !isNameWhole() && fieldName.charAt(matchedChars++) == next;
    }
}

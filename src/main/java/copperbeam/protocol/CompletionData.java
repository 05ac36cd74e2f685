package copperbeam.protocol;

/**
 * Tells byte by byte whether the data of an event may still become what streams of completions carry: a JSON object, or
 * {@value SseData#LAST_EVENT_DATA}. Of an object it checks where its strings and it itself end, and that no character outside of strings
 * is foreign to JSON (RFC 8259, section 2).
 */
final class CompletionData {
    private static final boolean[] OUTSIDE_STRINGS = asciiTable("{}[]:,\"0123456789+-.eEtrufalsn \t\r");

    private enum State {
        NOT_BEGUN,
        SPACE_SKIPPED, // the one space that may precede the data
        OBJECT,
        STRING, // of the object
        ESCAPE, // a backslash of the string
        LAST_EVENT,
        WHOLE, // only the line's end may follow
        CARRIAGE_RETURN, // only the line feed may follow
        ENDED, // no further line of data may follow
        UNSOUND
    }

    private State state = State.NOT_BEGUN;
    private int depth; // of objects and arrays
    private int matchedChars; // of the last event's data

    void reset() {
        state = State.NOT_BEGUN;
        depth = 0;
        matchedChars = 0;
    }

    private static boolean[] asciiTable(String characters) {
        boolean[] table = new boolean[128];
        characters.chars().forEach(character -> table[character] = true);
        return table;
    }

    /** Whether more of the data may follow, and what has come may be sound. */
    boolean isOpen() {
        return state != State.ENDED && state != State.UNSOUND;
    }

    /** Takes the next bytes behind a field's colon; returns how many of them, from the first on, may be sound. */
    int accept(byte[] input, int from, int to) {
        int index = from;
        while (index < to && accept(input[index])) {
            index++;
        }
        return index - from;
    }

    private boolean accept(byte next) {
        state = after(next);
        return state != State.UNSOUND;
    }

    /** Takes the line feed of a line of data; returns whether the data so far may be sound. */
    boolean endLine() {
        state = switch (state) {
            case OBJECT -> State.OBJECT;
            case WHOLE, CARRIAGE_RETURN -> State.ENDED;
            default -> State.UNSOUND; // neither a string nor the last event's data goes on in another line
        };
        return state != State.UNSOUND;
    }

    private State after(byte next) {
        return switch (state) {
            case NOT_BEGUN -> next == ' ' ? State.SPACE_SKIPPED : begin(next);
            case SPACE_SKIPPED -> begin(next);
            case OBJECT -> continueObject(next);
            case STRING -> next == '"' ? State.OBJECT : next == '\\' ? State.ESCAPE : State.STRING;
            case ESCAPE -> State.STRING;
            case LAST_EVENT -> continueLastEvent(next);
            case WHOLE -> next == '\r' ? State.CARRIAGE_RETURN : State.UNSOUND;
            default -> State.UNSOUND;
        };
    }

    private State begin(byte next) {
        return next == '{' ? continueObject(next) : continueLastEvent(next);
    }

    private State continueObject(byte next) {
        if (next < 0 || !OUTSIDE_STRINGS[next]) {
            return State.UNSOUND;
        }
        if (next == '"') {
            return State.STRING;
        }
        if (next == '{' || next == '[') {
            depth++;
        } else if (next == '}' || next == ']') {
            depth--;
        }
        return depth == 0 ? State.WHOLE : State.OBJECT;
    }

    private State continueLastEvent(byte next) {
        if (next != SseData.LAST_EVENT_DATA.charAt(matchedChars)) {
            return State.UNSOUND;
        }
        matchedChars++;
        return matchedChars == SseData.LAST_EVENT_DATA.length() ? State.WHOLE : State.LAST_EVENT;
    }
}

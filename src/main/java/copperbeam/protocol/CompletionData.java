package copperbeam.protocol;

/**
 * Tells byte by byte whether the data of an event may still become what streams of completions carry: a JSON object, or
 * {@value SseData#LAST_EVENT_DATA}. Looks at the beginning only.
 */
final class CompletionData {
    private static final int NOT_BEGUN = -1;

    private boolean spaceSkipped; // the one space that may precede the data
    private boolean isObject;
    private int matchedOfLastEvent = NOT_BEGUN; // bytes that agree with the last event's data
    private boolean unsound;

    void reset() {
        spaceSkipped = false;
        isObject = false;
        matchedOfLastEvent = NOT_BEGUN;
        unsound = false;
    }

    /** Takes the next byte behind the field's colon; returns whether the data up to it may be sound. */
    boolean accept(byte next) {
        if (isObject) {
            return true;
        }
        if (matchedOfLastEvent == NOT_BEGUN && !unsound) {
            if (next == ' ' && !spaceSkipped) {
                spaceSkipped = true;
                return true;
            }
            isObject = next == '{';
            matchedOfLastEvent = 0;
        }
        unsound |= !isObject && !continuesLastEvent(next);
        return !unsound;
    }

    /** Takes the next bytes behind the field's colon; returns how many of them, from the first on, may be sound. */
    int acceptAll(byte[] input, int from, int to) {
        int index = from;
        while (index < to && !isObject && accept(input[index])) {
            index++;
        }
        return isObject ? to - from : index - from;
    }

    /** Whether all data so far may be sound. */
    boolean isSound() {
        return !unsound;
    }

    private boolean continuesLastEvent(byte next) {
        boolean matches = matchedOfLastEvent < SseData.LAST_EVENT_DATA.length()
                && next == SseData.LAST_EVENT_DATA.charAt(matchedOfLastEvent);
        boolean isLineEnd = next == '\r' && matchedOfLastEvent == SseData.LAST_EVENT_DATA.length();
        matchedOfLastEvent += matches ? 1 : 0;
        return matches || isLineEnd;
    }
}

package copperbeam.protocol.platform;

import copperbeam.routing.Connector.Word;

/** What a server's status means on the platform. */
public final class PlatformWords {
    private PlatformWords() {}

    /** {@code notProcessed}: the answer says that nothing ran. */
    public static Word attempt(int status, boolean notProcessed) {
        return switch (status) {
            case 200 -> Word.STREAM;
            case 202 -> Word.READ;
            case 410 -> notProcessed ? Word.STATE_MISSING : Word.ERROR;
            // without the header nothing proves that it did not run
            case 503, 504 -> notProcessed ? Word.TURNED_AWAY : Word.ERROR;
            default -> Word.ERROR;
        };
    }

    public static Word probe(int status) {
        return status == 200 ? Word.HEARD : status == 503 ? Word.TURNED_AWAY : Word.ERROR;
    }

    public static Word release(int status) {
        return status / 100 == 2 ? Word.HEARD : Word.ERROR;
    }
}

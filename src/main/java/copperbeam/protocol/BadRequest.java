package copperbeam.protocol;

/** An invalid request of a client; answered with a plain 4xx before any server is involved. */
public final class BadRequest extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    public BadRequest(int status, String message) {
        super(message);
        this.status = status;
    }

    public int status() {
        return status;
    }
}

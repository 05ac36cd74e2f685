package copperbeam.protocol;

/** An HTTP API through which clients use the core. */
public interface Front {
    /** Answers a request now or later. The caller runs the returned callback if the client goes away before that. */
    Runnable accept(HttpCall call, HttpReply reply);
}

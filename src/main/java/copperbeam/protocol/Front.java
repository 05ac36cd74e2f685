package copperbeam.protocol;

/** What stands before the core for one dialect of clients. */
public interface Front {
    /** Answers a request at once or later; the returned runs if the client goes away before that. */
    Runnable accept(HttpCall call, HttpReply reply);
}

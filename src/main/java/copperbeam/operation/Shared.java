package copperbeam.operation;

import java.util.function.Consumer;

/** What holds for all processes of this conductor, whichever of them was told. Called on one thread. */
public interface Shared {
    /** Whether the server is out by hand. */
    boolean out(String server);

    /**
     * Leaves the server out, or puts it back; {@code acted} runs once this process does so.
     *
     * @throws IllegalStateException where no more can be remembered
     */
    void ban(String server, boolean out, Runnable acted);

    /** Sends clients away, or ends that; {@code done} false where a stop is under way. */
    void drain(boolean drained, Consumer<Boolean> done);
}

package copperbeam.operation;

import java.util.function.Consumer;

/** Bans and drains that apply to all processes of this conductor, whichever of them got the command. Called on one thread. */
public interface SharedControls {
    /** Whether the server is banned. */
    boolean isBanned(String server);

    /**
     * Bans the server or lifts its ban; {@code onApplied} runs once this process has applied it.
     *
     * @throws IllegalStateException if no more bans can be remembered
     */
    void setBanned(String server, boolean banned, Runnable onApplied);

    /** Starts or ends a drain of the conductor; {@code reply} gets false if a stop is under way. */
    void setDrained(boolean drained, Consumer<Boolean> reply);
}

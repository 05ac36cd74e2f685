package copperbeam.model;

import copperbeam.Api;
import java.time.Duration;

/** Checks one requirement of the specification by observing a world from outside the router. */
interface Rule {
    /** The client's request has reached a process. */
    default void requestArrived(ClientRequest request) {}

    default void clientGone(ClientRequest request) {}

    /** The head of an attempt is sent; {@code announcedTimeout}: how long the process will wait, as it tells the server. */
    default void headSent(Attempt attempt, Duration announcedTimeout) {}

    default void lastByteSent(Attempt attempt) {}

    default void lastByteArrived(Attempt attempt) {}

    default void attemptEnded(Attempt attempt) {}

    default void requestRefused(ClientRequest request) {}

    default void requestFailed(ClientRequest request) {}

    /**
     * The client received the event with this index of the attempt's stream; {@code attempt} is null if the event belongs to
     * another request.
     */
    default void eventReceived(ClientRequest request, Attempt attempt, int index) {}

    default void streamEnded(ClientRequest request) {}

    default void streamBroken(ClientRequest request) {}

    /**
     * The process has received this state of a server from service discovery; {@code launchedAt} is in seconds since the
     * epoch.
     */
    default void serverListed(ModelProcess process, ModelServer server, Api.ServerState state, double launchedAt) {}

    /** A server holds the read state of this request from now on. */
    default void stateHeld(String requestId) {}

    /** The server no longer holds the read state, because it was fetched or released. */
    default void stateReleased(String requestId) {}

    /** Called every 20 ms of virtual time. */
    default void check() {}

    /** Called once after the end of the world; no other method is called afterwards. */
    default void finish() {}
}
